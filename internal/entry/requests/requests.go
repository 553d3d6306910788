// Package requests runs the route core in an entry: it keeps the bodies, the
// waiting callers and the claims, and sends what the core decides.
package requests

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const idlePollInterval = 20 * time.Millisecond

// ErrTooManyRequests says that the entry holds as many requests as it may.
const ErrTooManyRequests = errors.ConstError("entry holds too many requests")

// Members lists the live entries, this one included.
type Members interface {
	Entries() []*rpc.EntryAddress
}

// Config bounds the service.
type Config struct {
	EntryID     string
	MaxRequests int // in progress at once
	MaxQueue    int // waiting for a slot in one profile that sets no bound itself
}

// Call is one caller's request.
type Call struct {
	Service     string
	Profile     api.Profile
	Key         string
	Idempotent  bool
	Timeout     time.Duration
	ContentType string
	Body        []byte
}

// Reply is the one final answer to a call. Status is the minion's, and Body
// its complete answer, when there is one.
type Reply struct {
	Outcome     api.Outcome
	Reason      route.Reason
	Detail      string
	RetryAfter  time.Duration
	HasBody     bool
	Status      int
	ContentType string
	Body        []byte
}

// PermitSource tells whether work may start and in which zones.
type PermitSource interface {
	Permit() bool
	Current() *api.Config
}

type waiter struct {
	call   Call
	stored *claimRow // the recorded answer of an earlier execution of the key
	reply  chan Reply
}

// Service is the request side of an entry.
type Service struct {
	cfg      Config
	links    *links.Server
	permits  PermitSource
	members  Members
	claims   *claims
	registry metrics.Registry
	log      zerolog.Logger
	started  time.Time
	prefix   string

	mu      sync.Mutex
	core    *route.Core
	waiters map[string]*waiter
	serial  uint64
	result  *rpc.RequestResult // of the event in progress

	loops kernel.Loops
}

// New returns the service; it listens to srv from now on.
func New(cfg Config, srv *links.Server, permits PermitSource, members Members, l ledger.Ledger, objects external.Objects, registry metrics.Registry, log zerolog.Logger) *Service {
	s := &Service{
		cfg:      cfg,
		links:    srv,
		permits:  permits,
		members:  members,
		registry: registry,
		log:      log,
		started:  time.Now(),
		prefix:   cfg.EntryID + "." + uuid.NewString()[:8],
		core:     route.New(route.Config{MaxOpen: cfg.MaxRequests, MaxQueue: cfg.MaxQueue}),
		waiters:  map[string]*waiter{},
	}
	s.claims = newClaims(s, l, objects)
	srv.Listen(s)
	return s
}

func (s *Service) now() time.Duration { return time.Since(s.started) }

// Start begins the core's ticks.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(route.TickInterval, func(context.Context) { s.tick() })
	return nil
}

// Stop refuses new requests and waits until those in progress are answered.
func (s *Service) Stop(ctx context.Context) error {
	s.step(route.Drain{})
	idle := kernel.Until(ctx, idlePollInterval, func() bool { return s.waiting() == 0 })
	s.loops.End()
	s.claims.wait(ctx)
	if !idle {
		return errors.Timeoutf("%d requests in progress: stop", s.waiting())
	}
	return nil
}

func (s *Service) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

func (s *Service) tick() {
	s.step(s.permit(), route.Peers{Entries: len(s.members.Entries())}, route.Tick{})
}

func (s *Service) permit() route.Permit {
	p := route.Permit{Fresh: s.permits.Permit(), ZonesOut: map[string]bool{}}
	for name, z := range s.permits.Current().Zones {
		if z.State == api.ZoneOut {
			p.ZonesOut[name] = true
		}
	}
	return p
}

// Submit carries out a call and returns its final answer.
func (s *Service) Submit(call Call) (Reply, error) {
	deadline := s.now() + call.Timeout
	if call.Key == "" || call.Idempotent {
		return s.submit(call, deadline)
	}
	known := s.claims.standing(call)
	if known.reply != nil {
		return *known.reply, nil
	}
	reply, err := s.submit(call, deadline)
	if known.mayHaveRun && (err != nil || refused(reply)) {
		reply = refusedAgain(reply, err)
		err = nil
	}
	return reply, err
}

// refused reports whether a call with a key was refused without regard to what
// became of the key's request: neither by that request's result nor because
// the key belongs to a request with another body.
func refused(reply Reply) bool {
	return reply.Outcome == api.OutcomeNotRun && reply.Reason != route.ReasonResult && reply.Reason != ReasonKeyReused
}

// refusedAgain is the answer to a refused call whose key an earlier call has used.
func refusedAgain(reply Reply, err error) Reply {
	if err != nil {
		reply = Reply{RetryAfter: keyRetryAfter, Detail: err.Error()}
	}
	reply.Outcome = api.OutcomeUnknown
	reply.Detail = "this call has not run, an earlier one with the same key may have; repeat it with the same key: " + reply.Detail
	return reply
}

