package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// tryGuaranteed starts a job within its profile's guarantee, where the least
// work is lost for it.
func (c *Core) tryGuaranteed(j *job) bool {
	best := c.bestClaim(j, c.excludedWorkers(j))
	if best.res == nil && len(j.avoidedWorkers) > 0 {
		best = c.relocate(j)
	}
	if best.res == nil {
		return c.reclaimFirm(j)
	}
	if len(best.victims) > 0 && best.res.unused() {
		if cl, ok := c.moveSlot(best.res, j, fleet.Unreserved); ok {
			best = cl
		}
	}
	c.claim(j, best, c.claimGrace(j))
	return true
}

func (c *Core) bestClaim(j *job, avoid func(*fleet.Worker) bool) claim {
	var best claim
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		cl, ok := c.claimIn(r, j, avoid)
		if ok && (best.res == nil || cl.loss < best.loss) {
			best = cl
		}
	}
	return best
}

// relocate finds a claim for a job that has failed on the workers of its
// profile's guarantees: it moves one of them or else goes there again.
func (c *Core) relocate(j *job) claim {
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		if !r.placed() || !r.unused() {
			continue
		}
		if cl, ok := c.moveSlot(r, j, fleet.Preemptible); ok {
			return cl
		}
	}
	return c.bestClaim(j, excludesProbation(j))
}

func (c *Core) claimIn(r *reservation, j *job, avoid func(*fleet.Worker) bool) (claim, bool) {
	rooms := r.rooms()
	rooms = slices.DeleteFunc(rooms, func(room placement.Candidate) bool { return avoid(room.Worker) })
	parts := placement.Pack(rooms, j.gang())
	if parts == nil {
		return claim{}, false
	}
	cl, ok := c.plan(j, parts, victimRule{})
	cl.res = r
	return cl, ok
}

// reclaimFirm makes room for a guarantee that has lost its place, as with a
// zone out, by work outside of all guarantees.
func (c *Core) reclaimFirm(j *job) bool {
	r := c.missingSlot(j)
	if r == nil {
		return false
	}
	// A guarantee goes before the places kept for gangs that wait.
	c.dropAllWaiting()
	q := c.placementRequest(j, fleet.Restartable)
	q.Gang = r.gang
	whole := &job{rec: j.rec, perTask: r.gang.PerTask}
	best, ok := c.cheapest(whole, q, victimRule{firm: true})
	if !ok {
		return c.placeByDisplacing(r, j)
	}
	c.place(r, best.parts)
	for _, v := range best.victims {
		c.emitNotice(v, "", ReasonReclaimed, j.id())
		c.preempt(v, min(c.claimGrace(j), checkpointGrace(v)), ReasonReclaimed)
	}
	cl, ok := c.claimIn(r, j, c.excludedWorkers(j))
	if ok {
		c.claim(j, cl, c.claimGrace(j))
	}
	return ok
}

func (c *Core) missingSlot(j *job) *reservation {
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		fits := j.rec.Job.Gang.Tasks <= r.gang.Tasks && j.perTask.Fits(r.gang.PerTask)
		if !r.placed() && fits {
			return r
		}
	}
	return nil
}

// moveSlot moves an unused guarantee to other capacity that suits the job.
func (c *Core) moveSlot(r *reservation, j *job, v fleet.CapacityView) (claim, bool) {
	q := c.placementRequest(j, v)
	q.Gang = r.gang
	parts := placement.Find(c.fleet, q)
	if parts == nil {
		return claim{}, false
	}
	c.lift(r)
	c.place(r, parts)
	return c.claimIn(r, j, c.excludedWorkers(j))
}

func (r *reservation) rooms() []placement.Candidate {
	out := make([]placement.Candidate, 0, len(r.shares))
	for _, s := range r.shares {
		if s.worker.InService() && !s.worker.Paused {
			out = append(out, placement.Candidate{Worker: s.worker.Worker, Available: s.amount.Sub(s.used)})
		}
	}
	return out
}

// slotOpen reports whether a guarantee of the profile has capacity for a task.
func (c *Core) slotOpen(profile string, perTask api.Resources) bool {
	for _, r := range c.guaranteesOf[profile] {
		for _, s := range r.shares {
			if perTask.Fits(s.amount.Sub(s.used)) {
				return true
			}
		}
	}
	return false
}
