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
	// localQueuePerSlot is the number of executions per slot that may wait at
	// the agent for a free slot.
	localQueuePerSlot = 1
	resultTTL         = 10 * time.Minute
	maxRecords        = 20000
	// pauseLimit is the maximum time between the decision to call the endpoint
	// and the call. A longer time means that the process was paused in between,
	// and the permission to start may have expired.
	pauseLimit = 200 * time.Millisecond
)

// attemptBodies holds the request of one attempt until its call has ended, then
// the reply until the core drops it.
type attemptBodies struct {
	request external.MinionRequest
	reply   *external.MinionReply
}

// requestHost runs the exec core for a minion and carries out its actions.
type requestHost struct {
	agent  *Agent
	minion external.Minion

	mu     sync.Mutex
	core   *exec.Core
	bodies map[exec.Ref]*attemptBodies
	calls  sync.WaitGroup
}

func newRequestHost(a *Agent, minion external.Minion) *requestHost {
	return &requestHost{
		agent:  a,
		minion: minion,
		core: exec.New(exec.Config{
			Incarnation: a.incarnation,
			Slots:       a.cfg.Slots,
			MaxQueued:   a.cfg.Slots * localQueuePerSlot,
			ResultTTL:   resultTTL,
			MaxRecords:  maxRecords,
		}),
		bodies: map[exec.Ref]*attemptBodies{},
	}
}

func (h *requestHost) step(events ...exec.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(events...)
}

func (h *requestHost) stepLocked(events ...exec.Event) {
	for _, ev := range events {
		for _, act := range h.core.Step(h.agent.now(), ev) {
			h.apply(act)
		}
	}
}

func (h *requestHost) apply(act exec.Action) {
	switch act := act.(type) {
	case exec.CallEndpoint:
		metrics.GetOrRegisterCounter("requests.calls", h.agent.registry).Inc(1)
		decidedAt := h.agent.now()
		kept := h.bodies[act.Ref]
		h.calls.Add(1)
		go h.call(act, kept, decidedAt)
	case exec.SendResult:
		h.sendResult(act)
	case exec.DropBodies:
		delete(h.bodies, act.Ref)
	}
}

func (h *requestHost) call(act exec.CallEndpoint, kept *attemptBodies, decidedAt time.Duration) {
	defer h.calls.Done()
	ctx, cancel := context.WithTimeout(context.Background(), act.Timeout)
	defer cancel()
	startBy := h.agent.started.Add(decidedAt + pauseLimit)
	reply, err := h.minion.Call(external.WithStartBy(ctx, startBy), kept.request)
	outcome, detail := callOutcome(reply, err)
	size := h.storeReply(act.Ref, kept, reply, err)
	h.step(exec.CallEnded{Ref: act.Ref, Outcome: outcome, Detail: detail, Size: size})
}

// storeReply replaces the request of an attempt by the reply and returns the size
// of the stored body. Nothing is stored after an error or if the body is too
// large for a message.
func (h *requestHost) storeReply(ref exec.Ref, kept *attemptBodies, reply external.MinionReply, err error) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept.request = external.MinionRequest{}
	switch {
	case err != nil:
		delete(h.bodies, ref)
		return 0
	case len(reply.Body) > rpc.MaxBodyBytes:
		return 0
	}
	kept.reply = &reply
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

func (h *requestHost) sendResult(act exec.SendResult) {
	metrics.GetOrRegisterCounter("requests.results."+string(act.Outcome), h.agent.registry).Inc(1)
	m := &rpc.RequestResult{
		RequestId: act.Ref.ID,
		Attempt:   act.Ref.Attempt,
		Outcome:   rpc.FromOutcome(act.Outcome),
		Detail:    act.Detail,
	}
	if kept := h.bodies[act.Ref]; act.WithReply && kept != nil && kept.reply != nil {
		m.Status = int32(kept.reply.Status)
		m.ContentType = kept.reply.ContentType
		m.Body = kept.reply.Body
		m.Length = int64(len(m.Body))
		m.Digest = rpc.Digest(m.Body)
	}
	h.agent.links.send(act.Entry, &rpc.AgentMessage{Body: &rpc.AgentMessage_Result{Result: m}})
	if act.Outcome == api.OutcomeNotRun {
		delete(h.bodies, act.Ref) // the attempt never runs
	}
}

func (h *requestHost) handleMessage(entry string, m *rpc.EntryMessage) {
	switch body := m.Body.(type) {
	case *rpc.EntryMessage_Execute:
		h.execute(entry, body.Execute)
	case *rpc.EntryMessage_Void:
		void := body.Void
		h.step(exec.Void{Entry: entry, Ref: exec.Ref{ID: void.RequestId, Attempt: void.Attempt}, Incarnation: void.Incarnation, Stamp: millis(void.StampMs)})
	case *rpc.EntryMessage_Ack:
		for _, r := range body.Ack.Requests {
			h.step(exec.Ack{Entry: entry, Ref: exec.Ref{ID: r.RequestId, Attempt: r.Attempt}})
		}
	}
}

func (h *requestHost) execute(entry string, msg *rpc.Execute) {
	ref := exec.Ref{ID: msg.RequestId, Attempt: msg.Attempt}
	allowed := h.agent.mayStart()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.core.HasRecord(ref) {
		h.bodies[ref] = &attemptBodies{request: external.MinionRequest{
			RequestID:   msg.RequestId,
			Attempt:     msg.Attempt,
			ContentType: msg.ContentType,
			Body:        msg.Body,
		}}
	}
	h.stepLocked(exec.Permission{Allowed: allowed}, exec.Execute{
		Entry:       entry,
		Ref:         ref,
		Incarnation: msg.Incarnation,
		Stamp:       time.Duration(msg.StampMs) * time.Millisecond,
		Permit:      time.Duration(msg.PermitMs) * time.Millisecond,
		Timeout:     time.Duration(msg.TimeoutMs) * time.Millisecond,
		Idempotent:  msg.Idempotent,
		Corrupt:     !rpc.BodyIntact(msg.Body, msg.Length, msg.Digest),
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
func (h *requestHost) storeDown(time.Duration)         {}
func (h *requestHost) observeEpoch(uint64)             {}
func (h *requestHost) reports() []*rpc.GroupReport     { return nil }
func (h *requestHost) readyToLink() bool               { return true }
func (h *requestHost) leave()                          { h.step(exec.Leave{}) }
func (h *requestHost) probe(ctx context.Context) error { return h.minion.Healthy(ctx) }

// readyToStop reports whether all requests have finished and their results are
// acknowledged.
func (h *requestHost) readyToStop() bool {
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
