package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/exec"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// localQueuePerSlot bounds the executions that wait at the agent for a slot.
	localQueuePerSlot = 1
	resultKeep        = 10 * time.Minute
	maxResults        = 20000
	// pauseLimit is the longest time between the decision to call the endpoint
	// and the call itself; beyond it the process was paused in between and the
	// permission may have lapsed.
	pauseLimit = 200 * time.Millisecond
)

// execution holds the bodies of one attempt: the request's until its call has
// ended, then the answer's until the core forgets it.
type execution struct {
	request external.MinionRequest
	reply   *external.MinionReply
}

// requestHost runs the exec core beside a minion.
type requestHost struct {
	agent  *Agent
	minion external.Minion

	mu      sync.Mutex
	core    *exec.Core
	bodies  map[exec.Ref]*execution
	running sync.WaitGroup
}

func newRequestHost(a *Agent, minion external.Minion) *requestHost {
	return &requestHost{
		agent:  a,
		minion: minion,
		core: exec.New(exec.Config{
			Incarnation: a.incarnation,
			Slots:       a.cfg.Slots,
			MaxQueued:   a.cfg.Slots * localQueuePerSlot,
			ResultTTL:   resultKeep,
			MaxRecords:  maxResults,
		}),
		bodies: map[exec.Ref]*execution{},
	}
}

func (h *requestHost) step(events ...exec.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(events...)
}

func (h *requestHost) stepLocked(events ...exec.Event) {
	for _, ev := range events {
		for _, act := range h.core.Step(h.agent.clock(), ev) {
			h.apply(act)
		}
	}
}

func (h *requestHost) apply(act exec.Action) {
	switch act := act.(type) {
	case exec.CallEndpoint:
		metrics.GetOrRegisterCounter("requests.calls", h.agent.registry).Inc(1)
		decided := h.agent.clock()
		x := h.bodies[act.Ref]
		h.running.Add(1)
		go h.call(act, x, decided)
	case exec.SendResult:
		h.send(act)
	case exec.DropBodies:
		delete(h.bodies, act.Ref)
	}
}

func (h *requestHost) call(act exec.CallEndpoint, x *execution, decided time.Duration) {
	defer h.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), act.Timeout)
	defer cancel()
	startBy := h.agent.started.Add(decided + pauseLimit)
	reply, err := h.minion.Call(external.WithStartBy(ctx, startBy), x.request)
	outcome, detail := callOutcome(reply, err)
	size := h.called(act.Ref, x, reply, err)
	h.step(exec.CallEnded{Ref: act.Ref, Outcome: outcome, Detail: detail, Size: size})
}

// called keeps the answer of a call in place of the request, unless no message
// can carry it, and returns its size.
func (h *requestHost) called(ref exec.Ref, x *execution, reply external.MinionReply, err error) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.request = external.MinionRequest{}
	switch {
	case err != nil:
		delete(h.bodies, ref)
		return 0
	case len(reply.Body) > rpc.MaxBodyBytes:
		return 0
	}
	x.reply = &reply
	return int64(len(reply.Body))
}

func callOutcome(reply external.MinionReply, err error) (api.Outcome, string) {
	switch {
	case errors.Is(err, external.ErrNotSent):
		return api.OutcomeNotRun, err.Error()
	case err != nil:
		return api.OutcomeUnknown, err.Error()
	case len(reply.Body) > rpc.MaxBodyBytes:
		return api.OutcomeFailed, fmt.Sprintf("answer of %d bytes (at most %d)", len(reply.Body), rpc.MaxBodyBytes)
	case reply.Status >= 500:
		return api.OutcomeFailed, ""
	}
	return api.OutcomeDone, ""
}

func (h *requestHost) send(act exec.SendResult) {
	metrics.GetOrRegisterCounter("requests.results."+string(act.Outcome), h.agent.registry).Inc(1)
	m := &rpc.RequestResult{
		RequestId: act.Ref.ID,
		Attempt:   act.Ref.Attempt,
		Outcome:   rpc.FromOutcome(act.Outcome),
		Detail:    act.Detail,
	}
	if x := h.bodies[act.Ref]; act.WithReply && x != nil && x.reply != nil {
		m.Status = int32(x.reply.Status)
		m.ContentType = x.reply.ContentType
		m.Body = x.reply.Body
		m.Length = int64(len(m.Body))
		m.Digest = rpc.Digest(m.Body)
	}
	h.agent.links.send(act.Entry, &rpc.AgentMessage{Body: &rpc.AgentMessage_Result{Result: m}})
	if act.Outcome == api.OutcomeNotRun {
		delete(h.bodies, act.Ref) // the attempt never runs
	}
}

func (h *requestHost) handle(entry string, m *rpc.EntryMessage) {
	switch body := m.Body.(type) {
	case *rpc.EntryMessage_Execute:
		h.execute(entry, body.Execute)
	case *rpc.EntryMessage_Void:
		v := body.Void
		h.step(exec.Void{Entry: entry, Ref: exec.Ref{ID: v.RequestId, Attempt: v.Attempt}, Incarnation: v.Incarnation, Stamp: ms(v.StampMs)})
	case *rpc.EntryMessage_Ack:
		for _, r := range body.Ack.Requests {
			h.step(exec.Ack{Entry: entry, Ref: exec.Ref{ID: r.RequestId, Attempt: r.Attempt}})
		}
	}
}

func (h *requestHost) execute(entry string, x *rpc.Execute) {
	ref := exec.Ref{ID: x.RequestId, Attempt: x.Attempt}
	allowed := h.agent.allowed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.core.HasRecord(ref) {
		h.bodies[ref] = &execution{request: external.MinionRequest{
			RequestID:   x.RequestId,
			Attempt:     x.Attempt,
			ContentType: x.ContentType,
			Body:        x.Body,
		}}
	}
	h.stepLocked(exec.Permission{Allowed: allowed}, exec.Execute{
		Entry:       entry,
		Ref:         ref,
		Incarnation: x.Incarnation,
		Stamp:       time.Duration(x.StampMs) * time.Millisecond,
		Permit:      time.Duration(x.PermitMs) * time.Millisecond,
		Timeout:     time.Duration(x.TimeoutMs) * time.Millisecond,
		Idempotent:  x.Idempotent,
		Corrupt:     !rpc.Intact(x.Body, x.Length, x.Digest),
	})
	if !h.core.HasRecord(ref) {
		delete(h.bodies, ref)
	}
}

func (h *requestHost) tick(allowed bool) {
	h.step(exec.Permission{Allowed: allowed}, exec.Tick{})
}

func (h *requestHost) linkUp(entry string)             { h.step(exec.LinkUp{Entry: entry}) }
func (h *requestHost) linkDown(entry string)           { h.step(exec.LinkDown{Entry: entry}) }
func (h *requestHost) caretaker(time.Duration)         {}
func (h *requestHost) ownerSeen(uint64)                {}
func (h *requestHost) reports() []*rpc.GroupReport     { return nil }
func (h *requestHost) linkable() bool                  { return true }
func (h *requestHost) leave()                          { h.step(exec.Leave{}) }
func (h *requestHost) probe(ctx context.Context) error { return h.minion.Healthy(ctx) }

// settled reports whether all requests have finished and their results are acknowledged.
func (h *requestHost) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Idle()
}

func (h *requestHost) slotsInUse() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.InFlight()
}

func (h *requestHost) dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Dump()
}
