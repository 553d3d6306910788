package ledger

import (
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

// Parameters of the breaker.
const (
	breakerThreshold = 3
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 600 * time.Millisecond
)

// breaker is a circuit breaker for calls to the store. It opens after
// breakerThreshold consecutive failures. While it is open it permits one probe at a
// time, after a jittered backoff that doubles up to backoffMax. Any success closes
// it.
type breaker struct {
	mu       sync.Mutex
	failures int
	backoff  kernel.Backoff
	retryAt  time.Duration
	probing  bool
}

func newBreaker(jitter func() float64) *breaker {
	return &breaker{backoff: kernel.Backoff{Min: backoffMin, Max: backoffMax, Jitter: jitter}}
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerThreshold
}

// allow reports whether a call may be made now. Every allowed call must be followed
// by recordSuccess, recordFailure or recordInconclusive.
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

// probeDue reports whether the next probe may be made.
func (b *breaker) probeDue(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.probing && now >= b.retryAt
}

// retryDelay returns how long a caller should wait before calling allow again.
func (b *breaker) retryDelay(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.retryAt-now, backoffMin/2)
}

// recordSuccess closes the breaker and reports whether it was open.
func (b *breaker) recordSuccess() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasOpen := b.failures >= breakerThreshold
	b.failures, b.probing = 0, false
	b.backoff.Reset()
	return wasOpen
}

// recordFailure counts a failure and reports whether it has opened the breaker. The
// failure of a call that was in flight when the breaker opened is ignored.
func (b *breaker) recordFailure(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures >= breakerThreshold && !b.probing {
		return false
	}
	b.failures++
	b.probing = false
	b.retryAt = now + b.backoff.Next()
	return b.failures == breakerThreshold
}

// recordInconclusive ends a call whose result does not show the store's state.
func (b *breaker) recordInconclusive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
