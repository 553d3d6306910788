package workerhealth

import (
	"math"
	"time"

	"github.com/juju/errors"
)

// Snapshot is the learned state of a fleet. It is a plain value for storage.
type Snapshot struct {
	Workers []WorkerState `json:"workers,omitempty"`
	Queues  []QueueState  `json:"queues,omitempty"`
}

// WorkerState is the estimate of one worker.
type WorkerState struct {
	Worker      string `json:"w"`
	Incarnation string `json:"i,omitempty"`
	// Kind is the kind of the host; see Estimate.Restart.
	Kind string `json:"k,omitempty"`
	// LogSlowness and Precision are what observations have shown.
	LogSlowness float64       `json:"s"`
	Precision   float64       `json:"p"`
	Age         time.Duration `json:"a,omitempty"`
}

// QueueState is the error of the expected run times of one queue.
type QueueState struct {
	Queue    string  `json:"q"`
	Weight   float64 `json:"n"`
	Bias     float64 `json:"b"`
	Variance float64 `json:"v"`
}

// Save returns the state of an estimate. It is as of the given time, so its age is 0.
func (e *Estimate) Save(now time.Duration, worker, incarnation, kind string) WorkerState {
	shown := e.age(now)
	return WorkerState{Worker: worker, Incarnation: incarnation, Kind: kind, Precision: shown.precision, LogSlowness: shown.weighted / max(shown.precision, minSavedPrecision)}
}

const (
	// minSavedPrecision avoids a division by zero for an unknown worker.
	minSavedPrecision = 1e-9
	// maxLogSlowness is beyond any slowness at which a worker still makes progress.
	maxLogSlowness = 7.0
)

// Restore returns the estimate of a worker that reports the given incarnation and kind.
// It is unknown if the state is invalid or of a host of another kind.
func (s WorkerState) Restore(now time.Duration, incarnation, kind string) Estimate {
	var e Estimate
	if !s.Valid() {
		return e
	}
	e.shown, e.at = normal(s.LogSlowness, 1/s.Precision), now-s.Age
	e.set(now, e.age(now))
	if s.Incarnation != incarnation || incarnation == "" {
		e.Restart(now, s.Kind == kind)
	}
	return e
}

// Save returns the state of a queue.
func (q *Queue) Save(name string) QueueState {
	return QueueState{Queue: name, Weight: q.weight, Bias: q.bias, Variance: q.square}
}

// Restore returns the queue of a state, or an unknown queue if the state is invalid.
func (s QueueState) Restore() Queue {
	if !s.Valid() {
		return Queue{}
	}
	return Queue{weight: s.Weight, bias: s.Bias, square: s.Variance}
}

const (
	// maxWorkers limits the workers of a snapshot, as the largest fleets have some
	// hundred, and maxQueues its queues.
	maxWorkers = 4096
	maxQueues  = 1024
	// maxSavedPrecision allows for the rounding of saved numbers.
	maxSavedPrecision = 1.001 * maxPrecision
	// maxStateAge limits the age of a state, so that sums of ages don't overflow.
	maxStateAge = 24 * time.Hour
	// maxQueueVariance is that of errors as large as the largest slowness.
	maxQueueVariance = maxLogSlowness * maxLogSlowness
)

// Validate returns a NotValid error if no estimates can have given the snapshot.
func (s Snapshot) Validate() error {
	if len(s.Workers) > maxWorkers || len(s.Queues) > maxQueues {
		return errors.NotValidf("speeds of %d workers and %d queues", len(s.Workers), len(s.Queues))
	}
	workers := make(map[string]bool, len(s.Workers))
	for _, w := range s.Workers {
		if !w.Valid() || workers[w.Worker] {
			return errors.NotValidf("speed of worker %q: %+v", w.Worker, w)
		}
		workers[w.Worker] = true
	}
	queues := make(map[string]bool, len(s.Queues))
	for _, q := range s.Queues {
		if !q.Valid() || queues[q.Queue] {
			return errors.NotValidf("errors of queue %q: %+v", q.Queue, q)
		}
		queues[q.Queue] = true
	}
	return nil
}

// Valid reports whether an estimate can have given the state.
func (s WorkerState) Valid() bool {
	return s.Worker != "" && s.Precision > 0 && s.Precision <= maxSavedPrecision && math.Abs(s.LogSlowness) < maxLogSlowness && s.Age >= 0 && s.Age <= maxStateAge
}

// Valid reports whether a queue can have given the state.
func (s QueueState) Valid() bool {
	return s.Weight >= 0 && s.Weight <= maxQueueWeight && s.Variance >= 0 && s.Variance <= maxQueueVariance && math.Abs(s.Bias) < maxLogSlowness
}
