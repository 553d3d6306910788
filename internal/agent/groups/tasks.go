package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) handleTaskUpdate(s external.TaskStatus) {
	name, ok := ParseTaskName(s.ID)
	if !ok {
		return // not started by this agent
	}
	var t *task
	g := c.groups[name.Ref]
	if g != nil {
		t = g.findTask(s.ID)
	}
	switch {
	case t == nil:
		c.stopStray(s)
	case t.ended():
		c.handleLateUpdate(s, t)
	default:
		c.updateTask(g, t, s)
	}
}

// stopStray stops a task that runs although no group accounts for it.
func (c *Core) stopStray(s external.TaskStatus) {
	if s.State == external.TaskRunning {
		c.counters.StrayTasks++
		c.emit(StopTask{ID: s.ID})
	}
}

// handleLateUpdate handles the status of a task already known to have ended. A
// task known as stopped that runs, although its lease on the worker must have
// expired, is stopped. Any other late update is ignored.
func (c *Core) handleLateUpdate(s external.TaskStatus, t *task) {
	if t.state == external.TaskStopped {
		c.stopStray(s)
	}
}

// updateTask applies the worker's status of a task last known to be running. A
// task that fails or stops unasked ends the whole group.
func (c *Core) updateTask(g *group, t *task, s external.TaskStatus) {
	t.state = s.State
	t.progress = max(t.progress, time.Duration(s.ProgressMS)*time.Millisecond)
	t.usage = s.Usage
	t.output = s.Output
	if g.phase != phaseRunning {
		return
	}
	switch s.State {
	case external.TaskFailed:
		g.workerFault = s.WorkerFault
		c.endGroup(g, causeTaskFailed, s.Detail)
	case external.TaskStopped, external.TaskCheckpointed:
		c.endGroup(g, causeTaskStopped, s.Detail)
	}
}

// handleTaskLost ends the group of a lost task. If the start was never sent, the
// task does not run and counts as stopped. Otherwise it may still run, and the
// loss is a fault of the worker.
func (c *Core) handleTaskLost(e TaskLost) {
	name, ok := ParseTaskName(e.ID)
	if !ok {
		return
	}
	g := c.groups[name.Ref]
	if g == nil || g.phase != phaseRunning {
		return
	}
	t := g.findTask(e.ID)
	switch {
	case t == nil || t.ended():
	case e.NotSent:
		t.state = external.TaskStopped
		c.endGroup(g, causeTaskStopped, e.Detail)
	default:
		g.workerFault = true
		c.endGroup(g, causeTaskFailed, e.Detail)
	}
}

// handleAdopt takes over the tasks started by an earlier process of this agent.
func (c *Core) handleAdopt(e Adopt) {
	found := map[Ref]*group{}
	for _, s := range e.Tasks {
		name, ok := ParseTaskName(s.ID)
		if !ok {
			c.stopStray(s)
			continue
		}
		if c.isKnown(name.Ref) {
			c.handleTaskUpdate(s)
			continue
		}
		g := found[name.Ref]
		if g == nil {
			g = c.newAdoptedGroup(name)
			found[name.Ref] = g
		}
		if t := g.findTask(s.ID); t != nil {
			g.taskResources[name.Index-g.firstTask] = s.Resources
			t.state = external.TaskRunning
			c.updateTask(g, t, s)
		} else {
			c.stopStray(s) // the ID names another range of tasks than its group
		}
	}
	for ref, g := range found {
		c.groups[ref] = g
	}
	for _, g := range c.sortedGroups() {
		if found[g.ref] != nil {
			c.completeAdoption(g)
		}
	}
}

func (c *Core) isKnown(ref Ref) bool {
	if c.groups[ref] != nil {
		return true
	}
	_, known := c.ended.find(ref, c.now)
	return known
}

// newAdoptedGroup returns a group with the task range of name. Its tasks have an
// empty state until they are found on the worker.
func (c *Core) newAdoptedGroup(name TaskName) *group {
	g := &group{
		ref:           name.Ref,
		phase:         phaseRunning,
		firstTask:     name.First,
		taskResources: make([]api.Resources, name.Tasks),
		leaseEnd:      c.now + c.cfg.AdoptLease,
	}
	g.workerLeaseEnd = g.leaseEnd + c.cfg.WorkerCallTimeout
	for i := range name.Tasks {
		name.Index = name.First + i
		g.tasks = append(g.tasks, task{id: name.String()})
	}
	return g
}

// completeAdoption reports an adopted group, or ends it if some of its tasks
// were not found on the worker.
func (c *Core) completeAdoption(g *group) {
	missing := false
	for i := range g.tasks {
		if g.tasks[i].state == "" {
			g.tasks[i].state = external.TaskStopped
			missing = true
		}
	}
	if g.phase != phaseRunning {
		return
	}
	if missing {
		c.endGroup(g, causeTaskStopped, "some tasks are missing after a restart of the agent")
		return
	}
	c.counters.Adopted++
	c.emit(g.report())
}
