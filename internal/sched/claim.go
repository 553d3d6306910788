package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

const (
	// urgentGrace is the checkpoint grace of jobs preempted for urgent work.
	urgentGrace = 1500 * time.Millisecond
	// claimTimeout is how long a claim waits for its victims to end.
	claimTimeout = 30 * time.Second
	// maxPreemptionPlans limits the placements that are compared for a preemption.
	maxPreemptionPlans = 64
)

// claim is a placement for a gang and the jobs that must be preempted for it.
type claim struct {
	reservation *reservation // nil outside of guarantees
	assignments []placement.Assignment
	victims     []*job
	lostWork    time.Duration
	rule        victimRule
}

// planClaim selects the victims that free the assignments for a job, with the
// least work lost.
func (c *Core) planClaim(j *job, assignments []placement.Assignment, rule victimRule) (claim, bool) {
	cl := claim{assignments: assignments, rule: rule}
	var candidates []*job
	for _, p := range assignments {
		w := c.workers[p.Worker.Name]
		if j.perTask.Times(p.Tasks).Fits(c.capacityForClaim(w, &cl)) {
			continue
		}
		for _, g := range w.groups {
			if rule.allows(g, c.now) && !slices.Contains(candidates, g.job) {
				candidates = append(candidates, g.job)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.lostWork(c.now), b.lostWork(c.now)), cmp.Compare(a.id(), b.id()))
	})
	for _, v := range candidates {
		if c.claimFits(j, &cl) {
			break
		}
		if c.victimHelps(j, v, &cl) {
			cl.victims = append(cl.victims, v)
		}
	}
	if !c.claimFits(j, &cl) {
		return claim{}, false
	}
	c.dropNeedlessVictims(j, &cl)
	for _, v := range cl.victims {
		cl.lostWork += v.lostWork(c.now)
	}
	return cl, true
}

// victimRule restricts which jobs may be preempted for a claim.
type victimRule struct {
	// minRunTime excludes jobs that have run for less.
	minRunTime time.Duration
	// acceleratorLimit, if not zero, excludes gangs with at least that many
	// accelerators.
	acceleratorLimit int
	// includeNonPreemptible also allows work outside of guarantees that is not
	// preemptible.
	includeNonPreemptible bool
}

func (rule victimRule) allows(g *group, now time.Duration) bool {
	j := g.job
	if g.stopping || g.detached || g.nonRestartable {
		return false
	}
	if rule.acceleratorLimit > 0 && j.totalResources().Accelerators >= rule.acceleratorLimit {
		return false
	}
	if !j.preemptible() && !(rule.includeNonPreemptible && j.nonPreemptible) {
		return false
	}
	switch j.phase {
	case phaseHolding:
		return true
	case phaseSaving:
		return !j.abortedWhileSaving
	case phaseRunning:
		return now-j.startedAt >= rule.minRunTime
	}
	return false
}

// capacityForClaim returns the capacity of a worker that is free, or will be once
// the stopping groups and the victims have ended. For a claim that may stop
// non-preemptible work, it excludes other reservations.
func (c *Core) capacityForClaim(w *worker, cl *claim) api.Resources {
	open := w.Unused().Sub(w.Claimed)
	unreserved := w.Capacity.Sub(w.Reserved).Sub(w.NonPreemptible)
	for _, g := range w.groups {
		victim := !g.detached && slices.Contains(cl.victims, g.job)
		if !g.stopping && !victim {
			continue
		}
		open = open.Add(g.resources)
		if g.nonPreemptible {
			unreserved = unreserved.Add(g.resources)
		}
	}
	if cl.rule.includeNonPreemptible {
		return fleet.MinResources(open, unreserved)
	}
	return open
}

func (c *Core) claimFits(j *job, cl *claim) bool {
	for _, p := range cl.assignments {
		if !j.perTask.Times(p.Tasks).Fits(c.capacityForClaim(c.workers[p.Worker.Name], cl)) {
			return false
		}
	}
	return true
}

// victimHelps reports whether a victim frees capacity on a worker that still lacks
// capacity for the claim.
func (c *Core) victimHelps(j, victim *job, cl *claim) bool {
	for _, p := range cl.assignments {
		w := c.workers[p.Worker.Name]
		if j.perTask.Times(p.Tasks).Fits(c.capacityForClaim(w, cl)) {
			continue
		}
		for _, g := range victim.groups {
			if g.worker == w && g.live() {
				return true
			}
		}
	}
	return false
}

// dropNeedlessVictims drops the victims that the claim does not need, those with
// the most lost work first.
func (c *Core) dropNeedlessVictims(j *job, cl *claim) {
	for i := len(cl.victims) - 1; i >= 0; i-- {
		fewer := claim{assignments: cl.assignments, rule: cl.rule, victims: slices.Delete(slices.Clone(cl.victims), i, i+1)}
		if c.claimFits(j, &fewer) {
			cl.victims = fewer.victims
		}
	}
}

