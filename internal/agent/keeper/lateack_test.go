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

// ackRunner records the Hold calls with acknowledgements. If late is set, the next one takes
// effect after that time and gets no answer.
type ackRunner struct {
	*standin.Runner
	late    atomic.Int64
	acks    atomic.Int32
	waiting atomic.Int32 // those of them that wait for an end
	ignored atomic.Bool  // acknowledgements have no effect
	// executed is the outcome of the last call that took effect late.
	executed atomic.Pointer[error]
	latest   atomic.Int64 // highest deadline of a call, in nanoseconds
}

func (r *ackRunner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.latest.Store(max(r.latest.Load(), int64(o.Deadline)))
	if o.Seen > 0 {
		r.acks.Add(1)
		if o.Wait > 0 {
			r.waiting.Add(1)
		}
		if r.ignored.Load() {
			o.Seen = 0
		}
		if late := r.late.Swap(0); late > 0 {
			time.AfterFunc(time.Duration(late), func() {
				_, err := r.Runner.Hold(context.Background(), instance, o)
				r.executed.Store(&err)
			})
			<-ctx.Done()
			return external.RunList{}, external.ErrUnavailable
		}
	}
	return r.Runner.Hold(ctx, instance, o)
}

// skippingClock is a clock that a test can set ahead.
type skippingClock struct {
	base  func() time.Duration
	ahead atomic.Int64
}

func (c *skippingClock) now() time.Duration { return c.base() + time.Duration(c.ahead.Load()) }

// lateAckKeeper returns a keeper whose worker's first end was acknowledged with a call that has no answer and takes effect after late.
func lateAckKeeper(t *testing.T, late time.Duration) (*Keeper, *ackRunner, plan.WorkerInfo, *skippingClock) {
	t.Helper()
	clock := &skippingClock{base: ledger.NewMonotonicClock()}
	runner := &ackRunner{Runner: standin.NewRunner()}
	runner.RunDuration = func(graph.TaskID) time.Duration { return 10 * time.Millisecond }
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock.now, zerolog.Nop()), clock.now, metrics.NewRegistry(), zerolog.Nop())
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount(), Capacity: graph.Resources{MilliCPU: 1000}}
	k.HandleHeartbeat(worker, 1)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation()})
	k.awaitList(t)
	k.endOneRun(t, runner, worker, "earlier")
	runner.late.Store(int64(late))
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Acknowledged: 1})
	pollUntil(t, "an acknowledgement", func() bool { return runner.acks.Load() > 0 })
	return k, runner, worker, clock
}

func pollUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !kernel.PollUntil(bound, time.Millisecond, done) {
		t.Fatalf("timed out waiting for %s", what)
	}
}

// endOneRun starts a run that ends soon, and waits until the keeper has listed its end.
func (k *Keeper) endOneRun(t *testing.T, runner *ackRunner, worker plan.WorkerInfo, job graph.JobID) {
	t.Helper()
	if _, err := runner.Start(context.Background(), worker.Instance, external.StartRun{Task: graph.TaskID{Job: job}, Run: 7, Epoch: 1, Deadline: time.Hour}); err != nil {
		t.Fatal(err)
	}
	pollUntil(t, "the end of "+string(job), func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) > 0 && k.runs.Ended[0].Task.Job == job
	})
}

// getsWork reports whether the worker is reported with room, and takes starts.
func (k *Keeper) getsWork() bool {
	l := &ownerLink{keeper: k, answers: answerMonitor{clock: k.clock}}
	room := k.nextReport(l, true).MilliCpu > 0
	return room && k.refusal(&rpc.StartTask{}) == ""
}

func (r *ackRunner) restartUnder(k *Keeper, worker plan.WorkerInfo) plan.WorkerInfo {
	r.Restart()
	worker.StartUnixMillis = r.StartCount()
	k.HandleHeartbeat(worker, 1)
	return worker
}

// TestLateAcknowledgementForgetsNoEndOfNextIncarnation guards against an end that nobody has seen and that a worker forgets on an acknowledgement meant for its earlier incarnation: its task would run again.
func TestLateAcknowledgementForgetsNoEndOfNextIncarnation(t *testing.T) {
	const late, epoch = 700 * time.Millisecond, 2 // the owner gives each incarnation a higher epoch
	k, runner, worker, _ := lateAckKeeper(t, late)
	worker = runner.restartUnder(k, worker)
	k.awaitList(t)
	if !k.getsWork() {
		t.Fatal("no work while an acknowledgement may reach the worker")
	}
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	ref := rpc.TaskRefOf(graph.TaskID{Job: "next"}, 8)
	k.order(t, &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000, Starts: []*rpc.StartTask{{Ref: ref}}})
	pollUntil(t, "the late acknowledgement", func() bool { return runner.executed.Load() != nil })
	if err := *runner.executed.Load(); !errors.Is(err, external.ErrRunStaleEpoch) {
		t.Errorf("the next incarnation executes the acknowledgement: %v", err)
	}
	list, err := runner.Runner.Hold(context.Background(), worker.Instance, external.HoldRuns{Epoch: epoch})
	if err != nil || len(list.Ended) != 1 || list.Ended[0].Task.Job != "next" {
		t.Fatalf("it lists the ends %v of one run (%v)", list.Ended, err)
	}
	k.order(t, &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation(), Acknowledged: 1})
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
}

