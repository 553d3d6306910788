package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// reservation is a set of adjacent capacity that only preemptible work may
// borrow. It belongs to a guarantee of a profile or to one waiting gang.
type reservation struct {
	profile string
	job     *job
	gang    api.Shape
	shares  []*share
}

// share is the part of a reservation on one worker.
type share struct {
	res    *reservation
	worker *worker
	amount api.Resources
	used   api.Resources
}

func (r *reservation) placed() bool { return len(r.shares) > 0 }

func (r *reservation) unused() bool {
	for _, s := range r.shares {
		if s.used != (api.Resources{}) {
			return false
		}
	}
	return true
}

// shareOn returns the reservation's part on a worker, nil if there is none.
func (r *reservation) shareOn(w *worker) *share {
	if r == nil {
		return nil
	}
	for _, s := range r.shares {
		if s.worker == w {
			return s
		}
	}
	return nil
}

// whole reports whether all workers of the reservation are in service.
func (r *reservation) whole() bool {
	for _, s := range r.shares {
		if !s.worker.InService() {
			return false
		}
	}
	return true
}

func (c *Core) place(r *reservation, parts []placement.Part) {
	for _, p := range parts {
		w := c.workers[p.Worker.Name]
		s := &share{res: r, worker: w, amount: r.gang.PerTask.Times(p.Tasks)}
		r.shares = append(r.shares, s)
		c.update(w, func(f *fleet.Worker) { f.Reserved = f.Reserved.Add(s.amount) })
	}
}

// lift gives a reservation's place up. Work that runs in it goes on as work
// that must not be preempted.
func (c *Core) lift(r *reservation) {
	shares := r.shares
	r.shares = nil
	for _, s := range shares {
		c.dropClaimsIn(s)
		for _, g := range s.worker.groups {
			if g.share == s {
				c.orphan(g)
			}
		}
		c.update(s.worker, func(f *fleet.Worker) { f.Reserved = f.Reserved.Sub(s.amount) })
	}
}

func (c *Core) orphan(g *group) {
	g.share = nil
	g.account.surplus = g.account.surplus.Add(g.amount)
	if g.firm {
		return
	}
	g.firm = true
	g.job.firm = true
	c.update(g.worker, func(f *fleet.Worker) { f.Firm = f.Firm.Add(g.amount) })
}

// replanInterval bounds how often places for missing guarantees are looked for.
const replanInterval = time.Second

// planSlots keeps a place for each gang that is guaranteed.
func (c *Core) planSlots() {
	// Capacity that became free may hold a guarantee that has no place.
	retry := c.missing > 0 && c.fleet.Gen() > c.plannedGen
	if !c.slotsDirty && !retry {
		return
	}
	if c.missing > 0 && c.now < c.plannedAt+replanInterval {
		return
	}
	c.slotsDirty = false
	c.plannedAt = c.now
	for _, r := range c.slots {
		if r.placed() && !r.whole() {
			c.lift(r)
		}
	}
	c.placeSlots()
	if c.missing > 0 && len(c.waiting) > 0 {
		c.dropAllWaiting()
		c.placeSlots()
	}
	if c.missing > 0 {
		c.repack()
	}
	c.plannedGen = c.fleet.Gen()
}

// placeSlots looks for a place for each guarantee without one, the largest first.
func (c *Core) placeSlots() {
	c.missing = 0
	for _, r := range c.bySize() {
		if r.placed() {
			continue
		}
		parts := placement.Find(c.fleet, placement.Request{Gang: r.gang, View: fleet.Evictable})
		if parts == nil {
			c.missing++
			continue
		}
		c.place(r, parts)
	}
}

// repack moves all unused guarantees if that makes room for a missing one.
func (c *Core) repack() {
	type kept struct {
		r     *reservation
		parts []placement.Part
	}
	before := c.missing
	var old []kept
	for _, r := range c.slots {
		if r.placed() && r.unused() {
			old = append(old, kept{r, r.parts()})
			c.lift(r)
		}
	}
	c.placeSlots()
	if c.missing < before {
		return
	}
	for _, k := range old {
		c.lift(k.r)
	}
	for _, r := range c.slots {
		if r.placed() && r.unused() {
			c.lift(r)
		}
	}
	for _, k := range old {
		c.place(k.r, k.parts)
	}
	c.missing = before
}

