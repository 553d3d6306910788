package route

import (
	"cmp"
	"slices"
	"time"
)

// service is one service's agents and waiting requests.
type service struct {
	name     string
	agents   []*agent // by name
	queue    fairQueue
	open     int // requests that are queued or under way
	times    serviceTimes
	capacity int           // slots that this entry may use
	busy     int           // attempts that may hold one of them
	usableAt time.Duration // when an agent was last usable
	stale    bool          // the figures above have to be worked out again
	full     bool          // no agent was free, and none has changed since
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, queue: newFairQueue(), usableAt: startPatience - refusalPatience}
		c.services[name] = s
		i, _ := slices.BinarySearchFunc(c.serviceList, name, func(s *service, n string) int { return cmp.Compare(s.name, n) })
		c.serviceList = slices.Insert(c.serviceList, i, s)
	}
	return s
}

func (s *service) find(a *agent) (int, bool) {
	return slices.BinarySearchFunc(s.agents, a.name, func(x *agent, n string) int { return cmp.Compare(x.name, n) })
}

func (s *service) addAgent(a *agent) {
	i, _ := s.find(a)
	s.agents = slices.Insert(s.agents, i, a)
}

func (s *service) removeAgent(a *agent) {
	if i, ok := s.find(a); ok {
		s.agents = slices.Delete(s.agents, i, i+1)
	}
}

// refresh works out the capacity again after a change of the agents.
func (c *Core) refresh(s *service) {
	if !s.stale {
		return
	}
	s.stale = false
	s.full = false
	s.capacity = 0
	s.busy = 0
	for _, a := range s.agents {
		if !c.noteUsable(a) {
			continue
		}
		s.capacity += c.share(a)
		s.busy += a.held
	}
	if s.capacity > 0 {
		s.usableAt = c.now
	}
}

// pick returns the least loaded agent that takes one more attempt, or nil. The
// search begins at a place given by the request's hash, which spreads equal
// loads. The agent that refused the request last is taken only when there is
// no other.
func (c *Core) pick(s *service, r *request) *agent {
	var best *agent
	var second *agent
	n := len(s.agents)
	for i, at := 0, s.first(r); i < n; i++ {
		a := s.agents[at]
		if at++; at == n {
			at = 0
		}
		if !c.free(a) {
			continue
		}
		if a == r.avoid {
			second = a
			continue
		}
		if best == nil || a.lessLoaded(best) {
			best = a
		}
		if best.load() == 0 {
			break
		}
	}
	if best == nil {
		return second
	}
	return best
}

// first returns the index of the agent that a request is offered first.
func (s *service) first(r *request) int {
	if len(s.agents) == 0 {
		return 0
	}
	return int(mix(r.hash) % uint64(len(s.agents)))
}

func (a *agent) load() int { return a.held + a.others }

func (a *agent) lessLoaded(b *agent) bool { return a.load()*b.slots < b.load()*a.slots }

// dispatch starts waiting requests while agents are free.
func (c *Core) dispatch(s *service) {
	if !c.fresh() || s.full {
		return
	}
	for r := s.queue.first(); r != nil; r = s.queue.first() {
		a := c.pick(s, r)
		if a == nil {
			s.full = true
			return
		}
		if r.claims() && !c.breaker.allow(c.now) {
			c.giveUp(r, ReasonStoreUnavailable, claimsFailing, breakerPause)
			continue
		}
		s.queue.serve(cost(r.flow, s))
		c.start(r, a)
	}
}

func hashString(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
