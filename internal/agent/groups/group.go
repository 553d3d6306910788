package groups

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// phase is the lifecycle phase of a group that holds capacity.
type phase string

const (
	phaseHeld    phase = "held"
	phaseRunning phase = "running"
	phaseEnding  phase = "ending" // tasks are being stopped or checkpointed
)

// endCause is the reason why a group ends before its tasks are done.
type endCause string

const (
	causeNone         endCause = ""
	causeRequested    endCause = "asked"
	causeLeaseExpired endCause = "lease lapsed"
	causeTaskFailed   endCause = "task failed"
	causeTaskStopped  endCause = "task stopped by the worker"
)

// group is the set of tasks of one job attempt while they hold capacity.
type group struct {
	ref           Ref
	phase         phase
	firstTask     int
	taskResources []api.Resources // one element for each task
	tasks         []task
	leaseEnd      time.Duration
	// workerLeaseEnd is the latest time at which the worker's own leases of
	// the tasks expire.
	workerLeaseEnd time.Duration
	nextReport     time.Duration

	cause       endCause
	detail      string
	workerFault bool
	graceEnd    time.Duration // end of the time for a checkpoint
	nextStop    time.Duration
}

// task is one task of a group that has been started.
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

// allTasksIn reports whether every task is in the given state.
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

// runningTaskIDs returns the IDs of the tasks not known to have ended.
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

// report returns the report on a group that holds capacity.
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

// finalReport returns the report on a group whose tasks have all ended.
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

// progressAndUsage returns the least progress of the tasks and the sum of their
// usage.
func (g *group) progressAndUsage() (time.Duration, api.Resources) {
	var usage api.Resources
	progress := g.tasks[0].progress
	for i := range g.tasks {
		progress = min(progress, g.tasks[i].progress)
		usage = usage.Add(g.tasks[i].usage)
	}
	return progress, usage
}

// resultJSON returns the tasks' outputs as a JSON array. An output that is not
// valid JSON is encoded as a JSON string.
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
