package route

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// attemptRef identifies one attempt of one request.
type attemptRef struct {
	id      string
	attempt uint32
}

type attemptState string

const (
	// attemptClaiming: not sent; the claim of the key is in progress.
	attemptClaiming attemptState = "claiming"
	// attemptSent: sent to the agent; no result yet.
	attemptSent attemptState = "sent"
	// attemptLost: the agent is silent; a result may still arrive.
	attemptLost attemptState = "lost"
	// attemptUnknown: the agent cannot tell whether the attempt has run.
	attemptUnknown attemptState = "unknown"
	// attemptNotRun: the attempt has not run and never will.
	attemptNotRun attemptState = "not-run"
	// attemptEnded: the attempt has run and its result has arrived.
	attemptEnded attemptState = "ended"
)

// mayHaveRun reports whether an attempt in this state may have run or may still
// run, with no result known.
func (s attemptState) mayHaveRun() bool {
	return s == attemptSent || s == attemptLost || s == attemptUnknown
}

// attempt is one attempt to run a request at an agent.
type attempt struct {
	ref           attemptRef
	seq           uint64
	req           *request // nil once the request is answered
	key           string
	agent         *agent
	incarnation   string
	stampMS       int64
	state         attemptState
	idempotent    bool
	sentAt        time.Duration
	expiresAt     time.Duration
	nextProbe     time.Duration // time of the next probe
	probeInterval time.Duration
	timer         *timer
}

func (at *attempt) claimHolder() ClaimHolder {
	return ClaimHolder{
		Agent:       at.agent.name,
		Incarnation: at.incarnation,
		RequestID:   at.ref.id,
		Attempt:     at.ref.attempt,
		StampMS:     at.stampMS,
	}
}

// reachable reports whether the agent is linked under the attempt's incarnation.
func (at *attempt) reachable() bool {
	return at.agent.linked && at.agent.incarnation == at.incarnation
}

// startAttempt creates an attempt at an agent and sends its claim, if the
// request needs one, or else its Execute.
func (c *Core) startAttempt(r *request, a *agent) {
	at := &attempt{
		ref:         attemptRef{r.ID, uint32(len(r.attempts) + 1)},
		seq:         c.nextSeq(),
		req:         r,
		key:         r.Key,
		agent:       a,
		incarnation: a.incarnation,
		stampMS:     a.clockMS,
		idempotent:  r.Idempotent,
		expiresAt:   r.Deadline + attemptGrace,
	}
	at.timer = newTimer(func() { c.checkAttempt(at) })
	r.attempts = append(r.attempts, at)
	c.attempts[at.ref] = at
	c.occupySlot(at)
	if r.needsClaim() {
		c.beginClaim(r, at)
		return
	}
	c.sendExecute(r, at)
}

// occupySlot counts the attempt against the slots of its agent.
func (c *Core) occupySlot(at *attempt) {
	at.agent.open[at.ref] = at
	at.agent.slotsHeld++
	at.agent.service.busy++
}

// releaseSlot frees the attempt's slot.
func (c *Core) releaseSlot(at *attempt) {
	if at.agent.open[at.ref] != at {
		return
	}
	delete(at.agent.open, at.ref)
	at.agent.slotsHeld--
	at.agent.service.busy--
	at.agent.service.noFreeAgent = false
}

// dropAttempt forgets an attempt. A result that arrives later is only
// acknowledged.
func (c *Core) dropAttempt(at *attempt) {
	c.releaseSlot(at)
	c.timers.stop(at.timer)
	delete(c.attempts, at.ref)
}

func (c *Core) sendExecute(r *request, at *attempt) {
	at.state = attemptSent
	at.sentAt = c.now
	at.probeInterval = probeDelay
	at.nextProbe = c.now + probeDelay
	c.timers.set(at.timer, min(at.nextProbe, at.expiresAt))
	c.emit(Execute{
		Agent:       at.agent.name,
		Incarnation: at.incarnation,
		ID:          at.ref.id,
		Attempt:     at.ref.attempt,
		StampMS:     at.stampMS,
		PermitTTL:   PermitTTL,
		Timeout:     r.Deadline - c.now,
		Idempotent:  r.Idempotent,
	})
	c.setPhase(r, phaseSent)
}

