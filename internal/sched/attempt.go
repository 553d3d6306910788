package sched

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// Bounds of the phases of an attempt.
const (
	// holdTimeout is how long all workers have to answer a hold.
	holdTimeout = 1500 * time.Millisecond
	// saveTimeout is how long holds are kept for the attempt's row.
	saveTimeout = 15 * time.Second
	// stopResend is the time between two stops to a worker that does not confirm.
	stopResend = time.Second
	// workerPause is how long a worker that refused a hold is not chosen again.
	workerPause = 2 * time.Second
)

// begin takes the capacity of a placement and asks all workers to hold it.
func (c *Core) begin(j *job, parts []placement.Assignment, firm bool) {
	c.dropWaiting(j)
	c.takeParts(j, claim{parts: parts}, firm, groupHolding)
	c.hold(j)
}

// takeParts creates the groups of a new attempt.
func (c *Core) takeParts(j *job, cl claim, firm bool, state groupState) {
	c.queue.remove(j)
	j.attempt = c.nextAttempt(j)
	j.groups = nil
	j.firm = firm
	j.verdict = ""
	first := 0
	for _, p := range cl.parts {
		g := &group{
			job: j, attempt: j.attempt, worker: c.workers[p.Worker.Name],
			firstTask: first, tasks: p.Tasks, amount: j.perTask.Times(p.Tasks),
			state: state, firm: firm,
		}
		g.share = cl.res.shareOn(g.worker)
		first += p.Tasks
		j.groups = append(j.groups, g)
		c.take(g)
	}
}

// attemptBits is how many attempts of a job each owner has numbers for.
const attemptBits = 10

// nextAttempt numbers attempts by the owner's epoch, so that the number of a
// hold that a former owner did not get to save is never used again.
func (c *Core) nextAttempt(j *job) uint32 {
	return max(j.attempt, uint32(c.authority.Epoch)<<attemptBits) + 1
}

func (c *Core) hold(j *job) {
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
			c.notice(j, g.worker.Name, ReasonHoldTimeout, "")
			c.pause(g.worker, workerPause)
		}
	}
	c.holdFailed(j, "hold timeout")
}

func (c *Core) holdFailed(j *job, why string) {
	c.abandonHolds(j, why)
	c.backoff(j)
}

// abandonHolds gives up an attempt that is not durable. Its groups keep their
// capacity until each has ended for certain.
func (c *Core) abandonHolds(j *job, why string) {
	j.reserved = nil
	for _, g := range j.groups {
		g.detached = true
		c.stop(g, 0, why)
	}
	j.groups = nil
	j.lost = 0
}

