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
