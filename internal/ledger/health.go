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
	slow     bool          // a failure since then was not an immediate one
	lastEnd  time.Duration
}

// immediate is the time up to which a failure counts as a rejection: nothing
// was waited for.
const immediate = 200 * time.Millisecond

func (h *health) answer(start, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = max(h.answered, start)
	h.known, h.failed, h.broken, h.slow = true, false, false, false
	h.lastEnd = now
}

func (h *health) failure(start, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = h.slow || now-start > immediate
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

// rejected returns for how long every call has been rejected at once, 0 if the
// store answers or some call was left without an answer.
func (h *health) rejected(now time.Duration) time.Duration {
	h.mu.Lock()
	slow := h.slow
	h.mu.Unlock()
	if slow {
		return 0
	}
	return h.outage(now)
}
