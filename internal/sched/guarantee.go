package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// tryGuaranteed starts a job within its profile's guarantee, where the least work
// is lost.
func (c *Core) tryGuaranteed(j *job) bool {
	best := c.cheapestGuaranteedClaim(j, c.excludedWorkers(j))
	if best.reservation == nil && len(j.avoidedWorkers) > 0 {
		best = c.claimElsewhere(j)
	}
	if best.reservation == nil {
		return c.reclaimGuarantee(j)
	}
	if len(best.victims) > 0 && best.reservation.unused() {
		if cl, ok := c.moveGuarantee(best.reservation, j, fleet.Unreserved); ok {
			best = cl
		}
	}
	c.startClaim(j, best, c.claimGrace(j))
	return true
}

func (c *Core) cheapestGuaranteedClaim(j *job, exclude func(*fleet.Worker) bool) claim {
	var best claim
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		cl, ok := c.claimInReservation(r, j, exclude)
		if ok && (best.reservation == nil || cl.lostWork < best.lostWork) {
			best = cl
		}
	}
	return best
}

// claimElsewhere returns a claim for a job that has failed on the workers of its
// profile's guarantees. It moves one of the guarantees, or else uses these workers
// again.
func (c *Core) claimElsewhere(j *job) claim {
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		if !r.placed() || !r.unused() {
			continue
		}
		if cl, ok := c.moveGuarantee(r, j, fleet.Preemptible); ok {
			return cl
		}
	}
	return c.cheapestGuaranteedClaim(j, excludesProbation(j))
}

func (c *Core) claimInReservation(r *reservation, j *job, exclude func(*fleet.Worker) bool) (claim, bool) {
	candidates := r.candidates()
	candidates = slices.DeleteFunc(candidates, func(candidate placement.Candidate) bool { return exclude(candidate.Worker) })
	assignments := placement.Pack(candidates, j.gang())
	if assignments == nil {
		return claim{}, false
	}
	cl, ok := c.planClaim(j, assignments, victimRule{})
	cl.reservation = r
	return cl, ok
}

// reclaimGuarantee places an unplaced guarantee, such as one whose zone is out, by
// preempting work outside of all guarantees.
func (c *Core) reclaimGuarantee(j *job) bool {
	r := c.unplacedGuarantee(j)
	if r == nil {
		return false
	}
	// Guarantees take precedence over reservations of waiting gangs.
	c.dropWaitingReservations()
	req := c.placementRequest(j, fleet.Restartable)
	req.Gang = r.gang
	guaranteeJob := &job{rec: j.rec, perTask: r.gang.PerTask}
	best, ok := c.cheapestClaim(guaranteeJob, req, victimRule{includeNonPreemptible: true})
	if !ok {
		return c.placeByDisplacing(r, j)
	}
	c.placeReservation(r, best.assignments)
	for _, v := range best.victims {
		c.emitNotice(v, "", ReasonReclaimed, j.id())
		c.preempt(v, min(c.claimGrace(j), checkpointGrace(v)), ReasonReclaimed)
	}
	cl, ok := c.claimInReservation(r, j, c.excludedWorkers(j))
	if ok {
		c.startClaim(j, cl, c.claimGrace(j))
	}
	return ok
}

func (c *Core) unplacedGuarantee(j *job) *reservation {
	for _, r := range c.guaranteesOf[j.rec.Job.Profile] {
		fits := j.rec.Job.Gang.Tasks <= r.gang.Tasks && j.perTask.Fits(r.gang.PerTask)
		if !r.placed() && fits {
			return r
		}
	}
	return nil
}

// moveGuarantee moves an unused guarantee to other capacity that the job may use.
func (c *Core) moveGuarantee(r *reservation, j *job, v fleet.CapacityView) (claim, bool) {
	req := c.placementRequest(j, v)
	req.Gang = r.gang
	assignments := placement.Find(c.fleet, req)
	if assignments == nil {
		return claim{}, false
	}
	c.unplaceReservation(r)
	c.placeReservation(r, assignments)
	return c.claimInReservation(r, j, c.excludedWorkers(j))
}

func (r *reservation) candidates() []placement.Candidate {
	out := make([]placement.Candidate, 0, len(r.parts))
	for _, part := range r.parts {
		if part.worker.InService() && !part.worker.Paused {
			out = append(out, placement.Candidate{Worker: part.worker.Worker, Available: part.resources.Sub(part.used)})
		}
	}
	return out
}

// hasOpenGuarantee reports whether a guarantee of the profile has capacity for one
// task.
func (c *Core) hasOpenGuarantee(profile string, perTask api.Resources) bool {
	for _, r := range c.guaranteesOf[profile] {
		for _, part := range r.parts {
			if perTask.Fits(part.resources.Sub(part.used)) {
				return true
			}
		}
	}
	return false
}
