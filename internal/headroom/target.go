package headroom

import (
	"math"
	"time"
)

// Target is the capacity to keep open, with the inputs that it follows from.
type Target struct {
	Accelerators int
	Workers      int // whole workers, part of Accelerators
	// JobsPerSecond and MeanAccelerators describe the expected jobs.
	JobsPerSecond    float64
	MeanAccelerators float64
}

// Target returns the capacity to keep open for the jobs that are expected within the
// time that it takes to regain capacity: the mean of their demand and spread standard
// deviations. acceleratorsPerWorker is the number of accelerators of a typical worker.
func (l *Learner) Target(now, regain time.Duration, spread float64, acceleratorsPerWorker int) Target {
	l.forget(now)
	var t Target
	if len(l.accounts) == 0 {
		return t
	}
	perJob := regain.Seconds() / l.window(now)
	var accelerators, workers forecast
	jobs, size := 0.0, 0.0
	for i := range l.accounts {
		a := &l.accounts[i]
		jobs += a.jobs
		size += a.accelerators.Sum
		accelerators.add(a.accelerators, perJob)
		workers.add(a.workers, perJob)
	}
	t.JobsPerSecond, t.MeanAccelerators = jobs/l.window(now), size/jobs
	t.Accelerators = accelerators.total(spread)
	t.Workers = min(t.Accelerators/max(1, acceleratorsPerWorker), workers.total(spread))
	return t
}

// maxSpread limits Spread in both directions. Beyond it single jobs would decide.
const maxSpread = 1.2

// Spread returns the number of standard deviations of the demand to keep open above its
// mean, negative for less than the mean. short is the loss per core of demand that finds
// no room open and waits until others are stopped, idle that of work of lower priorities
// that waits for room that is kept open. The best amount is the quantile
// short/(short+idle) of the demand, which is taken as normally distributed.
func Spread(short, idle float64) float64 {
	if short <= 0 {
		return -maxSpread
	}
	quantile := short / (short + max(0, idle))
	return max(-maxSpread, min(maxSpread, math.Sqrt2*math.Erfinv(2*quantile-1)))
}

// forecast is the mean and the variance of a demand.
type forecast struct{ mean, variance float64 }

// add adds the demand of an account. The number of its jobs is assumed to follow a
// Poisson distribution.
func (f *forecast) add(m moments, perJob float64) {
	f.mean += m.Sum * perJob
	f.variance += m.Squares * perJob
}

func (f *forecast) total(spread float64) int {
	return max(0, int(math.Ceil(f.mean+spread*math.Sqrt(f.variance))))
}
