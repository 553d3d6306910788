package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
)

// claimSlack is the time a claim waits for its victims beyond StopTime, to allow
// for orders and reports in transit. After that the claim is given up, so that the
// unit does not wait for a worker that does not answer.
const claimSlack = 800 * time.Millisecond

// claimTimeout returns the time a claim waits for its victims to end.
func (c *Core) claimTimeout() time.Duration { return c.cfg.StopTime + claimSlack }

// claim holds a placement for a unit while other runs are being stopped there.
type claim struct {
	allocs []allocation
	needs  map[*worker]graph.Resources
	madeAt time.Duration
}

func (c *Core) makeClaim(u *unit, allocs []allocation) {
	u.claim = &claim{allocs: allocs, needs: needsByWorker(allocs, u.step), madeAt: c.now}
	for w, needs := range u.claim.needs {
		w.claimed = w.claimed.Add(needs)
	}
}

func (c *Core) dropClaim(u *unit) {
	if u.claim == nil {
		return
	}
	for w, needs := range u.claim.needs {
		w.claimed = w.claimed.Sub(needs)
	}
	c.sched.noRoom = map[unitKind]bool{}
	u.claim = nil
}

// useClaim places a unit on its claim once the resources there are free. It drops
// the claim when a worker is no longer eligible, or when the claim has timed out and the
// resources are not free: an owner that handles their ends late would otherwise give them
// back to the units that it has stopped, and claim them again.
func (c *Core) useClaim(u *unit) {
	cl := u.claim
	free := true
	for _, p := range cl.allocs {
		if !c.eligible(p.worker, u) {
			c.dropClaim(u)
			return
		}
		free = free && cl.needs[p.worker].Fits(p.worker.free())
	}
	switch {
	case free:
		c.dropClaim(u)
		c.bind(u, cl.allocs)
	case c.now-cl.madeAt > c.claimTimeout():
		c.dropClaim(u)
	}
}

// evictionPlan is a placement together with the units to stop for it.
type evictionPlan struct {
	allocs  []allocation
	victims []*unit
	loss    float64 // weighted core-seconds
	cost    float64 // with feature.ClaimHeadroom; the loss and what headroom.Victim adds
}

// evictionFor returns the plan to make room for a unit where stopping other units loses
// least. It returns nil if there is none, if the loss would exceed maxLoss, in weighted
// core-seconds, or if the term is younger than preemptionDelay.
func (c *Core) evictionFor(u *unit, maxLoss float64, reason Reason) *evictionPlan {
	if !c.firstReportOlderThan(preemptionDelay) {
		return nil
	}
	best := c.bestEviction(u, reason)
	if best == nil || best.loss > maxLoss {
		return nil
	}
	return best
}

// claimByEviction makes a claim for a unit by a plan, and stops the victims. It returns
// false if the plan is nil.
func (c *Core) claimByEviction(u *unit, p *evictionPlan, reason Reason) bool {
	if p == nil {
		return false
	}
	c.makeClaim(u, p.allocs)
	for _, v := range p.victims {
		c.emit(Notice{Reason: reason, Job: v.job.ID, Task: v.taskID(0).String(), Run: v.run, Detail: "for " + string(u.job.ID)})
		v.evicted, v.evictedAt = true, c.now
		v.stops++
		if c.hasHeadroom() && v.stops > headroom.FewStops {
			c.emit(Notice{Reason: ReasonVictimStoppedOften, Job: v.job.ID, Task: v.taskID(0).String(), Run: v.run, Detail: fmt.Sprintf("%d times", v.stops)})
		}
		v.history.stopFor(string(reason) + " for " + string(u.job.ID))
		c.stopRun(v)
	}
	return true
}

// bestEviction returns the plan that makes room for a unit where stopping other units
// loses least, or nil. For a guarantee, the number of earlier stops counts too.
func (c *Core) bestEviction(u *unit, reason Reason) *evictionPlan {
	groups := c.candidateGroups(u)
	if c.hasHeadroom() && reason == ReasonReclaimed {
		return c.cheapestClaim(u, groups)
	}
	var best *evictionPlan
	for _, g := range groups {
		if o := c.planEviction(u, g, reason); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
	}
	return best
}

// planEviction finds victims within a group that make the unit fit with little
// loss, or returns nil. It evicts units greedily, the least loss per freed core
// first, until the unit fits, and then restores those that are not needed.
func (c *Core) planEviction(u *unit, g workerGroup, reason Reason) *evictionPlan {
	trial := c.newEvictionTrial(u, g)
	victims := c.evictableUnits(u, g, reason, trial)
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.lossPerCore, b.lossPerCore) })
	evicted := 0
	for ; !trial.fits() && evicted < len(victims); evicted++ {
		trial.evict(victims[evicted].unit)
	}
	if !trial.fits() {
		return nil
	}
	plan := &evictionPlan{}
	for i := evicted - 1; i >= 0; i-- {
		v := victims[i]
		trial.restore(v.unit)
		if trial.fits() {
			continue
		}
		trial.evict(v.unit)
		plan.victims = append(plan.victims, v.unit)
		plan.loss += v.loss
	}
	slices.Reverse(plan.victims)
	plan.allocs = trial.allocate()
	return plan
}

// maxLossOfGain is the part of the gain of a preemption that its loss may be. The gain
// rests on estimates that are often wrong, while the stopped work is lost for certain.
const maxLossOfGain = 0.5

// preemptionFor returns the plan to make room for a unit that is expected to start at
// the given time if it waits, or nil. The unit must gain more by starting sooner than
// those of lower priorities lose that are stopped for it.
func (c *Core) preemptionFor(u *unit, until time.Duration) *evictionPlan {
	if until <= c.now+c.regainTime() {
		return nil
	}
	return c.evictionFor(u, maxLossOfGain*c.preemptionGain(u, until), ReasonPreempted)
}

// preemptionGain returns what the unit's job loses if the unit starts at the given time
// and not as soon as other runs could be stopped for it.
func (c *Core) preemptionGain(u *unit, until time.Duration) float64 {
	cost, path := costOf(u.job), u.job.remainingPath()
	return cost.ExpectedLoss(until, path) - cost.ExpectedLoss(c.now+c.regainTime(), path)
}

// endReportDelay is the time from the end of a run until its resources can be
// reused, because the end has to be reported first.
const endReportDelay = 100 * time.Millisecond
