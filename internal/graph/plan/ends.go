package plan

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

func (c *Core) cancel(id graph.JobID) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	c.finish(j, graph.Cancelled, ReasonJobCancelled)
}

// finish gives a job its final state and ends what still runs of it.
func (c *Core) finish(j *job, state graph.State, why Reason) {
	j.state = state
	j.finished = c.cfg.TermStart.Add(c.now)
	c.emit(Notice{Reason: why, Job: j.ID, Detail: fmt.Sprintf("after %v, objective %v", c.now-j.arrived, j.Objective())})
	for _, u := range j.units {
		c.dropClaim(u)
		if !u.done {
			c.endRun(u)
		}
	}
	c.save(j, nil)
	for i, o := range c.live {
		if o == j {
			c.live = append(c.live[:i:i], c.live[i+1:]...)
			break
		}
	}
}

// endRun orders the end of all members of a unit's present run.
func (c *Core) endRun(u *unit) {
	u.ending = true
	for _, m := range u.members {
		c.stop(m)
	}
}

// stop orders the end of one member. Before its start was sent there is
// nothing to stop: the start is not sent any more.
func (c *Core) stop(m *member) {
	if m.ended || m.stopping && m.session == m.worker.session {
		return
	}
	m.stopping = true
	if !m.ordered && !m.recovered {
		return
	}
	if !m.worker.linked() || m.incarnation != m.worker.info.Incarnation() {
		return
	}
	m.session, m.orderedAt = m.worker.session, c.now
	c.emit(StopRun{Worker: m.worker.info.ID, Incarnation: m.incarnation, Task: m.task, Run: m.run})
}

// memberEnded takes the end of one member.
func (c *Core) memberEnded(m *member, how graph.EndKind, checkpoint string) {
	if m.ended {
		return
	}
	m.ended = true
	c.stirred = true
	c.release(m)
	u := m.unit
	c.emit(Notice{Reason: ReasonRunEnded, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID, Detail: string(how)})
	if checkpoint != "" && u.spec.Checkpointable {
		u.checkpoint = checkpoint
	}
	switch how {
	case graph.EndDone:
		u.done = true
		c.workerDid(m.worker, u)
	case graph.EndFailed:
		u.failed = true
		c.workerFailed(m.worker, u)
	}
	if !u.done && !u.ending {
		c.endRun(u)
	}
	c.settle(u)
}

// settle ends the unit's run once all members have ended, or one of them done.
func (c *Core) settle(u *unit) {
	if u.done && u.phase != unitDone {
		u.phase = unitDone
		c.completeIfDone(u.job)
	}
	for _, m := range u.members {
		if !m.ended {
			return
		}
	}
	u.members = nil
	u.ending = false
	if u.phase == unitDone || u.job.state.Final() {
		return
	}
	u.phase = unitWaiting
	if !u.failed {
		return
	}
	u.failed = false
	u.failures++
	if u.failures >= max(1, u.job.MaxAttempts) {
		c.finish(u.job, graph.Failed, ReasonJobFailed)
	}
}

func (c *Core) completeIfDone(j *job) {
	if j.state.Final() {
		return
	}
	for i := range j.steps {
		if !j.stepDone(i) {
			return
		}
	}
	c.finish(j, graph.Completed, ReasonJobCompleted)
}