// checkAttempt runs on the attempt's timer. It probes the agent for the
// outcome, at intervals that double up to maxProbeInterval, and forgets the
// attempt when it expires.
func (c *Core) checkAttempt(at *attempt) {
	if c.now >= at.expiresAt {
		c.dropAttempt(at)
		return
	}
	if c.now >= at.nextProbe {
		c.probe(at)
		at.probeInterval = min(2*at.probeInterval, maxProbeInterval)
		at.nextProbe = c.now + at.probeInterval
	}
	c.timers.set(at.timer, min(at.nextProbe, at.expiresAt))
}

// probe sends a Void for the attempt if its result is still needed and the
// agent is linked under the attempt's incarnation.
func (c *Core) probe(at *attempt) {
	if at.req == nil || !at.reachable() || !at.state.mayHaveRun() {
		return
	}
	c.emitVoid(at.claimHolder())
}

func (c *Core) emitVoid(h ClaimHolder) {
	c.emit(Void{
		Agent:       h.Agent,
		Incarnation: h.Incarnation,
		ID:          h.RequestID,
		Attempt:     h.Attempt,
		StampMS:     h.StampMS,
	})
}

// probeAttempts asks an agent whose link is open again for the outcome of each
// open attempt. Retries of lost attempts that have not started are cancelled.
func (c *Core) probeAttempts(a *agent) {
	for _, at := range a.openAttempts() {
		c.probe(at)
		if at.state == attemptLost {
			c.reinstate(at)
		}
	}
}

// reinstate treats a lost attempt as sent again, and returns the budget token of
// a retry that has not started.
func (c *Core) reinstate(at *attempt) {
	at.state = attemptSent
	r := at.req
	if r == nil || r.phase != phaseQueued && r.phase != phaseLost {
		return
	}
	if r.phase == phaseQueued {
		c.budget.refund()
		r.service.queue.remove(r)
	}
	c.setPhase(r, phaseSent)
}

// retryIdempotent marks the idempotent attempts at a silent agent as lost and
// retries their requests.
func (c *Core) retryIdempotent(a *agent) {
	for _, at := range a.openAttempts() {
		if at.state != attemptSent || !at.idempotent {
			continue
		}
		at.state = attemptLost
		if at.req != nil {
			c.retry(at.req)
		}
	}
}

// failOldIncarnation gives up the attempts at an agent's earlier incarnations.
// Idempotent requests are retried; the others end with OutcomeUnknown, since
// nobody can tell whether they have run.
func (c *Core) failOldIncarnation(a *agent) {
	for _, at := range a.openAttempts() {
		c.releaseSlot(at)
		if at.state != attemptSent {
			continue
		}
		at.state = attemptLost
		r := at.req
		switch {
		case r == nil:
		case at.idempotent:
			c.retry(r)
		default:
			c.finishUnknown(r, at.claimHolder(), "the agent has restarted")
		}
	}
}

// finishUnknown ends a non-idempotent request whose execution may have run, with
// OutcomeUnknown.
func (c *Core) finishUnknown(r *request, h ClaimHolder, detail string) {
	c.recordOutcome(r, h, api.OutcomeUnknown)
	c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonAgentLost, Detail: detail})
}

// recordOutcome emits a Record of the final outcome if the request has claimed
// its key.
func (c *Core) recordOutcome(r *request, h ClaimHolder, outcome api.Outcome) {
	if r.needsClaim() {
		c.emit(Record{ID: r.ID, Key: r.Key, Holder: h, Outcome: outcome})
	}
}

// retry retries an idempotent request that has no active attempt left, within
// the retry budget.
func (c *Core) retry(r *request) {
	if r.phase != phaseSent || r.hasActiveAttempt() {
		return
	}
	c.setPhase(r, phaseLost)
	c.retryLost(r)
}

// hasActiveAttempt reports whether some attempt is at an agent that is not known
// to be silent.
func (r *request) hasActiveAttempt() bool {
	for _, at := range r.attempts {
		if at.state == attemptSent {
			return true
		}
	}
	return false
}

