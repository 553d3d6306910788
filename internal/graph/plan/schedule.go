package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// maxReservations bounds the waiting units for which room is set aside.
	maxReservations = 4
	// lateFactor times the objective is the time after which a job earns
	// nothing any more.
	lateFactor = 3
	// overrun is what a run is expected to take beyond an estimate that has
	// turned out too low, as a part of the estimate.
	overrun = 4
)

// books is what is set aside in the worker's rooms beside what runs.
type books struct {
	claims   []*claim
	reserved []*reservation // of this pass
	// full holds the kinds of units that have found no place in this pass. Room
	// only shrinks within a pass, unless a claim is dropped.
	full map[kind]bool
	// entitled is the result of Core.entitled in this pass.
	entitled map[*job]bool
}

// kind is what the places of a unit depend on, besides the workers it avoids.
type kind struct {
	spec    *graph.Step
	lastTry bool
}

// schedule places what can be placed.
func (c *Core) schedule() {
	if c.policy == nil || !c.hearing(placeDelay) {
		return
	}
	c.books.reserved = nil
	c.books.full = map[kind]bool{}
	c.books.entitled = c.entitled()
	for _, u := range c.waiting(c.books.entitled) {
		c.place(u, c.books.entitled[u.job])
	}
}

// waiting returns the units that could start now, in the order in which they
// are served.
func (c *Core) waiting(entitled map[*job]bool) []*unit {
	var out []*unit
	for _, j := range c.live {
		for _, u := range j.units {
			if u.phase == unitWaiting && u.notBefore <= c.now && u.ready() {
				out = append(out, u)
			}
		}
	}
	ranks := map[*job]int{}
	for _, u := range out {
		ranks[u.job] = c.rank(u.job, entitled[u.job])
	}
	slices.SortStableFunc(out, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(ranks[a.job], ranks[b.job]), cmp.Compare(c.due(a.job), c.due(b.job)))
	})
	return out
}

// rank orders jobs: those within a guarantee, then by priority, then those
// that are too late to be of use.
func (c *Core) rank(j *job, entitled bool) int {
	switch {
	case entitled:
		return -1
	case c.now > j.arrived+lateFactor*j.Objective():
		return 1 << 20
	default:
		return j.Priority
	}
}

// due is when a job should be completed.
func (c *Core) due(j *job) time.Duration { return j.arrived + j.Objective() }

// entitled returns the jobs of priority 0 that lie within their account's
// guarantee, the oldest first.
func (c *Core) entitled() map[*job]bool {
	out := map[*job]bool{}
	left := map[string]int{}
	for _, j := range c.live {
		if j.Priority != 0 {
			continue
		}
		if _, ok := left[j.Account]; !ok {
			left[j.Account] = c.policy.GuaranteedAccelerators(j.Account)
		}
		if need := j.accelerators(); need <= left[j.Account] {
			left[j.Account] -= need
			out[j] = true
		}
	}
	return out
}

// accelerators returns the most that a step of the job needs at once.
func (j *job) accelerators() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].TotalNeeds().Accelerators)
	}
	return most
}

// place places a unit, or claims room for it, or sets room aside.
func (c *Core) place(u *unit, entitled bool) {
	if u.claim != nil {
		c.useClaim(u)
		return
	}
	if parts := c.findPlace(u); parts != nil {
		c.begin(u, parts)
		return
	}
	if entitled && c.claimRoom(u, math.Inf(1), ReasonReclaimed) {
		c.useClaim(u)
		return
	}
	if soonest := c.reserve(u); soonest != nil && c.preempt(u, soonest.at) {
		c.useClaim(u)
	}
}

// findPlace returns where a unit fits now, nil if it does not.
func (c *Core) findPlace(u *unit) []part {
	k := kind{u.spec, u.lastTry()}
	if c.books.full[k] {
		return nil
	}
	if c.mayFit(u) {
		if parts := find(u, c.sites(u), !c.rackCouldHold(u)); parts != nil {
			return parts
		}
	}
	if len(u.avoid) == 0 {
		c.books.full[k] = true
	}
	return nil
}

// mayFit reports whether the workers have room for a unit if nothing is set
// aside and all of them may be used; most passes of a busy fleet end here.
func (c *Core) mayFit(u *unit) bool {
	n := 0
	for _, w := range c.ordered {
		n += count(w.free(), u.spec)
		if n >= u.tasks {
			return true
		}
	}
	return false
}

