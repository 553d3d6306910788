package plan

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// submitted takes over a job from the table.
func (c *Core) submitted(e JobSubmitted) {
	if c.jobs[e.Job.ID] != nil {
		return
	}
	c.stirred = true
	j := newJob(e.Job)
	j.arrived = min(e.Job.SubmittedAt.Sub(c.cfg.TermStart), c.now)
	c.jobs[j.ID] = j
	if e.Progress != nil {
		c.recover(j, e.Progress)
	}
	if !j.state.Final() {
		c.live = append(c.live, j)
	}
	c.emit(Notice{Reason: ReasonAccepted, Job: j.ID, Detail: j.describe()})
}

// describe summarizes a job for the log.
func (j *job) describe() string {
	tasks, gangs := 0, 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if j.Steps[i].Gang {
			gangs++
		}
	}
	return fmt.Sprintf("%s, priority %d, account %s, %d steps (%d gangs), %d tasks, %d accelerators, chain %v, objective %v",
		j.state, j.Priority, j.Account, len(j.Steps), gangs, tasks, j.accelerators(), j.CriticalPath(), j.Objective())
}

// recover restores a job's units. Where a task may still run it is bound to
// the worker's incarnation until that worker is heard or its lease is over.
func (c *Core) recover(j *job, p *graph.Progress) {
	j.state, j.durable, j.finished = p.State, p.State, p.FinishedAt
	j.begun = p.State != graph.Queued
	for _, t := range p.Tasks {
		u := j.unitOf(t.Step, t.Index)
		if u == nil {
			continue
		}
		if t.Index == u.index {
			u.failures, u.failed, u.checkpoint = t.Failures, t.RunFailed, t.Checkpoint
			if t.Done {
				u.phase, u.done = unitDone, true
			}
		}
		if t.Worker != "" {
			c.recoverMember(u, t)
		}
	}
	for _, u := range j.units {
		if len(u.members) > 0 && u.phase != unitDone {
			u.phase = unitPlaced
		}
		if j.state.Final() || u.failed {
			c.endRun(u)
		}
	}
}

func (c *Core) recoverMember(u *unit, t graph.TaskProgress) {
	w := c.worker(t.Worker)
	m := &member{unit: u, task: u.taskID(t.Index - u.index), run: t.Run, worker: w, incarnation: t.Incarnation,
		recovered: true, movedAt: c.now, runningAt: c.now}
	u.run = max(u.run, t.Run)
	u.members = append(u.members, m)
	c.occupy(m)
}

func (j *job) unitOf(step, index int) *unit {
	if step < 0 || step >= len(j.steps) {
		return nil
	}
	units := j.steps[step]
	if len(units) == 0 {
		return nil
	}
	if units[0].spec.Gang {
		return units[0]
	}
	if index < 0 || index >= len(units) {
		return nil
	}
	return units[index]
}
