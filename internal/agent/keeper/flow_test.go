package keeper

import (
	"context"
	"net"
	"sync"
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

func startLateOwner(t *testing.T, starts ...*rpc.StartTask) *lateOwner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &lateOwner{address: listener.Addr().String(), starts: starts}
	server := grpc.NewServer()
	rpc.RegisterFleetServer(server, o)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return o
}

// TestReportsDoNotPileUpAtLateOwner guards against an owner that gets more reports the later it is.
func TestReportsDoNotPileUpAtLateOwner(t *testing.T) {
	long := graph.TaskID{Job: "j", Index: 1}
	o := startLateOwner(t, &rpc.StartTask{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 1)}, &rpc.StartTask{Ref: rpc.TaskRefOf(long, 1)})
	runner := standin.NewRunner()
	runner.RunDuration = func(task graph.TaskID) time.Duration {
		if task == long {
			return time.Minute
		}
		return 100 * time.Millisecond
	}
	clock := ledger.NewMonotonicClock()
	finder := NewOwnerFinder(unavailableRows{}, "all", []string{o.address}, clock, zerolog.Nop())
	k := New(runner, finder, clock, metrics.NewRegistry(), zerolog.Nop())
	k.HandleHeartbeat(plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: 1}, 1)
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * answerInterval)
	if err := k.Stop(context.Background()); err != nil {
		t.Error(err)
	}
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
