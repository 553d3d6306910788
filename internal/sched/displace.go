package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// maxDisplacementSets limits the sets of reservations that are considered for one
// unplaced guarantee.
const maxDisplacementSets = 64

// displacementSet is a set of used reservations that may be moved, with the jobs
// that run in them.
type displacementSet struct {
	reservations []*reservation
	users        []*job
}

// placeByDisplacing makes room for an unplaced guarantee by moving up to two used
// reservations and all unused ones. It does so only if all of them can be placed
// afterwards and the jobs in the used ones may be stopped.
func (c *Core) placeByDisplacing(r *reservation, j *job) bool {
	if c.now < c.lastDisplacement+repackInterval {
		return false
	}
	c.lastDisplacement = c.now
	unused := c.unusedGuarantees()
	for _, set := range c.displacementSets() {
		moved := append(append([]*reservation{}, set.reservations...), unused...)
		if newPlacements := c.placeTogether(r, moved); newPlacements != nil {
			return c.applyDisplacement(r, j, set.users, moved, newPlacements)
		}
	}
	return false
}

// displacementSets returns the sets of used reservations that may be moved: first
// the empty set, then single reservations, then pairs.
func (c *Core) displacementSets() []displacementSet {
	sets := []displacementSet{{}}
	for _, other := range c.guarantees {
		if users, ok := other.users(); ok {
			sets = append(sets, displacementSet{[]*reservation{other}, users})
		}
	}
	single := len(sets)
	for i := 1; i < single; i++ {
		for k := i + 1; k < single && len(sets) < maxDisplacementSets; k++ {
			both := displacementSet{
				reservations: []*reservation{sets[i].reservations[0], sets[k].reservations[0]},
				users:        append(append([]*job{}, sets[i].users...), sets[k].users...),
			}
			sets = append(sets, both)
		}
	}
	return sets
}

// applyDisplacement stops the users of the moved reservations, places r and the
// moved ones anew and claims r's placement for the job.
func (c *Core) applyDisplacement(r *reservation, j *job, users []*job, moved []*reservation, newPlacements [][]placement.Assignment) bool {
	for _, user := range users {
		c.emitNotice(user, "", ReasonMigrated, j.id())
		c.preempt(user, checkpointGrace(user), ReasonMigrated)
	}
	for _, m := range moved {
		c.unplaceReservation(m)
	}
	for i, m := range append([]*reservation{r}, moved...) {
		c.clearPlacement(j, m, newPlacements[i])
		c.placeReservation(m, newPlacements[i])
	}
	cl, ok := c.claimInReservation(r, j, c.excludedWorkers(j))
	if ok {
		c.startClaim(j, cl, c.claimGrace(j))
	}
	return ok
}

// clearPlacement stops non-preemptible work outside of guarantees that occupies the
// new placement of a reservation.
func (c *Core) clearPlacement(j *job, m *reservation, assignments []placement.Assignment) {
	for _, p := range assignments {
		c.dropNonPreemptibleClaims(c.workers[p.Worker.Name])
	}
	guaranteeJob := &job{rec: j.rec, perTask: m.gang.PerTask}
	cl, ok := c.planClaim(guaranteeJob, assignments, victimRule{includeNonPreemptible: true})
	if !ok {
		return
	}
	for _, v := range cl.victims {
		c.emitNotice(v, "", ReasonReclaimed, j.id())
		c.preempt(v, min(c.claimGrace(j), checkpointGrace(v)), ReasonReclaimed)
	}
}

// dropNonPreemptibleClaims drops the claims of non-preemptible work on a worker
// whose capacity a guarantee takes now.
func (c *Core) dropNonPreemptibleClaims(w *worker) {
	for _, g := range slices.Clone(w.groups) {
		if g.nonPreemptible && g.job.phase == phaseClaiming && !g.detached {
			c.dropClaim(g.job)
			c.enqueue(g.job)
		}
	}
}

// users returns the jobs that run in a reservation. ok is false if there are none
// or if one of them must not be stopped.
func (r *reservation) users() (users []*job, ok bool) {
	for _, part := range r.parts {
		for _, g := range part.worker.groups {
			if g.reservedPart != part || g.stopping {
				continue
			}
			if !g.job.restartable() || g.job.phase != phaseRunning {
				return nil, false
			}
			users = append(users, g.job)
		}
	}
	return users, len(users) > 0
}

func (c *Core) unusedGuarantees() []*reservation {
	var out []*reservation
	for _, r := range c.guaranteesByDifficulty() {
		if r.placed() && r.unused() {
			out = append(out, r)
		}
	}
	return out
}

// placeTogether returns placements for r and the moved reservations, in that
// order, on the capacity available once the moved ones are unplaced. It returns
// nil if they do not all fit. The state of the core is left unchanged.
func (c *Core) placeTogether(r *reservation, moved []*reservation) [][]placement.Assignment {
	for _, m := range moved {
		c.adjustReserved(m.assignments(), m.gang.PerTask, -1)
	}
	var newPlacements [][]placement.Assignment
	all := append([]*reservation{r}, moved...)
	for _, m := range all {
		assignments := placement.Find(c.fleet, placement.Request{Gang: m.gang, View: fleet.Restartable})
		if assignments == nil {
			break
		}
		c.adjustReserved(assignments, m.gang.PerTask, 1)
		newPlacements = append(newPlacements, assignments)
	}
	for i, assignments := range newPlacements {
		c.adjustReserved(assignments, all[i].gang.PerTask, -1)
	}
	for _, m := range moved {
		c.adjustReserved(m.assignments(), m.gang.PerTask, 1)
	}
	if len(newPlacements) < len(all) {
		return nil
	}
	return newPlacements
}

func (c *Core) adjustReserved(assignments []placement.Assignment, perTask api.Resources, sign int) {
	for _, p := range assignments {
		c.fleet.Update(p.Worker, func(w *fleet.Worker) {
			w.Reserved = w.Reserved.Add(perTask.Times(sign * p.Tasks))
		})
	}
}
