// Package placement finds room for a whole gang: best fit by worker, then by
// rack, so that whole workers and racks stay empty.
package placement

import (
	"cmp"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

// Candidate is what one worker offers to a request.
type Candidate struct {
	Worker    *fleet.Worker
	Available api.Resources
}

// Assignment is the number of a gang's tasks on one worker.
type Assignment struct {
	Worker *fleet.Worker
	Tasks  int
}

// Request asks for room for a gang.
type Request struct {
	Gang api.Shape
	View fleet.CapacityView
	// GainedSince limits the search to racks (and their zones) that gained capacity
	// after this generation.
	GainedSince uint64
	// Exclude excludes workers; nil excludes none.
	Exclude func(*fleet.Worker) bool
}

// Find returns the best room for the whole gang, or nil.
func Find(f *fleet.Fleet, q Request) []Assignment {
	if q.Gang.Tasks == 1 {
		q.Gang.Adjacency = api.AdjacentWorker
	}
	switch q.Gang.Adjacency {
	case api.AdjacentWorker:
		return findInWorker(f, q)
	case api.AdjacentRack:
		return findInRack(f, q)
	}
	return findInZone(f, q)
}

func (q *Request) available(w *fleet.Worker) api.Resources {
	if q.Exclude != nil && q.Exclude(w) {
		return api.Resources{}
	}
	return w.Available(q.View)
}

// usesIndex reports whether the indexes by free capacity bound the view.
func (q *Request) usesIndex() bool { return q.View == fleet.Free || q.View == fleet.Unreserved }

func findInWorker(f *fleet.Fleet, q Request) []Assignment {
	need := q.Gang.PerTask.Times(q.Gang.Tasks)
	var best *fleet.Worker
	if q.GainedSince == 0 && q.usesIndex() {
		f.BestFit(need, func(w *fleet.Worker) bool {
			if need.Fits(q.available(w)) {
				best = w
			}
			return best == nil
		})
		return onOneWorker(best, q.Gang.Tasks)
	}
	eachRack(f, q, need, func(r *fleet.Rack) bool {
		for _, w := range r.Workers {
			if need.Fits(q.available(w)) && (best == nil || tighterWorker(w, best, q.View)) {
				best = w
			}
		}
		return true
	})
	return onOneWorker(best, q.Gang.Tasks)
}

func onOneWorker(w *fleet.Worker, tasks int) []Assignment {
	if w == nil {
		return nil
	}
	return []Assignment{{Worker: w, Tasks: tasks}}
}

func tighterWorker(a, b *fleet.Worker, v fleet.CapacityView) bool {
	x, y := a.Available(v), b.Available(v)
	return cmp.Or(
		cmp.Compare(x.Accelerators, y.Accelerators),
		cmp.Compare(x.MilliCPU, y.MilliCPU),
		cmp.Compare(a.Name, b.Name)) < 0
}

// eachRack visits the racks whose total could hold need, changed ones only if
// the request says so.
func eachRack(f *fleet.Fleet, q Request, need api.Resources, visit func(*fleet.Rack) bool) {
	filtered := func(r *fleet.Rack) bool {
		if !need.Fits(r.Total[q.View]) {
			return true
		}
		return visit(r)
	}
	if q.GainedSince > 0 {
		f.RacksGainedSince(q.GainedSince, filtered)
		return
	}
	if q.usesIndex() {
		f.RacksByFree(need, filtered)
		return
	}
	for _, z := range f.Zones() {
		for _, r := range f.Racks(z) {
			if !filtered(r) {
				return
			}
		}
	}
}

func findInRack(f *fleet.Fleet, q Request) []Assignment {
	need := q.Gang.PerTask.Times(q.Gang.Tasks)
	var best []Assignment
	var bestRack *fleet.Rack
	eachRack(f, q, need, func(r *fleet.Rack) bool {
		if bestRack != nil && !tighterRack(r, bestRack, q.View) {
			return true
		}
		parts := Pack(candidates(r.Workers, &q), q.Gang)
		if parts != nil {
			best, bestRack = parts, r
		}
		// The index visits racks from the tightest fit on.
		return best == nil || q.GainedSince > 0 || !q.usesIndex()
	})
	return best
}

func tighterRack(a, b *fleet.Rack, v fleet.CapacityView) bool {
	return cmp.Or(
		cmp.Compare(a.Total[v].Accelerators, b.Total[v].Accelerators),
		cmp.Compare(a.Total[v].MilliCPU, b.Total[v].MilliCPU),
		cmp.Compare(a.Name, b.Name)) < 0
}

func candidates(workers []*fleet.Worker, q *Request) []Candidate {
	out := make([]Candidate, 0, len(workers))
	for _, w := range workers {
		if avail := q.available(w); q.Gang.PerTask.Fits(avail) {
			out = append(out, Candidate{w, avail})
		}
	}
	return out
}

func findInZone(f *fleet.Fleet, q Request) []Assignment {
	// One rack is the better place for a gang that may spread over a zone.
	if parts := findInRack(f, q); parts != nil {
		return parts
	}
	need := q.Gang.PerTask.Times(q.Gang.Tasks)
	for _, z := range candidateZones(f, q) {
		if !need.Fits(f.ZoneTotal(z, q.View)) {
			continue
		}
		if parts := packInZone(f, z, q); parts != nil {
			return parts
		}
	}
	return nil
}

// candidateZones returns the zones from the one with the least room on.
func candidateZones(f *fleet.Fleet, q Request) []string {
	var zones []string
	if q.GainedSince == 0 {
		zones = slices.Clone(f.Zones())
	} else {
		f.RacksGainedSince(q.GainedSince, func(r *fleet.Rack) bool {
			if !slices.Contains(zones, r.Zone) {
				zones = append(zones, r.Zone)
			}
			return true
		})
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(f.ZoneTotal(a, q.View).Accelerators, f.ZoneTotal(b, q.View).Accelerators),
			cmp.Compare(a, b))
	})
	return zones
}

