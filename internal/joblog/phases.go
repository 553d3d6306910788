package joblog

import (
	"slices"
	"strings"
	"time"
)

// Phase is what a job's time was spent on.
type Phase string

// The phases, in the order in which they are shown.
const (
	// Room is the wait for capacity, and Rack that for capacity in one rack, once a line
	// tells so.
	Room Phase = "room"
	Rack Phase = "rack"
	// Claim is the wait for the end of runs that are being stopped for the job.
	Claim Phase = "claim"
	// Pause is the time after a save that the table rejected.
	Pause Phase = "pause"
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
var Phases = []Phase{Room, Rack, Claim, Pause, Starting, Running, LostFailed, LostGang, LostStop, LostWorker, Takeover}

// phaseOfEnd returns what the time of a run that ended so was spent on.
func phaseOfEnd(end string) Phase {
	switch end {
	case "", endDone:
		return Running
	case endFailed:
		return LostFailed
	case endBroken, endAlone:
		return LostGang
	case endLapsed, endGone:
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
var precedence = []Phase{Running, LostFailed, LostWorker, LostGang, LostStop, Starting, Pause, Claim, Takeover, Rack, Room}

// split divides the time of a job among the phases.
func (o *job) split(until time.Time, takeovers []span) map[Phase]time.Duration {
	end := firstTime(o.ended, until)
	out := map[Phase]time.Duration{}
	for _, s := range divide(o.began(), end, append(o.spans(end), takeovers...)) {
		out[s.phase] += s.to.Sub(s.from)
	}
	return out
}

// edge is the begin or the end of a span.
type edge struct {
	at    time.Time
	phase int // in precedence
	count int // 1 or -1
}

// divide returns the phase at each time between two, in order and without gaps. Spans may
// overlap; where there is none it is the last one of precedence.
func divide(begin, end time.Time, spans []span) []span {
	if !begin.Before(end) {
		return nil
	}
	edges := []edge{{at: begin}, {at: end}}
	for _, s := range spans {
		from, to := latest(s.from, begin), earliest(s.to, end)
		if from.Before(to) {
			phase := slices.Index(precedence, s.phase)
			edges = append(edges, edge{from, phase, 1}, edge{to, phase, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return a.at.Compare(b.at) })
	var out []span
	open := make([]int, len(precedence))
	for i, e := range edges {
		open[e.phase] += e.count
		if i+1 < len(edges) && e.at.Before(edges[i+1].at) {
			out = append(out, span{e.at, edges[i+1].at, highest(open)})
		}
	}
	return out
}

// highest returns the first phase of precedence of which a span is open.
func highest(open []int) Phase {
	for i, n := range open {
		if n > 0 {
			return precedence[i]
		}
	}
	return precedence[len(precedence)-1]
}

// spans returns the spans of a job's runs and of what it waited for. They may overlap.
func (o *job) spans(end time.Time) []span {
	var out []span
	for _, u := range o.units {
		for _, r := range u.members {
			ended := r.ended
			if ended.IsZero() {
				ended = end
			}
			if !r.placed.IsZero() {
				out = append(out, span{r.placed, earliest(r.started, ended), Starting})
			}
			if !r.started.IsZero() {
				out = append(out, span{r.started, ended, phaseOfEnd(r.end)})
			}
		}
	}
	return append(out, o.waitSpans(end)...)
}

// claimBound is the longest time for which a claim is shown. Its end has no line; the owner
// gives it up when its victims have not stopped in time.
const claimBound = 2 * time.Second

// waitSpans returns what a job waited for, but for capacity in general and owners.
func (o *job) waitSpans(end time.Time) []span {
	var placements []time.Time
	for _, u := range o.units {
		for _, r := range u.members {
			if !r.placed.IsZero() {
				placements = append(placements, r.placed)
			}
		}
	}
	slices.SortFunc(placements, time.Time.Compare)
	out := slices.Clone(o.pauses)
	for _, at := range o.claims {
		out = append(out, span{at, earliest(at.Add(claimBound), nextAfter(placements, at, end)), Claim})
	}
	for _, w := range o.waits {
		if strings.Contains(w.Reason, "in one rack") {
			out = append(out, span{w.At, nextAfter(placements, w.At, end), Rack})
		}
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
