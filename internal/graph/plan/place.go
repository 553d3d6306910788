package plan

import (
	"cmp"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/explain"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// candidate is a worker considered for a unit, with the resources that the unit
// may use there.
type candidate struct {
	*worker
	available graph.Resources
}

// indexByWorker returns the index of each candidate.
func indexByWorker(candidates []candidate) map[*worker]int {
	out := make(map[*worker]int, len(candidates))
	for i, s := range candidates {
		out[s.worker] = i
	}
	return out
}

// allocation assigns a number of a unit's tasks to one worker.
type allocation struct {
	worker *worker
	tasks  int
}

// tasksThatFit returns the number of tasks of a step that fit into the available
// resources of one worker, at most step.Count.
func tasksThatFit(available graph.Resources, step *graph.Step) int {
	n := limitTasks(step.Count, available.Accelerators, step.Needs.Accelerators)
	n = limitTasks(n, available.MilliCPU, step.Needs.MilliCPU)
	n = limitTasks(n, available.MemoryMB, step.Needs.MemoryMB)
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// limitTasks returns how many of n tasks fit that need so much of one resource each.
// It divides only if some but not all of them fit.
func limitTasks(n, available, need int) int {
	switch {
	case need <= 0 || available >= n*need:
		return n
	case available < need:
		return 0
	default:
		return available / need
	}
}

// tasksThatFitBeside returns the number of further tasks of a step that may be
// placed on a candidate. perWorker is the number of its tasks already on each worker.
func tasksThatFitBeside(c candidate, step *graph.Step, perWorker map[*worker]int) int {
	n := tasksThatFit(c.available, step)
	if step.MaxPerWorker > 0 {
		n = max(0, min(n, step.MaxPerWorker-perWorker[c.worker]))
	}
	return n
}

// packTasks allocates tasks to as few candidates as possible, preferring the
// tightest fit. perWorker is the number of tasks of the step already on each
// worker. It returns nil if the tasks do not fit.
func packTasks(candidates []candidate, step *graph.Step, tasks int, perWorker map[*worker]int) []allocation {
	type fit struct {
		candidate
		tasks int
	}
	var fits []fit
	for _, c := range candidates {
		if most := tasksThatFitBeside(c, step, perWorker); most > 0 {
			fits = append(fits, fit{c, most})
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

// tighterFit reports whether a worker with room for a tasks is a better choice for
// n tasks than one with room for b. The smallest one that holds all n wins; if
// none does, the largest.
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

// unusedFraction returns the fraction of the worker's capacity that remains
// available after placing the given number of tasks, summed over the kinds of
// resources.
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

// workerGroup is a set of candidates over which one unit may be spread.
type workerGroup struct {
	name       string
	candidates []candidate
}

// groupByRack groups candidates by rack, sorted by rack name.
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

// bestPlacement returns the best placement of a unit on the candidates, or nil.
// It prefers a single rack: the data rack, else the one with the fewest available
// cores. A same-rack gang is spread over racks only if acrossRacks is set.
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
		if tasksThatFitBeside(s, u.step, perWorker) < 1 {
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

// remoteDataPenalty ranks every worker in the data rack before all others:
// unusedFraction is at most one for each kind of resource.
const remoteDataPenalty = 3

// tasksPerWorker returns the number of tasks of the unit's step that run or have a
// claim on each worker. It returns nil if the step has no limit per worker.
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

// eligible reports whether tasks of a unit may be placed on a worker now.
func (c *Core) eligible(w *worker, u *unit) bool { return c.ineligibility(w, u) == explain.NotExcluded }

// ineligibility returns the reason why tasks of a unit must not be placed on a worker
// now, whatever is free there.
func (c *Core) ineligibility(w *worker, u *unit) explain.Exclusion {
	switch {
	case !w.connected():
		return explain.NoSession
	case !w.responsive || c.now-w.lastReportAt > maxReportAge:
		return explain.Silent
	case w.info.Pool != u.job.Pool:
		return explain.OtherPool
	case w.longName:
		return explain.LongName
	case w.info.Draining:
		return explain.Draining
	case c.policy.ZonesOut[w.info.Zone]:
		return explain.ZoneOut
	case w.failures.Quarantined(c.now) && !u.waived.failures:
		return explain.Quarantined
	case u.avoidUntil[w.info.ID] > c.now && !u.waived.failures:
		return explain.Avoided
	case u.refusedUntil[w.info.ID] > c.now:
		return explain.Avoided
	case !u.waived.suspects && c.conflictsWithSuspects(u, w):
		return explain.Avoided
	case u.onLastAttempt() && w.failures.Recent(c.now) && !u.waived.failures:
		return explain.RecentFailure
	case u.step.RequiredLabel != "" && !slices.Contains(w.info.Labels, u.step.RequiredLabel):
		return explain.MissingLabel
	}
	return explain.NotExcluded
}

func (u *unit) onLastAttempt() bool { return u.failures > 0 && u.failures+1 >= u.job.MaxAttempts }

// candidates returns the eligible workers for a unit with the resources available
// to it. Headroom that is closed to the unit and claims of other units are excluded,
// and so are their reservations unless the unit is expected to end before they start.
func (c *Core) candidates(u *unit) []candidate {
	out := make([]candidate, 0, len(c.sortedWorkers))
	closed := c.headroomClosedTo(u)
	for _, w := range c.sortedWorkers {
		if c.exclusion(w, u, closed) == explain.NotExcluded {
			out = append(out, candidate{w, c.availableFor(w, u)})
		}
	}
	return out
}

// exclusion returns the reason why a worker is no candidate for a unit. closed is the
// result of headroomClosedTo for the unit.
func (c *Core) exclusion(w *worker, u *unit, closed bool) explain.Exclusion {
	if reason := c.ineligibility(w, u); reason != explain.NotExcluded {
		return reason
	}
	switch {
	case !c.fastEnough(w, u):
		return explain.TooSlow
	case closed && c.headroom.marked[w]:
		return explain.Headroom
	}
	return overCapacity(w.free())
}

// overCapacity returns the resource of which a worker has less than its runs use, since its
// capacity has shrunk. Nothing starts there, not even tasks that do not need that resource.
func overCapacity(free graph.Resources) explain.Exclusion {
	switch {
	case free.Accelerators < 0:
		return explain.NoAccelerators
	case free.MilliCPU < 0:
		return explain.NoCores
	case free.MemoryMB < 0:
		return explain.NoMemory
	}
	return explain.NotExcluded
}

// free returns the worker's capacity minus the use of its runs. It does not
// account for claims and reservations.
func (w *worker) free() graph.Resources { return w.info.Capacity.Sub(w.used).Sub(w.unknownUse) }

func (c *Core) availableFor(w *worker, u *unit) graph.Resources {
	available := w.free().Sub(w.claimed)
	if u.claim != nil {
		available = available.Add(u.claim.needs[w])
	}
	for _, r := range w.reserved {
		if u.waived.reservations && !r.taken {
			continue
		}
		if r.unit != u && c.now+c.runTimeOn(u, w) > r.from {
			available = available.Sub(r.needs)
		}
	}
	return available
}

// needsByWorker returns the resources that allocations take on each worker.
func needsByWorker(allocs []allocation, step *graph.Step) map[*worker]graph.Resources {
	out := make(map[*worker]graph.Resources, len(allocs))
	for _, p := range allocs {
		out[p.worker] = out[p.worker].Add(step.Needs.Times(p.tasks))
	}
	return out
}
