package keeper

import (
	"cmp"
	"slices"
	"time"
)

// lateCallBound is the longest time after which a worker may execute a call that it has
// not answered. The platform speaks of seconds.
const lateCallBound = 30 * time.Second

// unansweredStarts holds the start calls that this process has made lately. One that the
// worker has not answered may be executed late, also by the next incarnation under the same
// instance name, which knows no run number. It does no I/O; times are on the agent's clock.
type unansweredStarts struct{ calls map[runRef]*startCalls }

// startCalls are the start calls of a run, which are made in turn.
type startCalls struct {
	unanswered []time.Duration // when they were sent, in order
	lastAt     time.Duration
	underWay   bool // the last one may still be answered
	executed   bool // the worker has executed one that it answered, or was shown to have executed one
}

// begin records a start call that is about to be sent.
func (u *unansweredStarts) begin(ref runRef, now time.Duration) {
	u.dropOld(now)
	if u.calls == nil {
		u.calls = map[runRef]*startCalls{}
	}
	c := u.calls[ref]
	if c == nil {
		c = &startCalls{}
		u.calls[ref] = c
	}
	c.unanswered, c.lastAt, c.underWay = append(c.unanswered, now), now, true
}

// end records that the last start call of a run was answered or not sent, or was given up.
func (u *unansweredStarts) end(ref runRef, answered, executed bool) {
	c := u.calls[ref]
	if c == nil || !c.underWay {
		return
	}
	c.underWay, c.executed = false, c.executed || executed
	if answered {
		c.unanswered = c.unanswered[:len(c.unanswered)-1]
	}
}

// listed records that a list shows a run, so that the worker has executed a call of it. The first
// one counts as that, as the others are too old later.
func (u *unansweredStarts) listed(ref runRef) {
	c := u.calls[ref]
	if c == nil || c.underWay || c.executed {
		return
	}
	c.executed = true
	if len(c.unanswered) > 0 {
		c.unanswered = c.unanswered[1:]
	}
}

// age returns the time since the last unanswered call of a run; ok is false if there is none.
func (u *unansweredStarts) age(ref runRef, now time.Duration) (age time.Duration, ok bool) {
	c := u.calls[ref]
	if c == nil || len(c.unanswered) == 0 {
		return 0, false
	}
	return now - c.unanswered[len(c.unanswered)-1], true
}

// runs returns the runs whose start may still be executed, ordered by task and run.
func (u *unansweredStarts) runs(now time.Duration) []runRef {
	return slices.DeleteFunc(u.called(now), func(ref runRef) bool {
		age, ok := u.age(ref, now)
		return !ok || age > lateCallBound
	})
}

// anyWithin reports whether a start call of the last d has no answer.
func (u *unansweredStarts) anyWithin(d, now time.Duration) bool {
	for ref := range u.calls {
		if age, ok := u.age(ref, now); ok && age <= d {
			return true
		}
	}
	return false
}

// called returns the runs that this process has called the worker to start lately, ordered by task
// and run. No earlier process had the order for one of them.
func (u *unansweredStarts) called(now time.Duration) []runRef {
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
