package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

// disconnectTimeout is how long the link to a worker may be lost before the gangs
// with a group there are stopped. It leaves the other groups enough time for a
// checkpoint within their leases.
const disconnectTimeout = 4 * time.Second

const (
	// lostWorkerTTL is how long a disconnected worker counts as part of the fleet.
	lostWorkerTTL         = 24 * time.Hour
	forgetWorkersInterval = time.Hour
)

// worker is a worker of the fleet and the groups on it.
type worker struct {
	*fleet.Worker
	index       int
	groups      []*group
	claims      []*job
	strayGroups []strayGroup
	failures    []workerFailure
	quarantines int
	unlinkedAt  time.Duration
	// pausedUntil is when a paused worker may be used again.
	pausedUntil time.Duration
}

func (c *Core) ensureWorker(name, zone, rack string) *worker {
	w := c.workers[name]
	fleetWorker := c.fleet.Add(name, zone, rack)
	if w == nil {
		w = &worker{Worker: fleetWorker, index: len(c.workerList)}
		c.workers[name] = w
		c.workerList = append(c.workerList, w)
	}
	return w
}

// forgetWorkers removes workers that have been disconnected for lostWorkerTTL, such
// as replaced ones.
func (c *Core) forgetWorkers() {
	if c.now < c.lastForget+forgetWorkersInterval {
		return
	}
	c.lastForget = c.now
	c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool {
		gone := !w.Linked && c.now-w.unlinkedAt >= lostWorkerTTL && len(w.groups) == 0 && len(w.claims) == 0
		if gone {
			delete(c.workers, w.Name)
			c.fleet.Remove(w.Worker)
		}
		return gone
	})
}

func (c *Core) updateWorker(w *worker, change func(*fleet.Worker)) { c.fleet.Update(w.Worker, change) }

func (c *Core) handleWorkerUp(e WorkerUp) {
	w := c.ensureWorker(e.Worker, e.Zone, e.Rack)
	wasDown := !w.Linked
	out := c.config != nil && c.config.ZoneOut(e.Zone)
	c.updateWorker(w, func(f *fleet.Worker) {
		f.Capacity = e.Capacity
		f.Linked = true
		f.Healthy = true
		f.Leaving = false
		f.ZoneOut = out
		f.AwaitingReopen = c.awaitsReopen(f)
	})
	c.guaranteesDirty = true
	if !wasDown {
		return
	}
	for _, g := range w.groups {
		if !g.detached {
			g.job.unlinkedGroups--
		}
		if g.stopping {
			c.sendStop(g, 0, "stopped while the link was lost")
		}
	}
}

func (c *Core) handleWorkerDown(name string) {
	w := c.workers[name]
	if w == nil || !w.Linked {
		return
	}
	c.updateWorker(w, func(f *fleet.Worker) { f.Linked = false })
	w.unlinkedAt = c.now
	c.guaranteesDirty = true
	c.dropWorkerClaims(w)
	for _, g := range append([]*group(nil), w.groups...) {
		c.groupUnlinked(g)
	}
}

func (c *Core) groupUnlinked(g *group) {
	c.watchLease(g)
	if g.detached {
		return
	}
	j := g.job
	j.unlinkedGroups++
	switch j.phase {
	case phaseHolding:
		c.holdFailed(j, "link lost")
	case phaseSaving:
		c.abortSaving(j, "link lost")
	case phaseRunning:
		c.awaitLink(g)
	}
}

// awaitLink ends an attempt if the link to a group's worker does not come back in
// time for the other groups to checkpoint.
func (c *Core) awaitLink(g *group) {
	j, w, since := g.job, g.worker, g.worker.unlinkedAt
	c.after(disconnectTimeout, func() {
		if g.live() && !g.detached && j.phase == phaseRunning && !w.Linked && w.unlinkedAt == since {
			c.groupLost(g, ReasonWorkerLost)
		}
	})
}

func (c *Core) handleWorkerStatus(e WorkerStatus) {
	w := c.workers[e.Worker]
	if w == nil || (w.Leaving == e.Leaving && w.Healthy == e.Healthy) {
		return
	}
	c.updateWorker(w, func(f *fleet.Worker) {
		f.Leaving = e.Leaving
		f.Healthy = e.Healthy
	})
	c.guaranteesDirty = true
	if !w.InService() {
		c.vacateWorker(w)
	}
}

// pauseWorker keeps a worker from being used for a while.
func (c *Core) pauseWorker(w *worker, d time.Duration) {
	w.pausedUntil = max(w.pausedUntil, c.now+d)
	if w.Paused {
		return
	}
	c.updateWorker(w, func(f *fleet.Worker) { f.Paused = true })
	c.watchPause(w)
}

func (c *Core) unpauseWorker(w *worker) {
	w.pausedUntil = 0
	c.updateWorker(w, func(f *fleet.Worker) { f.Paused = false })
}

func (c *Core) watchPause(w *worker) {
	c.timers.add(w.pausedUntil, func() {
		if c.now < w.pausedUntil {
			c.watchPause(w)
			return
		}
		c.updateWorker(w, func(f *fleet.Worker) { f.Paused = false })
	})
}

// allocateGroup allocates the resources of a group on its worker.
func (c *Core) allocateGroup(g *group) {
	w := g.worker
	w.groups = append(w.groups, g)
	g.account = g.job.account
	g.account.addGroup(g)
	if g.reservedPart != nil {
		g.reservedPart.used = g.reservedPart.used.Add(g.resources)
	}
	g.nonRestartable = g.nonRestartable || (g.nonPreemptible && !g.job.restartable())
	c.updateWorker(w, func(f *fleet.Worker) {
		if g.state == groupClaimed {
			f.Claimed = f.Claimed.Add(g.resources)
		} else {
			f.Used = f.Used.Add(g.resources)
		}
		if g.nonPreemptible {
			f.NonPreemptible = f.NonPreemptible.Add(g.resources)
		}
		if g.nonRestartable {
			f.NonRestartable = f.NonRestartable.Add(g.resources)
		}
	})
}

// releaseGroup frees the resources of a group that has certainly ended.
func (c *Core) releaseGroup(g *group, state groupState) {
	if !g.live() {
		return
	}
	w := g.worker
	claimed := g.state == groupClaimed
	g.state = state
	for i, o := range w.groups {
		if o == g {
			w.groups = append(w.groups[:i], w.groups[i+1:]...)
			break
		}
	}
	if !g.detached && !w.Linked && g.job.unlinkedGroups > 0 {
		g.job.unlinkedGroups--
	}
	g.account.removeGroup(g)
	c.updateWorker(w, func(f *fleet.Worker) {
		if claimed {
			f.Claimed = f.Claimed.Sub(g.resources)
		} else {
			f.Used = f.Used.Sub(g.resources)
		}
		if g.nonPreemptible {
			f.NonPreemptible = f.NonPreemptible.Sub(g.resources)
		}
		if g.nonRestartable {
			f.NonRestartable = f.NonRestartable.Sub(g.resources)
		}
	})
	if g.reservedPart != nil {
		g.reservedPart.used = g.reservedPart.used.Sub(g.resources)
		g.reservedPart = nil
	}
	c.advanceClaims(w)
}

func (w *worker) findGroup(jobID string, attempt uint32) *group {
	for _, g := range w.groups {
		if g.attempt == attempt && g.job.id() == jobID {
			return g
		}
	}
	return nil
}
