package graphs

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// TestRenamedWorkerIsNotRefused guards against a worker whose agent, which has followed a higher epoch for an earlier instance name, refuses its owner on each new connection until the term ends.
func TestRenamedWorkerIsNotRefused(t *testing.T) {
	type report struct {
		host, instance string
		born           int64
	}
	for what, reports := range map[string][]report{
		"another name":               {{"h", "x", 1}, {"h", "x", 2}, {"h", "z", 3}, {"h", "z", 4}},
		"a name of another host":     {{"h", "x", 1}, {"h", "x", 2}, {"h", "x", 3}, {"h", "y", 4}},
		"workers that name no host":  {{"x", "x", 1}, {"x", "x", 2}, {"x", "x", 3}, {"y", "y", 4}, {"z", "z", 5}},
		"a name that comes back":     {{"h", "x", 1}, {"h", "y", 2}, {"h", "y", 3}, {"h", "y", 4}, {"h", "x", 5}},
		"a host that is known again": {{"h", "x", 1}, {"h", "x", 2}, {"renamed", "x", 2}, {"renamed", "y", 3}},
	} {
		term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
		term.epochs.of(plan.WorkerInfo{ID: "g", Instance: "y", StartUnixMillis: 1})
		var last uint64
		for i, step := range reports {
			sess := newSession() // a new connection of the same agent
			r := workerReport(step.host, uint64(i+1))
			r.Instance, r.Born, r.Listed = step.instance, step.born, false
			if !term.handleReport(context.Background(), r, sess, term.clock()) {
				t.Fatalf("%s: report %d refused", what, i)
			}
			if epoch := sess.takeOrders()[0].Epoch; epoch < last {
				t.Errorf("%s: report %d: epoch %d after %d, which the agent refuses", what, i, epoch, last)
			} else {
				last = epoch
			}
		}
	}
}

// TestSharedInstanceNameRaisesNoEpochs guards against orders that are dropped under way, and against the end of the term's numbers, as the agents of two hosts report one instance name in turn.
func TestSharedInstanceNameRaisesNoEpochs(t *testing.T) {
	e := newWorkerEpochs(7)
	left := plan.WorkerInfo{ID: "left", Instance: "x", StartUnixMillis: 1}
	moved := plan.WorkerInfo{ID: "moved", Instance: "x", StartUnixMillis: 2}
	before, after := e.of(left), e.of(moved)
	if after <= before {
		t.Fatalf("epoch %d of the next incarnation, after %d", after, before)
	}
	for range 3 {
		if a, b := e.of(left), e.of(moved); a != before || b != after {
			t.Fatalf("epochs %d and %d, before %d and %d", a, b, before, after)
		}
	}
	left.StartUnixMillis = 3
	if epoch := e.of(left); epoch <= after {
		t.Errorf("epoch %d of the third incarnation, after %d", epoch, after)
	}
}

// TestUnansweredCallsRaiseTheEpoch guards against a start under an epoch at which calls without an answer are under way, against orders under way that the raise makes invalid, and against raises that nobody has asked for.
func TestUnansweredCallsRaiseTheEpoch(t *testing.T) {
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	const unknown = math.MaxUint64 // of an agent that has just started
	sess, token := newSession(), term.token
	for i, step := range []struct {
		connects    bool
		born        int64
		above       uint64
		epoch, from uint64 // wanted, after the token
	}{
		{true, 1, unknown, 0, 0}, {false, 1, 0, 0, 0},
		{false, 1, token, 1, 0}, {false, 1, token, 1, 0}, {false, 1, token + 1, 2, 0},
		{false, 1, token - 1, 2, 0},                     // of an earlier term
		{true, 1, 0, 2, 0},                              // connects again
		{true, 1, unknown, 3, 0},                        // is another process
		{true, 2, token + 3, 4, 4}, {false, 2, 0, 4, 4}, // has restarted
		{false, 2, token + 4, 5, 4}, {false, 1, 0, 6, 6}, // its clock was set back
		{false, 3, unknown, 7, 7}, {false, 3, token, 7, 7}, // not known before
	} {
		if step.connects {
			sess = newSession()
		}
		r := workerReport("w", uint64(i+1))
		r.Born, r.EpochAbove = step.born, step.above
		if !term.handleReport(context.Background(), r, sess, term.clock()) {
			t.Fatalf("report %d refused", i)
		}
		for _, o := range sess.takeOrders() {
			if o.Epoch != token+step.epoch || o.FirstEpoch != token+step.from {
				t.Errorf("report %d: epoch %d, valid from %d, after the token; want %d, %d", i, o.Epoch-token, o.FirstEpoch-token, step.epoch, step.from)
			}
		}
	}
}

// TestRaisesEndWithTheNumbersOfTheTerm guards against an epoch of the next term as an agent asks for ever higher ones, and against an incarnation under another host that shares the raised one.
func TestRaisesEndWithTheNumbersOfTheTerm(t *testing.T) {
	e := newWorkerEpochs(7)
	left := plan.WorkerInfo{ID: "left", Instance: "x", StartUnixMillis: 1}
	moved := plan.WorkerInfo{ID: "moved", Instance: "x", StartUnixMillis: 2}
	e.of(left)
	e.of(moved)
	for range 3 {
		e.above(left, e.of(left))
	}
	next := left
	next.StartUnixMillis = 3
	if raised, epoch := e.of(left), e.of(next); epoch <= raised {
		t.Errorf("epoch %d of the next incarnation, after %d", epoch, raised)
	}
	for range 2 * rpc.EpochsPerTerm {
		if epoch := e.above(next, e.of(next)); epoch >= 7+rpc.EpochsPerTerm {
			t.Fatalf("epoch %d in the term of token 7", epoch)
		}
	}
}
