package keeper

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

const shortLease = 2 * time.Second

// startAndStop orders a start under a short lease, and then a stop by the owner of an epoch, while the worker answers lists only. The lease goes on until the test ends.
func startAndStop(t *testing.T, k *Keeper, runner *countingRunner, worker plan.WorkerInfo, stopEpoch uint64) *rpc.TaskRef {
	t.Helper()
	runner.failStops.Store(true)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	grant := func(report, epoch uint64, change func(*rpc.WorkerOrders)) {
		k.mu.Lock()
		k.lease.recordReport(report, k.clock())
		k.mu.Unlock()
		o := &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation(), GrantedBeat: report, LeaseMs: shortLease.Milliseconds()}
		change(o)
		if err := k.applyOrders(context.Background(), o); err != nil {
			t.Error(err)
		}
	}
	grant(1, 1, func(o *rpc.WorkerOrders) { o.Starts = []*rpc.StartTask{{Ref: ref}} })
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.starts.Load() > 0 }) {
		t.Fatal("no start call")
	}
	grant(2, stopEpoch, func(o *rpc.WorkerOrders) { o.Stops = []*rpc.TaskRef{ref} })
	granting, done := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for report := uint64(3); granting.Err() == nil; report++ {
			kernel.Sleep(granting, shortLease/4)
			grant(report, stopEpoch, func(*rpc.WorkerOrders) {})
		}
	}()
	t.Cleanup(func() { done(); <-ended })
	return ref
}

// reportedAbsent reports whether a run is reported absent within d.
func reportedAbsent(k *Keeper, ref *rpc.TaskRef, d time.Duration) bool {
	bound, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return kernel.PollUntil(bound, time.Millisecond, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.absent) > 0 && k.absent[0].Ref.Run == ref.Run
	})
}

// TestUnansweredStopIsSettledByTheStartsDeadline guards against a run that holds its room without end on a worker that answers lists and no order, and against one reported absent while its start can still take effect.
func TestUnansweredStopIsSettledByTheStartsDeadline(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.dropStarts.Store(math.MaxInt32)
	ref := startAndStop(t, k, runner, worker, 1)
	if !reportedAbsent(k, ref, shortLease+3*time.Second) {
		t.Fatal("not settled")
	}
	k.mu.Lock()
	deadline := k.sent.runs[runRef{graph.TaskID{Job: "j"}, 7}].deadline
	k.mu.Unlock()
	if list, _ := runner.Hold(context.Background(), runner.Instance(), external.HoldRuns{Epoch: 1}); list.Clock <= deadline {
		t.Errorf("settled at %v on the worker's clock, its start may take effect until %v", list.Clock, deadline)
	}
	calls := runner.starts.Load()
	k.executeStart(context.Background(), worker.Incarnation(), 1, 0, &rpc.StartTask{Ref: ref})
	if n := runner.starts.Load(); n != calls {
		t.Errorf("%d start calls of a run that was reported absent", n-calls)
	}
}

// TestLateStartIsNotReportedAbsent guards against a run that is reported absent and works on, as the worker carries out its start late and answers no stop.
func TestLateStartIsNotReportedAbsent(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{ApplyDelay: shortLease - 200*time.Millisecond})
	ref := startAndStop(t, k, runner, worker, 1)
	absent := reportedAbsent(k, ref, 2*shortLease)
	if running := runner.Running(); absent || running != 1 {
		t.Errorf("reported absent: %v, with %d runs at work, want 1", absent, running)
	}
}

// TestUnansweredStopIsSettledByTheNextEpoch guards against a run of an earlier owner that holds its room though the worker has listed its runs under the next owner's epoch.
func TestUnansweredStopIsSettledByTheNextEpoch(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.dropStarts.Store(math.MaxInt32)
	if ref := startAndStop(t, k, runner, worker, 2); !reportedAbsent(k, ref, shortLease/2) {
		t.Error("not settled")
	}
}

// TestEndSettlesUnansweredStop guards against stops of a run that is listed as ended.
func TestEndSettlesUnansweredStop(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.RunDuration = func(graph.TaskID) time.Duration { return shortLease / 4 }
	startAndStop(t, k, runner, worker, 1)
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	settled := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 1 && len(k.orders) == 0 && len(k.absent) == 0
	}
	if !kernel.PollUntil(bound, time.Millisecond, settled) {
		t.Error("not settled")
	}
}