func (s *Service) submit(call Call, deadline time.Duration) (Reply, error) {
	w := &waiter{call: call, reply: make(chan Reply, 1)}
	s.mu.Lock()
	if len(s.waiters) >= s.cfg.MaxRequests {
		s.mu.Unlock()
		return Reply{}, errors.Trace(ErrTooManyRequests)
	}
	s.serial++
	id := fmt.Sprintf("%s-%d", s.prefix, s.serial)
	s.waiters[id] = w
	s.stepLocked(route.Submit{Request: route.Request{
		ID:         id,
		Service:    call.Service,
		Profile:    call.Profile.Name,
		Account:    call.Profile.ClientAccount,
		Weight:     max(call.Profile.Weight, 1),
		MaxQueue:   call.Profile.MaxQueue,
		Key:        call.Key,
		Idempotent: call.Idempotent,
		Deadline:   deadline,
	}})
	s.mu.Unlock()
	return <-w.reply, nil
}

func (s *Service) step(events ...route.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(events...)
}

func (s *Service) stepLocked(events ...route.Event) {
	for _, ev := range events {
		for _, act := range s.core.Step(s.now(), ev) {
			s.apply(act)
		}
	}
}

func (s *Service) apply(act route.Action) {
	switch act := act.(type) {
	case route.Execute:
		s.execute(act)
	case route.Void:
		s.send(act.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Void{Void: &rpc.Void{
			RequestId: act.ID, Attempt: act.Attempt, Incarnation: act.Incarnation, StampMs: act.StampMS,
		}}})
	case route.Ack:
		s.claims.ack(act)
	case route.Claim:
		s.claims.claim(act)
	case route.Record:
		s.claims.record(act, s.result)
	case route.Answer:
		s.answer(act)
	}
}

func (s *Service) send(agent string, m *rpc.EntryMessage) {
	s.links.Send(agent, func(int64) *rpc.EntryMessage { return m })
}

func (s *Service) execute(act route.Execute) {
	w := s.waiters[act.ID]
	if w == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests.executes", s.registry).Inc(1)
	s.send(act.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Execute{Execute: &rpc.Execute{
		RequestId:   act.ID,
		Attempt:     act.Attempt,
		Incarnation: act.Incarnation,
		StampMs:     act.StampMS,
		PermitMs:    act.PermitTTL.Milliseconds(),
		TimeoutMs:   act.Timeout.Milliseconds(),
		Idempotent:  act.Idempotent,
		ContentType: w.call.ContentType,
		Body:        w.call.Body,
		Digest:      rpc.Digest(w.call.Body),
		Length:      int64(len(w.call.Body)),
	}}})
}

func (s *Service) answer(act route.Answer) {
	w := s.waiters[act.ID]
	if w == nil {
		return
	}
	delete(s.waiters, act.ID)
	metrics.GetOrRegisterCounter("requests.answers."+string(act.Outcome), s.registry).Inc(1)
	if act.Reason != route.ReasonResult && act.Reason != "" {
		metrics.GetOrRegisterCounter("requests.reasons."+string(act.Reason), s.registry).Inc(1)
	}
	reply := Reply{Outcome: act.Outcome, Reason: act.Reason, Detail: act.Detail, RetryAfter: act.RetryAfter}
	switch {
	case act.FromResult && s.result != nil:
		reply.HasBody = true
		reply.Status = int(s.result.Status)
		reply.ContentType = s.result.ContentType
		reply.Body = s.result.Body
	case w.stored != nil && w.stored.Status != 0:
		reply.HasBody = true
		reply.Status = w.stored.Status
		reply.ContentType = w.stored.ContentType
		reply.Body = w.stored.Body
	}
	w.reply <- reply
}

// AgentUp takes in a linked minion agent.
func (s *Service) AgentUp(a links.Agent, _ []*rpc.GroupReport) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_MINION {
		return
	}
	s.step(route.AgentUp{Agent: a.ID, Incarnation: a.Incarnation, Service: a.Service, Zone: a.Zone, Slots: a.Slots})
}

// AgentDown takes in the loss of a link.
func (s *Service) AgentDown(a links.Agent) {
	if a.Kind == rpc.EndpointKind_ENDPOINT_KIND_MINION {
		s.step(route.AgentDown{Agent: a.ID})
	}
}

// AgentHeartbeat takes in a minion agent's load and clock.
func (s *Service) AgentHeartbeat(a links.Agent, hb *rpc.AgentHeartbeat) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_MINION {
		return
	}
	s.step(route.AgentStatus{
		Agent:   a.ID,
		ClockMS: hb.ClockMs,
		InUse:   int(hb.SlotsInUse),
		Leaving: hb.Leaving,
		Healthy: hb.EndpointHealthy,
	})
}

// RequestResult takes in an agent's result. One whose body is not intact is
// dropped; the agent sends it again on its next link.
func (s *Service) RequestResult(a links.Agent, r *rpc.RequestResult) {
	if !rpc.Intact(r.Body, r.Length, r.Digest) && r.Status != 0 {
		metrics.GetOrRegisterCounter("requests.results.corrupt", s.registry).Inc(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = r
	s.stepLocked(route.Result{
		Agent:   a.ID,
		ID:      r.RequestId,
		Attempt: r.Attempt,
		Outcome: rpc.ToOutcome(r.Outcome),
		Detail:  r.Detail,
	})
	s.result = nil
}

// GroupReport is not for requests.
func (s *Service) GroupReport(links.Agent, *rpc.GroupReport) {}

// DumpState returns the core's state.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Dump()
}
