package route

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// follow is the wait of a request for the execution that holds its key.
type follow struct {
	holder   ClaimHolder
	since    time.Duration
	next     time.Duration
	interval time.Duration
}

func (h ClaimHolder) ref() ref { return ref{h.RequestID, h.Attempt} }

// claim asks the table for the key. The attempt's stamp is taken here and not
// when the claim is won: whoever reads the claim and asks the agent for the
// execution does so after the stamp.
func (c *Core) claim(r *request, at *attempt) {
	at.state = attemptClaiming
	r.claiming = at
	c.emit(Claim{ID: r.ID, Key: r.Key, Holder: at.holder(), Replaces: r.from})
	c.setPhase(r, phaseClaiming)
}

// cancelClaim gives up an attempt that was never sent.
func (c *Core) cancelClaim(r *request) {
	at := r.claiming
	if at == nil {
		return
	}
	r.claiming = nil
	at.state = attemptNotRun
	c.drop(at)
}

func (c *Core) claimReply(e ClaimReply) {
	r := c.requests[e.ID]
	if r == nil || r.claiming == nil {
		return
	}
	switch {
	case !e.Failed:
		c.breaker.answered()
	case !r.gone:
		c.breaker.failed(c.now)
	}
	switch {
	case e.Failed:
		c.giveUp(r, ReasonStoreUnavailable, "the key cannot be looked up: the table does not answer", refusalPatience)
	case e.Won:
		c.claimWon(r)
	default:
		c.claimLost(r, e)
	}
}

func (c *Core) claimWon(r *request) {
	at := r.claiming
	h := at.holder()
	r.from = &h
	if !r.gone && c.fresh() && at.reachable() && c.usable(at.agent) && c.now < r.since+claimTimeout {
		r.claiming = nil
		c.send(r, at)
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
		r.from = &holder
		c.requeue(r)
	default:
		c.startFollow(r, holder)
	}
}

func (c *Core) holderLinked(h ClaimHolder) bool {
	a := c.agents[h.Agent]
	return a != nil && a.up && a.incarnation == h.Incarnation
}

// startFollow waits for the result of another execution. The agent is asked
// once the permission of that execution has lapsed, since the question ends an
// execution that has not started.
func (c *Core) startFollow(r *request, h ClaimHolder) {
	r.follow = &follow{holder: h, since: c.now, next: c.now + c.permitLeft(h), interval: probeDelay}
	c.followers[h.ref()] = append(c.followers[h.ref()], r)
	c.setPhase(r, phaseFollowing)
}

// permitLeft estimates how long the permission of an execution lasts.
func (c *Core) permitLeft(h ClaimHolder) time.Duration {
	a := c.agents[h.Agent]
	if h.StampMS == 0 || a == nil || !a.hasClock || a.incarnation != h.Incarnation {
		return PermitTTL
	}
	age := time.Duration(a.clockMS-h.StampMS)*time.Millisecond + c.now - a.statusAt
	return min(max(0, PermitTTL-age), PermitTTL)
}

func (c *Core) unfollow(r *request) {
	if r.follow == nil {
		return
	}
	k := r.follow.holder.ref()
	r.follow = nil
	rest := slices.DeleteFunc(c.followers[k], func(x *request) bool { return x == r })
	if len(rest) == 0 {
		delete(c.followers, k)
		return
	}
	c.followers[k] = rest
}

// followersOf returns the requests that follow an execution at the agent.
func (c *Core) followersOf(k ref, agent string) []*request {
	var out []*request
	for _, r := range c.followers[k] {
		if r.follow.holder.Agent == agent {
			out = append(out, r)
		}
	}
	return out
}

// resumeFollowers looks for holders again after a link has opened.
func (c *Core) resumeFollowers(a *agent) {
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
		r.follow.next = max(c.now, min(r.follow.next, c.now+PermitTTL))
		c.arm(r)
	}
}

// lookForHolder asks for the result of a followed execution. It reports
// whether it has ended the request.
func (c *Core) lookForHolder(r *request) bool {
	f := r.follow
	if c.now < f.next {
		return false
	}
	if c.holderLinked(f.holder) {
		c.emitVoid(f.holder)
		f.next = c.now + f.interval
		f.interval = min(2*f.interval, maxProbeInterval)
		return false
	}
	a := c.agents[f.holder.Agent]
	if a != nil && a.up && c.now >= f.since+newIncarnationPatience && a.statusAt > f.since {
		c.finish(r, Answer{
			ID:      r.ID,
			Outcome: api.OutcomeUnknown,
			Reason:  ReasonAgentLost,
			Detail:  "the agent that held the key has restarted",
		})
		return true
	}
	f.next = c.now + refusalPatience
	return false
}

func (c *Core) followResult(r *request, e Result) {
	f := r.follow
	if f == nil {
		return
	}
	h := f.holder
	switch {
	case e.Outcome == api.OutcomeDone || e.Outcome == api.OutcomeFailed:
		c.deliver(r, h, e)
	case e.Outcome == api.OutcomeNotRun:
		c.unfollow(r)
		r.from = &h
		c.requeue(r)
	default:
		c.record(r, h, api.OutcomeUnknown)
		c.finish(r, Answer{ID: r.ID, Outcome: api.OutcomeUnknown, Reason: ReasonResult, Detail: e.Detail})
	}
}