func (c *Core) groupHeld(g *group) {
	j := g.job
	g.state = groupHeld
	if j.phase != phaseHolding || !j.all(groupHeld) {
		return
	}
	j.phase = phaseSaving
	j.aborted = false
	j.rec.State = api.JobRunning
	j.rec.Attempt = j.attempt
	j.rec.Placements = placements(j)
	c.emit(Save{j.rec})
	attempt := j.attempt
	c.after(saveTimeout, func() {
		if j.phase == phaseSaving && j.attempt == attempt && !j.aborted {
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

// abortSaving releases the holds of an attempt whose row is being written; the
// job goes on when the answer of the write has come.
func (c *Core) abortSaving(j *job, why string) {
	if j.aborted {
		return
	}
	j.aborted = true
	c.abandonHolds(j, why)
}

func (c *Core) savedAttempt(j *job, failed bool) {
	if failed {
		c.abortSaving(j, "the row could not be written")
		j.rec.State = api.JobQueued
		j.rec.Placements = nil
		c.afterAbort(j, c.backoff)
		return
	}
	if !j.aborted && !c.startable(j) {
		c.abortSaving(j, "no start any more")
	}
	if j.aborted {
		c.afterAbort(j, c.requeue)
		return
	}
	c.start(j)
}

func (c *Core) afterAbort(j *job, again func(*job)) {
	if j.rec.CancelAsked {
		c.finish(j, api.OutcomeCancelled, "cancelled before a start")
		return
	}
	again(j)
}

// startable reports whether a held and saved attempt may start now.
func (c *Core) startable(j *job) bool {
	if !c.authority.Owner || c.now < c.authority.StartAfter || j.lost > 0 {
		return false
	}
	for _, g := range j.groups {
		if g.state != groupHeld || g.worker.ZoneOut || g.leaseUntil-c.cfg.LeaseMargin <= c.now {
			return false
		}
	}
	return true
}

func (c *Core) start(j *job) {
	j.phase = phaseRunning
	j.started = true
	j.everStarted = true
	j.startedAt = c.now
	j.holdFails = 0
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

// end stops all groups of a running attempt. The job goes on when all of them
// have ended for certain.
func (c *Core) end(j *job, grace time.Duration, why Reason) {
	if j.phase == phaseEnding {
		return
	}
	j.phase = phaseEnding
	j.moves = why
	for _, g := range j.groups {
		if g.live() {
			c.stop(g, grace, string(why))
		}
	}
	c.settle(j)
}

// grace is the time that a job's groups get for a checkpoint.
func grace(j *job) time.Duration {
	if j.rec.Job.Checkpointable {
		return CheckpointGrace
	}
	return 0
}

// settle goes on with a job once no group of its attempt is left.
func (c *Core) settle(j *job) {
	if j.phase != phaseRunning && j.phase != phaseEnding {
		return
	}
	if j.anyLive() {
		return
	}
	j.ranFor += c.now - j.startedAt
	j.reserved = nil
	switch {
	case j.all(groupDone):
		c.finish(j, api.OutcomeDone, "")
	case j.rec.CancelAsked:
		c.finish(j, api.OutcomeCancelled, "cancelled while running")
	case j.verdict != "":
		c.finish(j, j.verdict, j.verdictDetail)
	case j.started && !j.movable() && !j.unstarted():
		c.notice(j, "", ReasonMayHaveRun, string(j.moves))
		c.finish(j, api.OutcomeUnknown, "the job may have run and is not idempotent: "+string(j.moves))
	default:
		c.requeue(j)
	}
}

// stop asks a worker to end a group and repeats that until it is confirmed or
// the lease has lapsed.
func (c *Core) stop(g *group, grace time.Duration, why string) {
	if !g.live() || g.ending {
		return
	}
	g.ending = true
	if g.state == groupClaimed {
		c.gone(g, groupGone)
		return
	}
	c.sendStop(g, grace, why)
	c.watchLapse(g)
}

func (c *Core) sendStop(g *group, grace time.Duration, why string) {
	if !g.live() {
		return
	}
	if g.worker.Linked {
		c.emit(Stop{Worker: g.worker.Name, JobID: g.job.id(), Attempt: g.attempt, Grace: grace, Reason: why})
	}
	c.after(grace+stopResend, func() { c.sendStop(g, 0, why) })
}

// watchLapse ends a group that is not renewed any more at the end of its lease.
func (c *Core) watchLapse(g *group) {
	c.timers.add(g.leaseUntil, func() {
		if !g.live() || !(g.ending || !g.worker.Linked) {
			return
		}
		if g.leaseUntil > c.now {
			c.watchLapse(g)
			return
		}
		c.lapsed(g)
	})
}

func (c *Core) lapsed(g *group) {
	c.gone(g, groupGone)
	c.broken(g, ReasonWorkerLost)
}

// broken ends an attempt that has lost one of its groups.
func (c *Core) broken(g *group, why Reason) {
	j := g.job
	if g.detached {
		return
	}
	switch j.phase {
	case phaseHolding:
		c.holdFailed(j, string(why))
	case phaseSaving:
		c.abortSaving(j, string(why))
	case phaseRunning:
		c.notice(j, g.worker.Name, why, "")
		c.end(j, grace(j), why)
	case phaseEnding:
		c.settle(j)
	}
}
