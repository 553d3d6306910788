package agent

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
)

const readyTestTimeout = 20 * time.Second

// heldEntry answers the heartbeats of agents once it is released. received gets a
// value for each.
type heldEntry struct {
	rpc.UnimplementedAnnounceServer
	rpc.UnimplementedLinkServer
	entries  []*rpc.EntryAddress
	released chan struct{}
	received chan struct{}
}

func (e *heldEntry) Entries(context.Context, *rpc.EntriesRequest) (*rpc.EntriesReply, error) {
	return &rpc.EntriesReply{Entries: e.entries}, nil
}

func (e *heldEntry) Open(stream rpc.Link_OpenServer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		heartbeat := m.GetHeartbeat()
		if heartbeat == nil {
			continue
		}
		e.received <- struct{}{}
		<-e.released
		reply := &rpc.EntryHeartbeat{EntryId: "e", EchoClockMs: heartbeat.ClockMs}
		if err := stream.Send(&rpc.EntryMessage{Body: &rpc.EntryMessage_Heartbeat{Heartbeat: reply}}); err != nil {
			return err
		}
	}
}

// serveHeldEntries serves n entries that list each other.
func serveHeldEntries(t *testing.T, n int) []*heldEntry {
	t.Helper()
	var addresses []*rpc.EntryAddress
	var out []*heldEntry
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := &heldEntry{released: make(chan struct{}), received: make(chan struct{}, 1000)}
		server := grpc.NewServer()
		rpc.RegisterAnnounceServer(server, e)
		rpc.RegisterLinkServer(server, e)
		addresses = append(addresses, &rpc.EntryAddress{Id: "e", RpcAddress: listener.Addr().String()})
		out = append(out, e)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
	}
	for _, e := range out {
		e.entries = addresses
	}
	return out
}

func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(readyTestTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", readyTestTimeout, what)
		}
	}
}

// Guards against a rolling replacement that goes on while an entry does not know
// yet that the endpoint of the replaced agent takes work.
func TestAgentIsReadyOnceAllEntriesKnowItsHealth(t *testing.T) {
	entries := serveHeldEntries(t, 2)
	cfg := Config{ID: "a", Kind: KindMinion, Slots: 1, Balancer: entries[0].entries[0].RpcAddress}
	a := New(cfg, &fakeMinion{}, nil, metrics.NewRegistry(), zerolog.Nop())
	if err := a.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer a.loops.End()
	close(entries[0].released)
	awaitCondition(t, "a link to the first entry", func() bool { return a.links.openCount() == 1 })
	<-entries[1].received
	if a.Ready() == nil {
		t.Error("ready while the second entry has answered nothing")
	}
	close(entries[1].released)
	awaitCondition(t, "ready", func() bool { return a.Ready() == nil })
}

// heartbeatStream receives one heartbeat of an entry.
type heartbeatStream struct {
	rpc.Link_OpenClient
	received bool
}

func (s *heartbeatStream) Recv() (*rpc.EntryMessage, error) {
	if s.received {
		return nil, io.EOF
	}
	s.received = true
	return &rpc.EntryMessage{Body: &rpc.EntryMessage_Heartbeat{Heartbeat: &rpc.EntryHeartbeat{EntryId: "e"}}}, nil
}

// Guards against an entry that is linked during the agent's first health check and
// gets the result only with the next periodic heartbeat.
func TestHealthReachesEntryWhoseLinkIsBeingOpened(t *testing.T) {
	a := New(Config{ID: "a", Kind: KindMinion, Slots: 1}, &fakeMinion{}, nil, metrics.NewRegistry(), zerolog.Nop())
	l, s := &link{agent: a}, &session{outgoing: make(chan *rpc.AgentMessage, 1), cancel: func() {}}
	a.probe(context.Background())
	watchdog := time.NewTimer(time.Hour)
	defer watchdog.Stop()
	if err := l.receiveLoop(&heartbeatStream{}, s, watchdog); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	select {
	case m := <-s.outgoing:
		if !m.GetHeartbeat().GetEndpointHealthy() {
			t.Errorf("message %v, want a heartbeat of a healthy endpoint", m)
		}
	default:
		t.Error("no heartbeat is queued as the link opens")
	}
}
