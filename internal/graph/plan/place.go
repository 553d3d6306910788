package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// site is a worker as a place for a unit, with the room that the unit may use.
type site struct {
	*worker
	room graph.Resources
}

// part is a number of a unit's tasks on one worker.
type part struct {
	worker *worker
	tasks  int
}

// count returns how many tasks of a step fit into the room.
func count(room graph.Resources, s *graph.Step) int {
	n := s.Count
	for _, d := range [][2]int{
		{room.MilliCPU, s.Needs.MilliCPU},
		{room.MemoryMB, s.Needs.MemoryMB},
		{room.Accelerators, s.Needs.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// pack spreads n tasks over the fewest of the sites, the fullest that hold
// them first. It returns nil if they do not fit.
func pack(sites []site, s *graph.Step, n int, present map[*worker]int) []part {
	type option struct {
		site
		n int
	}
	var options []option
	for _, p := range sites {
		k := count(p.room, s)
		if s.MaxPerWorker > 0 {
			k = min(k, s.MaxPerWorker-present[p.worker])
		}
		if k > 0 {
			options = append(options, option{p, k})
		}
	}
	var parts []part
	for n > 0 {
		if len(options) == 0 {
			return nil
		}
		best := 0
		for i := range options {
			if better(options[i].n, options[best].n, n) ||
				options[i].n == options[best].n && leftover(options[i].site, s, min(n, options[i].n)) < leftover(options[best].site, s, min(n, options[best].n)) {
				best = i
			}
		}
		o := options[best]
		k := min(n, o.n)
		parts = append(parts, part{o.worker, k})
		n -= k
		options = slices.Delete(options, best, best+1)
	}
	return parts
}

// better reports whether room for a tasks suits n tasks better than room for
// b: the tightest that holds all, else the largest.
func better(a, b, n int) bool {
	switch {
	case a >= n && b >= n:
		return a < b
	case a >= n || b >= n:
		return a >= n
	default:
		return a > b
	}
}

// leftover is the part of the worker that stays free beside k tasks, summed
// over the kinds of resources.
func leftover(p site, s *graph.Step, k int) float64 {
	free := p.room
	for range k {
		free = free.Sub(s.Needs)
	}
	full := p.info.Capacity
	return ratio(free.Accelerators, full.Accelerators) + ratio(free.MilliCPU, full.MilliCPU) + ratio(free.MemoryMB, full.MemoryMB)
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// group is a set of sites over which one unit may be spread.
type group struct {
	name  string
	sites []site
}

// byRack splits sites by rack, in order of the racks' names.
func byRack(sites []site) []group {
	var out []group
	index := map[string]int{}
	for _, s := range sites {
		i, ok := index[s.info.Rack]
		if !ok {
			i = len(out)
			index[s.info.Rack] = i
			out = append(out, group{name: s.info.Rack})
		}
		out[i].sites = append(out[i].sites, s)
	}
	slices.SortFunc(out, func(a, b group) int { return cmp.Compare(a.name, b.name) })
	return out
}

// find returns the best place for a unit among the sites: within one rack if
// it can be, the rack that is left with the least room. A same-rack gang takes
// several racks only when spread is set.
func find(u *unit, sites []site, spread bool) []part {
	present := u.present()
	if u.tasks == 1 {
		return bestSingle(u, sites, present)
	}
	var best []part
	bestLeft := 0.0
	for _, g := range byRack(sites) {
		parts := pack(g.sites, u.spec, u.tasks, present)
		if parts == nil {
			continue
		}
		left := groupLeft(g.sites)
		if u.spec.DataRack != "" && g.name == u.spec.DataRack {
			left = -1
		}
		if best == nil || left < bestLeft {
			best, bestLeft = parts, left
		}
	}
	if best != nil || u.spec.SameRack && !spread {
		return best
	}
	return pack(sites, u.spec, u.tasks, present)
}

func groupLeft(sites []site) float64 {
	total := 0.0
	for _, s := range sites {
		total += s.room.Cores()
	}
	return total
}

func bestSingle(u *unit, sites []site, present map[*worker]int) []part {
	best := -1
	bestLeft := 0.0
	for i, s := range sites {
		if count(s.room, u.spec) < 1 || u.spec.MaxPerWorker > 0 && present[s.worker] >= u.spec.MaxPerWorker {
			continue
		}
		left := leftover(s, u.spec, 1)
		if u.spec.DataRack != "" && s.info.Rack != u.spec.DataRack {
			left += remotePenalty
		}
		if best < 0 || left < bestLeft {
			best, bestLeft = i, left
		}
	}
	if best < 0 {
		return nil
	}
	return []part{{sites[best].worker, 1}}
}

// remotePenalty puts every worker beside the data before every other: leftover
// is at most one for each kind of resource.
const remotePenalty = 3

// present counts the tasks of the unit's step on each worker, and those that
// have a claim there, for a bound per worker.
func (u *unit) present() map[*worker]int {
	if u.spec.MaxPerWorker == 0 {
		return nil
	}
	out := map[*worker]int{}
	for _, o := range u.job.steps[u.step] {
		for _, m := range o.members {
			if !m.ended {
				out[m.worker]++
			}
		}
		if o == u || o.claim == nil {
			continue
		}
		for _, p := range o.claim.parts {
			out[p.worker] += p.tasks
		}
	}
	return out
}

// usable reports whether a worker may get tasks of a unit now.
func (c *Core) usable(w *worker, u *unit) bool {
	switch {
	case !w.linked() || !w.answering || c.now-w.heardAt > quietAfter:
		return false
	case w.info.Pool != u.job.Pool || w.info.Draining || c.policy.ZonesOut[w.info.Zone]:
		return false
	case w.quarantine > c.now || u.avoid[w.info.ID] > c.now:
		return false
	case u.lastTry() && w.suspect(c.now):
		return false
	case u.spec.RequiredLabel != "" && !slices.Contains(w.info.Labels, u.spec.RequiredLabel):
		return false
	}
	return true
}

func (u *unit) lastTry() bool { return u.failures > 0 && u.failures+1 >= u.job.MaxAttempts }

// sites returns the places that a unit may use now. Room that is set aside for
// others is left out, unless the unit is expected to be gone by then.
func (c *Core) sites(u *unit) []site {
	out := make([]site, 0, len(c.ordered))
	for _, w := range c.ordered {
		if c.usable(w, u) {
			out = append(out, site{w, c.room(w, u)})
		}
	}
	return out
}

// free is what a worker has beside what runs there.
func (w *worker) free() graph.Resources { return w.info.Capacity.Sub(w.used).Sub(w.strays) }

func (c *Core) room(w *worker, u *unit) graph.Resources {
	room := w.free()
	for _, cl := range c.books.claims {
		if cl.unit != u {
			room = room.Sub(cl.on(w))
		}
	}
	for _, r := range c.books.reserved {
		if r.unit != u && c.now+u.spec.Estimate > r.at {
			room = room.Sub(r.on(w))
		}
	}
	return room
}

// reservation keeps room for a unit that waits until at.
type reservation struct {
	unit  *unit
	parts []part
	at    time.Duration
}

func (r *reservation) on(w *worker) graph.Resources { return sumOn(r.parts, r.unit.spec, w) }

func sumOn(parts []part, s *graph.Step, w *worker) graph.Resources {
	var out graph.Resources
	for _, p := range parts {
		if p.worker != w {
			continue
		}
		for range p.tasks {
			out = out.Add(s.Needs)
		}
	}
	return out
}
