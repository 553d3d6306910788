package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// reservation is a set of adjacent capacity that only preemptible work may borrow.
// It belongs to a guarantee of a profile or to one waiting gang.
type reservation struct {
	profile string
	job     *job
	gang    api.Shape
	parts   []*reservationPart
}

// reservationPart is the part of a reservation on one worker.
type reservationPart struct {
	reservation *reservation
	worker      *worker
	resources   api.Resources
	used        api.Resources
}

func (r *reservation) placed() bool { return len(r.parts) > 0 }

func (r *reservation) unused() bool {
	for _, part := range r.parts {
		if part.used != (api.Resources{}) {
			return false
		}
	}
	return true
}

// partOn returns the reservation's part on a worker, or nil if there is none.
func (r *reservation) partOn(w *worker) *reservationPart {
	if r == nil {
		return nil
	}
	for _, part := range r.parts {
		if part.worker == w {
			return part
		}
	}
	return nil
}

// inService reports whether all workers of the reservation are in service.
func (r *reservation) inService() bool {
	for _, part := range r.parts {
		if !part.worker.InService() {
			return false
		}
	}
	return true
}

func (c *Core) placeReservation(r *reservation, assignments []placement.Assignment) {
	for _, p := range assignments {
		w := c.workers[p.Worker.Name]
		part := &reservationPart{reservation: r, worker: w, resources: r.gang.PerTask.Times(p.Tasks)}
		r.parts = append(r.parts, part)
		c.updateWorker(w, func(f *fleet.Worker) { f.Reserved = f.Reserved.Add(part.resources) })
	}
}

// unplaceReservation gives up a reservation's placement. Jobs inside it continue
// as non-preemptible work.
func (c *Core) unplaceReservation(r *reservation) {
	shares := r.parts
	r.parts = nil
	for _, s := range shares {
		c.dropReservationClaims(s)
		for _, g := range s.worker.groups {
			if g.reservedPart == s {
				c.detachFromReservation(g)
			}
		}
		c.updateWorker(s.worker, func(f *fleet.Worker) { f.Reserved = f.Reserved.Sub(s.resources) })
	}
}

// repackInterval is the minimum time between two repackings of all guarantees for
// an unplaced one.
const repackInterval = 5 * time.Second

// acceleratorWeightMilliCPU is the weight of one accelerator, in milli-CPU, when
// the sizes of reservations are compared.
const acceleratorWeightMilliCPU = 8000

// compactInterval is the minimum time between two repackings for a waiting gang.
const compactInterval = 30 * time.Second

// updateGuarantees keeps a placement for each guaranteed gang.
func (c *Core) updateGuarantees() {
	// Capacity that has become free may fit an unplaced guarantee.
	retry := c.unplacedCount > 0 && c.fleet.Generation() > c.placedGeneration
	repackDue := c.repackPending && c.now >= c.lastRepack+repackInterval
	if !c.guaranteesDirty && !retry && !repackDue {
		return
	}
	c.guaranteesDirty = false
	for _, r := range c.guarantees {
		if r.placed() && !r.inService() {
			c.unplaceReservation(r)
		}
	}
	c.placeGuarantees()
	if c.unplacedCount > 0 && len(c.waitingReservations) > 0 {
		c.dropWaitingReservations()
		c.placeGuarantees()
	}
	c.repackPending = c.unplacedCount > 0
	if c.repackPending && c.now >= c.lastRepack+repackInterval {
		c.repackPending = false
		c.lastRepack = c.now
		c.repack()
	}
	c.placedGeneration = c.fleet.Generation()
}

// placeGuarantees places the unplaced guarantees, the largest first.
func (c *Core) placeGuarantees() {
	c.unplacedCount, c.unplacedSize = 0, 0
	c.unboundJobs = slices.DeleteFunc(c.unboundJobs, func(j *job) bool { return j.phase != phaseRunning || j.reservation != nil })
	for _, r := range c.guaranteesByDifficulty() {
		if r.placed() || c.bindToRunningGang(r) {
			continue
		}
		assignments := placement.Find(c.fleet, placement.Request{Gang: r.gang, View: fleet.Preemptible})
		if assignments == nil {
			c.unplacedCount++
			c.unplacedSize += r.weightedSize()
			continue
		}
		c.placeReservation(r, assignments)
	}
}

