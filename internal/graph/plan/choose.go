package plan

import (
	"math"
	"slices"
	"time"
)

// Placement by expected end. Candidates are ranked by classes of slowness; within a
// class the tightest fit wins, as the difference in run time is within the error of the
// estimates.

const (
	// slownessClassRatio is the ratio of the slowness of neighbouring classes. It is
	// above the usual error of a known slowness.
	slownessClassRatio = 1.35
	// maxSlownessClass is the class of all workers that are at least six times as slow.
	maxSlownessClass = 6
	// verySlow is the slowness from which on a unit rather waits for another worker,
	// even if its caller loses nothing by the slow one.
	verySlow = 4.0
	// maxFastWait is the time after its submission until which a job of priority 0
	// may wait for faster workers. Within a guarantee its first step must have
	// started 2.9 s after it was accepted, and a claim takes up to 1.2 s.
	maxFastWait = 1200 * time.Millisecond
	// maxDecline is the time for which a unit may decline a place on slow workers. A
	// reserved place may be put off again and again.
	maxDecline = 2 * time.Second
)

// slownessClass returns the class of a slowness, 0 for fast workers.
func slownessClass(slowness float64) int {
	return min(maxSlownessClass, int(math.Log(slowness)/math.Log(slownessClassRatio)+0.5))
}

// candidateSets returns the sets of candidates to try for a unit, in order.
func (c *Core) candidateSets(u *unit, candidates []candidate) [][]candidate {
	var sets [][]candidate
	for _, preferred := range byCrashes(u, candidates) {
		for _, willing := range preferring(preferred, func(w *worker) bool { return !c.refusedLately(u, w) }) {
			sets = append(sets, c.setsByFailuresAndSpeed(u, willing)...)
		}
	}
	return sets
}

// setsByFailuresAndSpeed is candidateSets without regard to crashes.
func (c *Core) setsByFailuresAndSpeed(u *unit, candidates []candidate) [][]candidate {
	sets := c.bySpeed
	if c.decidesBySpeed() {
		sets = c.bySlowness
	}
	if !c.speeds.on {
		return sets(u, candidates)
	}
	elsewhere := c.awayFromFailures(u, candidates)
	if len(elsewhere) == 0 || len(elsewhere) == len(candidates) {
		return sets(u, candidates)
	}
	return append(sets(u, elsewhere), sets(u, candidates)...)
}

// awayFromFailures returns the candidates outside of the racks in which the unit has
// failed or, if there are none, those on which it has not failed.
func (c *Core) awayFromFailures(u *unit, candidates []candidate) []candidate {
	if len(u.failedOn) == 0 {
		return candidates
	}
	var otherRack, otherWorker []candidate
	for _, s := range candidates {
		sameWorker := slices.Contains(u.failedOn, s.worker)
		sameRack := slices.ContainsFunc(u.failedOn, func(w *worker) bool { return w.info.Rack == s.info.Rack })
		if !sameRack {
			otherRack = append(otherRack, s)
		}
		if !sameWorker {
			otherWorker = append(otherWorker, s)
		}
	}
	if len(otherRack) > 0 {
		return otherRack
	}
	return otherWorker
}

// bySlowness returns the sets of candidates to try for a unit, in order. Priority 0 goes
// where it ends soonest, so the sets extend from the fast workers to slower ones. Other
// units go to the slowest workers on which their job loses nothing, each class by
// itself, and only then to the fastest that are left.
func (c *Core) bySlowness(u *unit, candidates []candidate) [][]candidate {
	sorted, ends := c.sortByClass(candidates)
	var sets [][]candidate
	if u.job.Priority > 0 {
		// A very slow worker would be declined by waitForFaster, also while faster ones
		// are idle.
		limit := min(c.affordableSlowness(u), verySlow)
		for class := maxSlownessClass; class >= 0; class-- {
			set := sorted[ends[class]:ends[class+1]]
			if len(set) > 0 && c.slowness(set[0].worker) <= limit {
				sets = append(sets, set)
			}
		}
	}
	for class := 0; class <= maxSlownessClass; class++ {
		if ends[class+1] > ends[class] {
			sets = append(sets, sorted[:ends[class+1]])
		}
	}
	return sets
}

