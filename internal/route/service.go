package route

import (
	"cmp"
	"slices"
	"time"
)

// service holds the agents and the queued requests of one service.
type service struct {
	name         string
	agents       []*agent // by name
	queue        fairQueue
	openRequests int // requests that are queued or in progress
	times        serviceTimes
	capacity     int           // slots that this entry may use
	busy         int           // attempts that may occupy one of them
	lastUsableAt time.Duration // last time at which some agent was usable
	needsRefresh bool          // capacity and busy must be computed again
	noFreeAgent  bool          // no agent could accept an attempt, and no slot or agent has changed since
}

// ensureService returns the service with the given name and creates it if needed.
func (c *Core) ensureService(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, queue: newFairQueue(), lastUsableAt: startupGrace - unservableTimeout}
		c.services[name] = s
		i, _ := slices.BinarySearchFunc(c.serviceList, name, func(s *service, n string) int { return cmp.Compare(s.name, n) })
		c.serviceList = slices.Insert(c.serviceList, i, s)
	}
	return s
}

func (s *service) findAgent(a *agent) (int, bool) {
	return slices.BinarySearchFunc(s.agents, a.name, func(x *agent, n string) int { return cmp.Compare(x.name, n) })
}

func (s *service) addAgent(a *agent) {
	i, _ := s.findAgent(a)
	s.agents = slices.Insert(s.agents, i, a)
}

func (s *service) removeAgent(a *agent) {
	if i, ok := s.findAgent(a); ok {
		s.agents = slices.Delete(s.agents, i, i+1)
	}
}

// refreshCapacity computes the capacity and the busy slots of a service again
// after a change of its agents.
func (c *Core) refreshCapacity(s *service) {
	if !s.needsRefresh {
		return
	}
	s.needsRefresh = false
	s.noFreeAgent = false
	s.capacity = 0
	s.busy = 0
	for _, a := range s.agents {
		if !c.updateUsable(a) {
			continue
		}
		s.capacity += c.slotShare(a)
		s.busy += a.slotsHeld
	}
	if s.capacity > 0 {
		s.lastUsableAt = c.now
	}
}

// pickAgent returns the least loaded agent that can accept one more attempt, or
// nil. The search begins at an index given by the request's hash, so that requests
// spread over equally loaded agents. The agent that refused the request last is
// returned only if there is no other.
func (c *Core) pickAgent(s *service, r *request) *agent {
	var best *agent
	var fallback *agent
	n := len(s.agents)
	for i, index := 0, s.firstIndex(r); i < n; i++ {
		a := s.agents[index]
		if index++; index == n {
			index = 0
		}
		if !c.canAccept(a) {
			continue
		}
		if a == r.lastRefusedBy {
			fallback = a
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
		return fallback
	}
	return best
}

// firstIndex returns the index of the agent at which the search for a request
// begins.
func (s *service) firstIndex(r *request) int {
	if len(s.agents) == 0 {
		return 0
	}
	return int(mixBits(r.hash) % uint64(len(s.agents)))
}

func (a *agent) load() int { return a.slotsHeld + a.othersInUse }

func (a *agent) lessLoaded(b *agent) bool { return a.load()*b.slots < b.load()*a.slots }

// dispatch starts queued requests while agents accept them.
func (c *Core) dispatch(s *service) {
	if !c.configFresh() || s.noFreeAgent {
		return
	}
	for r := s.queue.peek(); r != nil; r = s.queue.peek() {
		a := c.pickAgent(s, r)
		if a == nil {
			s.noFreeAgent = true
			return
		}
		if r.needsClaim() && !c.breaker.allow(c.now) {
			c.giveUp(r, ReasonStoreUnavailable, claimsRefusedDetail, breakerPause)
			continue
		}
		s.queue.dequeue(cost(r.flow, s))
		c.startAttempt(r, a)
	}
}

// hashString returns the 64-bit FNV-1a hash of s.
func hashString(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}

// mixBits spreads the bits of x over the whole word (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
