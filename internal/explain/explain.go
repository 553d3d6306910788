// Package explain describes where a job would be placed now and why. The owner of
// scheduling fills in a Report, and coltsfootctl prints it. Times are in milliseconds
// relative to the time of the report; past ones are negative.
package explain

import (
	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Path is the path of the debug page that explains.
const Path = "/debug/explain"

// Request asks about a job that waits already, by its ID, or about one that is not
// submitted, by the other fields.
type Request struct {
	Job     graph.JobID  `json:"job,omitempty"`
	Queue   string       `json:"queue,omitempty"`
	Account string       `json:"account,omitempty"`
	Steps   []graph.Step `json:"steps,omitempty"`
}

// Validate returns a NotValid error for a request that no owner can answer.
func (r *Request) Validate() error {
	switch {
	case r.Job != "" && (r.Queue != "" || r.Account != "" || len(r.Steps) > 0):
		return errors.NotValidf("request with a job ID and a queue, account or steps")
	case r.Job != "":
		return nil
	case r.Queue == "":
		return errors.NotValidf("request without a job ID and without a queue")
	}
	return (&graph.Job{Steps: r.Steps}).Validate()
}

// Verdict sums up a report.
type Verdict string

// The verdicts.
const (
	StartsNow Verdict = "starts-now" // a step fits now
	Waits     Verdict = "waits"
	Refused   Verdict = "refused" // by admission
	NeverFits Verdict = "never"   // a step does not fit on the known workers, even if they were empty
	Running   Verdict = "running" // no step of the job waits for a place
)

// Exclusion is the typed reason that rules a worker out for a unit.
type Exclusion string

// The reasons, in the order in which they are checked. The first one counts.
const (
	NoSession      Exclusion = "no-session"  // not connected, or its lease has expired
	Silent         Exclusion = "silent"      // its last report is too old, or it does not answer its agent
	OtherPool      Exclusion = "other-pool"  // serves another pool
	LongName       Exclusion = "long-name"   // its name is too long for the progress of a job
	Draining       Exclusion = "draining"    // leaves soon
	ZoneOut        Exclusion = "zone-out"    // its zone is taken out
	Quarantined    Exclusion = "quarantined" // after failures of several units
	Avoided        Exclusion = "avoided"     // the unit failed or was refused there, or units that have crashed workers would meet
	RecentFailure  Exclusion = "recent-failure"
	MissingLabel   Exclusion = "missing-label"
	TooSlow        Exclusion = "too-slow"
	Headroom       Exclusion = "headroom" // kept open for priority 0
	NoAccelerators Exclusion = "accelerators"
	NoCores        Exclusion = "cores"
	NoMemory       Exclusion = "memory"
	Claimed        Exclusion = "claimed"          // held for a unit whose victims are being stopped
	Reserved       Exclusion = "reserved"         // for units that are ahead
	TasksPerWorker Exclusion = "tasks-per-worker" // the limit of the step is reached
)

// NotExcluded means that no reason rules the worker out.
const NotExcluded Exclusion = ""

// Exclusions lists the reasons in order.
var Exclusions = []Exclusion{NoSession, Silent, OtherPool, LongName, Draining, ZoneOut, Quarantined, Avoided, RecentFailure, MissingLabel,
	TooSlow, Headroom, NoAccelerators, NoCores, NoMemory, Claimed, Reserved, TasksPerWorker}

// Excluded is the number of workers that a reason rules out.
type Excluded struct {
	Reason  Exclusion `json:"reason"`
	Workers int       `json:"workers"`
}

// Plan is what the owner would do with a unit.
type Plan string

// The plans.
const (
	Place         Plan = "place"           // it fits now
	Claim         Plan = "claim"           // others are stopped for it
	Reserve       Plan = "reserve"         // a place is reserved for when it is expected to fit
	WaitForFaster Plan = "wait-for-faster" // it fits now, but loses less by waiting for faster workers
	Wait          Plan = "wait"            // without a reservation
)

// Allocation is a number of tasks on a worker.
type Allocation struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
}

// Victim is a run that would be stopped.
type Victim struct {
	Job  graph.JobID `json:"job"`
	Task string      `json:"task"`
}

