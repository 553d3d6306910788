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
	// urgentGrace is the time for a checkpoint when urgent work waits.
	urgentGrace = 1500 * time.Millisecond
	// claimTimeout is how long a gang waits for its victims to end.
	claimTimeout = 30 * time.Second
	// maxEvictionPlans bounds how many places are compared for an eviction.
	maxEvictionPlans = 64
)

// claim is a place for a gang and the preemptible work that has to end for it.
type claim struct {
	res     *reservation // nil outside of guarantees
	parts   []placement.Assignment
	victims []*job
	loss    time.Duration
	rule    victimRule
}

// plan finds the victims that open the parts for a job with the least work
// lost.
func (c *Core) plan(j *job, parts []placement.Assignment, rule victimRule) (claim, bool) {
	cl := claim{parts: parts, rule: rule}
	var candidates []*job
	for _, p := range parts {
		w := c.workers[p.Worker.Name]
		if j.perTask.Times(p.Tasks).Fits(c.opening(w, &cl)) {
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
		if c.opens(j, &cl) {
			break
		}
		if c.helps(j, v, &cl) {
			cl.victims = append(cl.victims, v)
		}
	}
	if !c.opens(j, &cl) {
		return claim{}, false
	}
	c.spare(j, &cl)
	for _, v := range cl.victims {
		cl.loss += v.lostWork(c.now)
	}
	return cl, true
}

// victimRule says which work may be stopped for a claim.
type victimRule struct {
	// minRun spares work that has run for less.
	minRun time.Duration
	// below spares gangs of that many accelerators and more, if it is set.
	below int
	// firm takes also work outside of guarantees that is not preemptible.
	firm bool
}

func (rule victimRule) allows(g *group, now time.Duration) bool {
	j := g.job
	if g.stopping || g.detached || g.nonRestartable {
		return false
	}
	if rule.below > 0 && j.totalResources().Accelerators >= rule.below {
		return false
	}
	if !j.preemptible() && !(rule.firm && j.nonPreemptible) {
		return false
	}
	switch j.phase {
	case phaseHolding:
		return true
	case phaseSaving:
		return !j.abortedWhileSaving
	case phaseRunning:
		return now-j.startedAt >= rule.minRun
	}
	return false
}

// opening is the capacity of a worker that is free, or will be once the groups
// that are ending and the victims have ended. For a claim that may stop work
// which is not preemptible, other reservations are left out.
func (c *Core) opening(w *worker, cl *claim) api.Resources {
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
	if cl.rule.firm {
		return fleet.MinResources(open, unreserved)
	}
	return open
}

func (c *Core) opens(j *job, cl *claim) bool {
	for _, p := range cl.parts {
		if !j.perTask.Times(p.Tasks).Fits(c.opening(c.workers[p.Worker.Name], cl)) {
			return false
		}
	}
	return true
}

// helps reports whether a victim frees capacity on a worker that still lacks it.
func (c *Core) helps(j, victim *job, cl *claim) bool {
	for _, p := range cl.parts {
		w := c.workers[p.Worker.Name]
		if j.perTask.Times(p.Tasks).Fits(c.opening(w, cl)) {
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

// spare drops victims that are not needed, those with the largest loss first.
func (c *Core) spare(j *job, cl *claim) {
	for i := len(cl.victims) - 1; i >= 0; i-- {
		fewer := claim{parts: cl.parts, rule: cl.rule, victims: slices.Delete(slices.Clone(cl.victims), i, i+1)}
		if c.opens(j, &fewer) {
			cl.victims = fewer.victims
		}
	}
}

// claim sets the place aside for the job and stops the victims. The job goes on
// when all of the place is free.
func (c *Core) claim(j *job, cl claim, graceTime time.Duration) {
	c.dropWaiting(j)
	why := ReasonPreempted
	if cl.res != nil {
		why = ReasonReclaimed
	}
	j.reservation = cl.res
	c.createGroups(j, cl, !c.lent(j) && cl.res == nil, groupClaimed)
	j.phase = phaseClaiming
	for _, g := range j.groups {
		g.worker.claims = append(g.worker.claims, j)
	}
	for _, v := range cl.victims {
		c.emitNotice(v, "", why, j.id())
		c.preempt(v, min(graceTime, checkpointGrace(v)), why)
	}
	attempt := j.attempt
	c.after(claimTimeout, func() {
		if j.phase == phaseClaiming && j.attempt == attempt {
			c.dropClaim(j)
			c.backoff(j)
		}
	})
	c.claimReady(j)
}

// preempt ends an attempt, whatever it has come to, for another one later.
func (c *Core) preempt(j *job, graceTime time.Duration, why Reason) {
	switch j.phase {
	case phaseClaiming:
		c.dropClaim(j)
		c.enqueue(j)
	case phaseHolding:
		c.abandonHolds(j, string(why))
		c.enqueue(j)
	case phaseSaving:
		c.abortSaving(j, string(why))
	case phaseRunning:
		c.endAttempt(j, graceTime, why)
	}
}

// claimsProgress lets the claims on a worker go on after capacity became free.
func (c *Core) claimsProgress(w *worker) {
	for _, j := range slices.Clone(w.claims) {
		if j.phase == phaseClaiming {
			c.claimReady(j)
		}
	}
}

func (c *Core) claimReady(j *job) {
	for _, g := range j.groups {
		if !g.resources.Fits(g.worker.Unused()) {
			return
		}
	}
	c.forgetClaim(j)
	for _, g := range j.groups {
		c.update(g.worker, func(f *fleet.Worker) {
			f.Claimed = f.Claimed.Sub(g.resources)
			f.Used = f.Used.Add(g.resources)
		})
	}
	c.sendHolds(j)
}

func (c *Core) forgetClaim(j *job) {
	for _, g := range j.groups {
		w := g.worker
		w.claims = slices.DeleteFunc(w.claims, func(o *job) bool { return o == j })
	}
}

// dropClaim gives the place of a job up before anything was held.
func (c *Core) dropClaim(j *job) {
	c.forgetClaim(j)
	groups := j.groups
	j.groups = nil
	j.reservation = nil
	j.unlinkedGroups = 0
	for _, g := range groups {
		g.detached = true
		c.gone(g, groupEnded)
	}
}

func (c *Core) dropClaimsOn(w *worker) {
	for _, j := range slices.Clone(w.claims) {
		if j.phase == phaseClaiming {
			c.dropClaim(j)
			c.enqueue(j)
		}
	}
}

func (c *Core) dropClaimsIn(s *share) {
	for _, g := range slices.Clone(s.worker.groups) {
		if g.reservedPart == s && g.job.phase == phaseClaiming && !g.detached {
			c.dropClaim(g.job)
			c.enqueue(g.job)
		}
	}
}

// claimGrace is the time that victims of a job get for their checkpoints.
func (c *Core) claimGrace(j *job) time.Duration {
	if c.config.Profiles[j.rec.Job.Profile].Urgent {
		return urgentGrace
	}
	return CheckpointGrace
}

// tryEvict starts a job where preemptible work outside of reservations makes
// room with the least loss.
func (c *Core) tryEvict(j *job, rule victimRule, graceTime time.Duration) bool {
	best, ok := c.cheapest(j, c.placementRequest(j, fleet.Preemptible), rule)
	if ok {
		c.claim(j, best, graceTime)
	}
	return ok
}

// cheapest compares the places for a gang by the work that would be lost there.
func (c *Core) cheapest(j *job, q placement.Request, rule victimRule) (best claim, found bool) {
	plans := 0
	placement.ForEachDomain(c.fleet, q, func(parts []placement.Assignment) bool {
		cl, ok := c.plan(j, parts, rule)
		if ok && (!found || cl.loss < best.loss) {
			best, found = cl, true
		}
		plans++
		return plans < maxEvictionPlans && !(found && best.loss == 0)
	})
	return best, found
}
