package graphs

import (
	"context"
	"path"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

const (
	// knownJobTimeout bounds the question to the owner before a call is refused, so
	// that an owner that does not answer delays a refusal little.
	knownJobTimeout = 200 * time.Millisecond
	// readBackReserve is the part of the caller's time that is left, after a write
	// without an answer, to ask the owner for the job. It is taken only from calls of
	// at least minReadBackWait.
	readBackReserve = 250 * time.Millisecond
	minReadBackWait = time.Second
	// readBackTimeout bounds one read of a read-back and readBackPause is the time
	// between two of them.
	readBackTimeout = 400 * time.Millisecond
	readBackPause   = 100 * time.Millisecond
)

// wait returns the caller's timeout.
func (c Call) wait() time.Duration {
	if c.Wait == 0 {
		return defaultWait
	}
	return c.Wait
}

// begin fixes the time at which the call must be answered, so that the time that a
// relay has used is not available again to the attempts after it.
func (c Call) begin() Call {
	if c.answerBy.IsZero() {
		c.answerBy = time.Now().Add(max(c.wait()-answerMargin, c.wait()/2))
	}
	return c
}

// jobID returns the ID of the job that the path of a call ends with, if it ends with
// one.
func (c Call) jobID() graph.JobID { return graph.JobID(path.Base(c.Path)) }

// view returns what the entry knows about the store.
func (f *Front) view() storeView {
	table := f.store.table
	return storeView{
		breakerOpen:  table.BreakerOpen(),
		silence:      table.Silence(),
		readTime:     table.ReadTime(),
		outage:       table.Outage(),
		configOutage: f.policies.StoreOutage(),
	}
}

// refused returns the answer to a call that has certainly had no effect.
func (f *Front) refused(call Call, detail string) Answer {
	return Answer{Outcome: Refused, RetryAfter: retryAfter(string(call.jobID()), f.view().age()), Detail: detail}
}

// relayOrServe serves a call here or, while the store is not reachable from here,
// through another entry if one serves it.
func (f *Front) relayOrServe(verb string, call Call, decode func() (*graph.Job, error), local func(Call) Answer) Answer {
	start := time.Now()
	call = call.begin()
	if !f.view().relayFirst() {
		return local(call)
	}
	job, err := decode()
	if err != nil {
		return local(call) // rejects it too, after checking the caller's key
	}
	relayed, served := f.relayCall(verb, call, job)
	if served {
		f.recordAnswer(verb, call, nil, relayed, start)
		return relayed
	}
	a := afterRelay(relayed, local(call))
	if a.Outcome == Unknown && relayed.Outcome == Unknown {
		a = f.readBack(verb, call, a)
		f.recordAnswer(verb, call, nil, a, start)
	}
	return a
}

// relayCall relays a call. served is false if the call may still be served here: it
// was refused, no entry answered, or its outcome is unknown.
func (f *Front) relayCall(verb string, call Call, job *graph.Job) (a Answer, served bool) {
	ctx, cancel := f.callContext(call)
	defer cancel()
	a, answered := f.relay.Forward(ctx, verb, call, job, f.configVersionFloor.Load())
	f.raiseConfigVersionFloor(a.ConfigVersion)
	if !answered || a.Outcome == Refused || a.Outcome == Unknown {
		return a, false
	}
	metrics.GetOrRegisterCounter("front.relayed", f.registry).Inc(1)
	return a, true
}

// write makes a durable write for a caller, unless the store is known not to answer
// or too little of the caller's time is left. A write that was not made is answered as
// refused, one without an answer is read back.
func (f *Front) write(verb string, call Call, write func(context.Context) error) Answer {
	view := f.view()
	if reason := refuseWrite(view, time.Until(call.answerBy), call.wait()); reason != "" {
		metrics.GetOrRegisterCounter("front.refused."+string(reason), f.registry).Inc(1)
		return f.okIfKnown(verb, call, f.refused(call, string(reason)))
	}
	ctx, cancel := f.writeContext(call, view)
	defer cancel()
	err := write(ctx)
	switch {
	case err == nil:
		return Answer{Outcome: OK}
	case errors.Is(err, ledger.ErrOutcomeUnknown):
		return f.readBack(verb, call, Answer{Outcome: Unknown, Detail: err.Error()})
	case errors.Is(err, ledger.ErrRejected):
		return f.okIfKnown(verb, call, Answer{Outcome: Invalid, Detail: err.Error()})
	default:
		return f.okIfKnown(verb, call, f.refused(call, err.Error()))
	}
}

// writeContext returns the context of a caller's write. It ends before the caller's
// time, so that some is left for reading back.
func (f *Front) writeContext(call Call, view storeView) (context.Context, context.CancelFunc) {
	end := call.answerBy
	if time.Until(end) >= minReadBackWait {
		end = end.Add(-readBackReserve)
	}
	ctx := external.WithStartBy(context.Background(), end.Add(-view.writeTime(call.wait())))
	return context.WithDeadline(ctx, end)
}

// okIfKnown returns OK instead of a refusal if the owner knows that an earlier attempt
// of the call has taken effect.
func (f *Front) okIfKnown(verb string, call Call, refusal Answer) Answer {
	ctx, cancel := f.callContext(call)
	defer cancel()
	ctx, cancelQuery := context.WithTimeout(ctx, knownJobTimeout)
	defer cancelQuery()
	if state, known := f.owner.JobState(ctx, call.jobID()); !known || !hasTakenEffect(verb, state) {
		return refusal
	}
	metrics.GetOrRegisterCounter("front.known", f.registry).Inc(1)
	return Answer{Outcome: OK}
}

// hasTakenEffect reports whether the state of a job shows that a call is done.
func hasTakenEffect(verb string, state graph.State) bool {
	return verb == verbSubmit || verb == verbCancel && state.Final()
}

// readBack asks the owner and the store, as long as the caller waits, whether a call
// with an unknown outcome has taken effect. That it has not is no proof: a late write
// may still take effect, so the answer then remains unknown.
func (f *Front) readBack(verb string, call Call, unknown Answer) Answer {
	ctx, cancel := f.callContext(call)
	defer cancel()
	for ctx.Err() == nil {
		if state, known := f.jobSeen(ctx, call.jobID()); known && hasTakenEffect(verb, state) {
			metrics.GetOrRegisterCounter("front.read_back", f.registry).Inc(1)
			return Answer{Outcome: OK, ConfigVersion: unknown.ConfigVersion}
		}
		kernel.Sleep(ctx, readBackPause)
	}
	return unknown
}

// jobSeen returns the state of a job by the owner or, if the store is not known to be
// unavailable, by its rows.
func (f *Front) jobSeen(ctx context.Context, id graph.JobID) (graph.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	if state, known := f.owner.JobState(ctx, id); known {
		return state, true
	}
	if f.view().unavailable() != "" {
		return "", false
	}
	state, found, err := f.store.JobState(ctx, id)
	return state, found && err == nil
}
