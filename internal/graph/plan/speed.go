package plan

import (
	"fmt"
	"time"
)

// Members of a gang do the same amount of work, each at the speed of its worker, and
// the gang is done when the slowest one is. Their progress therefore shows how fast
// their workers are relative to each other. The run times of the single tasks of a step
// show it less precisely, as their work differs somewhat, and those of different jobs
// don't show it.

const (
	// minSpeedWindow and minSpeedPercent are the time and the progress over which
	// the speeds of a run's members are compared. Progress comes in steps of one
	// percent.
	minSpeedWindow  = 700 * time.Millisecond
	minSpeedPercent = 10
	// gangSpeedWeight and taskSpeedWeight are the weights of a new comparison of
	// gang members and of single tasks in a worker's slowness.
	gangSpeedWeight = 0.5
	taskSpeedWeight = 0.15
	// minTasksCompared is the least number of single tasks of a step to compare.
	minTasksCompared = 8
)

// slow reports whether a worker is known to be slow.
func (w *worker) slow(now time.Duration) bool { return w.speed.Slow(now) }

// observeSpeed records a comparison in which a worker had the given slowness.
func (c *Core) observeSpeed(w *worker, slowness, weight float64) {
	wasSlow := w.slow(c.now)
	w.speed.Observe(c.now, slowness, weight)
	if slow := w.slow(c.now); slow != wasSlow && !c.decidesBySpeed() {
		reason := ReasonWorkerSlow
		if !slow {
			reason = ReasonWorkerFast
		}
		c.emit(Notice{Reason: reason, Worker: w.info.ID, Detail: fmt.Sprintf("slowness %.2f", w.speed.Slowness(c.now))})
	}
}

// taskTime is the run time of a single task that is done.
type taskTime struct {
	worker  *worker
	seconds float64
}

// learnFromTask records the run time of a single task that is done. Once the last
// task of the step is done it compares all of them: the first ones to end are also
// those with the least work.
func (c *Core) learnFromTask(m *member) {
	u := m.unit
	if u.taskCount > 1 || !m.startedAfresh {
		return
	}
	times := append(u.job.taskTimes[u.stepIndex], taskTime{m.worker, (c.now - m.startedAt).Seconds()})
	u.job.taskTimes[u.stepIndex] = times
	if len(times) < u.step.Count {
		return
	}
	u.job.taskTimes[u.stepIndex] = nil
	if len(times) < minTasksCompared {
		return
	}
	onFastWorker := 0.0
	for _, t := range times {
		onFastWorker += t.seconds / t.worker.speed.Slowness(c.now) / float64(len(times))
	}
	for _, t := range times {
		c.observeSpeed(t.worker, t.seconds/onFastWorker, taskSpeedWeight)
	}
}

// learnSpeeds compares the members of a gang's run, once a run, as soon as all of
// them have been observed for long enough.
func (c *Core) learnSpeeds(u *unit) {
	if u.speedsLearned || len(u.members) < 2 {
		return
	}
	var fastest *member
	for _, m := range u.members {
		if !m.comparable() {
			return
		}
		if fastest == nil || m.rate() > fastest.rate() {
			fastest = m
		}
	}
	u.speedsLearned = true
	base := fastest.worker.speed.Slowness(c.now)
	for _, m := range u.members {
		c.observeSpeed(m.worker, base*fastest.rate()/m.rate(), gangSpeedWeight)
	}
}

// rate returns the progress of a member in percent per second, 0 if it is not known.
func (m *member) rate() float64 {
	since, gained := m.rateSince(), m.percent-m.rateFrom()
	if gained <= 0 || m.listedAt <= since {
		return 0
	}
	return float64(gained) / (m.listedAt - since).Seconds()
}

// rateSince and rateFrom return the time and the progress from which on the rate of a
// member is measured: its start, or the first report of a run that the owner did not
// start or that resumed from a checkpoint.
func (m *member) rateSince() time.Duration {
	if m.startedAfresh {
		return m.startedAt
	}
	return m.firstListedAt
}

func (m *member) rateFrom() int {
	if m.startedAfresh {
		return 0
	}
	return m.firstPercent
}

// comparable reports whether the rate of a member is precise enough to compare it
// with those of other members.
func (m *member) comparable() bool {
	return m.startedAfresh && !m.ended && m.listedAt-m.startedAt >= minSpeedWindow && m.percent >= minSpeedPercent
}

// bySpeed returns the sets of candidates to try for a unit, in order. A gang is as
// slow as its slowest member, so workers of one speed are preferred to a mixture:
// fast ones for the first priority, which has least time to spare, and slow ones for
// the others, which leaves the fast ones to it.
func (c *Core) bySpeed(u *unit, candidates []candidate) [][]candidate {
	var fast, slow []candidate
	for _, s := range candidates {
		if s.slow(c.now) {
			slow = append(slow, s)
		} else {
			fast = append(fast, s)
		}
	}
	switch {
	case len(slow) == 0 || len(fast) == 0:
		return [][]candidate{candidates}
	case u.job.Priority == 0:
		return [][]candidate{fast, candidates}
	default:
		return [][]candidate{slow, fast, candidates}
	}
}