// hasLostAttempt reports whether the result of some lost attempt may still
// arrive.
func (r *request) hasLostAttempt() bool {
	for _, at := range r.attempts {
		if at.state == attemptLost {
			return true
		}
	}
	return false
}

// retryLost requeues a request in phaseLost if its caller waits and the attempts
// and the retry budget allow it. Without a retry the request is given up once no
// result can arrive any more or lostAttemptTimeout has passed. It reports whether
// the request has left phaseLost.
func (c *Core) retryLost(r *request) bool {
	switch {
	case !r.callerGone && len(r.attempts) < c.cfg.MaxAttempts && c.budget.take():
		c.requeue(r)
		return true
	case !r.hasLostAttempt() || c.now >= r.phaseSince+lostAttemptTimeout:
		c.giveUp(r, ReasonRetryBudgetSpent, "the agent has gone silent and no retry is left", 0)
		return true
	default:
		return false
	}
}

// handleResult applies an agent's result to its attempt, whichever link it came
// over and however late it is, and to the requests that follow the attempt. It
// always acknowledges the result.
func (c *Core) handleResult(e Result) {
	ref := attemptRef{e.ID, e.Attempt}
	at := c.attempts[ref]
	if at != nil && at.agent.name == e.Agent {
		c.applyResult(at, e)
	}
	for _, r := range c.followersOf(ref, e.Agent) {
		c.applyFollowedResult(r, e)
	}
	c.emit(Ack{Agent: e.Agent, ID: e.ID, Attempt: e.Attempt})
}

func (c *Core) applyResult(at *attempt, e Result) {
	if at.state == attemptClaiming {
		return
	}
	c.dropAttempt(at)
	r := at.req
	switch e.Outcome {
	case api.OutcomeNotRun:
		at.state = attemptNotRun
		c.backOff(at.agent)
		if r != nil {
			c.handleNotRun(r, at)
		}
	case api.OutcomeDone, api.OutcomeFailed:
		at.state = attemptEnded
		c.noteSuccess(at)
		if r != nil {
			c.answerWithResult(r, at.claimHolder(), e)
		}
	default:
		at.state = attemptUnknown
		if r != nil {
			c.handleUnknown(r, at, e)
		}
	}
}

// noteSuccess takes in an attempt that has run: it ends the agent's backoff
// sequence, learns the service time and earns retries for a first attempt.
func (c *Core) noteSuccess(at *attempt) {
	at.agent.successes++
	at.agent.refusals = 0
	r := at.req
	if r == nil {
		return
	}
	took := c.now - at.sentAt
	r.flow.times.learn(took)
	r.service.times.learn(took)
	if at.ref.attempt == 1 {
		c.budget.earn()
	}
}

// answerWithResult answers a request with the result of a complete execution,
// which it records for a claimed key.
func (c *Core) answerWithResult(r *request, h ClaimHolder, e Result) {
	c.recordOutcome(r, h, e.Outcome)
	c.finish(r, Answer{
		ID:            r.ID,
		Outcome:       e.Outcome,
		Reason:        ReasonResult,
		Detail:        e.Detail,
		FromResult:    true,
		ResultID:      e.ID,
		ResultAttempt: e.Attempt,
	})
}

// handleNotRun requeues a request after an attempt that is certain not to have
// run, unless another attempt may still bring a result.
func (c *Core) handleNotRun(r *request, at *attempt) {
	r.lastRefusedBy = at.agent
	if r.needsClaim() {
		h := at.claimHolder()
		r.replaces = &h
	}
	switch r.phase {
	case phaseSent:
		if !r.hasActiveAttempt() {
			c.requeue(r)
		}
	case phaseLost:
		if !r.hasLostAttempt() {
			c.requeue(r)
		}
	}
}

// handleUnknown retries an idempotent request after the agent has answered that
// the attempt may have run, and ends any other request.
func (c *Core) handleUnknown(r *request, at *attempt, e Result) {
	if r.Idempotent {
		c.retry(r)
		return
	}
	c.recordOutcome(r, at.claimHolder(), api.OutcomeUnknown)
	c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonResult, Detail: e.Detail})
}