func (r *reservation) parts() []placement.Part {
	out := make([]placement.Part, 0, len(r.shares))
	for _, s := range r.shares {
		tasks := placement.Count(s.amount, r.gang.PerTask)
		out = append(out, placement.Part{Worker: s.worker.Worker, Tasks: tasks})
	}
	return out
}

func (c *Core) bySize() []*reservation {
	out := slices.Clone(c.slots)
	slices.SortStableFunc(out, func(a, b *reservation) int {
		x, y := a.gang.PerTask.Times(a.gang.Tasks), b.gang.PerTask.Times(b.gang.Tasks)
		return cmp.Or(
			cmp.Compare(y.Accelerators, x.Accelerators),
			cmp.Compare(b.gang.PerTask.Accelerators, a.gang.PerTask.Accelerators),
			cmp.Compare(y.MilliCPU, x.MilliCPU))
	})
	return out
}

// configureSlots makes the guarantees match the configuration.
func (c *Core) configureSlots() {
	var next []*reservation
	left := map[string][]*reservation{}
	for _, r := range c.slots {
		left[r.profile] = append(left[r.profile], r)
	}
	for _, name := range sortedKeys(c.config.Profiles) {
		g := c.config.Profiles[name].Guarantee
		if g == nil {
			continue
		}
		for range g.Gangs {
			old := left[name]
			if len(old) > 0 && old[0].gang == g.Shape {
				next = append(next, old[0])
				left[name] = old[1:]
				continue
			}
			next = append(next, &reservation{profile: name, gang: g.Shape})
		}
	}
	for _, r := range c.slots {
		if !slices.Contains(next, r) {
			c.lift(r)
		}
	}
	c.slots = next
	c.slotsOf = map[string][]*reservation{}
	for _, r := range next {
		c.slotsOf[r.profile] = append(c.slotsOf[r.profile], r)
	}
	c.slotsDirty = true
}

// slotOpen reports whether a guarantee of the profile has capacity for a task.
func (c *Core) slotOpen(profile string, perTask api.Resources) bool {
	for _, r := range c.slotsOf[profile] {
		for _, s := range r.shares {
			if perTask.Fits(s.amount.Sub(s.used)) {
				return true
			}
		}
	}
	return false
}

func (r *reservation) rooms() []placement.Room {
	out := make([]placement.Room, 0, len(r.shares))
	for _, s := range r.shares {
		if s.worker.InService() && !s.worker.Paused {
			out = append(out, placement.Room{Worker: s.worker.Worker, Avail: s.amount.Sub(s.used)})
		}
	}
	return out
}

// tryGuaranteed starts a job within its profile's guarantee, where the least
// work is lost for it.
func (c *Core) tryGuaranteed(j *job) bool {
	var best claim
	for _, r := range c.slotsOf[j.rec.Job.Profile] {
		cl, ok := c.claimIn(r, j)
		if ok && (best.res == nil || cl.loss < best.loss) {
			best = cl
		}
	}
	if best.res == nil {
		return false
	}
	if len(best.victims) > 0 && best.res.unused() {
		if cl, ok := c.moveSlot(best.res, j); ok {
			best = cl
		}
	}
	c.claim(j, best, c.claimGrace(j))
	return true
}

func (c *Core) claimIn(r *reservation, j *job) (claim, bool) {
	rooms := r.rooms()
	avoid := c.avoids(j)
	rooms = slices.DeleteFunc(rooms, func(room placement.Room) bool { return avoid(room.Worker) })
	parts := placement.Pack(rooms, j.gang())
	if parts == nil {
		return claim{}, false
	}
	cl, ok := c.plan(j, parts, 0)
	cl.res = r
	return cl, ok
}

// moveSlot moves an unused guarantee to free capacity, so that nothing has to
// be stopped for it.
func (c *Core) moveSlot(r *reservation, j *job) (claim, bool) {
	parts := placement.Find(c.fleet, placement.Request{Gang: r.gang, View: fleet.Firm, Avoid: c.avoids(j)})
	if parts == nil {
		return claim{}, false
	}
	c.lift(r)
	c.place(r, parts)
	return c.claimIn(r, j)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