// TestAnsweredAcknowledgementDelaysNoRestart guards against a restarted worker that stands idle although no acknowledgement is under way.
func TestAnsweredAcknowledgementDelaysNoRestart(t *testing.T) {
	k, runner, worker, _ := lateAckKeeper(t, 0)
	time.Sleep(2 * holdWait)
	if acks, waiting := runner.acks.Load(), runner.waiting.Load(); acks != 1 || waiting > 0 {
		t.Errorf("the acknowledgement is sent %d times, %d of them in calls that wait", acks, waiting)
	}
	runner.restartUnder(k, worker)
	k.awaitList(t)
	if !k.getsWork() {
		t.Error("no work")
	}
}

// TestUnansweredAcknowledgementIsSentAgain guards against ends that a worker lists for ever.
func TestUnansweredAcknowledgementIsSentAgain(t *testing.T) {
	k, runner, _, _ := lateAckKeeper(t, time.Hour)
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
	if n := runner.acks.Load(); n != 2 {
		t.Errorf("%d calls with acknowledgements, want 2", n)
	}
}

// TestLateAcknowledgementDelaysNoOtherName guards against a worker that stands idle for a call that it would refuse.
func TestLateAcknowledgementDelaysNoOtherName(t *testing.T) {
	k, _, worker, _ := lateAckKeeper(t, time.Hour)
	k.mu.Lock()
	worker.Instance = "other"
	k.changeWorker(worker)
	k.mu.Unlock()
	if reason := k.refusal(&rpc.StartTask{}); reason != "" {
		t.Errorf("starts are refused under another name: %s", reason)
	}
}

// TestBeliedAcknowledgementIsSentAgain guards against an end that a worker lists for ever, and against calls without a pause.
func TestBeliedAcknowledgementIsSentAgain(t *testing.T) {
	k, runner, worker, _ := lateAckKeeper(t, 0)
	runner.ignored.Store(true)
	k.endOneRun(t, runner, worker, "next")
	before := runner.acks.Load()
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Acknowledged: 2})
	time.Sleep(5 * holdRetryInterval)
	if n := runner.acks.Load() - before; n < 2 || n > 8 {
		t.Errorf("%d calls in %v, want one each %v", n, 5*holdRetryInterval, holdRetryInterval)
	}
	runner.ignored.Store(false)
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
}

// TestOldUnansweredAcknowledgementDelaysNoRestart guards against a restarted worker that stands idle though no unanswered acknowledgement is younger than lateCallBound (LOST).
func TestOldUnansweredAcknowledgementDelaysNoRestart(t *testing.T) {
	k, runner, worker, clock := lateAckKeeper(t, time.Hour) // one lost answer; the repeated call is answered
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
	clock.ahead.Store(int64(time.Hour))
	k.endOneRun(t, runner, worker, "next")
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Acknowledged: 2})
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
	runner.restartUnder(k, worker)
	k.awaitList(t)
	if !k.getsWork() {
		t.Error("no work; the only unanswered acknowledgement is an hour old")
	}
}

// startAfterLostAnswer orders a start after an acknowledgement whose repetition was answered, and waits for the report that asks for a higher epoch.
func startAfterLostAnswer(t *testing.T) (*Keeper, *ackRunner, plan.WorkerInfo, *ownerLink) {
	t.Helper()
	k, runner, worker, _ := lateAckKeeper(t, time.Hour)
	pollUntil(t, "no ends", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.runs.Ended) == 0
	})
	runner.RunDuration = func(graph.TaskID) time.Duration { return time.Minute }
	l := &ownerLink{keeper: k, answers: answerMonitor{clock: k.clock, registry: metrics.NewRegistry()}}
	if r := k.nextReport(l, true); r.EpochAbove != 0 {
		t.Error("a higher epoch is asked for while there is nothing to start")
	}
	l.answers.recordAnswer(1)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "next"}, 8)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000, Starts: []*rpc.StartTask{{Ref: ref}}})
	pollUntil(t, "a request for a higher epoch", func() bool { return k.nextReport(l, true).EpochAbove == 1 })
	if n := runner.Running(); n > 0 {
		t.Fatal("started under the epoch of an acknowledgement that has no answer")
	}
	return k, runner, worker, l
}

