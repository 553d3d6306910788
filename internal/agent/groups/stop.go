package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) handleStop(e Stop) {
	if !c.acceptEpoch(e.Epoch) {
		return
	}
	g := c.groups[e.Ref]
	if g == nil {
		c.reportOrTombstone(e.Ref)
		return
	}
	switch {
	case g.phase == phaseHeld:
		c.releaseHold(g, e.Reason)
	case g.phase == phaseEnding:
		if e.Grace <= 0 {
			c.abandonCheckpoint(g)
		}
	case e.Grace > 0:
		c.requestCheckpoint(g, e.Grace, e.Reason)
	default:
		c.endGroup(g, causeRequested, e.Reason)
	}
}

// endGroup starts to stop all tasks of a running group.
func (c *Core) endGroup(g *group, cause endCause, detail string) {
	g.phase = phaseEnding
	g.cause = cause
	g.detail = detail
	g.graceEnd = c.now
	// The worker gets time to answer even if its own leases have expired already.
	g.workerLeaseEnd = max(g.workerLeaseEnd, c.now+c.cfg.WorkerCallTimeout)
	c.stopTasks(g)
}

// requestCheckpoint asks the worker to checkpoint all tasks, which ends them.
// Tasks that still run at the end of the grace period or the lease are stopped.
func (c *Core) requestCheckpoint(g *group, grace time.Duration, detail string) {
	g.phase = phaseEnding
	g.cause = causeRequested
	g.detail = detail
	g.graceEnd = min(c.now+grace, g.leaseEnd)
	g.nextStop = g.graceEnd
	for _, id := range g.runningTaskIDs() {
		c.emit(CheckpointTask{ID: id})
	}
}

// abandonCheckpoint ends the grace period of a group early and stops its tasks.
func (c *Core) abandonCheckpoint(g *group) {
	if c.now < g.graceEnd {
		g.graceEnd = c.now
		c.stopTasks(g)
	}
}

func (c *Core) stopTasks(g *group) {
	g.nextStop = c.now + c.cfg.StopRetryInterval
	for _, id := range g.runningTaskIDs() {
		c.emit(StopTask{ID: id})
	}
}

// finishEndedGroups advances the groups that are ending and reports and frees
// those whose tasks have all ended.
func (c *Core) finishEndedGroups() {
	for _, g := range c.sortedGroups() {
		if g.phase == phaseHeld {
			continue
		}
		if g.phase == phaseEnding {
			c.advanceEnding(g)
		}
		if g.allTasksEnded() {
			delete(c.groups, g.ref)
			r := g.finalReport()
			c.ended.addReport(r, c.now)
			c.emit(r)
		}
	}
}

// advanceEnding stops the remaining tasks again after StopRetryInterval. Once
// the worker's own leases have expired, the remaining tasks count as stopped.
func (c *Core) advanceEnding(g *group) {
	if c.now >= g.workerLeaseEnd {
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

// handleTick emits the periodic reports on running groups and expires old final
// reports.
func (c *Core) handleTick() {
	c.ended.expireReports(c.now)
	for _, g := range c.sortedGroups() {
		if g.phase != phaseHeld && c.now >= g.nextReport {
			g.nextReport = c.now + c.cfg.ReportInterval
			c.emit(g.report())
		}
	}
}
