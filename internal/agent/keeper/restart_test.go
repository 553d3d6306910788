package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// countingRunner counts calls. It drops the first dropStarts start calls, fails stop calls
// while failStops is set, and all calls as a process that has ended does while ended is set.
// While slowLists is set, lists that are requested within settleRetryInterval of an answered
// stop get no answer.
type countingRunner struct {
	*standin.Runner
	starts     atomic.Int32
	unleased   atomic.Int32 // starts without a deadline
	holds      atomic.Int32
	seen       atomic.Uint64 // highest acknowledgement of a Hold call
	dropStarts atomic.Int32
	failStops  atomic.Bool
	ended      atomic.Bool
	slowLists  atomic.Bool
	stoppedAt  atomic.Int64 // Unix time in nanoseconds
}

func (r *countingRunner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.holds.Add(1)
	r.seen.Store(max(r.seen.Load(), o.Seen))
	if r.ended.Load() {
		return external.RunList{}, errors.WithType(external.ErrRunNotListening, external.ErrUnavailable)
	}
	if r.slowLists.Load() && time.Since(time.Unix(0, r.stoppedAt.Load())) < settleRetryInterval {
		<-ctx.Done()
		return external.RunList{}, external.ErrUnavailable
	}
	return r.Runner.Hold(ctx, instance, o)
}

func (r *countingRunner) Start(ctx context.Context, instance string, o external.StartRun) (time.Duration, error) {
	if o.Deadline == 0 {
		r.unleased.Add(1)
	}
	if r.starts.Add(1) <= r.dropStarts.Load() {
		<-ctx.Done()
		return 0, external.ErrUnavailable
	}
	return r.Runner.Start(ctx, instance, o)
}

func (r *countingRunner) Stop(ctx context.Context, instance string, o external.StopRun) (time.Duration, error) {
	if r.failStops.Load() {
		return 0, external.ErrUnavailable
	}
	r.stoppedAt.Store(time.Now().UnixNano())
	return r.Runner.Stop(ctx, instance, o)
}

// orderedKeeper returns a running keeper of a worker that has its owner's epoch, with the worker.
func orderedKeeper(t *testing.T) (*Keeper, *countingRunner, plan.WorkerInfo) {
	t.Helper()
	clock := ledger.NewMonotonicClock()
	runner := &countingRunner{Runner: standin.NewRunner()}
	runner.RunDuration = func(graph.TaskID) time.Duration { return time.Minute }
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount()}
	k.HandleHeartbeat(worker, 1)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation()})
	k.awaitList(t)
	return k, runner, worker
}

func (k *Keeper) order(t *testing.T, o *rpc.WorkerOrders) {
	t.Helper()
	if err := k.applyOrders(context.Background(), o); err != nil {
		t.Fatal(err)
	}
}

// awaitList waits until the keeper reports to its owner.
func (k *Keeper) awaitList(t *testing.T) {
	t.Helper()
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, k.listIsCurrent) {
		t.Fatal("nothing is reported")
	}
}

// startAt orders a start, gives the worker a lease for it and waits until the call is under way.
func (k *Keeper) startAt(t *testing.T, runner *countingRunner, worker plan.WorkerInfo) {
	t.Helper()
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000,
		Starts: []*rpc.StartTask{{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)}}})
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.starts.Load() > 0 }) {
		t.Fatal("no start call")
	}
}

// dropCalls drops all calls from now on, and waits until that of the keeper's loop is one of them.
func dropCalls(t *testing.T, runner *countingRunner) {
	t.Helper()
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	before := runner.holds.Load()
	if !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.holds.Load() > before }) {
		t.Fatal("no call waits for ends")
	}
}

// restart starts the worker again under its instance name.
func restart(k *Keeper, runner *countingRunner, worker plan.WorkerInfo) plan.WorkerInfo {
	runner.Restart()
	worker.StartUnixMillis = runner.StartCount()
	k.HandleHeartbeat(worker, 1)
	return worker
}

