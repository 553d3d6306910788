package route

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// ref names one attempt.
type ref struct {
	id      string
	attempt uint32
}

type attemptState string

const (
	// attemptClaiming: not sent; the claim is under way.
	attemptClaiming attemptState = "claiming"
	// attemptSent: no word from the agent yet.
	attemptSent attemptState = "sent"
	// attemptLost: the agent has gone silent; a result may still come.
	attemptLost attemptState = "lost"
	// attemptUnknown: it cannot be known whether the attempt has run.
	attemptUnknown attemptState = "unknown"
	// attemptNotRun: the attempt has not run and never will.
	attemptNotRun attemptState = "not-run"
	// attemptEnded: the attempt has brought the answer.
	attemptEnded attemptState = "ended"
)

func (s attemptState) doubtful() bool {
	return s == attemptSent || s == attemptLost || s == attemptUnknown
}

// attempt is one try to run a request at an agent.
type attempt struct {
	ref         ref
	seq         uint64
	req         *request // nil once the request is answered
	key         string
	agent       *agent
	incarnation string
	stampMS     int64
	state       attemptState
	idempotent  bool
	sent        time.Duration
	expires     time.Duration
	probe       time.Duration // next question for the outcome
	interval    time.Duration
	timer       *timer
}

func (at *attempt) holder() ClaimHolder {
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
	return at.agent.up && at.agent.incarnation == at.incarnation
}

// start makes an attempt at an agent: a claim where one is needed, else the
// execution.
func (c *Core) start(r *request, a *agent) {
	at := &attempt{
		ref:         ref{r.ID, uint32(len(r.attempts) + 1)},
		seq:         c.nextSeq(),
		req:         r,
		key:         r.Key,
		agent:       a,
		incarnation: a.incarnation,
		stampMS:     a.clockMS,
		idempotent:  r.Idempotent,
		expires:     r.Deadline + attemptGrace,
	}
	at.timer = newTimer(func() { c.checkAttempt(at) })
	r.attempts = append(r.attempts, at)
	c.attempts[at.ref] = at
	c.hold(at)
	if r.claims() {
		c.claim(r, at)
		return
	}
	c.send(r, at)
}

func (c *Core) hold(at *attempt) {
	at.agent.open[at.ref] = at
	at.agent.held++
	at.agent.service.busy++
}

// release frees the attempt's slot.
func (c *Core) release(at *attempt) {
	if at.agent.open[at.ref] != at {
		return
	}
	delete(at.agent.open, at.ref)
	at.agent.held--
	at.agent.service.busy--
	at.agent.service.full = false
}

// drop forgets an attempt; a later word on it is acknowledged only.
func (c *Core) drop(at *attempt) {
	c.release(at)
	c.timers.stop(at.timer)
	delete(c.attempts, at.ref)
}

func (c *Core) send(r *request, at *attempt) {
	at.state = attemptSent
	at.sent = c.now
	at.interval = probeDelay
	at.probe = c.now + probeDelay
	c.timers.set(at.timer, min(at.probe, at.expires))
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

// checkAttempt asks for the outcome of an attempt without word, again and
// again, and forgets the attempt when it is too old.
func (c *Core) checkAttempt(at *attempt) {
	if c.now >= at.expires {
		c.drop(at)
		return
	}
	if c.now >= at.probe {
		c.ask(at)
		at.interval = min(2*at.interval, maxProbeInterval)
		at.probe = c.now + at.interval
	}
	c.timers.set(at.timer, min(at.probe, at.expires))
}

// ask sends a Void, when the agent can be reached and someone waits.
func (c *Core) ask(at *attempt) {
	if at.req == nil || !at.reachable() || !at.state.doubtful() {
		return
	}
	c.emitVoid(at.holder())
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

// askOutcomes asks an agent, whose link is open again, for every attempt.
// Retries of them that have not started yet are called off.
func (c *Core) askOutcomes(a *agent) {
	for _, at := range a.attempts() {
		c.ask(at)
		if at.state == attemptLost {
			c.recover(at)
		}
	}
}

// recover makes a lost attempt count again.
func (c *Core) recover(at *attempt) {
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

// loseIdempotent retries the idempotent requests of an agent gone silent.
func (c *Core) loseIdempotent(a *agent) {
	for _, at := range a.attempts() {
		if at.state != attemptSent || !at.idempotent {
			continue
		}
		at.state = attemptLost
		if at.req != nil {
			c.retry(at.req)
		}
	}
}

// loseIncarnation settles the attempts at earlier incarnations of an agent.
func (c *Core) loseIncarnation(a *agent) {
	for _, at := range a.attempts() {
		c.release(at)
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
			c.finishUnknown(r, at.holder(), "the agent has restarted")
		}
	}
}

// finishUnknown ends a non-idempotent request whose execution may have run.
func (c *Core) finishUnknown(r *request, h ClaimHolder, detail string) {
	c.record(r, h, api.OutcomeUnknown)
	c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonAgentLost, Detail: detail})
}

