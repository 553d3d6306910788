package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

func (c *Core) taskUpdate(s external.TaskStatus) {
	name, ok := ParseTaskName(s.ID)
	if !ok {
		return // not a task of ours
	}
	var t *task
	g := c.groups[name.Ref]
	if g != nil {
		t = g.task(s.ID)
	}
	switch {
	case t == nil:
		c.stray(s)
	case t.ended():
		c.strayOfGroup(s, t)
	default:
		c.update(g, t, s)
	}
}

// stray stops a task that no group accounts for.
func (c *Core) stray(s external.TaskStatus) {
	if s.State == external.TaskRunning {
		c.counters.StrayTasks++
		c.emit(StopTask{ID: s.ID})
	}
}

// strayOfGroup stops a task that runs although its lease on the worker must
// have ended it. Late news of a task that has ended are ignored.
func (c *Core) strayOfGroup(s external.TaskStatus, t *task) {
	if t.state == external.TaskStopped {
		c.stray(s)
	}
}

// update applies the worker's state of a task that was last known to run.
func (c *Core) update(g *group, t *task, s external.TaskStatus) {
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
		c.end(g, causeFailed, s.Detail)
	case external.TaskStopped, external.TaskCheckpointed:
		c.end(g, causeBroken, s.Detail)
	}
}

func (c *Core) taskLost(e TaskLost) {
	name, ok := ParseTaskName(e.ID)
	if !ok {
		return
	}
	g := c.groups[name.Ref]
	if g == nil || g.phase != phaseRunning {
		return
	}
	t := g.task(e.ID)
	switch {
	case t == nil || t.ended():
	case e.NotSent:
		t.state = external.TaskStopped
		c.end(g, causeBroken, e.Detail)
	default:
		g.workerFault = true
		c.end(g, causeFailed, e.Detail)
	}
}

// adopt takes over the tasks of an earlier process of this agent.
func (c *Core) adopt(e Adopt) {
	found := map[Ref]*group{}
	for _, s := range e.Tasks {
		name, ok := ParseTaskName(s.ID)
		if !ok {
			c.stray(s)
			continue
		}
		if c.knows(name.Ref) {
			c.taskUpdate(s)
			continue
		}
		g := found[name.Ref]
		if g == nil {
			g = c.emptyGroup(name)
			found[name.Ref] = g
		}
		if t := g.task(s.ID); t != nil {
			g.perTask[name.Index-g.first] = s.Resources
			t.state = external.TaskRunning
			c.update(g, t, s)
		} else {
			c.stray(s) // the group has other bounds
		}
	}
	for ref, g := range found {
		c.groups[ref] = g
	}
	for _, g := range c.sorted() {
		if found[g.ref] != nil {
			c.completeAdoption(g)
		}
	}
}

func (c *Core) knows(ref Ref) bool {
	if c.groups[ref] != nil {
		return true
	}
	_, known := c.ended.find(ref, c.now)
	return known
}

// emptyGroup returns a group of the name's size of which no task was found.
func (c *Core) emptyGroup(name TaskName) *group {
	g := &group{
		ref:     name.Ref,
		phase:   phaseRunning,
		first:   name.First,
		perTask: make([]api.Resources, name.Tasks),
		leaseBy: c.now + c.cfg.AdoptLease,
	}
	g.workerBy = g.leaseBy + c.cfg.WorkerCallTimeout
	for i := range name.Tasks {
		name.Index = name.First + i
		g.tasks = append(g.tasks, task{id: name.String()})
	}
	return g
}

// completeAdoption ends a group of which some tasks were not found.
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
		c.end(g, causeBroken, "some tasks are missing after a restart of the agent")
		return
	}
	c.counters.Adopted++
	c.emit(g.report())
}
