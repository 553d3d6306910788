package kernel

import (
	"testing"
	"time"
)

// TestBackoffIsBounded guards against delays that shrink, exceed the maximum or stay long after a reset.
func TestBackoffIsBounded(t *testing.T) {
	random := 0.0
	b := Backoff{Min: 100 * time.Millisecond, Max: 350 * time.Millisecond, Jitter: func() float64 { return random }}
	for _, want := range []time.Duration{50, 100, 175, 175} {
		if got := b.Next(); got != want*time.Millisecond {
			t.Errorf("delay without jitter %v, want %v ms", got, int64(want))
		}
	}
	b.Reset()
	random = 0.5
	for _, want := range []time.Duration{75, 150, 262} {
		if got := b.Next(); got.Truncate(time.Millisecond) != want*time.Millisecond {
			t.Errorf("delay with half of the jitter %v, want %v ms", got, int64(want))
		}
	}
}

// TestBackoffCountsTimeOfAttempt guards against delays that an attempt which takes long prolongs or leaves out.
func TestBackoffCountsTimeOfAttempt(t *testing.T) {
	b := Backoff{Min: 100 * time.Millisecond, Max: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }}
	for _, tc := range []struct{ took, want time.Duration }{{0, 75}, {0, 150}, {100, 200}, {290, 75}, {400, 75}, {0, 300}} {
		if got := b.NextAfter(tc.took * time.Millisecond); got != tc.want*time.Millisecond {
			t.Errorf("delay after an attempt of %v ms: %v, want %v ms", int64(tc.took), got, int64(tc.want))
		}
	}
}
