package plan

import (
	"cmp"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
)

// With feature.ClaimHeadroom, victims are chosen worker by worker: a task needs the
// room of one worker, so units that are spread over the fleet make room for none.

// victimRule determines which units may be stopped.
type victimRule int

const (
	// ruleSparing spares units that were stopped headroom.FewStops times, and workers
	// where a claim of another job waits.
	ruleSparing victimRule = iota
	// ruleAny allows all evictable units. It applies where ruleSparing finds no room.
	ruleAny
)

// cheapestClaim returns the plan that makes room for a unit within a guarantee at the
// least cost, or nil. groups are the groups over which the unit may be spread.
func (c *Core) cheapestClaim(u *unit, groups []workerGroup) *evictionPlan {
	for _, rule := range []victimRule{ruleSparing, ruleAny} {
		var best *evictionPlan
		for _, g := range groups {
			if p := c.planClaim(u, g, rule); p != nil && (best == nil || p.cost < best.cost) {
				best = p
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// claimSearch looks for victims in a group.
type claimSearch struct {
	trial   *evictionTrial
	victims [][]victim // by candidate, the cheapest per core first
	evicted map[*unit]bool
	order   []victim // evicted, in order
	offers  []offer  // by candidate
}

// offer is the cheapest way to make room for more tasks on one candidate.
type offer struct {
	valid       bool
	victims     []victim
	costPerTask float64
}

// planClaim finds victims within a group, or returns nil if they do not make room.
func (c *Core) planClaim(u *unit, g workerGroup, rule victimRule) *evictionPlan {
	trial := c.newEvictionTrial(u, g)
	s := &claimSearch{trial: trial, evicted: map[*unit]bool{}, victims: make([][]victim, len(g.candidates)), offers: make([]offer, len(g.candidates))}
	for _, v := range c.evictableUnits(u, g, ReasonReclaimed, trial) {
		if rule == ruleSparing && c.sparedFor(u, v) {
			continue
		}
		trial.forEachCandidate(v.unit, func(i int) {
			if n := len(s.victims[i]); n == 0 || s.victims[i][n-1].unit != v.unit {
				s.victims[i] = append(s.victims[i], v)
			}
		})
	}
	for i := range s.victims {
		slices.SortStableFunc(s.victims[i], func(a, b victim) int { return cmp.Compare(a.costPerCore, b.costPerCore) })
	}
	for !trial.fits() {
		if !s.takeBestOffer() {
			return nil
		}
	}
	return s.plan()
}

// sparedFor reports whether ruleSparing excludes a unit as a victim.
func (c *Core) sparedFor(u *unit, v victim) bool {
	if v.unit.stops >= headroom.FewStops {
		return true
	}
	for _, m := range v.unit.members {
		if !m.ended && c.claimedByOther(m.worker, u.job) {
			return true
		}
	}
	return false
}

// claimedByOther reports whether a claim of another job waits on a worker.
func (c *Core) claimedByOther(w *worker, j *job) bool {
	own := graph.Resources{}
	for _, o := range j.units {
		if o.claim != nil {
			own = own.Add(o.claim.needs[w])
		}
	}
	return w.claimed != own
}

// takeBestOffer evicts the victims of the cheapest offer. It returns false if there
// is none.
func (s *claimSearch) takeBestOffer() bool {
	best := -1
	for i := range s.offers {
		if !s.offers[i].valid {
			s.offers[i] = s.offerOf(i)
		}
		if o := &s.offers[i]; len(o.victims) > 0 && (best < 0 || o.costPerTask < s.offers[best].costPerTask) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	for _, v := range s.offers[best].victims {
		s.trial.evict(v.unit)
		s.evicted[v.unit] = true
		s.order = append(s.order, v)
		s.trial.forEachCandidate(v.unit, func(i int) { s.offers[i].valid = false })
	}
	return true
}

// offerOf returns the cheapest way to make room for more tasks on a candidate.
func (s *claimSearch) offerOf(i int) offer {
	room := s.trial.room
	at := room.candidates[i]
	before := tasksThatFitBeside(at, room.step, room.perWorker)
	var chosen []victim
	after := before
	for _, v := range s.victims[i] {
		if s.evicted[v.unit] {
			continue
		}
		at.available = at.available.Add(s.needsOn(v.unit, i))
		chosen = append(chosen, v)
		if after = tasksThatFitBeside(at, room.step, room.perWorker); after > before {
			break
		}
	}
	if after <= before {
		return offer{valid: true}
	}
	o := offer{valid: true}
	cost := 0.0
	for k := len(chosen) - 1; k >= 0; k-- {
		v := chosen[k]
		without := at
		without.available = at.available.Sub(s.needsOn(v.unit, i))
		if n := tasksThatFitBeside(without, room.step, room.perWorker); n > before {
			at = without
			continue
		}
		o.victims = append(o.victims, v)
		cost += v.cost
	}
	o.costPerTask = cost / float64(min(after-before, s.trial.unit.taskCount-room.total))
	return o
}

// needsOn returns the resources that a unit uses on a candidate.
func (s *claimSearch) needsOn(u *unit, i int) graph.Resources {
	var sum graph.Resources
	for _, m := range u.members {
		if !m.ended && m.worker == s.trial.room.candidates[i].worker {
			sum = sum.Add(u.step.Needs)
		}
	}
	return sum
}

// plan returns the placement and the victims, without those that are not needed.
func (s *claimSearch) plan() *evictionPlan {
	p := &evictionPlan{}
	slices.SortStableFunc(s.order, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	for i := len(s.order) - 1; i >= 0; i-- {
		v := s.order[i]
		s.trial.restore(v.unit)
		if s.trial.fits() {
			continue
		}
		s.trial.evict(v.unit)
		p.victims = append(p.victims, v.unit)
		p.loss += v.loss
		p.cost += v.cost
	}
	slices.Reverse(p.victims)
	p.allocs = s.trial.allocate()
	return p
}

// victimCost returns the cost of stopping a unit of the given loss.
func (c *Core) victimCost(u *unit, loss float64) float64 {
	held := u.step.Needs.Cores() * float64(len(u.members))
	return headroom.Victim{Loss: loss, Cores: held, Runs: len(u.members), Stops: u.stops}.Cost(c.cfg.StopTime)
}
