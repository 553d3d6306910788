package workerhealth

import (
	"slices"
	"time"
)

const (
	// FailureWindow is the time for which a failed run counts against its worker.
	FailureWindow = 12 * time.Second
	// quarantineThreshold is the number of failed runs of different units, with no
	// successful run begun since, at which a worker is quarantined: it gets no new
	// work.
	quarantineThreshold = 2
	// initialQuarantine is the duration of the first quarantine. It doubles with
	// each further one, up to maxQuarantine.
	initialQuarantine = 4 * time.Second
	maxQuarantine     = 16 * time.Second
	// maxDoublings keeps the doubled duration within the range of time.Duration.
	maxDoublings = 8
)

// Failures holds the failed runs of a worker. U identifies a unit of work.
type Failures[U comparable] struct {
	recent           []failure[U]
	quarantinedUntil time.Duration
	quarantines      int
}

type failure[U comparable] struct {
	at   time.Duration
	unit U
}

// Record counts a failed or stalled run of a unit. It returns the duration of the
// quarantine that this begins, or 0.
func (f *Failures[U]) Record(now time.Duration, unit U) time.Duration {
	f.recent = slices.DeleteFunc(f.recent, func(o failure[U]) bool { return now-o.at > FailureWindow || o.unit == unit })
	f.recent = append(f.recent, failure[U]{now, unit})
	if len(f.recent) < quarantineThreshold {
		return 0
	}
	d := min(initialQuarantine<<min(f.quarantines, maxDoublings), maxQuarantine)
	f.quarantinedUntil = now + d
	f.quarantines++
	return d
}

// TakeBack removes the failures of a unit, and the quarantine if it rests on them.
func (f *Failures[U]) TakeBack(unit U) {
	before := len(f.recent)
	f.recent = slices.DeleteFunc(f.recent, func(o failure[U]) bool { return o.unit == unit })
	if len(f.recent) < before && len(f.recent) < quarantineThreshold {
		f.EndQuarantine()
	}
}

// EndQuarantine ends the quarantine early. It does not make the next one longer.
func (f *Failures[U]) EndQuarantine() {
	if f.quarantinedUntil > 0 {
		f.quarantines--
	}
	f.quarantinedUntil = 0
}

// QuarantinedUntil returns when the last quarantine ends, 0 if there was none.
func (f *Failures[U]) QuarantinedUntil() time.Duration { return f.quarantinedUntil }

// Succeed records that a run was done that had begun at the given time. It clears the failures
// and a first quarantine, as units may have failed for reasons of their own. After more
// failures only those before that time are cleared, and the quarantine if it rests on them: a
// worker that fails what it is given may finish what it had begun before.
func (f *Failures[U]) Succeed(began time.Duration) {
	before := len(f.recent)
	f.recent = slices.DeleteFunc(f.recent, func(o failure[U]) bool { return o.at < began })
	switch {
	case len(f.recent) == 0 || f.quarantines <= 1:
		*f = Failures[U]{}
	case len(f.recent) < before && len(f.recent) < quarantineThreshold:
		f.EndQuarantine()
	}
}

// Restart adjusts the failures to a new incarnation of the worker. Its next quarantine
// is longer if the earlier incarnation had any.
func (f *Failures[U]) Restart() { f.recent, f.quarantinedUntil = nil, 0 }

// Quarantined reports whether the worker gets no new work.
func (f *Failures[U]) Quarantined(now time.Duration) bool { return f.quarantinedUntil > now }

// Count returns the number of recorded failures since the last successful run began, of those
// that were recent at the last one.
func (f *Failures[U]) Count() int { return len(f.recent) }

// Recent reports whether a run has failed within FailureWindow.
func (f *Failures[U]) Recent(now time.Duration) bool {
	return slices.ContainsFunc(f.recent, func(o failure[U]) bool { return now-o.at <= FailureWindow })
}
