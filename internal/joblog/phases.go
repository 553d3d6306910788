package joblog

import (
	"slices"
	"time"
)

// Phase is what a job's time was spent on.
type Phase string

// The phases, in the order in which they are shown.
const (
	// Room is the wait for capacity.
	Room Phase = "room"
	// Claim is the wait for the end of runs that are being stopped for the job.
	Claim Phase = "claim"
	// Starting is the time from a placement to the order of the start.
	Starting Phase = "starting"
	// Running is the time in runs that ended done or have not ended.
	Running Phase = "running"
	// LostFailed, LostGang, LostStop and LostWorker are the time in runs whose work was
	// lost: the task failed, another member of its gang ended, the run was stopped, or
	// its worker or lease was lost.
	LostFailed Phase = "failed"
	LostGang   Phase = "gang"
	LostStop   Phase = "stopped"
	LostWorker Phase = "worker"
	// Takeover is the time without runs from the last decision of a term until the next
	// term began.
	Takeover Phase = "takeover"
)

// Phases lists all phases.
var Phases = []Phase{Room, Claim, Starting, Running, LostFailed, LostGang, LostStop, LostWorker, Takeover}

// phaseOfEnd returns what the time of a run that ended so was spent on.
func phaseOfEnd(end string) Phase {
	switch end {
	case "", "done":
		return Running
	case "failed":
		return LostFailed
	case "broken", "alone":
		return LostGang
	case "lapsed", "gone":
		return LostWorker
	default:
		return LostStop
	}
}

// span is a part of a job's time in one phase.
type span struct {
	from, to time.Time
	phase    Phase
}

// precedence orders phases that overlap: a job whose tasks run one by one is running
// while any of them does work that lasts.
var precedence = []Phase{Running, LostFailed, LostWorker, LostGang, LostStop, Starting, Claim, Takeover, Room}

// split divides the time of a job among the phases.
func (o *job) split(until time.Time, takeovers []span) map[Phase]time.Duration {
	begin, end := o.began(), o.ended
	if end.IsZero() {
		end = until
	}
	spans := append(o.spans(end), takeovers...)
	cuts := []time.Time{begin, end}
	for _, s := range spans {
		cuts = append(cuts, s.from, s.to)
	}
	slices.SortFunc(cuts, time.Time.Compare)
	out := map[Phase]time.Duration{}
	for i := 1; i < len(cuts); i++ {
		from, to := cuts[i-1], cuts[i]
		if from.Before(begin) || to.After(end) || !from.Before(to) {
			continue
		}
		out[phaseAt(spans, from)] += to.Sub(from)
	}
	return out
}

// phaseAt returns the phase of a job at a time.
func phaseAt(spans []span, at time.Time) Phase {
	best := len(precedence) - 1
	for _, s := range spans {
		if s.from.After(at) || !s.to.After(at) {
			continue
		}
		best = min(best, slices.Index(precedence, s.phase))
	}
	return precedence[best]
}

// spans returns the spans of a job's runs and claims. They may overlap.
func (o *job) spans(end time.Time) []span {
	var out []span
	var placements []time.Time
	for _, r := range o.sortedRuns() {
		ended := r.ended
		if ended.IsZero() {
			ended = end
		}
		if !r.placed.IsZero() {
			placements = append(placements, r.placed)
			out = append(out, span{r.placed, earliest(r.started, ended), Starting})
		}
		if !r.started.IsZero() {
			out = append(out, span{r.started, ended, phaseOfEnd(r.end)})
		}
	}
	slices.SortFunc(placements, time.Time.Compare)
	for _, at := range o.claims {
		out = append(out, span{at, nextAfter(placements, at, end), Claim})
	}
	return out
}

// earliest returns the earlier of two times of which the first may be missing.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// nextAfter returns the first of the sorted times after a time, or the default.
func nextAfter(times []time.Time, at, otherwise time.Time) time.Time {
	for _, t := range times {
		if t.After(at) {
			return t
		}
	}
	return otherwise
}
