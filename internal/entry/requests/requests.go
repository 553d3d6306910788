// Package requests runs the route core in an entry: it holds the bodies, the
// waiting callers and the claims, and carries out the core's actions.
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

// ErrTooManyRequests says that Config.MaxRequests requests are in progress.
const ErrTooManyRequests = errors.ConstError("entry holds too many requests")

// Members lists the live entries, this one included.
type Members interface {
	Entries() []*rpc.EntryAddress
}

// Config holds the settings of the Service.
type Config struct {
	EntryID     string
	MaxRequests int // in progress at once
	MaxQueue    int // queued in one profile that sets no bound of its own
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

// Reply is the final answer to a call. If HasBody is set, Status, ContentType and
// Body are those of the minion's complete answer.
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

// PermitSource tells whether work may start, and in which zones.
type PermitSource interface {
	Permit() bool
	Current() *api.Config
}

// waiter is a caller that waits for its reply.
type waiter struct {
	call        Call
	recordedRow *claimRow // answer of an earlier execution with the key, or nil
	reply       chan Reply
}

// Service handles the requests of an entry.
type Service struct {
	cfg      Config
	links    *links.Server
	permits  PermitSource
	members  Members
	claims   *claims
	registry metrics.Registry
	log      zerolog.Logger
	started  time.Time
	idPrefix string

	mu            sync.Mutex
	core          *route.Core
	waiters       map[string]*waiter
	lastSerial    uint64
	currentResult *rpc.RequestResult // of the route.Result being handled, or nil

	loops kernel.Loops
}

// New returns the service and registers it as a listener of srv.
func New(cfg Config, srv *links.Server, permits PermitSource, members Members, l ledger.Ledger, objects external.Objects, registry metrics.Registry, log zerolog.Logger) *Service {
	s := &Service{
		cfg:      cfg,
		links:    srv,
		permits:  permits,
		members:  members,
		registry: registry,
		log:      log,
		started:  time.Now(),
		idPrefix: cfg.EntryID + "." + uuid.NewString()[:8],
		core:     route.New(route.Config{MaxOpen: cfg.MaxRequests, MaxQueue: cfg.MaxQueue}),
		waiters:  map[string]*waiter{},
	}
	s.claims = newClaims(s, l, objects)
	srv.AddListener(s)
	return s
}

func (s *Service) now() time.Duration { return time.Since(s.started) }

// Start starts the ticks of the core.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(route.TickInterval, func(context.Context) { s.tick() })
	return nil
}

// Stop refuses new requests and waits until those in progress are answered or ctx
// has ended.
func (s *Service) Stop(ctx context.Context) error {
	s.step(route.Drain{})
	idle := kernel.PollUntil(ctx, idlePollInterval, func() bool { return s.waitingCalls() == 0 })
	s.loops.End()
	s.claims.waitIdle(ctx)
	if !idle {
		return errors.Timeoutf("%d requests in progress: stop", s.waitingCalls())
	}
	return nil
}

func (s *Service) waitingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

func (s *Service) tick() {
	s.step(s.currentPermit(), route.Peers{Entries: len(s.members.Entries())}, route.Tick{})
}

func (s *Service) currentPermit() route.Permit {
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
	status := s.claims.lookUpKey(call)
	if status.reply != nil {
		return *status.reply, nil
	}
	reply, err := s.submit(call, deadline)
	if status.mayHaveRun && (err != nil || isRefusal(reply)) {
		reply = unknownForUsedKey(reply, err)
		err = nil
	}
	return reply, err
}

// isRefusal reports whether the reply to a call with a key says nothing about
// earlier calls with the key: it is OutcomeNotRun, but neither the result of the
// key's execution nor a refusal because of another body.
func isRefusal(reply Reply) bool {
	return reply.Outcome == api.OutcomeNotRun && reply.Reason != route.ReasonResult && reply.Reason != ReasonKeyReused
}

