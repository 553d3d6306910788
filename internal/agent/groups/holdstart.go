package groups

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) handleHold(e Hold) {
	if !c.acceptEpoch(e.Epoch) || c.reportIfKnown(e.Ref) {
		return
	}
	if reason := c.holdRefusalReason(e); reason != "" {
		c.counters.HoldsRefused++
		c.emit(Report{Ref: e.Ref, State: Refused, Tasks: e.Tasks, Detail: reason})
		return
	}
	g := &group{ref: e.Ref, phase: phaseHeld, leaseEnd: e.Stamp + e.Lease}
	for range e.Tasks {
		g.taskResources = append(g.taskResources, e.PerTask)
	}
	c.groups[e.Ref] = g
	c.emit(g.report())
}

// reportIfKnown emits the report on a ref that is known already, and reports
// whether it was.
func (c *Core) reportIfKnown(ref Ref) bool {
	if g := c.groups[ref]; g != nil {
		c.emit(g.report())
		return true
	}
	r, known := c.ended.find(ref, c.now)
	if known {
		c.emit(r)
	}
	return known
}

// holdRefusalReason returns the reason to refuse a hold, or "".
func (c *Core) holdRefusalReason(e Hold) string {
	if reason := c.startRefusalReason(e.Stamp, e.Permit, e.Lease); reason != "" {
		return reason
	}
	if e.Tasks <= 0 || e.Tasks > maxGroupTasks {
		return fmt.Sprintf("%d tasks (want 1 to %d)", e.Tasks, maxGroupTasks)
	}
	if !(api.Resources{}).Fits(e.PerTask) {
		return fmt.Sprintf("negative resources %+v", e.PerTask)
	}
	free := c.freeCapacity()
	if !e.PerTask.Fits(free) || !e.PerTask.Times(e.Tasks).Fits(free) {
		return fmt.Sprintf("no capacity for %d tasks of %+v: %+v is free", e.Tasks, e.PerTask, free)
	}
	return ""
}

// startRefusalReason returns the reason why a message with this stamp, permit
// and lease may not start work now, or "".
func (c *Core) startRefusalReason(stamp, permit, lease time.Duration) string {
	switch {
	case c.leaving:
		return "the agent is leaving"
	case !c.allowed:
		return "no permission to start work"
	case stamp > c.now:
		return "stamp is ahead of the agent's clock"
	case c.now >= stamp+permit:
		return "permission has lapsed"
	case c.now >= stamp+lease:
		return "lease has lapsed"
	}
	return ""
}

func (c *Core) handleStart(e Start) {
	if !c.acceptEpoch(e.Epoch) {
		return
	}
	g := c.groups[e.Ref]
	if g == nil || g.phase != phaseHeld {
		c.reportOrTombstone(e.Ref)
		return
	}
	reason := c.startRefusalReason(e.Stamp, e.Permit, e.Lease)
	if e.FirstTask < 0 {
		reason = fmt.Sprintf("first task %d is negative", e.FirstTask)
	}
	if reason != "" {
		c.counters.StartsRefused++
		c.releaseHold(g, reason)
		return
	}
	c.startTasks(g, e)
}

// startTasks starts all tasks of a held group.
func (c *Core) startTasks(g *group, e Start) {
	c.counters.Started++
	g.phase = phaseRunning
	g.firstTask = e.FirstTask
	g.leaseEnd = e.Stamp + e.Lease
	g.workerLeaseEnd = g.leaseEnd + c.cfg.WorkerCallTimeout
	g.nextReport = c.now + c.cfg.ReportInterval
	// The tasks' own lease is the time from startBy to leaseEnd, so that a task
	// started as late as startBy does not outlive the group's lease. startBy
	// leaves them at least half of the remaining lease.
	startBy := min(e.Stamp+e.Permit, c.now+(g.leaseEnd-c.now)/2)
	for i := range g.taskResources {
		name := TaskName{Ref: g.ref, First: g.firstTask, Tasks: len(g.taskResources), Index: g.firstTask + i}
		g.tasks = append(g.tasks, task{id: name.String(), state: external.TaskRunning})
		c.emit(StartTask{StartBy: startBy, Task: external.Task{
			ID:           name.String(),
			Resources:    g.taskResources[i],
			Payload:      e.Payload,
			Checkpoint:   checkpointKey(e.Checkpoint, name.Index),
			CheckpointTo: checkpointKey(checkpointName(g.ref), name.Index),
			LeaseMS:      (g.leaseEnd - startBy).Milliseconds(),
		}})
	}
	c.emit(g.report())
}

// reportOrTombstone emits the report on a known ref. An unknown ref is reported
// absent and never starts from then on.
func (c *Core) reportOrTombstone(ref Ref) {
	if c.reportIfKnown(ref) {
		return
	}
	c.ended.addTombstone(ref, Absent)
	c.emit(Report{Ref: ref, State: Absent})
}

// releaseHold frees the capacity of a held group and reports it refused. The
// group never starts from then on.
func (c *Core) releaseHold(g *group, detail string) {
	delete(c.groups, g.ref)
	c.ended.addTombstone(g.ref, Refused)
	c.emit(Report{Ref: g.ref, State: Refused, Tasks: len(g.taskResources), Detail: detail})
}