// TestStartAwaitsAnEpochAboveUnansweredAcknowledgements guards against an end that the next incarnation forgets unseen, and against a raise of the epoch that drops the order under way, its stop or the lists.
func TestStartAwaitsAnEpochAboveUnansweredAcknowledgements(t *testing.T) {
	k, runner, worker, l := startAfterLostAnswer(t)
	raise := func(o *rpc.WorkerOrders) {
		o.FirstEpoch, o.Incarnation = 1, worker.Incarnation()
		k.order(t, o)
		if !k.listIsCurrent() {
			t.Error("the raise keeps reports back")
		}
	}
	raise(&rpc.WorkerOrders{Epoch: 2})
	pollUntil(t, "the start", func() bool { return runner.Running() == 1 })
	if _, err := runner.Runner.Hold(context.Background(), worker.Instance, external.HoldRuns{Epoch: 1, Seen: 1}); !errors.Is(err, external.ErrRunStaleEpoch) {
		t.Errorf("the late acknowledgement is executed after the start: %v", err)
	}
	if r := k.nextReport(l, true); r.EpochAbove != 0 {
		t.Error("a still higher epoch is asked for")
	}
	raise(&rpc.WorkerOrders{Epoch: 3})
	if err := k.applyOrders(context.Background(), &rpc.WorkerOrders{Epoch: 3, FirstEpoch: 1, Incarnation: worker.Incarnation(), Stops: []*rpc.TaskRef{rpc.TaskRefOf(graph.TaskID{Job: "next"}, 8)}}); err != nil {
		t.Fatal(err)
	}
	raise(&rpc.WorkerOrders{Epoch: 4})
	pollUntil(t, "the stop", func() bool { return runner.Running() == 0 })
	pollUntil(t, "the end of its order", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.orders) == 0 && len(k.runs.Ended) == 1
	})
}

// TestStartBesideAnAcknowledgementIsNotDropped guards against an order that fails as an acknowledgement is under way when its call is due.
func TestStartBesideAnAcknowledgementIsNotDropped(t *testing.T) {
	k, _, worker, _ := lateAckKeeper(t, time.Hour)
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000})
	started := make(chan error, 1)
	go func() {
		o := external.StartRun{Task: graph.TaskID{Job: "next"}, Run: 8}
		started <- k.callStart(context.Background(), k.target(), o, graph.Resources{}, time.Second, k.clock()+5*time.Second)
	}()
	pollUntil(t, "a request for a higher epoch", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.epochAbove == 1
	})
	k.order(t, &rpc.WorkerOrders{Epoch: 2, FirstEpoch: 1, Incarnation: worker.Incarnation()})
	if err := <-started; err != nil {
		t.Errorf("not started: %v", err)
	}
}

// TestOwnerThatNamesNoHigherEpochGetsItsStarts guards against a worker without work (LOST) as its owner is of an earlier version or the numbers of its term are used up.
func TestOwnerThatNamesNoHigherEpochGetsItsStarts(t *testing.T) {
	k, runner, worker, l := startAfterLostAnswer(t)
	l.answers.recordAnswer(l.reportNumber)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), AnsweredBeat: l.reportNumber})
	k.recordEpochAnswer(l)
	pollUntil(t, "the start", func() bool { return runner.Running() == 1 })
}

// TestNoAcknowledgementFollowsAnUnansweredStart guards against an end that the next incarnation forgets unseen, as it executes a start and then an acknowledgement that was sent after it.
func TestNoAcknowledgementFollowsAnUnansweredStart(t *testing.T) {
	ref := runRef{graph.TaskID{Job: "a"}, 1}
	for _, moreEnds := range []bool{false, true} {
		k := New(standin.NewRunner(), nil, func() time.Duration { return time.Minute }, metrics.NewRegistry(), zerolog.Nop())
		k.acknowledged, k.ackOwedAt, k.runs.MoreEnds = 5, time.Minute-plan.LateCallTime, moreEnds
		ack := func(sentAgo time.Duration) uint64 {
			k.startCalls.reset()
			k.startCalls.begin(ref, time.Minute-sentAgo)
			return k.pendingAck()
		}
		want := uint64(0)
		if moreEnds {
			want = 5
		}
		if got := ack(plan.LateCallTime); got != want {
			t.Errorf("acknowledges up to %d after an unanswered start, want %d", got, want)
		}
		k.ackOwedAt--
		if got := ack(0); got != 5 {
			t.Errorf("acknowledges up to %d though it was owed for long", got)
		}
		k.ackOwedAt++
		if got := ack(plan.LateCallTime + 1); got != 5 {
			t.Errorf("acknowledges up to %d after a start that is too old", got)
		}
		k.startCalls.begin(ref, time.Minute)
		k.startCalls.end(ref, true, true)
		if got := k.pendingAck(); got != 5 || !k.hasPendingAck() {
			t.Errorf("acknowledges up to %d after an answered start", got)
		}
	}
}
