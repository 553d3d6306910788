package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// A worker may start again under its instance name and then execute a call that was meant for
// an earlier incarnation. A lease in such a call is a time on the earlier clock, so the worker
// takes it for the longest that it accepts, from that moment on. The agent tells until when that
// may have happened, and of which runs a start call had no answer: they may begin, or begin again,
// on any later incarnation until the call is too old. Where the agent is gone too, the time of the
// placement bounds both.

const (
	// startWindow is the longest time from a stored placement to the last call that starts the run.
	startWindow = orderTimeout + maxPlacementAge
	// maxPlacementAge is the longest time for which a placement may have been under way to the
	// table before its starts are ordered.
	maxPlacementAge = 2 * time.Second
	// maxClockOffset is the largest difference between the wall clocks of two owners.
	maxClockOffset = 2 * time.Second
	// LateCallTime is the longest time after which a worker executes a call that it has not
	// answered.
	LateCallTime = 12 * time.Second
	// leaseCallTime is the longest time from a granted report to a Hold call of the agent that
	// extends the lease: the first one without an answer is given up after it.
	leaseCallTime = 1100 * time.Millisecond
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

// recordLateStarts records until when start calls of the runs on a worker may be executed. That a
// run has begun, ended or was stopped settles none of them: the next incarnation of the worker
// knows nothing of it. settled reports whether the agent makes no more calls of a run. While it may
// make more, what it reports as unanswered does not shorten the time.
func (c *Core) recordLateStarts(w *worker, l LateCalls, settled func(RunRef) bool) {
	if c.cfg.LateLeaseBound == 0 {
		return
	}
	for _, m := range w.members {
		ref := RunRef{m.task, m.run}
		until, unanswered := c.reportedCallsUntil(l, ref)
		allMade := settled(ref) || c.allCallsMade(m)
		switch {
		case unanswered && allMade:
			m.callsUntil = until
		case unanswered:
			m.callsUntil = max(m.callsUntil, until)
		case m.callsUntil > c.now && allMade && (c.sinceStart(m) < l.AgentAge || slices.Contains(l.Called, ref)):
			m.callsUntil = 0
		case m.callsUntil > c.now && allMade: // by a process that ended before this one began
			m.callsUntil = min(m.callsUntil, c.now-l.AgentAge+LateCallTime)
		}
		if w.responsive && w.listedAt > m.callsUntil {
			m.callsUntil = 0
		}
	}
}

// reportedCallsUntil returns the time until which a start call of a run may be executed that an agent
// reports as unanswered.
func (c *Core) reportedCallsUntil(l LateCalls, ref RunRef) (until time.Duration, unanswered bool) {
	i := slices.IndexFunc(l.Starts, func(s LateStart) bool { return s.RunRef == ref })
	if i < 0 || c.cfg.LateLeaseBound == 0 {
		return 0, false
	}
	return c.now - l.Starts[i].Age + LateCallTime, true
}

// callsOfEndedRun is reportedCallsUntil for a run that has ended, and of which this owner may know nothing
// else. Calls of the process before a young agent are not known.
func (c *Core) callsOfEndedRun(l LateCalls, ref RunRef) time.Duration {
	until, unanswered := c.reportedCallsUntil(l, ref)
	if unanswered || c.cfg.LateLeaseBound == 0 || l.AgentAge >= LateCallTime || slices.Contains(l.Called, ref) {
		return until
	}
	return c.now - l.AgentAge + LateCallTime
}

// countsForGood reports whether an end bars further starts of its task once it was taken note of.
func countsForGood(kind graph.EndKind) bool { return kind == graph.EndDone || kind == graph.EndFailed }

// dropLateCalls drops the calls to earlier incarnations of a worker that had another instance
// name: the one that reports refuses them. instance is empty for a worker that has left.
func (c *Core) dropLateCalls(w *worker, instance string) {
	drop := func(members []*member) {
		for _, m := range members {
			if m.worker == w && !strings.HasPrefix(m.incarnation, instance+"@") {
				m.callsUntil = 0
			}
		}
	}
	drop(w.members)
	for _, u := range c.unitsAwaiting {
		drop(u.members)
	}
}

// settles reports whether the agent that reports makes no more start calls of a run.
func (r *WorkerReport) settles(ref RunRef) bool {
	return r.lists(ref) || slices.Contains(r.Accepted, ref) || slices.Contains(r.Lost, ref) ||
		slices.ContainsFunc(r.Absent, func(a RunAbsent) bool { return a.Task == ref.Task && a.Run == ref.Run })
}

// settlesNothing is for agents that have not listed the runs of their workers.
func settlesNothing(RunRef) bool { return false }

// allCallsMade reports whether it is too late for another start call of a member's run.
func (c *Core) allCallsMade(m *member) bool {
	if m.recovered {
		return c.now-m.placedAt > startWindow+maxClockOffset
	}
	return c.now-m.startedAt > orderTimeout
}

// sinceStart returns the longest time since a start call of a member's run may have been made.
func (c *Core) sinceStart(m *member) time.Duration {
	if m.recovered {
		return c.now - m.placedAt + maxClockOffset
	}
	return c.now - m.startedAt
}

// callsOfOrder returns member.callsUntil for a run of which the start is ordered now.
func (c *Core) callsOfOrder() time.Duration {
	if c.cfg.LateLeaseBound == 0 {
		return 0
	}
	return c.now + orderTimeout + LateCallTime
}

// latestEnd returns the time by which a member's run has ended, also if a late call has begun it
// on an incarnation of its worker that stays silent, and others have extended the lease there.
func (c *Core) latestEnd(m *member) time.Duration {
	w := m.worker
	if m.callsUntil == 0 {
		return 0
	}
	lastCall := max(m.callsUntil, w.lastGrantAt+leaseCallTime+LateCallTime)
	for _, o := range w.members {
		lastCall = max(lastCall, o.callsUntil)
	}
	return min(lastCall, m.callsUntil+c.cfg.LateLeaseBound) + c.cfg.LateLeaseBound
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
			late := !m.startSent && !m.recovered || m.callsUntil > 0 || w.lateLeaseEnd > w.lastReportAt
			if (!m.ended || m.heldForCalls) && late && (first == 0 || m.run < first) {
				first = m.run
			}
		}
	}
	return first
}

