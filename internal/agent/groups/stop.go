package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) stop(e Stop) {
	if !c.obeys(e.Epoch) {
		return
	}
	g := c.groups[e.Ref]
	if g == nil {
		c.reportOrRefuse(e.Ref)
		return
	}
	switch {
	case g.phase == phaseHeld:
		c.release(g, e.Reason)
	case g.phase == phaseEnding:
		if e.Grace <= 0 {
			c.abandonCheckpoint(g)
		}
	case e.Grace > 0:
		c.checkpoint(g, e.Grace, e.Reason)
	default:
		c.end(g, causeAsked, e.Reason)
	}
}

// end stops all tasks of a running group.
func (c *Core) end(g *group, why cause, detail string) {
	g.phase = phaseEnding
	g.cause = why
	g.detail = detail
	g.graceBy = c.now
	// The worker has time to answer, also when its leases have ended already.
	g.workerBy = max(g.workerBy, c.now+c.cfg.WorkerCallTimeout)
	c.stopTasks(g)
}

// checkpoint asks for a checkpoint of all tasks, which ends them. Those that
// still run at the end of the grace time or of the lease are stopped.
func (c *Core) checkpoint(g *group, grace time.Duration, detail string) {
	g.phase = phaseEnding
	g.cause = causeAsked
	g.detail = detail
	g.graceBy = min(c.now+grace, g.leaseBy)
	g.nextStop = g.graceBy
	for _, id := range g.runningIDs() {
		c.emit(CheckpointTask{ID: id})
	}
}

// abandonCheckpoint stops the tasks of a group that still has grace time.
func (c *Core) abandonCheckpoint(g *group) {
	if c.now < g.graceBy {
		g.graceBy = c.now
		c.stopTasks(g)
	}
}

func (c *Core) stopTasks(g *group) {
	g.nextStop = c.now + c.cfg.StopRetryInterval
	for _, id := range g.runningIDs() {
		c.emit(StopTask{ID: id})
	}
}

// settle repeats stops, counts tasks as stopped when the worker's own lease
// has ended them, and reports the groups whose tasks have all ended.
func (c *Core) settle() {
	for _, g := range c.sorted() {
		if g.phase == phaseHeld {
			continue
		}
		if g.phase == phaseEnding {
			c.settleEnding(g)
		}
		if g.ended() {
			delete(c.groups, g.ref)
			r := g.finalReport()
			c.ended.keep(r, c.now)
			c.emit(r)
		}
	}
}

func (c *Core) settleEnding(g *group) {
	if c.now >= g.workerBy {
		for i := range g.tasks {
			if !g.tasks[i].ended() {
				g.tasks[i].state = external.TaskStopped
			}
		}
		return
	}
	if c.now >= g.nextStop {
		c.stopTasks(g)
	}
}

// tick reports on running groups now and then and forgets old final reports.
func (c *Core) tick() {
	c.ended.expire(c.now)
	for _, g := range c.sorted() {
		if g.phase != phaseHeld && c.now >= g.nextReport {
			g.nextReport = c.now + c.cfg.ReportInterval
			c.emit(g.report())
		}
	}
}
