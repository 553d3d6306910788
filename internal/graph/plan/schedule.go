package plan

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// schedulingState holds the reservations and cached results of the current
// scheduling pass.
type schedulingState struct {
	reservations []*reservation
	releases     releaseList
	// noRoom holds the kinds of units that could not be placed in this pass.
	// Available resources only shrink within a pass, unless a claim is dropped.
	noRoom map[unitKind]bool
	// withinGuarantee is the result of jobsWithinGuarantee in this pass.
	withinGuarantee map[*job]bool
	delay           delayState
	// fleetIdle is the result of fleetIsIdle in this pass, nil before its first call.
	fleetIdle *bool
}

// unitKind holds everything that the placement of a unit depends on, except the
// workers that it avoids.
type unitKind struct {
	step        *graph.Step
	lastAttempt bool
}

// schedule runs one scheduling pass over all waiting units.
func (c *Core) schedule() {
	if c.policy == nil || !c.firstReportOlderThan(placementDelay) {
		return
	}
	c.clearReservations()
	c.sched.releases = releaseList{}
	c.sched.noRoom = map[unitKind]bool{}
	c.sched.withinGuarantee = c.jobsWithinGuarantee()
	c.sched.delay = delayState{}
	c.sched.fleetIdle = nil
	c.updateHeadroom()
	c.updateIdleJobs()
	for _, u := range c.waitingUnits(c.sched.withinGuarantee) {
		c.placeUnit(u, c.sched.withinGuarantee[u.job])
	}
}

// waitingUnits returns the units that are ready to start, in scheduling order.
func (c *Core) waitingUnits(withinGuarantee map[*job]bool) []*unit {
	var out []*unit
	orders := map[*job]jobOrder{}
	for _, j := range c.activeJobs {
		for _, u := range j.units {
			if u.isReady(c.now) {
				out = append(out, u)
				orders[j] = jobOrder{}
			}
		}
	}
	if c.ordersByCost() {
		c.prepareDelayState(orders)
	}
	for j := range orders {
		orders[j] = c.orderOf(j, withinGuarantee[j])
	}
	slices.SortStableFunc(out, func(a, b *unit) int { return orders[a.job].compare(orders[b.job]) })
	if c.ordersByCost() {
		c.reportYields(out, orders)
	}
	return out
}

// jobsWithinGuarantee returns the jobs of priority 0 that fit into the guarantee of
// their account, which is assigned to the oldest jobs first.
func (c *Core) jobsWithinGuarantee() map[*job]bool {
	out := map[*job]bool{}
	left := map[string]int{}
	for _, j := range c.activeJobs {
		if j.Priority != 0 {
			continue
		}
		if _, ok := left[j.Account]; !ok {
			left[j.Account] = c.policy.GuaranteedAccelerators(j.Account)
		}
		if need := j.maxAccelerators(); need <= left[j.Account] {
			left[j.Account] -= need
			out[j] = true
		}
	}
	return out
}

// maxAccelerators returns the largest number of accelerators that a step of the
// job needs at once.
func (j *job) maxAccelerators() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].TotalNeeds().Accelerators)
	}
	return most
}

// placeUnit places a unit if it fits. Otherwise it reclaims resources for a unit
// within a guarantee, or makes a reservation and tries preemption.
func (c *Core) placeUnit(u *unit, withinGuarantee bool) {
	if u.claim != nil {
		c.useClaim(u)
		return
	}
	if allocs := c.findPlacement(u); allocs != nil {
		if !c.waitForFaster(u, allocs) {
			c.bind(u, allocs)
		}
		return
	}
	if withinGuarantee && c.claimByEviction(u, c.fastEviction(u, ReasonReclaimed), ReasonReclaimed) {
		c.useClaim(u)
		return
	}
	reserved := c.reserve(u)
	if c.claimByEviction(u, c.recallPlan(u), ReasonRecalled) {
		c.useClaim(u)
		return
	}
	if reserved != nil && c.claimByEviction(u, c.preemptionFor(u, reserved.expectedStart), ReasonPreempted) {
		c.useClaim(u)
		return
	}
	c.reportWait(u, reserved)
}

// findPlacement returns the placement of a unit that fits now, or nil.
func (c *Core) findPlacement(u *unit) []allocation {
	k := unitKind{u.step, u.onLastAttempt()}
	if c.sched.noRoom[k] {
		return nil
	}
	if c.mightFit(u) {
		if allocs := c.searchPlacement(u); allocs != nil {
			return allocs
		}
	}
	if !u.avoidsWorkers() && u.crashes.most() == 0 {
		c.sched.noRoom[k] = true
	}
	return nil
}

// searchPlacement is findPlacement without its shortcuts. A unit that workers with
// failures shut out may use them, like any other that has waited for refusalBackoff. One
// whose job stands still on an idle pool waives other preferences too.
func (c *Core) searchPlacement(u *unit) []allocation {
	if allocs := c.searchCandidates(u); allocs != nil {
		return allocs
	}
	defer func(before waivers) { u.waived = before }(u.waived)
	if c.shutOutByFailures(u) {
		u.waived.failures = true
		if allocs := c.searchCandidates(u); allocs != nil {
			return allocs
		}
	}
	return c.searchWithWaivers(u)
}

// searchCandidates returns the first place for a unit in the order of the sets of
// candidates, or nil.
func (c *Core) searchCandidates(u *unit) []allocation {
	acrossRacks := u.waived.racks || !c.fitsEmptyRack(u)
	for _, candidates := range c.candidateSets(u, c.candidates(u)) {
		if allocs := bestPlacement(u, candidates, acrossRacks); allocs != nil {
			return allocs
		}
	}
	return nil
}

