package sched

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// Time limits and intervals of an attempt.
const (
	// holdTimeout is the time within which all workers must answer a hold.
	holdTimeout = 1500 * time.Millisecond
	// saveTimeout is how long holds are kept while the attempt's row is written.
	saveTimeout = 15 * time.Second
	// stopResendInterval is the time between two stops to a worker that has not
	// confirmed.
	stopResendInterval = time.Second
	// holdFailurePause is how long a worker is not used after it refused a hold
	// or did not answer one.
	holdFailurePause = 2 * time.Second
)

// beginAttempt allocates the capacity of a placement and sends the holds.
func (c *Core) beginAttempt(j *job, assignments []placement.Assignment, firm bool) {
	c.dropWaitingReservation(j)
	c.createGroups(j, claim{assignments: assignments}, firm, groupHolding)
	c.sendHolds(j)
}

// createGroups creates the groups of a new attempt and allocates their capacity.
func (c *Core) createGroups(j *job, cl claim, firm bool, state groupState) {
	c.queue.remove(j)
	j.attempt = c.nextAttempt(j)
	j.groups = nil
	j.nonPreemptible = firm
	j.finalOutcome = ""
	first := 0
	for _, p := range cl.assignments {
		g := &group{
			job: j, attempt: j.attempt, worker: c.workers[p.Worker.Name],
			firstTask: first, tasks: p.Tasks, resources: j.perTask.Times(p.Tasks),
			state: state, nonPreemptible: firm,
		}
		g.reservedPart = cl.reservation.partOn(g.worker)
		first += p.Tasks
		j.groups = append(j.groups, g)
		c.allocateGroup(g)
	}
}

// attemptBits is the number of low bits of an attempt number that count the
// attempts within one epoch; the bits above hold the epoch.
const attemptBits = 10

// nextAttempt returns the next attempt number. It includes the owner's epoch, so
// that the number of a hold that a previous owner did not save is never reused.
func (c *Core) nextAttempt(j *job) uint32 {
	return max(j.attempt, uint32(c.ownerStatus.Epoch)<<attemptBits) + 1
}

func (c *Core) sendHolds(j *job) {
	j.phase = phaseHolding
	for _, g := range j.groups {
		g.state = groupHolding
		g.leaseUntil = c.now + HoldLease + c.cfg.LeaseMargin
		c.emit(Hold{Worker: g.worker.Name, JobID: j.id(), Attempt: g.attempt, Tasks: g.tasks, PerTask: j.perTask})
	}
	attempt := j.attempt
	c.after(holdTimeout, func() {
		if j.phase == phaseHolding && j.attempt == attempt {
			c.holdTimedOut(j)
		}
	})
}

func (c *Core) holdTimedOut(j *job) {
	for _, g := range j.groups {
		if g.state == groupHolding {
			c.emitNotice(j, g.worker.Name, ReasonHoldTimeout, "")
			c.pauseWorker(g.worker, holdFailurePause)
		}
	}
	c.holdFailed(j, "hold timeout")
}

func (c *Core) holdFailed(j *job, reason string) {
	c.abandonHolds(j, reason)
	c.requeueAfterBackoff(j)
}

// abandonHolds gives up an attempt that is not durable. Its groups keep their
// capacity until each has certainly ended.
func (c *Core) abandonHolds(j *job, reason string) {
	j.reservation = nil
	for _, g := range j.groups {
		g.detached = true
		c.stopGroup(g, 0, reason)
	}
	j.groups = nil
	j.unlinkedGroups = 0
}

func (c *Core) groupHeld(g *group) {
	j := g.job
	g.state = groupHeld
	if j.phase != phaseHolding || !j.allGroupsIn(groupHeld) {
		return
	}
	j.phase = phaseSaving
	j.abortedWhileSaving = false
	j.rec.State = api.JobRunning
	j.rec.Attempt = j.attempt
	j.rec.Placements = placements(j)
	c.emit(Save{j.rec})
	attempt := j.attempt
	c.after(saveTimeout, func() {
		if j.phase == phaseSaving && j.attempt == attempt && !j.abortedWhileSaving {
			c.abortSaving(j, "the row is not written in time")
		}
	})
}

func placements(j *job) []api.Placement {
	out := make([]api.Placement, 0, len(j.groups))
	for _, g := range j.groups {
		out = append(out, api.Placement{Worker: g.worker.Name, Zone: g.worker.Zone, FirstTask: g.firstTask, Tasks: g.tasks})
	}
	return out
}

// abortSaving releases the holds of an attempt whose row is being written. The
// job continues when the result of the write arrives.
func (c *Core) abortSaving(j *job, reason string) {
	if j.abortedWhileSaving {
		return
	}
	j.abortedWhileSaving = true
	c.abandonHolds(j, reason)
}

func (c *Core) attemptSaved(j *job, failed bool) {
	if failed {
		c.abortSaving(j, "the row could not be written")
		j.rec.State = api.JobQueued
		j.rec.Placements = nil
		c.continueAfterAbort(j, c.requeueAfterBackoff)
		return
	}
	if !j.abortedWhileSaving && !c.startable(j) {
		c.abortSaving(j, "no start any more")
	}
	if j.abortedWhileSaving {
		c.continueAfterAbort(j, c.requeue)
		return
	}
	c.startAttempt(j)
}

