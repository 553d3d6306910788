package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// silenceLimit is how long a link may stay without a message before it is
	// given up and opened again on a new connection.
	silenceLimit = 1500 * time.Millisecond
	redialMin    = 100 * time.Millisecond
	redialMax    = time.Second
	sessionQueue = 4096 // messages
)

// link keeps a session with the entry at one address, opening it again on a
// new connection whenever it is lost or silent.
type link struct {
	agent   *Agent
	address string
	listed  time.Time // guarded by linkSet.mu
	cancel  context.CancelFunc

	mu   sync.Mutex
	open *session
}

// session is one open stream.
type session struct {
	entry   string // the entry's id
	address string
	out     chan *rpc.AgentMessage
	cancel  context.CancelFunc
}

// send queues a message; a session whose queue is full is closed, and what
// matters is sent again on the next one.
func (s *session) send(m *rpc.AgentMessage) {
	select {
	case s.out <- m:
	default:
		s.cancel()
	}
}

func (l *link) session() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *link) setSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = s
}

func (l *link) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		wasUp, err := l.serve(ctx)
		metrics.GetOrRegisterCounter("links.lost", l.agent.registry).Inc(1)
		if wasUp {
			wait = redialMin
		}
		l.agent.log.Debug().Str("address", l.address).Err(err).Msg("link lost")
		kernel.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, redialMax)
	}
}

// serve runs one session until it is lost, silent or ctx ends. It reports
// whether the entry has answered on it.
func (l *link) serve(ctx context.Context) (wasUp bool, err error) {
	conn, err := rpc.Dial(l.address)
	if err != nil {
		return false, errors.Annotatef(err, "dialling entry at %q", l.address)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceLimit, cancel)
	defer watchdog.Stop()
	stream, err := rpc.NewLinkClient(conn).Open(ctx)
	if err != nil {
		return false, errors.Annotatef(err, "opening link to %q", l.address)
	}
	s := &session{address: l.address, out: make(chan *rpc.AgentMessage, sessionQueue), cancel: cancel}
	sender := make(chan struct{})
	go func() {
		defer close(sender)
		l.sendLoop(ctx, stream, s)
	}()
	err = l.receiveLoop(stream, s, watchdog)
	cancel()
	<-sender
	if l.session() == s {
		l.setSession(nil)
		l.agent.host().linkDown(s.entry)
	}
	return s.entry != "", err
}

func (l *link) sendLoop(ctx context.Context, stream rpc.Link_OpenClient, s *session) {
	defer s.cancel()
	if err := stream.Send(&rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: l.agent.hello()}}); err != nil {
		return
	}
	if err := stream.Send(heartbeatMessage(l.agent)); err != nil {
		return
	}
	beat := time.NewTicker(l.agent.heartbeatInterval())
	defer beat.Stop()
	for {
		var m *rpc.AgentMessage
		select {
		case <-ctx.Done():
			return
		case m = <-s.out:
		case <-beat.C:
			m = heartbeatMessage(l.agent)
		}
		if err := stream.Send(m); err != nil {
			return
		}
	}
}

func (l *link) receiveLoop(stream rpc.Link_OpenClient, s *session, watchdog *time.Timer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return errors.Annotatef(err, "link to %q", l.address)
		}
		watchdog.Reset(silenceLimit)
		hb := m.GetHeartbeat()
		if hb == nil {
			l.agent.host().handle(s.entry, m)
			continue
		}
		if s.entry == "" {
			s.entry = hb.EntryId
			l.setSession(s)
			l.agent.host().linkUp(s.entry)
		}
		l.agent.onHeartbeat(hb)
	}
}

func heartbeatMessage(a *Agent) *rpc.AgentMessage {
	return &rpc.AgentMessage{Body: &rpc.AgentMessage_Heartbeat{Heartbeat: a.heartbeat()}}
}
