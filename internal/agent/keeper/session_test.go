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

// unresponsiveEntry accepts agents' reports without answering them. It answers
// Locate with the configured owner.
type unresponsiveEntry struct {
	rpc.UnimplementedFleetServer
	address  string
	owner    *atomic.Pointer[rpc.LocateReply]
	sessions chan struct{}
}

func (m *unresponsiveEntry) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	return m.owner.Load(), nil
}

func (m *unresponsiveEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	m.sessions <- struct{}{}
	<-stream.Context().Done()
	return nil
}

func startUnresponsiveEntry(t *testing.T, owner *atomic.Pointer[rpc.LocateReply]) *unresponsiveEntry {
	t.Helper()
	m := &unresponsiveEntry{owner: owner, sessions: make(chan struct{}, 16)}
	m.address = serveFleet(t, m)
	return m
}

// serveFleet serves entry until the test ends, and returns its address.
func serveFleet(t *testing.T, entry rpc.FleetServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveFleetOn(t, listener, entry)
	return listener.Addr().String()
}

// serveFleetOn serves entry at a listener until the test ends.
func serveFleetOn(t *testing.T, listener net.Listener, entry rpc.FleetServer) {
	t.Helper()
	server := grpc.NewServer()
	rpc.RegisterFleetServer(server, entry)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

type unavailableRows struct{}

func (unavailableRows) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	return nil, context.DeadlineExceeded
}

// TestAgentLeavesSilentOwnerForSuccessor checks that an agent whose owner does not
// answer switches to the entry that has taken over, long before ownerReplyTimeout.
// Without a successor it keeps the connection until that timeout.
func TestAgentLeavesSilentOwnerForSuccessor(t *testing.T) {
	var located atomic.Pointer[rpc.LocateReply]
	first, second := startUnresponsiveEntry(t, &located), startUnresponsiveEntry(t, &located)
	located.Store(&rpc.LocateReply{OwnerAddress: first.address, Epoch: 1})

	clock := ledger.NewMonotonicClock()
	finder := NewOwnerFinder(unavailableRows{}, "all", []string{first.address, second.address}, clock, zerolog.Nop())
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
	await(t, first.sessions, 5*time.Second)
	select {
	case <-first.sessions:
		t.Fatal("attended a second time before the owner was given up")
	case <-time.After(ownerReplyTimeout * 3 / 4):
	}
	await(t, first.sessions, 5*time.Second)
	// An entry that does not know of the current owner yet names an earlier one.
	located.Store(&rpc.LocateReply{OwnerAddress: second.address, Epoch: 1})
	select {
	case <-second.sessions:
		t.Fatal("left the owner for an earlier one")
	case <-time.After(successorCheckDelay * 3 / 2):
	}
	located.Store(&rpc.LocateReply{OwnerAddress: second.address, Epoch: 2})
	await(t, second.sessions, ownerReplyTimeout*3/4)
}

func await(t *testing.T, c <-chan struct{}, bound time.Duration) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(bound):
		t.Fatalf("nothing within %v", bound)
	}
}
