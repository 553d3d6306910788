package route

import (
	"cmp"
	"slices"
	"time"
)

// agent is what the entry knows of one agent and its endpoint.
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

	open         map[attemptRef]*attempt // attempts that may hold a slot
	slotsHeld    int                     // number of open
	wasUsable    bool
	lastUsableAt time.Duration // when the agent was last usable
	slowStartAt  time.Duration // start of the slow start
	successes    int           // since rampFrom
	refusals     int
	backoffUntil time.Duration
}

// usable reports whether the agent may be sent new work at all.
func (c *Core) usable(a *agent) bool {
	return a.linked && a.hasClock && a.healthy && !a.leaving &&
		c.now-a.statusAt <= heartbeatMaxAge && !c.zonesOut[a.zone]
}

// canAccept reports whether the agent takes one more attempt now.
func (c *Core) canAccept(a *agent) bool {
	return a.slotsHeld < a.slots && c.now >= a.backoffUntil && a.slotsHeld < c.attemptLimit(a) && c.usable(a)
}

// slotShare is the part of the agent's slots that this entry may use: what the
// others leave, and at least an equal slotShare.
func (c *Core) slotShare(a *agent) int {
	equal := (a.slots + c.entries - 1) / c.entries
	return min(a.slots, max(a.slots-a.othersInUse, equal))
}

// attemptLimit is the share, held back during the slow start.
func (c *Core) attemptLimit(a *agent) int {
	slowStart := slowStartLimit + a.successes + int((c.now-a.slowStartAt)/slowStartInterval)
	return min(c.slotShare(a), slowStart)
}

// backOff makes a pause after the agent's refusal of an attempt.
func (c *Core) backOff(a *agent) {
	pause := maxRefusalBackoff
	if a.refusals < 6 {
		pause = min(pause, refusalBackoff<<a.refusals)
	}
	a.refusals++
	a.backoffUntil = c.now + pause
}

// openAttempts returns the open openAttempts in the order of their making.
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

// updateUsable reports whether the agent is usable. One that was not for some
// time, such as after its zone was out, starts slowly again.
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

// checkAgents finds agents that have gone silent, and forgets old ones.
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

// isSilent reports whether the agent has been isSilent, or without a link, for too
// long.
func (c *Core) isSilent(a *agent) bool {
	if !a.linked {
		return c.now-a.linkChangedAt > relinkGrace
	}
	return c.now-max(a.statusAt, a.linkChangedAt, c.resumedAt) > suspicionTimeout
}
