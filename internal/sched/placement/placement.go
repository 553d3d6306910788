// Package placement finds room for a whole gang. It uses the best fit among
// workers, then among racks, so that whole workers and racks stay empty.
package placement

import (
	"cmp"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

// Candidate is a worker and the capacity it offers to a request.
type Candidate struct {
	Worker    *fleet.Worker
	Available api.Resources
}

// Assignment is the number of a gang's tasks on one worker.
type Assignment struct {
	Worker *fleet.Worker
	Tasks  int
}

// Request asks for a placement of a gang.
type Request struct {
	Gang api.Shape
	View fleet.CapacityView
	// GainedSince, if not zero, limits the search to racks (and their zones) that
	// gained capacity after this generation.
	GainedSince uint64
	// Exclude filters out workers; nil excludes none.
	Exclude func(*fleet.Worker) bool
}

// Find returns the best placement of the whole gang, or nil if there is none.
func Find(f *fleet.Fleet, req Request) []Assignment {
	if req.Gang.Tasks == 1 {
		req.Gang.Adjacency = api.AdjacentWorker
	}
	switch req.Gang.Adjacency {
	case api.AdjacentWorker:
		return findInWorker(f, req)
	case api.AdjacentRack:
		return findInRack(f, req)
	}
	return findInZone(f, req)
}

func (req *Request) available(w *fleet.Worker) api.Resources {
	if req.Exclude != nil && req.Exclude(w) {
		return api.Resources{}
	}
	return w.Available(req.View)
}

// usesIndex reports whether the indexes by free capacity bound the view.
func (req *Request) usesIndex() bool { return req.View == fleet.Free || req.View == fleet.Unreserved }

func findInWorker(f *fleet.Fleet, req Request) []Assignment {
	need := req.Gang.PerTask.Times(req.Gang.Tasks)
	var best *fleet.Worker
	if req.GainedSince == 0 && req.usesIndex() {
		f.BestFit(need, func(w *fleet.Worker) bool {
			if need.Fits(req.available(w)) {
				best = w
			}
			return best == nil
		})
		return onOneWorker(best, req.Gang.Tasks)
	}
	eachRack(f, req, need, func(r *fleet.Rack) bool {
		for _, w := range r.Workers {
			if need.Fits(req.available(w)) && (best == nil || tighterWorker(w, best, req.View)) {
				best = w
			}
		}
		return true
	})
	return onOneWorker(best, req.Gang.Tasks)
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

// eachRack visits the racks whose total could hold need. If the request sets
// GainedSince, it visits only racks that gained capacity since then.
func eachRack(f *fleet.Fleet, req Request, need api.Resources, visit func(*fleet.Rack) bool) {
	filtered := func(r *fleet.Rack) bool {
		if !need.Fits(r.Total[req.View]) {
			return true
		}
		return visit(r)
	}
	if req.GainedSince > 0 {
		f.RacksGainedSince(req.GainedSince, filtered)
		return
	}
	if req.usesIndex() {
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

func findInRack(f *fleet.Fleet, req Request) []Assignment {
	need := req.Gang.PerTask.Times(req.Gang.Tasks)
	var best []Assignment
	var bestRack *fleet.Rack
	eachRack(f, req, need, func(r *fleet.Rack) bool {
		if bestRack != nil && !tighterRack(r, bestRack, req.View) {
			return true
		}
		assignments := Pack(candidates(r.Workers, &req), req.Gang)
		if assignments != nil {
			best, bestRack = assignments, r
		}
		// The index visits the tightest racks first.
		return best == nil || req.GainedSince > 0 || !req.usesIndex()
	})
	return best
}

func tighterRack(a, b *fleet.Rack, v fleet.CapacityView) bool {
	return cmp.Or(
		cmp.Compare(a.Total[v].Accelerators, b.Total[v].Accelerators),
		cmp.Compare(a.Total[v].MilliCPU, b.Total[v].MilliCPU),
		cmp.Compare(a.Name, b.Name)) < 0
}

func candidates(workers []*fleet.Worker, req *Request) []Candidate {
	out := make([]Candidate, 0, len(workers))
	for _, w := range workers {
		if avail := req.available(w); req.Gang.PerTask.Fits(avail) {
			out = append(out, Candidate{w, avail})
		}
	}
	return out
}

func findInZone(f *fleet.Fleet, req Request) []Assignment {
	// A single rack is preferred for a gang that may spread over a zone.
	if assignments := findInRack(f, req); assignments != nil {
		return assignments
	}
	need := req.Gang.PerTask.Times(req.Gang.Tasks)
	for _, z := range candidateZones(f, req) {
		if !need.Fits(f.ZoneTotal(z, req.View)) {
			continue
		}
		if parts := packInZone(f, z, req); parts != nil {
			return parts
		}
	}
	return nil
}

// candidateZones returns the zones to search, the one with the least room first.
func candidateZones(f *fleet.Fleet, req Request) []string {
	var zones []string
	if req.GainedSince == 0 {
		zones = slices.Clone(f.Zones())
	} else {
		f.RacksGainedSince(req.GainedSince, func(r *fleet.Rack) bool {
			if !slices.Contains(zones, r.Zone) {
				zones = append(zones, r.Zone)
			}
			return true
		})
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(f.ZoneTotal(a, req.View).Accelerators, f.ZoneTotal(b, req.View).Accelerators),
			cmp.Compare(a, b))
	})
	return zones
}

// packInZone spreads a gang over as few racks of the zone as possible.
func packInZone(f *fleet.Fleet, zone string, req Request) []Assignment {
	type rackCapacity struct {
		candidates []Candidate
		tasks      int
	}
	var racks []rackCapacity
	total := 0
	for _, r := range f.Racks(zone) {
		if !req.Gang.PerTask.Fits(r.Total[req.View]) {
			continue
		}
		found := candidates(r.Workers, &req)
		n := 0
		for _, candidate := range found {
			n += TasksThatFit(candidate.Available, req.Gang.PerTask)
		}
		if n > 0 {
			racks = append(racks, rackCapacity{found, n})
			total += n
		}
	}
	if total < req.Gang.Tasks {
		return nil
	}
	slices.SortStableFunc(racks, func(a, b rackCapacity) int { return cmp.Compare(b.tasks, a.tasks) })
	var assignments []Assignment
	for remaining := req.Gang.Tasks; remaining > 0; {
		// The last rack is the tightest one that holds the remaining tasks.
		pick := 0
		for i := range racks {
			if racks[i].tasks >= remaining {
				pick = i
			}
		}
		take := min(remaining, racks[pick].tasks)
		assignments = append(assignments, assign(racks[pick].candidates, req.Gang.PerTask, take)...)
		racks = slices.Delete(racks, pick, pick+1)
		remaining -= take
	}
	return assignments
}

// Pack places a gang on the candidates. These already satisfy the gang's adjacency,
// unless the gang needs a single worker. It returns nil if the gang does not fit.
func Pack(candidates []Candidate, gang api.Shape) []Assignment {
	if gang.Adjacency == api.AdjacentWorker {
		return packOnOneWorker(candidates, gang)
	}
	total := 0
	for _, r := range candidates {
		total += TasksThatFit(r.Available, gang.PerTask)
	}
	if total < gang.Tasks {
		return nil
	}
	return assign(candidates, gang.PerTask, gang.Tasks)
}

func packOnOneWorker(candidates []Candidate, gang api.Shape) []Assignment {
	var best *Candidate
	for i := range candidates {
		n := TasksThatFit(candidates[i].Available, gang.PerTask)
		if n >= gang.Tasks && (best == nil || n < TasksThatFit(best.Available, gang.PerTask)) {
			best = &candidates[i]
		}
	}
	if best == nil {
		return nil
	}
	return onOneWorker(best.Worker, gang.Tasks)
}

// assign uses the largest candidates first and the tightest one for the rest. The
// candidates must hold at least the given number of tasks.
func assign(candidates []Candidate, perTask api.Resources, tasks int) []Assignment {
	type workerTasks struct {
		worker *fleet.Worker
		tasks  int
	}
	workers := make([]workerTasks, 0, len(candidates))
	for _, r := range candidates {
		if n := TasksThatFit(r.Available, perTask); n > 0 {
			workers = append(workers, workerTasks{r.Worker, n})
		}
	}
	slices.SortStableFunc(workers, func(a, b workerTasks) int { return cmp.Compare(b.tasks, a.tasks) })
	var assignments []Assignment
	for remaining, i := tasks, 0; remaining > 0; {
		if workers[i].tasks <= remaining {
			assignments = append(assignments, Assignment{workers[i].worker, workers[i].tasks})
			remaining -= workers[i].tasks
			i++
			continue
		}
		last := i
		for last+1 < len(workers) && workers[last+1].tasks >= remaining {
			last++
		}
		assignments = append(assignments, Assignment{workers[last].worker, remaining})
		remaining = 0
	}
	return assignments
}

// maxTasksPerWorker limits the count for tasks that request no resources.
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

// ForEachDomain visits one placement of the whole gang in each worker, rack or zone
// that has room, until visit returns false.
func ForEachDomain(f *fleet.Fleet, req Request, visit func([]Assignment) bool) {
	if req.Gang.Tasks == 1 {
		req.Gang.Adjacency = api.AdjacentWorker
	}
	need := req.Gang.PerTask.Times(req.Gang.Tasks)
	if req.Gang.Adjacency == api.AdjacentZone {
		for _, z := range f.Zones() {
			if !need.Fits(f.ZoneTotal(z, req.View)) {
				continue
			}
			assignments := packInZone(f, z, req)
			if assignments != nil && !visit(assignments) {
				return
			}
		}
		return
	}
	eachRack(f, req, need, func(r *fleet.Rack) bool {
		if req.Gang.Adjacency == api.AdjacentRack {
			parts := Pack(candidates(r.Workers, &req), req.Gang)
			return parts == nil || visit(parts)
		}
		for _, w := range r.Workers {
			if need.Fits(req.available(w)) && !visit(onOneWorker(w, req.Gang.Tasks)) {
				return false
			}
		}
		return true
	})
}
