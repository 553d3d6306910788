package groups

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// phase is the part of its life that a group is in.
type phase string

const (
	phaseHeld    phase = "held"
	phaseRunning phase = "running"
	phaseEnding  phase = "ending" // tasks are being stopped
)

// cause says why a group ends before its tasks are done.
type cause string

const (
	causeNone   cause = ""
	causeAsked  cause = "asked"
	causeLapsed cause = "lease lapsed"
	causeFailed cause = "task failed"
	causeBroken cause = "task stopped by the worker"
)

// group is the tasks of one job attempt while they hold capacity.
type group struct {
	ref     Ref
	phase   phase
	first   int
	perTask []api.Resources // of each task
	tasks   []task
	leaseBy time.Duration
	// workerBy is when the worker's own leases have ended for certain.
	workerBy   time.Duration
	nextReport time.Duration

	cause       cause
	detail      string
	workerFault bool
	graceBy     time.Duration // a checkpoint has until then
	nextStop    time.Duration
}

// task is one task of a running group.
type task struct {
	id       string
	state    external.TaskState
	progress time.Duration
	usage    api.Resources
	output   json.RawMessage
}

func (t *task) ended() bool { return t.state != external.TaskRunning }

func (g *group) resources() api.Resources {
	var sum api.Resources
	for _, r := range g.perTask {
		sum = sum.Add(r)
	}
	return sum
}

// all reports whether every task is in the state.
func (g *group) all(state external.TaskState) bool {
	for i := range g.tasks {
		if g.tasks[i].state != state {
			return false
		}
	}
	return true
}

func (g *group) ended() bool {
	for i := range g.tasks {
		if !g.tasks[i].ended() {
			return false
		}
	}
	return true
}

// runningIDs returns the IDs of the tasks that may run.
func (g *group) runningIDs() []string {
	var ids []string
	for i := range g.tasks {
		if !g.tasks[i].ended() {
			ids = append(ids, g.tasks[i].id)
		}
	}
	return ids
}

func (g *group) task(id string) *task {
	for i := range g.tasks {
		if g.tasks[i].id == id {
			return &g.tasks[i]
		}
	}
	return nil
}

// report returns the state of a group that is held or may run.
func (g *group) report() Report {
	r := Report{Ref: g.ref, State: Held, Tasks: len(g.perTask)}
	if g.phase == phaseHeld {
		return r
	}
	r.State = Running
	r.Progress, r.Usage = g.progress()
	if g.phase == phaseEnding {
		r.Detail = "stopping: " + g.detail
	}
	return r
}

// finalReport returns the state of a group whose tasks have all ended.
func (g *group) finalReport() Report {
	r := Report{Ref: g.ref, State: Stopped, Tasks: len(g.tasks), Detail: g.detail}
	r.Progress, r.Usage = g.progress()
	switch {
	case g.all(external.TaskDone):
		r.State = Done
		r.Detail = ""
		r.Result = g.result()
	case g.cause == causeFailed:
		r.State = Failed
		r.WorkerFault = g.workerFault
	case g.all(external.TaskCheckpointed):
		r.State = Checkpointed
		r.Checkpoint = checkpointName(g.ref)
	}
	return r
}

func (g *group) progress() (time.Duration, api.Resources) {
	var usage api.Resources
	progress := g.tasks[0].progress
	for i := range g.tasks {
		progress = min(progress, g.tasks[i].progress)
		usage = usage.Add(g.tasks[i].usage)
	}
	return progress, usage
}

// result returns the tasks' outputs as a JSON array; an output that is not
// JSON is given as a string.
func (g *group) result() json.RawMessage {
	outputs := make([]json.RawMessage, len(g.tasks))
	for i := range g.tasks {
		out := g.tasks[i].output
		if len(out) > 0 && !json.Valid(out) {
			// A string always marshals.
			out, _ = json.Marshal(string(out))
		}
		outputs[i] = out
	}
	// All elements are valid JSON or nil.
	result, _ := json.Marshal(outputs)
	return result
}
