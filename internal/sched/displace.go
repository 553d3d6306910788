package sched

import (
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// displace makes room for a guarantee without a place by moving another one
// that is in use, and unused ones, if all fit then and the work in the one in
// use may be stopped.
func (c *Core) displace(r *reservation, j *job) bool {
	if c.now < c.displacedAt+repackInterval {
		return false
	}
	c.displacedAt = c.now
	for _, other := range c.slots {
		users, ok := other.users()
		if !ok {
			continue
		}
		moved := append([]*reservation{other}, c.unusedSlots()...)
		places := c.swapPlaces(r, moved)
		if places == nil {
			continue
		}
		for _, user := range users {
			c.notice(user, "", ReasonMigrated, j.id())
			c.preempt(user, grace(user), ReasonMigrated)
		}
		for _, m := range moved {
			c.lift(m)
		}
		for i, m := range append([]*reservation{r}, moved...) {
			c.place(m, places[i])
		}
		cl, ok := c.claimIn(r, j, c.avoids(j))
		if ok {
			c.claim(j, cl, c.claimGrace(j))
		}
		return ok
	}
	return false
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
func (c *Core) swapPlaces(r *reservation, moved []*reservation) [][]placement.Part {
	for _, m := range moved {
		c.reserveParts(m.parts(), m.gang.PerTask, -1)
	}
	var places [][]placement.Part
	all := append([]*reservation{r}, moved...)
	for _, m := range all {
		parts := placement.Find(c.fleet, placement.Request{Gang: m.gang, View: fleet.Evictable})
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

func (c *Core) reserveParts(parts []placement.Part, perTask api.Resources, sign int) {
	for _, p := range parts {
		c.fleet.Update(p.Worker, func(w *fleet.Worker) {
			w.Reserved = w.Reserved.Add(perTask.Times(sign * p.Tasks))
		})
	}
}
