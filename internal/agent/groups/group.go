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

// endCause says why a group ends before its tasks are done.
type endCause string

const (
	causeNone         endCause = ""
	causeRequested    endCause = "asked"
	causeLeaseExpired endCause = "lease lapsed"
	causeTaskFailed   endCause = "task failed"
	causeTaskStopped  endCause = "task stopped by the worker"
)

// group is the tasks of one job attempt while they hold capacity.
type group struct {
	ref           Ref
	phase         phase
	firstTask     int
	taskResources []api.Resources // of each task
	tasks         []task
	leaseEnd      time.Duration
	// workerLeaseEnd is when the worker's own leases have ended for certain.
	workerLeaseEnd time.Duration
	nextReport     time.Duration

	cause       endCause
	detail      string
	workerFault bool
	graceEnd    time.Duration // a checkpoint has until then
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
	for _, r := range g.taskResources {
		sum = sum.Add(r)
	}
	return sum
}

// allTasksIn reports whether every task is in the state.
func (g *group) allTasksIn(state external.TaskState) bool {
	for i := range g.tasks {
		if g.tasks[i].state != state {
			return false
		}
	}
	return true
}

func (g *group) allTasksEnded() bool {
	for i := range g.tasks {
		if !g.tasks[i].ended() {
			return false
		}
	}
	return true
}

// runningTaskIDs returns the IDs of the tasks that may run.
func (g *group) runningTaskIDs() []string {
	var ids []string
	for i := range g.tasks {
		if !g.tasks[i].ended() {
			ids = append(ids, g.tasks[i].id)
		}
	}
	return ids
}

func (g *group) findTask(id string) *task {
	for i := range g.tasks {
		if g.tasks[i].id == id {
			return &g.tasks[i]
		}
	}
	return nil
}

// report returns the state of a group that is held or may run.
func (g *group) report() Report {
	r := Report{Ref: g.ref, State: Held, Tasks: len(g.taskResources)}
	if g.phase == phaseHeld {
		return r
	}
	r.State = Running
	r.Progress, r.Usage = g.progressAndUsage()
	if g.phase == phaseEnding {
		r.Detail = "stopping: " + g.detail
	}
	return r
}

// finalReport returns the state of a group whose tasks have all ended.
func (g *group) finalReport() Report {
	r := Report{Ref: g.ref, State: Stopped, Tasks: len(g.tasks), Detail: g.detail}
	r.Progress, r.Usage = g.progressAndUsage()
	switch {
	case g.allTasksIn(external.TaskDone):
		r.State = Done
		r.Detail = ""
		r.Result = g.resultJSON()
	case g.cause == causeTaskFailed:
		r.State = Failed
		r.WorkerFault = g.workerFault
	case g.allTasksIn(external.TaskCheckpointed):
		r.State = Checkpointed
		r.Checkpoint = checkpointName(g.ref)
	}
	return r
}

func (g *group) progressAndUsage() (time.Duration, api.Resources) {
	var usage api.Resources
	progress := g.tasks[0].progress
	for i := range g.tasks {
		progress = min(progress, g.tasks[i].progress)
		usage = usage.Add(g.tasks[i].usage)
	}
	return progress, usage
}

// resultJSON returns the tasks' outputs as a JSON array; an output that is not
// JSON is given as a string.
func (g *group) resultJSON() json.RawMessage {
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
