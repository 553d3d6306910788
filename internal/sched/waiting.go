package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

const (
	reviewInterval = time.Second
	// reservationDelay is how long a gang waits before capacity is reserved for it.
	reservationDelay = 30 * time.Second
	// maxWaitingReservations limits the waiting gangs that hold a reservation.
	maxWaitingReservations = 8
	// minRunBeforePreemption is how long preemptible work runs before a preemptible
	// gang may preempt it.
	minRunBeforePreemption = 10 * time.Minute
	// preemptionRetryInterval is the time between two attempts to preempt for a
	// waiting preemptible gang.
	preemptionRetryInterval = 30 * time.Second
	// unplaceableTimeout is how long a job waits for workers that the fleet lacks.
	unplaceableTimeout = 6 * time.Hour
	// restartCost is the time that a migrated gang loses in addition to its
	// checkpoint.
	restartCost = 30 * time.Second
	// defaultRun is the expected run time of a job that declares none.
	defaultRun = time.Hour
)

// reviewQueue reviews the waiting jobs, once per reviewInterval.
func (c *Core) reviewQueue() {
	if !c.mayStart() || c.now < c.lastReview+reviewInterval {
		return
	}
	c.lastReview = c.now
	c.forgetWorkers()
	for _, cl := range slices.Clone(c.queue.classList) {
		if j := cl.head(); cl.noPlacement && j != nil {
			c.reviewWaitingJob(j)
		}
	}
	for _, r := range slices.Clone(c.waitingReservations) {
		c.migrateForReservation(r)
	}
}

func (c *Core) reviewWaitingJob(j *job) {
	p, ok := c.config.Profiles[j.rec.Job.Profile]
	if !ok {
		c.handleMissingProfile(j)
		return
	}
	if c.now-j.queuedAt >= unplaceableTimeout && c.rejectUnplaceable(j) {
		return
	}
	c.allowAvoidedWorkers(j)
	if c.unplacedGuarantee(j) != nil {
		// Other guarantees may be movable by now.
		j.class.noPlacement = false
	}
	if j.waitingReservation != nil && !j.waitingReservation.inService() {
		c.dropWaitingReservation(j)
	}
	if c.now-j.queuedAt < reservationDelay || !withinQuota(j, p) || !c.isLarge(j) {
		return
	}
	if c.mayBorrow(j) {
		c.retryPreemption(j)
	} else if j.waitingReservation == nil {
		c.reserve(j)
	}
}

// rejectUnplaceable finishes a job that the current fleet could never hold.
func (c *Core) rejectUnplaceable(j *job) bool {
	reason, never := c.neverFits(j)
	if never {
		c.rejectQueued(j, ReasonNeverFits, reason)
	}
	return never
}

// isLarge reports whether a gang needs more than half of the largest worker, so
// that smaller work could keep it waiting forever.
func (c *Core) isLarge(j *job) bool {
	need, largest := j.totalResources(), c.fleet.LargestCapacity()
	if need.Accelerators > 0 {
		return need.Accelerators*2 > largest.Accelerators
	}
	return need.MilliCPU*2 > largest.MilliCPU
}

// retryPreemption lets a waiting preemptible gang try to preempt again: work that
// blocks it may have run long enough by now.
func (c *Core) retryPreemption(j *job) {
	if c.now < j.lastReview+preemptionRetryInterval {
		return
	}
	j.lastReview = c.now
	j.mayPreempt = true
	j.class.noPlacement = false
}

// tryPreemptForLarge lets a large preemptible gang that has waited preempt smaller
// preemptible work. Gangs of similar size do not preempt each other.
func (c *Core) tryPreemptForLarge(j *job) bool {
	if !j.mayPreempt || !c.mayBorrow(j) {
		return false
	}
	j.mayPreempt = false
	rule := victimRule{minRunTime: minRunBeforePreemption, acceleratorLimit: (j.totalResources().Accelerators + 1) / 2}
	return c.tryPreempt(j, rule, CheckpointGrace)
}

// reserve reserves the placement that is expected to become free first.
// Preemptible work may keep using it.
func (c *Core) reserve(j *job) {
	if len(c.waitingReservations) >= maxWaitingReservations {
		return
	}
	assignments := c.soonestPlacement(j)
	if assignments == nil {
		assignments = c.compact(j)
	}
	if assignments == nil {
		return
	}
	r := &reservation{job: j, gang: j.gang()}
	c.placeReservation(r, assignments)
	j.waitingReservation = r
	c.waitingReservations = append(c.waitingReservations, r)
	c.emitNotice(j, assignments[0].Worker.Name, ReasonReserved, "")
}

// freeingWorker is a worker with the time until its non-preemptible work outside
// of reservations is expected to end.
type freeingWorker struct {
	candidate  placement.Candidate
	timeToFree time.Duration
}

func (c *Core) soonestPlacement(j *job) []placement.Assignment {
	var best []placement.Assignment
	var bestWait time.Duration
	for _, domain := range c.adjacencyDomains(j.gang().Adjacency) {
		assignments, wait := c.soonestInDomain(j, domain)
		if assignments != nil && (best == nil || wait < bestWait) {
			best, bestWait = assignments, wait
		}
	}
	return best
}

// adjacencyDomains returns the sets of workers that satisfy an adjacency.
func (c *Core) adjacencyDomains(adjacency api.Adjacency) [][]*fleet.Worker {
	var out [][]*fleet.Worker
	for _, z := range c.fleet.Zones() {
		var zone []*fleet.Worker
		for _, r := range c.fleet.Racks(z) {
			if adjacency == api.AdjacentRack {
				out = append(out, r.Workers)
			}
			zone = append(zone, r.Workers...)
		}
		if adjacency != api.AdjacentRack {
			out = append(out, zone)
		}
	}
	return out
}