// Step describes the first unit of a step that is ready to start.
type Step struct {
	Step      int          `json:"step"`
	Units     int          `json:"units"` // of the step that are ready
	Tasks     int          `json:"tasks"` // of the unit
	Workers   int          `json:"workers"`
	Suitable  int          `json:"suitable"`   // workers with room for a task at least
	TasksFit  int          `json:"tasks_fit"`  // on them together, at most Tasks
	RuledOut  []Excluded   `json:"ruled_out"`  // the other workers
	NeverFits bool         `json:"never_fits"` // not even if the known workers were empty
	Plan      Plan         `json:"plan"`
	Placement []Allocation `json:"placement,omitempty"` // for a reservation, when it begins
	Victims   []Victim     `json:"victims,omitempty"`
	// NoPlace tells why a unit waits without a reservation.
	NoPlace string `json:"no_place,omitempty"`
	// StartMS and EndMS are the expected start and end, absent if not known.
	StartMS *int64 `json:"start_ms,omitempty"`
	EndMS   *int64 `json:"end_ms,omitempty"`
}

// Ahead describes what comes before the job.
type Ahead struct {
	Jobs  int           `json:"jobs"`
	Units int           `json:"units"`
	First []graph.JobID `json:"first"` // of the jobs, MaxAheadListed at most
}

// MaxAheadListed is the number of jobs ahead that a report lists.
const MaxAheadListed = 5

// Order is the place of the job in the scheduling order.
type Order struct {
	Rank     int     `json:"rank"`
	Urgency  string  `json:"urgency"`
	WaitLoss float64 `json:"wait_loss"` // per core-second; 0 if the job is not ordered by it
	Ahead    Ahead   `json:"ahead"`
}

// Guarantee is the guarantee of the job's account in accelerators.
type Guarantee struct {
	Guaranteed int  `json:"guaranteed"`
	Used       int  `json:"used"` // by all jobs within it, with this one
	Within     bool `json:"within"`
}

// Admission is the decision of admission on a job that is not submitted.
type Admission struct {
	Refused       bool   `json:"refused"`
	Reason        string `json:"reason"`
	BoundMS       int64  `json:"bound_ms"`
	LatestStartMS int64  `json:"latest_start_ms"`
	RetryAfterMS  int64  `json:"retry_after_ms"`
	OutlookAgeMS  int64  `json:"outlook_age_ms"`
}

// Basis is the age of the data that the report rests on.
type Basis struct {
	// OldestReportMS is the age of the last report of the connected worker of the pool
	// that has been silent for longest.
	OldestReportMS int64  `json:"oldest_report_ms"`
	ConfigVersion  uint64 `json:"config_version"`
	// ConfigAgeMS is the time since the configuration was last confirmed.
	ConfigAgeMS int64  `json:"config_age_ms"`
	Token       uint64 `json:"token"` // fencing token of the owner's term
}

// Report describes where a job would be placed now and why.
type Report struct {
	Verdict   Verdict     `json:"verdict"`
	Job       graph.JobID `json:"job,omitempty"` // empty for a job that is not submitted
	Queue     string      `json:"queue"`
	Account   string      `json:"account"`
	Pool      string      `json:"pool"`
	Priority  int         `json:"priority"`
	Order     Order       `json:"order"`
	Steps     []Step      `json:"steps"`
	NotReady  []int       `json:"not_ready"` // steps without a unit that is ready
	Guarantee Guarantee   `json:"guarantee"`
	Admission *Admission  `json:"admission,omitempty"`
	// StartMS and EndMS are the expected first start and the expected end of the job.
	StartMS     *int64 `json:"start_ms,omitempty"`
	EndMS       *int64 `json:"end_ms,omitempty"`
	ObjectiveMS int64  `json:"objective_ms"`
	DueMS       int64  `json:"due_ms"`
	WorthlessMS int64  `json:"worthless_ms"` // after it, the job has no value
	Basis       Basis  `json:"basis"`
}

// Elsewhere is the answer of an entry that does not own scheduling.
type Elsewhere struct {
	Owner string `json:"owner"` // address of the owner's debug pages
}
