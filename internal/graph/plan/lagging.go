package plan

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// Runs that lag far behind the expected run time and their siblings are stopped and
// placed elsewhere if they then end sooner. There is never a second copy.

const (
	// minSilence is the time without progress from which on it counts as a bound on
	// the rate. Agents report every second.
	minSilence = 1500 * time.Millisecond
	// minObserved is the time for which a run is observed before it is moved.
	minObserved = 500 * time.Millisecond
	// minLag is the least ratio of the rate that a run would have on a fast worker to
	// the one that it has, for a run whose job gains nothing by a move. Most of its
	// work is then repeated by the time that it would take to end.
	minLag = 3.0
	// moveMargin is the factor by which a moved run has to end sooner. A place that is
	// expected to be open may be taken, and the rate may differ.
	moveMargin = 1.25
	// lagSigmas is the distance in standard deviations by which the expected rate is
	// taken to be lower than estimated.
	lagSigmas = 1.5
	// maxMoves limits the moves of a unit, as each may discard work.
	maxMoves = 2
	// minLeft is the remaining run time below which no run is moved.
	minLeft = 1500 * time.Millisecond
)

// lag describes the member that holds a unit back.
type lag struct {
	member   *member
	left     time.Duration // expected time until it is done where it is
	rate     float64       // percent per second, as an upper bound
	fastRate float64       // percent per second on a fast worker, as a lower bound
	ratio    float64       // fastRate to the member's rate
	silent   bool          // without progress
}

// moveLagging moves a unit that lags, if it then ends sooner.
func (c *Core) moveLagging(u *unit) {
	if !c.speeds.on || u.stopping || u.claim != nil || u.moves >= maxMoves {
		return
	}
	l, ok := c.lagOf(u)
	if !ok {
		return
	}
	u.avoidWorker(l.member.worker.info.ID, c.now+lagAvoidance)
	target, ok := c.findMove(u, l)
	if !ok {
		delete(u.avoidUntil, l.member.worker.info.ID)
		return
	}
	c.emit(Notice{Reason: ReasonRunLagging, Job: u.job.ID, Task: l.member.task.String(), Run: l.member.run, Worker: l.member.worker.info.ID,
		Detail: fmt.Sprintf("at %d %%, %.1f times slower than expected, %v left there, ends elsewhere in %v", l.member.percent, l.ratio, l.left, target.left)})
	u.moves++
	if l.silent {
		c.recordStandstill(l.member)
		c.recordFailure(l.member.worker, u, l.member.index())
	} else {
		c.addReading(l.member, workerhealth.Reading{LogRate: math.Log(l.rate), Variance: lagVariance})
	}
	if target.allocs != nil {
		c.makeClaim(u, target.allocs)
	}
	u.history.stopFor(string(ReasonRunLagging))
	c.stopRun(u)
}

// lagVariance is the variance of the logarithm of the rate of a run that is moved. Its
// progress may be a few percent only.
const lagVariance = 0.3 * 0.3

// lagAvoidance is the time for which a moved unit avoids the worker where it lagged.
const lagAvoidance = 12 * time.Second

// lagOf returns how far the member of a unit lags that has most time left; ok is false
// if there is nothing to compare it with or it does not lag. On an even fleet only a lag
// of minLag counts.
func (c *Core) lagOf(u *unit) (l lag, ok bool) {
	for _, m := range u.members {
		w := m.worker
		if !m.running || m.ended || m.stopping || !w.connected() || c.now-w.lastReportAt > maxReportAge {
			return lag{}, false
		}
		if c.now-m.runningSince < minObserved {
			continue
		}
		r, silent := m.currentRate()
		if m.percent >= 99 || r <= 0 {
			continue
		}
		if left := m.listedAt + scale(time.Second, float64(100-m.percent)/r) - c.now; left > l.left {
			l = lag{member: m, left: left, rate: r, silent: silent}
		}
	}
	if l.member != nil && c.beganInStandstill(l.member) {
		l.silent = true
	}
	if l.member == nil || l.left < minLeft || !c.decidesBySpeed() && !l.silent && 100/l.rate < minLag*u.runTime().Seconds() {
		return lag{}, false
	}
	if l.fastRate = c.fastRate(l.member, l.silent); l.fastRate == 0 {
		return lag{}, false
	}
	l.ratio = l.fastRate / l.rate
	if !c.decidesBySpeed() {
		return l, l.ratio > minLag
	}
	return l, l.ratio > slownessClassRatio
}

// fastRate returns the rate of a member on a fast worker, in percent per second, as a lower
// bound; 0 if it is not known. The estimate counts only where the worker is known to stand
// still: elsewhere a silent run may as well take many times longer than estimated.
func (c *Core) fastRate(m *member, silent bool) float64 {
	rate := 0.0
	if mean, variance, ok := c.comparisonOf(m.unit).LogRate(); ok {
		rate = math.Exp(mean - lagSigmas*math.Sqrt(variance))
	}
	switch {
	case silent && m.stepTime > 0:
		rate = max(rate, 1/m.stepTime.Seconds())
	case rate == 0 && c.beganInStandstill(m) && m.unit.runTime() > 0:
		rate = 100 / m.unit.runTime().Seconds()
	}
	return rate
}

