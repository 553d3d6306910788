// Package links serves the entry's side of the links with agents. It keeps
// the newest session of each agent and passes what agents say to listeners.
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
	// silenceLimit is how long a session may stay without a heartbeat before
	// it is closed.
	silenceLimit = 1500 * time.Millisecond
	sessionQueue = 8192 // messages
	maxSessions  = 20000
	// entriesEvery is the number of heartbeats after which the list of entries
	// is sent again; it is also sent with the first one.
	entriesEvery = 10
)

// Agent describes an announced agent.
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

// Listener takes in what agents say. Calls for one agent come one at a time,
// and none comes from a session that has been replaced.
type Listener interface {
	AgentUp(a Agent, groups []*rpc.GroupReport)
	AgentDown(a Agent)
	AgentHeartbeat(a Agent, hb *rpc.AgentHeartbeat)
	RequestResult(a Agent, r *rpc.RequestResult)
	GroupReport(a Agent, g *rpc.GroupReport)
}

// HeartbeatFiller is the part of a heartbeat that is the same for all agents of a zone.
type HeartbeatFiller interface {
	// Fill sets what the entry knows of its configuration, peers and owner.
	Fill(hb *rpc.EntryHeartbeat, zone string, withEntries bool)
}

// session is one open stream with an agent.
type session struct {
	agent  Agent
	out    chan *rpc.EntryMessage
	cancel context.CancelFunc
	serial sync.Mutex // held while listeners are called

	mu      sync.Mutex
	clockMS int64
	beats   int
	last    *rpc.AgentHeartbeat
}

// Server is the Link service.
type Server struct {
	rpc.UnimplementedLinkServer
	beat      HeartbeatFiller
	listeners []Listener
	registry  metrics.Registry
	log       zerolog.Logger

	// changes is held while a session comes or goes and the listeners hear of
	// it, so that they hear of an agent's sessions in their order. It is taken
	// before the locks of sessions.
	changes sync.Mutex

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// New returns a server that answers heartbeats with what beat fills in.
func New(beat HeartbeatFiller, registry metrics.Registry, log zerolog.Logger) *Server {
	return &Server{beat: beat, registry: registry, log: log, sessions: map[string]*session{}}
}

// AddListener adds a listener; it must be called before the server serves.
func (s *Server) AddListener(l Listener) { s.listeners = append(s.listeners, l) }

// Open serves one link until it is lost, silent or replaced.
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
	x := &session{agent: agentOf(hello), out: make(chan *rpc.EntryMessage, sessionQueue), cancel: cancel}
	if err := s.add(x, hello.Groups); err != nil {
		return err
	}
	defer s.remove(x)
	go s.receive(ctx, stream, x)
	go send(ctx, stream, x)
	<-ctx.Done()
	return status.Error(codes.Unavailable, "link closed")
}

func agentOf(h *rpc.Hello) Agent {
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

// send writes queued messages until ctx ends. A write may wait for a peer that
// takes nothing any more; the return of Open ends it.
func send(ctx context.Context, stream rpc.Link_OpenServer, x *session) {
	defer x.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.out:
			if err := stream.Send(m); err != nil {
				return
			}
		}
	}
}

func (s *Server) receive(ctx context.Context, stream rpc.Link_OpenServer, x *session) {
	defer x.cancel()
	watchdog := time.AfterFunc(silenceLimit, x.cancel)
	defer watchdog.Stop()
	for ctx.Err() == nil {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		watchdog.Reset(silenceLimit)
		if !s.dispatch(x, m) {
			return
		}
	}
}

// dispatch passes a message on; false means that the session was replaced.
func (s *Server) dispatch(x *session, m *rpc.AgentMessage) bool {
	x.serial.Lock()
	defer x.serial.Unlock()
	if !s.current(x) {
		return false
	}
	switch body := m.Body.(type) {
	case *rpc.AgentMessage_Heartbeat:
		s.onHeartbeat(x, body.Heartbeat)
	case *rpc.AgentMessage_Result:
		for _, l := range s.listeners {
			l.RequestResult(x.agent, body.Result)
		}
	case *rpc.AgentMessage_Group:
		for _, l := range s.listeners {
			l.GroupReport(x.agent, body.Group)
		}
	}
	return true
}

