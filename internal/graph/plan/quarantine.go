package plan

import (
	"cmp"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// recordFailure counts a failed or stalled run of a unit's task, given by its index within
// the unit, against the worker, which may quarantine the worker. A task that has failed on
// several workers counts against none of them.
func (c *Core) recordFailure(w *worker, u *unit, task int) {
	c.avoidFor(u, w, workerhealth.FailureWindow)
	if !slices.Contains(u.failedOn, w) {
		u.failedOn = append(u.failedOn, w)
	}
	if u.taskFailedOn == nil {
		u.taskFailedOn = map[int][]*worker{}
	}
	if !slices.Contains(u.taskFailedOn[task], w) {
		u.taskFailedOn[task] = append(u.taskFailedOn[task], w)
	}
	if workers := u.taskFailedOn[task]; len(workers) > 1 {
		c.takeBackFailures(u, workers)
		return
	}
	d := w.failures.Record(c.now, u)
	if d == 0 {
		return
	}
	c.emit(Notice{Reason: ReasonWorkerQuarantined, Worker: w.info.ID, Detail: d.String()})
	c.limitQuarantines()
}

// takeBackFailures takes a unit's failures back from workers on which a task of it has failed.
func (c *Core) takeBackFailures(u *unit, workers []*worker) {
	for _, w := range workers {
		before := w.failures.Quarantined(c.now)
		w.failures.TakeBack(u)
		if before && !w.failures.Quarantined(c.now) {
			c.emit(Notice{Reason: ReasonQuarantineLifted, Worker: w.info.ID, Job: u.job.ID, Detail: "its task fails on other workers too"})
		}
	}
}

// shutOutByFailures reports whether a unit would not fit on the workers that are open to
// it even if nothing else ran there, but would on those that failures close to it too.
// Failures then say nothing about where it should run, and waiting would leave workers
// idle. It is false for refusalBackoff after its latest failure or refusal.
func (c *Core) shutOutByFailures(u *unit) bool {
	if len(u.avoidUntil) > 0 && c.now < u.avoidedAt+refusalBackoff || c.emptyRoomFor(u) >= u.taskCount {
		return false
	}
	defer func(before waivers) { u.waived = before }(u.waived)
	u.waived.failures = true
	return c.emptyRoomFor(u) >= u.taskCount
}

// emptyRoomFor returns how many tasks of a unit would fit on the workers that are open to
// it if nothing else ran there, not even tasks of its step.
func (c *Core) emptyRoomFor(u *unit) int {
	room := 0
	for _, w := range c.sortedWorkers {
		if c.eligible(w, u) {
			room += tasksThatFit(w.info.Capacity, u.step)
		}
	}
	return room
}

// maxQuarantined is the largest part of a pool, as a divisor, that is quarantined at a
// time. Where more workers fail runs, the cause is hardly the workers.
const maxQuarantined = 3

// limitQuarantines lifts the quarantines that end first in each pool of which too many
// workers are quarantined.
func (c *Core) limitQuarantines() {
	var quarantined []*worker
	for _, w := range c.sortedWorkers {
		if w.failures.Quarantined(c.now) {
			quarantined = append(quarantined, w)
		}
	}
	slices.SortStableFunc(quarantined, func(a, b *worker) int {
		return cmp.Compare(b.failures.QuarantinedUntil(), a.failures.QuarantinedUntil())
	})
	if len(quarantined) == 0 {
		return
	}
	connected, kept := c.connectedByPool(), map[string]int{}
	for _, w := range quarantined {
		pool := w.info.Pool
		kept[pool]++
		if kept[pool]*maxQuarantined <= connected[pool] {
			continue
		}
		w.failures.EndQuarantine()
		c.emit(Notice{Reason: ReasonQuarantineLifted, Worker: w.info.ID, Detail: "too much of the pool is quarantined"})
	}
}

// connectedByPool returns the number of connected workers of each pool.
func (c *Core) connectedByPool() map[string]int {
	out := map[string]int{}
	for _, w := range c.sortedWorkers {
		if w.connected() {
			out[w.info.Pool]++
		}
	}
	return out
}
