package ledger

import (
	"sync"
	"time"
)

// maxObservationGap is the longest time between the ends of two calls for which an
// outage counts as observed without a gap.
const maxObservationGap = 2500 * time.Millisecond

// health tracks whether the store answers. An outage counts only while calls have
// been made, and have failed, continuously since the last answer: a process that
// was paused or made no calls cannot know whether the store answered other
// processes in the meantime.
type health struct {
	mu              sync.Mutex
	lastAnswerStart time.Duration // start of the last answered call
	hasAnswered     bool          // some call has been answered
	hasFailed       bool          // a call has failed since the last answer
	hasGap          bool          // more than maxObservationGap passed between two calls since then
	hasSlowFailure  bool          // a failure since then took longer than maxRejectionTime
	lastCallEnd     time.Duration
}

// maxRejectionTime is the longest duration of a failed call that counts as an
// immediate rejection rather than as a call without an answer.
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

// rejectionTime returns the duration of an outage in which every call was rejected
// immediately. It is 0 if the store answers or if some call got no answer.
func (h *health) rejectionTime(now time.Duration) time.Duration {
	h.mu.Lock()
	slow := h.hasSlowFailure
	h.mu.Unlock()
	if slow {
		return 0
	}
	return h.outage(now)
}
