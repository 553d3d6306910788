package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// Workers report progress in steps of one percent. A run that is silent for longer than
// its next step may take is stalled: it is stopped and starts on another worker. What a
// step may take is known from the steps that the run, or other runs of the same work,
// have shown. Until then only the estimate bounds it, which may be far off.

const (
	// minStallTime is the least time without progress after which a run is stalled.
	minStallTime = 3 * time.Second
	// stepSlack is how many times longer than those before a step may take. A worker that
	// becomes that much slower still counts as slow, not as hung.
	stepSlack = workerhealth.MaxSlowness
	// estimateError is the factor by which a run may take longer than estimated.
	estimateError = 100
	// longestStep is the time for one percent of the longest run.
	longestStep = runtimes.LongestRunTime / 100
	// maxStallDoublings keeps a doubled limit within the range of time.Duration.
	maxStallDoublings = 12
)

// standstill describes a worker on which a run stands still that had shown progress. The
// zero value is a worker without such a run.
type standstill struct {
	since   time.Duration // the last progress of that run
	foundAt time.Duration // 0 if there is no such run
}

// covers reports whether a run that began at the given time began within the
// standstill, as far as it was found lately.
func (s standstill) covers(began, now time.Duration) bool {
	return s.foundAt > 0 && began >= s.since && now-s.foundAt <= workerhealth.FailureWindow
}

// learnStep records the time that the run took for its latest progress. The first change
// of a run that did not start afresh completes a step of which the beginning was not seen.
func (m *member) learnStep(percent int, listedAt time.Duration) {
	switch {
	case m.progressed:
		m.recordStep(percent-m.percent, listedAt-m.lastProgressAt)
	case m.startedAfresh:
		m.recordStep(percent, listedAt-m.startedAt)
	}
	m.progressed = true
}

func (m *member) recordStep(gained int, took time.Duration) {
	if gained <= 0 {
		return
	}
	m.stepTime = max(m.stepTime, took/time.Duration(gained))
	shown := &m.unit.job.stepTimes[m.unit.stepIndex]
	*shown = max(*shown, m.stepTime)
}

// silent reports whether a running member has made no progress for longer than its next
// step may take.
func (c *Core) silent(m *member) bool {
	return m.percent < 100 && m.listedAt-m.lastProgressAt > c.silenceLimit(m)
}

// silenceLimit returns the time without progress after which a member is stalled. It
// doubles with each run of the unit that was stopped for that, so that a slow unit is
// not stopped again and again.
func (c *Core) silenceLimit(m *member) time.Duration {
	u := m.unit
	limit := minStallTime
	switch shown := m.shownStep(); {
	case shown > 0:
		limit = max(limit, stepSlack*shown)
	case !m.worker.standsStill.covers(m.runningSince, c.now):
		limit += u.longestFirstStep()
	}
	return limit << min(u.stalls, maxStallDoublings)
}

// shownStep returns the longest time for one percent that the run, else any run of the
// same step, has shown; 0 if none has.
func (m *member) shownStep() time.Duration {
	if m.stepTime > 0 {
		return m.stepTime
	}
	return m.unit.job.stepTimes[m.unit.stepIndex]
}

// longestFirstStep returns the time that one percent of a run may take by its estimate.
// What its queue has shown does not shorten it, as the job may be unlike the others. The
// slowness of the worker does not lengthen it, as a hung one may count as slow.
func (u *unit) longestFirstStep() time.Duration {
	if u.step.Estimate <= 0 {
		return longestStep
	}
	return min(longestStep, max(u.step.Estimate, u.runTime())*estimateError/100)
}

// stalls returns the stops of the job's units to be stored: those of units that may run
// again, and the most frequent ones if there are too many.
func (j *job) stalls() []graph.UnitStalls {
	var out []graph.UnitStalls
	for _, u := range j.units {
		if u.stalls > 0 && u.phase != unitDone && !j.state.Final() {
			out = append(out, graph.UnitStalls{Step: u.stepIndex, Index: u.firstIndex, Count: min(u.stalls, maxStallDoublings)})
		}
	}
	slices.SortStableFunc(out, func(a, b graph.UnitStalls) int { return cmp.Compare(b.Count, a.Count) })
	return out[:min(len(out), graph.MaxStalledUnits)]
}

// restoreStalls restores the stops of the job's units from its stored progress.
func (j *job) restoreStalls(stalls []graph.UnitStalls) {
	for _, s := range stalls {
		if u := j.unitOf(s.Step, s.Index); u != nil {
			u.stalls = max(0, min(s.Count, maxStallDoublings))
		}
	}
}

// stopStalled stops the run of a stalled member.
func (c *Core) stopStalled(m *member) {
	u := m.unit
	c.emit(Notice{Reason: ReasonNoProgress, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID,
		Detail: fmt.Sprintf("at %d %%, silent for %v, at most %v allowed, %v for one percent before", m.percent, m.listedAt-m.lastProgressAt, c.silenceLimit(m), m.shownStep())})
	c.recordStandstill(m)
	u.stalls++
	c.recordFailure(m.worker, u, m.index())
	u.history.stopFor(string(ReasonNoProgress))
	c.stopRun(u)
}

// recordStandstill records that a worker stands still if the silent run on it has shown
// what its steps take.
func (c *Core) recordStandstill(m *member) {
	if m.shownStep() > 0 {
		m.worker.standsStill = standstill{since: m.lastProgressAt, foundAt: c.now}
	}
}
