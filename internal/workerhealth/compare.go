package workerhealth

import (
	"math"
	"time"
)

const (
	// GangSpread and TaskSpread are the standard deviations of the logarithm of the
	// work of the members of a gang and of the single tasks of a step. The work of
	// gang members is equal; the rest is what else affects their progress. The work
	// of single tasks differs by 15 to 30 %.
	GangSpread = 0.03
	TaskSpread = 0.2
	// startUncertainty is the standard deviation of the time at which a run begins
	// after its start was ordered.
	startUncertainty = 100 * time.Millisecond
	// minElapsed and minPercent are the time and the progress from which on a rate is
	// used.
	minElapsed = 300 * time.Millisecond
	minPercent = 2
	// maxPercent is the highest progress of a running task. Members of a gang that
	// have done their work wait there for the others.
	maxPercent = 99
	// minGrowth is the factor by which the precision of a run's rate or of the rest of
	// its comparison has to grow for another reading to be used.
	minGrowth = 1.2
	// minRecorded is the least precision of the rate of runs from which their queue
	// learns: that of one run on an unknown worker.
	minRecorded = 4.0
)

// Reading is the rate of a run in logarithms of percent per second. The variance
// comes from the resolution of the progress and of the time.
type Reading struct {
	LogRate  float64
	Variance float64
}

// ReadFresh returns the reading of a run that started without a checkpoint and
// reported the given progress after the given time; ok is false if it is too early.
func ReadFresh(percent int, elapsed time.Duration) (r Reading, ok bool) {
	if percent < minPercent || percent >= maxPercent || elapsed < minElapsed {
		return Reading{}, false
	}
	// The percentage is rounded down: the progress is uniform within one percent.
	gained := float64(percent) + 0.5
	seconds := elapsed.Seconds()
	uncertain := startUncertainty.Seconds() / seconds
	return Reading{math.Log(gained / seconds), 1/(12*gained*gained) + uncertain*uncertain}, true
}

// ReadGain returns the reading of a run by the progress between two reports.
func ReadGain(from, to int, elapsed time.Duration) (r Reading, ok bool) {
	gained := float64(to - from)
	if gained <= minPercent || to >= maxPercent || elapsed < minElapsed {
		return Reading{}, false
	}
	return Reading{math.Log(gained / elapsed.Seconds()), 1 / (6 * gained * gained)}, true
}

// ReadDone returns the reading of a run that is done after the given time.
func ReadDone(elapsed time.Duration) (r Reading, ok bool) {
	if elapsed < minElapsed {
		return Reading{}, false
	}
	seconds := elapsed.Seconds()
	uncertain := startUncertainty.Seconds() / seconds
	return Reading{math.Log(100 / seconds), uncertain * uncertain}, true
}

// Comparison relates the rates of runs that do about the same work on different
// workers. It estimates the log rate of this work on a fast worker from
// the rates of all runs, each corrected by the slowness of its worker.
//
// A worker is compared with all other workers of the comparison, and never with itself:
// what it contributes rests on what other comparisons have shown of it, and what the
// comparison has shown of it is replaced when its runs have progressed. Otherwise the
// workers of a gang would confirm each other in an error that they have in common.
type Comparison struct {
	precision float64 // sum of those of the shares
	weighted  float64 // sum of their log rates times their precisions
	spread    float64 // standard deviation of the logarithm of the runs' work
	prior     float64 // precision of the expected run time; 0 if it is not known
	expected  float64 // log rate by the expected run time, corrected by bias
	bias      float64
	recorded  bool
	// sharpest is the most precise log rate on a fast worker that the runs of one
	// worker show together with all that is known of it.
	sharpest natural
	shares   map[*Estimate]*share
}

// share is what the runs on one worker contribute to a comparison.
type share struct {
	read        natural // the runs' rates
	contributed natural // those corrected by the slowness of the worker
	shown       natural // what the comparison has shown of the worker's slowness
	others      float64 // precision of the other workers at that time
}

// Run is the part of one run in a comparison.
type Run struct {
	read  natural
	share *share
}

// NewComparison returns the comparison of runs whose work differs by the given spread.
// The queue relates their expected run time to their rate.
func NewComparison(spread float64, runTime time.Duration, queue *Queue) Comparison {
	c := Comparison{spread: spread, shares: map[*Estimate]*share{}}
	if runTime <= 0 {
		return c
	}
	bias, variance := queue.errorOfRates()
	c.expected = math.Log(100/runTime.Seconds()) + bias
	c.bias = bias
	c.prior = 1 / variance
	return c
}

// Add uses the latest reading of a run on a worker, which replaces the earlier ones of
// the run. It reports whether it changed the worker's estimate.
func (c *Comparison) Add(now time.Duration, worker *Estimate, run *Run, r Reading) bool {
	read := normal(r.LogRate, r.Variance+c.spread*c.spread)
	s := c.shareOf(worker, run)
	others := natural{c.precision, c.weighted}.minus(s.contributed)
	if read.precision < minGrowth*run.read.precision && others.precision < minGrowth*s.others {
		return false
	}
	s.read = s.read.plus(read).minus(run.read)
	run.read = read
	rate, noise := s.read.weighted/s.read.precision, 1/s.read.precision

	rest := worker.without(now, s.shown)
	mean, variance := rest.moments()
	contributed := normal(rate+mean, noise+variance)
	c.precision += contributed.precision - s.contributed.precision
	c.weighted += contributed.weighted - s.contributed.weighted
	s.contributed = contributed
	others = others.plus(c.expectedRate(rate + mean))
	if others.precision <= 0 {
		return false
	}
	s.others = others.precision
	s.shown = normal(others.weighted/others.precision-rate, noise+1/others.precision)
	worker.replace(now, rest, s.shown, mean, variance)
	mean, variance = worker.moments(now)
	if sharper := normal(rate+mean, noise+variance); sharper.precision > c.sharpest.precision {
		c.sharpest = sharper
	}
	return true
}

// expectedRate returns what the expected run time tells of a worker whose runs have shown
// the given log rate. An expectation far from that tells little: the work may take many
// times longer than estimated, on whatever worker.
func (c *Comparison) expectedRate(shown float64) natural {
	if c.prior == 0 {
		return natural{}
	}
	difference := shown - c.expected
	return normal(c.expected, math.Max(1/c.prior, difference*difference))
}

func (c *Comparison) shareOf(worker *Estimate, run *Run) *share {
	if run.share == nil {
		run.share = c.shares[worker]
	}
	if run.share == nil {
		run.share = &share{}
		c.shares[worker] = run.share
	}
	return run.share
}

// LogRate returns the log rate of the work on a fast worker and its variance, as the runs
// have shown it; ok is false if they have shown nothing. The expected run time is left out,
// as a run that takes many times longer would seem to lag wherever it is.
func (c *Comparison) LogRate() (mean, variance float64, ok bool) {
	shown := natural{c.precision, c.weighted}
	if c.sharpest.precision > shown.precision {
		shown = c.sharpest
	}
	if shown.precision <= 0 {
		return 0, 0, false
	}
	return shown.weighted / shown.precision, 1/shown.precision + c.spread*c.spread, true
}

// Record teaches the queue, once a comparison, how far off the expected run time is.
func (c *Comparison) Record(queue *Queue) {
	if c.recorded || c.prior == 0 || c.precision < minRecorded {
		return
	}
	c.recorded = true
	queue.record(c.weighted/c.precision - c.expected + c.bias)
}
