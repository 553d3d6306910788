package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

const (
	// zoneReopenSteps is the number of steps in which the racks of a zone reopen.
	zoneReopenSteps = 4
	// zoneReopenInterval is the time between two steps.
	zoneReopenInterval = 5 * time.Second
	// movesPerTick is the number of gangs that are moved per tick.
	movesPerTick = 16
)

// zoneReopening is the progress of a zone that reopens in steps.
type zoneReopening struct{ step int }

func (c *Core) handleConfigUpdate(config *api.Config) {
	if config == nil || (c.config != nil && config.Version < c.config.Version) {
		return
	}
	first := c.config == nil
	c.config = config
	for _, zone := range c.fleet.Zones() {
		c.configureZone(zone, first)
	}
	c.refreshAccounts()
	c.configureGuarantees()
}

func (c *Core) configureZone(zone string, first bool) {
	out := c.config.ZoneOut(zone)
	var changed []*worker
	for _, r := range c.fleet.Racks(zone) {
		for _, fleetWorker := range r.Workers {
			if fleetWorker.ZoneOut != out {
				changed = append(changed, c.workers[fleetWorker.Name])
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	if out {
		c.takeZoneOut(zone, changed)
		return
	}
	if !first {
		c.emitNotice(nil, "", ReasonZoneReturning, zone)
		c.reopeningZones[zone] = &zoneReopening{}
	}
	for _, w := range changed {
		c.updateWorker(w, func(f *fleet.Worker) {
			f.ZoneOut = false
			f.AwaitingReopen = !first
		})
	}
	c.guaranteesDirty = true
	if !first {
		c.reopenNextRacks(zone, c.reopeningZones[zone])
	}
}

func (c *Core) takeZoneOut(zone string, workers []*worker) {
	c.emitNotice(nil, "", ReasonZoneOut, zone)
	delete(c.reopeningZones, zone)
	for _, w := range workers {
		c.updateWorker(w, func(f *fleet.Worker) {
			f.ZoneOut = true
			f.AwaitingReopen = false
		})
	}
	c.guaranteesDirty = true
	for _, w := range workers {
		c.vacateWorker(w)
	}
}

// vacateWorker ends everything on a worker that has not started and moves running
// jobs.
func (c *Core) vacateWorker(w *worker) {
	reason := leaveReason(w)
	c.guaranteesDirty = true
	c.dropWorkerClaims(w)
	for _, g := range slices.Clone(w.groups) {
		if g.detached {
			continue
		}
		switch g.job.phase {
		case phaseHolding:
			c.preempt(g.job, 0, reason)
		case phaseSaving:
			c.abortSaving(g.job, string(reason))
		case phaseRunning:
			c.addPendingMove(g.job)
		}
	}
}

func leaveReason(w *worker) Reason {
	if w.ZoneOut {
		return ReasonZoneOut
	}
	return ReasonWorkerLeaving
}

// moveIfWorkerLeaves moves an adopted job that runs in a zone that is out or on a
// worker that is leaving.
func (c *Core) moveIfWorkerLeaves(j *job) {
	if j.workerToLeave() != nil {
		c.addPendingMove(j)
	}
}

// workerToLeave returns a worker that the job has to leave, or nil.
func (j *job) workerToLeave() *worker {
	for _, g := range j.groups {
		if g.live() && (g.worker.ZoneOut || g.worker.Leaving) {
			return g.worker
		}
	}
	return nil
}

// addPendingMove records a job that has to leave its workers. A job that cannot
// resume from a checkpoint runs to its end, because stopping it would lose its
// work.
func (c *Core) addPendingMove(j *job) {
	if !j.restartable() || !j.rec.Job.Checkpointable || j.movePending {
		return
	}
	j.movePending = true
	c.pendingMoves = append(c.pendingMoves, j)
}

// movePendingJobs moves the next pending jobs, those within guarantees first.
func (c *Core) movePendingJobs() {
	if len(c.pendingMoves) == 0 || !c.ownerStatus.Owner {
		return
	}
	slices.SortStableFunc(c.pendingMoves, func(a, b *job) int {
		return cmp.Or(cmp.Compare(c.moveRank(a), c.moveRank(b)), cmp.Compare(a.id(), b.id()))
	})
	moved := 0
	for len(c.pendingMoves) > 0 && moved < movesPerTick {
		j := c.pendingMoves[0]
		c.pendingMoves = c.pendingMoves[1:]
		j.movePending = false
		w := j.workerToLeave()
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

// reopenNextRacks reopens the next racks of a zone.
func (c *Core) reopenNextRacks(zone string, reopening *zoneReopening) {
	if c.reopeningZones[zone] != reopening {
		return
	}
	reopening.step++
	racks := c.fleet.Racks(zone)
	for i := range c.openRackCount(zone) {
		for _, w := range racks[i].Workers {
			if w.AwaitingReopen {
				c.updateWorker(c.workers[w.Name], func(f *fleet.Worker) { f.AwaitingReopen = false })
			}
		}
	}
	if reopening.step >= zoneReopenSteps {
		delete(c.reopeningZones, zone)
		return
	}
	c.after(zoneReopenInterval, func() { c.reopenNextRacks(zone, reopening) })
}

// openRackCount returns the number of racks of a zone that are open.
func (c *Core) openRackCount(zone string) int {
	n := len(c.fleet.Racks(zone))
	reopening := c.reopeningZones[zone]
	if reopening == nil {
		return n
	}
	return (n*reopening.step + zoneReopenSteps - 1) / zoneReopenSteps
}

// awaitsReopen reports whether a worker's rack reopens in a later step of its zone.
func (c *Core) awaitsReopen(w *fleet.Worker) bool {
	if c.reopeningZones[w.Zone] == nil || w.ZoneOut {
		return false
	}
	return slices.Index(c.fleet.Racks(w.Zone), w.Rack) >= c.openRackCount(w.Zone)
}