func (c *Core) soonestInDomain(j *job, domain []*fleet.Worker) ([]placement.Assignment, time.Duration) {
	exclude := c.excludedWorkers(j)
	var freeing []freeingWorker
	for _, w := range domain {
		if !w.Schedulable() || exclude(w) {
			continue
		}
		avail := w.Capacity.Sub(w.Reserved)
		if placement.TasksThatFit(avail, j.perTask) > 0 {
			freeing = append(freeing, freeingWorker{placement.Candidate{Worker: w, Available: avail}, c.nonPreemptibleWait(c.workers[w.Name])})
		}
	}
	slices.SortStableFunc(freeing, func(a, b freeingWorker) int { return cmp.Compare(a.timeToFree, b.timeToFree) })
	var candidates []placement.Candidate
	gang := j.gang()
	for _, f := range freeing {
		candidates = append(candidates, f.candidate)
		if gang.Adjacency == api.AdjacentWorker {
			candidates = candidates[len(candidates)-1:]
		}
		if assignments := placement.Pack(candidates, gang); assignments != nil {
			return assignments, f.timeToFree
		}
	}
	return nil, 0
}

// nonPreemptibleWait returns the time until all non-preemptible work on a worker
// is expected to have ended or to have been moved.
func (c *Core) nonPreemptibleWait(w *worker) time.Duration {
	var wait time.Duration
	for _, g := range w.groups {
		if g.nonPreemptible && !g.stopping {
			wait = max(wait, c.timeToVacate(g))
		}
	}
	return wait
}

func (c *Core) timeToVacate(g *group) time.Duration {
	j := g.job
	remaining := c.remainingRunTime(j)
	move := migrationCost(j)
	if move >= remaining || !c.migratable(g) {
		return remaining
	}
	elsewhere := placement.Request{Gang: j.gang(), View: fleet.Unreserved, Exclude: func(w *fleet.Worker) bool { return w == g.worker.Worker }}
	if placement.Find(c.fleet, elsewhere) == nil {
		return remaining
	}
	return move
}

// migrationCost returns the accelerator time that a migration loses.
func migrationCost(j *job) time.Duration {
	return (CheckpointGrace + restartCost) * time.Duration(max(1, j.totalResources().Accelerators))
}

func (c *Core) migratable(g *group) bool {
	j := g.job
	return g.nonPreemptible && !g.nonRestartable && !g.detached && j.phase == phaseRunning && j.restartable() && j.rec.Job.Checkpointable
}

func (c *Core) remainingRunTime(j *job) time.Duration {
	ran := j.earlierRunTime
	if j.started {
		ran += c.now - j.startedAt
	}
	// A job is assumed to need at least half of its elapsed run time again,
	// however long it was expected to run.
	return max(c.expectedRunTime(j)-ran, ran/2)
}

// tryReserved starts a job on the capacity reserved for it.
func (c *Core) tryReserved(j *job) bool {
	r := j.waitingReservation
	if r == nil {
		return false
	}
	for _, part := range r.parts {
		open := part.worker.Capacity.Sub(part.worker.Reserved).Sub(part.worker.NonPreemptible).Add(part.resources)
		if !part.worker.Schedulable() || !part.resources.Fits(open) {
			return false
		}
	}
	cl, ok := c.planClaim(j, r.assignments(), victimRule{})
	if !ok {
		return false
	}
	c.startClaim(j, cl, CheckpointGrace)
	return true
}

// dropWaitingReservation drops the reservation of a waiting gang, if it has one.
func (c *Core) dropWaitingReservation(j *job) {
	r := j.waitingReservation
	if r == nil {
		return
	}
	j.waitingReservation = nil
	c.waitingReservations = slices.DeleteFunc(c.waitingReservations, func(o *reservation) bool { return o == r })
	c.unplaceReservation(r)
}

func (c *Core) dropWaitingReservations() {
	for _, r := range slices.Clone(c.waitingReservations) {
		c.dropWaitingReservation(r.job)
	}
}

// migrateForReservation moves one job that blocks a waiting gang's reservation, if
// the job fits elsewhere and the gang gains more than the migration costs.
func (c *Core) migrateForReservation(r *reservation) {
	for _, part := range r.parts {
		for _, g := range part.worker.groups {
			if g.stopping {
				return
			}
		}
	}
	for _, part := range r.parts {
		for _, g := range slices.Clone(part.worker.groups) {
			if c.migrationPaysOff(g, r) {
				c.emitNotice(g.job, part.worker.Name, ReasonMigrated, r.job.id())
				c.endAttempt(g.job, checkpointGrace(g.job), ReasonMigrated)
				return
			}
		}
	}
}

func (c *Core) migrationPaysOff(g *group, r *reservation) bool {
	j := g.job
	if !c.migratable(g) {
		return false
	}
	gain := c.remainingRunTime(j) * time.Duration(max(1, r.job.totalResources().Accelerators))
	if gain <= migrationCost(j) {
		return false
	}
	elsewhere := placement.Request{Gang: j.gang(), View: fleet.Unreserved, Exclude: func(w *fleet.Worker) bool {
		return r.partOn(c.workers[w.Name]) != nil
	}}
	return placement.Find(c.fleet, elsewhere) != nil
}
