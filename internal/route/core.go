package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Core decides where the requests of one entry run. It is not safe for
// concurrent use. Its state is bounded by Config; requests, attempts and
// timers go with their deadline, agents some time after their last link, and a
// result that nobody waits for any more is acknowledged and not remembered.
type Core struct {
	cfg       Config
	now       time.Duration
	out       []Action
	entries   int
	resumed   time.Duration // end of the entry's last pause
	draining  bool
	permitted bool          // the last Permit said fresh
	permitAt  time.Duration // time of the last Permit
	freshAt   time.Duration // when the configuration was last fresh
	zonesOut  map[string]bool

	requests    map[string]*request
	attempts    map[ref]*attempt
	followers   map[ref][]*request
	agents      map[string]*agent
	services    map[string]*service
	serviceList []*service // by name
	timers      timers
	budget      retryBudget
	breaker     breaker
	seq         uint64
}

// New returns a core that knows no agents. Nothing starts before a Permit says
// that the configuration is fresh.
func New(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:       cfg,
		entries:   cfg.Entries,
		freshAt:   startPatience - refusalPatience,
		requests:  map[string]*request{},
		attempts:  map[ref]*attempt{},
		followers: map[ref][]*request{},
		agents:    map[string]*agent{},
		services:  map[string]*service{},
		budget:    newRetryBudget(cfg.RetryFraction, cfg.RetryBurst),
	}
}

// Step handles one event at the given time since the entry's start and returns
// the actions to carry out, in order.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.notePause(now)
	c.now = max(c.now, now)
	c.out = nil
	c.handle(ev)
	for t := c.timers.next(c.now); t != nil; t = c.timers.next(c.now) {
		t.run()
	}
	for _, s := range c.serviceList {
		c.refresh(s)
		c.dispatch(s)
	}
	return c.out
}

// notePause finds that the entry itself has been paused, so that the agents
// are not taken for silent before their heartbeats are read.
func (c *Core) notePause(now time.Duration) {
	if now-c.now > pauseGap {
		c.resumed = now
	}
}

// Idle reports whether no request is queued or under way.
func (c *Core) Idle() bool { return len(c.requests) == 0 }

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		c.submit(e.Request)
	case CallerGone:
		c.gone(e)
	case AgentUp:
		c.agentUp(e)
	case AgentDown:
		c.agentDown(e)
	case AgentStatus:
		c.agentStatus(e)
	case Result:
		c.result(e)
	case ClaimReply:
		c.claimReply(e)
	case Permit:
		c.permit(e)
	case Peers:
		c.entries = max(1, e.Entries)
		c.changed()
	case Tick:
		c.tick()
	case Drain:
		c.draining = true
	}
}

func (c *Core) permit(e Permit) {
	same := maps.Equal(c.zonesOut, e.ZonesOut)
	c.permitted = e.Fresh
	c.permitAt = c.now
	c.zonesOut = e.ZonesOut
	if e.Fresh {
		c.freshAt = c.now
	}
	if !same {
		c.changed()
	}
}

// changed notes a change that concerns the agents of all services.
func (c *Core) changed() {
	for _, s := range c.serviceList {
		s.stale = true
	}
}

// fresh reports whether the configuration is fresh enough to start work. After
// a pause of the process it is not, until the next Permit.
func (c *Core) fresh() bool { return c.permitted && c.now-c.permitAt <= PermitMaxAge }

func (c *Core) tick() {
	c.checkAgents()
	for _, s := range c.serviceList {
		c.refresh(s)
		c.refuseUnservable(s)
	}
	c.dropEmptyServices()
}

// dropEmptyServices forgets services without agents and open requests.
func (c *Core) dropEmptyServices() {
	c.serviceList = slices.DeleteFunc(c.serviceList, func(s *service) bool {
		empty := len(s.agents) == 0 && s.open == 0
		if empty {
			delete(c.services, s.name)
		}
		return empty
	})
}

// refuseUnservable ends the waiting requests of a service that has not been
// able to start anything for some time.
func (c *Core) refuseUnservable(s *service) {
	reason := c.unservable(s)
	if reason == "" || s.queue.length == 0 {
		return
	}
	for _, r := range c.waiting(s) {
		if !r.doubtful() {
			c.giveUp(r, reason, unservableDetail(reason, s.name), refusalPatience)
		}
	}
}

// unservable returns why nothing of the service can start, or "".
func (c *Core) unservable(s *service) Reason {
	switch {
	case !c.fresh() && c.now-c.freshAt > refusalPatience:
		return ReasonConfigNotFresh
	case c.now-s.usableAt > refusalPatience:
		return ReasonNoEndpoint
	default:
		return ""
	}
}

func (c *Core) waiting(s *service) []*request {
	var out []*request
	for _, f := range s.queue.active {
		for e := f.items.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*request))
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}
