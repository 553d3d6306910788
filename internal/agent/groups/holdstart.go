package groups

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) hold(e Hold) {
	if !c.obeys(e.Epoch) || c.reportKnown(e.Ref) {
		return
	}
	if reason := c.holdRefusal(e); reason != "" {
		c.counters.HoldsRefused++
		c.emit(Report{Ref: e.Ref, State: Refused, Tasks: e.Tasks, Detail: reason})
		return
	}
	g := &group{ref: e.Ref, phase: phaseHeld, leaseBy: e.Stamp + e.Lease}
	for range e.Tasks {
		g.perTask = append(g.perTask, e.PerTask)
	}
	c.groups[e.Ref] = g
	c.emit(g.report())
}

// reportKnown reports the state of a ref that is known already, if it is.
func (c *Core) reportKnown(ref Ref) bool {
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

// holdRefusal returns why a hold is refused, or "".
func (c *Core) holdRefusal(e Hold) string {
	if reason := c.startRefusal(e.Stamp, e.Permit, e.Lease); reason != "" {
		return reason
	}
	if e.Tasks <= 0 || e.Tasks > maxGroupTasks {
		return fmt.Sprintf("%d tasks (want 1 to %d)", e.Tasks, maxGroupTasks)
	}
	if !(api.Resources{}).Fits(e.PerTask) {
		return fmt.Sprintf("negative resources %+v", e.PerTask)
	}
	free := c.free()
	if !e.PerTask.Fits(free) || !e.PerTask.Times(e.Tasks).Fits(free) {
		return fmt.Sprintf("no capacity for %d tasks of %+v: %+v is free", e.Tasks, e.PerTask, free)
	}
	return ""
}

// startRefusal returns why a message that was stamped and permitted like this
// may start nothing now, or "".
func (c *Core) startRefusal(stamp, permit, lease time.Duration) string {
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

func (c *Core) start(e Start) {
	if !c.obeys(e.Epoch) {
		return
	}
	g := c.groups[e.Ref]
	if g == nil || g.phase != phaseHeld {
		c.reportOrRefuse(e.Ref)
		return
	}
	reason := c.startRefusal(e.Stamp, e.Permit, e.Lease)
	if e.FirstTask < 0 {
		reason = fmt.Sprintf("first task %d is negative", e.FirstTask)
	}
	if reason != "" {
		c.counters.StartsRefused++
		c.release(g, reason)
		return
	}
	c.run(g, e)
}

// run starts all tasks of a held group.
func (c *Core) run(g *group, e Start) {
	c.counters.Started++
	g.phase = phaseRunning
	g.first = e.FirstTask
	g.leaseBy = e.Stamp + e.Lease
	g.workerBy = g.leaseBy + c.cfg.WorkerCallTimeout
	g.nextReport = c.now + c.cfg.ReportInterval
	// A start at the last moment must not outlive the lease either.
	startBy := min(e.Stamp+e.Permit, c.now+(g.leaseBy-c.now)/2)
	for i := range g.perTask {
		name := TaskName{Ref: g.ref, First: g.first, Tasks: len(g.perTask), Index: g.first + i}
		g.tasks = append(g.tasks, task{id: name.String(), state: external.TaskRunning})
		c.emit(StartTask{StartBy: startBy, Task: external.Task{
			ID:           name.String(),
			Resources:    g.perTask[i],
			Payload:      e.Payload,
			Checkpoint:   checkpointKey(e.Checkpoint, name.Index),
			CheckpointTo: checkpointKey(checkpointName(g.ref), name.Index),
			LeaseMS:      (g.leaseBy - startBy).Milliseconds(),
		}})
	}
	c.emit(g.report())
}

// reportOrRefuse reports a known ref; any other is answered absent and refused
// from then on.
func (c *Core) reportOrRefuse(ref Ref) {
	if c.reportKnown(ref) {
		return
	}
	c.ended.bury(ref, Absent)
	c.emit(Report{Ref: ref, State: Absent})
}

// release gives up a held group, which never starts from then on.
func (c *Core) release(g *group, detail string) {
	delete(c.groups, g.ref)
	c.ended.bury(g.ref, Refused)
	c.emit(Report{Ref: g.ref, State: Refused, Tasks: len(g.perTask), Detail: detail})
}
