package rpc

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
)

// EpochsPerTerm is the number of epochs that a term of an owner may name: its token and those
// that follow.
const EpochsPerTerm = 64

// TermOfEpoch returns the number of the term to which an epoch belongs, 1 for the first. It is
// exact while all owners are of this version.
func TermOfEpoch(epoch uint64) uint64 { return (epoch + EpochsPerTerm - 1) / EpochsPerTerm }

// TaskRefOf returns the message that identifies a run of a task.
func TaskRefOf(t graph.TaskID, run uint64) *TaskRef {
	return &TaskRef{Job: string(t.Job), Occurrence: int32(t.Occurrence), Step: int32(t.Step), Index: int32(t.Index), Run: run}
}

// TaskOf returns the task and the run that a message identifies.
func TaskOf(r *TaskRef) (graph.TaskID, uint64) {
	id := graph.TaskID{Job: graph.JobID(r.GetJob()), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex())}
	return id, r.GetRun()
}

// WorkerInfoOf returns the worker that a report describes.
func WorkerInfoOf(r *WorkerReport) plan.WorkerInfo {
	return plan.WorkerInfo{
		ID:              r.Worker,
		Instance:        r.Instance,
		StartUnixMillis: r.Born,
		Pool:            r.Pool,
		Zone:            r.Zone,
		Rack:            r.Rack,
		Labels:          r.Labels,
		Capacity:        graph.Resources{MilliCPU: int(r.MilliCpu), MemoryMB: int(r.MemoryMb), Accelerators: int(r.Accelerators)},
		Draining:        r.Draining,
		DrainRemaining:  time.Duration(r.RemainingMs) * time.Millisecond,
	}
}

// LateCallsOf returns what a report tells of calls that may take effect late.
func LateCallsOf(r *WorkerReport) plan.LateCalls {
	out := plan.LateCalls{
		AgentAge: time.Duration(r.AgentAgeMs) * time.Millisecond,
		Lease:    r.LateLease,
		LeaseAge: time.Duration(r.LateLeaseAgeMs) * time.Millisecond,
	}
	for _, ref := range r.Called {
		task, run := TaskOf(ref)
		out.Called = append(out.Called, plan.RunRef{Task: task, Run: run})
	}
	for _, u := range r.Unanswered {
		task, run := TaskOf(u.Ref)
		out.Starts = append(out.Starts, plan.LateStart{RunRef: plan.RunRef{Task: task, Run: run}, Age: time.Duration(u.AgeMs) * time.Millisecond})
	}
	return out
}

// ReportOf returns the report that describes a worker, without the lists of
// running and ended tasks.
func ReportOf(w plan.WorkerInfo) *WorkerReport {
	return &WorkerReport{
		Worker:       w.ID,
		Instance:     w.Instance,
		Born:         w.StartUnixMillis,
		Pool:         w.Pool,
		Zone:         w.Zone,
		Rack:         w.Rack,
		Labels:       w.Labels,
		MilliCpu:     int64(w.Capacity.MilliCPU),
		MemoryMb:     int64(w.Capacity.MemoryMB),
		Accelerators: int64(w.Capacity.Accelerators),
		Draining:     w.Draining,
		RemainingMs:  w.DrainRemaining.Milliseconds(),
	}
}

// RunStatesOf converts the running tasks of a report.
func RunStatesOf(in []*RunningTask) []graph.RunState {
	out := make([]graph.RunState, len(in))
	for i, r := range in {
		task, run := TaskOf(r.Ref)
		out[i] = graph.RunState{Task: task, Run: run, Checkpoint: r.Checkpoint, Percent: int(r.Percent)}
	}
	return out
}

// RunningTasksOf converts runs to their messages.
func RunningTasksOf(in []graph.RunState) []*RunningTask {
	out := make([]*RunningTask, len(in))
	for i, r := range in {
		out[i] = &RunningTask{Ref: TaskRefOf(r.Task, r.Run), Checkpoint: r.Checkpoint, Percent: int32(r.Percent)}
	}
	return out
}

// RunRefsOf converts the accepted or lost runs of a report.
func RunRefsOf(in []*TaskRef) []plan.RunRef {
	out := make([]plan.RunRef, len(in))
	for i, r := range in {
		out[i].Task, out[i].Run = TaskOf(r)
	}
	return out
}

// RunEndsOf converts the ended tasks of a report.
func RunEndsOf(in []*EndedTask) []graph.RunEnd {
	out := make([]graph.RunEnd, len(in))
	for i, e := range in {
		task, run := TaskOf(e.Ref)
		out[i] = graph.RunEnd{Number: e.Number, Task: task, Run: run, Kind: graph.EndKind(e.How), Checkpoint: e.Checkpoint}
	}
	return out
}

// EndedTasksOf converts ended runs to their messages.
func EndedTasksOf(in []graph.RunEnd) []*EndedTask {
	out := make([]*EndedTask, len(in))
	for i, e := range in {
		out[i] = &EndedTask{Number: e.Number, Ref: TaskRefOf(e.Task, e.Run), How: string(e.Kind), Checkpoint: e.Checkpoint}
	}
	return out
}

// StartTaskOf converts a start order to its message.
func StartTaskOf(a plan.StartRun) *StartTask {
	return &StartTask{
		Ref:          TaskRefOf(a.Task, a.Run),
		Spec:         a.Spec,
		Checkpoint:   a.Checkpoint,
		MilliCpu:     int64(a.Capacity.MilliCPU),
		MemoryMb:     int64(a.Capacity.MemoryMB),
		Accelerators: int64(a.Capacity.Accelerators),
	}
}

// CapacityOf returns the capacity on which a start order rests, zero in orders of earlier
// versions.
func CapacityOf(o *StartTask) graph.Resources {
	return graph.Resources{MilliCPU: int(o.MilliCpu), MemoryMB: int(o.MemoryMb), Accelerators: int(o.Accelerators)}
}