func (c *Core) continueAfterAbort(j *job, again func(*job)) {
	if j.rec.CancelAsked {
		c.finishJob(j, api.OutcomeCancelled, "cancelled before a start")
		return
	}
	again(j)
}

// startable reports whether a held and saved attempt may start now.
func (c *Core) startable(j *job) bool {
	if !c.ownerStatus.Owner || c.now < c.ownerStatus.StartAfter || j.unlinkedGroups > 0 {
		return false
	}
	for _, g := range j.groups {
		if g.state != groupHeld || g.worker.ZoneOut || g.leaseUntil-c.cfg.LeaseMargin <= c.now {
			return false
		}
	}
	return true
}

func (c *Core) startAttempt(j *job) {
	j.phase = phaseRunning
	j.started = true
	j.everStarted = true
	j.startedAt = c.now
	j.holdFailures = 0
	for _, g := range j.groups {
		c.startGroup(g)
	}
}

func (c *Core) startGroup(g *group) {
	g.state = groupStarting
	g.leaseUntil = c.now + GroupLease + c.cfg.LeaseMargin
	c.emit(Start{
		Worker: g.worker.Name, JobID: g.job.id(), Attempt: g.attempt,
		FirstTask: g.firstTask, Checkpoint: g.job.checkpointFor(g.firstTask, g.tasks),
	})
}

// endAttempt stops all groups of a running attempt. The job continues when all of
// them have certainly ended.
func (c *Core) endAttempt(j *job, grace time.Duration, reason Reason) {
	if j.phase == phaseEnding {
		return
	}
	j.phase = phaseEnding
	j.endReason = reason
	for _, g := range j.groups {
		if g.live() {
			c.stopGroup(g, grace, string(reason))
		}
	}
	c.concludeAttempt(j)
}

// checkpointGrace returns the time that a job's groups get for a checkpoint.
func checkpointGrace(j *job) time.Duration {
	if j.rec.Job.Checkpointable {
		return CheckpointGrace
	}
	return 0
}

// concludeAttempt finishes or requeues a job once no group of its attempt is live.
func (c *Core) concludeAttempt(j *job) {
	if j.phase != phaseRunning && j.phase != phaseEnding {
		return
	}
	if j.hasLiveGroup() {
		return
	}
	j.earlierRunTime += c.now - j.startedAt
	j.reservation = nil
	switch {
	case j.allGroupsIn(groupDone):
		c.finishJob(j, api.OutcomeDone, "")
	case j.rec.CancelAsked:
		c.finishJob(j, api.OutcomeCancelled, "cancelled while running")
	case j.finalOutcome != "":
		c.finishJob(j, j.finalOutcome, j.finalDetail)
	case j.started && !j.restartable() && !j.neverStarted():
		c.emitNotice(j, "", ReasonMayHaveRun, string(j.endReason))
		c.finishJob(j, api.OutcomeUnknown, "the job may have run and is not idempotent: "+string(j.endReason))
	default:
		c.requeue(j)
	}
}

// stopGroup asks a worker to end a group. The request is repeated until it is
// confirmed or the lease has expired.
func (c *Core) stopGroup(g *group, grace time.Duration, reason string) {
	if !g.live() || g.stopping {
		return
	}
	g.stopping = true
	if g.state == groupClaimed {
		c.releaseGroup(g, groupEnded)
		return
	}
	c.sendStop(g, grace, reason)
	c.watchLease(g)
}

func (c *Core) sendStop(g *group, grace time.Duration, reason string) {
	if !g.live() {
		return
	}
	if g.worker.Linked {
		c.emit(Stop{Worker: g.worker.Name, JobID: g.job.id(), Attempt: g.attempt, Grace: grace, Reason: reason})
	}
	c.after(grace+stopResendInterval, func() { c.sendStop(g, 0, reason) })
}

// watchLease ends a group that is no longer renewed when its lease expires.
func (c *Core) watchLease(g *group) {
	c.timers.add(g.leaseUntil, func() {
		if !g.live() || !(g.stopping || !g.worker.Linked) {
			return
		}
		if g.leaseUntil > c.now {
			c.watchLease(g)
			return
		}
		c.leaseExpired(g)
	})
}

func (c *Core) leaseExpired(g *group) {
	c.releaseGroup(g, groupEnded)
	c.groupLost(g, ReasonWorkerLost)
}

// groupLost ends the attempt that has lost one of its groups.
func (c *Core) groupLost(g *group, reason Reason) {
	j := g.job
	if g.detached {
		return
	}
	switch j.phase {
	case phaseHolding:
		c.holdFailed(j, string(reason))
	case phaseSaving:
		c.abortSaving(j, string(reason))
	case phaseRunning:
		c.emitNotice(j, g.worker.Name, reason, "")
		c.endAttempt(j, checkpointGrace(j), reason)
	case phaseEnding:
		c.concludeAttempt(j)
	}
}
