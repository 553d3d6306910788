// Package workerhealth estimates how slow each worker is and decides when a worker that
// fails runs gets no more work. It does no I/O, reads no clock and starts no goroutines:
// times are arguments, on the clock of the owner's term.
//
// Slowness is the run time of a task relative to that on a fast worker. It is estimated
// in logarithms, where rates of different tasks on one worker differ by a constant.
package workerhealth

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which an estimate returns to that of an unknown
	// worker.
	memory = 2 * time.Minute
	// maxPrecision limits the certainty of an estimate, as the speed of a worker also
	// depends on what runs beside.
	maxPrecision = 1 / (0.05 * 0.05)
	// maxDeviation is the deviation of an observation, in standard deviations, beyond
	// which the worker's speed is taken to have changed, and changedWeight the weight
	// that earlier observations then keep.
	maxDeviation  = 4.0
	changedWeight = 0.1
	// restartWeight is the weight that observations keep at a new incarnation on a host
	// of the same kind. The speed is mostly a property of the host, but a restart may
	// end a disturbance.
	restartWeight = 0.2
	// slowThreshold is the slowness above which a worker is reported as slow, and
	// certainSigmas the distance from no slowness that a report requires, in standard
	// deviations.
	slowThreshold = 1.25
	certainSigmas = 2.0
)

// An unknown worker is most probably a fast one, else it may have any slowness up to
// twelve. A normal distribution would not do: it puts fast workers as far below the
// average as slow ones above, and halves the difference that a gang shows at once.
const (
	// MaxSlowness is the greatest slowness of a worker.
	MaxSlowness = 12
	// gridStep is the distance of the values of the log slowness that are considered.
	gridStep   = 0.125
	gridPoints = 21 // up to MaxSlowness
	fastPoints = 3  // of fast workers, up to a slowness of 1.28
	// fastShare is the probability that a worker is fast, which includes the first two
	// values. It is about that of all known deployments.
	fastShare = 0.65
	// tailDecay is the factor from one probability to the next among slow workers.
	tailDecay = 0.92
)

// prior holds the probabilities of the values of the log slowness.
var prior = func() (out [gridPoints]float64) {
	tail := 0.0
	for k := 2; k < gridPoints; k++ {
		tail += math.Pow(tailDecay, float64(k))
	}
	out[0], out[1] = 0.75*fastShare, 0.25*fastShare
	for k := 2; k < gridPoints; k++ {
		out[k] = (1 - fastShare) / tail * math.Pow(tailDecay, float64(k))
	}
	return out
}()

// natural is a normal distribution as its precision and its mean times the precision,
// so that independent ones multiply by addition. The zero value tells nothing.
type natural struct{ precision, weighted float64 }

func normal(mean, variance float64) natural { return natural{1 / variance, mean / variance} }

func (n natural) plus(o natural) natural {
	return natural{n.precision + o.precision, n.weighted + o.weighted}
}

func (n natural) minus(o natural) natural {
	return natural{n.precision - o.precision, n.weighted - o.weighted}
}

func (n natural) times(weight float64) natural {
	return natural{n.precision * weight, n.weighted * weight}
}

// moments returns the mean and the variance of the log slowness of a worker of which
// observations have shown n.
func (n natural) moments() (mean, variance float64) {
	mean, variance, _ = n.posterior()
	return mean, variance
}

// posterior returns the mean and the variance of the log slowness of a worker of which
// observations have shown n, and the probability that it is fast.
func (n natural) posterior() (mean, variance, fast float64) {
	weights := n.onGrid()
	var total, first, second float64
	for k, likelihood := range weights {
		p, x := prior[k]*likelihood, gridStep*float64(k)
		total += p
		first += p * x
		second += p * x * x
		if k < fastPoints {
			fast += p
		}
	}
	mean = first / total
	return mean, second/total - mean*mean + gridVariance, fast / total
}

