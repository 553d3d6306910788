package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Core decides where the requests of one entry run. It is not safe for
// concurrent use. Its state is bounded: Config limits the number of requests and
// agents, requests, attempts and timers are removed at or soon after the
// deadline, agents are removed some time after their last link, and a result that
// no request waits for is acknowledged and not kept.
type Core struct {
	cfg         Config
	now         time.Duration
	actions     []Action
	entries     int
	resumedAt   time.Duration // end of the entry's last pause
	draining    bool
	permitFresh bool          // Fresh of the last Permit
	permitAt    time.Duration // time of the last Permit
	freshAt     time.Duration // time of the last Permit with Fresh set
	zonesOut    map[string]bool

	requests    map[string]*request
	attempts    map[attemptRef]*attempt
	followers   map[attemptRef][]*request
	agents      map[string]*agent
	services    map[string]*service
	serviceList []*service // by name
	timers      timers
	budget      retryBudget
	breaker     circuitBreaker
	seq         uint64
}

// New returns a core without agents. It starts no attempts before the first
// Permit with Fresh set.
func New(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:       cfg,
		entries:   cfg.Entries,
		freshAt:   startupGrace - unservableTimeout,
		requests:  map[string]*request{},
		attempts:  map[attemptRef]*attempt{},
		followers: map[attemptRef][]*request{},
		agents:    map[string]*agent{},
		services:  map[string]*service{},
		budget:    newRetryBudget(cfg.RetryFraction, cfg.RetryBurst),
	}
}

// Step handles one event and the timers that are due at the given time since the
// entry's start. It returns the actions to carry out, in order.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.detectPause(now)
	c.now = max(c.now, now)
	c.actions = nil
	c.handle(ev)
	for t := c.timers.popDue(c.now); t != nil; t = c.timers.popDue(c.now) {
		t.run()
	}
	for _, s := range c.serviceList {
		c.refreshCapacity(s)
		c.dispatch(s)
	}
	return c.actions
}

// detectPause notes that the entry's process has been paused. Heartbeats that
// arrived during the pause are read only after it, so the pause must not count as
// silence of the agents.
func (c *Core) detectPause(now time.Duration) {
	if now-c.now > pauseThreshold {
		c.resumedAt = now
	}
}

// Idle reports whether no request is open.
func (c *Core) Idle() bool { return len(c.requests) == 0 }

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		c.submit(e.Request)
	case CallerGone:
		c.handleCallerGone(e)
	case AgentUp:
		c.handleAgentUp(e)
	case AgentDown:
		c.handleAgentDown(e)
	case AgentStatus:
		c.handleAgentStatus(e)
	case Result:
		c.handleResult(e)
	case ClaimReply:
		c.handleClaimReply(e)
	case Permit:
		c.handlePermit(e)
	case Peers:
		c.entries = max(1, e.Entries)
		c.markServicesStale()
	case Tick:
		c.handleTick()
	case Drain:
		c.draining = true
	}
}

func (c *Core) handlePermit(e Permit) {
	zonesUnchanged := maps.Equal(c.zonesOut, e.ZonesOut)
	c.permitFresh = e.Fresh
	c.permitAt = c.now
	c.zonesOut = e.ZonesOut
	if e.Fresh {
		c.freshAt = c.now
	}
	if !zonesUnchanged {
		c.markServicesStale()
	}
}

// markServicesStale makes the capacity of all services be computed again.
func (c *Core) markServicesStale() {
	for _, s := range c.serviceList {
		s.needsRefresh = true
	}
}

// configFresh reports whether the configuration is fresh enough to start work. The
// last Permit lapses after PermitMaxAge, so after a pause of the process nothing
// starts before the next one.
func (c *Core) configFresh() bool { return c.permitFresh && c.now-c.permitAt <= PermitMaxAge }

func (c *Core) handleTick() {
	c.checkAgents()
	for _, s := range c.serviceList {
		c.refreshCapacity(s)
		c.refuseUnservable(s)
	}
	c.dropEmptyServices()
}

// dropEmptyServices forgets services without agents and open requests.
func (c *Core) dropEmptyServices() {
	c.serviceList = slices.DeleteFunc(c.serviceList, func(s *service) bool {
		empty := len(s.agents) == 0 && s.openRequests == 0
		if empty {
			delete(c.services, s.name)
		}
		return empty
	})
}

// refuseUnservable ends the queued requests of a service that has been unservable
// for unservableTimeout, except those with an attempt that may still bring a
// result.
func (c *Core) refuseUnservable(s *service) {
	reason := c.unservableReason(s)
	if reason == "" || s.queue.length == 0 {
		return
	}
	for _, r := range c.queuedRequests(s) {
		if !r.mayHaveRun() {
			c.giveUp(r, reason, unservableDetail(reason, s.name), unservableTimeout)
		}
	}
}

// unservableReason returns why no request of the service has been able to start
// for unservableTimeout, or "".
func (c *Core) unservableReason(s *service) Reason {
	switch {
	case !c.configFresh() && c.now-c.freshAt > unservableTimeout:
		return ReasonConfigNotFresh
	case c.now-s.lastUsableAt > unservableTimeout:
		return ReasonNoEndpoint
	default:
		return ""
	}
}

// queuedRequests returns the queued requests of a service in order of submission.
func (c *Core) queuedRequests(s *service) []*request {
	var out []*request
	for _, f := range s.queue.active {
		for e := f.items.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*request))
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}