func (s *Server) onHeartbeat(x *session, hb *rpc.AgentHeartbeat) {
	x.mu.Lock()
	x.clockMS = hb.ClockMs
	x.last = hb
	x.mu.Unlock()
	for _, l := range s.listeners {
		l.AgentHeartbeat(x.agent, hb)
	}
	s.sendBeat(x)
}

func (s *Server) sendBeat(x *session) {
	x.mu.Lock()
	hb := &rpc.EntryHeartbeat{EchoClockMs: x.clockMS}
	withEntries := x.beats%entriesEvery == 0
	x.beats++
	x.mu.Unlock()
	s.beat.Fill(hb, x.agent.Zone, withEntries)
	x.send(&rpc.EntryMessage{Body: &rpc.EntryMessage_Heartbeat{Heartbeat: hb}})
}

// send queues a message; a session whose queue is full is closed.
func (x *session) send(m *rpc.EntryMessage) {
	select {
	case x.out <- m:
	default:
		x.cancel()
	}
}

func (s *Server) current(x *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[x.agent.ID] == x
}

func (s *Server) add(x *session, groups []*rpc.GroupReport) error {
	s.changes.Lock()
	defer s.changes.Unlock()
	s.mu.Lock()
	if s.closed || len(s.sessions) >= maxSessions {
		s.mu.Unlock()
		return status.Error(codes.ResourceExhausted, "entry takes no more links")
	}
	old := s.sessions[x.agent.ID]
	s.sessions[x.agent.ID] = x
	s.gauge()
	s.mu.Unlock()
	x.serial.Lock()
	defer x.serial.Unlock()
	if old != nil {
		old.cancel()
		old.serial.Lock() // a call of the listeners may be in progress
		defer old.serial.Unlock()
		s.notifyDown(old)
	}
	s.log.Info().Str("agent", x.agent.ID).Str("zone", x.agent.Zone).Str("incarnation", x.agent.Incarnation).Msg("agent up")
	for _, l := range s.listeners {
		l.AgentUp(x.agent, groups)
	}
	return nil
}

func (s *Server) remove(x *session) {
	s.changes.Lock()
	defer s.changes.Unlock()
	s.mu.Lock()
	current := s.sessions[x.agent.ID] == x
	if current {
		delete(s.sessions, x.agent.ID)
		s.gauge()
	}
	s.mu.Unlock()
	if !current {
		return
	}
	x.serial.Lock()
	defer x.serial.Unlock()
	s.notifyDown(x)
}

func (s *Server) notifyDown(x *session) {
	s.log.Info().Str("agent", x.agent.ID).Msg("agent down")
	metrics.GetOrRegisterCounter("links.lost", s.registry).Inc(1)
	for _, l := range s.listeners {
		l.AgentDown(x.agent)
	}
}

// gauge is called with mu held.
func (s *Server) gauge() {
	metrics.GetOrRegisterGauge("links.up", s.registry).Update(int64(len(s.sessions)))
}

// Send queues a message for an agent and reports whether it is linked. The
// message is built with the agent's newest clock stamp.
func (s *Server) Send(agent string, build func(stampMS int64) *rpc.EntryMessage) bool {
	s.mu.Lock()
	x := s.sessions[agent]
	s.mu.Unlock()
	if x == nil {
		return false
	}
	x.mu.Lock()
	stamp := x.clockMS
	x.mu.Unlock()
	x.send(build(stamp))
	return true
}

// SendHeartbeats sends a heartbeat to all agents at once, after a change.
func (s *Server) SendHeartbeats() {
	for _, x := range s.list() {
		s.sendBeat(x)
	}
}

func (s *Server) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*session, 0, len(s.sessions))
	for _, x := range s.sessions {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].agent.ID < out[j].agent.ID })
	return out
}

// AgentStatus is an agent with its last heartbeat, which may be nil.
type AgentStatus struct {
	Agent     Agent
	Heartbeat *rpc.AgentHeartbeat
}

// Agents returns the linked agents in order of id.
func (s *Server) Agents() []AgentStatus {
	var out []AgentStatus
	for _, x := range s.list() {
		x.mu.Lock()
		out = append(out, AgentStatus{x.agent, x.last})
		x.mu.Unlock()
	}
	return out
}

// Close ends all links and refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, x := range s.list() {
		x.cancel()
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
