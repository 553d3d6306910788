package workerhealth

import "time"

const (
	// recordThreshold is the slowness above which a worker counts as slow by its
	// record.
	recordThreshold = 1.15
	// recordMemory is the time after which an old comparison is forgotten.
	recordMemory = time.Minute
)

// Record is what whole comparisons have shown of a worker's speed, without regard to
// their precision. It is used while the feature worker-speeds is off.
type Record struct {
	// slowness is the run time of a task relative to that on a fast worker, at least
	// 1; 0 if unknown.
	slowness  float64
	learnedAt time.Duration
}

// Slow reports whether the worker is known to be slow.
func (r Record) Slow(now time.Duration) bool { return r.Slowness(now) > recordThreshold }

// Slowness returns the slowness of the worker, 1 if it is not known.
func (r Record) Slowness(now time.Duration) float64 {
	if !r.Known(now) {
		return 1
	}
	return r.slowness
}

// Known reports whether comparisons have shown the worker's speed lately.
func (r Record) Known(now time.Duration) bool {
	return r.slowness != 0 && now-r.learnedAt <= recordMemory
}

// Observe records a comparison in which the worker had the given slowness.
func (r *Record) Observe(now time.Duration, slowness, weight float64) {
	known := r.Slowness(now)
	*r = Record{slowness: max(1, known+weight*(slowness-known)), learnedAt: now}
}
