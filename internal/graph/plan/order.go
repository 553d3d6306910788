package plan

import (
	"cmp"
	"slices"
	"time"
)

// jobOrder is the place of a job in the scheduling order: by rank, then by urgency,
// then by the loss of a wait, then by the time until which the job should be completed.
type jobOrder struct {
	rank    int
	urgency urgency
	// waitLoss is the expected loss of a wait per core-second of remaining work; 0 for
	// jobs that are not ordered by it.
	waitLoss float64
	until    time.Duration
}

func (o jobOrder) compare(p jobOrder) int {
	return cmp.Or(cmp.Compare(o.rank, p.rank), cmp.Compare(o.urgency, p.urgency),
		cmp.Compare(p.waitLoss, o.waitLoss), cmp.Compare(o.until, p.until))
}

// urgency tells what a start now achieves for a job.
type urgency int

const (
	// urgent jobs meet their objective if they start now, or have some value only
	// if they start soon.
	urgent urgency = iota
	// deferrable jobs miss their objective but keep the rest of their value if they
	// start later.
	deferrable
)

// Ranks outside of the priorities.
const (
	rankGuaranteed = -1
	rankWorthless  = 1 << 20
)

// lastChanceFraction is the time before the last start of value from which a late job
// is urgent again, as a fraction of the job's objective. It covers the wait for room.
const lastChanceFraction = 1.3

// orderOf returns the place of a job: jobs within a guarantee first, then by
// priority, and last those that are too late to have any value. Among jobs of one
// priority those come first for which time matters, so that an overload makes some
// jobs late instead of all of them.
func (c *Core) orderOf(j *job, withinGuarantee bool) jobOrder {
	if c.ordersByCost() && !withinGuarantee && (j.Priority > 0 || c.sched.delay.topOverloaded) {
		return c.costOrderOf(j)
	}
	cost := costOf(j)
	due, worthlessAt := cost.DueAt(), cost.WorthlessAt()
	left := j.remainingPath()
	switch {
	case withinGuarantee:
		return jobOrder{rank: rankGuaranteed, until: due}
	case c.now > j.cautiousWorthlessAt():
		return jobOrder{rank: rankWorthless, until: due}
	case c.now+left <= due:
		return jobOrder{rank: j.Priority, urgency: urgent, until: due}
	case c.now+left >= worthlessAt-time.Duration(lastChanceFraction*float64(j.objective())):
		return jobOrder{rank: j.Priority, urgency: urgent, until: worthlessAt}
	default:
		return jobOrder{rank: j.Priority, urgency: deferrable, until: due}
	}
}

// rankByCost is the rank of all priorities below the highest when the cost of delay
// orders them.
const rankByCost = 1

// costOrderOf returns the place of a job outside of a guarantee by the cost of its
// delay. The highest priority stays first, and is ordered so only in an overload. Among the others, those come first whose
// callers lose most per core-second by a wait.
func (c *Core) costOrderOf(j *job) jobOrder {
	cost, left := costOf(j), c.remainingOf(j)
	if c.worthless(j) {
		return jobOrder{rank: rankWorthless, until: cost.DueAt()}
	}
	loss := cost.WaitLossPerCoreSecond(c.now, c.meanWaitOf(j), left)
	return jobOrder{rank: min(j.Priority, rankByCost), waitLoss: loss, until: cost.DueAt()}
}

// remainingPath estimates the time from the start of a job's waiting steps until
// its end: the longest chain of steps that are not done.
func (j *job) remainingPath() time.Duration {
	left := slices.Clone(j.runTimes)
	for i := range left {
		if j.stepDone(i) {
			left[i] = 0
		}
	}
	return j.LongestChain(left)
}
