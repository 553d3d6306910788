// Package plan is the decision core for multi-step jobs. It decides which worker
// runs a task, when a run is stopped, and when its end may be acknowledged. It is
// deterministic and does no I/O, reads no clock and starts no goroutines. The
// caller passes events with the time since the start of the owner's term and
// executes the returned actions in order.
//
// Invariants:
//   - A start is ordered only after the placement is stored in the table, and an
//     end is acknowledged only after its effect is stored there.
//   - A task is placed again only once its last run has certainly ended: the
//     worker reported the end, the worker never had the run and never will, the
//     incarnation on which it had begun has ended, or its lease has expired.
package plan

import (
	"strconv"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// Event is an input to the core.
type Event interface{ event() }

// JobSubmitted adds a job that is stored in the table, with its progress if it
// has any, and the ends of SaveEnds that are stored beside it.
type JobSubmitted struct {
	Job      *graph.Job
	Progress *graph.Progress
	Ends     []graph.RunEnd
}

// JobCancelled reports that the cancellation of a job is stored in the table.
type JobCancelled struct{ Job graph.JobID }

// JobUnreadable reports that rows of a job in the table cannot be read. JobSubmitted or
// JobRemoved follows once they can, or are gone. Ends are those of SaveEnds that are stored.
type JobUnreadable struct {
	Job  graph.JobID
	Ends []graph.RunEnd
}

// JobRemoved reports that a job that was unreadable is not in the table any more.
type JobRemoved struct{ Job graph.JobID }

// WorkerInfo describes one incarnation of a worker.
type WorkerInfo struct {
	// ID is the host name; it survives restarts of the worker.
	ID string
	// Instance is the name that the worker chose for itself. StartUnixMillis is its
	// start in milliseconds since 1970, or 0 if it does not report one.
	Instance        string
	StartUnixMillis int64 `json:"Born"`
	Pool            string
	Zone            string
	Rack            string
	Labels          []string
	Capacity        graph.Resources
	Draining        bool
	// DrainRemaining is the minimum time for which a draining worker stays up.
	DrainRemaining time.Duration `json:"Remaining"`
}

// Incarnation identifies one process lifetime of a worker. A host runs at most
// one at a time. It is empty if the worker reports no instance name.
func (w WorkerInfo) Incarnation() string {
	if w.Instance == "" {
		return ""
	}
	return w.Instance + "@" + strconv.FormatInt(w.StartUnixMillis, 10)
}

// RunAbsent reports that a run is not on the worker and never will be. Reason is AbsentStopped,
// or tells why the worker has not started it.
type RunAbsent struct {
	Task   graph.TaskID
	Run    uint64
	Reason string
}

// AbsentStopped is the reason of a run that is absent because its owner has ordered it to stop.
const AbsentStopped = "stopped"

// tellsRefusal reports whether the worker has not started the run for a reason of its own.
func (a RunAbsent) tellsRefusal() bool { return a.Reason != "" && a.Reason != AbsentStopped }

// RunRef identifies a run of a task.
type RunRef struct {
	Task graph.TaskID
	Run  uint64
}

// WorkerReport is the complete state of a worker, sent by its agent. The agent
// has seen the epoch of this term. Each connection has its own Session.
type WorkerReport struct {
	Worker  WorkerInfo
	Session string
	Running []graph.RunState
	Ended   []graph.RunEnd
	Absent  []RunAbsent
	// MoreEnds is set if the worker may hold ends behind Ended, so that a run that neither
	// list shows may have ended.
	MoreEnds bool
	// ListAge is the age of Running when the report was sent.
	ListAge time.Duration
	// Number is the sequence number of the report within the session. GrantLease
	// refers to it.
	Number uint64
	// WorkerResponsive is false while the worker does not answer its agent. No
	// leases are granted then, because an order with a new deadline could still
	// reach the worker.
	WorkerResponsive bool
	// WorkerLeft reports that the worker has left and no longer runs anything.
	WorkerLeft bool
	// Accepted holds the runs that the worker has accepted since Running was listed. Lost
	// holds those that its earlier incarnation had accepted or listed when that ended
	// without notice while this agent ran.
	Accepted, Lost []RunRef
	Late           LateCalls
}

// LateCalls is what an agent knows of calls to its worker that may take effect late, also on
// the next incarnation of the worker's name.
type LateCalls struct {
	// AgentAge is the time for which the agent has run. It knows nothing of the calls of the
	// process before.
	AgentAge time.Duration
	// Called holds the runs that this process has called the worker to start lately, if it has run
	// for less than 30 s. The process before had no order for them.
	Called []RunRef
	// Lease is set if the worker's lease may rest on a call that was meant for an earlier
	// incarnation, and was executed LeaseAge ago at the latest.
	Lease    bool
	LeaseAge time.Duration
	// Starts holds the runs of which a start call of the agent had no answer lately, whether or
	// not they have begun or ended since.
	Starts []LateStart
}

// LateStart is a run of which a start call has had no answer. Age is that of the last such call.
type LateStart struct {
	RunRef
	Age time.Duration
}

// AgentConnected reports what an agent knows of late calls before it has listed the runs of its
// worker under the term's epoch.
type AgentConnected struct {
	Worker string
	Late   LateCalls
}

// SessionClosed reports that the connection to a worker's agent has ended.
type SessionClosed struct{ Worker, Session string }

// ProgressSaved reports that the progress with this number is stored in the
// table.
type ProgressSaved struct {
	Job    graph.JobID
	Number uint64
}

// SaveRejected reports, in place of ProgressSaved, that the table rejects the content of
// the progress with this number, and would always do so.
type SaveRejected struct {
	Job    graph.JobID
	Number uint64
}

// EndsSaved reports that the ends with this number are stored in the table, or that it
// rejects them.
type EndsSaved struct {
	Job      graph.JobID
	Number   uint64
	Rejected bool
}

// PolicyChanged carries a new version of the operators' configuration.
type PolicyChanged struct{ Policy *policy.Snapshot }

// Tick advances time without another event.
type Tick struct{}

func (JobSubmitted) event()   {}
func (JobCancelled) event()   {}
func (JobUnreadable) event()  {}
func (JobRemoved) event()     {}
func (WorkerReport) event()   {}
func (AgentConnected) event() {}
func (SessionClosed) event()  {}
func (ProgressSaved) event()  {}
func (SaveRejected) event()   {}
func (EndsSaved) event()      {}
func (PolicyChanged) event()  {}
func (Tick) event()           {}

// Action is an output of the core, to be executed by the caller.
type Action interface{ action() }

// StartRun orders a worker to start a run. It may be repeated for the same run.
type StartRun struct {
	Worker      string
	Incarnation string
	Task        graph.TaskID
	Run         uint64
	Spec        string
	Checkpoint  string
	// Capacity is the worker's capacity on which the placement rests.
	Capacity graph.Resources
	// FirstOfJob is set on the first start of a job. QueueTime is then the time
	// since submission, and Guaranteed reports that the job was within a guarantee.
	FirstOfJob bool
	Guaranteed bool
	QueueTime  time.Duration
}

// StopRun orders a worker to stop a run, including one that may not have started.
// The agent reports either the run's end or its absence. Reason is for the log.
type StopRun struct {
	Worker      string
	Incarnation string
	Task        graph.TaskID
	Run         uint64
	Reason      string
}

// GrantLease renews a worker's lease for its full duration, counted from the time
// at which the numbered report was sent. The lease therefore expires within
// LeaseBound of the core handling that report.
type GrantLease struct {
	Worker       string
	Incarnation  string
	ReportNumber uint64
}

// AcknowledgeEnds allows a worker to discard its run ends up to and including
// Number.
type AcknowledgeEnds struct {
	Worker      string
	Incarnation string
	Number      uint64
}

// SaveProgress stores the progress of a job with the given steps. The caller answers
// with ProgressSaved or SaveRejected.
type SaveProgress struct {
	Job      graph.JobID
	Number   uint64
	Steps    []graph.Step
	Progress graph.Progress
	// StateOnly is set for a final job of which no task is stored, as the table has rejected
	// them.
	StateOnly bool
}

// SaveEnds stores all ends of a job's runs that are kept, as its progress cannot be stored.
// They replace those stored before. The caller answers with EndsSaved, and removes them with
// the next save of the progress.
type SaveEnds struct {
	Job    graph.JobID
	Number uint64
	Ends   []graph.RunEnd
}

// Notice reports a decision for logging and metrics.
type Notice struct {
	Reason Reason
	Job    graph.JobID
	Task   string
	Run    uint64
	Worker string
	Detail string
	// Cause tells why a run ended in the way that Detail says, where the owner knows more
	// than that.
	Cause string
	// Size is set on ReasonPlaced, for the first task of the unit.
	Size *UnitSize
}

// UnitSize is the number of tasks of a unit and what each of them needs.
type UnitSize struct {
	Tasks int
	Needs graph.Resources
}

func (StartRun) action()        {}
func (StopRun) action()         {}
func (GrantLease) action()      {}
func (AcknowledgeEnds) action() {}
func (SaveProgress) action()    {}
func (SaveEnds) action()        {}
func (Notice) action()          {}

// Reason is the typed reason for a decision.
type Reason string

// The reasons for decisions.
const (
	ReasonAccepted           Reason = "accepted"
	ReasonPlaced             Reason = "placed"
	ReasonRunEnded           Reason = "run-ended"
	ReasonJobCompleted       Reason = "job-completed"
	ReasonJobFailed          Reason = "job-failed"
	ReasonJobCrashesWorkers  Reason = "job-crashes-workers"
	ReasonJobCancelled       Reason = "job-cancelled"
	ReasonReclaimed          Reason = "reclaimed-for-guarantee"
	ReasonPreempted          Reason = "preempted"
	ReasonRecalled           Reason = "recalled-for-reservation"
	ReasonWaitsForRoom       Reason = "waits-for-room"
	ReasonIdleWaitEnded      Reason = "idle-wait-ended"
	ReasonWorkerDraining     Reason = "worker-draining"
	ReasonNoProgress         Reason = "no-progress"
	ReasonNoOutcome          Reason = "order-without-outcome"
	ReasonUnitHeld           Reason = "unit-held"
	ReasonAwaitsLateCalls    Reason = "late-starts-awaited"
	ReasonWorkerUp           Reason = "worker-up"
	ReasonWorkerLost         Reason = "worker-lost"
	ReasonIncarnationChanged Reason = "worker-incarnation-changed"
	ReasonWorkerCrashed      Reason = "worker-crashed"
	ReasonWorkerQuarantined  Reason = "worker-quarantined"
	ReasonQuarantineLifted   Reason = "worker-quarantine-lifted"
	ReasonWorkerSlow         Reason = "worker-slow"
	ReasonWorkerFast         Reason = "worker-fast"
	ReasonWorkersUneven      Reason = "workers-uneven"
	ReasonWorkersEven        Reason = "workers-even"
	ReasonRunLagging         Reason = "run-lagging"
	ReasonUnknownRun         Reason = "unknown-run-stopped"
	ReasonRunTimeLearned     Reason = "run-time-learned"
	ReasonRunTimeRevised     Reason = "run-time-revised"
	ReasonJobWorthless       Reason = "job-worthless"
	ReasonJobYielded         Reason = "job-yielded"
	ReasonJobMoved           Reason = "job-moved"
	ReasonHeadroomChanged    Reason = "headroom-changed"
	ReasonHeadroomUsed       Reason = "headroom-used"
	ReasonLongCheckpoint     Reason = "checkpoint-too-long"
	ReasonSaveRejected       Reason = "save-rejected"
	ReasonEndHeld            Reason = "end-held"
	ReasonEndGivenUp         Reason = "end-given-up"
	ReasonVictimStoppedOften Reason = "victim-stopped-often"
)
