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

	inFlight        int           // calls in progress
	unanswered      bool          // a call has started since the last answer
	unansweredSince time.Duration // start of the first such call, or the last answer if calls were in progress then
	lastEnd         time.Duration // end of the last call, whatever its result
}

// maxIdleSilence is the longest time without a call in progress for which a silence
// continues. Entries read the ownership row every 200 ms, and a breaker delays its
// probes by at most 600 ms.
const maxIdleSilence = time.Second

func (h *health) recordStart(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.unanswered || h.idleTooLong(now) {
		h.unanswered, h.unansweredSince = true, now
	}
	h.inFlight++
}

func (h *health) recordEnd(now time.Duration, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.lastEnd = now
	if answered {
		h.unanswered, h.unansweredSince = h.inFlight > 0, now
	}
}

func (h *health) idleTooLong(now time.Duration) bool {
	return h.inFlight == 0 && now-h.lastEnd > maxIdleSilence
}

// silence returns the time since calls began to wait without any answer.
func (h *health) silence(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.unanswered || h.idleTooLong(now) {
		return 0
	}
	return now - h.unansweredSince
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