// repack places all unused guarantees anew. It keeps the result if fewer guarantees
// are unplaced, or as many but smaller ones: for smaller ones, work outside of
// guarantees is stopped more easily.
func (c *Core) repack() {
	countBefore, sizeBefore := c.unplacedCount, c.unplacedSize
	c.rearrange(func() bool {
		return c.unplacedCount < countBefore || c.unplacedCount == countBefore && c.unplacedSize < sizeBefore
	})
}

// weightedSize is a size by which reservations of different shapes are compared.
func (r *reservation) weightedSize() int {
	return r.gang.Tasks * (acceleratorWeightMilliCPU*r.gang.PerTask.Accelerators + r.gang.PerTask.MilliCPU)
}

// compact repacks the unused guarantees if that makes room for a gang.
func (c *Core) compact(j *job) []placement.Assignment {
	if c.now < c.lastCompaction+compactInterval {
		return nil
	}
	c.lastCompaction = c.now
	var assignments []placement.Assignment
	before := c.unplacedCount
	c.rearrange(func() bool {
		assignments = c.soonestPlacement(j)
		return assignments != nil && c.unplacedCount <= before
	})
	return assignments
}

// rearrange places all unused guarantees anew and undoes that unless it helps.
func (c *Core) rearrange(helps func() bool) {
	type previousPlacement struct {
		reservation *reservation
		assignments []placement.Assignment
	}
	countBefore, sizeBefore := c.unplacedCount, c.unplacedSize
	var previous []previousPlacement
	for _, r := range c.guarantees {
		if r.placed() && r.unused() {
			previous = append(previous, previousPlacement{r, r.assignments()})
			c.unplaceReservation(r)
		}
	}
	c.placeGuarantees()
	if helps() {
		return
	}
	for _, k := range previous {
		c.unplaceReservation(k.reservation)
	}
	for _, r := range c.guarantees {
		if r.placed() && r.unused() {
			c.unplaceReservation(r)
		}
	}
	for _, k := range previous {
		c.placeReservation(k.reservation, k.assignments)
	}
	c.unplacedCount, c.unplacedSize = countBefore, sizeBefore
}

func (r *reservation) assignments() []placement.Assignment {
	out := make([]placement.Assignment, 0, len(r.parts))
	for _, part := range r.parts {
		tasks := placement.TasksThatFit(part.resources, r.gang.PerTask)
		out = append(out, placement.Assignment{Worker: part.worker.Worker, Tasks: tasks})
	}
	return out
}

func (c *Core) guaranteesByDifficulty() []*reservation {
	out := slices.Clone(c.guarantees)
	slices.SortStableFunc(out, func(a, b *reservation) int {
		return feasibility.CompareShapes(a.gang, b.gang)
	})
	return out
}

// configureGuarantees makes the reservations of guarantees match the configuration.
func (c *Core) configureGuarantees() {
	var next []*reservation
	remaining := map[string][]*reservation{}
	for _, r := range c.guarantees {
		remaining[r.profile] = append(remaining[r.profile], r)
	}
	for _, name := range sortedKeys(c.config.Profiles) {
		g := c.config.Profiles[name].Guarantee
		if g == nil {
			continue
		}
		for range g.Gangs {
			old := remaining[name]
			if len(old) > 0 && old[0].gang == g.Shape {
				next = append(next, old[0])
				remaining[name] = old[1:]
				continue
			}
			next = append(next, &reservation{profile: name, gang: g.Shape})
		}
	}
	for _, r := range c.guarantees {
		if !slices.Contains(next, r) {
			c.unplaceReservation(r)
		}
	}
	c.guarantees = next
	c.guaranteesOf = map[string][]*reservation{}
	for _, r := range next {
		c.guaranteesOf[r.profile] = append(c.guaranteesOf[r.profile], r)
	}
	c.guaranteesDirty = true
}
