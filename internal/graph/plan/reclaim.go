package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// claimTimeout is how long a claim waits for its victims: a stop takes half a
// second, and a claim on a worker that does not answer is made elsewhere.
const claimTimeout = 1200 * time.Millisecond

// claim is a place for a unit where other work is being stopped.
type claim struct {
	unit  *unit
	parts []part
	since time.Duration
}

func (cl *claim) on(w *worker) graph.Resources { return sumOn(cl.parts, cl.unit.spec, w) }

func (c *Core) dropClaim(u *unit) {
	if u.claim == nil {
		return
	}
	c.books.claims = slices.DeleteFunc(c.books.claims, func(o *claim) bool { return o == u.claim })
	u.claim = nil
}

// useClaim places a unit on its claim once the room there is free, and gives
// the claim up when a worker of it cannot be used any more.
func (c *Core) useClaim(u *unit) {
	cl := u.claim
	for _, p := range cl.parts {
		if !c.usable(p.worker, u) || c.now-cl.since > claimTimeout {
			c.dropClaim(u)
			return
		}
	}
	for _, p := range cl.parts {
		if !cl.on(p.worker).Fits(p.worker.info.Capacity.Sub(p.worker.used)) {
			return
		}
	}
	c.dropClaim(u)
	c.begin(u, cl.parts)
}

// option is a way to make room: a place and the units to stop for it.
type option struct {
	parts   []part
	victims []*unit
	loss    float64 // core-seconds
}

// claimRoom stops the work whose loss is least so that a guaranteed unit fits.
func (c *Core) claimRoom(u *unit) bool {
	var best *option
	for _, g := range c.groupsFor(u) {
		if o := c.clear(u, g); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
	}
	if best == nil {
		return false
	}
	u.claim = &claim{unit: u, parts: best.parts, since: c.now}
	c.books.claims = append(c.books.claims, u.claim)
	for _, v := range best.victims {
		c.emit(Notice{Reason: ReasonReclaimed, Job: v.job.ID, Task: v.taskID(0).String(), Run: v.run, Detail: "for " + string(u.job.ID)})
		c.endRun(v)
	}
	return true
}

// clear finds the victims within a group that open a place with little loss:
// they are added one by one, those with the least loss for what they free
// first, and then those that turned out not to be needed are left out.
func (c *Core) clear(u *unit, g group) *option {
	candidates := c.victims(g)
	slices.SortStableFunc(candidates, func(a, b *unit) int {
		return cmp.Compare(a.unsaved(c.now)/freed(a, g), b.unsaved(c.now)/freed(b, g))
	})
	var chosen []*unit
	parts := c.placeWithout(u, g, chosen)
	for _, v := range candidates {
		if parts != nil {
			break
		}
		chosen = append(chosen, v)
		parts = c.placeWithout(u, g, chosen)
	}
	if parts == nil {
		return nil
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(chosen), i, i+1)
		if p := c.placeWithout(u, g, fewer); p != nil {
			chosen, parts = fewer, p
		}
	}
	o := &option{parts: parts, victims: chosen}
	for _, v := range chosen {
		o.loss += v.unsaved(c.now)
	}
	return o
}

// victims returns the units with work on a group that may be stopped: those
// outside of every guarantee.
func (c *Core) victims(g group) []*unit {
	entitled := c.entitled()
	var out []*unit
	for _, s := range g.sites {
		for _, m := range s.members {
			u := m.unit
			if !entitled[u.job] && u.phase == unitPlaced && !u.ending && !slices.Contains(out, u) {
				out = append(out, u)
			}
		}
	}
	return out
}

// freed is the size in cores of what stopping a unit frees within a group.
func freed(u *unit, g group) float64 {
	total := 0.1 // keeps units without need from dividing by zero
	for _, m := range u.members {
		if !m.ended && slices.ContainsFunc(g.sites, func(s site) bool { return s.worker == m.worker }) {
			total += u.spec.Needs.Cores()
		}
	}
	return total
}

// placeWithout places a unit in a group as if the victims, and all that is
// ending already, had ended.
func (c *Core) placeWithout(u *unit, g group, victims []*unit) []part {
	sites := slices.Clone(g.sites)
	for i := range sites {
		for _, m := range sites[i].members {
			if m.unit.ending || slices.Contains(victims, m.unit) {
				sites[i].room = sites[i].room.Add(m.unit.spec.Needs)
			}
		}
	}
	return pack(sites, u.spec, u.tasks, u.present())
}
