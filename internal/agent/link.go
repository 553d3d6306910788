package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// silenceTimeout is how long a link may receive no message before it is
	// closed and opened again on a new connection.
	silenceTimeout     = 1500 * time.Millisecond
	minRedialDelay     = 100 * time.Millisecond
	maxRedialDelay     = time.Second
	sessionQueueLength = 4096 // messages
)

// link maintains a session with the entry at one address. It opens a new session
// on a new connection whenever the session is lost or silent.
type link struct {
	agent      *Agent
	address    string
	lastListed time.Time // guarded by linkSet.mu
	cancel     context.CancelFunc

	mu      sync.Mutex
	current *session // nil until the entry has sent a heartbeat
}

// session is one open stream to an entry.
type session struct {
	entry    string // entry ID, empty before the first heartbeat
	address  string
	outgoing chan *rpc.AgentMessage
	cancel   context.CancelFunc
	// echoMS is the agent's clock value in the latest of its heartbeats that the
	// entry has answered, in ms.
	echoMS atomic.Int64
}

// send queues a message. A session whose queue is full is closed; messages that
// must not be lost are sent again on the next session.
func (s *session) send(m *rpc.AgentMessage) {
	select {
	case s.outgoing <- m:
	default:
		s.cancel()
	}
}

func (l *link) session() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *link) setSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = s
}

func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		answered, err := l.serve(ctx)
		metrics.GetOrRegisterCounter("links.lost", l.agent.registry).Inc(1)
		if answered {
			delay = minRedialDelay
		}
		l.agent.log.Debug().Str("address", l.address).Err(err).Msg("link lost")
		kernel.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRedialDelay)
	}
}

// serve runs one session until it is lost or silent or ctx ends. It reports
// whether the entry has sent a heartbeat on it.
func (l *link) serve(ctx context.Context) (answered bool, err error) {
	conn, err := rpc.Dial(l.address)
	if err != nil {
		return false, errors.Annotatef(err, "dialling entry at %q", l.address)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	stream, err := rpc.NewLinkClient(conn).Open(ctx)
	if err != nil {
		return false, errors.Annotatef(err, "opening link to %q", l.address)
	}
	s := &session{address: l.address, outgoing: make(chan *rpc.AgentMessage, sessionQueueLength), cancel: cancel}
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		l.sendLoop(ctx, stream, s)
	}()
	err = l.receiveLoop(stream, s, watchdog)
	cancel()
	<-senderDone
	if l.session() == s {
		l.setSession(nil)
		l.agent.host().linkDown(s.entry)
	}
	return s.entry != "", err
}

// sendLoop sends a hello, a heartbeat, then queued messages and periodic
// heartbeats.
func (l *link) sendLoop(ctx context.Context, stream rpc.Link_OpenClient, s *session) {
	defer s.cancel()
	if err := stream.Send(&rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: l.agent.hello()}}); err != nil {
		return
	}
	if err := stream.Send(heartbeatMessage(l.agent)); err != nil {
		return
	}
	ticker := time.NewTicker(l.agent.heartbeatInterval())
	defer ticker.Stop()
	for {
		var m *rpc.AgentMessage
		select {
		case <-ctx.Done():
			return
		case m = <-s.outgoing:
		case <-ticker.C:
			m = heartbeatMessage(l.agent)
		}
		if err := stream.Send(m); err != nil {
			return
		}
	}
}

// receiveLoop handles received messages. The session counts as open from the
// entry's first heartbeat on.
func (l *link) receiveLoop(stream rpc.Link_OpenClient, s *session, watchdog *time.Timer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return errors.Annotatef(err, "link to %q", l.address)
		}
		watchdog.Reset(silenceTimeout)
		heartbeat := m.GetHeartbeat()
		if heartbeat == nil {
			l.agent.host().handleMessage(s.entry, m)
			continue
		}
		s.echoMS.Store(heartbeat.EchoClockMs)
		if s.entry == "" {
			s.entry = heartbeat.EntryId
			l.setSession(s)
			l.agent.host().linkUp(s.entry)
			// A change announced before the session was open has not reached the entry.
			s.send(heartbeatMessage(l.agent))
		}
		l.agent.handleHeartbeat(heartbeat)
	}
}

func heartbeatMessage(a *Agent) *rpc.AgentMessage {
	return &rpc.AgentMessage{Body: &rpc.AgentMessage_Heartbeat{Heartbeat: a.heartbeat()}}
}
