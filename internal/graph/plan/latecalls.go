package plan

import (
	"fmt"
	"slices"
	"time"
)

// A worker may start again under its instance name and then execute a call that was meant for
// the earlier incarnation. A lease in such a call is a time on the earlier clock, so the worker
// takes it for the longest that it accepts, from that moment on. The agent tells until when that
// may have happened, and of which runs a start had no answer: they may begin on an incarnation
// that has not been heard of. Where the agent is gone too, the time of the placement bounds both.

const (
	// startWindow is the longest time from a stored placement to the last call that starts the run.
	startWindow = orderTimeout + maxPlacementAge
	// maxPlacementAge is the longest time for which a placement may have been under way to the
	// table before its starts are ordered.
	maxPlacementAge = 2 * time.Second
	// maxClockOffset is the largest difference between the wall clocks of two owners.
	maxClockOffset = 2 * time.Second
	// lateCallTime is the longest time after which a worker executes a call that it has not
	// answered.
	lateCallTime = 12 * time.Second
)

// leaseEnd returns the time by which a worker's lease has expired if no other one is granted.
func (c *Core) leaseEnd(w *worker) time.Duration {
	return max(w.lastGrantAt+c.cfg.LeaseBound, w.lateLeaseEnd)
}

// recordLateLease records until when a worker's lease may go on by a late call.
func (c *Core) recordLateLease(w *worker, l LateCalls) {
	if l.Lease && c.cfg.LateLeaseBound > 0 {
		w.lateLeaseEnd = max(w.lateLeaseEnd, c.now-l.LeaseAge+c.cfg.LateLeaseBound)
	}
}

// recordLateStarts records which runs on a worker may begin by a late call.
func (c *Core) recordLateStarts(w *worker, l LateCalls) {
	if c.cfg.LateLeaseBound == 0 {
		return
	}
	for _, m := range w.members {
		i := slices.IndexFunc(l.Starts, func(s LateStart) bool { return s.Task == m.task && s.Run == m.run })
		switch {
		case m.running || m.accepted:
			m.latestEnd = 0
		case i >= 0:
			m.latestEnd = c.now - l.Starts[i].Age + lateCallTime + c.cfg.LateLeaseBound
		case c.allCallsMade(m) && c.sinceStart(m) < l.AgentAge:
			m.latestEnd = 0
		}
	}
}

// allCallsMade reports whether no start call is made any more of a member's run, which its worker
// has not accepted.
func (c *Core) allCallsMade(m *member) bool {
	if m.recovered {
		return c.now-c.placedAt(m.unit.job) > startWindow+maxClockOffset
	}
	return c.now-m.startedAt > orderTimeout
}

// sinceStart returns the longest time since a start call of a member's run may have been made.
func (c *Core) sinceStart(m *member) time.Duration {
	if m.recovered {
		return c.now - c.placedAt(m.unit.job) + maxClockOffset
	}
	return c.now - m.startedAt
}

// latestEndOfStart returns member.latestEnd for a run of which the start is ordered now.
func (c *Core) latestEndOfStart() time.Duration {
	if c.cfg.LateLeaseBound == 0 {
		return 0
	}
	return c.now + orderTimeout + lateCallTime + c.cfg.LateLeaseBound
}

// placedAt returns when a unit of a job was last placed, by the clock of the owner that did it.
func (c *Core) placedAt(j *job) time.Duration { return j.placedAt.Sub(c.cfg.TermStart) }

// firstLateRun returns the lowest number of a run of the job that may begin, or go on, by a late
// call; 0 if there is none.
func (j *job) firstLateRun() uint64 {
	first := uint64(0)
	for _, u := range j.units {
		for _, m := range u.members {
			w := m.worker
			late := !m.startSent && !m.recovered || m.latestEnd > 0 || w.lateLeaseEnd > w.lastReportAt
			if !m.ended && late && (first == 0 || m.run < first) {
				first = m.run
			}
		}
	}
	return first
}

// restoreLateRuns sets member.latestEnd of the runs from a number on, which an earlier owner has
// placed.
func (c *Core) restoreLateRuns(j *job, from uint64) {
	if c.cfg.LateLeaseBound == 0 || j.placedAt.IsZero() || from == 0 {
		return
	}
	latest := min(c.placedAt(j)+maxClockOffset, 0) + startWindow + lateCallTime + c.cfg.LateLeaseBound
	for _, u := range j.units {
		for _, m := range u.members {
			if m.run >= from {
				m.latestEnd = latest
			}
		}
	}
}

// describeAwaited tells how many runs on a lost worker may still begin, or go on, by a late call.
func (c *Core) describeAwaited(w *worker) string {
	awaited, latest := 0, time.Duration(0)
	for _, m := range w.members {
		if m.latestEnd > c.now {
			awaited, latest = awaited+1, max(latest, m.latestEnd)
		}
	}
	if awaited == 0 {
		return ""
	}
	return fmt.Sprintf("; %d runs may begin by a late start and are awaited, for %v at most", awaited, latest-c.now)
}
