package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// candidate is a worker as a place for a unit, with the room that the unit may use.
type candidate struct {
	*worker
	available graph.Resources
}

// allocation is a number of a unit's tasks on one worker.
type allocation struct {
	worker *worker
	tasks  int
}

// tasksThatFit returns how many tasks of a step fit into the room.
func tasksThatFit(available graph.Resources, step *graph.Step) int {
	n := step.Count
	for _, d := range [][2]int{
		{available.MilliCPU, step.Needs.MilliCPU},
		{available.MemoryMB, step.Needs.MemoryMB},
		{available.Accelerators, step.Needs.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// packTasks spreads n tasks over the fewest of the sites, the fullest that hold
// them first. It returns nil if they do not fit.
func packTasks(candidates []candidate, step *graph.Step, tasks int, perWorker map[*worker]int) []allocation {
	type fit struct {
		candidate
		tasks int
	}
	var fits []fit
	for _, p := range candidates {
		most := tasksThatFit(p.available, step)
		if step.MaxPerWorker > 0 {
			most = min(most, step.MaxPerWorker-perWorker[p.worker])
		}
		if most > 0 {
			fits = append(fits, fit{p, most})
		}
	}
	var allocs []allocation
	for tasks > 0 {
		if len(fits) == 0 {
			return nil
		}
		best := 0
		for i := range fits {
			if tighterFit(fits[i].tasks, fits[best].tasks, tasks) ||
				fits[i].tasks == fits[best].tasks && unusedFraction(fits[i].candidate, step, min(tasks, fits[i].tasks)) < unusedFraction(fits[best].candidate, step, min(tasks, fits[best].tasks)) {
				best = i
			}
		}
		chosen := fits[best]
		taken := min(tasks, chosen.tasks)
		allocs = append(allocs, allocation{chosen.worker, taken})
		tasks -= taken
		fits = slices.Delete(fits, best, best+1)
	}
	return allocs
}

// tighterFit reports whether room for a tasks suits n tasks tighterFit than room for
// b: the tightest that holds all, else the largest.
func tighterFit(a, b, n int) bool {
	switch {
	case a >= n && b >= n:
		return a < b
	case a >= n || b >= n:
		return a >= n
	default:
		return a > b
	}
}

// unusedFraction is the part of the worker that stays free beside k tasks, summed
// over the kinds of resources.
func unusedFraction(c candidate, step *graph.Step, tasks int) float64 {
	free := c.available
	for range tasks {
		free = free.Sub(step.Needs)
	}
	full := c.info.Capacity
	return ratio(free.Accelerators, full.Accelerators) + ratio(free.MilliCPU, full.MilliCPU) + ratio(free.MemoryMB, full.MemoryMB)
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// workerGroup is a set of sites over which one unit may be spread.
type workerGroup struct {
	name       string
	candidates []candidate
}

// groupByRack splits sites by rack, in order of the racks' names.
func groupByRack(candidates []candidate) []workerGroup {
	var out []workerGroup
	index := map[string]int{}
	for _, s := range candidates {
		i, ok := index[s.info.Rack]
		if !ok {
			i = len(out)
			index[s.info.Rack] = i
			out = append(out, workerGroup{name: s.info.Rack})
		}
		out[i].candidates = append(out[i].candidates, s)
	}
	slices.SortFunc(out, func(a, b workerGroup) int { return cmp.Compare(a.name, b.name) })
	return out
}

// bestPlacement returns the best place for a unit among the sites: within one rack if
// it can be, the rack that is left with the least room. A same-rack gang takes
// several racks only when spread is set.
func bestPlacement(u *unit, candidates []candidate, acrossRacks bool) []allocation {
	perWorker := u.tasksPerWorker()
	if u.taskCount == 1 {
		return bestSinglePlacement(u, candidates, perWorker)
	}
	var best []allocation
	bestLeft := 0.0
	for _, g := range groupByRack(candidates) {
		allocs := packTasks(g.candidates, u.step, u.taskCount, perWorker)
		if allocs == nil {
			continue
		}
		left := availableCores(g.candidates)
		if u.step.DataRack != "" && g.name == u.step.DataRack {
			left = -1
		}
		if best == nil || left < bestLeft {
			best, bestLeft = allocs, left
		}
	}
	if best != nil || u.step.SameRack && !acrossRacks {
		return best
	}
	return packTasks(candidates, u.step, u.taskCount, perWorker)
}

func availableCores(candidates []candidate) float64 {
	total := 0.0
	for _, s := range candidates {
		total += s.available.Cores()
	}
	return total
}

func bestSinglePlacement(u *unit, candidates []candidate, perWorker map[*worker]int) []allocation {
	best := -1
	bestLeft := 0.0
	for i, s := range candidates {
		if tasksThatFit(s.available, u.step) < 1 || u.step.MaxPerWorker > 0 && perWorker[s.worker] >= u.step.MaxPerWorker {
			continue
		}
		left := unusedFraction(s, u.step, 1)
		if u.step.DataRack != "" && s.info.Rack != u.step.DataRack {
			left += remoteDataPenalty
		}
		if best < 0 || left < bestLeft {
			best, bestLeft = i, left
		}
	}
	if best < 0 {
		return nil
	}
	return []allocation{{candidates[best].worker, 1}}
}

// remoteDataPenalty puts every worker beside the data before every other: leftover
// is at most one for each kind of resource.
const remoteDataPenalty = 3

// tasksPerWorker counts the tasks of the unit's step on each worker, and those that
// have a claim there, for a bound per worker.
func (u *unit) tasksPerWorker() map[*worker]int {
	if u.step.MaxPerWorker == 0 {
		return nil
	}
	out := map[*worker]int{}
	for _, o := range u.job.unitsByStep[u.stepIndex] {
		for _, m := range o.members {
			if !m.ended {
				out[m.worker]++
			}
		}
		if o == u || o.claim == nil {
			continue
		}
		for _, p := range o.claim.allocs {
			out[p.worker] += p.tasks
		}
	}
	return out
}

// eligible reports whether a worker may get tasks of a unit now.
func (c *Core) eligible(w *worker, u *unit) bool {
	switch {
	case !w.connected() || !w.responsive || c.now-w.lastReportAt > maxReportAge:
		return false
	case w.info.Pool != u.job.Pool || w.info.Draining || c.policy.ZonesOut[w.info.Zone]:
		return false
	case w.quarantinedUntil > c.now || u.avoidUntil[w.info.ID] > c.now:
		return false
	case u.onLastAttempt() && w.hasRecentFailure(c.now):
		return false
	case u.step.RequiredLabel != "" && !slices.Contains(w.info.Labels, u.step.RequiredLabel):
		return false
	}
	return true
}

func (u *unit) onLastAttempt() bool { return u.failures > 0 && u.failures+1 >= u.job.MaxAttempts }

// candidates returns the places that a unit may use now. Room that is set aside for
// others is left out, unless the unit is expected to be gone by then.
func (c *Core) candidates(u *unit) []candidate {
	out := make([]candidate, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		if c.eligible(w, u) {
			out = append(out, candidate{w, c.availableFor(w, u)})
		}
	}
	return out
}

// free is what a worker has beside what runs there.
func (w *worker) free() graph.Resources { return w.info.Capacity.Sub(w.used).Sub(w.unknownUse) }

func (c *Core) availableFor(w *worker, u *unit) graph.Resources {
	available := w.free()
	for _, cl := range c.sched.claims {
		if cl.unit != u {
			available = available.Sub(cl.neededOn(w))
		}
	}
	for _, r := range c.sched.reservations {
		if r.unit != u && c.now+u.step.Estimate > r.expectedStart {
			available = available.Sub(r.neededOn(w))
		}
	}
	return available
}

// reservation keeps room for a unit that waits until at.
type reservation struct {
	unit          *unit
	allocs        []allocation
	expectedStart time.Duration
}

func (r *reservation) neededOn(w *worker) graph.Resources { return needsOn(r.allocs, r.unit.step, w) }

func needsOn(allocs []allocation, step *graph.Step, w *worker) graph.Resources {
	var out graph.Resources
	for _, p := range allocs {
		if p.worker != w {
			continue
		}
		for range p.tasks {
			out = out.Add(step.Needs)
		}
	}
	return out
}
