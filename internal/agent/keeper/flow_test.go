package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// lateOwner is an owner that answers reports every answerInterval. It starts two runs on
// the worker and never acknowledges their ends.
type lateOwner struct {
	rpc.UnimplementedFleetServer
	address string

	mu             sync.Mutex
	starts         []*rpc.StartTask // not ordered yet
	answered       uint64           // highest number of an answered report
	received       uint64
	mostUnanswered uint64
}

const answerInterval = 500 * time.Millisecond

func (o *lateOwner) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	return &rpc.LocateReply{OwnerAddress: o.address, Epoch: 1}, nil
}

func (o *lateOwner) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	incarnation := rpc.WorkerInfoOf(r).Incarnation()
	if err := stream.Send(&rpc.WorkerOrders{Epoch: 1, Incarnation: incarnation, AnsweredBeat: r.Beat}); err != nil {
		return err
	}
	o.record(r.Beat, r.Beat)
	go o.receive(stream)
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(answerInterval):
		}
		if err := stream.Send(o.answer(incarnation)); err != nil {
			return err
		}
	}
}

func (o *lateOwner) receive(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		o.record(r.Beat, 0)
	}
}

func (o *lateOwner) record(received, answered uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received, o.answered = received, max(o.answered, answered)
	o.mostUnanswered = max(o.mostUnanswered, o.received-o.answered)
}

func (o *lateOwner) answer(incarnation string) *rpc.WorkerOrders {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered = o.received
	starts := o.starts
	o.starts = nil
	return &rpc.WorkerOrders{Epoch: 1, Incarnation: incarnation, AnsweredBeat: o.answered, GrantedBeat: o.answered, LeaseMs: 6000, Starts: starts}
}

// startKeeper runs a keeper of a worker until the test ends.
func startKeeper(t *testing.T, runner *standin.Runner, entries ...string) {
	t.Helper()
	clock := ledger.NewMonotonicClock()
	finder := NewOwnerFinder(unavailableRows{}, "all", entries, clock, zerolog.Nop())
	runKeeper(t, New(runner, finder, clock, metrics.NewRegistry(), zerolog.Nop()), runner)
}

// runKeeper runs a keeper, which has got a heartbeat of its worker, until the test ends.
func runKeeper(t *testing.T, k *Keeper, runner *standin.Runner) {
	t.Helper()
	k.HandleHeartbeat(plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: 1}, 1)
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// TestReportsDoNotPileUpAtLateOwner guards against an owner that gets more reports the later it is.
func TestReportsDoNotPileUpAtLateOwner(t *testing.T) {
	long := graph.TaskID{Job: "j", Index: 1}
	o := &lateOwner{starts: []*rpc.StartTask{{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 1)}, {Ref: rpc.TaskRefOf(long, 1)}}}
	o.address = serveFleet(t, o)
	runner := standin.NewRunner()
	runner.RunDuration = func(task graph.TaskID) time.Duration {
		if task == long {
			return time.Minute
		}
		return 100 * time.Millisecond
	}
	startKeeper(t, runner, o.address)
	time.Sleep(6 * answerInterval)
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(runner.StartedTasks()); n != 2 {
		t.Errorf("%d runs started, want 2", n)
	}
	if o.answered < 4 {
		t.Errorf("only %d reports were answered", o.answered)
	}
	if o.mostUnanswered > 1 {
		t.Errorf("%d unanswered reports on one connection, want at most 1", o.mostUnanswered)
	}
}

// orderingEntry answers an agent's first report, sends an order after the second one and
// then falls silent.
type orderingEntry struct {
	*unresponsiveEntry
}

func (m orderingEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	for _, answered := range []uint64{1, 0} {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(&rpc.WorkerOrders{Epoch: 1, Incarnation: rpc.WorkerInfoOf(r).Incarnation(), AnsweredBeat: answered}); err != nil {
			return err
		}
	}
	m.sessions <- struct{}{}
	<-stream.Context().Done()
	return nil
}

// TestOrderDoesNotHideDeadOwner guards against an agent that takes an order for the answer to its report and looks for a successor late.
func TestOrderDoesNotHideDeadOwner(t *testing.T) {
	var located atomic.Pointer[rpc.LocateReply]
	second := startUnresponsiveEntry(t, &located)
	first := orderingEntry{&unresponsiveEntry{owner: &located, sessions: make(chan struct{}, 1)}}
	first.address = serveFleet(t, first)
	located.Store(&rpc.LocateReply{OwnerAddress: first.address, Epoch: 1})
	startKeeper(t, standin.NewRunner(), first.address, second.address)
	await(t, first.sessions, 5*time.Second)
	located.Store(&rpc.LocateReply{OwnerAddress: second.address, Epoch: 2})
	await(t, second.sessions, ownerReplyTimeout*3/4)
}
