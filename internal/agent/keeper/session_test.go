package keeper

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// muteEntry takes agents' reports and answers none; it tells which entry owns
// scheduling.
type muteEntry struct {
	rpc.UnimplementedFleetServer
	address  string
	owner    *atomic.Pointer[rpc.LocateReply]
	attended chan struct{}
}

func (m *muteEntry) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	return m.owner.Load(), nil
}

func (m *muteEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	m.attended <- struct{}{}
	<-stream.Context().Done()
	return nil
}

func startMute(t *testing.T, owner *atomic.Pointer[rpc.LocateReply]) *muteEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &muteEntry{address: listener.Addr().String(), owner: owner, attended: make(chan struct{}, 16)}
	server := grpc.NewServer()
	rpc.RegisterFleetServer(server, m)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return m
}

type noRows struct{}

func (noRows) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	return nil, context.DeadlineExceeded
}

// TestSilentOwnerIsLeftForItsSuccessor shows that an agent whose owner does not
// answer goes to the entry that has taken over long before it would give the
// owner up by itself, and that without a successor it stays that long.
func TestSilentOwnerIsLeftForItsSuccessor(t *testing.T) {
	var located atomic.Pointer[rpc.LocateReply]
	first, second := startMute(t, &located), startMute(t, &located)
	located.Store(&rpc.LocateReply{OwnerAddress: first.address, Epoch: 1})

	clock := ledger.NewMonotonicClock()
	finder := NewOwnerFinder(noRows{}, "all", []string{first.address, second.address}, clock, zerolog.Nop())
	k := New(standin.NewRunner(), finder, clock, metrics.NewRegistry(), zerolog.Nop())
	k.HandleHeartbeat(plan.WorkerInfo{ID: "w", Instance: "i", StartUnixMillis: 1}, 1)
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	await(t, first.attended, 5*time.Second)
	select {
	case <-first.attended:
		t.Fatal("attended a second time before the owner was given up")
	case <-time.After(silenceLimit * 3 / 4):
	}
	await(t, first.attended, 5*time.Second)
	// An entry that has not heard of the present owner names an earlier one.
	located.Store(&rpc.LocateReply{OwnerAddress: second.address, Epoch: 1})
	select {
	case <-second.attended:
		t.Fatal("left the owner for an earlier one")
	case <-time.After(answerWait * 3 / 2):
	}
	located.Store(&rpc.LocateReply{OwnerAddress: second.address, Epoch: 2})
	await(t, second.attended, silenceLimit*3/4)
}

func await(t *testing.T, c <-chan struct{}, bound time.Duration) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(bound):
		t.Fatalf("nothing within %v", bound)
	}
}