// soonestGang returns the placement of a gang of priority 0 that most probably has no
// slow member. A single slow worker delays the whole gang, so one that is known to be
// fast is better than one of unknown speed, and of those few are better than many.
func (c *Core) soonestGang(u *unit, candidates []candidate, acrossRacks bool) []allocation {
	groups := []workerGroup{{candidates: candidates}}
	if !acrossRacks {
		groups = groupByRack(candidates)
	}
	var best []allocation
	bestSpeed, bestLeft := 0.0, 0.0
	for _, g := range groups {
		allocs := c.packFastFirst(u, g.candidates)
		if allocs == nil {
			continue
		}
		speed, left := c.gangSpeed(allocs), availableCores(g.candidates)
		if best == nil || speed > bestSpeed || speed == bestSpeed && left < bestLeft {
			best, bestSpeed, bestLeft = allocs, speed, left
		}
	}
	return best
}

// packFastFirst packs a gang onto the faster candidates first, or returns nil if it does
// not fit.
func (c *Core) packFastFirst(u *unit, candidates []candidate) []allocation {
	sorted, ends := c.sortByClass(candidates)
	perWorker := u.tasksPerWorker()
	var out []allocation
	tasks := u.taskCount
	for class := 0; class <= maxSlownessClass && tasks > 0; class++ {
		set := sorted[ends[class]:ends[class+1]]
		room := 0
		for _, s := range set {
			room += tasksThatFitBeside(s, u.step, perWorker)
		}
		if n := min(tasks, room); n > 0 {
			out = append(out, packTasks(set, u.step, n, perWorker)...)
			tasks -= n
		}
	}
	if tasks > 0 {
		return nil
	}
	return out
}

// gangSpeed returns the expected speed of a gang, in steps within which the fit decides.
func (c *Core) gangSpeed(allocs []allocation) float64 {
	fast := 1.0
	for _, a := range allocs {
		fast *= a.worker.speedState.estimate.FastProbability(c.now)
	}
	slow := max(c.slowestOf(allocs), unknownSlowness)
	return math.Round(gangSpeedSteps * (fast + (1-fast)/slow))
}

const (
	// gangSpeedSteps is the number of steps between a stopped and a fast gang.
	gangSpeedSteps = 10
	// unknownSlowness is the slowness to expect of a worker that turns out to be slow.
	unknownSlowness = 2.0
)

// sortByClass returns candidates by class of slowness; class k is at ends[k] to
// ends[k+1].
func (c *Core) sortByClass(candidates []candidate) (sorted []candidate, ends [maxSlownessClass + 2]int) {
	for _, s := range candidates {
		ends[c.slownessClass(s.worker)+1]++
	}
	for class := range maxSlownessClass + 1 {
		ends[class+1] += ends[class]
	}
	sorted = make([]candidate, len(candidates))
	next := ends
	for _, s := range candidates {
		class := c.slownessClass(s.worker)
		sorted[next[class]] = s
		next[class]++
	}
	return sorted, ends
}

// affordableSlowness returns the slowness up to which the unit's job still has all of
// its value, or as much as it can still have.
func (c *Core) affordableSlowness(u *unit) float64 {
	left := u.job.remainingPath()
	cost := costOf(u.job)
	for _, by := range []time.Duration{cost.DueAt(), cost.WorthlessAt()} {
		if left > 0 && c.now+left <= by {
			return float64(by-c.now) / float64(left)
		}
	}
	return math.Inf(1)
}

// fastEnough reports whether a worker is within the limit of a search for a faster
// placement of a unit.
func (c *Core) fastEnough(w *worker, u *unit) bool {
	return u.maxSlowness == 0 || c.likelySlowness(u, w) <= u.maxSlowness
}

// likelySlowness returns the expected slowness of a worker or, for priority 0, the most
// probable one: its jobs have value only on fast workers.
func (c *Core) likelySlowness(u *unit, w *worker) float64 {
	if u.job.Priority == 0 && w.speedState.estimate.FastProbability(c.now) > likelyFast {
		return 1
	}
	return c.slowness(w)
}

// likelyFast is the probability of being fast above which a worker counts as fast in a
// search for priority 0. That of an unknown worker is above it.
const likelyFast = 0.6

