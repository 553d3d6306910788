package graphs

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
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
