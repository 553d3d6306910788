package route

import (
	"container/list"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

type phase string

const (
	// phaseQueued: waits for a free slot.
	phaseQueued phase = "queued"
	// phaseClaiming: waits for the table's answer to a claim.
	phaseClaiming phase = "claiming"
	// phaseSent: an attempt has been sent to an agent.
	phaseSent phase = "sent"
	// phaseFollowing: waits for the execution that holds the request's key.
	phaseFollowing phase = "following"
	// phaseLost: the attempt's agent is silent and the request has not been
	// retried.
	phaseLost phase = "lost"
)

// request is one open request, that is, one without an answer.
type request struct {
	Request
	seq           uint64
	hash          uint64
	phase         phase
	phaseSince    time.Duration // start of the phase
	service       *service
	flow          *flow
	queueElement  *list.Element // position in the flow, or nil while not queued
	charged       bool
	callerGone    bool
	lastRefusedBy *agent
	timer         *timer

	attempts        []*attempt
	claimingAttempt *attempt
	// replaces is the holder that the next claim may replace, or nil. It is
	// certain that its execution has not run.
	replaces *ClaimHolder
	follow   *follow
}

// needsClaim reports whether the key must be claimed in the table before an
// attempt is sent.
func (r *Request) needsClaim() bool { return r.Key != "" && !r.Idempotent }

// mayHaveRun reports whether some attempt, or the followed execution, may have
// run or may still run.
func (r *request) mayHaveRun() bool {
	if r.follow != nil {
		return true
	}
	return slices.ContainsFunc(r.attempts, func(at *attempt) bool { return at.state.mayHaveRun() })
}

func (c *Core) submit(req Request) {
	if c.requests[req.ID] != nil {
		return
	}
	if c.services[req.Service] == nil && c.now > startupGrace {
		c.emit(*refusalAnswer(&req, ReasonNoEndpoint, unservableDetail(ReasonNoEndpoint, req.Service), unservableTimeout))
		return
	}
	s := c.ensureService(req.Service)
	c.refreshCapacity(s)
	f := s.queue.flowFor(&req, c.now, c.cfg.MaxFlows)
	if refusal := c.admit(&req, s, f); refusal != nil {
		c.emit(*refusal)
		return
	}
	r := &request{Request: req, seq: c.nextSeq(), hash: hashString(req.ID), service: s, flow: f}
	r.timer = newTimer(func() { c.wake(r) })
	c.requests[req.ID] = r
	r.phase = phaseQueued
	r.phaseSince = c.now
	s.openRequests++
	f.openRequests++
	s.queue.push(r)
	c.scheduleWake(r)
}

func (c *Core) setPhase(r *request, p phase) {
	r.phase = p
	r.phaseSince = c.now
	c.scheduleWake(r)
}

// requeue puts a request back at the head of its queue, or gives it up if its
// caller has gone or its attempts are used up.
func (c *Core) requeue(r *request) {
	switch {
	case r.queueElement != nil:
		return
	case r.callerGone:
		c.giveUp(r, ReasonResult, "the caller has gone away", 0)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.giveUp(r, ReasonNoEndpoint, "no endpoint has taken the request", unservableTimeout)
	default:
		r.service.queue.pushFront(r)
		c.setPhase(r, phaseQueued)
	}
}

func (c *Core) handleCallerGone(e CallerGone) {
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	r.callerGone = true
	if r.phase == phaseQueued && !r.mayHaveRun() {
		c.giveUp(r, ReasonResult, "the caller has gone away", 0)
	}
}

// scheduleWake sets the request's timer to its next check, and to the deadline at
// the latest.
func (c *Core) scheduleWake(r *request) { c.timers.set(r.timer, min(r.Deadline, c.nextWake(r))) }

func (c *Core) nextWake(r *request) time.Duration {
	switch r.phase {
	case phaseQueued:
		if r.mayHaveRun() {
			return r.Deadline
		}
		return max(latestStart(r), c.now+TickInterval)
	case phaseClaiming:
		return r.phaseSince + claimTimeout
	case phaseFollowing:
		return r.follow.nextProbe
	case phaseLost:
		return c.now + TickInterval
	default:
		return r.Deadline
	}
}

// latestStart returns the latest time at which a queued request can start and
// still be expected to meet its deadline.
func latestStart(r *request) time.Duration {
	learned := learnedTimes(r.flow, r.service)
	return r.Deadline - learned.upperBound()
}

// wake runs on the request's timer and handles what is due in its phase.
func (c *Core) wake(r *request) {
	if c.now >= r.Deadline {
		c.expire(r)
		return
	}
	switch r.phase {
	case phaseQueued:
		if !r.mayHaveRun() && c.now >= latestStart(r) {
			c.giveUp(r, ReasonDeadlineCannotBeMet, "the request cannot end before its deadline any more", c.retryAfter(r))
			return
		}
	case phaseClaiming:
		if c.now >= r.phaseSince+claimTimeout {
			c.breaker.recordFailure(c.now)
			c.giveUp(r, ReasonStoreUnavailable, "the key cannot be looked up: the table has not answered the claim", unservableTimeout)
			return
		}
	case phaseFollowing:
		if c.probeHolder(r) {
			return
		}
	case phaseLost:
		if c.retryLost(r) {
			return
		}
	}
	c.scheduleWake(r)
}

func (c *Core) expire(r *request) {
	if r.phase == phaseFollowing {
		c.giveUp(r, ReasonKeyInProgress, "the deadline has passed while another execution holds the key", 0)
		return
	}
	c.giveUp(r, ReasonDeadlinePassed, "the deadline has passed", c.retryAfter(r))
}

func (c *Core) retryAfter(r *request) time.Duration {
	return clampRetryAfter(c.estimateWait(r.service, r.flow, r.flow.items.Len()))
}

// giveUp ends a request without a result: with OutcomeNotRun when every
// attempt is certain not to have run and never to run, else OutcomeUnknown.
func (c *Core) giveUp(r *request, reason Reason, detail string, retryAfter time.Duration) {
	c.cancelClaim(r)
	a := Answer{ID: r.ID, Outcome: api.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
	if r.mayHaveRun() {
		a.Outcome = api.OutcomeUnknown
		a.RetryAfter = 0
	}
	c.finish(r, a)
}

// finish answers a request and removes it. Its attempts that may still run occupy
// their slots until their result arrives or they expire.
func (c *Core) finish(r *request, a Answer) {
	c.cancelClaim(r)
	c.emit(a)
	delete(c.requests, r.ID)
	r.service.openRequests--
	r.flow.openRequests--
	c.timers.stop(r.timer)
	r.service.queue.remove(r)
	c.stopFollowing(r)
	for _, at := range r.attempts {
		at.req = nil
	}
}