// withMaxSlowness calls fn while only workers up to a slowness are candidates for the
// unit.
func (u *unit) withMaxSlowness(limit float64, fn func()) {
	u.maxSlowness = limit
	fn()
	u.maxSlowness = 0
}

// endLoss returns what the unit's job loses if the unit starts at the given time on
// workers of the given slowness.
func (c *Core) endLoss(u *unit, start time.Duration, slowness float64) float64 {
	after := u.job.remainingPath() - u.runTime()
	return costOf(u.job).Loss(start + scale(u.runTime(), slowness) + max(0, after))
}

// waitForFaster reserves a place on faster workers for a unit that fits now, if its job
// loses less by waiting for it. It reports whether it did.
func (c *Core) waitForFaster(u *unit, allocs []allocation) bool {
	slowest := c.slowestOf(allocs)
	if c.idleFor(u.job, maxIdleFleetWait) || !c.decidesBySpeed() || slowest < slownessClassRatio {
		return false
	}
	lossNow := c.endLoss(u, c.now, slowest)
	if lossNow == 0 && slowest < verySlow {
		return false
	}
	if slowest < verySlow && c.endLoss(u, c.now, 1) >= lossNow {
		return false // no start on any worker loses less
	}
	var r *reservation
	u.withMaxSlowness(slowest/slownessClassRatio, func() { r = c.earliestReservation(u) })
	if u.declinedSince == 0 {
		u.declinedSince = c.now
	}
	if r == nil || c.now-u.declinedSince > maxDecline || u.job.Priority == 0 && r.expectedStart > u.job.arrivedAt+maxFastWait {
		return false
	}
	reserved := c.slowestReserved(r)
	sooner := r.expectedStart+scale(u.runTime(), reserved) < c.now+scale(u.runTime(), slowest)
	if c.endLoss(u, r.expectedStart, reserved) >= lossNow && !(slowest >= verySlow && sooner) {
		return false
	}
	c.addReservation(r)
	return true
}

// slowestReserved returns the slowness of the slowest worker of a reservation.
func (c *Core) slowestReserved(r *reservation) float64 {
	slowest := 1.0
	for w := range r.needs {
		slowest = max(slowest, c.slowness(w))
	}
	return slowest
}

// expectedEndOf returns the time when a reservation's unit ends.
func (c *Core) expectedEndOf(r *reservation) time.Duration {
	return r.expectedStart + scale(r.unit.runTime(), c.slowestReserved(r))
}

// reservationGroups returns the groups in which to look for a reservation: besides each
// group, its fastest workers alone.
func (c *Core) reservationGroups(u *unit) []workerGroup {
	groups := c.candidateGroups(u)
	if !c.decidesBySpeed() {
		return groups
	}
	out := make([]workerGroup, 0, 2*len(groups))
	for _, g := range groups {
		if fastest := c.fastestOf(g.candidates); len(fastest) < len(g.candidates) {
			out = append(out, workerGroup{name: g.name, candidates: fastest})
		}
		out = append(out, g)
	}
	return out
}

// fastestOf returns the candidates of the lowest class of slowness.
func (c *Core) fastestOf(candidates []candidate) []candidate {
	least, count := maxSlownessClass, 0
	for _, s := range candidates {
		switch class := c.slownessClass(s.worker); {
		case class < least:
			least, count = class, 1
		case class == least:
			count++
		}
	}
	if count == len(candidates) {
		return candidates
	}
	fastest := make([]candidate, 0, count)
	for _, s := range candidates {
		if c.slownessClass(s.worker) == least {
			fastest = append(fastest, s)
		}
	}
	return fastest
}

// fastEviction is evictionFor without a limit of the loss, if possible on workers on
// which the unit's job loses nothing.
func (c *Core) fastEviction(u *unit, reason Reason) *evictionPlan {
	if limit := c.affordableSlowness(u); c.decidesBySpeed() && limit >= 1 && !math.IsInf(limit, 1) {
		var p *evictionPlan
		u.withMaxSlowness(limit, func() { p = c.evictionFor(u, math.Inf(1), reason) })
		if p != nil {
			return p
		}
	}
	return c.evictionFor(u, math.Inf(1), reason)
}