// unknownForUsedKey returns the reply to a refused call whose key was used by an
// earlier call that may have run.
func unknownForUsedKey(reply Reply, err error) Reply {
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
	s.lastSerial++
	id := fmt.Sprintf("%s-%d", s.idPrefix, s.lastSerial)
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

// stepLocked passes the events to the core and applies its actions. Service.mu is
// held.
func (s *Service) stepLocked(events ...route.Event) {
	for _, ev := range events {
		for _, action := range s.core.Step(s.now(), ev) {
			s.apply(action)
		}
	}
}

func (s *Service) apply(action route.Action) {
	switch action := action.(type) {
	case route.Execute:
		s.sendExecute(action)
	case route.Void:
		s.send(action.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Void{Void: &rpc.Void{
			RequestId: action.ID, Attempt: action.Attempt, Incarnation: action.Incarnation, StampMs: action.StampMS,
		}}})
	case route.Ack:
		s.claims.ackOrDefer(action)
	case route.Claim:
		s.claims.startClaim(action)
	case route.Record:
		s.claims.startRecord(action, s.currentResult)
	case route.Answer:
		s.deliverAnswer(action)
	}
}

func (s *Service) send(agent string, m *rpc.EntryMessage) {
	s.links.Send(agent, func(int64) *rpc.EntryMessage { return m })
}

func (s *Service) sendExecute(action route.Execute) {
	w := s.waiters[action.ID]
	if w == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests.executes", s.registry).Inc(1)
	s.send(action.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Execute{Execute: &rpc.Execute{
		RequestId:   action.ID,
		Attempt:     action.Attempt,
		Incarnation: action.Incarnation,
		StampMs:     action.StampMS,
		PermitMs:    action.PermitTTL.Milliseconds(),
		TimeoutMs:   action.Timeout.Milliseconds(),
		Idempotent:  action.Idempotent,
		ContentType: w.call.ContentType,
		Body:        w.call.Body,
		Digest:      rpc.Digest(w.call.Body),
		Length:      int64(len(w.call.Body)),
	}}})
}

func (s *Service) deliverAnswer(action route.Answer) {
	w := s.waiters[action.ID]
	if w == nil {
		return
	}
	delete(s.waiters, action.ID)
	metrics.GetOrRegisterCounter("requests.answers."+string(action.Outcome), s.registry).Inc(1)
	if action.Reason != route.ReasonResult && action.Reason != "" {
		metrics.GetOrRegisterCounter("requests.reasons."+string(action.Reason), s.registry).Inc(1)
	}
	reply := Reply{Outcome: action.Outcome, Reason: action.Reason, Detail: action.Detail, RetryAfter: action.RetryAfter}
	switch {
	case action.FromResult && s.currentResult != nil:
		reply.HasBody = true
		reply.Status = int(s.currentResult.Status)
		reply.ContentType = s.currentResult.ContentType
		reply.Body = s.currentResult.Body
	case w.recordedRow != nil && w.recordedRow.Status != 0:
		reply.HasBody = true
		reply.Status = w.recordedRow.Status
		reply.ContentType = w.recordedRow.ContentType
		reply.Body = w.recordedRow.Body
	}
	w.reply <- reply
}

// AgentUp handles a new link with a minion agent.
func (s *Service) AgentUp(a links.Agent, _ []*rpc.GroupReport) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_MINION {
		return
	}
	s.step(route.AgentUp{Agent: a.ID, Incarnation: a.Incarnation, Service: a.Service, Zone: a.Zone, Slots: a.Slots})
}

// AgentDown handles the loss of the link with a minion agent.
func (s *Service) AgentDown(a links.Agent) {
	if a.Kind == rpc.EndpointKind_ENDPOINT_KIND_MINION {
		s.step(route.AgentDown{Agent: a.ID})
	}
}

// AgentHeartbeat handles a minion agent's heartbeat.
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

// RequestResult handles an agent's result. A result with a corrupt body is
// dropped; the agent sends it again on its next link.
func (s *Service) RequestResult(a links.Agent, r *rpc.RequestResult) {
	if !rpc.BodyIntact(r.Body, r.Length, r.Digest) && r.Status != 0 {
		metrics.GetOrRegisterCounter("requests.results.corrupt", s.registry).Inc(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentResult = r
	s.stepLocked(route.Result{
		Agent:   a.ID,
		ID:      r.RequestId,
		Attempt: r.Attempt,
		Outcome: rpc.ToOutcome(r.Outcome),
		Detail:  r.Detail,
	})
	s.currentResult = nil
}

// GroupReport ignores the report, which does not concern requests.
func (s *Service) GroupReport(links.Agent, *rpc.GroupReport) {}

// DumpState returns the core's state.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Dump()
}
