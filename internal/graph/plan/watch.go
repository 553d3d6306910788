package plan

import (
	"time"
)

// watchRuns stops runs that make no progress, so that they begin elsewhere.
func (c *Core) watchRuns(j *job) {
	for _, u := range j.units {
		if u.phase != unitPlaced || u.ending || len(u.members) == 0 {
			continue
		}
		c.watchDraining(u)
		if m := c.hung(u); m != nil && !u.ending {
			c.emit(Notice{Reason: ReasonNoProgress, Job: j.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID})
			u.avoidWorker(m.worker.info.ID, c.now+suspectFor)
			c.workerFailed(m.worker, u)
			c.endRun(u)
		}
	}
}

// outcomeLimit is how long an agent may take to tell what became of an order:
// it tries a start three times for 0.6 s and then stops it.
const outcomeLimit = 5 * time.Second

// watchOrders stops the runs again of whose last order the agent has not told
// the outcome: it may have been lost with an earlier owner's.
func (c *Core) watchOrders(w *worker) {
	if !w.linked() {
		return
	}
	for _, m := range w.members {
		pending := m.stopping || m.ordered && !m.running
		if m.ended || !pending || m.session != w.session || c.now-m.orderedAt < outcomeLimit {
			continue
		}
		c.emit(Notice{Reason: ReasonNoOutcome, Job: m.unit.job.ID, Task: m.task.String(), Run: m.run, Worker: w.info.ID})
		m.session = ""
		c.stop(m)
	}
}

// hangTime is how long a run may stand still at least, and hangPart the part of
// its estimate: one percent of it is the grain of what workers report.
const (
	hangTime = 3 * time.Second
	hangPart = 0.3
)

// hung returns the member that keeps a unit from making progress.
func (c *Core) hung(u *unit) *member {
	limit := max(hangTime, time.Duration(hangPart*float64(u.spec.Estimate)))
	var worst *member
	for _, m := range u.members {
		if !m.running || m.ended || m.stopping || !m.worker.linked() || c.now-m.worker.heardAt > quietAfter {
			return nil
		}
		if c.now-m.movedAt <= limit || m.percent >= 100 {
			continue
		}
		if worst == nil || m.percent < worst.percent || m.percent == worst.percent && len(m.worker.failed) > len(worst.worker.failed) {
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
		if m.ended || !w.info.Draining || !w.linked() {
			continue
		}
		left := w.drainingAt + w.info.DrainRemaining - c.now
		if c.expectedEnd(m) <= c.now+left {
			continue
		}
		if u.spec.Checkpointable && left > drainMargin {
			continue
		}
		c.emit(Notice{Reason: ReasonWorkerDraining, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: w.info.ID})
		c.endRun(u)
		return
	}
}