// onGrid returns the density of n at the values of the log slowness, relative to that at
// the value next to its mean. The ratios of neighbouring densities are a geometric
// series, so it takes three exponentials.
func (n natural) onGrid() (out [gridPoints]float64) {
	peak := 0
	if n.precision > 0 {
		peak = int(math.Min(gridPoints-1, math.Max(0, math.Round(n.weighted/(gridStep*n.precision)))))
	}
	curvature := gridStep * gridStep * n.precision
	slope := gridStep*n.weighted - curvature*float64(peak)
	bend := math.Exp(-curvature)
	out[peak] = 1
	up, down := math.Exp(slope-curvature/2), math.Exp(-slope-curvature/2)
	for k := peak + 1; k < gridPoints; k++ {
		out[k] = out[k-1] * up
		up *= bend
	}
	for k := peak - 1; k >= 0; k-- {
		out[k] = out[k+1] * down
		down *= bend
	}
	return out
}

// gridVariance is the variance within one step of the grid.
const gridVariance = gridStep * gridStep / 12

// unknownMean and unknownVariance are those of a worker of which nothing is known.
var unknownMean, unknownVariance, unknownFast = natural{}.posterior()

// Estimate is the estimated slowness of a worker. The zero value is an unknown worker.
type Estimate struct {
	shown          natural // by observations
	at             time.Duration
	mean, variance float64 // as of at; variance is 0 if nothing was observed
	fast           float64
}

// age returns what observations show at a later time: they are forgotten exponentially.
func (e *Estimate) age(now time.Duration) natural {
	if now <= e.at || e.shown.precision == 0 {
		return e.shown
	}
	return e.shown.times(math.Exp(-float64(now-e.at) / float64(memory)))
}

// freshness is the time for which an estimate is used without forgetting.
const freshness = time.Second

// moments returns the mean and the variance of the log slowness.
func (e *Estimate) moments(now time.Duration) (mean, variance float64) {
	if e.variance == 0 {
		return unknownMean, unknownVariance
	}
	if now > e.at+freshness {
		e.set(now, e.age(now))
	}
	return e.mean, e.variance
}

func (e *Estimate) set(now time.Duration, shown natural) {
	if shown.precision > maxPrecision {
		shown = shown.times(maxPrecision / shown.precision)
	}
	e.shown, e.at = shown, now
	e.mean, e.variance, e.fast = shown.posterior()
}

// replace replaces one of the observations that the estimate consists of. The rest of
// them shows the given mean and variance.
func (e *Estimate) replace(now time.Duration, rest, shown natural, mean, variance float64) {
	difference := shown.weighted/shown.precision - mean
	if difference*difference > maxDeviation*maxDeviation*(variance+1/shown.precision) {
		rest = rest.times(changedWeight)
	}
	e.set(now, rest.plus(shown))
}

// without returns what the observations show without one of them.
func (e *Estimate) without(now time.Duration, shown natural) natural {
	rest := e.age(now).minus(shown)
	if rest.precision <= 0 {
		return natural{}
	}
	return rest
}

// Slowness returns the expected run time of a task on the worker relative to that on a
// fast one, at least 1. That of an unknown worker is the average.
func (e *Estimate) Slowness(now time.Duration) float64 {
	mean, _ := e.moments(now)
	return math.Exp(mean)
}

// FastProbability returns the probability that the worker is fast.
func (e *Estimate) FastProbability(now time.Duration) float64 {
	if e.moments(now); e.variance == 0 {
		return unknownFast
	}
	return e.fast
}

// Error returns the relative standard deviation of the slowness.
func (e *Estimate) Error(now time.Duration) float64 {
	_, variance := e.moments(now)
	return math.Sqrt(variance)
}

// Slow reports whether the worker is certainly slow.
func (e *Estimate) Slow(now time.Duration) bool {
	mean, variance := e.moments(now)
	return mean > math.Log(slowThreshold) && mean > certainSigmas*math.Sqrt(variance)
}

// Known reports whether observations have at least halved the variance of an unknown
// worker.
func (e *Estimate) Known(now time.Duration) bool {
	_, variance := e.moments(now)
	return variance <= unknownVariance/2
}

// Restart adjusts the estimate to a new incarnation of the worker. Unless the host is of
// the same kind as before, the worker is unknown.
func (e *Estimate) Restart(now time.Duration, sameKind bool) {
	if !sameKind || e.variance == 0 {
		*e = Estimate{}
		return
	}
	e.set(now, e.age(now).times(restartWeight))
}
