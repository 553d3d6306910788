package keeper

import (
	"cmp"
	"slices"
	"time"
)

// lateCallBound is the longest time after which a worker may execute a call that it has
// not answered. The platform speaks of seconds.
const lateCallBound = 30 * time.Second

// unansweredStarts holds the runs with start calls that the worker has not answered. Such
// a call may be executed late, also by the next incarnation under the same instance name,
// which knows no run number. It does no I/O; times are on the agent's clock.
type unansweredStarts struct {
	calls map[runRef][]time.Duration // by run, when its calls were sent, in order
}

// begin records a start call that is about to be sent.
func (u *unansweredStarts) begin(ref runRef, now time.Duration) {
	u.dropOld(now)
	if u.calls == nil {
		u.calls = map[runRef][]time.Duration{}
	}
	u.calls[ref] = append(u.calls[ref], now)
}

// answered records that the last start call of a run was answered or not sent. Calls of a run
// are made in turn.
func (u *unansweredStarts) answered(ref runRef) {
	switch n := len(u.calls[ref]); n {
	case 0:
	case 1:
		delete(u.calls, ref)
	default:
		u.calls[ref] = u.calls[ref][:n-1]
	}
}

// age returns the time since the last unanswered call of a run.
func (u *unansweredStarts) age(ref runRef, now time.Duration) time.Duration {
	sent := u.calls[ref]
	return now - sent[len(sent)-1]
}

// runs returns the runs whose start may still be executed, ordered by task and run.
func (u *unansweredStarts) runs(now time.Duration) []runRef {
	u.dropOld(now)
	refs := make([]runRef, 0, len(u.calls))
	for ref := range u.calls {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b runRef) int {
		return cmp.Or(cmp.Compare(a.task.String(), b.task.String()), cmp.Compare(a.run, b.run))
	})
	return refs
}

func (u *unansweredStarts) dropOld(now time.Duration) {
	for ref := range u.calls {
		if u.age(ref, now) > lateCallBound {
			delete(u.calls, ref)
		}
	}
}

// reset forgets all calls: a worker with another instance name refuses them.
func (u *unansweredStarts) reset() { u.calls = nil }
