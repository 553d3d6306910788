package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// submit adds a durable job, which may have run under a previous owner.
func (c *Core) submit(rec api.JobRecord) {
	id := rec.Job.ID
	if old := c.jobs[id]; old != nil {
		if rec.CancelAsked {
			c.cancel(id)
		}
		return
	}
	if rec.State == api.JobFinal {
		return
	}
	j := &job{rec: rec, attempt: rec.Attempt, perTask: rec.Job.Gang.PerTask, queuedAt: c.now}
	j.everStarted = rec.Attempt > 0
	c.jobs[id] = j
	j.account = c.accountOf(j)
	defer c.replayEarlyReports(j)
	if rec.State == api.JobRunning {
		c.adopt(j)
		return
	}
	if rec.CancelAsked {
		c.finishJob(j, api.OutcomeCancelled, "cancelled before a start")
		return
	}
	c.enqueue(j)
}

func (c *Core) enqueue(j *job) {
	j.phase = phaseQueued
	c.queue.insert(j)
	c.watchDeadline(j)
}

// watchDeadline finishes a job that is still queued at its deadline.
func (c *Core) watchDeadline(j *job) {
	if j.deadlineTimerSet || j.rec.Job.Deadline.IsZero() {
		return
	}
	j.deadlineTimerSet = true
	c.timers.add(j.rec.Job.Deadline.Sub(c.cfg.TermStart), func() { c.deadlinePassed(j) })
}

func (c *Core) deadlinePassed(j *job) {
	j.deadlineTimerSet = false
	if j.phase != phaseQueued && j.phase != phaseBackoff && j.phase != phaseClaiming {
		return
	}
	c.emitNotice(j, "", ReasonDeadline, "")
	if j.everStarted {
		c.leaveQueue(j)
		c.finishJob(j, api.OutcomeFailed, "the deadline passed before the job could run again")
		return
	}
	c.leaveQueue(j)
	c.finishJob(j, api.OutcomeNotRun, "the deadline passed before a start")
}

// leaveQueue removes a job that holds no capacity yet from the queue, and drops its
// claim and its reservation.
func (c *Core) leaveQueue(j *job) {
	if j.phase == phaseClaiming {
		c.dropClaim(j)
	}
	c.queue.remove(j)
	c.dropWaitingReservation(j)
}

func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil || j.phase == phaseFinal || j.rec.CancelAsked {
		return
	}
	j.rec.CancelAsked = true
	c.emitNotice(j, "", ReasonCancelled, "")
	switch j.phase {
	case phaseQueued, phaseBackoff, phaseClaiming:
		c.leaveQueue(j)
		c.finishJob(j, api.OutcomeCancelled, "cancelled while queued")
	case phaseHolding:
		c.abandonHolds(j, "cancelled")
		c.finishJob(j, api.OutcomeCancelled, "cancelled before a start")
	case phaseSaving:
		c.abortSaving(j, "cancelled")
	case phaseRunning:
		c.endAttempt(j, 0, ReasonCancelled)
	}
}

// finishJob sets a job's outcome and saves its final row.
func (c *Core) finishJob(j *job, outcome api.Outcome, detail string) {
	j.phase = phaseFinal
	j.rec.State = api.JobFinal
	j.rec.Outcome = outcome
	j.rec.Detail = detail
	j.rec.Finished = c.wallTime()
	j.rec.Results = nil
	if outcome == api.OutcomeDone {
		j.rec.Results = results(j)
	}
	c.learnRunTime(j)
	c.emit(Save{j.rec})
}

func results(j *job) []api.TaskResult {
	out := make([]api.TaskResult, 0, len(j.groups))
	for _, g := range j.groups {
		out = append(out, api.TaskResult{FirstTask: g.firstTask, Tasks: g.tasks, Output: g.result})
	}
	return out
}

// Retry intervals of a row that could not be written, and of an attempt whose
// holds failed.
const (
	saveRetryInterval = time.Second
	holdRetryMin      = 200 * time.Millisecond
	holdRetryMax      = 10 * time.Second
)

func (c *Core) handleSaveResult(e SaveResult) {
	j := c.jobs[e.JobID]
	if j == nil {
		return
	}
	switch {
	case j.phase == phaseFinal && e.State == api.JobFinal:
		c.finalSaved(j, e.Failed)
	case j.phase == phaseRequeue && e.State == api.JobQueued:
		c.queuedSaved(j, e.Failed)
	case j.phase == phaseSaving && e.State == api.JobRunning && e.Attempt == j.attempt:
		c.attemptSaved(j, e.Failed)
	}
}

func (c *Core) finalSaved(j *job, failed bool) {
	if failed {
		c.retrySave(j)
		return
	}
	for _, g := range j.groups {
		// Lets the agent discard the group: its result is durable.
		c.emit(Stop{Worker: g.worker.Name, JobID: j.id(), Attempt: g.attempt, Reason: "answered"})
	}
	delete(c.jobs, j.id())
}

func (c *Core) retrySave(j *job) {
	want := j.phase
	c.after(saveRetryInterval, func() {
		if j.phase == want {
			c.emit(Save{j.rec})
		}
	})
}

func (c *Core) queuedSaved(j *job, failed bool) {
	if failed {
		c.retrySave(j)
		return
	}
	if j.rec.CancelAsked {
		c.finishJob(j, api.OutcomeCancelled, fmt.Sprintf("cancelled after %d attempts", j.rec.Attempt))
		return
	}
	c.enqueue(j)
}

// requeue queues a job again after all groups of its attempt have ended. If a
// takeover must not lose what the row holds, the row is written first.
func (c *Core) requeue(j *job) {
	durable := !j.restartable() || len(j.rec.Checkpoints) > 0
	j.groups = nil
	j.started = false
	j.abortedWhileSaving = false
	j.rec.State = api.JobQueued
	j.rec.Placements = nil
	if !durable {
		c.enqueue(j)
		return
	}
	j.phase = phaseRequeue
	c.emit(Save{j.rec})
}

// requeueAfterBackoff queues a job again after a delay that grows with each failed
// hold.
func (c *Core) requeueAfterBackoff(j *job) {
	j.phase = phaseBackoff
	wait := min(holdRetryMin<<min(j.holdFailures, 8), holdRetryMax)
	j.holdFailures++
	c.after(wait, func() {
		if j.phase == phaseBackoff {
			c.enqueue(j)
		}
	})
}
