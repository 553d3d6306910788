package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
)

// headroomInterval is the least time between two choices of headroom. The owner ticks
// as often.
const headroomInterval = 200 * time.Millisecond

// regainTime returns the time that it takes to regain room, for whose demand room is
// kept open: the stop of a run and the report of its end.
func (c *Core) regainTime() time.Duration { return c.cfg.StopTime + endReportDelay }

// headroomState is what the core knows about the capacity that it keeps open for
// priority 0. It is empty while the feature is off.
type headroomState struct {
	demand   headroom.Learner
	target   headroom.Target
	marked   map[*worker]bool
	chosenAt time.Duration
	// usedPart is the part of the capacity in use as of chosenAt.
	usedPart float64
	// waitLoss is the mean loss, per core, of a job of priority 0 that starts after
	// regainTime and not at once.
	waitLoss runningMean
	// fitsOutside holds, by kind, whether units would fit outside of the headroom. It is
	// valid until the next choice.
	fitsOutside map[unitKind]bool
}

// HeadroomSnapshot returns the learned demand of claims, to be saved for the next
// owner.
func (c *Core) HeadroomSnapshot() headroom.Snapshot { return c.headroom.demand.Snapshot(c.now) }

// RestoreHeadroom sets the learned demand to that of an earlier owner, saved age ago.
// It returns a NotValid error if the snapshot is malformed.
func (c *Core) RestoreHeadroom(s headroom.Snapshot, age time.Duration) error {
	return c.headroom.demand.Restore(c.now, age, s)
}

func (c *Core) hasHeadroom() bool { return c.cfg.Features.Has(feature.ClaimHeadroom) }

// observeDemand learns from a new job of priority 0. Jobs of earlier terms say nothing
// about the present rate.
func (c *Core) observeDemand(j *job) {
	if !c.hasHeadroom() || c.policy == nil || j.Priority != 0 || j.arrivedAt < 0 {
		return
	}
	size := headroom.Size{Accelerators: j.maxAccelerators(), Workers: c.wholeWorkers(j)}
	if size.Accelerators > 0 {
		c.headroom.waitLoss.observe(c.regainLoss(j) / j.coresAtOnce())
		c.headroom.demand.Observe(c.now, j.Account, size)
	}
}

// wholeWorkers returns the largest number of whole workers that a step of the job
// needs at once.
func (c *Core) wholeWorkers(j *job) int {
	perWorker := c.acceleratorsPerWorker()
	most := 0
	for i := range j.Steps {
		if s := &j.Steps[i]; 2*s.Needs.Accelerators > perWorker {
			most = max(most, s.Count)
		}
	}
	return most
}

// acceleratorsPerWorker returns the largest number of accelerators of a worker.
func (c *Core) acceleratorsPerWorker() int {
	most := 0
	for _, w := range c.sortedWorkers {
		most = max(most, w.info.Capacity.Accelerators)
	}
	return most
}

// updateHeadroom chooses the workers that are kept open for claims.
func (c *Core) updateHeadroom() {
	h := &c.headroom
	if !c.hasHeadroom() || h.chosenAt > 0 && c.now < h.chosenAt+headroomInterval {
		return
	}
	h.chosenAt, h.fitsOutside, h.usedPart = c.now, nil, c.usedPart()
	spread := headroom.Spread(h.waitLoss.mean, c.lowerWaitLoss())
	h.target = h.demand.Target(c.now, c.regainTime(), spread, c.acceleratorsPerWorker())
	if h.target.Accelerators == 0 && len(h.marked) == 0 {
		return
	}
	workers := c.headroomWorkers()
	if !headroom.Mark(workers, h.target) {
		return
	}
	h.marked = map[*worker]bool{}
	var names []string
	for i, w := range c.sortedWorkers {
		if workers[i].Marked {
			h.marked[w] = true
			names = append(names, w.info.ID)
		}
	}
	t := h.target
	c.emit(Notice{Reason: ReasonHeadroomChanged, Detail: fmt.Sprintf("%d accelerators and %d whole workers within %v, from %.2f jobs/s of %.1f accelerators, spread %.2f; workers %s",
		t.Accelerators, t.Workers, c.regainTime(), t.JobsPerSecond, t.MeanAccelerators, spread, strings.Join(names, " "))})
}

// regainLoss returns what a job is expected to lose if its waiting work starts after
// regainTime and not now.
func (c *Core) regainLoss(j *job) float64 {
	cost, path := costOf(j), j.remainingPath()
	return cost.ExpectedLoss(c.now+c.regainTime(), path) - cost.ExpectedLoss(c.now, path)
}

// lowerWaitLoss returns the mean of regainLoss, per core, of the waiting jobs of lower
// priorities.
func (c *Core) lowerWaitLoss() float64 {
	loss, cores := 0.0, 0.0
	for _, j := range c.activeJobs {
		if j.Priority > 0 && slices.ContainsFunc(j.units, func(u *unit) bool { return u.isReady(c.now) }) {
			loss += c.regainLoss(j)
			cores += j.coresAtOnce()
		}
	}
	return loss / max(1, cores)
}

