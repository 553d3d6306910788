package plan

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

func (c *Core) cancelJob(id graph.JobID) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	c.finishJob(j, graph.Cancelled, Notice{Reason: ReasonJobCancelled})
}

// finishJob sets the final state of a job and stops its remaining runs. The notice
// gives the reason.
func (c *Core) finishJob(j *job, state graph.State, n Notice) {
	j.state = state
	j.finishedAt = c.cfg.TermStart.Add(c.now)
	n.Job = j.ID
	n.Detail = fmt.Sprintf("after %v, objective %v%s", c.now-j.arrivedAt, j.objective(), n.Detail)
	c.emit(n)
	for _, u := range j.units {
		c.dropClaim(u)
		if !u.runDone {
			u.history.stopFor(stopJobEnded)
			c.stopRun(u)
		}
	}
	c.requestSave(j, nil)
	for i, o := range c.activeJobs {
		if o == j {
			c.activeJobs = append(c.activeJobs[:i:i], c.activeJobs[i+1:]...)
			break
		}
	}
}

// stopRun stops all members of a unit's current run.
func (c *Core) stopRun(u *unit) {
	u.stopping = true
	u.history.beginStop(c.now)
	for _, m := range u.members {
		c.stopMember(m)
	}
}

// stopMember orders a member to stop, at most once per session. If its start has
// not been sent, no order is needed: a stopping member is not started.
func (c *Core) stopMember(m *member) {
	if m.ended || m.stopping && m.orderSession == m.worker.session {
		return
	}
	if !m.stopping {
		m.stopping = true
		m.worker.stopping++
	}
	if !m.startSent && !m.recovered {
		return
	}
	if !m.worker.connected() || m.incarnation != m.worker.info.Incarnation() {
		return
	}
	m.orderSession, m.lastOrderAt = m.worker.session, c.now
	c.emit(StopRun{Worker: m.worker.info.ID, Incarnation: m.incarnation, Task: m.task, Run: m.run, Reason: m.unit.history.stopReason})
}

// endMember records the end of a member, releases its resources and stops the
// rest of the run unless it is done.
func (c *Core) endMember(m *member, kind graph.EndKind, checkpoint string) {
	c.endMemberFor(m, kind, checkpoint, "")
}

// endMemberFor is endMember with the cause of the end as the owner knows it.
func (c *Core) endMemberFor(m *member, kind graph.EndKind, checkpoint, cause string) {
	if m.ended {
		return
	}
	m.ended, m.heldForCalls = true, kind != graph.EndDone && c.awaitsLateCalls(m)
	c.needsScheduling = true
	c.release(m)
	u := m.unit
	c.emit(Notice{Reason: ReasonRunEnded, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID, Detail: string(kind), Cause: cause})
	if checkpoint != "" && u.step.Checkpointable {
		c.keepCheckpoint(m, checkpoint)
	}
	if kind != graph.EndNeverStarted && kind != graph.EndWorkerLost {
		u.job.endIdleWait() // it ran, possibly between two lists
	}
	switch kind {
	case graph.EndDone:
		u.runDone = true
		if !m.worker.endsDelayed {
			c.learnFromEnd(m)
		}
		m.worker.failures.Succeed(m.startedAt)
		m.worker.standsStill = standstill{}
		m.worker.crashedJobs = nil
	case graph.EndFailed:
		u.runFailed = true
		c.recordFailure(m.worker, u, m.index())
	}
	if !u.runDone && !u.stopping {
		u.history.stopFor(stopMemberEnded)
		c.stopRun(u)
	}
	c.finishRunIfEnded(u)
}

// learnFromEnd learns from a run that has just ended as done.
func (c *Core) learnFromEnd(m *member) {
	c.observeRun(m)
	c.learnFromTask(m)
	c.learnFinalRate(m)
	c.learnRunTime(m)
}

// finishRunIfEnded marks the unit as done if a member ended with EndDone. Once all
// members have ended it clears the run, counts a failure or a crash and lets the unit
// wait for placement again, or fails the job after the last one that it may have.
func (c *Core) finishRunIfEnded(u *unit) {
	if u.runDone && u.phase != unitDone {
		u.phase = unitDone
		c.dropClaim(u)
		c.completeJobIfDone(u.job)
	}
	for _, m := range u.members {
		if !m.ended {
			return
		}
	}
	over := u.phase == unitDone || u.job.state.Final()
	if !over && c.awaitLateCalls(u) {
		return
	}
	u.members = nil
	u.stopping = false
	if over {
		return
	}
	u.phase = unitWaiting
	if u.runFailed {
		u.runFailed = false
		u.failures++
		if u.failures >= max(1, u.job.MaxAttempts) {
			c.finishJob(u.job, graph.Failed, Notice{Reason: ReasonJobFailed})
			return
		}
	}
	c.countCrash(u)
}

func (c *Core) completeJobIfDone(j *job) {
	if j.state.Final() {
		return
	}
	for i := range j.unitsByStep {
		if !j.stepDone(i) {
			return
		}
	}
	c.finishJob(j, graph.Completed, Notice{Reason: ReasonJobCompleted})
}