// rackCouldHold reports whether some rack could hold a gang if it were empty.
func (c *Core) rackCouldHold(u *unit) bool {
	if !u.spec.SameRack {
		return true
	}
	var sites []site
	for _, w := range c.ordered {
		if c.usable(w, u) {
			sites = append(sites, site{w, w.info.Capacity})
		}
	}
	return find(u, sites, false) != nil
}

// begin binds a unit to its place. The starts follow once that is in the table.
func (c *Core) begin(u *unit, parts []part) {
	u.phase = unitPlaced
	u.run = c.nextRun()
	u.done, u.failed, u.ending = false, false, false
	i := 0
	for _, p := range parts {
		for range p.tasks {
			m := &member{unit: u, task: u.taskID(i), run: u.run, worker: p.worker, incarnation: p.worker.info.Incarnation()}
			u.members = append(u.members, m)
			c.occupy(m)
			c.emit(Notice{Reason: ReasonPlaced, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: p.worker.info.ID})
			i++
		}
	}
	members := u.members
	c.save(u.job, func() { c.start(u, members) })
}

// start orders the starts of a run that is in the table. If one member cannot
// start any more, none does.
func (c *Core) start(u *unit, members []*member) {
	for _, m := range members {
		if !c.startable(m) {
			c.abandon(u, members)
			return
		}
	}
	for _, m := range members {
		if w := m.worker; !m.ended {
			m.ordered = true
			m.session = w.session
			m.orderedAt, m.movedAt = c.now, c.now
			first := !u.job.begun
			u.job.begun = true
			c.emit(StartRun{Worker: w.info.ID, Incarnation: m.incarnation, Task: m.task, Run: m.run, Spec: u.job.Spec, Checkpoint: u.resume(),
				FirstOfJob: first, Guaranteed: first && c.entitled()[u.job], QueueTime: c.now - u.job.arrived})
		}
	}
}

// startable reports whether a member may still start: while its placement was
// being saved, its job, its worker or its zone may have been taken away.
func (c *Core) startable(m *member) bool {
	w := m.worker
	return !m.stopping && !m.ended && w.linked() && m.incarnation == w.info.Incarnation() &&
		!w.info.Draining && !c.policy.ZonesOut[w.info.Zone]
}

// abandon ends a run of which nothing has been ordered.
func (c *Core) abandon(u *unit, members []*member) {
	for _, m := range members {
		c.memberEnded(m, graph.EndNeverStarted, "")
	}
	c.save(u.job, nil)
}

func (u *unit) resume() string {
	if !u.spec.Checkpointable {
		return ""
	}
	return u.checkpoint
}

// reserve sets aside the place where the unit is expected to fit soonest, and
// returns it; nil if there is none or enough units have one.
func (c *Core) reserve(u *unit) *reservation {
	if len(c.books.reserved) >= maxReservations {
		return nil
	}
	var best *reservation
	for _, g := range c.groupsFor(u) {
		if r := c.soonest(u, g); r != nil && (best == nil || r.at < best.at) {
			best = r
		}
	}
	if best != nil {
		c.books.reserved = append(c.books.reserved, best)
	}
	return best
}

// groupsFor returns the sets of workers over which a unit may be spread.
func (c *Core) groupsFor(u *unit) []group {
	sites := c.sites(u)
	if u.spec.SameRack && c.rackCouldHold(u) {
		return byRack(sites)
	}
	return []group{{sites: sites}}
}

// soonest returns when a unit is expected to fit into a group, as the runs
// there end by their estimates.
func (c *Core) soonest(u *unit, g group) *reservation {
	type ending struct {
		at time.Duration
		m  *member
		i  int
	}
	var ends []ending
	for i, s := range g.sites {
		for _, m := range s.members {
			ends = append(ends, ending{c.expectedEnd(m), m, i})
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	sites := slices.Clone(g.sites)
	for _, e := range ends {
		sites[e.i].room = sites[e.i].room.Add(e.m.unit.spec.Needs)
		if parts := pack(sites, u.spec, u.tasks, nil); parts != nil {
			return &reservation{unit: u, parts: parts, at: e.at}
		}
	}
	return nil
}

// expectedEnd estimates when a member ends.
func (c *Core) expectedEnd(m *member) time.Duration {
	est := m.unit.spec.Estimate
	if !m.running {
		return c.now + est
	}
	if m.percent > 0 {
		ran := c.now - m.runningAt
		return c.now + ran*time.Duration(100-m.percent)/time.Duration(m.percent)
	}
	return max(m.runningAt+est, c.now+est/overrun)
}
