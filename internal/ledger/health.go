package ledger

import (
	"sync"
	"time"
)

// watchGap is the longest time between the ends of two calls in which an
// outage still counts as observed without a gap.
const watchGap = 2500 * time.Millisecond

// health follows whether the store answers. An outage counts only as long as
// calls were made, and failed, all the time since the last answer: a process
// that was paused, or made no calls, cannot tell what the others could do
// meanwhile.
type health struct {
	mu       sync.Mutex
	answered time.Duration // start of the last call that was answered
	known    bool          // there was an answer
	failed   bool          // a call has failed since
	broken   bool          // the calls since then had a gap
	lastEnd  time.Duration
}

func (h *health) answer(start, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = max(h.answered, start)
	h.known, h.failed, h.broken = true, false, false
	h.lastEnd = now
}

func (h *health) failure(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = h.broken || now-h.lastEnd > watchGap
	h.failed = true
	h.lastEnd = now
}

func (h *health) outage(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || !h.failed || h.broken || now-h.lastEnd > watchGap {
		return 0
	}
	return now - h.answered
}
