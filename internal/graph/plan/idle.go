package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Reservations, racks and failures of workers are reasons to wait for a better place. A job
// that has nothing running while most of its pool is idle waits for these only for a time,
// and then uses what is free: callers expect it to run within 3 s.

const (
	// lastResortWait is the time on an idle pool after which a gang of one rack is spread
	// over several, where it runs longer, and a unit on its last attempt uses workers with
	// failures, and one that has crashed workers may run beside another such.
	lastResortWait = 2200 * time.Millisecond
	// maxLoan is how long a unit waits before it stops those that were started in the room
	// reserved for it.
	maxLoan = time.Minute
)

// waivers are the preferences that a search for a place leaves out of account.
type waivers struct {
	failures     bool // of workers
	reservations bool // of other units
	racks        bool // for a gang of one rack
	suspects     bool // among the tasks that have crashed workers
}

// updateIdleJobs records since when jobs have had nothing running while their pool is idle.
func (c *Core) updateIdleJobs() {
	idle := map[string]bool{}
	for _, j := range c.activeJobs {
		if !j.standsStill(c.now) {
			j.endIdleWait()
			continue
		}
		if _, known := idle[j.Pool]; !known {
			idle[j.Pool] = c.poolIsIdle(j.Pool)
		}
		switch {
		case !idle[j.Pool]:
			j.endIdleWait()
		case j.idleSince == 0:
			j.idleSince = max(1, c.now)
		}
	}
}

// endIdleWait records that something of the job runs, or that its pool is not idle.
func (j *job) endIdleWait() { j.idleSince, j.idleBefore = 0, 0 }

// standsStill reports whether nothing of a job runs while a unit could. A unit that is placed
// does not run before its worker tells: it may still be refused.
func (j *job) standsStill(now time.Duration) bool {
	waits := false
	for _, u := range j.units {
		if slices.ContainsFunc(u.members, func(m *member) bool { return !m.ended && (m.running || m.accepted || m.recovered) }) {
			return false
		}
		waits = waits || u.phase == unitPlaced || u.isReady(now)
	}
	return waits
}

// hasRuns reports whether a unit of the job is placed and its runs have not ended.
func (j *job) hasRuns() bool {
	return slices.ContainsFunc(j.units, func(u *unit) bool { return u.phase == unitPlaced && !u.onlyAwaitsCalls() })
}

// poolIsIdle reports whether runs use less than idleFleetPart of a pool's connected workers,
// whether or not these may get work.
func (c *Core) poolIsIdle(pool string) bool {
	var used, total float64 // core equivalents
	for _, w := range c.sortedWorkers {
		if w.info.Pool == pool && w.connected() {
			used += w.inUse().Cores()
			total += w.info.Capacity.Cores()
		}
	}
	return used < idleFleetPart*total
}

// inUse returns what runs use of a worker. Runs that are being stopped and that its last list
// does not show hold their room until their outcome is known, which may take long at a worker
// that leaves orders unanswered; to callers that room is free.
func (w *worker) inUse() graph.Resources {
	sum := w.used.Add(w.unknownUse)
	if w.stopping == 0 {
		return sum
	}
	for _, m := range w.members {
		if m.stopping && !m.listedLast() {
			sum = sum.Sub(m.unit.step.Needs)
		}
	}
	return sum
}

// idleFor reports whether a job has had nothing running on an idle pool for d. Once a unit of
// it is placed, the others wait like those of other jobs.
//
// A wait that began in an earlier term goes on in this one once nearly all workers have
// reported: whether the pool was idle then is not known.
func (c *Core) idleFor(j *job, d time.Duration) bool {
	if j.idleSince == 0 || j.hasRuns() {
		return false
	}
	waited := c.now - j.idleSince
	if c.firstReportOlderThan(preemptionDelay) {
		waited += j.idleBefore
	}
	return waited >= d
}

// searchWithWaivers looks for a place without one preference after the other, as far as the
// job's wait on an idle pool allows.
func (c *Core) searchWithWaivers(u *unit) []allocation {
	if !c.idleFor(u.job, maxIdleFleetWait) {
		return nil
	}
	defer func(before waivers) { u.waived = before }(u.waived)
	u.waived.reservations = true
	if allocs := c.searchCandidates(u); allocs != nil {
		return allocs
	}
	if u.step.SameRack && c.idleFor(u.job, lastResortWait) {
		u.waived.racks = true
		if allocs := c.searchCandidates(u); allocs != nil {
			return allocs
		}
	}
	lastResort := c.idleFor(u.job, lastResortWait)
	if !u.waived.failures && (lastResort || !u.onLastAttempt()) {
		u.waived.failures = true
		if allocs := c.searchCandidates(u); allocs != nil {
			return allocs
		}
	}
	if !lastResort || !u.crashes.mayRunBesideSuspects() {
		return nil
	}
	u.waived.suspects = true
	return c.searchCandidates(u)
}

// borrow records whose reserved room a placement takes, and reports what it leaves out of
// account.
func (c *Core) borrow(u *unit, allocs []allocation) {
	u.lenders, u.hasLent = nil, false
	if !c.idleFor(u.job, maxIdleFleetWait) {
		return
	}
	for _, a := range allocs {
		if u.step.Needs.Times(a.tasks).Fits(c.availableFor(a.worker, u)) {
			continue
		}
		for _, r := range a.worker.reserved {
			if r.unit != u && !slices.Contains(u.lenders, r.unit) {
				u.lenders = append(u.lenders, r.unit)
				r.unit.hasLent = true
			}
		}
	}
	if waived := c.describeWaivers(u, allocs); waived != "" {
		c.emit(Notice{Reason: ReasonIdleWaitEnded, Job: u.job.ID, Task: u.taskID(0).String(), Run: u.run,
			Detail: fmt.Sprintf("nothing ran for %v on an idle pool; %s", c.now-u.job.idleSince, waived)})
	}
}

// describeWaivers returns which preferences a placement leaves out of account.
func (c *Core) describeWaivers(u *unit, allocs []allocation) string {
	var out []string
	for _, l := range u.lenders {
		out = append(out, "in room reserved for "+l.taskID(0).String())
	}
	if u.step.SameRack && spansRacks(allocs) && c.fitsEmptyRack(u) {
		out = append(out, "spread over racks")
	}
	switch {
	case slices.ContainsFunc(allocs, func(a allocation) bool { return c.conflictsWithSuspects(u, a.worker) }):
		out = append(out, "beside tasks that have crashed workers")
	case slices.ContainsFunc(allocs, func(a allocation) bool { return !c.eligible(a.worker, u) }):
		out = append(out, "on workers with failures")
	}
	return strings.Join(out, ", ")
}

func spansRacks(allocs []allocation) bool {
	return slices.ContainsFunc(allocs, func(a allocation) bool { return a.worker.info.Rack != allocs[0].worker.info.Rack })
}

// recallPlan returns the plan to stop the units that were started in the room reserved for
// a unit, if it has waited for maxLoan and would then fit, or nil. Others may otherwise be
// started there without end.
func (c *Core) recallPlan(u *unit) *evictionPlan {
	if !u.hasLent || u.waits.since == 0 || c.now-u.waits.since < maxLoan {
		return nil
	}
	return c.evictionFor(u, math.Inf(1), ReasonRecalled)
}
