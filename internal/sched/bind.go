package sched

import (
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// detachFromReservation turns a group inside a reservation into work outside of
// reservations that must be neither preempted nor stopped.
func (c *Core) detachFromReservation(g *group) {
	g.reservedPart = nil
	g.account.unguaranteed = g.account.unguaranteed.Add(g.resources)
	g.nonPreemptible = true
	g.nonRestartable = true
	c.updateWorker(g.worker, func(f *fleet.Worker) {
		f.NonPreemptible = f.NonPreemptible.Add(g.resources)
		f.NonRestartable = f.NonRestartable.Add(g.resources)
	})
	if j := g.job; !g.detached && j.reservation != nil {
		j.reservation = nil
		j.nonPreemptible = true
		c.unboundJobs = append(c.unboundJobs, j)
	}
}

// bindToRunningGang places an unplaced guarantee where a gang of its profile
// already runs, as after a takeover.
func (c *Core) bindToRunningGang(r *reservation) bool {
	for _, j := range c.unboundJobs {
		if j.rec.Job.Profile == r.profile && c.bindable(j, r) {
			c.bindJob(j, r)
			return true
		}
	}
	return false
}

func (c *Core) bindable(j *job, r *reservation) bool {
	if j.phase != phaseRunning || !j.nonPreemptible || j.rec.Job.Gang.Tasks != r.gang.Tasks || !j.perTask.Fits(r.gang.PerTask) {
		return false
	}
	for _, g := range j.groups {
		more := r.gang.PerTask.Times(g.tasks).Sub(g.resources)
		if !g.live() || !g.worker.InService() || !more.Fits(g.worker.Available(fleet.Preemptible)) {
			return false
		}
	}
	return true
}

func (c *Core) bindJob(j *job, r *reservation) {
	assignments := make([]placement.Assignment, 0, len(j.groups))
	for _, g := range j.groups {
		assignments = append(assignments, placement.Assignment{Worker: g.worker.Worker, Tasks: g.tasks})
	}
	c.placeReservation(r, assignments)
	j.nonPreemptible = false
	j.reservation = r
	for _, g := range j.groups {
		g.reservedPart = r.partOn(g.worker)
		g.reservedPart.used = g.reservedPart.used.Add(g.resources)
		g.account.unguaranteed = g.account.unguaranteed.Sub(g.resources)
		c.updateWorker(g.worker, func(f *fleet.Worker) {
			f.NonPreemptible = f.NonPreemptible.Sub(g.resources)
			if g.nonRestartable {
				f.NonRestartable = f.NonRestartable.Sub(g.resources)
			}
		})
		g.nonPreemptible = false
		g.nonRestartable = false
	}
}
