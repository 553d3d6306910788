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
	unit  *unit
	parts []part
	since time.Duration
}

func (cl *claim) on(w *worker) graph.Resources { return sumOn(cl.parts, cl.unit.spec, w) }

func (c *Core) dropClaim(u *unit) {
	if u.claim == nil {
		return
	}
	c.books.claims = slices.DeleteFunc(c.books.claims, func(o *claim) bool { return o == u.claim })
	c.books.full = map[kind]bool{}
	u.claim = nil
}

// useClaim places a unit on its claim once the room there is free, and gives
// the claim up when a worker of it cannot be used any more.
func (c *Core) useClaim(u *unit) {
	cl := u.claim
	for _, p := range cl.parts {
		if !c.usable(p.worker, u) || c.now-cl.since > c.claimTimeout() {
			c.dropClaim(u)
			return
		}
	}
	for _, p := range cl.parts {
		if !cl.on(p.worker).Fits(p.worker.free()) {
			return
		}
	}
	c.dropClaim(u)
	c.begin(u, cl.parts)
}

// option is a way to make room: a place and the units to stop for it.
type option struct {
	parts   []part
	victims []*unit
	loss    float64 // weighted core-seconds
}

// claimRoom stops the work whose loss is least so that a unit fits, unless the
// loss exceeds the limit or the term has just begun.
func (c *Core) claimRoom(u *unit, limit float64, why Reason) bool {
	if !c.hearing(settleTime) {
		return false
	}
	var best *option
	for _, g := range c.groupsFor(u) {
		if o := c.clear(u, g, why); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
	}
	if best == nil || best.loss > limit {
		return false
	}
	u.claim = &claim{unit: u, parts: best.parts, since: c.now}
	c.books.claims = append(c.books.claims, u.claim)
	for _, v := range best.victims {
		c.emit(Notice{Reason: why, Job: v.job.ID, Task: v.taskID(0).String(), Run: v.run, Detail: "for " + string(u.job.ID)})
		c.endRun(v)
	}
	return true
}

// clear finds the victims within a group that open a place with little loss:
// they are added one by one, those with the least loss for what they free
// first, and then those that turned out not to be needed are left out.
func (c *Core) clear(u *unit, g group, why Reason) *option {
	cl := newClearing(u, g)
	candidates := c.victims(u, g, why, cl)
	slices.SortStableFunc(candidates, func(a, b victim) int { return cmp.Compare(a.rate, b.rate) })
	parts := cl.pack()
	taken := 0
	for ; parts == nil && taken < len(candidates); taken++ {
		cl.stop(candidates[taken].unit)
		parts = cl.pack()
	}
	if parts == nil {
		return nil
	}
	o := &option{}
	for i := taken - 1; i >= 0; i-- {
		v := candidates[i]
		cl.keep(v.unit)
		if p := cl.pack(); p != nil {
			parts = p
			continue
		}
		cl.stop(v.unit)
		o.victims = append(o.victims, v.unit)
		o.loss += v.loss
	}
	slices.Reverse(o.victims)
	o.parts = parts
	return o
}

// Weights of lost core-seconds against each other. Work that is thrown away
// counts once; work of a job that misses its objective counts by the job's
// priority, as a short job of the first priority is worth several times as much
// to its caller, for each core-second, as a long one of the second.
const (
	wasteWeight    = 1.7
	firstWeight    = 9.0
	priorityFactor = 3.0 // by which each further priority weighs less
	// lateShare is the part of a job's value that is lost when it is late.
	lateShare = 0.75
)

// value is the weight of a job by its size in core-seconds.
func (j *job) value() float64 {
	size := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		size += s.Estimate.Seconds() * float64(s.Count) * s.Needs.Cores()
	}
	weight := firstWeight
	for range j.Priority {
		weight /= priorityFactor
	}
	return weight * size
}

// loss estimates what is lost if a unit is stopped now and starts anew.
func (c *Core) loss(u *unit) float64 {
	lost := wasteWeight * u.unsaved(c.now)
	left := u.spec.Estimate
	if u.spec.Checkpointable {
		left = u.remaining()
	}
	return lost + c.lateLoss(u.job, c.now+requeueTime+left) - c.lateLoss(u.job, c.now+u.remaining())
}

// requeueTime is how long a unit that was stopped is expected to wait.
const requeueTime = 1500 * time.Millisecond

// lateLoss estimates the value that a job loses if it is completed at a time.
func (c *Core) lateLoss(j *job, at time.Duration) float64 {
	objective := j.Objective()
	switch took := at - j.arrived; {
	case took <= objective:
		return 0
	case took <= lateFactor*objective:
		return lateShare * j.value()
	default:
		return j.value()
	}
}

// preempt makes room for a unit of a higher priority that would miss its
// objective if it waited until the given time, where nothing is lost by it:
// the gain rests on estimates that are often wrong, a loss is certain.
func (c *Core) preempt(u *unit, until time.Duration) bool {
	gain := c.lateLoss(u.job, until+u.spec.Estimate) - c.lateLoss(u.job, c.now+c.cfg.StopTime+reportTime+u.spec.Estimate)
	return gain > 0 && c.claimRoom(u, 0, ReasonPreempted)
}

// reportTime is how long after a stop its room can be used: the end has to be
// reported.
const reportTime = 100 * time.Millisecond
