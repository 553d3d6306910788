// Package groups is the agent's decision core for gang members on one worker. A
// group is the tasks of one job attempt on that worker. The core decides which
// groups hold capacity, which may start, and when an expired lease ends them.
//
// The package is pure: no I/O, no clock, no goroutines. Times are durations on
// the agent's monotonic clock. Hold, Start, Stop and Renew with an epoch lower
// than the highest one seen are refused.
package groups

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// Ref identifies the group of one job attempt on this worker.
type Ref struct {
	JobID   string
	Attempt uint32
}

// Event is an input of the core.
type Event interface{ event() }

// Hold asks to hold capacity for a group until Stamp + Lease. It is valid until
// Stamp + Permit, where Stamp is a time on this agent's clock.
type Hold struct {
	Epoch   uint64
	Ref     Ref
	Tasks   int
	PerTask api.Resources
	Stamp   time.Duration
	Permit  time.Duration
	Lease   time.Duration
}

// Start starts the tasks of a held group, under a lease until Stamp + Lease. The
// permission to start ends at Stamp + Permit.
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

// Stop ends a group. With a positive Grace its tasks are checkpointed first if
// that succeeds within Grace. A group that is only held is reported refused, an
// unknown one absent; neither starts from then on.
type Stop struct {
	Epoch  uint64
	Ref    Ref
	Grace  time.Duration
	Reason string
}

// Renew extends the leases of Refs to Stamp + Lease. Unknown groups are reported
// absent and never start from then on.
type Renew struct {
	Epoch uint64
	Stamp time.Duration
	Lease time.Duration
	Refs  []Ref
}

// StoreDown extends the leases of running groups to Stamp + Lease without an
// owner. It is valid while every entry reports the store as down, since no entry
// can place the groups again then.
type StoreDown struct {
	Stamp time.Duration
	Lease time.Duration
}

// EpochObserved carries the highest epoch reported by an entry.
type EpochObserved struct{ Epoch uint64 }

// Permission sets whether work may start from now on.
type Permission struct{ Allowed bool }

// TaskUpdate carries the worker's status of one task.
type TaskUpdate struct{ Status external.TaskStatus }

// TaskLost reports that the worker does not list a task or that its start
// failed. NotSent is set if the call to start it was never sent.
type TaskLost struct {
	ID      string
	Detail  string
	NotSent bool
}

// Adopt carries the tasks found on the worker when the agent started. Complete
// groups are adopted; all other running tasks are stopped. Adoption does not
// renew the leases on the worker, so that adopted tasks end when the previous
// agent's leases expire unless the owner renews them.
type Adopt struct{ Tasks []external.TaskStatus }

// Leave makes the core refuse all further holds and starts, for a planned stop.
type Leave struct{}

// Tick advances the time. It triggers periodic reports and expires old ones.
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

// The states of a group. Refused and Absent both mean that the agent holds
// nothing of the attempt. Refused means in addition that it has started no task
// of it. A refused hold may be requested again; any other group reported Refused
// or Absent never starts.
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
// not be made after StartBy; the code that carries out actions checks this again
// right before the call. The task's own lease is short enough that a start as
// late as StartBy does not outlive the group's lease.
type StartTask struct {
	Task    external.Task
	StartBy time.Duration
}

// StopTask stops one task on the worker.
type StopTask struct{ ID string }

// CheckpointTask asks the worker to checkpoint one task, which ends the task.
type CheckpointTask struct{ ID string }

// RenewTasks renews the worker's own leases of the tasks for Lease from now,
// which ends at LeaseEnd.
type RenewTasks struct {
	IDs      []string
	Lease    time.Duration
	LeaseEnd time.Duration
}

// Report sends the state of a group to all entries.
type Report struct {
	Ref   Ref
	State State
	Tasks int
	// Progress is the least progress of the tasks.
	Progress time.Duration
	// Usage is the sum over the tasks.
	Usage  api.Resources
	Detail string
	// Result is a JSON array of the tasks' outputs, ordered by task index.
	Result json.RawMessage
	// Checkpoint is the name shared by the checkpoints of all tasks of the
	// attempt. Another attempt can resume from it with its tasks distributed
	// differently over workers.
	Checkpoint  string
	WorkerFault bool
}

func (StartTask) action()      {}
func (StopTask) action()       {}
func (CheckpointTask) action() {}
func (RenewTasks) action()     {}
func (Report) action()         {}
