package route

import (
	"cmp"
	"slices"
	"time"
)

// agent is the entry's view of one agent and its endpoint.
type agent struct {
	name        string
	incarnation string
	service     *service
	zone        string
	slots       int

	linked        bool
	linkChangedAt time.Duration // time of the last AgentUp or AgentDown
	statusAt      time.Duration
	clockMS       int64
	hasClock      bool
	healthy       bool
	leaving       bool
	suspect       bool
	othersInUse   int // slots in use by other entries

	open         map[attemptRef]*attempt // attempts that may occupy a slot
	slotsHeld    int                     // len(open)
	wasUsable    bool
	lastUsableAt time.Duration // last time at which the agent was usable
	slowStartAt  time.Duration // beginning of the slow start
	successes    int           // since slowStartAt
	refusals     int
	backoffUntil time.Duration
}

// usable reports whether the agent is eligible for new work. Free slots and
// backoff are left to canAccept.
func (c *Core) usable(a *agent) bool {
	return a.linked && a.hasClock && a.healthy && !a.leaving &&
		c.now-a.statusAt <= heartbeatMaxAge && !c.zonesOut[a.zone]
}

// canAccept reports whether one more attempt may be sent to the agent now.
func (c *Core) canAccept(a *agent) bool {
	return a.slotsHeld < a.slots && c.now >= a.backoffUntil && a.slotsHeld < c.attemptLimit(a) && c.usable(a)
}

// slotShare returns the number of the agent's slots that this entry may use:
// those that the other entries leave free, but at least an equal share.
func (c *Core) slotShare(a *agent) int {
	equal := (a.slots + c.entries - 1) / c.entries
	return min(a.slots, max(a.slots-a.othersInUse, equal))
}

// attemptLimit returns the number of attempts that this entry may have open at
// the agent: its share of the slots, reduced during the slow start.
func (c *Core) attemptLimit(a *agent) int {
	slowStart := slowStartLimit + a.successes + int((c.now-a.slowStartAt)/slowStartInterval)
	return min(c.slotShare(a), slowStart)
}

// backOff blocks new attempts at the agent for some time after it has refused one.
// The time doubles with each refusal in a row.
func (c *Core) backOff(a *agent) {
	pause := maxRefusalBackoff
	if a.refusals < 6 {
		pause = min(pause, refusalBackoff<<a.refusals)
	}
	a.refusals++
	a.backoffUntil = c.now + pause
}

// openAttempts returns the open attempts in the order of their creation.
func (a *agent) openAttempts() []*attempt {
	out := make([]*attempt, 0, a.slotsHeld)
	for _, at := range a.open {
		out = append(out, at)
	}
	slices.SortFunc(out, func(x, y *attempt) int { return cmp.Compare(x.seq, y.seq) })
	return out
}

func (c *Core) handleAgentUp(e AgentUp) {
	a := c.agents[e.Agent]
	if a == nil {
		if len(c.agents) >= c.cfg.MaxAgents {
			return
		}
		a = &agent{name: e.Agent, open: map[attemptRef]*attempt{}}
		c.agents[e.Agent] = a
	}
	newIncarnation := a.incarnation != e.Incarnation
	c.moveAgent(a, c.ensureService(e.Service))
	a.incarnation = e.Incarnation
	a.zone = e.Zone
	a.slots = max(1, e.Slots)
	a.linked = true
	a.linkChangedAt = c.now
	a.suspect = false
	a.hasClock = false
	if newIncarnation {
		a.resetLoad(c.now)
		c.failOldIncarnation(a)
	} else {
		c.probeAttempts(a)
	}
	c.rescheduleFollowers(a)
	a.service.needsRefresh = true
}

func (a *agent) resetLoad(now time.Duration) {
	a.beginSlowStart(now)
	a.refusals = 0
	a.backoffUntil = 0
	a.othersInUse = 0
}

func (a *agent) beginSlowStart(now time.Duration) {
	a.slowStartAt = now
	a.successes = 0
}

// updateUsable notes and returns whether the agent is usable. An agent that was
// unusable for longer than slowStartAfter, for instance because its zone was
// out, goes through a slow start again.
func (c *Core) updateUsable(a *agent) bool {
	usable := c.usable(a)
	if usable && !a.wasUsable && c.now-a.lastUsableAt > slowStartAfter {
		a.beginSlowStart(c.now)
	}
	a.wasUsable = usable
	if usable {
		a.lastUsableAt = c.now
	}
	return usable
}

func (c *Core) moveAgent(a *agent, s *service) {
	if a.service == s {
		return
	}
	if a.service != nil {
		a.service.removeAgent(a)
	}
	a.service = s
	s.addAgent(a)
}

func (c *Core) handleAgentDown(e AgentDown) {
	a := c.agents[e.Agent]
	if a == nil || !a.linked {
		return
	}
	a.linked = false
	a.linkChangedAt = c.now
	a.service.needsRefresh = true
}

func (c *Core) handleAgentStatus(e AgentStatus) {
	a := c.agents[e.Agent]
	if a == nil || !a.linked {
		return
	}
	wasUsable := c.usable(a)
	a.statusAt = c.now
	a.clockMS = e.ClockMS
	a.hasClock = true
	a.healthy = e.Healthy
	a.leaving = e.Leaving
	a.suspect = false
	a.othersInUse = max(0, e.InUse-a.slotsHeld)
	a.service.noFreeAgent = false
	if c.usable(a) != wasUsable {
		a.service.needsRefresh = true
	}
}

// checkAgents retries the idempotent requests of agents that have become
// silent, and forgets agents whose link has been down for agentRetention.
func (c *Core) checkAgents() {
	for _, s := range c.serviceList {
		for _, a := range slices.Clone(s.agents) {
			c.checkAgent(a)
		}
		s.needsRefresh = true
	}
}

func (c *Core) checkAgent(a *agent) {
	if !a.linked && a.slotsHeld == 0 && c.now-a.linkChangedAt > agentRetention {
		a.service.removeAgent(a)
		delete(c.agents, a.name)
		return
	}
	if !a.suspect && c.isSilent(a) {
		a.suspect = true
		c.retryIdempotent(a)
	}
}

// isSilent reports whether a linked agent has sent no heartbeat for
// suspicionTimeout, counted anew after a pause of the entry, or another agent has
// had no link for relinkGrace.
func (c *Core) isSilent(a *agent) bool {
	if !a.linked {
		return c.now-a.linkChangedAt > relinkGrace
	}
	return c.now-max(a.statusAt, a.linkChangedAt, c.resumedAt) > suspicionTimeout
}
