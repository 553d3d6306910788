package graphs

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceLimit is how long calls may wait for the store without any answer before
	// callers' writes are no longer sent. The store normally answers within a few
	// milliseconds and, when slow, within sixty times that. silenceReadFactor raises
	// the limit, in multiples of the last read, so that a slow store is still used.
	silenceLimit      = 400 * time.Millisecond
	silenceReadFactor = 3
	// minWriteTime is the caller's remaining time below which no write is sent. A write
	// takes a few milliseconds, but a caller with 55 ms left got no answer when its
	// entry had little of a core. writeReadFactor and maxWriteTime scale it with the
	// last read, as a slow store needs longer.
	minWriteTime    = 100 * time.Millisecond
	writeReadFactor = 2
	maxWriteTime    = 400 * time.Millisecond
	// maxWriteShare bounds that time to a part of the caller's whole timeout, so that
	// callers with short timeouts are served by a store without trouble.
	maxWriteShare = 4
	// minRetryAfter and maxRetryAfter bound the retry delays. In between they grow with
	// the age of the outage.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

// RefusalReason is the reason why a caller's write was not sent to the store.
type RefusalReason string

// The reasons.
const (
	ReasonBreakerOpen   RefusalReason = "store-breaker-open"
	ReasonStoreSilent   RefusalReason = "store-silent"
	ReasonTooLittleTime RefusalReason = "too-little-time"
)

// storeView is what an entry knows about the store at the time of a call.
type storeView struct {
	breakerOpen  bool
	silence      time.Duration // time for which calls have waited without any answer
	readTime     time.Duration // duration of the last answered read
	outage       time.Duration // age of the failure of calls, 0 if the store answers
	configOutage time.Duration // the same for the watch of the configuration
}

// unavailable returns why the store is known not to answer this entry, or an empty
// reason.
func (v storeView) unavailable() RefusalReason {
	switch {
	case v.breakerOpen:
		return ReasonBreakerOpen
	case v.silence > max(silenceLimit, silenceReadFactor*v.readTime):
		return ReasonStoreSilent
	default:
		return ""
	}
}

// relayFirst reports whether a call is relayed before it is served here.
func (v storeView) relayFirst() bool { return v.configOutage > 0 || v.unavailable() != "" }

// age returns the age of the outage.
func (v storeView) age() time.Duration { return max(v.outage, v.configOutage, v.silence) }

// writeTime returns the remaining time that a caller needs for a write to be worth
// sending, given the caller's whole timeout.
func (v storeView) writeTime(wait time.Duration) time.Duration {
	need := max(minWriteTime, min(writeReadFactor*v.readTime, maxWriteTime))
	return min(need, wait/maxWriteShare)
}

// refuseWrite returns why a caller's write is not sent, or an empty reason.
func refuseWrite(v storeView, remaining, wait time.Duration) RefusalReason {
	if reason := v.unavailable(); reason != "" {
		return reason
	}
	if remaining < v.writeTime(wait) {
		return ReasonTooLittleTime
	}
	return ""
}

// retryAfter returns the retry delay during an outage of the given age. A hash of key
// (a job's ID) spreads the callers evenly up to a limit that grows from minRetryAfter
// to maxRetryAfter. Callers see whole seconds, rounded up, so the limit's three values
// are what they can tell apart: 1 s; 1 or 2 s; 1, 2 or 3 s.
func retryAfter(key string, age time.Duration) time.Duration {
	limit := min(minRetryAfter+age, maxRetryAfter)
	const steps = 1 << 20 // the resolution of the spread
	share := time.Duration(xxhash.Sum64String(key)%steps) + 1
	return limit * share / steps
}

// afterRelay returns the answer to a call that other entries have not served, given
// its answer here. If another entry may have carried it out, only a success is known.
func afterRelay(relayed, local Answer) Answer {
	if relayed.Outcome == Unknown && local.Outcome != OK {
		relayed.ConfigVersion = max(relayed.ConfigVersion, local.ConfigVersion)
		return relayed
	}
	return local
}