// record stores the final outcome of a claimed key.
func (c *Core) record(r *request, h ClaimHolder, outcome api.Outcome) {
	if r.claims() {
		c.emit(Record{ID: r.ID, Key: r.Key, Holder: h, Outcome: outcome})
	}
}

// retry makes another attempt at an idempotent request, within the budget.
func (c *Core) retry(r *request) {
	if r.phase != phaseSent || r.active() {
		return
	}
	c.setPhase(r, phaseLost)
	c.retryLost(r)
}

// active reports whether some attempt is at an agent that is not known to be silent.
func (r *request) active() bool {
	for _, at := range r.attempts {
		if at.state == attemptSent {
			return true
		}
	}
	return false
}

// lost reports whether word of some attempt may still come.
func (r *request) lost() bool {
	for _, at := range r.attempts {
		if at.state == attemptLost {
			return true
		}
	}
	return false
}

// retryLost reports whether it has changed the phase of a lost request.
func (c *Core) retryLost(r *request) bool {
	switch {
	case !r.gone && len(r.attempts) < c.cfg.MaxAttempts && c.budget.take():
		c.requeue(r)
		return true
	case !r.lost() || c.now >= r.since+lostPatience:
		c.giveUp(r, ReasonRetryBudgetSpent, "the agent has gone silent and no retry is left", 0)
		return true
	default:
		return false
	}
}

// result matches an agent's word by the attempt, whatever link it came over
// and however late it is, and always acknowledges it.
func (c *Core) result(e Result) {
	k := ref{e.ID, e.Attempt}
	at := c.attempts[k]
	if at != nil && at.agent.name == e.Agent {
		c.attemptResult(at, e)
	}
	for _, r := range c.followersOf(k, e.Agent) {
		c.followResult(r, e)
	}
	c.emit(Ack{Agent: e.Agent, ID: e.ID, Attempt: e.Attempt})
}

func (c *Core) attemptResult(at *attempt, e Result) {
	if at.state == attemptClaiming {
		return
	}
	c.drop(at)
	r := at.req
	switch e.Outcome {
	case api.OutcomeNotRun:
		at.state = attemptNotRun
		c.refused(at.agent)
		if r != nil {
			c.notRun(r, at)
		}
	case api.OutcomeDone, api.OutcomeFailed:
		at.state = attemptEnded
		c.learnFrom(at)
		if r != nil {
			c.deliver(r, at.holder(), e)
		}
	default:
		at.state = attemptUnknown
		if r != nil {
			c.unknown(r, at, e)
		}
	}
}

func (c *Core) learnFrom(at *attempt) {
	at.agent.successes++
	at.agent.refusals = 0
	r := at.req
	if r == nil {
		return
	}
	took := c.now - at.sent
	r.flow.times.learn(took)
	r.service.times.learn(took)
	if at.ref.attempt == 1 {
		c.budget.earn()
	}
}

// deliver answers a request with the result of an execution.
func (c *Core) deliver(r *request, h ClaimHolder, e Result) {
	c.record(r, h, e.Outcome)
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

// notRun goes on with a request after an attempt that is certain not to have run.
func (c *Core) notRun(r *request, at *attempt) {
	r.avoid = at.agent
	if r.claims() {
		h := at.holder()
		r.from = &h
	}
	switch r.phase {
	case phaseSent:
		if !r.active() {
			c.requeue(r)
		}
	case phaseLost:
		if !r.lost() {
			c.requeue(r)
		}
	}
}

// unknown goes on after the agent's word that an attempt may have run.
func (c *Core) unknown(r *request, at *attempt, e Result) {
	if r.Idempotent {
		c.retry(r)
		return
	}
	c.record(r, at.holder(), api.OutcomeUnknown)
	c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonResult, Detail: e.Detail})
}
