package headroom

import "time"

// Worker is what the choice of headroom depends on for one worker.
type Worker struct {
	Rack         string
	Accelerators int
	// Usable reports that work may be placed on the worker now.
	Usable bool
	// Marked reports that the worker is headroom already.
	Marked bool
	// Open is the number of accelerators that jobs of priority 0 do not use.
	Open int
	// OpenIn is the time until work of lower priorities is expected to have ended
	// there.
	OpenIn time.Duration
}

// whole reports whether jobs of priority 0 use nothing of the worker.
func (w *Worker) whole() bool { return w.Open >= w.Accelerators }

const (
	// maxFleetDivisor limits headroom to this part of the workers. More than a quarter
	// would take room from the other queues that they need on all known loads.
	maxFleetDivisor = 4
	// newRackCost is the wait that is accepted for a worker in a rack that has
	// headroom already. A gang within one rack finds room in few racks with much of it.
	newRackCost = 2 * time.Second
)

// Mark marks workers until the target is open, and returns whether it changed a
// mark. Earlier marks stay where they still serve. It visits the workers once for each
// mark that it changes.
func Mark(workers []Worker, t Target) bool {
	m := newMarks(workers, t)
	changed := m.dropUnusable()
	for m.short() && m.addBest() {
		changed = true
	}
	for m.dropSurplus() {
		changed = true
	}
	return changed
}

// marks is the set of marked workers while it is being changed.
type marks struct {
	workers     []Worker
	target      Target
	count, most int
	open        int // accelerators
	wholes      int
	byRack      map[string]int
}

func newMarks(workers []Worker, t Target) *marks {
	m := &marks{workers: workers, target: t, most: len(workers) / maxFleetDivisor, byRack: map[string]int{}}
	for i := range workers {
		if workers[i].Marked {
			m.adjust(i, 1)
		}
	}
	return m
}

// adjust adds a worker to the sums, or removes it if sign is -1.
func (m *marks) adjust(i, sign int) {
	w := &m.workers[i]
	m.count += sign
	m.open += sign * max(0, w.Open)
	m.byRack[w.Rack] += sign
	if w.whole() {
		m.wholes += sign
	}
}

func (m *marks) set(i int, marked bool) {
	m.workers[i].Marked = marked
	if marked {
		m.adjust(i, 1)
	} else {
		m.adjust(i, -1)
	}
}

func (m *marks) dropUnusable() bool {
	changed := false
	for i := range m.workers {
		if m.workers[i].Marked && !m.workers[i].Usable {
			m.set(i, false)
			changed = true
		}
	}
	return changed
}

func (m *marks) short() bool {
	return m.open < m.target.Accelerators || m.wholes < m.target.Workers
}

// addBest marks the usable worker that is open soonest, preferring racks with marks.
func (m *marks) addBest() bool {
	if m.count >= m.most {
		return false
	}
	best, bestCost := -1, time.Duration(0)
	for i := range m.workers {
		w := &m.workers[i]
		if w.Marked || !w.Usable || w.Open <= 0 || m.open >= m.target.Accelerators && !w.whole() {
			continue
		}
		cost := w.OpenIn
		if m.byRack[w.Rack] == 0 {
			cost += newRackCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	m.set(best, true)
	return true
}

// dropSurplus removes the mark that serves least, if the target is met without it and
// with another worker to spare. The spare one keeps marks from changing with each
// job.
func (m *marks) dropSurplus() bool {
	worst := -1
	for i := range m.workers {
		if w := &m.workers[i]; w.Marked && m.spares(w) && (worst < 0 || m.servesLess(w, &m.workers[worst])) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	m.set(worst, false)
	return true
}

func (m *marks) spares(w *Worker) bool {
	if m.target.Accelerators > 0 && m.open-w.Open < m.target.Accelerators+w.Accelerators {
		return false
	}
	return !w.whole() || m.target.Workers == 0 || m.wholes-1 > m.target.Workers
}

// servesLess reports whether a marked worker serves less than another one: the one in
// the rack with fewer marks, then the one that is open later.
func (m *marks) servesLess(w, than *Worker) bool {
	if a, b := m.byRack[w.Rack], m.byRack[than.Rack]; a != b {
		return a < b
	}
	return w.OpenIn > than.OpenIn
}
