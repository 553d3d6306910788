package route

import (
	"container/list"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

type phase string

const (
	// phaseQueued: waits for an agent.
	phaseQueued phase = "queued"
	// phaseClaiming: waits for the table's answer to a claim.
	phaseClaiming phase = "claiming"
	// phaseSent: an attempt is at an agent.
	phaseSent phase = "sent"
	// phaseFollowing: waits for the execution that holds the request's key.
	phaseFollowing phase = "following"
	// phaseLost: the attempt's agent is silent and there is no retry left.
	phaseLost phase = "lost"
)

// request is one open request.
type request struct {
	Request
	seq     uint64
	hash    uint64
	phase   phase
	since   time.Duration // start of the phase
	service *service
	flow    *flow
	element *list.Element // position in the flow, while queued
	charged bool
	gone    bool
	avoid   *agent
	timer   *timer

	attempts []*attempt
	claiming *attempt
	// from is the holder that the next claim replaces.
	from   *ClaimHolder
	follow *follow
}

// claims reports whether an execution has to be claimed in the table first.
func (r *Request) claims() bool { return r.Key != "" && !r.Idempotent }

// doubtful reports whether some attempt may have run or may run yet.
func (r *request) doubtful() bool {
	if r.follow != nil {
		return true
	}
	return slices.ContainsFunc(r.attempts, func(at *attempt) bool { return at.state.doubtful() })
}

func (c *Core) submit(q Request) {
	if c.requests[q.ID] != nil {
		return
	}
	if c.services[q.Service] == nil && c.now > startPatience {
		c.emit(*refuse(&q, ReasonNoEndpoint, unservableDetail(ReasonNoEndpoint, q.Service), refusalPatience))
		return
	}
	s := c.service(q.Service)
	c.refresh(s)
	f := s.queue.flow(&q, c.now, c.cfg.MaxFlows)
	if refusal := c.admit(&q, s, f); refusal != nil {
		c.emit(*refusal)
		return
	}
	r := &request{Request: q, seq: c.nextSeq(), hash: hashString(q.ID), service: s, flow: f}
	r.timer = newTimer(func() { c.wake(r) })
	c.requests[q.ID] = r
	r.phase = phaseQueued
	r.since = c.now
	s.open++
	f.open++
	s.queue.push(r)
	c.arm(r)
}

func (c *Core) setPhase(r *request, p phase) {
	r.phase = p
	r.since = c.now
	c.arm(r)
}

// requeue puts a request back at the head of its queue.
func (c *Core) requeue(r *request) {
	switch {
	case r.element != nil:
		return
	case r.gone:
		c.giveUp(r, ReasonResult, "the caller has gone away", 0)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.giveUp(r, ReasonNoEndpoint, "no endpoint has taken the request", refusalPatience)
	default:
		r.service.queue.pushFront(r)
		c.setPhase(r, phaseQueued)
	}
}

func (c *Core) gone(e CallerGone) {
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	r.gone = true
	if r.phase == phaseQueued && !r.doubtful() {
		c.giveUp(r, ReasonResult, "the caller has gone away", 0)
	}
}

// arm sets the time at which the request is looked at next.
func (c *Core) arm(r *request) { c.timers.set(r.timer, min(r.Deadline, c.nextLook(r))) }

func (c *Core) nextLook(r *request) time.Duration {
	switch r.phase {
	case phaseQueued:
		if r.doubtful() {
			return r.Deadline
		}
		return max(latestStart(r), c.now+TickInterval)
	case phaseClaiming:
		return r.since + claimTimeout
	case phaseFollowing:
		return r.follow.next
	case phaseLost:
		return c.now + TickInterval
	default:
		return r.Deadline
	}
}

// latestStart is when a waiting request has to start to meet its deadline.
func latestStart(r *request) time.Duration {
	t := times(r.flow, r.service)
	return r.Deadline - t.upper()
}

func (c *Core) wake(r *request) {
	if c.now >= r.Deadline {
		c.expire(r)
		return
	}
	switch r.phase {
	case phaseQueued:
		if !r.doubtful() && c.now >= latestStart(r) {
			c.giveUp(r, ReasonDeadlineCannotBeMet, "the request cannot end before its deadline any more", c.retryAfter(r))
			return
		}
	case phaseClaiming:
		if c.now >= r.since+claimTimeout {
			c.breaker.failed(c.now)
			c.giveUp(r, ReasonStoreUnavailable, "the key cannot be looked up: the table has not answered the claim", refusalPatience)
			return
		}
	case phaseFollowing:
		if c.lookForHolder(r) {
			return
		}
	case phaseLost:
		if c.retryLost(r) {
			return
		}
	}
	c.arm(r)
}

func (c *Core) expire(r *request) {
	if r.phase == phaseFollowing {
		c.giveUp(r, ReasonKeyInProgress, "the deadline has passed while another execution holds the key", 0)
		return
	}
	c.giveUp(r, ReasonDeadlinePassed, "the deadline has passed", c.retryAfter(r))
}

func (c *Core) retryAfter(r *request) time.Duration {
	return clampRetry(c.wait(r.service, r.flow, r.flow.items.Len()))
}

// giveUp ends a request without a result: with OutcomeNotRun when every
// attempt is certain not to have run and never to run, else OutcomeUnknown.
func (c *Core) giveUp(r *request, reason Reason, detail string, retryAfter time.Duration) {
	c.cancelClaim(r)
	a := Answer{ID: r.ID, Outcome: api.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
	if r.doubtful() {
		a.Outcome = api.OutcomeUnknown
		a.RetryAfter = 0
	}
	c.finish(r, a)
}

// finish answers a request, once. Attempts that may still run keep their slot
// until their result or their expiry.
func (c *Core) finish(r *request, a Answer) {
	c.cancelClaim(r)
	c.emit(a)
	delete(c.requests, r.ID)
	r.service.open--
	r.flow.open--
	c.timers.stop(r.timer)
	r.service.queue.remove(r)
	c.unfollow(r)
	for _, at := range r.attempts {
		at.req = nil
	}
}
