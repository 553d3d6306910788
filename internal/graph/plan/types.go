// Package plan is the decision core for jobs that are graphs of steps: which
// task runs on which worker, when it is stopped, and when its end may be
// acknowledged. It is pure and deterministic: no I/O, no clock, no goroutines.
// The caller passes events with the time since the start of the owner's term
// and carries out the returned actions in order.
//
// Invariants:
//   - A start is ordered only after the placement is in the table, and an end
//     is acknowledged only after its effect is there.
//   - A task is placed again only when its last run has ended for certain: the
//     end was listed, the worker never had the run and never will, the worker's
//     incarnation is gone, or its lease has lapsed.
package plan

import (
	"strconv"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// Event is an input of the core.
type Event interface{ event() }

// JobSubmitted brings a job that is in the table, with its progress if it has any.
type JobSubmitted struct {
	Job      *graph.Job
	Progress *graph.Progress
}

// JobCancelled says that a job's cancelling is in the table.
type JobCancelled struct{ Job graph.JobID }

// WorkerInfo describes one incarnation of a worker.
type WorkerInfo struct {
	// ID is the host's name, which stays when the worker starts anew.
	ID string
	// Instance is the name that the worker has given itself, and Born its start
	// in milliseconds since 1970, 0 if it does not say.
	Instance        string
	StartUnixMillis int64 `json:"Born"`
	Pool            string
	Zone            string
	Rack            string
	Labels          []string
	Capacity        graph.Resources
	Draining        bool
	// DrainRemaining is how long a draining worker stays at least.
	DrainRemaining time.Duration `json:"Remaining"`
}

// Incarnation names one life of a worker: a host has one at a time.
func (w WorkerInfo) Incarnation() string {
	if w.Instance == "" {
		return ""
	}
	return w.Instance + "@" + strconv.FormatInt(w.StartUnixMillis, 10)
}

// RunAbsent says that a run is not on the worker and never will be.
type RunAbsent struct {
	Task   graph.TaskID
	Run    uint64
	Reason string
}

// WorkerReport is the whole truth about a worker, from its agent, which has
// seen this term's epoch. Session differs for each connection.
type WorkerReport struct {
	Worker  WorkerInfo
	Session string
	Running []graph.RunState
	Ended   []graph.RunEnd
	Absent  []RunAbsent
	// Number numbers the reports of a session; a Grant names it.
	Number uint64
	// WorkerResponsive is false while the worker does not answer its agent. It gets no
	// grants then: an order with a new deadline could still reach it.
	WorkerResponsive bool
	// WorkerLeft says that the worker has left and runs nothing any more.
	WorkerLeft bool
}

// SessionClosed says that the connection with a worker's agent has ended.
type SessionClosed struct{ Worker, Session string }

// ProgressSaved says that the progress with this number is in the table.
type ProgressSaved struct {
	Job    graph.JobID
	Number uint64
}

// PolicyChanged brings the operators' configuration.
type PolicyChanged struct{ Policy *policy.Snapshot }

// Tick lets time pass.
type Tick struct{}

func (JobSubmitted) event()  {}
func (JobCancelled) event()  {}
func (WorkerReport) event()  {}
func (SessionClosed) event() {}
func (ProgressSaved) event() {}
func (PolicyChanged) event() {}
func (Tick) event()          {}

// Action is an output of the core.
type Action interface{ action() }

// StartRun orders a run. It may be ordered again for the same run.
type StartRun struct {
	Worker      string
	Incarnation string
	Task        graph.TaskID
	Run         uint64
	Spec        string
	Checkpoint  string
	// FirstOfJob is set for the first start of a job; Waited is the time since its
	// submission then, and Guaranteed tells that it lay within a guarantee.
	FirstOfJob bool
	Guaranteed bool
	QueueTime  time.Duration
}

// StopRun orders the end of a run, also of one that may not have begun: the agent
// lists its end or reports it absent.
type StopRun struct {
	Worker      string
	Incarnation string
	Task        graph.TaskID
	Run         uint64
}

// GrantLease lets a worker's lease last for its whole length from when the report
// with this number was sent. The lease then ends before LeaseBound has passed
// since the core took the report.
type GrantLease struct {
	Worker       string
	Incarnation  string
	ReportNumber uint64
}

// AcknowledgeEnds lets a worker forget its ends up to a number.
type AcknowledgeEnds struct {
	Worker      string
	Incarnation string
	Number      uint64
}

// SaveProgress writes a job's progress; Saved answers it.
type SaveProgress struct {
	Job      graph.JobID
	Number   uint64
	Progress graph.Progress
}

// Notice reports a decision for logs and counters.
type Notice struct {
	Reason Reason
	Job    graph.JobID
	Task   string
	Run    uint64
	Worker string
	Detail string
}

func (StartRun) action()        {}
func (StopRun) action()         {}
func (GrantLease) action()      {}
func (AcknowledgeEnds) action() {}
func (SaveProgress) action()    {}
func (Notice) action()          {}

// Reason is a typed reason of a decision.
type Reason string

// The reasons of decisions.
const (
	ReasonAccepted           Reason = "accepted"
	ReasonPlaced             Reason = "placed"
	ReasonRunEnded           Reason = "run-ended"
	ReasonJobCompleted       Reason = "job-completed"
	ReasonJobFailed          Reason = "job-failed"
	ReasonJobCancelled       Reason = "job-cancelled"
	ReasonReclaimed          Reason = "reclaimed-for-guarantee"
	ReasonPreempted          Reason = "preempted"
	ReasonWorkerDraining     Reason = "worker-draining"
	ReasonNoProgress         Reason = "no-progress"
	ReasonNoOutcome          Reason = "order-without-outcome"
	ReasonWorkerUp           Reason = "worker-up"
	ReasonWorkerLost         Reason = "worker-lost"
	ReasonIncarnationChanged Reason = "worker-incarnation-changed"
	ReasonWorkerQuarantined  Reason = "worker-quarantined"
	ReasonUnknownRun         Reason = "unknown-run-stopped"
)