// startClaim allocates the claimed capacity to the job and preempts the victims.
// The job continues when all of the capacity is free.
func (c *Core) startClaim(j *job, cl claim, grace time.Duration) {
	c.dropWaitingReservation(j)
	reason := ReasonPreempted
	if cl.reservation != nil {
		reason = ReasonReclaimed
	}
	j.reservation = cl.reservation
	c.createGroups(j, cl, !c.mayBorrow(j) && cl.reservation == nil, groupClaimed)
	j.phase = phaseClaiming
	for _, g := range j.groups {
		g.worker.claims = append(g.worker.claims, j)
	}
	for _, v := range cl.victims {
		c.emitNotice(v, "", reason, j.id())
		c.preempt(v, min(grace, checkpointGrace(v)), reason)
	}
	attempt := j.attempt
	c.after(claimTimeout, func() {
		if j.phase == phaseClaiming && j.attempt == attempt {
			c.dropClaim(j)
			c.requeueAfterBackoff(j)
		}
	})
	c.advanceClaim(j)
}

// preempt ends a job's attempt in whatever phase it is. The job runs again later.
func (c *Core) preempt(j *job, grace time.Duration, reason Reason) {
	switch j.phase {
	case phaseClaiming:
		c.dropClaim(j)
		c.enqueue(j)
	case phaseHolding:
		c.abandonHolds(j, string(reason))
		c.enqueue(j)
	case phaseSaving:
		c.abortSaving(j, string(reason))
	case phaseRunning:
		c.endAttempt(j, grace, reason)
	}
}

// advanceClaims rechecks the claims on a worker whose capacity has become free.
func (c *Core) advanceClaims(w *worker) {
	for _, j := range slices.Clone(w.claims) {
		if j.phase == phaseClaiming {
			c.advanceClaim(j)
		}
	}
}

func (c *Core) advanceClaim(j *job) {
	for _, g := range j.groups {
		if !g.resources.Fits(g.worker.Unused()) {
			return
		}
	}
	c.removeClaim(j)
	for _, g := range j.groups {
		c.updateWorker(g.worker, func(f *fleet.Worker) {
			f.Claimed = f.Claimed.Sub(g.resources)
			f.Used = f.Used.Add(g.resources)
		})
	}
	c.sendHolds(j)
}

func (c *Core) removeClaim(j *job) {
	for _, g := range j.groups {
		w := g.worker
		w.claims = slices.DeleteFunc(w.claims, func(o *job) bool { return o == j })
	}
}

// dropClaim gives up a job's claimed capacity before any hold was sent.
func (c *Core) dropClaim(j *job) {
	c.removeClaim(j)
	groups := j.groups
	j.groups = nil
	j.reservation = nil
	j.unlinkedGroups = 0
	for _, g := range groups {
		g.detached = true
		c.releaseGroup(g, groupEnded)
	}
}

func (c *Core) dropWorkerClaims(w *worker) {
	for _, j := range slices.Clone(w.claims) {
		if j.phase == phaseClaiming {
			c.dropClaim(j)
			c.enqueue(j)
		}
	}
}

func (c *Core) dropReservationClaims(part *reservationPart) {
	for _, g := range slices.Clone(part.worker.groups) {
		if g.reservedPart == part && g.job.phase == phaseClaiming && !g.detached {
			c.dropClaim(g.job)
			c.enqueue(g.job)
		}
	}
}

// claimGrace returns the checkpoint grace of jobs preempted for a job.
func (c *Core) claimGrace(j *job) time.Duration {
	if c.config.Profiles[j.rec.Job.Profile].Urgent {
		return urgentGrace
	}
	return CheckpointGrace
}

// tryPreempt starts a job where the least work outside of reservations is lost by
// preemption.
func (c *Core) tryPreempt(j *job, rule victimRule, grace time.Duration) bool {
	best, ok := c.cheapestClaim(j, c.placementRequest(j, fleet.Preemptible), rule)
	if ok {
		c.startClaim(j, best, grace)
	}
	return ok
}

// cheapestClaim returns the claim for a gang that loses the least work.
func (c *Core) cheapestClaim(j *job, req placement.Request, rule victimRule) (best claim, found bool) {
	plans := 0
	placement.ForEachDomain(c.fleet, req, func(assignments []placement.Assignment) bool {
		cl, ok := c.planClaim(j, assignments, rule)
		if ok && (!found || cl.lostWork < best.lostWork) {
			best, found = cl, true
		}
		plans++
		return plans < maxPreemptionPlans && !(found && best.lostWork == 0)
	})
	return best, found
}
