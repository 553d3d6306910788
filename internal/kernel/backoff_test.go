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
