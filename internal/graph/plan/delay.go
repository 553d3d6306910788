package plan

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/delaycost"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
)

// delayState is what the decisions of one pass by the cost of delay share.
type delayState struct {
	// remaining is the remaining work of the jobs that a decision has asked for.
	remaining map[*job]delaycost.Remaining
	// backlogTime is the time in which the whole fleet would work off the waiting jobs
	// of the highest priority, and that for the waiting jobs of all priorities.
	backlogTime [rankByCost + 1]time.Duration
	// topOverloaded is set while the backlog of the highest priority is too long for its
	// objectives.
	topOverloaded bool
	// valuableWait is set if a job waits that is not worthless.
	valuableWait bool
}

// overloadDivisor is the part of the mean objective of the highest priority's waiting
// jobs above which its backlog counts as an overload. Without an overload the order by
// cost makes more of its jobs late on a fleet of 160 workers: 173 instead of 142 in
// four days of the load of TestOverloadMakesSomeJobsLate.
const overloadDivisor = 3

// delayReports records which notices about a job have been emitted in this term.
type delayReports struct{ worthless, yielded bool }

// ordersByCost reports whether the cost of delay decides.
func (c *Core) ordersByCost() bool { return c.cfg.Features.Has(feature.CostOrder) }

// prepareDelayState sets the state of a pass in which the given jobs have waiting units.
func (c *Core) prepareDelayState(waiting map[*job]jobOrder) {
	s := delayState{remaining: make(map[*job]delaycost.Remaining, len(waiting))}
	var backlog [rankByCost + 1]float64 // core-seconds
	var topObjectives time.Duration
	topJobs := time.Duration(0)
	for _, j := range c.activeJobs {
		if _, ok := waiting[j]; !ok {
			continue
		}
		left := j.remaining()
		s.remaining[j] = left
		if c.worthless(j) {
			c.reportWorthless(j, left)
			continue
		}
		s.valuableWait = true
		if j.Priority == 0 {
			topObjectives += j.objective()
			topJobs++
		}
		for rank := min(j.Priority, rankByCost); rank < len(backlog); rank++ {
			backlog[rank] += left.CoreSeconds
		}
	}
	cores := max(1, c.connectedCores())
	for rank := range backlog {
		s.backlogTime[rank] = time.Duration(backlog[rank] / cores * float64(time.Second))
	}
	s.topOverloaded = overloadDivisor*topJobs*s.backlogTime[0] > topObjectives
	c.sched.delay = s
}

// worthless reports whether a job is too late to have any value, for certain as far as
// its run times are known.
func (c *Core) worthless(j *job) bool {
	return costOf(j).Worthless(c.now) && c.now > j.cautiousWorthlessAt()
}

// connectedCores returns the size of the connected workers in core equivalents.
func (c *Core) connectedCores() float64 {
	cores := 0.0
	for _, w := range c.sortedWorkers {
		if w.connected() {
			cores += w.info.Capacity.Cores()
		}
	}
	return cores
}

// remaining estimates the part of a job that is not done. What active runs have done
// already is not part of it.
func (j *job) remaining() delaycost.Remaining {
	r := delaycost.Remaining{Path: j.remainingPath()}
	for _, u := range j.units {
		r.CoreSeconds += u.remainingCoreSeconds()
	}
	return r
}

func (u *unit) remainingCoreSeconds() float64 {
	if u.phase == unitDone {
		return 0
	}
	left := u.runTime()
	if u.phase == unitPlaced && !u.stopping {
		left = u.remaining()
	}
	return left.Seconds() * float64(u.taskCount) * u.step.Needs.Cores()
}

// remainingOf is remaining, computed once in a pass. The runs that start within the
// pass do not change the estimate much.
func (c *Core) remainingOf(j *job) delaycost.Remaining {
	left, ok := c.sched.delay.remaining[j]
	if !ok {
		left = j.remaining()
		if c.sched.delay.remaining == nil {
			c.sched.delay.remaining = map[*job]delaycost.Remaining{}
		}
		c.sched.delay.remaining[j] = left
	}
	return left
}

// meanWaitOf returns the mean further wait of a job that is passed over: the time to
// work off what waits at its rank or before, and at least the time that the job itself
// takes, because capacity becomes free only when runs of like length end.
func (c *Core) meanWaitOf(j *job) time.Duration {
	return max(c.sched.delay.backlogTime[min(j.Priority, rankByCost)], c.remainingOf(j).Path)
}

// withholdsReservation reports whether a job gets no reservation because it is
// worthless and others wait that are not. Expected ends do not count here: estimates
// are often wrong, and a job that is put off for a wrong one loses what it still had.
func (c *Core) withholdsReservation(j *job) bool {
	return c.ordersByCost() && c.sched.delay.valuableWait && !c.sched.withinGuarantee[j] &&
		c.worthless(j)
}

// stopLoss estimates the loss of stopping a unit whose remaining work then takes until
// the given time from now. Discarded is the weighted work that the stop discards. The
// run of a job that has no value any more loses nothing, so it is stopped first.
func (c *Core) stopLoss(u *unit, discarded float64, restarted time.Duration) float64 {
	cost := costOf(u.job)
	after := max(0, c.remainingOf(u.job).Path-u.runTime()) // of the steps that depend on the unit
	end := c.now + u.remaining() + after
	if cost.Worthless(end) {
		return 0
	}
	return discarded + cost.DelayLoss(end, c.now+restarted+after)
}

// reportWorthless emits a notice with the inputs when a job that waits first has become
// worthless in this term.
func (c *Core) reportWorthless(j *job, left delaycost.Remaining) {
	if j.delayReports.worthless {
		return
	}
	j.delayReports.worthless = true
	c.emit(Notice{Reason: ReasonJobWorthless, Job: j.ID, Detail: fmt.Sprintf("priority %d, objective %v, waited %v, path left %v, core-seconds left %.0f",
		j.Priority, j.objective(), c.now-j.arrivedAt, left.Path, left.CoreSeconds)})
}

// reportYields emits a notice for each job that for the first time comes after a job of
// a lower priority because the delay of that one costs more.
func (c *Core) reportYields(ordered []*unit, orders map[*job]jobOrder) {
	var lowest *job // of those so far, the one of the lowest priority
	for _, u := range ordered {
		j := u.job
		if orders[j].rank != rankByCost {
			continue
		}
		if lowest == nil || j.Priority > lowest.Priority {
			lowest = j
		}
		if j.Priority >= lowest.Priority || j.delayReports.yielded {
			continue
		}
		j.delayReports.yielded = true
		c.emit(Notice{Reason: ReasonJobYielded, Job: j.ID, Detail: fmt.Sprintf("%s; to %s: %s", c.describeDelay(j), lowest.ID, c.describeDelay(lowest))})
	}
}

// describeDelay returns the inputs of the decisions on a waiting job, for the log.
func (c *Core) describeDelay(j *job) string {
	cost, left, wait := costOf(j), c.remainingOf(j), c.meanWaitOf(j)
	return fmt.Sprintf("priority %d, objective %v, waited %v, path left %v, core-seconds left %.0f of %.0f, mean wait %v, loss per core-second %.3g",
		j.Priority, j.objective(), c.now-j.arrivedAt, left.Path, left.CoreSeconds, cost.CoreSeconds, wait, cost.WaitLossPerCoreSecond(c.now, wait, left))
}
