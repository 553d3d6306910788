package route

import "time"

// breaker keeps claims from a table that does not answer, so that they do not
// hold slots for nothing. After breakerFailures in a row one claim is tried
// each breakerPause.
type breaker struct {
	failures int
	until    time.Duration
}

// open reports whether no claim may be made now.
func (b *breaker) open(now time.Duration) bool {
	return b.failures >= breakerFailures && now < b.until
}

// allow reports whether a claim may be made now, and counts it as made.
func (b *breaker) allow(now time.Duration) bool {
	if b.open(now) {
		return false
	}
	b.until = now + breakerPause
	return true
}

func (b *breaker) failed(now time.Duration) {
	b.failures++
	b.until = now + breakerPause
}

func (b *breaker) answered() { b.failures = 0 }
