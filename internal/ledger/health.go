package ledger

import (
	"sync"
	"time"
)

// maxObservationGap is the longest time between the ends of two calls in which an
// outage still counts as observed without a gap.
const maxObservationGap = 2500 * time.Millisecond

// health follows whether the store answers. An outage counts only as long as
// calls were made, and failed, all the time since the last answer: a process
// that was paused, or made no calls, cannot tell what the others could do
// meanwhile.
type health struct {
	mu              sync.Mutex
	lastAnswerStart time.Duration // start of the last call that was answered
	hasAnswered     bool          // there was an answer
	hasFailed       bool          // a call has failed since
	hasGap          bool          // the calls since then had a gap
	hasSlowFailure  bool          // a failure since then was not an immediate one
	lastCallEnd     time.Duration
}

// maxRejectionTime is the time up to which a failure counts as a rejection: nothing
// was waited for.
const maxRejectionTime = 200 * time.Millisecond

func (h *health) recordAnswer(start, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastAnswerStart = max(h.lastAnswerStart, start)
	h.hasAnswered, h.hasFailed, h.hasGap, h.hasSlowFailure = true, false, false, false
	h.lastCallEnd = now
}

func (h *health) recordFailure(start, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasSlowFailure = h.hasSlowFailure || now-start > maxRejectionTime
	h.hasGap = h.hasGap || now-h.lastCallEnd > maxObservationGap
	h.hasFailed = true
	h.lastCallEnd = now
}

func (h *health) outage(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasAnswered || !h.hasFailed || h.hasGap || now-h.lastCallEnd > maxObservationGap {
		return 0
	}
	return now - h.lastAnswerStart
}

// rejectionTime returns for how long every call has been rejectionTime at once, 0 if the
// store answers or some call was left without an answer.
func (h *health) rejectionTime(now time.Duration) time.Duration {
	h.mu.Lock()
	slow := h.hasSlowFailure
	h.mu.Unlock()
	if slow {
		return 0
	}
	return h.outage(now)
}