// mightFit reports whether the unit would fit if all workers were eligible, except
// headroom that is closed to it, and nothing were claimed or reserved. This cheap
// check rejects most units while the fleet is busy.
func (c *Core) mightFit(u *unit) bool {
	n := 0
	closed := c.headroomClosedTo(u)
	for _, w := range c.sortedWorkers {
		if closed && c.headroom.marked[w] {
			continue
		}
		n += tasksThatFit(w.free(), u.step)
		if n >= u.taskCount {
			return true
		}
	}
	return false
}

// fitsEmptyRack reports whether some rack could hold the unit if nothing else ran
// there. It is true for units that need not share a rack.
func (c *Core) fitsEmptyRack(u *unit) bool {
	if !u.step.SameRack {
		return true
	}
	perWorker := u.tasksPerWorker()
	roomByRack := map[string]int{}
	for _, w := range c.sortedWorkers {
		if !c.eligible(w, u) {
			continue
		}
		roomByRack[w.info.Rack] += tasksThatFitBeside(candidate{w, w.info.Capacity}, u.step, perWorker)
		if roomByRack[w.info.Rack] >= u.taskCount {
			return true
		}
	}
	return false
}

// bind assigns a unit to its workers. The starts are ordered once the placement is
// saved.
func (c *Core) bind(u *unit, allocs []allocation) {
	c.learnRequeueWait(u)
	c.sched.releases.valid = false
	u.declinedSince = 0
	u.waits = waitReports{}
	u.run = c.nextRunNumber()
	c.useHeadroom(u, allocs)
	c.borrow(u, allocs)
	u.phase = unitPlaced
	u.runDone, u.runFailed, u.stopping, u.speedsLearned = false, false, false, false
	u.crashes.beginRun()
	u.history = runHistory{placedAt: c.now}
	u.endEstimatedAt = 0
	i := 0
	for _, p := range allocs {
		besideSuspects := c.conflictsWithSuspects(u, p.worker)
		for range p.tasks {
			m := &member{besideSuspects: besideSuspects, unit: u, task: u.taskID(i), run: u.run, worker: p.worker, incarnation: p.worker.info.Incarnation()}
			u.members = append(u.members, m)
			c.occupy(m)
			c.emit(Notice{Reason: ReasonPlaced, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: p.worker.info.ID, Size: u.sizeAt(i)})
			i++
		}
	}
	c.savePlacement(u, u.members)
}

// savePlacement saves the placement of a unit and then orders its starts.
func (c *Core) savePlacement(u *unit, members []*member) {
	u.placedAt = c.now
	u.job.placedAt = c.cfg.TermStart.Add(c.now)
	c.requestSaveOf(u.job, afterSave{
		stored:   func() { c.startRun(u, members) },
		rejected: func() { c.abandonRun(u, members, causeSaveRejected) },
	})
}

// startRun orders the starts of a run whose placement is saved. If one member can
// no longer start, none is started.
func (c *Core) startRun(u *unit, members []*member) {
	for _, m := range members {
		if !c.canStart(m) {
			c.abandonRun(u, members, c.whyNotStarted(m))
			return
		}
	}
	if !roomToStart(u, members) {
		c.abandonRun(u, members, causeCapacityShrunk)
		return
	}
	if c.now-u.placedAt > maxPlacementAge {
		c.savePlacement(u, members)
		return
	}
	for _, m := range members {
		if w := m.worker; !m.ended {
			m.startSent, m.callsUntil = true, c.callsOfOrder()
			m.orderSession = w.session
			m.lastOrderAt, m.lastProgressAt = c.now, c.now
			m.startedAt, m.startedAfresh = c.now, u.resumeCheckpoint() == ""
			first := !u.job.started
			u.job.started = true
			c.emit(StartRun{Worker: w.info.ID, Incarnation: m.incarnation, Task: m.task, Run: m.run, Spec: u.job.Spec, Checkpoint: u.resumeCheckpoint(),
				Capacity:   w.info.Capacity,
				FirstOfJob: first, Guaranteed: first && c.jobsWithinGuarantee()[u.job], QueueTime: c.now - u.job.arrivedAt})
		}
	}
}

// canStart reports whether a member may still start. While its placement was being
// saved, its job may have been cancelled or moved to another service, or its worker or zone become
// unavailable.
func (c *Core) canStart(m *member) bool {
	w := m.worker
	return !m.stopping && !m.ended && w.connected() && m.incarnation == w.info.Incarnation() &&
		!w.info.Draining && !c.policy.ZonesOut[w.info.Zone] && w.info.Pool == m.unit.job.Pool
}

// roomToStart reports whether the workers still have room for a run whose start has not
// been sent. A capacity may have shrunk while the placement was being saved.
func roomToStart(u *unit, members []*member) bool {
	for _, m := range members {
		w := m.worker
		use := w.unknownUse
		for _, o := range w.members {
			if o.unit == u || o.startSent || o.recovered {
				use = use.Add(o.unit.step.Needs)
			}
		}
		if !use.Fits(w.info.Capacity) {
			return false
		}
	}
	return true
}

// abandonRun ends a run for which no start has been ordered.
func (c *Core) abandonRun(u *unit, members []*member, cause string) {
	for _, m := range members {
		c.endMemberFor(m, graph.EndNeverStarted, "", cause)
	}
	c.requestSave(u.job, nil)
}

func (u *unit) resumeCheckpoint() string {
	if !u.step.Checkpointable {
		return ""
	}
	return u.checkpoint
}
