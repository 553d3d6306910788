// Package links serves the entry's side of the links with agents. It holds the
// latest session of each agent and passes the agents' messages to listeners.
package links

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// idleTimeout is how long the entry waits for the next message of an agent
	// before it closes the session. Agents send at least their heartbeats.
	idleTimeout = 1500 * time.Millisecond
	// keepaliveInterval is the longest time between two messages to an agent. It
	// is longer than the time between an agent's heartbeats, so that their
	// answers suffice unless the entry is late.
	keepaliveInterval = idleTimeout / 2
	sessionQueueSize  = 8192 // messages
	maxSessions       = 20000
	// entryListPeriod is the number of heartbeats from one that carries the list
	// of entries to the next. The first heartbeat of a session carries it.
	entryListPeriod = 10
)

// Agent describes an agent as announced in its hello message.
type Agent struct {
	ID          string
	Incarnation string
	Kind        rpc.EndpointKind
	Service     string
	Zone        string
	Rack        string
	Slots       int
	Capacity    api.Resources
}

// Listener receives the messages of agents. Calls for one agent are serialized,
// and none is made for a session that has been replaced.
type Listener interface {
	AgentUp(a Agent, groups []*rpc.GroupReport)
	AgentDown(a Agent)
	AgentHeartbeat(a Agent, hb *rpc.AgentHeartbeat)
	RequestResult(a Agent, r *rpc.RequestResult)
	GroupReport(a Agent, g *rpc.GroupReport)
}

// HeartbeatFiller fills in the part of a heartbeat that is the same for all
// agents of a zone.
type HeartbeatFiller interface {
	// Fill sets the fields on the entry's configuration, its peers and the
	// owner of the cell. The list of entries is set only if withEntries is true.
	Fill(hb *rpc.EntryHeartbeat, zone string, withEntries bool)
}

// session is one open stream with an agent.
type session struct {
	agent      Agent
	out        chan *rpc.EntryMessage
	cancel     context.CancelFunc
	dispatchMu sync.Mutex // held while listeners are called

	mu             sync.Mutex
	agentClockMS   int64
	heartbeatsSent int
	lastHeartbeat  *rpc.AgentHeartbeat
}

// Server implements the Link gRPC service.
type Server struct {
	rpc.UnimplementedLinkServer
	heartbeats HeartbeatFiller
	listeners  []Listener
	registry   metrics.Registry
	log        zerolog.Logger

	// sessionChange holds a value while a session is added or removed and the
	// listeners are notified, so that they are notified of an agent's sessions
	// in order. It is acquired before any dispatchMu. It is a channel so that a
	// stream that ends stops waiting for it.
	sessionChange chan struct{}

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// New returns a server. heartbeats fills in its replies to heartbeats.
func New(heartbeats HeartbeatFiller, registry metrics.Registry, log zerolog.Logger) *Server {
	return &Server{
		heartbeats:    heartbeats,
		registry:      registry,
		log:           log,
		sessionChange: make(chan struct{}, 1),
		sessions:      map[string]*session{},
	}
}

// AddListener adds a listener. It must be called before the server serves.
func (s *Server) AddListener(l Listener) { s.listeners = append(s.listeners, l) }

// Open serves one link until it is lost, idle for idleTimeout, or replaced.
func (s *Server) Open(stream rpc.Link_OpenServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil || hello.AgentId == "" || hello.Zone == "" {
		return status.Error(codes.InvalidArgument, "first message of a link is not a hello with agent_id and zone")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	sess := &session{agent: agentFromHello(hello), out: make(chan *rpc.EntryMessage, sessionQueueSize), cancel: cancel}
	go s.sendLoop(ctx, stream, sess)
	if err := s.addSession(ctx, sess, hello.Groups); err != nil {
		return err
	}
	defer s.removeSession(sess)
	go s.receiveLoop(ctx, stream, sess)
	<-ctx.Done()
	return status.Error(codes.Unavailable, "link closed")
}

func agentFromHello(h *rpc.Hello) Agent {
	return Agent{
		ID:          h.AgentId,
		Incarnation: h.Incarnation,
		Kind:        h.Kind,
		Service:     h.Service,
		Zone:        h.Zone,
		Rack:        h.Rack,
		Slots:       int(h.Slots),
		Capacity:    rpc.ToResources(h.Capacity),
	}
}

// sendLoop writes queued messages until ctx ends, and a heartbeat when there was
// none for keepaliveInterval, so that the agent keeps the link while its messages
// wait for the listeners. Such a heartbeat repeats the agent's last clock value,
// so that it permits nothing for longer. A write may block on a peer that has
// stopped reading; it is unblocked when Open returns.
func (s *Server) sendLoop(ctx context.Context, stream rpc.Link_OpenServer, sess *session) {
	defer sess.cancel()
	keepalive := time.NewTimer(keepaliveInterval)
	defer keepalive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-keepalive.C:
			s.sendHeartbeat(sess)
		case m := <-sess.out:
			if err := stream.Send(m); err != nil {
				return
			}
		}
		keepalive.Reset(keepaliveInterval)
	}
}

