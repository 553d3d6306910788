package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

const (
	// zoneSteps is in how many steps the racks of a returning zone are opened.
	zoneSteps = 4
	// zoneStepInterval is the time between two steps.
	zoneStepInterval = 5 * time.Second
	// moveBatch is how many gangs are moved out of zones per tick.
	moveBatch = 16
)

// zoneReturn is the state of a zone that comes back by steps.
type zoneReturn struct{ step int }

func (c *Core) configured(config *api.Config) {
	if config == nil || (c.config != nil && config.Version < c.config.Version) {
		return
	}
	first := c.config == nil
	c.config = config
	for _, zone := range c.fleet.Zones() {
		c.configureZone(zone, first)
	}
	c.reviewAccounts()
	c.configureSlots()
}

func (c *Core) configureZone(zone string, first bool) {
	out := c.config.ZoneOut(zone)
	var changed []*worker
	for _, r := range c.fleet.Racks(zone) {
		for _, fw := range r.Workers {
			if fw.ZoneOut != out {
				changed = append(changed, c.workers[fw.Name])
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	if out {
		c.takeOut(zone, changed)
		return
	}
	if !first {
		c.emitNotice(nil, "", ReasonZoneReturning, zone)
		c.reopeningZones[zone] = &zoneReturn{}
	}
	for _, w := range changed {
		c.update(w, func(f *fleet.Worker) {
			f.ZoneOut = false
			f.AwaitingReopen = !first
		})
	}
	c.guaranteesDirty = true
	if !first {
		c.zoneStep(zone, c.reopeningZones[zone])
	}
}

func (c *Core) takeOut(zone string, workers []*worker) {
	c.emitNotice(nil, "", ReasonZoneOut, zone)
	delete(c.reopeningZones, zone)
	for _, w := range workers {
		c.update(w, func(f *fleet.Worker) {
			f.ZoneOut = true
			f.AwaitingReopen = false
		})
	}
	c.guaranteesDirty = true
	for _, w := range workers {
		c.vacate(w)
	}
}

// vacate ends everything on a worker that has not started and moves what runs.
func (c *Core) vacate(w *worker) {
	why := leaveReason(w)
	c.guaranteesDirty = true
	c.dropClaimsOn(w)
	for _, g := range slices.Clone(w.groups) {
		if g.detached {
			continue
		}
		switch g.job.phase {
		case phaseHolding:
			c.preempt(g.job, 0, why)
		case phaseSaving:
			c.abortSaving(g.job, string(why))
		case phaseRunning:
			c.moveLater(g.job)
		}
	}
}

func leaveReason(w *worker) Reason {
	if w.ZoneOut {
		return ReasonZoneOut
	}
	return ReasonWorkerLeaving
}

// moveIfOut moves a job that was taken over in a zone that is out.
func (c *Core) moveIfOut(j *job) {
	if j.leaves() != nil {
		c.moveLater(j)
	}
}

// leaves returns a worker of the job that it has to leave, or nil.
func (j *job) leaves() *worker {
	for _, g := range j.groups {
		if g.live() && (g.worker.ZoneOut || g.worker.Leaving) {
			return g.worker
		}
	}
	return nil
}

// moveLater notes a job that has to leave its workers. A job that can not
// resume from a checkpoint runs to its end: stopping it would lose its work.
func (c *Core) moveLater(j *job) {
	if !j.restartable() || !j.rec.Job.Checkpointable || j.movePending {
		return
	}
	j.movePending = true
	c.pendingMoves = append(c.pendingMoves, j)
}

// moveFromOutZones moves the next jobs, those within guarantees first.
func (c *Core) moveFromOutZones() {
	if len(c.pendingMoves) == 0 || !c.ownership.Owner {
		return
	}
	slices.SortStableFunc(c.pendingMoves, func(a, b *job) int {
		return cmp.Or(cmp.Compare(c.moveRank(a), c.moveRank(b)), cmp.Compare(a.id(), b.id()))
	})
	moved := 0
	for len(c.pendingMoves) > 0 && moved < moveBatch {
		j := c.pendingMoves[0]
		c.pendingMoves = c.pendingMoves[1:]
		j.movePending = false
		w := j.leaves()
		if j.phase != phaseRunning || j.adopting || w == nil {
			continue
		}
		c.emitNotice(j, "", leaveReason(w), "")
		c.endAttempt(j, checkpointGrace(j), leaveReason(w))
		moved++
	}
}

func (c *Core) moveRank(j *job) int {
	switch {
	case j.reservation != nil || len(c.guaranteesOf[j.rec.Job.Profile]) > 0:
		return rankGuaranteed
	case c.config.Profiles[j.rec.Job.Profile].Urgent:
		return rankUrgent
	}
	return rankOther
}

// zoneStep opens the next part of a returning zone's racks.
func (c *Core) zoneStep(zone string, ret *zoneReturn) {
	if c.reopeningZones[zone] != ret {
		return
	}
	ret.step++
	racks := c.fleet.Racks(zone)
	for i := range c.openRacks(zone) {
		for _, w := range racks[i].Workers {
			if w.AwaitingReopen {
				c.update(c.workers[w.Name], func(f *fleet.Worker) { f.AwaitingReopen = false })
			}
		}
	}
	if ret.step >= zoneSteps {
		delete(c.reopeningZones, zone)
		return
	}
	c.after(zoneStepInterval, func() { c.zoneStep(zone, ret) })
}

// openRacks is how many racks of a zone are open.
func (c *Core) openRacks(zone string) int {
	n := len(c.fleet.Racks(zone))
	ret := c.reopeningZones[zone]
	if ret == nil {
		return n
	}
	return (n*ret.step + zoneSteps - 1) / zoneSteps
}

// stepping reports whether a worker's rack waits for a later step of its zone.
func (c *Core) stepping(w *fleet.Worker) bool {
	if c.reopeningZones[w.Zone] == nil || w.ZoneOut {
		return false
	}
	return slices.Index(c.fleet.Racks(w.Zone), w.Rack) >= c.openRacks(w.Zone)
}