// beganInStandstill reports whether a member has shown nothing since it began on a worker
// that stands still.
func (c *Core) beganInStandstill(m *member) bool {
	return m.shownStep() == 0 && m.listedAt-m.lastProgressAt >= minSilence && m.worker.standsStill.covers(m.runningSince, c.now)
}

// currentRate returns the progress of a member in percent per second, as an upper bound
// since the percentage is rounded down, and whether that is limited by the time since its progress has last changed.
func (m *member) currentRate() (rate float64, silent bool) {
	if since := m.rateSince(); m.listedAt > since {
		rate = float64(m.percent+1-m.rateFrom()) / (m.listedAt - since).Seconds()
	}
	since := m.listedAt - m.lastProgressAt
	if since < minSilence {
		return rate, false
	}
	if bound := 1 / since.Seconds(); rate == 0 || bound < rate {
		return bound, true
	}
	return rate, false
}

// move is where a unit would run instead. Without allocations it waits in the queue.
type move struct {
	allocs []allocation
	left   time.Duration // until it ends there
	odds   float64       // probability of that
}

// findMove returns a place in which a lagging unit ends sooner.
func (c *Core) findMove(u *unit, l lag) (move, bool) {
	overhead := c.cfg.StopTime + endReportDelay
	work := 100.0
	if u.step.Checkpointable {
		work = float64(100 - l.member.percent)
	}
	onFast := scale(time.Second, work/l.fastRate)
	limit := float64(scale(l.left, 1/moveMargin)-overhead) / float64(onFast)
	if limit < 1 {
		return move{}, false
	}
	var target move
	found := false
	u.withMaxSlowness(limit, func() {
		if allocs := c.placeAgain(u); allocs != nil {
			target, found = move{allocs: allocs, left: overhead + scale(onFast, c.slowestLikely(u, allocs)), odds: c.fastOdds(u, allocs)}, true
			return
		}
		if l.ratio < minLag {
			return
		}
		if r := c.earliestReservation(u); r != nil {
			start := max(overhead, r.expectedStart-c.now)
			target = move{left: start + scale(onFast, c.slowestReserved(r)), odds: 1}
			found = scale(target.left, moveMargin) < l.left
		}
	})
	return target, found && c.worthMoving(u, l, target)
}

// worthMoving reports whether a move gains more than the work that it discards. A run
// that lags far behind occupies its worker for so long that ending sooner is enough.
func (c *Core) worthMoving(u *unit, l lag, target move) bool {
	if l.ratio >= minLag {
		return true
	}
	cost := costOf(u.job)
	cost.Objective = u.objectiveWith(scale(time.Second, 100/l.fastRate))
	after := max(0, u.job.remainingPath()-u.runTime())
	gain := target.odds * (cost.Loss(c.now+l.left+after) - cost.Loss(c.now+target.left+after))
	return gain > wasteWeight*u.unsavedCoreSeconds(c.now)
}

// objectiveWith returns the objective of the unit's job if a task of its step takes the
// given time.
func (u *unit) objectiveWith(runTime time.Duration) time.Duration {
	runTimes := slices.Clone(u.job.runTimes)
	runTimes[u.stepIndex] = runTime
	return u.job.ObjectiveFor(runTimes)
}

// placeAgain returns a placement of a unit that fits now if its present run ends.
func (c *Core) placeAgain(u *unit) []allocation {
	candidates := c.candidates(u)
	for i, s := range candidates {
		for _, m := range u.members {
			if m.worker == s.worker && !m.ended {
				candidates[i].available = candidates[i].available.Add(u.step.Needs)
			}
		}
	}
	if u.job.Priority == 0 && u.taskCount > 1 {
		return c.soonestGang(u, candidates, !u.step.SameRack || !c.fitsEmptyRack(u))
	}
	sorted, ends := c.sortByClass(candidates)
	for class := 0; class <= maxSlownessClass; class++ {
		if ends[class+1] == ends[class] {
			continue
		}
		if allocs := bestPlacement(u, sorted[:ends[class+1]], !c.fitsEmptyRack(u)); allocs != nil {
			return allocs
		}
	}
	return nil
}

// slowestLikely returns the most probable slowness of the slowest worker of a placement.
func (c *Core) slowestLikely(u *unit, allocs []allocation) float64 {
	slowest := 1.0
	for _, a := range allocs {
		slowest = max(slowest, c.likelySlowness(u, a.worker))
	}
	return slowest
}

// fastOdds returns the probability that no worker of a placement is slower than
// slowestLikely.
func (c *Core) fastOdds(u *unit, allocs []allocation) float64 {
	odds := 1.0
	for _, a := range allocs {
		if u.job.Priority == 0 {
			odds *= a.worker.speedState.estimate.FastProbability(c.now)
		}
	}
	return odds
}