func (s *Server) receiveLoop(ctx context.Context, stream rpc.Link_OpenServer, sess *session) {
	defer sess.cancel()
	watchdog := time.AfterFunc(idleTimeout, sess.cancel)
	defer watchdog.Stop()
	for ctx.Err() == nil {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		// The listeners may be late for reasons that are not the agent's.
		watchdog.Stop()
		if !s.dispatch(sess, m) {
			return
		}
		watchdog.Reset(idleTimeout)
	}
}

// dispatch passes a message to the listeners. It returns false if the session
// has been replaced.
func (s *Server) dispatch(sess *session, m *rpc.AgentMessage) bool {
	sess.dispatchMu.Lock()
	defer sess.dispatchMu.Unlock()
	if !s.isCurrent(sess) {
		return false
	}
	switch body := m.Body.(type) {
	case *rpc.AgentMessage_Heartbeat:
		s.handleHeartbeat(sess, body.Heartbeat)
	case *rpc.AgentMessage_Result:
		for _, l := range s.listeners {
			l.RequestResult(sess.agent, body.Result)
		}
	case *rpc.AgentMessage_Group:
		for _, l := range s.listeners {
			l.GroupReport(sess.agent, body.Group)
		}
	}
	return true
}

func (s *Server) handleHeartbeat(sess *session, hb *rpc.AgentHeartbeat) {
	sess.mu.Lock()
	sess.agentClockMS = hb.ClockMs
	sess.lastHeartbeat = hb
	sess.mu.Unlock()
	for _, l := range s.listeners {
		l.AgentHeartbeat(sess.agent, hb)
	}
	s.sendHeartbeat(sess)
}

func (s *Server) sendHeartbeat(sess *session) {
	sess.mu.Lock()
	hb := &rpc.EntryHeartbeat{EchoClockMs: sess.agentClockMS}
	withEntries := sess.heartbeatsSent%entryListPeriod == 0
	sess.heartbeatsSent++
	sess.mu.Unlock()
	s.heartbeats.Fill(hb, sess.agent.Zone, withEntries)
	sess.enqueue(&rpc.EntryMessage{Body: &rpc.EntryMessage_Heartbeat{Heartbeat: hb}})
}

// enqueue queues a message. If the queue is full, it closes the session.
func (sess *session) enqueue(m *rpc.EntryMessage) {
	select {
	case sess.out <- m:
	default:
		sess.cancel()
	}
}

func (s *Server) isCurrent(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[sess.agent.ID] == sess
}

