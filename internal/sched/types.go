// Package sched is the decision core of gang scheduling for one cell. It is
// pure and deterministic: it does no I/O, reads no clock, starts no goroutines
// and depends on no map order. The caller passes events and the time to Step
// and carries out the returned actions in order. Times are durations since
// the start of the owner's term.
//
// A new owner gives the core the configuration, then all rows that are not
// final (Submit), then Authority. Reports of jobs that it has not been given
// yet are kept until the permissions of the previous owner have ended.
package sched

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Submit brings a job that is durable in the table. Record is its row; after a
// takeover it may be running already.
type Submit struct{ Record api.JobRecord }

// Cancel asks for the end of a job.
type Cancel struct{ JobID string }

// WorkerUp says that the link with a worker's agent is open.
type WorkerUp struct {
	Worker   string
	Zone     string
	Rack     string
	Capacity api.Resources
}

// WorkerDown says that the link with a worker's agent is lost. Its groups run
// on until their leases lapse.
type WorkerDown struct{ Worker string }

// WorkerStatus is a worker agent's heartbeat.
type WorkerStatus struct {
	Worker  string
	Leaving bool
	Healthy bool
}

// GroupState is the state of one job attempt's tasks on one worker.
type GroupState string

// The states that agents report. GroupAbsent promises that the agent holds
// nothing of the attempt and never will.
const (
	GroupHeld         GroupState = "held"
	GroupRefused      GroupState = "refused"
	GroupRunning      GroupState = "running"
	GroupDone         GroupState = "done"
	GroupFailed       GroupState = "failed"
	GroupCheckpointed GroupState = "checkpointed"
	GroupStopped      GroupState = "stopped"
	GroupAbsent       GroupState = "absent"
)

// GroupReport is a worker agent's report on the tasks of one attempt.
type GroupReport struct {
	Worker      string
	JobID       string
	Attempt     uint32
	State       GroupState
	Progress    time.Duration
	Usage       api.Resources
	Detail      string
	Result      json.RawMessage
	Checkpoint  string
	WorkerFault bool
}

// SaveResult answers a Save: Attempt (and State) of the job's row are durable.
// Failed means that the row has certainly not been written.
type SaveResult struct {
	JobID   string
	Attempt uint32
	State   api.JobState
	Failed  bool
}

// ConfigUpdate brings a configuration; one with a lower version is ignored.
type ConfigUpdate struct{ Config *api.Config }

// OwnerStatus tells whether this process is the owner at this moment, with the
// epoch of its term. Without authority the core starts nothing. StartAfter is
// the time up to which the previous owner's permissions may still be in use.
type OwnerStatus struct {
	Owner      bool
	Epoch      uint64
	StartAfter time.Duration
	StoreDown  bool // nothing can be saved; running work goes on
}

// Tick lets time pass; the shell sends one every TickInterval.
type Tick struct{}

// Drain stops the start of new attempts, for a planned stop.
type Drain struct{}

func (Submit) event()       {}
func (Cancel) event()       {}
func (WorkerUp) event()     {}
func (WorkerDown) event()   {}
func (WorkerStatus) event() {}
func (GroupReport) event()  {}
func (SaveResult) event()   {}
func (ConfigUpdate) event() {}
func (OwnerStatus) event()  {}
func (Tick) event()         {}
func (Drain) event()        {}

// Times of the protocol between the owner and the worker agents.
const (
	TickInterval = 100 * time.Millisecond
	// GroupLease is how long a group runs on without a renewal.
	GroupLease = 10 * time.Second
	// RenewInterval is the time between two renewals of a group's lease.
	RenewInterval = 2 * time.Second
	// HoldLease is how long a worker keeps held capacity without a start.
	HoldLease = 3 * time.Second
	// CheckpointGrace is how long a preempted group has for its checkpoint.
	CheckpointGrace = 5 * time.Second
)

// Action is an output of the core.
type Action interface{ action() }

// Hold asks a worker to set capacity aside for an attempt.
type Hold struct {
	Worker  string
	JobID   string
	Attempt uint32
	Tasks   int
	PerTask api.Resources
}

// Start starts a held group. It is issued only after the attempt's Save.
// Checkpoint is the object store key to resume from; if the tasks were grouped
// differently when they were checkpointed, it is several keys with spaces between.
type Start struct {
	Worker     string
	JobID      string
	Attempt    uint32
	FirstTask  int
	Checkpoint string
}

// Stop ends a group, held or running; with Grace a checkpoint is tried first.
// The agent answers with a GroupReport (checkpointed, stopped or absent). A
// Stop of a group that has ended already lets the agent forget its result: the
// job's answer is durable. Stops are repeated until they are answered.
type Stop struct {
	Worker  string
	JobID   string
	Attempt uint32
	Grace   time.Duration
	Reason  string
}

// Renew extends the leases of groups on one worker, running or held. The
// agent answers absent for those that it does not know.
type Renew struct {
	Worker string
	Groups []GroupRef
}

// GroupRef names the tasks of one attempt on a worker.
type GroupRef struct {
	JobID   string
	Attempt uint32
}

// Save writes a job's row. The core waits for Saved before anything that
// depends on it. A final record is the job's one answer.
type Save struct{ Record api.JobRecord }

// Notice reports a decision for counters, logs and the state dump.
type Notice struct {
	JobID  string
	Worker string
	Reason Reason
	Detail string
}

func (Hold) action()   {}
func (Start) action()  {}
func (Stop) action()   {}
func (Renew) action()  {}
func (Save) action()   {}
func (Notice) action() {}

// Reason is a typed reason of a decision.
type Reason string

// The reasons of decisions.
const (
	ReasonNeverFits           Reason = "never-fits"
	ReasonNoCapacity          Reason = "no-capacity"
	ReasonQuota               Reason = "quota-reached"
	ReasonReclaimed           Reason = "reclaimed-for-guarantee"
	ReasonZoneOut             Reason = "zone-out"
	ReasonWorkerLeaving       Reason = "worker-leaving"
	ReasonZoneReturning       Reason = "zone-returning-by-steps"
	ReasonWorkerLost          Reason = "worker-lost"
	ReasonQuarantine          Reason = "worker-quarantined"
	ReasonTaskFailed          Reason = "task-failed"
	ReasonCancelled           Reason = "cancelled"
	ReasonExceededDeclaration Reason = "outgrew-declaration"
	ReasonHoldRefused         Reason = "hold-refused"
	ReasonHoldTimeout         Reason = "hold-timeout"
	ReasonPreempted           Reason = "made-room-for-waiting-work"
	ReasonReserved            Reason = "capacity-reserved"
	ReasonMigrated            Reason = "migrated"
	ReasonDeadline            Reason = "deadline-passed"
	ReasonMayHaveRun          Reason = "may-have-run"
	ReasonUnknownProfile      Reason = "unknown-profile"
)
