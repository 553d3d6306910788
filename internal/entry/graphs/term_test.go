package graphs

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// fakeOwnership is an ownership under epoch 1 that ends at a time of its clock.
type fakeOwnership struct {
	now, ends time.Duration
	checkTime time.Duration // that each look at the ownership takes
}

func (o *fakeOwnership) Current() owner.Authority {
	time.Sleep(o.checkTime)
	return owner.Authority{Owner: o.now < o.ends, Epoch: 1}
}
func (o *fakeOwnership) Subscribe(func(owner.Authority)) {}
func (o *fakeOwnership) Overlap() time.Duration          { return 0 }

// newTestScheduler returns a scheduler without a term.
func newTestScheduler(o *fakeOwnership) *Scheduler {
	return newConfiguredScheduler(o, nil)
}

// newConfiguredScheduler returns a scheduler without a term, and with the configuration
// of a source.
func newConfiguredScheduler(o *fakeOwnership, source policy.Source) *Scheduler {
	clock := func() time.Duration { return o.now }
	registry, log := metrics.NewRegistry(), zerolog.Nop()
	return NewScheduler(o, nil, policy.NewWatcher(source, policy.Limits{}, clock, registry, log), Limits{}, feature.Set{}, clock, time.Now, registry, log)
}

// newTestTerm returns a term with one connected worker, and its context.
func newTestTerm(o *fakeOwnership) (*term, *session, context.Context) {
	return newTermOf(newTestScheduler(o))
}

// newTermOf returns a term of s with one connected worker, and its context.
func newTermOf(s *Scheduler) (*term, *session, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t := newTerm(s, 1, 7, 1, cancel)
	t.ctx = ctx
	sess := newSession()
	t.setSession("w", sess)
	return t, sess, ctx
}

func reportOf(number uint64) plan.WorkerReport {
	return plan.WorkerReport{Worker: plan.WorkerInfo{ID: "w", Instance: "i", StartUnixMillis: 1, Pool: "p"}, Session: "s", Number: number, WorkerResponsive: true}
}

// TestNoOrderAfterOwnershipEnded checks that a process which was paused past the end
// of its ownership orders nothing, neither for an event nor in a pass that it had
// arranged before.
func TestNoOrderAfterOwnershipEnded(t *testing.T) {
	o := &fakeOwnership{now: time.Second, ends: 2 * time.Second}
	term, sess, ctx := newTestTerm(o)
	term.step(reportOf(1))
	if len(sess.takeOrders()) == 0 {
		t.Fatal("no lease granted by the owner")
	}
	o.now = 3 * time.Second
	term.step(reportOf(2))
	term.runArrangedPass()
	if orders := sess.takeOrders(); len(orders) > 0 {
		t.Errorf("orders after the end of the ownership: %v", orders)
	}
	if ctx.Err() == nil {
		t.Error("the term goes on")
	}
}

// TestPanicOfTheCoreEndsTheTerm checks that an unexpected error in the core ends the
// term, so that the next one rebuilds the state, and not the process.
func TestPanicOfTheCoreEndsTheTerm(t *testing.T) {
	o := &fakeOwnership{ends: time.Hour}
	term, sess, ctx := newTestTerm(o)
	term.step(plan.JobSubmitted{}) // without a job, which no caller can send
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.Canceled) {
		t.Fatalf("the term goes on: %v", context.Cause(ctx))
	}
	term.step(reportOf(1))
	if orders := sess.takeOrders(); len(orders) > 0 {
		t.Errorf("orders after a panic: %v", orders)
	}
	term.close()
	select {
	case <-sess.done:
	default:
		t.Error("the session stays open")
	}
}

// TestRunTimeErrorsAreRecorded guards against an error of expected run times that
// operators cannot see, and against one that depends on its direction.
func TestRunTimeErrorsAreRecorded(t *testing.T) {
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: 2 * time.Second})
	term.applyActions([]plan.Action{
		plan.RunTimeObserved{Estimate: time.Second, Expected: 4 * time.Second, Actual: 2 * time.Second},
		plan.RunTimeObserved{Expected: time.Second, Actual: 2 * time.Second},
	})
	for name, want := range map[string]int64{"plan.run_time_error_estimate": 1, "plan.run_time_error_expected": 2} {
		h, ok := term.registry.Get(name).(metrics.Histogram)
		if !ok || h.Count() != want || h.Min() != 100 || h.Max() != 100 {
			t.Errorf("%s: %v", name, h)
		}
	}
}
