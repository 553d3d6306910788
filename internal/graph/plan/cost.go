package plan

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/delaycost"
)

// costOf returns what the cost of a job's delay depends on, on the term's clock.
func costOf(j *job) delaycost.Job {
	return delaycost.Job{Priority: j.Priority, SubmittedAt: j.arrivedAt, Objective: j.objective(), Allowance: j.Allowance,
		Sigma: j.runTimeSigma(), CoreSeconds: j.coreSeconds()}
}

// coreSeconds returns the size of the job by its estimates, in core equivalents.
func (j *job) coreSeconds() float64 {
	size := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		size += j.runTimes[i].Seconds() * float64(s.Count) * s.Needs.Cores()
	}
	return size
}

// wasteWeight is the weight of a core-second of discarded work, for any job.
const wasteWeight = 1.7

// evictionLoss estimates the loss, in weighted core-seconds, of stopping a unit now
// and restarting it later.
func (c *Core) evictionLoss(u *unit) float64 {
	lost := wasteWeight * u.unsavedCoreSeconds(c.now)
	left := u.runTime()
	if u.step.Checkpointable {
		left = u.remaining()
	}
	if c.ordersByCost() {
		return c.stopLoss(u, lost, c.requeueWait(u.job.Priority)+left)
	}
	cost := costOf(u.job)
	after := max(0, u.job.remainingPath()-u.runTime()) // of the steps that depend on the unit
	return lost + cost.ExpectedLoss(c.now+c.requeueWait(u.job.Priority), left+after) - cost.ExpectedLoss(c.now, u.remaining()+after)
}

const (
	// minRequeueWait is the least time that a unit stopped for another one is
	// expected to wait for its next start.
	minRequeueWait = 1500 * time.Millisecond
	// requeueSmoothing is the weight of one wait in the expected wait.
	requeueSmoothing = 0.1
)

// requeueWait returns the time that a unit of a priority which is stopped for
// another one is expected to wait for its next start, from the waits of those before.
func (c *Core) requeueWait(priority int) time.Duration {
	return max(minRequeueWait, c.requeueWaits[priority])
}

// learnRequeueWait records the wait of a unit that starts again after it was stopped
// for another one.
func (c *Core) learnRequeueWait(u *unit) {
	if !u.evicted {
		return
	}
	u.evicted = false
	known := c.requeueWait(u.job.Priority)
	c.requeueWaits[u.job.Priority] = known + time.Duration(requeueSmoothing*float64(c.now-u.evictedAt-known))
}
