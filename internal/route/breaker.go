package route

import "time"

// circuitBreaker keeps claims from a table that does not answer, so that they do not
// hold slots for nothing. After breakerFailures in a row one claim is tried
// each breakerPause.
type circuitBreaker struct {
	failures int
	retryAt  time.Duration
}

// open reports whether no claim may be made now.
func (b *circuitBreaker) open(now time.Duration) bool {
	return b.failures >= breakerThreshold && now < b.retryAt
}

// allow reports whether a claim may be made now, and counts it as made.
func (b *circuitBreaker) allow(now time.Duration) bool {
	if b.open(now) {
		return false
	}
	b.retryAt = now + breakerPause
	return true
}

func (b *circuitBreaker) recordFailure(now time.Duration) {
	b.failures++
	b.retryAt = now + breakerPause
}

func (b *circuitBreaker) recordSuccess() { b.failures = 0 }
