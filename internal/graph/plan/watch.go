package plan

import (
	"slices"
	"time"
)

// watchRuns stops runs that make no progress, so that they are restarted on other
// workers, and moves runs off draining workers.
func (c *Core) watchRuns(j *job) {
	for _, u := range j.units {
		if u.phase != unitPlaced || u.stopping || len(u.members) == 0 {
			continue
		}
		c.learnSpeeds(u)
		c.watchDraining(u)
		c.moveLagging(u)
		if m := c.stalledMember(u); m != nil && !u.stopping {
			c.stopStalled(m)
		}
	}
	c.updateRunTimes(j)
}

// orderTimeout is the time an agent may take to report the outcome of an order. It
// tries a start for at most 2.75 s and then stops it.
const orderTimeout = 5 * time.Second

// watchOrders sends another stop for runs whose last order has had no outcome in a list
// that was made orderTimeout later. The order may have been lost together with orders
// of an earlier owner. A list that may lack ends shows no order to be without outcome.
func (c *Core) watchOrders(w *worker) {
	if !w.connected() || w.moreEnds {
		return
	}
	for _, m := range w.members {
		pending := m.stopping || m.startSent && !m.running
		if m.ended || !pending || m.orderSession != w.session || w.listedAt-m.lastOrderAt < orderTimeout {
			continue
		}
		c.emit(Notice{Reason: ReasonNoOutcome, Job: m.unit.job.ID, Task: m.task.String(), Run: m.run, Worker: w.info.ID})
		m.orderSession = ""
		m.unit.history.stopFor(string(ReasonNoOutcome))
		c.stopMember(m)
	}
}

// stalledMember returns the member that holds a unit back, or nil. It picks the one
// with the least progress, and of those the one whose worker has failed more
// runs lately. The time is measured up to the last list, as that of a late owner is old.
func (c *Core) stalledMember(u *unit) *member {
	var worst *member
	for _, m := range u.members {
		if !m.running || m.ended || m.stopping || !m.worker.connected() || c.now-m.worker.lastReportAt > maxReportAge {
			return nil
		}
		if !c.silent(m) {
			continue
		}
		if worst == nil || m.percent < worst.percent || m.percent == worst.percent && m.worker.failures.Count() > worst.worker.failures.Count() {
			worst = m
		}
	}
	if worst != nil && slices.ContainsFunc(u.members, func(m *member) bool { return m.percent <= worst.percent && !c.silent(m) }) {
		// It waits for a member that makes progress, as gangs end together.
		return nil
	}
	return worst
}

// drainMargin is the time before a draining worker leaves at which checkpointable
// runs are stopped, so that their last checkpoints are taken in time.
const drainMargin = 900 * time.Millisecond

// watchDraining stops a unit if a draining worker leaves before the unit is
// expected to end: at once if its work is lost anyway, or drainMargin before the
// worker leaves if it has checkpoints.
func (c *Core) watchDraining(u *unit) {
	for _, m := range u.members {
		w := m.worker
		if m.ended || !w.info.Draining || !w.connected() {
			continue
		}
		left := w.drainReportedAt + w.info.DrainRemaining - c.now
		if c.expectedEnd(m) <= c.now+left {
			continue
		}
		if u.step.Checkpointable && left > drainMargin {
			continue
		}
		c.emit(Notice{Reason: ReasonWorkerDraining, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: w.info.ID})
		u.history.stopFor(string(ReasonWorkerDraining))
		c.stopRun(u)
		return
	}
}
