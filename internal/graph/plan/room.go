package plan

import "github.com/coltsfootlug/coltsfootlug/internal/graph"

// taskRoom tracks how many tasks of one step fit on a set of candidates while
// resources are added and removed. An update costs the same for any number of
// candidates.
type taskRoom struct {
	step       *graph.Step
	perWorker  map[*worker]int // tasks of the step already on each worker; may be nil
	candidates []candidate
	fitting    []int // by candidate
	total      int   // sum of fitting
}

// newTaskRoom returns the room on candidates, which it modifies from then on.
func newTaskRoom(step *graph.Step, candidates []candidate, perWorker map[*worker]int) *taskRoom {
	r := &taskRoom{step: step, perWorker: perWorker, candidates: candidates, fitting: make([]int, len(candidates))}
	for i := range candidates {
		r.update(i)
	}
	return r
}

// add makes resources of a candidate available.
func (r *taskRoom) add(i int, freed graph.Resources) {
	r.candidates[i].available = r.candidates[i].available.Add(freed)
	r.update(i)
}

// remove undoes add.
func (r *taskRoom) remove(i int, freed graph.Resources) {
	r.candidates[i].available = r.candidates[i].available.Sub(freed)
	r.update(i)
}

func (r *taskRoom) update(i int) {
	n := tasksThatFitBeside(r.candidates[i], r.step, r.perWorker)
	r.total += n - r.fitting[i]
	r.fitting[i] = n
}

// holds reports whether packTasks finds a place for n tasks on the candidates.
func (r *taskRoom) holds(n int) bool { return r.total >= n }

// pack allocates n tasks, or returns nil if they do not fit.
func (r *taskRoom) pack(n int) []allocation {
	if !r.holds(n) {
		return nil
	}
	return packTasks(r.candidates, r.step, n, r.perWorker)
}
