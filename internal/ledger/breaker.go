package ledger

import (
	"sync"
	"time"
)

// Limits of the breaker.
const (
	breakerThreshold = 3
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 600 * time.Millisecond
)

// breaker stops calls to a store that fails. After breakerThreshold failures
// in a row it opens; then one probe at a time is let through, after a jittered
// wait that doubles up to backoffMax. Any success closes it.
type breaker struct {
	mu       sync.Mutex
	jitter   func() float64
	failures int
	wait     time.Duration
	retryAt  time.Duration
	probing  bool
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerThreshold
}

// allow reports whether a call may be made now. Every allowed call must be
// followed by succeeded, failed or abandoned.
func (b *breaker) allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if b.probing || now < b.retryAt {
		return false
	}
	b.probing = true
	return true
}

// due reports whether the next probe may be made.
func (b *breaker) due(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.probing && now >= b.retryAt
}

// delay returns how long a caller should wait before it asks again.
func (b *breaker) delay(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.retryAt-now, backoffMin/2)
}

// succeeded closes the breaker and reports whether it was open.
func (b *breaker) succeeded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasOpen := b.failures >= breakerThreshold
	b.failures, b.wait, b.probing = 0, 0, false
	return wasOpen
}

// failed counts a failure and reports whether the breaker has just opened. A
// call that was in flight when the breaker opened changes nothing.
func (b *breaker) failed(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures >= breakerThreshold && !b.probing {
		return false
	}
	b.failures++
	b.probing = false
	b.wait = min(max(2*b.wait, backoffMin), backoffMax)
	half := b.wait / 2
	b.retryAt = now + half + time.Duration(b.jitter()*float64(half))
	return b.failures == breakerThreshold
}

// abandoned ends a call that tells nothing about the store.
func (b *breaker) abandoned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
