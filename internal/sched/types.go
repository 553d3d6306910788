// Package sched is the decision core of gang scheduling for one cell. It is
// pure and deterministic: it does no I/O, reads no clock, starts no goroutines
// and does not depend on map iteration order. The caller passes events and the
// current time to Step and carries out the returned actions in order. Times are
// durations since the start of the owner's term.
//
// A new owner passes the configuration, then every row that is not final
// (Submit), then OwnerStatus. Reports about jobs whose row has not been passed
// yet are kept until the permissions of the previous owner have expired.
package sched

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Submit adds a job whose row is durable. After a takeover the job may already
// be running.
type Submit struct{ Record api.JobRecord }

// Cancel requests the end of a job.
type Cancel struct{ JobID string }

// WorkerUp is sent when the link to a worker's agent opens.
type WorkerUp struct {
	Worker   string
	Zone     string
	Rack     string
	Capacity api.Resources
}

// WorkerDown is sent when the link to a worker's agent is lost. The worker's
// groups keep running until their leases expire.
type WorkerDown struct{ Worker string }

// WorkerStatus is the heartbeat of a worker's agent.
type WorkerStatus struct {
	Worker  string
	Leaving bool
	Healthy bool
}

// GroupState is the state of one attempt's tasks on one worker.
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

// GroupReport is an agent's report about the tasks of one attempt.
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

// SaveResult is the result of a Save. The row with this Attempt and State is
// durable, or, if Failed is set, has certainly not been written.
type SaveResult struct {
	JobID   string
	Attempt uint32
	State   api.JobState
	Failed  bool
}

// ConfigUpdate carries a configuration. One with a lower version than the
// current configuration is ignored.
type ConfigUpdate struct{ Config *api.Config }

// OwnerStatus tells whether this process is the owner now, and the epoch of its
// term. A core that is not the owner starts no work. Until StartAfter the
// permissions of the previous owner may still be in use.
type OwnerStatus struct {
	Owner      bool
	Epoch      uint64
	StartAfter time.Duration
	StoreDown  bool // rows cannot be saved; running work continues
}

// Tick advances the time; the caller sends one every TickInterval.
type Tick struct{}

// Drain stops new attempts from starting, before a planned shutdown.
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
	// GroupLease is how long a group keeps running without a renewal.
	GroupLease = 10 * time.Second
	// RenewInterval is the time between two renewals of a group's lease.
	RenewInterval = 2 * time.Second
	// HoldLease is how long a worker keeps capacity held without a start.
	HoldLease = 3 * time.Second
	// CheckpointGrace is how long a preempted group may take to checkpoint.
	CheckpointGrace = 5 * time.Second
)

// Action is an output of the core.
type Action interface{ action() }

// Hold asks a worker to hold capacity for an attempt.
type Hold struct {
	Worker  string
	JobID   string
	Attempt uint32
	Tasks   int
	PerTask api.Resources
}

// Start starts a held group. It is issued only after the attempt's row has been
// saved. Checkpoint is the object store key to resume from. If the tasks were
// grouped differently when the checkpoints were taken, it is several keys
// separated by spaces.
type Start struct {
	Worker     string
	JobID      string
	Attempt    uint32
	FirstTask  int
	Checkpoint string
}

// Stop ends a group, whether held or running. With a Grace, the agent first tries
// to take a checkpoint. The agent answers with a GroupReport (checkpointed,
// stopped or absent); a Stop is repeated until it is answered. A Stop for a group
// that has already ended lets the agent discard its result, because the job's
// final row is durable.
type Stop struct {
	Worker  string
	JobID   string
	Attempt uint32
	Grace   time.Duration
	Reason  string
}

// Renew extends the leases of groups on one worker, whether held or running. The
// agent reports groups that it does not know as absent.
type Renew struct {
	Worker string
	Groups []GroupRef
}

// GroupRef identifies the tasks of one attempt on a worker.
type GroupRef struct {
	JobID   string
	Attempt uint32
}

// Save writes a job's row. The core waits for the SaveResult before it does
// anything that depends on the row. A final row is the job's only answer.
type Save struct{ Record api.JobRecord }

// Notice reports a decision to counters, logs and the state dump.
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

// Reason is the typed reason of a decision.
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
