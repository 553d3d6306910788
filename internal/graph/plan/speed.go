package plan

import "time"

// Members of a gang do the same amount of work, each at the speed of its worker, and
// the gang is done when the slowest one is. Their progress therefore shows how fast
// their workers are relative to each other, while durations of different jobs don't.

const (
	// minSpeedWindow and minSpeedPercent are the time and the progress over which
	// the speeds of a run's members are compared. Progress comes in steps of one
	// percent.
	minSpeedWindow  = 700 * time.Millisecond
	minSpeedPercent = 10
	// speedSmoothing is the weight of a new comparison in a worker's slowness.
	speedSmoothing = 0.5
	// slowThreshold is the slowness above which a worker counts as slow.
	slowThreshold = 1.15
	// speedMemory is the time after which an old comparison is forgotten.
	speedMemory = time.Minute
)

// speedRecord is what comparisons have shown of a worker's speed.
type speedRecord struct {
	// slowness is the run time of a task relative to that on a fast worker; 0 if
	// unknown.
	slowness  float64
	learnedAt time.Duration
}

// slow reports whether a worker is known to be slow.
func (w *worker) slow(now time.Duration) bool { return w.slowness(now) > slowThreshold }

// slowness returns the slowness of a worker, 1 if it is not known.
func (w *worker) slowness(now time.Duration) float64 {
	if w.speed.slowness == 0 || now-w.speed.learnedAt > speedMemory {
		return 1
	}
	return w.speed.slowness
}

// observeSpeed records a comparison in which the worker had the given slowness.
func (w *worker) observeSpeed(now time.Duration, slowness float64) {
	if known := w.slowness(now); w.speed.slowness > 0 {
		slowness = known + speedSmoothing*(slowness-known)
	}
	w.speed = speedRecord{slowness: slowness, learnedAt: now}
}

// learnSpeeds compares the members of a gang's run, once a run, as soon as all of
// them have been observed for long enough.
func (c *Core) learnSpeeds(u *unit) {
	if u.speedsLearned || len(u.members) < 2 {
		return
	}
	var fastest *member
	for _, m := range u.members {
		if m.rate() == 0 || m.ended {
			return
		}
		if fastest == nil || m.rate() > fastest.rate() {
			fastest = m
		}
	}
	u.speedsLearned = true
	base := fastest.worker.slowness(c.now)
	for _, m := range u.members {
		m.worker.observeSpeed(c.now, base*fastest.rate()/m.rate())
	}
}

// rate returns the progress of a member in percent per second since its start, 0 if
// it has not been observed for long enough or did not start from the beginning.
func (m *member) rate() float64 {
	ran := m.listedAt - m.startedAt
	if !m.startedAfresh || ran < minSpeedWindow || m.percent < minSpeedPercent {
		return 0
	}
	return float64(m.percent) / ran.Seconds()
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