// addSession makes sess the current session of its agent and notifies the
// listeners, unless ctx ends before.
func (s *Server) addSession(ctx context.Context, sess *session, groups []*rpc.GroupReport) error {
	select {
	case s.sessionChange <- struct{}{}:
		defer func() { <-s.sessionChange }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	s.mu.Lock()
	if s.closed || len(s.sessions) >= maxSessions {
		s.mu.Unlock()
		return status.Error(codes.ResourceExhausted, "entry takes no more links")
	}
	old := s.sessions[sess.agent.ID]
	s.sessions[sess.agent.ID] = sess
	s.updateGauge()
	s.mu.Unlock()
	sess.dispatchMu.Lock()
	defer sess.dispatchMu.Unlock()
	if old != nil {
		old.cancel()
		old.dispatchMu.Lock() // a call of the listeners may be in progress
		defer old.dispatchMu.Unlock()
		s.notifyDown(old)
	}
	s.log.Info().Str("agent", sess.agent.ID).Str("zone", sess.agent.Zone).Str("incarnation", sess.agent.Incarnation).Msg("agent up")
	for _, l := range s.listeners {
		l.AgentUp(sess.agent, groups)
	}
	return nil
}

func (s *Server) removeSession(sess *session) {
	s.sessionChange <- struct{}{}
	defer func() { <-s.sessionChange }()
	s.mu.Lock()
	current := s.sessions[sess.agent.ID] == sess
	if current {
		delete(s.sessions, sess.agent.ID)
		s.updateGauge()
	}
	s.mu.Unlock()
	if !current {
		return
	}
	sess.dispatchMu.Lock()
	defer sess.dispatchMu.Unlock()
	s.notifyDown(sess)
}

func (s *Server) notifyDown(sess *session) {
	s.log.Info().Str("agent", sess.agent.ID).Msg("agent down")
	metrics.GetOrRegisterCounter("links.lost", s.registry).Inc(1)
	for _, l := range s.listeners {
		l.AgentDown(sess.agent)
	}
}

// updateGauge sets the gauge of linked agents. It is called with mu held.
func (s *Server) updateGauge() {
	metrics.GetOrRegisterGauge("links.up", s.registry).Update(int64(len(s.sessions)))
}

// Send queues a message for an agent and reports whether the agent is linked.
// build receives the clock value of the agent's latest heartbeat, in ms.
func (s *Server) Send(agent string, build func(stampMS int64) *rpc.EntryMessage) bool {
	s.mu.Lock()
	sess := s.sessions[agent]
	s.mu.Unlock()
	if sess == nil {
		return false
	}
	sess.mu.Lock()
	stamp := sess.agentClockMS
	sess.mu.Unlock()
	sess.enqueue(build(stamp))
	return true
}

// SendHeartbeats sends a heartbeat to all agents without waiting for theirs, so
// that a change reaches them at once.
func (s *Server) SendHeartbeats() {
	for _, sess := range s.sortedSessions() {
		s.sendHeartbeat(sess)
	}
}

// sortedSessions returns the sessions in order of agent id.
func (s *Server) sortedSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		out = append(out, sess)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].agent.ID < out[j].agent.ID })
	return out
}

// AgentStatus is an agent with its latest heartbeat, which is nil before the
// first one.
type AgentStatus struct {
	Agent     Agent
	Heartbeat *rpc.AgentHeartbeat
}

// Agents returns the linked agents in order of id.
func (s *Server) Agents() []AgentStatus {
	var out []AgentStatus
	for _, sess := range s.sortedSessions() {
		sess.mu.Lock()
		out = append(out, AgentStatus{sess.agent, sess.lastHeartbeat})
		sess.mu.Unlock()
	}
	return out
}

// Close closes all links and refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, sess := range s.sortedSessions() {
		sess.cancel()
	}
}

// Start does nothing; the gRPC server calls Open.
func (s *Server) Start(context.Context) error { return nil }

// Stop closes all links.
func (s *Server) Stop(context.Context) error {
	s.Close()
	return nil
}

// DumpState returns the linked agents.
func (s *Server) DumpState() any { return s.Agents() }
