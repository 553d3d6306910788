package route

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// follow is the state of a request that waits for the result of the execution
// that holds its key.
type follow struct {
	holder        ClaimHolder
	since         time.Duration
	nextProbe     time.Duration
	probeInterval time.Duration
}

func (h ClaimHolder) ref() attemptRef { return attemptRef{h.RequestID, h.Attempt} }

// beginClaim claims the request's key for the attempt. The attempt carries the
// clock stamp of its creation and not a newer one from when the claim is won:
// this way every probe by an entry that has read the claim comes after the stamp.
func (c *Core) beginClaim(r *request, at *attempt) {
	at.state = attemptClaiming
	r.claimingAttempt = at
	c.emit(Claim{ID: r.ID, Key: r.Key, Holder: at.claimHolder(), Replaces: r.replaces})
	c.setPhase(r, phaseClaiming)
}

// cancelClaim drops the attempt whose claim is in progress, which has not been
// sent.
func (c *Core) cancelClaim(r *request) {
	at := r.claimingAttempt
	if at == nil {
		return
	}
	r.claimingAttempt = nil
	at.state = attemptNotRun
	c.dropAttempt(at)
}

func (c *Core) handleClaimReply(e ClaimReply) {
	r := c.requests[e.ID]
	if r == nil || r.claimingAttempt == nil {
		return
	}
	switch {
	case !e.Failed:
		c.breaker.recordSuccess()
	case !r.callerGone:
		c.breaker.recordFailure(c.now)
	}
	switch {
	case e.Failed:
		c.giveUp(r, ReasonStoreUnavailable, "the key cannot be looked up: the table does not answer", unservableTimeout)
	case e.Won:
		c.claimWon(r)
	default:
		c.claimLost(r, e)
	}
}

func (c *Core) claimWon(r *request) {
	at := r.claimingAttempt
	h := at.claimHolder()
	r.replaces = &h
	if !r.callerGone && c.configFresh() && at.reachable() && c.usable(at.agent) && c.now < r.phaseSince+claimTimeout {
		r.claimingAttempt = nil
		c.sendExecute(r, at)
		return
	}
	c.cancelClaim(r)
	c.requeue(r)
}

func (c *Core) claimLost(r *request, e ClaimReply) {
	c.cancelClaim(r)
	holder := e.Holder
	switch {
	case e.Final != "":
		c.finish(r, Answer{ID: r.ID, Outcome: e.Final, Reason: ReasonResult, Detail: "the recorded outcome of the idempotency key"})
	case holder.RequestID == r.ID:
		r.replaces = &holder
		c.requeue(r)
	default:
		c.startFollowing(r, holder)
	}
}

func (c *Core) holderLinked(h ClaimHolder) bool {
	a := c.agents[h.Agent]
	return a != nil && a.linked && a.incarnation == h.Incarnation
}

// startFollowing lets the request wait for the result of another execution. The
// first probe is sent once the permission of that execution has lapsed, because a
// probe cancels an execution that has not started.
func (c *Core) startFollowing(r *request, h ClaimHolder) {
	r.follow = &follow{holder: h, since: c.now, nextProbe: c.now + c.permitRemaining(h), probeInterval: probeDelay}
	c.followers[h.ref()] = append(c.followers[h.ref()], r)
	c.setPhase(r, phaseFollowing)
}

// permitRemaining estimates the remaining lifetime of an execution's permission
// to start. It is PermitTTL if the agent's clock is unknown.
func (c *Core) permitRemaining(h ClaimHolder) time.Duration {
	a := c.agents[h.Agent]
	if h.StampMS == 0 || a == nil || !a.hasClock || a.incarnation != h.Incarnation {
		return PermitTTL
	}
	age := time.Duration(a.clockMS-h.StampMS)*time.Millisecond + c.now - a.statusAt
	return min(max(0, PermitTTL-age), PermitTTL)
}

func (c *Core) stopFollowing(r *request) {
	if r.follow == nil {
		return
	}
	ref := r.follow.holder.ref()
	r.follow = nil
	remaining := slices.DeleteFunc(c.followers[ref], func(x *request) bool { return x == r })
	if len(remaining) == 0 {
		delete(c.followers, ref)
		return
	}
	c.followers[ref] = remaining
}

// followersOf returns the requests that follow an execution at the agent.
func (c *Core) followersOf(ref attemptRef, agent string) []*request {
	var out []*request
	for _, r := range c.followers[ref] {
		if r.follow.holder.Agent == agent {
			out = append(out, r)
		}
	}
	return out
}

// rescheduleFollowers schedules the next probe of the requests that follow an
// execution at an agent whose link has opened: no later than after PermitTTL.
func (c *Core) rescheduleFollowers(a *agent) {
	var waiting []*request
	for _, rs := range c.followers {
		for _, r := range rs {
			if r.follow.holder.Agent == a.name {
				waiting = append(waiting, r)
			}
		}
	}
	slices.SortFunc(waiting, func(x, y *request) int { return int(int64(x.seq) - int64(y.seq)) })
	for _, r := range waiting {
		r.follow.nextProbe = max(c.now, min(r.follow.nextProbe, c.now+PermitTTL))
		c.scheduleWake(r)
	}
}

// probeHolder probes the agent of a followed execution when the next probe is
// due. If that agent has been linked under another incarnation for some time, the
// execution is lost and the request ends with OutcomeUnknown. It reports whether
// it has ended the request.
func (c *Core) probeHolder(r *request) bool {
	f := r.follow
	if c.now < f.nextProbe {
		return false
	}
	if c.holderLinked(f.holder) {
		c.emitVoid(f.holder)
		f.nextProbe = c.now + f.probeInterval
		f.probeInterval = min(2*f.probeInterval, maxProbeInterval)
		return false
	}
	a := c.agents[f.holder.Agent]
	if a != nil && a.linked && c.now >= f.since+newIncarnationGrace && a.statusAt > f.since {
		c.finish(r, Answer{
			ID:      r.ID,
			Outcome: api.OutcomeUnknown,
			Reason:  ReasonAgentLost,
			Detail:  "the agent that held the key has restarted",
		})
		return true
	}
	f.nextProbe = c.now + unservableTimeout
	return false
}

// applyFollowedResult applies the result of a followed execution: the request
// takes the result as its own answer, or is requeued if the execution has not
// run.
func (c *Core) applyFollowedResult(r *request, e Result) {
	f := r.follow
	if f == nil {
		return
	}
	h := f.holder
	switch {
	case e.Outcome == api.OutcomeDone || e.Outcome == api.OutcomeFailed:
		c.answerWithResult(r, h, e)
	case e.Outcome == api.OutcomeNotRun:
		c.stopFollowing(r)
		r.replaces = &h
		c.requeue(r)
	default:
		c.recordOutcome(r, h, api.OutcomeUnknown)
		c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonResult, Detail: e.Detail})
	}
}
