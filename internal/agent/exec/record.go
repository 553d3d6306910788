package exec

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

type state string

const (
	stateQueued  state = "queued"
	stateRunning state = "running"
	// stateRan means that the call has ended and may have had effects.
	stateRan state = "ran"
	// stateRefused means that the attempt has not run and never will.
	stateRefused state = "refused"
)

// waiter is an entry that awaits the result of an attempt.
type waiter struct {
	entry string
	acked bool
}

// record is the state of one attempt. The first waiter is the entry that sent
// the attempt's first message.
type record struct {
	ref        Ref
	seq        uint64
	state      state
	idempotent bool
	stamp      time.Duration
	permitEnd  time.Duration
	deadline   time.Duration
	endedAt    time.Duration
	outcome    api.Outcome
	detail     string
	hasBody    bool
	bodySize   int64
	// inAckedBodies is set while the attempt is in Core.ackedBodies.
	inAckedBodies bool
	waiters       []waiter
	// resendAt is when the result is sent again to waiters that have not
	// acknowledged it. resendDelay is the current delay between resends.
	resendAt    time.Duration
	resendDelay time.Duration
}

// ended reports whether the attempt has a final outcome.
func (r *record) ended() bool { return r.state == stateRan || r.state == stateRefused }

// firstWaiterAcked reports whether the first waiter has acknowledged the result.
func (r *record) firstWaiterAcked() bool { return r.waiters[0].acked }

// awaitedBy reports whether the entry is a waiter that has not acknowledged the
// result.
func (r *record) awaitedBy(entry string) bool {
	for _, w := range r.waiters {
		if w.entry == entry {
			return !w.acked
		}
	}
	return false
}

// addWaiter makes an entry a waiter without acknowledgement. Beyond maxWaiters
// the oldest waiter except the first is dropped; it can ask for the result again.
func (r *record) addWaiter(entry string) {
	for i := range r.waiters {
		if r.waiters[i].entry == entry {
			r.waiters[i].acked = false
			return
		}
	}
	if len(r.waiters) == maxWaiters {
		r.waiters = append(r.waiters[:1], r.waiters[2:]...)
	}
	r.waiters = append(r.waiters, waiter{entry: entry})
}

func (r *record) markAcked(entry string) {
	for i := range r.waiters {
		if r.waiters[i].entry == entry {
			r.waiters[i].acked = true
		}
	}
}

// keepUntil returns the time until which the record of an ended attempt is kept.
// The record of a refused, acknowledged or idempotent attempt is needed only
// while its permission to start may still be valid.
func (r *record) keepUntil(resultTTL time.Duration, underPressure bool) time.Duration {
	earliest := r.stamp + MaxPermit
	latest := max(earliest, r.endedAt+resultTTL)
	switch {
	case r.state == stateRan && !r.idempotent && !(underPressure && r.firstWaiterAcked()):
		return latest
	case underPressure || r.firstWaiterAcked():
		return earliest
	default:
		return latest
	}
}
