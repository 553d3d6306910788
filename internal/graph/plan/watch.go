package plan

import (
	"time"
)

// watchRuns stops runs that make no progress, so that they begin elsewhere.
func (c *Core) watchRuns(j *job) {
	for _, u := range j.units {
		if u.phase != unitPlaced || u.stopping || len(u.members) == 0 {
			continue
		}
		c.watchDraining(u)
		if m := c.stalledMember(u); m != nil && !u.stopping {
			c.emit(Notice{Reason: ReasonNoProgress, Job: j.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID})
			u.avoidWorker(m.worker.info.ID, c.now+failureWindow)
			c.recordFailure(m.worker, u)
			c.stopRun(u)
		}
	}
}

// orderTimeout is how long an agent may take to tell what became of an order:
// it tries a start three times for 0.6 s and then stops it.
const orderTimeout = 5 * time.Second

// watchOrders stops the runs again of whose last order the agent has not told
// the outcome: it may have been lost with an earlier owner's.
func (c *Core) watchOrders(w *worker) {
	if !w.connected() {
		return
	}
	for _, m := range w.members {
		pending := m.stopping || m.startSent && !m.running
		if m.ended || !pending || m.orderSession != w.session || c.now-m.lastOrderAt < orderTimeout {
			continue
		}
		c.emit(Notice{Reason: ReasonNoOutcome, Job: m.unit.job.ID, Task: m.task.String(), Run: m.run, Worker: w.info.ID})
		m.orderSession = ""
		c.stopMember(m)
	}
}

// minStallTime is how long a run may stand still at least, and stallFraction the part of
// its estimate: one percent of it is the grain of what workers report.
const (
	minStallTime  = 3 * time.Second
	stallFraction = 0.3
)

// stalledMember returns the member that keeps a unit from making progress.
func (c *Core) stalledMember(u *unit) *member {
	limit := max(minStallTime, time.Duration(stallFraction*float64(u.step.Estimate)))
	var worst *member
	for _, m := range u.members {
		if !m.running || m.ended || m.stopping || !m.worker.connected() || c.now-m.worker.lastReportAt > maxReportAge {
			return nil
		}
		if c.now-m.lastProgressAt <= limit || m.percent >= 100 {
			continue
		}
		if worst == nil || m.percent < worst.percent || m.percent == worst.percent && len(m.worker.recentFailures) > len(worst.worker.recentFailures) {
			worst = m
		}
	}
	return worst
}

// drainMargin is how long before a worker leaves its last checkpoints are taken.
const drainMargin = 900 * time.Millisecond

// watchDraining moves a unit from workers that leave before it is expected to
// end: at once if its work is lost anyway, else shortly before they leave.
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
		c.stopRun(u)
		return
	}
}