// settledSaveDelay is the time after a save from which on a job is saved again because fewer of
// its runs may begin by a late call than that save names.
const settledSaveDelay = time.Second

// saveSettledCalls requests a save of a job whose stored progress names runs that may begin by a
// late call and cannot any more. The next owner, with other agents, would wait for them.
func (c *Core) saveSettledCalls(j *job) {
	if j.lateInSave > 0 && !j.rejected && !j.saveInProgress && c.now-j.savedAt >= settledSaveDelay && j.firstLateRun() != j.lateInSave {
		c.requestSave(j, nil)
	}
}

// restoreLateRuns sets member.callsUntil of the runs from a number on, which an earlier owner has
// placed.
func (c *Core) restoreLateRuns(j *job, from uint64) {
	if c.cfg.LateLeaseBound == 0 || j.placedAt.IsZero() || from == 0 {
		return
	}
	latest := min(c.placedAt(j)+maxClockOffset, 0) + startWindow + LateCallTime
	for _, u := range j.units {
		for _, m := range u.members {
			if m.run >= from {
				m.callsUntil = latest
			}
		}
	}
}

// describeAwaited tells how many runs on a lost worker may still begin, or go on, by a late call.
func (c *Core) describeAwaited(w *worker) string {
	awaited, latest := 0, time.Duration(0)
	for _, m := range w.members {
		if end := c.latestEnd(m); end > c.now {
			awaited, latest = awaited+1, max(latest, end)
		}
	}
	if awaited == 0 {
		return ""
	}
	return fmt.Sprintf("; %d runs may begin by a late start and are awaited, for %v at most", awaited, latest-c.now)
}
