package links

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const testTimeout = 20 * time.Second

type emptyHeartbeats struct{}

func (emptyHeartbeats) Fill(*rpc.EntryHeartbeat, string, bool) {}

// eventLog is a listener that records the incarnations that go up and down.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (j *eventLog) add(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

func (j *eventLog) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.lines)
}

func (j *eventLog) AgentUp(a Agent, _ []*rpc.GroupReport)     { j.add("up " + a.Incarnation) }
func (j *eventLog) AgentDown(a Agent)                         { j.add("down " + a.Incarnation) }
func (j *eventLog) AgentHeartbeat(Agent, *rpc.AgentHeartbeat) {}
func (j *eventLog) RequestResult(Agent, *rpc.RequestResult)   {}
func (j *eventLog) GroupReport(Agent, *rpc.GroupReport)       {}
func (j *eventLog) has(line string) bool                      { return slices.Contains(j.list(), line) }

func newTestServer() (*Server, *eventLog) {
	s, j := New(emptyHeartbeats{}, metrics.NewRegistry(), zerolog.Nop()), &eventLog{}
	s.AddListener(j)
	return s, j
}

func newTestSession(incarnation string) *session {
	return &session{
		agent:  Agent{ID: "a", Incarnation: incarnation},
		out:    make(chan *rpc.EntryMessage, sessionQueueSize),
		cancel: func() {},
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// The agent opens its next session while the listeners are still being notified
// of the loss of the previous one. If the notifications were reordered, the
// agent would be down although it is linked.
func TestAgentStaysUpWhenNewSessionReplacesLostOne(t *testing.T) {
	s, j := newTestServer()
	old, next := newTestSession("1"), newTestSession("2")
	if err := s.addSession(context.Background(), old, nil); err != nil {
		t.Fatal(err)
	}
	old.dispatchMu.Lock() // a call of a listener is in progress
	var both sync.WaitGroup
	both.Go(func() { s.removeSession(old) })
	eventually(t, "the lost session is removed", func() bool { return !s.isCurrent(old) })
	added := make(chan struct{})
	both.Go(func() {
		defer close(added)
		if err := s.addSession(context.Background(), next, nil); err != nil {
			t.Error(err)
		}
	})
	select {
	case <-added:
	case <-time.After(100 * time.Millisecond):
	}
	old.dispatchMu.Unlock()
	both.Wait()
	if got, want := j.list(), []string{"up 1", "down 1", "up 2"}; !slices.Equal(got, want) {
		t.Fatalf("listeners were notified of %q, want %q", got, want)
	}
}

// An agent stops sending and reading on a connection that stays open, while more
// is queued for it than the transport buffers. The blocked send must not keep the
// session open.
func TestSilentAgentGoesDownWhileSendIsBlocked(t *testing.T) {
	s, j := newTestServer()
	address := serveLinks(t, s)
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := rpc.NewLinkClient(conn).Open(ctx)
	if err != nil {
		t.Fatal(err)
	}
	hello := &rpc.Hello{AgentId: "a", Incarnation: "1", Zone: "z"}
	if err := stream.Send(&rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: hello}}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "agent is up", func() bool { return j.has("up 1") })
	for range 4 {
		body := make([]byte, 1<<20)
		s.Send("a", func(int64) *rpc.EntryMessage {
			return &rpc.EntryMessage{Body: &rpc.EntryMessage_Execute{Execute: &rpc.Execute{Body: body}}}
		})
	}
	eventually(t, "agent is down", func() bool { return j.has("down 1") })
}

func serveLinks(t *testing.T, s *Server) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	rpc.RegisterLinkServer(server, s)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}
