package plan

import (
	"container/heap"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// maxReservations limits the number of waiting units with a reservation.
const maxReservations = 4

// reservation holds resources back for a waiting unit that is expected to start at
// expectedStart.
type reservation struct {
	unit          *unit
	needs         map[*worker]graph.Resources
	expectedStart time.Duration
}

// reserve reserves the placement where the unit is expected to fit earliest, and
// returns it. It returns nil if there is none, or if maxReservations is reached.
func (c *Core) reserve(u *unit) *reservation {
	if len(c.sched.reservations) >= maxReservations {
		return nil
	}
	var best *reservation
	for _, g := range c.candidateGroups(u) {
		if r := c.earliestFit(u, g); r != nil && (best == nil || r.expectedStart < best.expectedStart) {
			best = r
		}
	}
	if best != nil {
		c.sched.reservations = append(c.sched.reservations, best)
	}
	return best
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
	room := newTaskRoom(u.step, slices.Clone(g.candidates), nil)
	releases := c.expectedReleases(g)
	for len(releases) > 0 {
		next := heap.Pop(&releases).(release)
		room.add(next.index, next.needs)
		if allocs := room.pack(u.taskCount); allocs != nil {
			return &reservation{unit: u, needs: needsByWorker(allocs, u.step), expectedStart: next.at}
		}
	}
	return nil
}

// release is the expected end of a run on a candidate of a group.
type release struct {
	at    time.Duration
	index int // of the candidate
	order int // among all releases of the group; breaks ties
	needs graph.Resources
}

// releaseQueue is a heap of releases, the earliest first. Few of them are needed as
// a rule, so a sort would cost more.
type releaseQueue []release

func (q releaseQueue) Len() int { return len(q) }
func (q releaseQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q releaseQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *releaseQueue) Push(x any)   { *q = append(*q, x.(release)) }
func (q *releaseQueue) Pop() any {
	n := len(*q) - 1
	last := (*q)[n]
	*q = (*q)[:n]
	return last
}

// expectedReleases returns the expected ends of all runs in a group.
func (c *Core) expectedReleases(g workerGroup) releaseQueue {
	var out releaseQueue
	for i, s := range g.candidates {
		for _, m := range s.members {
			out = append(out, release{at: c.expectedEnd(m), index: i, order: len(out), needs: m.unit.step.Needs})
		}
	}
	heap.Init(&out)
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
	estimate := m.unit.step.Estimate
	if !m.running {
		return c.now + estimate
	}
	if rate := m.rate(); rate > 0 {
		left := time.Duration(float64(100-m.percent) / rate * float64(time.Second))
		return max(c.now, m.listedAt+left)
	}
	return max(m.runningSince+estimate, c.now+estimate/overrunDivisor)
}
