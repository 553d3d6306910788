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
type unansweredStarts struct{ calls map[runRef]unansweredCalls }

type unansweredCalls struct {
	count  int
	lastAt time.Duration
}

// begin records a start call that is about to be sent.
func (u *unansweredStarts) begin(ref runRef, now time.Duration) {
	u.dropOld(now)
	if u.calls == nil {
		u.calls = map[runRef]unansweredCalls{}
	}
	u.calls[ref] = unansweredCalls{count: u.calls[ref].count + 1, lastAt: now}
}

// answered records that one start call of a run was answered or not sent.
func (u *unansweredStarts) answered(ref runRef) {
	c, ok := u.calls[ref]
	if !ok {
		return
	}
	if c.count--; c.count == 0 {
		delete(u.calls, ref)
		return
	}
	u.calls[ref] = c
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
	for ref, c := range u.calls {
		if now-c.lastAt > lateCallBound {
			delete(u.calls, ref)
		}
	}
}

// reset forgets all calls: a worker with another instance name refuses them.
func (u *unansweredStarts) reset() { u.calls = nil }
