package route

import "time"

// circuitBreaker stops claims while the table does not answer, so that claims
// that are bound to fail do not occupy slots. After breakerThreshold failures in
// a row it lets one claim through each breakerPause.
type circuitBreaker struct {
	failures int
	retryAt  time.Duration
}

// open reports whether no claim may be made now.
func (b *circuitBreaker) open(now time.Duration) bool {
	return b.failures >= breakerThreshold && now < b.retryAt
}

// allow reports whether a claim may be made now. If so, the caller makes it, and
// the pause to the next one begins.
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
