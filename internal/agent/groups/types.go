// Package groups is the agent's decision core for gang members on one worker:
// which capacity is held, which groups may start, and when a lease ends them.
// It is pure: no I/O, no clock, no goroutines. Times are durations on the
// agent's monotonic clock. Hold, Start, Stop and Renew of a lower epoch than
// the highest one seen are refused.
package groups

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// Ref names the tasks of one job attempt on this worker.
type Ref struct {
	JobID   string
	Attempt uint32
}

// Event is an input of the core.
type Event interface{ event() }

// Hold asks for capacity under a lease.
type Hold struct {
	Epoch   uint64
	Ref     Ref
	Tasks   int
	PerTask api.Resources
	Stamp   time.Duration
	Permit  time.Duration
	Lease   time.Duration
}

// Start starts the tasks of a held group.
type Start struct {
	Epoch      uint64
	Ref        Ref
	Stamp      time.Duration
	Permit     time.Duration
	Lease      time.Duration
	FirstTask  int
	Payload    json.RawMessage
	Checkpoint string
}

// Stop ends a group; with Grace a checkpoint is tried first. A group that is
// held only is answered refused, one that is not known absent, and both never
// start from then on.
type Stop struct {
	Epoch  uint64
	Ref    Ref
	Grace  time.Duration
	Reason string
}

// Renew extends leases to Stamp + Lease. Groups that are not known are
// answered absent.
type Renew struct {
	Epoch uint64
	Stamp time.Duration
	Lease time.Duration
	Refs  []Ref
}

// StoreDown extends the leases of running groups to Stamp + Lease while every entry reports the
// store as down, so that nobody can place the groups again.
type StoreDown struct {
	Stamp time.Duration
	Lease time.Duration
}

// EpochObserved brings the highest epoch that an entry has reported.
type EpochObserved struct{ Epoch uint64 }

// Permission tells whether work may start now.
type Permission struct{ Allowed bool }

// TaskUpdate is the worker's state of one task.
type TaskUpdate struct{ Status external.TaskStatus }

// TaskLost says that the worker does not know the task or did not answer in
// time; with NotSent, that the start was never asked of it.
type TaskLost struct {
	ID      string
	Detail  string
	NotSent bool
}

// Adopt brings the tasks that the worker had when the agent started. Whole
// groups among those that still run are adopted, without renewing their leases
// on the worker, so that they end when the former agent's leases do unless the
// owner renews them. Everything else that runs is stopped.
type Adopt struct{ Tasks []external.TaskStatus }

// Leave refuses new holds and starts for good, for a planned stop.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Hold) event()          {}
func (Start) event()         {}
func (Stop) event()          {}
func (Renew) event()         {}
func (StoreDown) event()     {}
func (EpochObserved) event() {}
func (Permission) event()    {}
func (TaskUpdate) event()    {}
func (TaskLost) event()      {}
func (Adopt) event()         {}
func (Leave) event()         {}
func (Tick) event()          {}

// State is the state of a group, as reported to entries.
type State string

// The states of a group. Refused and Absent both say that the agent holds
// nothing of the attempt; Refused, unlike Absent, that it has not started any
// task of it either. A hold that is refused may be asked for again, any other
// group that is reported like this never starts.
const (
	Held         State = "held"
	Refused      State = "refused"
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	Checkpointed State = "checkpointed"
	Stopped      State = "stopped"
	Absent       State = "absent"
)

// Action is an output of the core.
type Action interface{ action() }

// StartTask starts one task on the worker. Its ID is a TaskName. The call must
// not be made after StartBy, which the shell checks once more before the call;
// the task's own lease is such that even then it does not outlive the group's.
type StartTask struct {
	Task    external.Task
	StartBy time.Duration
}

// StopTask stops one task on the worker.
type StopTask struct{ ID string }

// CheckpointTask asks the worker for a checkpoint of one task, which ends it.
type CheckpointTask struct{ ID string }

// RenewTasks extends the worker's own leases by Lease, which ends at By.
type RenewTasks struct {
	IDs      []string
	Lease    time.Duration
	LeaseEnd time.Duration
}

// Report tells all entries the state of a group.
type Report struct {
	Ref   Ref
	State State
	Tasks int
	// Progress is that of the task that is furthest behind.
	Progress time.Duration
	// Usage is the sum over the tasks.
	Usage  api.Resources
	Detail string
	// Result is a JSON array of the tasks' outputs, in order of their indexes.
	Result json.RawMessage
	// Checkpoint names the checkpoints of all tasks of the attempt; another
	// attempt resumes from it however its tasks are spread over workers.
	Checkpoint  string
	WorkerFault bool
}

func (StartTask) action()      {}
func (StopTask) action()       {}
func (CheckpointTask) action() {}
func (RenewTasks) action()     {}
func (Report) action()         {}
