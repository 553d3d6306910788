package runtimes

import (
	"math"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Snapshot is the state of a model, to be stored and restored.
type Snapshot struct {
	Queues []QueueSnapshot `json:"queues"` // by name
}

// QueueSnapshot is what is known of a queue.
type QueueSnapshot struct {
	Name          string               `json:"name"`
	RunTime       DistributionSnapshot `json:"time"`
	EstimateError DistributionSnapshot `json:"error"`
	Runs          int                  `json:"runs"`
	// LastObserved orders the queues by their latest observation.
	LastObserved uint64 `json:"last"`
}

// DistributionSnapshot is the state of a distribution of a logarithm.
type DistributionSnapshot struct {
	Mean           float64 `json:"m"`
	Variance       float64 `json:"v"`
	MeanWeight     float64 `json:"mw"`
	VarianceWeight float64 `json:"vw"`
}

// Snapshot returns a copy of the state.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Queues: make([]QueueSnapshot, 0, len(m.queues))}
	for _, q := range m.queues {
		s.Queues = append(s.Queues, QueueSnapshot{Name: q.name, RunTime: q.runTime.snapshot(), EstimateError: q.estimateError.snapshot(),
			Runs: q.runs, LastObserved: q.lastObserved})
	}
	return s
}

// Restore returns a model with the state of a snapshot. A snapshot that no model has
// made gives a NotValid error.
func Restore(s Snapshot) (*Model, error) {
	if len(s.Queues) > maxQueues {
		return nil, errors.NotValidf("snapshot of %d queues (at most %d)", len(s.Queues), maxQueues)
	}
	m := &Model{}
	for _, q := range s.Queues {
		if err := q.validate(); err != nil {
			return nil, errors.Annotatef(err, "queue %q", q.Name)
		}
		m.queues = append(m.queues, &queue{name: q.Name, runTime: q.RunTime.restore(), estimateError: q.EstimateError.restore(),
			runs: q.Runs, lastObserved: q.LastObserved})
		m.observations = max(m.observations, q.LastObserved)
	}
	slices.SortFunc(m.queues, func(a, b *queue) int { return strings.Compare(a.name, b.name) })
	for i := range m.queues[min(1, len(m.queues)):] {
		if m.queues[i].name == m.queues[i+1].name {
			return nil, errors.NotValidf("snapshot with two queues %q", m.queues[i].name)
		}
	}
	return m, nil
}

func (q QueueSnapshot) validate() error {
	if q.Runs < 0 {
		return errors.NotValidf("number of runs %d", q.Runs)
	}
	if err := q.RunTime.validate(); err != nil {
		return errors.Annotate(err, "run time")
	}
	if q.EstimateError.MeanWeight < changedWeight {
		return errors.NotValidf("weight %v of the estimate error", q.EstimateError.MeanWeight)
	}
	return errors.Annotate(q.EstimateError.validate(), "estimate error")
}

// maxLogMean limits the mean of a logarithm: e to the 20th seconds are 15 years.
const maxLogMean = 20.0

func (d DistributionSnapshot) validate() error {
	switch {
	case !(math.Abs(d.Mean) <= maxLogMean):
		return errors.NotValidf("mean %v", d.Mean)
	case !(d.Variance >= 0 && d.Variance <= maxLogMean*maxLogMean):
		return errors.NotValidf("variance %v", d.Variance)
	case !(d.MeanWeight >= 0 && d.MeanWeight <= memoryWeight && d.VarianceWeight > 0 && d.VarianceWeight <= memoryWeight):
		return errors.NotValidf("weights %v and %v", d.MeanWeight, d.VarianceWeight)
	}
	return nil
}

// snapshot omits the run of outliers: a change is noticed a few observations later.
func (d *distribution) snapshot() DistributionSnapshot {
	return DistributionSnapshot{Mean: d.mean, Variance: d.variance, MeanWeight: d.meanWeight, VarianceWeight: d.varianceWeight}
}

func (d DistributionSnapshot) restore() distribution {
	return distribution{mean: d.Mean, variance: d.Variance, meanWeight: d.MeanWeight, varianceWeight: d.VarianceWeight}
}
