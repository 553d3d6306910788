package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// tryStart begins an attempt of a queued job if it can be placed. After a failure
// the job's class waits for a change.
func (c *Core) tryStart(j *job) bool {
	p, ok := c.config.Profiles[j.rec.Job.Profile]
	if !ok {
		return false
	}
	if !withinQuota(j, p) {
		return false
	}
	if c.tryGuaranteed(j) || c.tryReserved(j) || c.tryFree(j) {
		return true
	}
	if p.Urgent {
		return c.tryPreempt(j, victimRule{}, urgentGrace)
	}
	return c.tryPreemptForLarge(j)
}

func withinQuota(j *job, p api.Profile) bool {
	if p.QuotaAccelerators == 0 {
		return true
	}
	return j.account.used.Accelerators+j.totalResources().Accelerators <= p.QuotaAccelerators
}

// tryFree places a job on free capacity. Preemptible work may use all of it, other
// work only what is outside of reservations.
func (c *Core) tryFree(j *job) bool {
	borrowing := c.mayBorrow(j)
	req := c.placementRequest(j, fleet.Unreserved)
	if borrowing {
		req.View = fleet.Free
	}
	if j.class.noPlacement {
		req.GainedSince = j.class.fleetGeneration
	}
	assignments := placement.Find(c.fleet, req)
	if assignments == nil {
		j.class.fleetGeneration = c.fleet.Generation()
		return false
	}
	c.beginAttempt(j, assignments, !borrowing)
	return true
}

func (c *Core) placementRequest(j *job, v fleet.CapacityView) placement.Request {
	return placement.Request{Gang: j.gang(), View: v, Exclude: c.excludedWorkers(j)}
}

// excludedWorkers returns a filter for the workers that a job must not use:
// paused ones, those on which it has failed and, if it is not restartable, those
// on probation.
func (c *Core) excludedWorkers(j *job) func(*fleet.Worker) bool {
	onProbation := excludesProbation(j)
	return func(w *fleet.Worker) bool {
		return w.Paused || onProbation(w) || slices.Contains(j.avoidedWorkers, w.Name)
	}
}

func excludesProbation(j *job) func(*fleet.Worker) bool {
	return func(w *fleet.Worker) bool { return w.Probation && !j.restartable() }
}
