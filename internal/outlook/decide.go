package outlook

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootlug/coltsfootlug/internal/delaycost"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// MaxAge is the age beyond which an outlook refuses nothing.
	MaxAge = 1500 * time.Millisecond
	// longestRunMargin times the longest run of a queue is assumed to be longer than
	// any run of a new job. Run times of one queue vary with a sigma of 0.3 to 0.5.
	longestRunMargin = 1.5
	// waveShare is the fraction of a pool that one step is assumed to occupy at once: a
	// step that needs more runs in several waves, which lengthens its job's path.
	waveShare = 0.25
	// minRetryAfter is the least delay that is told to a caller. The header has a
	// resolution of a second.
	minRetryAfter = time.Second
	// retrySpread is the fraction by which the delay is lengthened at most, so that
	// callers don't return at once.
	retrySpread = 0.5
)

// Reason is the typed reason for a decision of admission.
type Reason string

// The reasons. Only ReasonWorthless refuses.
const (
	ReasonNoOutlook       Reason = "outlook-missing"
	ReasonStale           Reason = "outlook-stale"
	ReasonNoObjective     Reason = "no-objective"
	ReasonWithinGuarantee Reason = "within-guarantee"
	ReasonRunTimesUnknown Reason = "run-times-unknown"
	ReasonInTime          Reason = "start-in-time"
	ReasonWorthless       Reason = "worthless-by-bound"
)

// Ages are the ages of an outlook, on the clock of the entry that decides.
type Ages struct {
	Built     time.Duration // since it was built
	Confirmed time.Duration // since the owner last found that it still holds
}

// Request is a job that a caller submits now.
type Request struct {
	Job *graph.Job
	// Guaranteed is the guarantee of the job's account in accelerators, by the
	// configuration of the entry.
	Guaranteed int
}

// Decision is the decision on one job, with its inputs for the log.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // only if refused
	// Bound is the earliest start from now of the step that decided, and LatestStart
	// its latest start with which the job may still have some value.
	Bound, LatestStart time.Duration
	Step               int
	Ages               Ages
	Token, Sequence    uint64
	GuaranteeUsed      int // of the account, in accelerators
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason == ReasonWorthless }

// Decide decides whether a job that is submitted now is accepted. It refuses a job only
// if some step of it starts too late by the bound for any run time of its tasks that is
// possible. The age of the job counts as zero, since the entry does not know when the
// caller first called; this makes a refusal rarer.
func Decide(r Request, o *Outlook, ages Ages) Decision {
	d := Decision{Ages: ages}
	if o == nil {
		d.Reason = ReasonNoOutlook
		return d
	}
	d.Token, d.Sequence, d.GuaranteeUsed = o.Token, o.Sequence, o.guarantee(r.Job.Account).Used
	switch {
	case ages.Confirmed > MaxAge || ages.Confirmed < 0 || ages.Built < 0:
		d.Reason = ReasonStale
	case r.Job.Stretch <= 0 && r.Job.Allowance <= 0:
		d.Reason = ReasonNoObjective
	case r.mayClaim(o):
		d.Reason = ReasonWithinGuarantee
	default:
		d.compareStarts(r.Job, o)
	}
	return d
}

// mayClaim reports whether the job may be within its account's guarantee, now or when
// older jobs of the account have ended. The use of the guarantee does not matter: it
// may have ended since the outlook was built.
func (r *Request) mayClaim(o *Outlook) bool {
	guaranteed := max(r.Guaranteed, o.guarantee(r.Job.Account).Guaranteed)
	if r.Job.Priority != 0 || guaranteed == 0 {
		return false
	}
	for i := range r.Job.Steps {
		if r.Job.Steps[i].TotalNeeds().Accelerators > guaranteed {
			return false
		}
	}
	return true
}

// compareStarts compares the bound of each step with its latest start of value.
func (d *Decision) compareStarts(job *graph.Job, o *Outlook) {
	d.Reason = ReasonInTime
	longest, known := o.longestRun(job.Queue)
	if !known {
		d.Reason = ReasonRunTimesUnknown
		return
	}
	path := longestPath(job, longest, o.accelerators(job.Pool))
	excess := time.Duration(-1)
	for i := range job.Steps {
		bound := o.EarliestStart(job, i) - d.Ages.Built - ChangeThreshold
		latest := delaycost.WorthlessFactor*path.objective - path.tails[i]
		if d.Bound == 0 && d.LatestStart == 0 || bound-latest > excess {
			excess = bound - latest
			d.Step, d.Bound, d.LatestStart = i, max(0, bound), latest
		}
	}
	if excess <= 0 {
		return
	}
	d.Reason = ReasonWorthless
	inTime := max(0, path.objective-path.tails[d.Step])
	d.RetryAfter = spread(max(minRetryAfter, d.Bound-inTime), job.ID)
}

// EarliestStart returns the highest bound that holds for a step, 0 if there is none.
func (o *Outlook) EarliestStart(job *graph.Job, step int) time.Duration {
	objective := job.ObjectiveFor(estimates(job))
	var highest time.Duration
	for i := range o.Starts {
		if s := &o.Starts[i]; s.matches(job, &job.Steps[step], objective) {
			highest = max(highest, s.Delay)
		}
	}
	return highest
}

func estimates(job *graph.Job) []time.Duration {
	out := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		out[i] = job.Steps[i].Estimate
	}
	return out
}

// jobPath is what the latest starts of a job's steps follow from.
type jobPath struct {
	objective time.Duration
	tails     []time.Duration // by step, the time from its start to the end of the job
}

// longestPath returns the path of a job whose tasks all run for as long as possible. A
// job has value for longer if its tasks run longer, as its objective grows by Stretch
// times that; it is therefore worthless for any run times if it is for these.
func longestPath(job *graph.Job, longest time.Duration, poolAccelerators int) jobPath {
	runs, runsWithWaves := make([]time.Duration, len(job.Steps)), make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		s := &job.Steps[i]
		runs[i] = max(s.Estimate, time.Duration(longestRunMargin*float64(longest)))
		runsWithWaves[i] = time.Duration(float64(runs[i]) * waves(s, poolAccelerators))
	}
	return jobPath{objective: job.ObjectiveFor(runsWithWaves), tails: tails(job, runs)}
}

// waves returns the number of waves in which a step runs, at least 1.
func waves(s *graph.Step, poolAccelerators int) float64 {
	if poolAccelerators == 0 {
		return float64(s.Count) // nothing is known of the pool: one task after the other
	}
	return max(1, float64(s.Count*max(s.Needs.Accelerators, 1))/(waveShare*float64(poolAccelerators)))
}

// tails returns the time from the start of each step to the end of the job. It is zero
// for a queue with so small a stretch that a longer run leaves less time to start.
func tails(job *graph.Job, runs []time.Duration) []time.Duration {
	out := make([]time.Duration, len(job.Steps))
	if delaycost.WorthlessFactor*job.Stretch < 1 {
		return out
	}
	for i := len(job.Steps) - 1; i >= 0; i-- {
		out[i] += runs[i]
		for _, before := range job.Steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}

// spread lengthens a delay by a fraction of up to retrySpread that follows from the
// job's ID.
func spread(delay time.Duration, id graph.JobID) time.Duration {
	const buckets = 1 << 16
	fraction := float64(xxhash.Sum64String(string(id))%buckets) / buckets
	return delay + time.Duration(retrySpread*fraction*float64(delay))
}
