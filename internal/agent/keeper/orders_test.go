package keeper

import (
	"context"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestNextOwnersStopSettlesUnansweredStart guards against a stop order that is
// never settled. The next owner orders the stop while an earlier owner's start is
// unanswered; the run must be settled under the next owner's epoch, because that
// owner would otherwise wait for the outcome forever.
func TestNextOwnersStopSettlesUnansweredStart(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	runner := standin.NewRunner()
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount()}
	k.HandleHeartbeat(worker, 1)
	ctx := context.Background()
	orders := func(epoch uint64, change func(*rpc.WorkerOrders)) {
		o := &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation()}
		change(o)
		if err := k.applyOrders(ctx, o); err != nil {
			t.Fatal(err)
		}
	}
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	orders(1, func(o *rpc.WorkerOrders) { o.Starts = []*rpc.StartTask{{Ref: ref}} })
	kernel.Sleep(ctx, callTimeout(0)/2)
	orders(2, func(o *rpc.WorkerOrders) { o.Stops = []*rpc.TaskRef{ref} })
	kernel.Sleep(ctx, orderTimeout)
	runner.SetFaults(standin.RunnerFaults{})

	bound, cancel := context.WithTimeout(ctx, allAttempts+orderTimeout+10*settleRetryInterval)
	defer cancel()
	settled := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.absent) > 0 && k.absent[0].Ref.Run == ref.Run && len(k.orders) == 0
	}
	if !kernel.PollUntil(bound, 10*time.Millisecond, settled) {
		t.Fatalf("not settled: absent %v, orders %v", k.absent, k.orders)
	}
}

// TestStopIsNotRepeatedForALostList guards against a run whose outcome is never reported, as its worker answers a stop but not the list right after it.
func TestStopIsNotRepeatedForALostList(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.slowLists.Store(true)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Stops: []*rpc.TaskRef{ref}})
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	settled := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.absent) > 0 && k.absent[0].Ref.Run == ref.Run
	}
	if !kernel.PollUntil(bound, 10*time.Millisecond, settled) {
		t.Fatal("not settled")
	}
}

// TestStopHidesNoRefusal guards against a worker that counts as sound, as the stop of its run's gang came before it had left the last start call unanswered, and against one that counts as refusing for the first.
func TestStopHidesNoRefusal(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		k, runner, worker := orderedKeeper(t)
		runner.dropStarts.Store(int32(len(callTimeouts)))
		k.startAt(t, runner, worker)
		ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
		bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if refuses && !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.starts.Load() >= refusingCalls }) {
			t.Fatal("no more start calls")
		}
		k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Stops: []*rpc.TaskRef{ref}})
		if !reportedAbsent(k, ref, 5*time.Second) {
			t.Fatal("not settled")
		}
		if reason := k.absent[0].Reason; (reason != plan.AbsentStopped) != refuses {
			t.Errorf("after %d calls: absent as %q", runner.starts.Load(), reason)
		}
	}
}

// allAttempts is the longest time that the start calls of one order and the lists before
// them take.
const allAttempts = 2750 * time.Millisecond

// gangTimeout is the time that the members of a gang wait for each other.
const gangTimeout = 3 * time.Second

// TestStartAttemptsFitIntoGangTimeout guards against a member that starts after its gang has given up.
func TestStartAttemptsFitIntoGangTimeout(t *testing.T) {
	total := time.Duration(len(callTimeouts)) * startListTimeout
	for i := range callTimeouts {
		total += callTimeout(i)
	}
	if total != allAttempts || total >= gangTimeout {
		t.Errorf("all attempts take %v, want %v, below %v", total, allAttempts, gangTimeout)
	}
}

// TestLostStartsDelayNoGang guards against a gang that waits, or is given up, because the answers to one member's first start calls are lost.
func TestLostStartsDelayNoGang(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.dropStarts.Store(4)
	begun := time.Now()
	k.startAt(t, runner, worker)
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.Running() > 0 }) {
		t.Fatalf("not started after %d calls", runner.starts.Load())
	}
	if took := time.Since(begun); took > gangTimeout/2 {
		t.Errorf("started after %v, want within %v", took, gangTimeout/2)
	}
}

// TestRunThatWasNeverSentIsReportedAbsent guards against a start in doubt on a worker that was silent before it was ordered, and against a run that waits for the lease of that worker.
func TestRunThatWasNeverSentIsReportedAbsent(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	dropCalls(t, runner)
	kernel.Sleep(context.Background(), 2*freshAnswer)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Starts: []*rpc.StartTask{{Ref: ref}}})
	if !reportedAbsent(k, ref, longestStart+time.Second) {
		t.Fatal("not reported absent")
	}
	if n := runner.starts.Load(); n != 0 {
		t.Errorf("%d start calls, want none", n)
	}
}

// TestUnansweredStartsAreReported guards against an owner that takes a run for ended which a later incarnation may begin, also after the run was accepted by another call.
func TestUnansweredStartsAreReported(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	unanswered := func() []*rpc.UnansweredStart {
		return k.nextReport(&ownerLink{keeper: k, answers: answerMonitor{clock: k.clock}}, false).Unanswered
	}
	runner.dropStarts.Store(1)
	begun := time.Now()
	k.startAt(t, runner, worker)
	if u := unanswered(); len(u) != 1 || u[0].Ref.Run != 7 || u[0].AgeMs > callTimeout(0).Milliseconds() {
		t.Errorf("without an answer: %v", u)
	}
	pollUntil(t, "the accepted run", func() bool { return len(runner.StartedTasks()) == 1 })
	pollUntil(t, "a report of the unanswered call alone", func() bool {
		u := unanswered()
		return len(u) == 1 && u[0].Ref.Run == 7 && u[0].AgeMs >= (time.Since(begun)-100*time.Millisecond).Milliseconds()
	})
}

// TestAnsweredStartsAreNotReported guards against runs that wait though nothing of them is in doubt.
func TestAnsweredStartsAreNotReported(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	k.startAt(t, runner, worker)
	pollUntil(t, "the accepted run", func() bool { return len(runner.StartedTasks()) == 1 })
	pollUntil(t, "a report without the run", func() bool {
		return len(k.nextReport(&ownerLink{keeper: k, answers: answerMonitor{clock: k.clock}}, false).Unanswered) == 0
	})
}