// coresAtOnce returns the core equivalents that a step of the job needs at once, the
// most of all steps.
func (j *job) coresAtOnce() float64 {
	most := 1.0
	for i := range j.Steps {
		most = max(most, j.Steps[i].TotalNeeds().Cores())
	}
	return most
}

// runningMean is the mean of the last values.
type runningMean struct {
	mean   float64
	values int // at most meanMemory
}

// meanMemory is the number of values over which a runningMean averages.
const meanMemory = 20

func (m *runningMean) observe(x float64) {
	m.values = min(m.values+1, meanMemory)
	m.mean += (x - m.mean) / float64(m.values)
}

// headroomWorkers describes the workers for the choice of headroom, in the order of
// sortedWorkers.
func (c *Core) headroomWorkers() []headroom.Worker {
	out := make([]headroom.Worker, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		state := headroom.Worker{Rack: w.info.Rack, Accelerators: w.info.Capacity.Accelerators, Usable: c.usableForHeadroom(w), Marked: c.headroom.marked[w],
			Open: w.info.Capacity.Accelerators - w.claimed.Accelerators}
		for _, m := range w.members {
			if m.unit.job.Priority == 0 {
				state.Open -= m.unit.step.Needs.Accelerators
			} else if !m.unit.stopping {
				state.OpenIn = max(state.OpenIn, c.expectedEnd(m)-c.now)
			}
		}
		out = append(out, state)
	}
	return out
}

// usableForHeadroom reports whether jobs of priority 0 could be placed on a worker
// now, as far as that does not depend on the job.
func (c *Core) usableForHeadroom(w *worker) bool {
	return w.connected() && w.responsive && c.now-w.lastReportAt <= maxReportAge && !w.info.Draining && !c.policy.ZonesOut[w.info.Zone] &&
		!w.failures.Quarantined(c.now) && !c.countsAsSlow(w) && w.info.Capacity.Accelerators > 0
}

// headroomClosedTo reports whether a unit must not be placed on workers that are
// headroom. It is open to jobs of priority 0, to units that would not fit on the other
// workers even if these were empty, and to jobs that wait while the fleet is idle.
func (c *Core) headroomClosedTo(u *unit) bool {
	if len(c.headroom.marked) == 0 || u.job.Priority == 0 || c.waitsOnIdleFleet(u.job) || c.idleFor(u.job, maxIdleFleetWait) {
		return false
	}
	return c.fitsOutsideHeadroom(u)
}

const (
	// idleFleetPart is the part of the capacity in use below which the fleet counts as
	// idle.
	idleFleetPart = 0.5
	// maxIdleFleetWait is the time for which headroom may keep a job without runs
	// waiting on an idle fleet. Callers expect a start within 3 s where there is room.
	maxIdleFleetWait = 1500 * time.Millisecond
)

// waitsOnIdleFleet reports whether a job has waited for maxIdleFleetWait without a run
// while the fleet is idle.
func (c *Core) waitsOnIdleFleet(j *job) bool {
	return c.headroom.usedPart < idleFleetPart && c.now-j.arrivedAt > maxIdleFleetWait &&
		!j.hasRuns()
}

// usedPart returns the part of the usable capacity, in core equivalents, that runs and
// claims hold.
func (c *Core) usedPart() float64 {
	used, total := 0.0, 0.0
	for _, w := range c.sortedWorkers {
		if c.usableForHeadroom(w) {
			used += w.inUse().Add(w.claimed).Cores()
			total += w.info.Capacity.Cores()
		}
	}
	return used / max(1, total)
}

// useHeadroom records the placement of a unit.
func (c *Core) useHeadroom(u *unit, allocs []allocation) {
	used := 0
	for _, p := range allocs {
		if c.headroom.marked[p.worker] {
			used += p.tasks * u.step.Needs.Accelerators
		}
	}
	if used > 0 && u.job.Priority == 0 {
		c.emit(Notice{Reason: ReasonHeadroomUsed, Job: u.job.ID, Task: u.taskID(0).String(), Run: u.run,
			Detail: fmt.Sprintf("%d accelerators", used)})
	}
}

func (c *Core) fitsOutsideHeadroom(u *unit) bool {
	k := unitKind{u.step, u.onLastAttempt()}
	if fits, known := c.headroom.fitsOutside[k]; known {
		return fits
	}
	fits := c.roomOutsideHeadroom(u)
	if c.headroom.fitsOutside == nil {
		c.headroom.fitsOutside = map[unitKind]bool{}
	}
	c.headroom.fitsOutside[k] = fits
	return fits
}

// roomOutsideHeadroom reports whether the workers that are not headroom would hold a
// unit if nothing else ran there.
func (c *Core) roomOutsideHeadroom(u *unit) bool {
	perWorker := u.tasksPerWorker()
	oneRack := u.step.SameRack && c.fitsEmptyRack(u)
	byRack := map[string]int{}
	for _, w := range c.sortedWorkers {
		if c.headroom.marked[w] || !c.eligible(w, u) {
			continue
		}
		rack := ""
		if oneRack {
			rack = w.info.Rack
		}
		byRack[rack] += tasksThatFitBeside(candidate{w, w.info.Capacity}, u.step, perWorker)
		if byRack[rack] >= u.taskCount {
			return true
		}
	}
	return false
}
