package sched

import (
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

func (c *Core) orphan(g *group) {
	g.share = nil
	g.account.surplus = g.account.surplus.Add(g.amount)
	g.firm = true
	g.fixed = true
	c.update(g.worker, func(f *fleet.Worker) {
		f.NonPreemptible = f.NonPreemptible.Add(g.amount)
		f.NonRestartable = f.NonRestartable.Add(g.amount)
	})
	if j := g.job; !g.detached && j.reserved != nil {
		j.reserved = nil
		j.firm = true
		c.unbound = append(c.unbound, j)
	}
}

// bind gives a guarantee without a place the one where a gang of its profile
// runs already, as after a takeover.
func (c *Core) bind(r *reservation) bool {
	for _, j := range c.unbound {
		if j.rec.Job.Profile == r.profile && c.bindable(j, r) {
			c.bindTo(j, r)
			return true
		}
	}
	return false
}

func (c *Core) bindable(j *job, r *reservation) bool {
	if j.phase != phaseRunning || !j.firm || j.rec.Job.Gang.Tasks != r.gang.Tasks || !j.perTask.Fits(r.gang.PerTask) {
		return false
	}
	for _, g := range j.groups {
		more := r.gang.PerTask.Times(g.tasks).Sub(g.amount)
		if !g.live() || !g.worker.InService() || !more.Fits(g.worker.Available(fleet.Preemptible)) {
			return false
		}
	}
	return true
}

func (c *Core) bindTo(j *job, r *reservation) {
	parts := make([]placement.Assignment, 0, len(j.groups))
	for _, g := range j.groups {
		parts = append(parts, placement.Assignment{Worker: g.worker.Worker, Tasks: g.tasks})
	}
	c.place(r, parts)
	j.firm = false
	j.reserved = r
	for _, g := range j.groups {
		g.share = r.shareOn(g.worker)
		g.share.used = g.share.used.Add(g.amount)
		g.account.surplus = g.account.surplus.Sub(g.amount)
		c.update(g.worker, func(f *fleet.Worker) {
			f.NonPreemptible = f.NonPreemptible.Sub(g.amount)
			if g.fixed {
				f.NonRestartable = f.NonRestartable.Sub(g.amount)
			}
		})
		g.firm = false
		g.fixed = false
	}
}
