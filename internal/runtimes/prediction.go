package runtimes

import (
	"math"
	"time"
)

const (
	// cautiousSigmas is the distance of the cautious run time from the expected one,
	// in standard deviations; nine of ten run times are below it.
	cautiousSigmas = 1.3
	// LongestRunTime limits predictions, so that they can be added and multiplied.
	LongestRunTime = 24 * time.Hour
)

// Prediction is the expected run time of a step, with its uncertainty. The zero value
// knows nothing.
type Prediction struct {
	logMean, variance float64
	known             bool
	// unchanged is an estimate that nothing is known about yet, exactly as it was.
	unchanged time.Duration
}

// Expected returns the expected run time (the median), 0 if nothing is known.
func (p Prediction) Expected() time.Duration {
	switch {
	case !p.known:
		return 0
	case p.unchanged > 0:
		return p.unchanged
	default:
		return duration(p.logMean)
	}
}

// Cautious returns a run time that the actual one exceeds rarely, by the learned
// variance. It is not below the expected one.
func (p Prediction) Cautious() time.Duration {
	if !p.known {
		return 0
	}
	return max(p.Expected(), duration(p.logMean+cautiousSigmas*p.Sigma()))
}

// Sigma returns the standard deviation of the logarithm of the run time.
func (p Prediction) Sigma() float64 { return math.Sqrt(p.variance) }

// combine returns the precision-weighted combination with another value.
func (p Prediction) combine(logMean, variance float64) Prediction {
	if !p.known {
		return Prediction{logMean: logMean, variance: variance, known: true}
	}
	gain := p.variance / (p.variance + variance)
	return Prediction{logMean: p.logMean + gain*(logMean-p.logMean), variance: p.variance * (1 - gain), known: true}
}

// Update returns the prediction in the light of what the step's own tasks have shown.
// A prediction far from that is given up: the job is an outlier of its queue.
func (p Prediction) Update(e Evidence) Prediction {
	if e.precision == 0 {
		return p
	}
	mean, variance := e.sum/e.precision, 1/e.precision
	if diff := mean - p.logMean; p.known {
		p.variance = max(p.variance, diff*diff)
	}
	return p.combine(mean, variance)
}

func duration(logSeconds float64) time.Duration {
	seconds := min(math.Exp(logSeconds), LongestRunTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Evidence is what the tasks of a step show of its run time. The zero value is none.
type Evidence struct {
	precision, sum float64
}

// Add adds the run time of a task on a worker of full speed. The variance is that of
// its logarithm around that of the step.
func (e *Evidence) Add(runTime time.Duration, variance float64) {
	if runTime <= 0 || !(variance > 0) {
		return
	}
	e.precision += 1 / variance
	e.sum += logSeconds(runTime) / variance
}

// RunTime returns the run time that the evidence shows, 0 if there is none.
func (e Evidence) RunTime() time.Duration {
	if e.precision == 0 {
		return 0
	}
	return duration(e.sum / e.precision)
}

// Variance returns the variance of the logarithm of RunTime. It is infinite if there
// is no evidence.
func (e Evidence) Variance() float64 { return 1 / e.precision }
