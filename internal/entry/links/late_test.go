package links

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"google.golang.org/grpc"
)

// slowBy is longer than either side of a link waits for a message.
const slowBy = idleTimeout + 500*time.Millisecond

// fakeStream is the entry's end of a stream on which the agent sends what is
// written to in. Recv and Open end with ctx.
type fakeStream struct {
	grpc.ServerStream
	ctx context.Context
	in  chan *rpc.AgentMessage
}

func newFakeStream(ctx context.Context) *fakeStream {
	return &fakeStream{ctx: ctx, in: make(chan *rpc.AgentMessage)}
}

func (f *fakeStream) Context() context.Context { return f.ctx }

func (f *fakeStream) Send(*rpc.EntryMessage) error { return nil }

func (f *fakeStream) Recv() (*rpc.AgentMessage, error) {
	select {
	case m := <-f.in:
		return m, nil
	case <-f.ctx.Done():
		return nil, f.ctx.Err()
	}
}

// write sends m as the agent and returns once the entry has read it.
func (f *fakeStream) write(m *rpc.AgentMessage) {
	select {
	case f.in <- m:
	case <-f.ctx.Done():
	}
}

// beat sends a heartbeat each 100 ms, as far as the entry reads them.
func (f *fakeStream) beat() {
	for f.ctx.Err() == nil {
		f.write(&rpc.AgentMessage{Body: &rpc.AgentMessage_Heartbeat{Heartbeat: &rpc.AgentHeartbeat{}}})
		time.Sleep(100 * time.Millisecond)
	}
}

func helloOf(agent, incarnation string) *rpc.AgentMessage {
	return &rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: &rpc.Hello{AgentId: agent, Incarnation: incarnation, Zone: "z"}}}
}

// slowListener calls its function for each heartbeat.
type slowListener struct {
	*eventLog
	onHeartbeat func()
}

func (l *slowListener) AgentHeartbeat(Agent, *rpc.AgentHeartbeat) { l.onHeartbeat() }

func open(s *Server, f *fakeStream) (closed chan struct{}) {
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		_ = s.Open(f)
	}()
	return closed
}

// Guards against an entry that is late closing, as idle, links whose agents send.
func TestSlowListenerDoesNotCloseLink(t *testing.T) {
	s, j := newTestServer()
	var once sync.Once
	s.AddListener(&slowListener{eventLog: j, onHeartbeat: func() { once.Do(func() { time.Sleep(slowBy) }) }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStream(ctx)
	closed := open(s, f)
	f.write(helloOf("a", "1"))
	go f.beat()
	select {
	case <-closed:
		t.Fatal("the link was closed")
	case <-time.After(slowBy + idleTimeout):
	}
}
