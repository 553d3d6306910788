package keeper

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

const connectionBuffer = 1 << 16 // bytes

// memoryNetwork connects an agent with entries without sockets: the simulated time of
// synctest does not advance while a goroutine waits at a socket. Connections to addresses
// that are not served are never established.
type memoryNetwork struct {
	t         *testing.T
	listeners map[string]*bufconn.Listener

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newMemoryNetwork(t *testing.T) *memoryNetwork {
	return &memoryNetwork{t: t, listeners: map[string]*bufconn.Listener{}, conns: map[string]*grpc.ClientConn{}}
}

// serve serves entry at an address until the test ends. It must be called before the
// agent is started.
func (n *memoryNetwork) serve(address string, entry rpc.FleetServer) {
	listener := bufconn.Listen(connectionBuffer)
	n.listeners[address] = listener
	serveFleetOn(n.t, listener, entry)
}

// Fleet returns a client for the entry at an address. It connects as rpc.Pool does.
func (n *memoryNetwork) Fleet(address string) (rpc.FleetClient, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		return rpc.NewFleetClient(c), nil
	}
	c, err := rpc.Dial(address, append(rpc.QuickReconnect(), grpc.WithContextDialer(n.dial))...)
	if err != nil {
		return nil, err
	}
	n.conns[address] = c
	return rpc.NewFleetClient(c), nil
}

func (n *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if listener := n.listeners[address]; listener != nil {
		return listener.DialContext(ctx)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (n *memoryNetwork) closeConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if err := c.Close(); err != nil {
			n.t.Error(err)
		}
	}
}

// simulateTime runs a test in simulated time.
func simulateTime(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	metrics.NewMeter().Stop() // starts the goroutine of all meters, which never ends, outside
	synctest.Test(t, run)
}

// startKeeperIn starts a keeper that reaches the entries through the network.
func startKeeperIn(n *memoryNetwork, entries ...string) {
	n.t.Helper()
	n.t.Cleanup(n.closeConnections)
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	finder := NewOwnerFinder(unavailableRows{}, "all", entries, clock, zerolog.Nop())
	finder.pool = n
	runner := standin.NewRunner()
	runKeeper(n.t, New(runner, finder, clock, metrics.NewRegistry(), zerolog.Nop()), runner)
}
