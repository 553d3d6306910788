// Package runtimes learns how long the steps of jobs run. For each queue it keeps the
// distributions of the logarithm of the run time and of the error of the callers'
// estimates, and combines both with an estimate by their precision. It does no I/O
// and reads no clock.
package runtimes

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// priorErrorSigma is the standard deviation of the logarithm of actual to
	// estimated run time that is expected of a queue before anything is learned. It lies
	// between the known queues' 0.2 and 0.9. With 0.3, the error after ten runs of the
	// latter is 0.49 instead of 0.43; with 0.5, the error after the first run of the
	// former is 0.24 instead of 0.21.
	priorErrorSigma = 0.4
	// priorRunTimeSigma is that of the run times of a queue. It is above the usual 0.3
	// to 0.5, so that the first runs of a queue move little.
	priorRunTimeSigma = 0.7
	// maxQueues limits the queues that are kept; the one observed least recently is
	// dropped first.
	maxQueues = 64
	// shortestRunTime is the run time below which differences have no meaning.
	shortestRunTime = time.Millisecond
)

// Model is what is known of the run times of queues. The zero value knows nothing.
// It is not safe for concurrent use.
type Model struct {
	queues []*queue // by name
	// observations counts all observations.
	observations uint64
}

// queue is what is known of one queue.
type queue struct {
	name string
	// runTime is the distribution of the logarithm of the run time in seconds, and
	// estimateError that of the logarithm of actual to estimated run time.
	runTime, estimateError distribution
	runs                   int
	// lastObserved is the number of the latest observation.
	lastObserved uint64
}

func newQueue(name string) *queue {
	return &queue{name: name,
		runTime:       distribution{variance: priorRunTimeSigma * priorRunTimeSigma, varianceWeight: priorWeight},
		estimateError: distribution{variance: priorErrorSigma * priorErrorSigma, meanWeight: priorWeight, varianceWeight: priorWeight},
	}
}

// Observation is the run time of a step that is known from its tasks.
type Observation struct {
	Queue string
	// Actual is the run time of a task on a worker of full speed.
	Actual time.Duration
	// Estimate is the caller's estimate, 0 if there is none.
	Estimate time.Duration
	// Weight is the weight of the observation, more than 0 and at most 1.
	Weight float64
}

// Observe adds an observation. One without a run time or a weight is ignored.
func (m *Model) Observe(o Observation) {
	if o.Actual <= 0 || !(o.Weight > 0) {
		return
	}
	weight := min(o.Weight, 1)
	q := m.findOrAdd(o.Queue)
	m.observations++
	q.lastObserved = m.observations
	q.runs++
	actual := logSeconds(o.Actual)
	q.runTime.observe(actual, weight)
	if o.Estimate > 0 {
		q.estimateError.observe(actual-logSeconds(o.Estimate), weight)
	}
}

// Runs returns the number of observations of a queue.
func (m *Model) Runs(name string) int {
	if q := m.find(name); q != nil {
		return q.runs
	}
	return 0
}

// Predict returns the run time expected of a step of a queue with the given
// estimate. Without an observation it is the estimate.
func (m *Model) Predict(name string, estimate time.Duration) Prediction {
	q := m.find(name)
	if q == nil {
		q = newQueue(name)
	}
	var p Prediction
	if estimate > 0 {
		p = Prediction{logMean: logSeconds(estimate) + q.estimateError.mean, variance: q.estimateError.predictiveVariance(), known: true}
		if q.runs == 0 {
			p.unchanged = estimate
		}
	}
	if q.runTime.meanWeight > 0 {
		p = p.combine(q.runTime.mean, q.runTime.predictiveVariance())
	}
	return p
}

func (m *Model) search(name string) (int, bool) {
	return slices.BinarySearchFunc(m.queues, name, func(q *queue, name string) int { return strings.Compare(q.name, name) })
}

func (m *Model) find(name string) *queue {
	if i, ok := m.search(name); ok {
		return m.queues[i]
	}
	return nil
}

func (m *Model) findOrAdd(name string) *queue {
	if q := m.find(name); q != nil {
		return q
	}
	if len(m.queues) >= maxQueues {
		m.dropOldest()
	}
	i, _ := m.search(name)
	q := newQueue(name)
	m.queues = slices.Insert(m.queues, i, q)
	return q
}

// dropOldest drops the queue that was observed least recently.
func (m *Model) dropOldest() {
	oldest := 0
	for i, q := range m.queues {
		if q.lastObserved < m.queues[oldest].lastObserved {
			oldest = i
		}
	}
	m.queues = slices.Delete(m.queues, oldest, oldest+1)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, shortestRunTime).Seconds()) }