// TestStartIsNotRepeatedToNextIncarnation guards against a start that a worker executes after its owner has counted the run as lost.
func TestStartIsNotRepeatedToNextIncarnation(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	k.startAt(t, runner, worker)
	kernel.Sleep(context.Background(), callTimeout(0)/4)
	runner.SetFaults(standin.RunnerFaults{})
	restart(k, runner, worker)
	k.awaitList(t)
	kernel.Sleep(context.Background(), allAttempts)
	if n, started := runner.starts.Load(), runner.StartedTasks(); n != 1 || len(started) > 0 {
		t.Errorf("%d start calls, want 1; %v started on the next incarnation", n, started)
	}
}

// TestStartIsRepeatedAfterAList guards against a second attempt at a worker that has started again and has not announced itself yet.
func TestStartIsRepeatedAfterAList(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		k, runner, worker := orderedKeeper(t)
		dropCalls(t, runner)
		k.startAt(t, runner, worker)
		kernel.Sleep(context.Background(), callTimeout(0)/4)
		if restarts {
			runner.Restart()
		}
		runner.SetFaults(standin.RunnerFaults{})
		kernel.Sleep(context.Background(), allAttempts)
		want := 2
		if restarts {
			want = 1
		}
		if n, started := int(runner.starts.Load()), len(runner.StartedTasks()); n != want || started != want-1 {
			t.Errorf("restarts %v: %d start calls, want %d; %d starts", restarts, n, want, started)
		}
	}
}

// TestSilentWorkerGetsEachAttempt guards against fewer attempts at a worker whose answers are lost.
func TestSilentWorkerGetsEachAttempt(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	k.startAt(t, runner, worker)
	kernel.Sleep(context.Background(), allAttempts)
	if n := runner.starts.Load(); n != int32(len(callTimeouts)) {
		t.Errorf("%d start calls, want %d", n, len(callTimeouts))
	}
}

// TestStartAwaitsListOfUnresponsiveWorker guards against a start without a deadline, which no worker takes: its gang is stopped for it.
func TestStartAwaitsListOfUnresponsiveWorker(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	dropCalls(t, runner)
	kernel.Sleep(context.Background(), responsiveWindow+holdWait)
	answered := time.AfterFunc(startListTimeout/2, func() { runner.SetFaults(standin.RunnerFaults{}) })
	defer answered.Stop()
	k.startAt(t, runner, worker)
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	kernel.PollUntil(bound, time.Millisecond, func() bool { return len(runner.StartedTasks()) > 0 })
	if n, started := runner.unleased.Load(), len(runner.StartedTasks()); n != 0 || started != 1 {
		t.Errorf("%d start calls without a deadline, want 0; %d starts, want 1", n, started)
	}
}

// TestRestartIsReportedOnceStartsAreSettled guards against a run that its owner places again while its start can still take effect.
func TestRestartIsReportedOnceStartsAreSettled(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	k.startAt(t, runner, worker)
	kernel.Sleep(context.Background(), callTimeout(0)/4)
	runner.SetFaults(standin.RunnerFaults{})
	runner.failStops.Store(true)
	restart(k, runner, worker)
	kernel.Sleep(context.Background(), 2*orderTimeout)
	if k.listIsCurrent() {
		t.Error("reported before the stop of the unanswered start was answered")
	}
	runner.failStops.Store(false)
	k.awaitList(t)
}

// TestRestartIsReportedAfterALostList guards against a worker that is never reported again after a restart, as it answers a stop but not the list right after it.
func TestRestartIsReportedAfterALostList(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	k.startAt(t, runner, worker)
	kernel.Sleep(context.Background(), orderTimeout/4)
	runner.SetFaults(standin.RunnerFaults{})
	runner.slowLists.Store(true)
	restart(k, runner, worker)
	k.awaitList(t)
}

