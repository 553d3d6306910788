package links

import (
	"context"
	"fmt"
	"strings"
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
	ctx  context.Context
	in   chan *rpc.AgentMessage
	sent chan time.Time
}

func newFakeStream(ctx context.Context) *fakeStream {
	return &fakeStream{ctx: ctx, in: make(chan *rpc.AgentMessage), sent: make(chan time.Time, 1000)}
}

func (f *fakeStream) Context() context.Context { return f.ctx }

func (f *fakeStream) Send(*rpc.EntryMessage) error {
	f.sent <- time.Now()
	return nil
}

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

// longestSilence returns the longest time without a message from the entry,
// within the given time from now.
func (f *fakeStream) longestSilence(within time.Duration) time.Duration {
	last, longest := time.Now(), time.Duration(0)
	for end := time.After(within); ; {
		select {
		case at := <-f.sent:
			longest = max(longest, at.Sub(last))
			last = at
		case <-end:
			return max(longest, time.Since(last))
		}
	}
}

func helloOf(agent, incarnation string) *rpc.AgentMessage {
	return &rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: &rpc.Hello{AgentId: agent, Incarnation: incarnation, Zone: "z"}}}
}

// slowListener calls its functions, as far as they are set, before it records.
type slowListener struct {
	*eventLog
	onUp        func(Agent)
	onHeartbeat func()
}

func (l *slowListener) AgentUp(a Agent, groups []*rpc.GroupReport) {
	if l.onUp != nil {
		l.onUp(a)
	}
	l.eventLog.AgentUp(a, groups)
}

func (l *slowListener) AgentHeartbeat(Agent, *rpc.AgentHeartbeat) {
	if l.onHeartbeat != nil {
		l.onHeartbeat()
	}
}

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

// Guards against agents that take a late entry for a silent one and connect again.
func TestAgentHearsEntryWhoseListenersAreSlow(t *testing.T) {
	for name, l := range map[string]*slowListener{
		"hello":     {onUp: func(Agent) { time.Sleep(slowBy) }},
		"heartbeat": {onHeartbeat: func() { time.Sleep(slowBy) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, j := newTestServer()
			l.eventLog = j
			s.AddListener(l)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := newFakeStream(ctx)
			open(s, f)
			f.write(helloOf("a", "1"))
			go f.beat()
			if got := f.longestSilence(2 * slowBy); got >= idleTimeout {
				t.Errorf("the entry is silent for %v, agents close a link after %v", got, idleTimeout)
			}
		})
	}
}

// Guards against connections that agents have given up making a late entry later still.
func TestClosedStreamsDoNotReachListeners(t *testing.T) {
	s, j := newTestServer()
	busy, release := make(chan struct{}), make(chan struct{})
	l := &slowListener{eventLog: &eventLog{}, onUp: func(a Agent) {
		if a.ID == "b" {
			close(busy)
			<-release
		}
	}}
	s.AddListener(l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	other := newFakeStream(ctx)
	open(s, other)
	other.write(helloOf("b", "other"))
	<-busy
	var opened []chan struct{}
	for i := range 5 {
		ctx, giveUp := context.WithCancel(context.Background())
		f := newFakeStream(ctx)
		opened = append(opened, open(s, f))
		f.write(helloOf("a", fmt.Sprint("given up ", i)))
		giveUp()
	}
	for _, closed := range opened {
		select {
		case <-closed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	close(release)
	for _, closed := range opened {
		<-closed
	}
	for _, line := range j.list() {
		if strings.Contains(line, "given up") {
			t.Errorf("listeners were notified of %q, whose stream had ended before", line)
		}
	}
}
