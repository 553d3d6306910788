package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
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
	g.firm = true
	g.fixed = true
	c.update(g.worker, func(f *fleet.Worker) {
		f.Firm = f.Firm.Add(g.amount)
		f.Fixed = f.Fixed.Add(g.amount)
	})
	if j := g.job; !g.detached && j.reserved != nil {
		j.reserved = nil
		j.firm = true
		c.unbound = append(c.unbound, j)
	}
}

// bind gives a guarantee without a place the one where a gang of its profile
// runs already, as after a takeover.
func (c *Core) bind(r *reservation) bool {
	for _, j := range c.unbound {
		if j.rec.Job.Profile == r.profile && c.bindable(j, r) {
			c.bindTo(j, r)
			return true
		}
	}
	return false
}

func (c *Core) bindable(j *job, r *reservation) bool {
	if j.phase != phaseRunning || !j.firm || j.rec.Job.Gang.Tasks != r.gang.Tasks || !j.perTask.Fits(r.gang.PerTask) {
		return false
	}
	for _, g := range j.groups {
		more := r.gang.PerTask.Times(g.tasks).Sub(g.amount)
		if !g.live() || !g.worker.InService() || !more.Fits(g.worker.Avail(fleet.Evictable)) {
			return false
		}
	}
	return true
}

func (c *Core) bindTo(j *job, r *reservation) {
	parts := make([]placement.Part, 0, len(j.groups))
	for _, g := range j.groups {
		parts = append(parts, placement.Part{Worker: g.worker.Worker, Tasks: g.tasks})
	}
	c.place(r, parts)
	j.firm = false
	j.reserved = r
	for _, g := range j.groups {
		g.share = r.shareOn(g.worker)
		g.share.used = g.share.used.Add(g.amount)
		g.account.surplus = g.account.surplus.Sub(g.amount)
		c.update(g.worker, func(f *fleet.Worker) {
			f.Firm = f.Firm.Sub(g.amount)
			if g.fixed {
				f.Fixed = f.Fixed.Sub(g.amount)
			}
		})
		g.firm = false
		g.fixed = false
	}
}

// repackInterval bounds how often all guarantees are packed anew for a missing one.
const repackInterval = 5 * time.Second

// compactInterval bounds how often that is done for a waiting gang.
const compactInterval = 30 * time.Second

// planSlots keeps a place for each gang that is guaranteed.
func (c *Core) planSlots() {
	// Capacity that became free may hold a guarantee that has no place.
	retry := c.missing > 0 && c.fleet.Gen() > c.plannedGen
	repackDue := c.repackOwed && c.now >= c.repackedAt+repackInterval
	if !c.slotsDirty && !retry && !repackDue {
		return
	}
	c.slotsDirty = false
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
	c.repackOwed = c.missing > 0
	if c.repackOwed && c.now >= c.repackedAt+repackInterval {
		c.repackOwed = false
		c.repackedAt = c.now
		c.repack()
	}
	c.plannedGen = c.fleet.Gen()
}

// placeSlots looks for a place for each guarantee without one, the largest first.
func (c *Core) placeSlots() {
	c.missing = 0
	c.unbound = slices.DeleteFunc(c.unbound, func(j *job) bool { return j.phase != phaseRunning || j.reserved != nil })
	for _, r := range c.bySize() {
		if r.placed() || c.bind(r) {
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
	before := c.missing
	c.rearrange(func() bool { return c.missing < before })
}

// compact packs the unused guarantees anew if that opens a place for a gang.
func (c *Core) compact(j *job) []placement.Part {
	if c.now < c.compactedAt+compactInterval {
		return nil
	}
	c.compactedAt = c.now
	var parts []placement.Part
	before := c.missing
	c.rearrange(func() bool {
		parts = c.soonestPlace(j)
		return parts != nil && c.missing <= before
	})
	return parts
}

// rearrange places all unused guarantees anew and undoes that unless it helps.
func (c *Core) rearrange(helps func() bool) {
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
	if helps() {
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
		return feasibility.Compare(a.gang, b.gang)
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
	best := c.bestClaim(j, c.avoids(j))
	if best.res == nil && len(j.avoid) > 0 {
		best = c.relocate(j)
	}
	if best.res == nil {
		return c.reclaimFirm(j)
	}
	if len(best.victims) > 0 && best.res.unused() {
		if cl, ok := c.moveSlot(best.res, j, fleet.Firm); ok {
			best = cl
		}
	}
	c.claim(j, best, c.claimGrace(j))
	return true
}

func (c *Core) bestClaim(j *job, avoid func(*fleet.Worker) bool) claim {
	var best claim
	for _, r := range c.slotsOf[j.rec.Job.Profile] {
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
	for _, r := range c.slotsOf[j.rec.Job.Profile] {
		if !r.placed() || !r.unused() {
			continue
		}
		if cl, ok := c.moveSlot(r, j, fleet.Evictable); ok {
			return cl
		}
	}
	return c.bestClaim(j, excludesProbes(j))
}

func (c *Core) claimIn(r *reservation, j *job, avoid func(*fleet.Worker) bool) (claim, bool) {
	rooms := r.rooms()
	rooms = slices.DeleteFunc(rooms, func(room placement.Room) bool { return avoid(room.Worker) })
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
	q := c.request(j, fleet.Movable)
	q.Gang = r.gang
	whole := &job{rec: j.rec, perTask: r.gang.PerTask}
	best, ok := c.cheapest(whole, q, victimRule{firm: true})
	if !ok {
		return false
	}
	c.place(r, best.parts)
	for _, v := range best.victims {
		c.notice(v, "", ReasonReclaim, j.id())
		c.preempt(v, min(c.claimGrace(j), grace(v)), ReasonReclaim)
	}
	cl, ok := c.claimIn(r, j, c.avoids(j))
	if ok {
		c.claim(j, cl, c.claimGrace(j))
	}
	return ok
}

func (c *Core) missingSlot(j *job) *reservation {
	for _, r := range c.slotsOf[j.rec.Job.Profile] {
		fits := j.rec.Job.Gang.Tasks <= r.gang.Tasks && j.perTask.Fits(r.gang.PerTask)
		if !r.placed() && fits {
			return r
		}
	}
	return nil
}

// moveSlot moves an unused guarantee to other capacity that suits the job.
func (c *Core) moveSlot(r *reservation, j *job, v fleet.View) (claim, bool) {
	q := c.request(j, v)
	q.Gang = r.gang
	parts := placement.Find(c.fleet, q)
	if parts == nil {
		return claim{}, false
	}
	c.lift(r)
	c.place(r, parts)
	return c.claimIn(r, j, c.avoids(j))
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
