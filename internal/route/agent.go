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

	up       bool
	changed  time.Duration // time of the last AgentUp or AgentDown
	statusAt time.Duration
	clockMS  int64
	hasClock bool
	healthy  bool
	leaving  bool
	suspect  bool
	others   int // slots in use by other entries

	open         map[ref]*attempt // attempts that may hold a slot
	held         int              // number of open
	wasUsable    bool
	usableAt     time.Duration // when the agent was last usable
	rampFrom     time.Duration // start of the slow start
	successes    int           // since rampFrom
	refusals     int
	blockedUntil time.Duration
}

// usable reports whether the agent may be sent new work at all.
func (c *Core) usable(a *agent) bool {
	return a.up && a.hasClock && a.healthy && !a.leaving &&
		c.now-a.statusAt <= stampMaxAge && !c.zonesOut[a.zone]
}

// free reports whether the agent takes one more attempt now.
func (c *Core) free(a *agent) bool {
	return a.held < a.slots && c.now >= a.blockedUntil && a.held < c.limit(a) && c.usable(a)
}

// share is the part of the agent's slots that this entry may use: what the
// others leave, and at least an equal share.
func (c *Core) share(a *agent) int {
	equal := (a.slots + c.entries - 1) / c.entries
	return min(a.slots, max(a.slots-a.others, equal))
}

// limit is the share, held back during the slow start.
func (c *Core) limit(a *agent) int {
	ramp := rampStart + a.successes + int((c.now-a.rampFrom)/rampInterval)
	return min(c.share(a), ramp)
}

// refused makes a pause after the agent's refusal of an attempt.
func (c *Core) refused(a *agent) {
	pause := maxRefusalBackoff
	if a.refusals < 6 {
		pause = min(pause, refusalBackoff<<a.refusals)
	}
	a.refusals++
	a.blockedUntil = c.now + pause
}

// attempts returns the open attempts in the order of their making.
func (a *agent) attempts() []*attempt {
	out := make([]*attempt, 0, a.held)
	for _, at := range a.open {
		out = append(out, at)
	}
	slices.SortFunc(out, func(x, y *attempt) int { return cmp.Compare(x.seq, y.seq) })
	return out
}

func (c *Core) agentUp(e AgentUp) {
	a := c.agents[e.Agent]
	if a == nil {
		if len(c.agents) >= c.cfg.MaxAgents {
			return
		}
		a = &agent{name: e.Agent, open: map[ref]*attempt{}}
		c.agents[e.Agent] = a
	}
	fresh := a.incarnation != e.Incarnation
	c.moveAgent(a, c.service(e.Service))
	a.incarnation = e.Incarnation
	a.zone = e.Zone
	a.slots = max(1, e.Slots)
	a.up = true
	a.changed = c.now
	a.suspect = false
	a.hasClock = false
	if fresh {
		a.resetLoad(c.now)
		c.loseIncarnation(a)
	} else {
		c.askOutcomes(a)
	}
	c.resumeFollowers(a)
	a.service.stale = true
}

func (a *agent) resetLoad(now time.Duration) {
	a.startRamp(now)
	a.refusals = 0
	a.blockedUntil = 0
	a.others = 0
}

func (a *agent) startRamp(now time.Duration) {
	a.rampFrom = now
	a.successes = 0
}

// noteUsable reports whether the agent is usable. One that was not for some
// time, such as after its zone was out, starts slowly again.
func (c *Core) noteUsable(a *agent) bool {
	usable := c.usable(a)
	if usable && !a.wasUsable && c.now-a.usableAt > rampAfter {
		a.startRamp(c.now)
	}
	a.wasUsable = usable
	if usable {
		a.usableAt = c.now
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

func (c *Core) agentDown(e AgentDown) {
	a := c.agents[e.Agent]
	if a == nil || !a.up {
		return
	}
	a.up = false
	a.changed = c.now
	a.service.stale = true
}

func (c *Core) agentStatus(e AgentStatus) {
	a := c.agents[e.Agent]
	if a == nil || !a.up {
		return
	}
	before := c.usable(a)
	a.statusAt = c.now
	a.clockMS = e.ClockMS
	a.hasClock = true
	a.healthy = e.Healthy
	a.leaving = e.Leaving
	a.suspect = false
	a.others = max(0, e.InUse-a.held)
	a.service.full = false
	if c.usable(a) != before {
		a.service.stale = true
	}
}

// checkAgents finds agents that have gone silent, and forgets old ones.
func (c *Core) checkAgents() {
	for _, s := range c.serviceList {
		for _, a := range slices.Clone(s.agents) {
			c.checkAgent(a)
		}
		s.stale = true
	}
}

func (c *Core) checkAgent(a *agent) {
	if !a.up && a.held == 0 && c.now-a.changed > agentKeep {
		a.service.removeAgent(a)
		delete(c.agents, a.name)
		return
	}
	if !a.suspect && c.silent(a) {
		a.suspect = true
		c.loseIdempotent(a)
	}
}

// silent reports whether the agent has been silent, or without a link, for too
// long.
func (c *Core) silent(a *agent) bool {
	if !a.up {
		return c.now-a.changed > downGrace
	}
	return c.now-max(a.statusAt, a.changed, c.resumed) > suspicionTime
}