// packInZone spreads a gang over as few racks of the zone as it can.
func packInZone(f *fleet.Fleet, zone string, q Request) []Assignment {
	type rackRoom struct {
		rooms []Candidate
		tasks int
	}
	var racks []rackRoom
	total := 0
	for _, r := range f.Racks(zone) {
		if !q.Gang.PerTask.Fits(r.Total[q.View]) {
			continue
		}
		rs := candidates(r.Workers, &q)
		n := 0
		for _, room := range rs {
			n += TasksThatFit(room.Available, q.Gang.PerTask)
		}
		if n > 0 {
			racks = append(racks, rackRoom{rs, n})
			total += n
		}
	}
	if total < q.Gang.Tasks {
		return nil
	}
	slices.SortStableFunc(racks, func(a, b rackRoom) int { return cmp.Compare(b.tasks, a.tasks) })
	var parts []Assignment
	for left := q.Gang.Tasks; left > 0; {
		// The last rack is the tightest that holds what is left.
		pick := 0
		for i := range racks {
			if racks[i].tasks >= left {
				pick = i
			}
		}
		take := min(left, racks[pick].tasks)
		parts = append(parts, assign(racks[pick].rooms, q.Gang.PerTask, take)...)
		racks = slices.Delete(racks, pick, pick+1)
		left -= take
	}
	return parts
}

// Pack places the gang into the rooms, which are adjacent enough already
// unless the gang must share one worker. It returns nil if the gang does not fit.
func Pack(in []Candidate, gang api.Shape) []Assignment {
	if gang.Adjacency == api.AdjacentWorker {
		return packOnOneWorker(in, gang)
	}
	total := 0
	for _, r := range in {
		total += TasksThatFit(r.Available, gang.PerTask)
	}
	if total < gang.Tasks {
		return nil
	}
	return assign(in, gang.PerTask, gang.Tasks)
}

func packOnOneWorker(in []Candidate, gang api.Shape) []Assignment {
	var best *Candidate
	for i := range in {
		n := TasksThatFit(in[i].Available, gang.PerTask)
		if n >= gang.Tasks && (best == nil || n < TasksThatFit(best.Available, gang.PerTask)) {
			best = &in[i]
		}
	}
	if best == nil {
		return nil
	}
	return onOneWorker(best.Worker, gang.Tasks)
}

// assign uses the largest rooms first and the tightest one for the rest. The
// rooms hold at least the given number of tasks.
func assign(in []Candidate, perTask api.Resources, tasks int) []Assignment {
	type slot struct {
		worker *fleet.Worker
		tasks  int
	}
	slots := make([]slot, 0, len(in))
	for _, r := range in {
		if n := TasksThatFit(r.Available, perTask); n > 0 {
			slots = append(slots, slot{r.Worker, n})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(b.tasks, a.tasks) })
	var parts []Assignment
	for left, i := tasks, 0; left > 0; {
		if slots[i].tasks <= left {
			parts = append(parts, Assignment{slots[i].worker, slots[i].tasks})
			left -= slots[i].tasks
			i++
			continue
		}
		last := i
		for last+1 < len(slots) && slots[last+1].tasks >= left {
			last++
		}
		parts = append(parts, Assignment{slots[last].worker, left})
		left = 0
	}
	return parts
}

// maxTasksPerWorker bounds the count of tasks that ask for nothing.
const maxTasksPerWorker = 1 << 20

// TasksThatFit returns how many tasks of the given size fit into avail.
func TasksThatFit(avail, perTask api.Resources) int {
	n := maxTasksPerWorker
	if perTask.Accelerators > 0 {
		n = min(n, avail.Accelerators/perTask.Accelerators)
	}
	if perTask.MilliCPU > 0 {
		n = min(n, avail.MilliCPU/perTask.MilliCPU)
	}
	if perTask.MemoryMB > 0 {
		n = min(n, avail.MemoryMB/perTask.MemoryMB)
	}
	return n
}

// ForEachDomain visits one room for the whole gang in each worker, rack or zone that
// has one, until visit returns false.
func ForEachDomain(f *fleet.Fleet, q Request, visit func([]Assignment) bool) {
	if q.Gang.Tasks == 1 {
		q.Gang.Adjacency = api.AdjacentWorker
	}
	need := q.Gang.PerTask.Times(q.Gang.Tasks)
	if q.Gang.Adjacency == api.AdjacentZone {
		for _, z := range f.Zones() {
			if !need.Fits(f.ZoneTotal(z, q.View)) {
				continue
			}
			parts := packInZone(f, z, q)
			if parts != nil && !visit(parts) {
				return
			}
		}
		return
	}
	eachRack(f, q, need, func(r *fleet.Rack) bool {
		if q.Gang.Adjacency == api.AdjacentRack {
			parts := Pack(candidates(r.Workers, &q), q.Gang)
			return parts == nil || visit(parts)
		}
		for _, w := range r.Workers {
			if need.Fits(q.available(w)) && !visit(onOneWorker(w, q.Gang.Tasks)) {
				return false
			}
		}
		return true
	})
}
