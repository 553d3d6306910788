package plan

import (
	"fmt"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// A unit whose runs have all ended is not placed again while a late call may begin one of them: it
// stays placed, without room, so that the progress of its job names the runs and the next owner
// waits too.

// awaitsLateCalls reports whether the run of a member that has ended may begin again, or go on,
// by a late call to a later incarnation of its worker.
func (c *Core) awaitsLateCalls(m *member) bool {
	w := m.worker
	answers := w.connected() && w.responsive
	_, listed := w.unknownStops[RunRef{m.task, m.run}]
	switch {
	case m.callsUntil == 0:
		return false
	case answers && listed || c.now <= m.callsUntil:
		return true
	case c.now > c.latestEnd(m) || w.info.Draining && !answers: // it has left
		return false
	}
	return listed || !answers || w.listedAt <= m.callsUntil
}

// awaitLateCalls reports whether a unit whose members have all ended must not be placed again
// yet, and if so has it checked later.
func (c *Core) awaitLateCalls(u *unit) bool {
	var first *member
	for _, m := range u.members {
		if m.heldForCalls = c.awaitsLateCalls(m); m.heldForCalls && first == nil {
			first = m
		}
	}
	if first == nil {
		return false
	}
	if !slices.Contains(c.unitsAwaiting, u) {
		c.unitsAwaiting = append(c.unitsAwaiting, u)
	}
	if u.awaitedRun != u.run {
		u.awaitedRun = u.run
		c.emit(Notice{Reason: ReasonAwaitsLateCalls, Job: u.job.ID, Task: first.task.String(), Run: first.run, Worker: first.worker.info.ID,
			Detail: fmt.Sprintf("for %v", first.callsUntil-c.now)})
	}
	return true
}

// onlyAwaitsCalls reports whether all runs of a placed unit have ended, so that it waits for late calls
// only.
func (u *unit) onlyAwaitsCalls() bool {
	return len(u.members) > 0 && !slices.ContainsFunc(u.members, func(m *member) bool { return !m.ended })
}

// awaitedMember returns the member whose run has ended before, and again after a late call, or nil.
func (c *Core) awaitedMember(e graph.RunEnd) *member {
	return c.memberWhere(e, func(m *member) bool { return m.heldForCalls })
}

// endAgain records the end, done or failed, of a run that a late call has begun again.
func (c *Core) endAgain(m *member, kind graph.EndKind) {
	u := m.unit
	switch kind {
	case graph.EndDone:
		u.runDone = true
	case graph.EndFailed:
		u.runFailed = true
		c.recordFailure(m.worker, u, m.index())
	}
	c.finishRunIfEnded(u)
}

// watchLateCalls ends the runs of units whose start calls are too old to be executed.
func (c *Core) watchLateCalls() {
	units := c.unitsAwaiting
	c.unitsAwaiting = nil
	for _, u := range units {
		c.finishRunIfEnded(u)
		if len(u.members) == 0 {
			c.needsScheduling = true
			c.requestSave(u.job, nil)
		}
	}
}
