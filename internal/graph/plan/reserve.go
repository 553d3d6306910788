package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// maxReservations limits the number of waiting units with a reservation. Each one
// costs a look at the expected ends of the runs.
const maxReservations = 16

// reservation holds resources back for a waiting unit that is expected to start at
// expectedStart.
type reservation struct {
	unit          *unit
	allocs        []allocation
	needs         map[*worker]graph.Resources
	expectedStart time.Duration
}

// reserve reserves the placement where the unit is expected to fit earliest, and
// returns it. It returns nil if there is none, if maxReservations is reached, or if the
// unit's job gains nothing by it and others wait.
func (c *Core) reserve(u *unit) *reservation {
	if c.withholdsReservation(u.job) {
		return nil
	}
	best := c.earliestReservation(u)
	if best != nil {
		c.addReservation(best)
	}
	return best
}

// earliestReservation returns the reservation with which the unit is expected to end
// earliest, without making it.
func (c *Core) earliestReservation(u *unit) *reservation {
	if len(c.sched.reservations) >= maxReservations {
		return nil
	}
	var best *reservation
	for _, g := range c.reservationGroups(u) {
		if r := c.earliestFit(u, g); r != nil && (best == nil || c.expectedEndOf(r) < c.expectedEndOf(best)) {
			best = r
		}
	}
	return best
}

// reservedRoom is the part of a reservation on one worker.
type reservedRoom struct {
	unit  *unit
	needs graph.Resources
	from  time.Duration // expected start of the unit
	// taken is set in a trial pass, for a unit that would start now.
	taken bool
}

func (c *Core) addReservation(r *reservation) {
	c.sched.reservations = append(c.sched.reservations, r)
	for w, needs := range r.needs {
		w.reserved = append(w.reserved, reservedRoom{unit: r.unit, needs: needs, from: r.expectedStart})
	}
}

func (c *Core) clearReservations() {
	for _, r := range c.sched.reservations {
		for w := range r.needs {
			w.reserved = w.reserved[:0]
		}
	}
	c.sched.reservations = nil
}

// candidateGroups returns the groups of workers over which a unit may be spread:
// the racks for a same-rack unit that fits one, else a single group.
func (c *Core) candidateGroups(u *unit) []workerGroup {
	candidates := c.candidates(u)
	if u.step.SameRack && c.fitsEmptyRack(u) {
		return groupByRack(candidates)
	}
	return []workerGroup{{candidates: candidates}}
}

// earliestFit returns a reservation at the time when a unit is expected to fit into
// a group, given the expected ends of the runs there. It returns nil if the unit
// does not fit even then.
func (c *Core) earliestFit(u *unit, g workerGroup) *reservation {
	perWorker := c.tasksPerWorkerWithReservations(u)
	room := newTaskRoom(u.step, slices.Clone(g.candidates), perWorker)
	index := indexByWorker(g.candidates)
	for _, next := range c.expectedReleases(g) {
		i, ok := index[next.worker]
		if !ok {
			continue
		}
		if perWorker != nil && next.unit.job == u.job && next.unit.stepIndex == u.stepIndex {
			perWorker[next.worker]--
		}
		room.add(i, next.needs)
		if allocs := room.pack(u.taskCount); allocs != nil {
			return &reservation{unit: u, allocs: allocs, needs: needsByWorker(allocs, u.step), expectedStart: next.at}
		}
	}
	return nil
}

// tasksPerWorkerWithReservations is tasksPerWorker with the tasks of the step for which
// other units have a reservation.
func (c *Core) tasksPerWorkerWithReservations(u *unit) map[*worker]int {
	out := u.tasksPerWorker()
	if out == nil {
		return nil
	}
	for _, r := range c.sched.reservations {
		if r.unit.job != u.job || r.unit.stepIndex != u.stepIndex || r.unit == u {
			continue
		}
		for _, a := range r.allocs {
			out[a.worker] += a.tasks
		}
	}
	return out
}

// release is the expected end of a run.
type release struct {
	unit   *unit
	at     time.Duration
	order  int // among all runs; breaks ties
	worker *worker
	needs  graph.Resources
}

// releaseList holds the expected ends of all runs in order, and those of each rack.
// It serves all reservations of a pass until the next unit is placed.
type releaseList struct {
	valid  bool
	all    []release
	byRack map[string][]release
}

// expectedReleases returns the expected ends of the runs in a group, and possibly of
// others, the earliest first.
func (c *Core) expectedReleases(g workerGroup) []release {
	list := &c.sched.releases
	if !list.valid {
		*list = releaseList{valid: true, all: c.collectReleases(), byRack: map[string][]release{}}
		for _, r := range list.all {
			rack := r.worker.info.Rack
			list.byRack[rack] = append(list.byRack[rack], r)
		}
	}
	if g.name == "" {
		return list.all
	}
	return list.byRack[g.name]
}

func (c *Core) collectReleases() []release {
	var out []release
	for _, w := range c.sortedWorkers {
		for _, m := range w.members {
			out = append(out, release{unit: m.unit, at: c.expectedEnd(m), order: len(out), worker: w, needs: m.unit.step.Needs})
		}
	}
	slices.SortFunc(out, func(a, b release) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return a.order - b.order
	})
	return out
}

// overrunDivisor determines the remaining time expected of a run that has exceeded
// its estimate: estimate/overrunDivisor.
const overrunDivisor = 4

// expectedEnd estimates the time at which a member ends. The members of a gang end
// together, when the slowest of them is done.
func (c *Core) expectedEnd(m *member) time.Duration {
	u := m.unit
	if u.taskCount == 1 {
		return c.expectedWorkEnd(m)
	}
	if u.endEstimatedAt != c.now {
		u.endEstimatedAt, u.estimatedEnd = c.now, 0
		for _, o := range u.members {
			if !o.ended {
				u.estimatedEnd = max(u.estimatedEnd, c.expectedWorkEnd(o))
			}
		}
	}
	return u.estimatedEnd
}

// expectedWorkEnd estimates the time at which a member has done its own work.
func (c *Core) expectedWorkEnd(m *member) time.Duration {
	estimate := c.runTimeOn(m.unit, m.worker)
	if !m.running {
		return c.now + estimate
	}
	if rate := m.rate(); rate > 0 {
		left := time.Duration(float64(100-m.percent) / rate * float64(time.Second))
		return max(c.now, m.listedAt+left)
	}
	return max(m.runningSince+estimate, c.now+estimate/overrunDivisor)
}
