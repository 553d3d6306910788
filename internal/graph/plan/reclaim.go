package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// claimSlack is how long a claim waits for its victims beyond the time of a
// stop, for orders and reports on their way; a claim on a worker that does not
// answer is made elsewhere then.
const claimSlack = 800 * time.Millisecond

// claimTimeout is how long a claim waits for its victims.
func (c *Core) claimTimeout() time.Duration { return c.cfg.StopTime + claimSlack }

// claim is a place for a unit where other work is being stopped.
type claim struct {
	unit   *unit
	allocs []allocation
	madeAt time.Duration
}

func (cl *claim) neededOn(w *worker) graph.Resources { return needsOn(cl.allocs, cl.unit.step, w) }

func (c *Core) dropClaim(u *unit) {
	if u.claim == nil {
		return
	}
	c.sched.claims = slices.DeleteFunc(c.sched.claims, func(o *claim) bool { return o == u.claim })
	c.sched.noRoom = map[unitKind]bool{}
	u.claim = nil
}

// useClaim places a unit on its claim once the room there is free, and gives
// the claim up when a worker of it cannot be used any more.
func (c *Core) useClaim(u *unit) {
	cl := u.claim
	for _, p := range cl.allocs {
		if !c.eligible(p.worker, u) || c.now-cl.madeAt > c.claimTimeout() {
			c.dropClaim(u)
			return
		}
	}
	for _, p := range cl.allocs {
		if !cl.neededOn(p.worker).Fits(p.worker.free()) {
			return
		}
	}
	c.dropClaim(u)
	c.bind(u, cl.allocs)
}

// evictionPlan is a way to make room: a place and the units to stop for it.
type evictionPlan struct {
	allocs  []allocation
	victims []*unit
	loss    float64 // weighted core-seconds
}

// claimRoom stops the work whose loss is least so that a unit fits, unless the
// loss exceeds the limit or the term has just begun.
func (c *Core) claimRoom(u *unit, limit float64, why Reason) bool {
	if !c.firstReportOlderThan(preemptionDelay) {
		return false
	}
	var best *evictionPlan
	for _, g := range c.candidateGroups(u) {
		if o := c.planEviction(u, g, why); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
	}
	if best == nil || best.loss > limit {
		return false
	}
	u.claim = &claim{unit: u, allocs: best.allocs, madeAt: c.now}
	c.sched.claims = append(c.sched.claims, u.claim)
	for _, v := range best.victims {
		c.emit(Notice{Reason: why, Job: v.job.ID, Task: v.taskID(0).String(), Run: v.run, Detail: "for " + string(u.job.ID)})
		c.stopRun(v)
	}
	return true
}

// planEviction finds the victims within a group that open a place with little loss:
// they are added one by one, those with the least loss for what they free
// first, and then those that turned out not to be needed are left out.
func (c *Core) planEviction(u *unit, g workerGroup, why Reason) *evictionPlan {
	trial := newEvictionTrial(u, g)
	victims := c.evictableUnits(u, g, why, trial)
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.lossPerCore, b.lossPerCore) })
	allocs := trial.allocate()
	evicted := 0
	for ; allocs == nil && evicted < len(victims); evicted++ {
		trial.evict(victims[evicted].unit)
		allocs = trial.allocate()
	}
	if allocs == nil {
		return nil
	}
	plan := &evictionPlan{}
	for i := evicted - 1; i >= 0; i-- {
		v := victims[i]
		trial.restore(v.unit)
		if p := trial.allocate(); p != nil {
			allocs = p
			continue
		}
		trial.evict(v.unit)
		plan.victims = append(plan.victims, v.unit)
		plan.loss += v.loss
	}
	slices.Reverse(plan.victims)
	plan.allocs = allocs
	return plan
}

// Weights of lost core-seconds against each other. Work that is thrown away
// counts once; work of a job that misses its objective counts by the job's
// priority, as a short job of the first priority is worth several times as much
// to its caller, for each core-second, as a long one of the second.
const (
	wasteWeight       = 1.7
	topPriorityWeight = 9.0
	priorityDivisor   = 3.0 // by which each further priority weighs less
	// lateLossShare is the part of a job's value that is lost when it is late.
	lateLossShare = 0.75
)

// value is the weight of a job by its size in core-seconds.
func (j *job) value() float64 {
	size := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		size += s.Estimate.Seconds() * float64(s.Count) * s.Needs.Cores()
	}
	weight := topPriorityWeight
	for range j.Priority {
		weight /= priorityDivisor
	}
	return weight * size
}

// evictionLoss estimates what is lost if a unit is stopped now and starts anew.
func (c *Core) evictionLoss(u *unit) float64 {
	lost := wasteWeight * u.unsavedCoreSeconds(c.now)
	left := u.step.Estimate
	if u.step.Checkpointable {
		left = u.remaining()
	}
	return lost + c.lateLoss(u.job, c.now+requeueDelay+left) - c.lateLoss(u.job, c.now+u.remaining())
}

// requeueDelay is how long a unit that was stopped is expected to wait.
const requeueDelay = 1500 * time.Millisecond

// lateLoss estimates the value that a job loses if it is completed at a time.
func (c *Core) lateLoss(j *job, at time.Duration) float64 {
	objective := j.Objective()
	switch took := at - j.arrivedAt; {
	case took <= objective:
		return 0
	case took <= worthlessFactor*objective:
		return lateLossShare * j.value()
	default:
		return j.value()
	}
}

// preempt makes room for a unit of a higher priority that would miss its
// objective if it waited until the given time, where nothing is lost by it:
// the gain rests on estimates that are often wrong, a loss is certain.
func (c *Core) preempt(u *unit, until time.Duration) bool {
	gain := c.lateLoss(u.job, until+u.step.Estimate) - c.lateLoss(u.job, c.now+c.cfg.StopTime+endReportDelay+u.step.Estimate)
	return gain > 0 && c.claimRoom(u, 0, ReasonPreempted)
}

// endReportDelay is how long after a stop its room can be used: the end has to be
// reported.
const endReportDelay = 100 * time.Millisecond
