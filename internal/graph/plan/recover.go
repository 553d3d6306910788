package plan

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// addJob adds a job that is stored in the table, and restores its progress. A job
// that is known already is ignored.
func (c *Core) addJob(e JobSubmitted) {
	if c.jobs[e.Job.ID] != nil {
		return
	}
	c.needsScheduling = true
	j := newJob(e.Job)
	j.arrivedAt = min(e.Job.SubmittedAt.Sub(c.cfg.TermStart), c.now)
	j.idleBefore = min(max(0, -j.arrivedAt), lastResortWait)
	c.jobs[j.ID] = j
	if e.Progress != nil {
		c.restoreJob(j, e.Progress)
	}
	c.expectRunTimes(j)
	if !j.state.Final() {
		c.activeJobs = append(c.activeJobs, j)
		c.followQueue(j)
	}
	c.observeDemand(j)
	c.emit(Notice{Reason: ReasonAccepted, Job: j.ID, Detail: j.describe()})
	c.restoreKeptEnds(j.ID, e.Ends)
	if c.unreadable[j.ID] {
		delete(c.unreadable, j.ID)
		c.processHeldEnds(j.ID)
	}
	c.applyKeptEnds(j)
}

// describe returns a one-line summary of the job for the log.
func (j *job) describe() string {
	tasks, gangs := 0, 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if j.Steps[i].Gang {
			gangs++
		}
	}
	return fmt.Sprintf("%s, priority %d, account %s, %d steps (%d gangs), %d tasks, %d accelerators, chain %v, objective %v",
		j.state, j.Priority, j.Account, len(j.Steps), gangs, tasks, j.maxAccelerators(), j.CriticalPath(), j.objective())
}

// restoreJob restores the units of a job from its stored progress. A task that may
// still be running stays bound to the worker's incarnation until that worker
// reports or its lease expires.
func (c *Core) restoreJob(j *job, p *graph.Progress) {
	j.state, j.durableState, j.finishedAt = p.State, p.State, p.FinishedAt
	j.started = p.State != graph.Queued
	if p.PlacedAt > 0 {
		j.placedAt = time.UnixMilli(p.PlacedAt)
	}
	for _, t := range p.Tasks {
		u := j.unitOf(t.Step, t.Index)
		if u == nil {
			continue
		}
		if t.Index == u.firstIndex {
			u.failures, u.runFailed, u.checkpoint = t.Failures, t.RunFailed, t.Checkpoint
			if t.Done {
				u.phase, u.runDone = unitDone, true
			}
		}
		if t.Crashes > 0 || t.RunCrashed {
			*u.crashesOf(t.Index - u.firstIndex) = taskCrashes{count: t.Crashes, inRun: t.RunCrashed}
		}
		if t.Worker != "" {
			c.restoreMember(u, t)
		}
	}
	c.restoreLateRuns(j, p.LateFrom)
	j.lateInSave, j.savedAt = p.LateFrom, c.now
	j.restorePool(p.Pool)
	j.restoreStalls(p.Stalls)
	c.restoreSuspectedCrashes(j, p.Suspected)
	for _, u := range j.units {
		if len(u.members) > 0 && u.phase != unitDone {
			u.phase = unitPlaced
		}
		if j.state.Final() || u.runFailed || u.crashes.inRun() {
			u.history.stopFor(stopEarlierTerm)
			c.stopRun(u)
		}
	}
}

func (c *Core) restoreMember(u *unit, t graph.TaskProgress) {
	w := c.worker(t.Worker)
	m := &member{unit: u, task: u.taskID(t.Index - u.firstIndex), run: t.Run, worker: w, incarnation: t.Incarnation,
		recovered: true, placedAt: c.placedAt(u.job), lastProgressAt: c.now, runningSince: c.now}
	u.run = max(u.run, t.Run)
	u.members = append(u.members, m)
	u.history.placedAt = c.now
	c.occupy(m)
}

func (j *job) unitOf(step, index int) *unit {
	if step < 0 || step >= len(j.unitsByStep) {
		return nil
	}
	units := j.unitsByStep[step]
	if len(units) == 0 {
		return nil
	}
	if index < 0 || index >= units[0].step.Count {
		return nil
	}
	if units[0].step.Gang {
		return units[0]
	}
	return units[index]
}
