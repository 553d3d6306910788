package runtimes

import "math"

const (
	// outlierSigmas is the distance from the mean, in standard deviations, beyond which
	// an observation moves mean and variance the less the further off it is. 3 % of the
	// jobs are seven times longer than usual. Limiting them to this distance, instead of
	// letting them count less, raised the error where estimates are good.
	outlierSigmas = 2.5
	// priorWeight is the weight of a prior, in observations.
	priorWeight = 4.0
	// memoryWeight limits the weight of the past, in observations, so that a queue
	// that changes is learned anew.
	memoryWeight = 30.0
	// changeRun is the number of consecutive outliers on one side after which the
	// distribution is taken to have changed. Outliers of single jobs (3 %) come in such
	// a row less than once in a million observations.
	changeRun = 4
	// changedWeight is the weight of the past after a change, in observations.
	changedWeight = 2.0
)

// distribution is a running mean and variance of a logarithm. Outliers count
// less, and old observations are forgotten.
type distribution struct {
	mean, variance float64
	// meanWeight and varianceWeight are the weights of the past in the mean and the
	// variance, in observations, including those of the priors.
	meanWeight, varianceWeight float64
	// outlierRun is the number of consecutive outliers on one side, negative below the
	// mean.
	outlierRun int
}

// predictiveVariance is the variance of the next observation: that of the
// distribution and that of its mean. It is infinite if nothing is known of the mean.
func (d *distribution) predictiveVariance() float64 {
	if d.meanWeight == 0 {
		return math.Inf(1)
	}
	return d.variance * (1 + 1/d.meanWeight)
}

// observe adds an observation with a weight of at most 1.
func (d *distribution) observe(x, weight float64) {
	first := d.meanWeight == 0
	diff := d.limit(x - d.mean)
	d.meanWeight = min(d.meanWeight+weight, memoryWeight)
	gain := weight / d.meanWeight
	d.mean += gain * diff
	if first {
		return // one observation shows nothing of the variance
	}
	d.varianceWeight = min(d.varianceWeight+weight, memoryWeight)
	d.variance += weight / d.varianceWeight * (diff*diff*(1-gain) - d.variance)
}

// limit returns the distance from the mean with which an observation counts. After
// changeRun outliers on one side it reduces the weight of the past instead.
func (d *distribution) limit(diff float64) float64 {
	most := outlierSigmas * math.Sqrt(d.predictiveVariance())
	switch {
	case diff > most:
		d.outlierRun = max(d.outlierRun, 0) + 1
	case diff < -most:
		d.outlierRun = min(d.outlierRun, 0) - 1
	default:
		d.outlierRun = 0
		return diff
	}
	if d.outlierRun == changeRun || d.outlierRun == -changeRun {
		d.outlierRun = 0
		d.meanWeight = min(d.meanWeight, changedWeight)
		d.varianceWeight = min(d.varianceWeight, changedWeight)
		return diff
	}
	return most * most / diff
}