// TestLateStartIsSettledBeforeRestartIsReported guards against a report of the next incarnation while a start can still take effect there.
func TestLateStartIsSettledBeforeRestartIsReported(t *testing.T) {
	for _, late := range []bool{false, true} {
		k, runner, worker := orderedKeeper(t)
		runner.SetFaults(standin.RunnerFaults{ApplyDelay: callTimeout(0) / 2})
		k.startAt(t, runner, worker)
		kernel.Sleep(context.Background(), callTimeout(0)/4)
		runner.SetFaults(standin.RunnerFaults{})
		runner.Restart()
		if !late {
			kernel.Sleep(context.Background(), callTimeout(0)/2)
		}
		worker.StartUnixMillis = runner.StartCount()
		k.HandleHeartbeat(worker, 1)
		k.awaitList(t)
		for range 100 {
			if n := runner.Running(); n > 0 {
				t.Fatalf("late %v: the run is at work after the restart was reported", late)
			}
			kernel.Sleep(context.Background(), 10*time.Millisecond)
		}
		if started := len(runner.StartedTasks()); late != (started == 0) {
			t.Errorf("late %v: %d starts", late, started)
		}
	}
}

// TestOrderForEarlierIncarnationIsNotExecuted guards against an order that is received before a restart and executed after it.
func TestOrderForEarlierIncarnationIsNotExecuted(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	restart(k, runner, worker)
	k.awaitList(t)
	k.lease.recordReport(1, k.clock())
	k.lease.applyGrant(1, time.Minute)
	k.executeStart(context.Background(), worker.Incarnation(), 1, 0, &rpc.StartTask{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)})
	if started := runner.StartedTasks(); len(started) > 0 {
		t.Errorf("%v started on the next incarnation", started)
	}
}

// TestNothingButAListFollowsAnUnansweredList guards against a lease or acknowledgement that reaches the next incarnation.
func TestNothingButAListFollowsAnUnansweredList(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	dropCalls(t, runner)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Acknowledged: 5})
	if got := k.target(); got.acknowledged != 5 {
		t.Fatalf("%+v", got)
	}
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, k.listRequired) {
		t.Fatal("the dropped list is not noticed")
	}
	if got := k.target(); got.acknowledged != 0 || got.deadline != 0 {
		t.Errorf("%+v follows an unanswered list", got)
	}
	runner.seen.Store(0)
	runner.SetFaults(standin.RunnerFaults{})
	if !kernel.PollUntil(bound, time.Millisecond, func() bool { return runner.seen.Load() == 5 }) {
		t.Error("no acknowledgement after an answered list")
	}
}

// TestUnansweredStartsAreKeptWhileTheyMayTakeEffect guards against a late start that nobody expects, and one that is expected for ever.
func TestUnansweredStartsAreKeptWhileTheyMayTakeEffect(t *testing.T) {
	var u startLog
	a, b := runRef{graph.TaskID{Job: "a"}, 1}, runRef{graph.TaskID{Job: "b"}, 1}
	u.begin(a, 0)
	u.end(a, false, false)
	u.begin(a, time.Second)
	u.end(a, true, true)
	u.listed(a)
	u.begin(b, time.Second)
	u.end(b, true, true)
	u.end(b, true, true)
	if age, _ := u.age(a, lateCallBound); age != lateCallBound {
		t.Errorf("the unanswered start is %v old", age)
	}
	if got := u.runs(lateCallBound); len(got) != 1 || got[0] != a {
		t.Errorf("%v, want the run with one unanswered start of two, which was sent first", got)
	}
	if got := u.runs(lateCallBound + 1); len(got) != 0 {
		t.Errorf("%v after the bound", got)
	}
}

// TestListedRunHasExecutedAStartCall guards against tasks that wait for a late call though the only one has been executed, and against those that don't though another one may be.
func TestListedRunHasExecutedAStartCall(t *testing.T) {
	ref := runRef{graph.TaskID{Job: "a"}, 1}
	for calls, want := range []int{0, 0, 1, 2} {
		var u startLog
		for range calls {
			u.begin(ref, 0)
			u.listed(ref) // the call under way may be the one
			u.end(ref, false, false)
		}
		u.listed(ref)
		u.listed(ref)
		left := 0
		if c := u.calls[ref]; c != nil {
			left = len(c.unanswered)
		}
		if left != want {
			t.Errorf("%d of %d calls may be executed, want %d", left, calls, want)
		}
	}
}

// exitReported returns when the keeper reports that its worker has left, up to bound.
func (k *Keeper) exitReported(bound time.Duration) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	begunAt := k.clock()
	gone := kernel.PollUntil(ctx, time.Millisecond, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.workerGone()
	})
	return k.clock() - begunAt, gone
}

