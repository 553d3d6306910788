package kernel

import "time"

// Backoff yields the delays between attempts that fail. They double from Min up to Max;
// half of each is random, so that processes that failed together do not retry together.
// It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	// Jitter returns a random factor in [0,1).
	Jitter func() float64

	longest time.Duration // bound of the last delay; 0 before the first one
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	b.longest = min(max(2*b.longest, b.Min), b.Max)
	return b.jittered(b.longest)
}

// NextAfter is Next for an attempt that took some time: the delay counts from its start.
// What remains is at least a first delay, so that slow attempts are not repeated together
// either.
func (b *Backoff) NextAfter(took time.Duration) time.Duration {
	return max(b.Next()-took, b.jittered(b.Min))
}

func (b *Backoff) jittered(longest time.Duration) time.Duration {
	half := longest / 2
	return half + time.Duration(b.Jitter()*float64(half))
}

// Reset makes the next delay the shortest again.
func (b *Backoff) Reset() { b.longest = 0 }
