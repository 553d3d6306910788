package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// maxDisplacedSets bounds the sets of reservations that are looked at for one
// guarantee without a place.
const maxDisplacedSets = 64

// displaced is a set of reservations in use that may move, with the jobs in them.
type displaced struct {
	reservations []*reservation
	users        []*job
}

// displace makes room for a guarantee without a place by moving up to two
// others that are in use, and unused ones, if all fit then and the work in
// those in use may be stopped.
func (c *Core) displace(r *reservation, j *job) bool {
	if c.now < c.displacedAt+repackInterval {
		return false
	}
	c.displacedAt = c.now
	unused := c.unusedSlots()
	for _, set := range c.displacedSets() {
		moved := append(append([]*reservation{}, set.reservations...), unused...)
		if places := c.swapPlaces(r, moved); places != nil {
			return c.moveFor(r, j, set.users, moved, places)
		}
	}
	return false
}

// displacedSets returns the reservations in use that may move: first none, then
// each alone, then two at a time.
func (c *Core) displacedSets() []displaced {
	sets := []displaced{{}}
	for _, other := range c.slots {
		if users, ok := other.users(); ok {
			sets = append(sets, displaced{[]*reservation{other}, users})
		}
	}
	single := len(sets)
	for i := 1; i < single; i++ {
		for k := i + 1; k < single && len(sets) < maxDisplacedSets; k++ {
			both := displaced{
				reservations: []*reservation{sets[i].reservations[0], sets[k].reservations[0]},
				users:        append(append([]*job{}, sets[i].users...), sets[k].users...),
			}
			sets = append(sets, both)
		}
	}
	return sets
}

// moveFor stops the users of moved reservations, gives r and the moved ones
// their new places and claims r's for the job.
func (c *Core) moveFor(r *reservation, j *job, users []*job, moved []*reservation, places [][]placement.Assignment) bool {
	for _, user := range users {
		c.notice(user, "", ReasonMigrated, j.id())
		c.preempt(user, grace(user), ReasonMigrated)
	}
	for _, m := range moved {
		c.lift(m)
	}
	for i, m := range append([]*reservation{r}, moved...) {
		c.clearFirm(j, m, places[i])
		c.place(m, places[i])
	}
	cl, ok := c.claimIn(r, j, c.avoids(j))
	if ok {
		c.claim(j, cl, c.claimGrace(j))
	}
	return ok
}

// clearFirm stops work outside of guarantees that stands in a reservation's new
// place.
func (c *Core) clearFirm(j *job, m *reservation, parts []placement.Assignment) {
	for _, p := range parts {
		c.dropFirmClaims(c.workers[p.Worker.Name])
	}
	whole := &job{rec: j.rec, perTask: m.gang.PerTask}
	cl, ok := c.plan(whole, parts, victimRule{firm: true})
	if !ok {
		return
	}
	for _, v := range cl.victims {
		c.notice(v, "", ReasonReclaimed, j.id())
		c.preempt(v, min(c.claimGrace(j), grace(v)), ReasonReclaimed)
	}
}

// dropFirmClaims drops the claims of work outside of guarantees on a worker,
// which wait for room there that a guarantee takes now.
func (c *Core) dropFirmClaims(w *worker) {
	for _, g := range slices.Clone(w.groups) {
		if g.firm && g.job.phase == phaseClaiming && !g.detached {
			c.dropClaim(g.job)
			c.enqueue(g.job)
		}
	}
}

// users returns the jobs that run in a reservation; ok is false if there are
// none or one of them must not be stopped.
func (r *reservation) users() (users []*job, ok bool) {
	for _, s := range r.shares {
		for _, g := range s.worker.groups {
			if g.share != s || g.ending {
				continue
			}
			if !g.job.movable() || g.job.phase != phaseRunning {
				return nil, false
			}
			users = append(users, g.job)
		}
	}
	return users, len(users) > 0
}

func (c *Core) unusedSlots() []*reservation {
	var out []*reservation
	for _, r := range c.bySize() {
		if r.placed() && r.unused() {
			out = append(out, r)
		}
	}
	return out
}

// swapPlaces finds places for r and for the moved reservations together, in
// that order, on what is open once the moved ones have left theirs. It returns
// nil if there are none, and changes nothing.
func (c *Core) swapPlaces(r *reservation, moved []*reservation) [][]placement.Assignment {
	for _, m := range moved {
		c.reserveParts(m.parts(), m.gang.PerTask, -1)
	}
	var places [][]placement.Assignment
	all := append([]*reservation{r}, moved...)
	for _, m := range all {
		parts := placement.Find(c.fleet, placement.Request{Gang: m.gang, View: fleet.Restartable})
		if parts == nil {
			break
		}
		c.reserveParts(parts, m.gang.PerTask, 1)
		places = append(places, parts)
	}
	for i, parts := range places {
		c.reserveParts(parts, all[i].gang.PerTask, -1)
	}
	for _, m := range moved {
		c.reserveParts(m.parts(), m.gang.PerTask, 1)
	}
	if len(places) < len(all) {
		return nil
	}
	return places
}

func (c *Core) reserveParts(parts []placement.Assignment, perTask api.Resources, sign int) {
	for _, p := range parts {
		c.fleet.Update(p.Worker, func(w *fleet.Worker) {
			w.Reserved = w.Reserved.Add(perTask.Times(sign * p.Tasks))
		})
	}
}
