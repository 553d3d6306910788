package keeper

import (
	"cmp"
	"slices"
	"time"
)

// lateCallBound is the longest time after which a worker may execute a call that it has
// not answered. The platform speaks of seconds.
const lateCallBound = 30 * time.Second

// startLog holds the start calls that this process has made lately. One that the
// worker has not answered may be executed late, also by the next incarnation under the same
// instance name, which knows no run number. It does no I/O; times are on the agent's clock.
type startLog struct{ calls map[runRef]*startCalls }

// startCalls are the start calls of a run, which are made in turn.
type startCalls struct {
	unanswered []time.Duration // when they were sent, in order
	lastAt     time.Duration
	underWay   bool // the last one may still be answered
	executed   bool // the worker has executed one that it answered, or was shown to have executed one
}

// begin records a start call that is about to be sent.
func (l *startLog) begin(ref runRef, now time.Duration) {
	l.dropOld(now)
	if l.calls == nil {
		l.calls = map[runRef]*startCalls{}
	}
	c := l.calls[ref]
	if c == nil {
		c = &startCalls{}
		l.calls[ref] = c
	}
	c.unanswered, c.lastAt, c.underWay = append(c.unanswered, now), now, true
}

// end records that the last start call of a run was answered or not sent, or was given up.
func (l *startLog) end(ref runRef, answered, executed bool) {
	c := l.calls[ref]
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
func (l *startLog) listed(ref runRef) {
	c := l.calls[ref]
	if c == nil || c.underWay || c.executed {
		return
	}
	c.executed = true
	if len(c.unanswered) > 0 {
		c.unanswered = c.unanswered[1:]
	}
}

// age returns the time since the last unanswered call of a run; ok is false if there is none.
func (l *startLog) age(ref runRef, now time.Duration) (age time.Duration, ok bool) {
	c := l.calls[ref]
	if c == nil || len(c.unanswered) == 0 {
		return 0, false
	}
	return now - c.unanswered[len(c.unanswered)-1], true
}

// runs returns the runs whose start may still be executed, ordered by task and run.
func (l *startLog) runs(now time.Duration) []runRef {
	return slices.DeleteFunc(l.called(now), func(ref runRef) bool {
		age, ok := l.age(ref, now)
		return !ok || age > lateCallBound
	})
}

// anyWithin reports whether a start call of the last d has no answer.
func (l *startLog) anyWithin(d, now time.Duration) bool {
	for ref := range l.calls {
		if age, ok := l.age(ref, now); ok && age <= d {
			return true
		}
	}
	return false
}

// called returns the runs that this process has called the worker to start lately, ordered by task
// and run. No earlier process had the order for one of them.
func (l *startLog) called(now time.Duration) []runRef {
	l.dropOld(now)
	refs := make([]runRef, 0, len(l.calls))
	for ref := range l.calls {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b runRef) int {
		return cmp.Or(cmp.Compare(a.task.String(), b.task.String()), cmp.Compare(a.run, b.run))
	})
	return refs
}

func (l *startLog) dropOld(now time.Duration) {
	for ref, c := range l.calls {
		if now-c.lastAt > lateCallBound {
			delete(l.calls, ref)
		}
	}
}

// reset forgets all calls: a worker with another instance name refuses them.
func (l *startLog) reset() { l.calls = nil }