// TestLateExitOfEarlierIncarnationEndsNoRun guards against a DELETE, which names no incarnation, that ends the runs of the next one.
func TestLateExitOfEarlierIncarnationEndsNoRun(t *testing.T) {
	for _, silent := range []bool{false, true} {
		k, runner, worker := orderedKeeper(t)
		worker = restart(k, runner, worker)
		k.awaitList(t)
		k.startAt(t, runner, worker)
		runner.SetFaults(standin.RunnerFaults{DropCalls: silent})
		k.HandleWorkerLeft(worker.Instance)
		if after, gone := k.exitReported(2 * time.Second); gone {
			t.Fatalf("silent %v: the worker is reported as gone after %v", silent, after)
		}
		if reason := k.refusal(&rpc.StartTask{}); !silent && reason != "" {
			t.Errorf("starts are still refused: %s", reason)
		}
	}
}

// TestExitIsReportedOnceTheWorkerHasEnded guards against runs that wait for the lease of a worker that has left.
func TestExitIsReportedOnceTheWorkerHasEnded(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	dropCalls(t, runner)
	k.HandleWorkerLeft(worker.Instance)
	runner.ended.Store(true)
	if after, gone := k.exitReported(3 * exitDelay); !gone || after < exitDelay {
		t.Errorf("gone %v after %v, want it between %v and %v", gone, after, exitDelay, 3*exitDelay)
	}
}

// TestExitOfDrainingWorkerIsAwaited guards against new work on a draining worker that answers after its exit was announced.
func TestExitOfDrainingWorkerIsAwaited(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	worker.Draining = true
	k.HandleHeartbeat(worker, 2)
	k.HandleWorkerLeft(worker.Instance)
	if after, gone := k.exitReported(3 * exitDelay); gone {
		t.Fatalf("gone after %v", after)
	}
	runner.ended.Store(true)
	if _, gone := k.exitReported(2 * time.Second); !gone {
		t.Error("not gone once its process has ended")
	}
}

// TestRepeatedExitsOfAnotherProgramRefuseNoStarts guards against a DELETE of another program, repeated with the true name, that keeps all work from a sound worker.
func TestRepeatedExitsOfAnotherProgramRefuseNoStarts(t *testing.T) {
	const interval, duration = 50 * time.Millisecond, 2 * time.Second
	k, _, worker := orderedKeeper(t)
	k.awaitList(t)
	refused, announced := 0, int(duration/interval)
	for range announced {
		k.HandleWorkerLeft(worker.Instance)
		if k.refusal(&rpc.StartTask{}) != "" {
			refused++
		}
		time.Sleep(interval)
	}
	if most := int(3 * exitDelay / interval); refused > most {
		t.Errorf("starts are refused at %d of %d announcements, want %d at most", refused, announced, most)
	}
}

// halfRunner answers every other stop.
type halfRunner struct {
	*countingRunner
	stops atomic.Int32
}

func (r *halfRunner) Stop(ctx context.Context, instance string, o external.StopRun) (time.Duration, error) {
	if r.stops.Add(1)%2 == 1 {
		<-ctx.Done()
		return 0, external.ErrUnavailable
	}
	return r.Runner.Stop(ctx, instance, o)
}

// TestRestartIsReportedSoonThoughStopsAreLost guards against a restarted worker out of use while unanswered starts are settled one after the other (LOST).
func TestRestartIsReportedSoonThoughStopsAreLost(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	runner := &halfRunner{countingRunner: &countingRunner{Runner: standin.NewRunner()}}
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount()}
	k.HandleHeartbeat(worker, 1)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation()})
	k.awaitList(t)
	k.mu.Lock()
	for i := range 12 {
		k.startCalls.begin(runRef{graph.TaskID{Job: "j", Index: i}, 7}, k.clock())
	}
	k.mu.Unlock()
	worker = restart(k, runner.countingRunner, worker)
	k.HandleHeartbeat(worker, 1)
	begun := time.Now()
	for !k.listIsCurrent() && time.Since(begun) < 20*time.Second {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("reported after %v, %d stop calls", took, runner.stops.Load())
	}
}
