package sched

import (
	"slices"
	"time"
)

// earlyReportPeriod is how long after the start of its permissions a new owner
// keeps reports about jobs whose rows it has not received yet.
const earlyReportPeriod = 2 * time.Second

// adopt rebuilds an attempt that runs, or may run, under the permissions of the
// previous owner. The agents' reports show what is left of it.
func (c *Core) adopt(j *job) {
	j.phase = phaseRunning
	j.adopting = true
	j.started = true
	j.startedAt = c.now
	j.nonPreemptible = !c.mayBorrow(j)
	until := max(c.now, c.ownerStatus.StartAfter) + GroupLease + c.cfg.LeaseMargin
	for _, p := range j.rec.Placements {
		w := c.workers[p.Worker]
		if w == nil {
			w = c.ensureWorker(p.Worker, p.Zone, "")
		}
		g := &group{
			job: j, attempt: j.attempt, worker: w, firstTask: p.FirstTask, tasks: p.Tasks,
			resources: j.perTask.Times(p.Tasks), state: groupUnknown, nonPreemptible: j.nonPreemptible, leaseUntil: until,
		}
		j.groups = append(j.groups, g)
		c.allocateGroup(g)
		if !w.Linked {
			j.unlinkedGroups++
		}
		c.watchAdoption(g, until)
	}
	if j.nonPreemptible && len(c.guaranteesOf[j.rec.Job.Profile]) > 0 {
		c.unboundJobs = append(c.unboundJobs, j)
		c.guaranteesDirty = true
	}
	if j.rec.CancelAsked {
		c.endAttempt(j, 0, ReasonCancelled)
	}
}

// watchAdoption gives up a group that has not been reported by the given time.
func (c *Core) watchAdoption(g *group, until time.Duration) {
	c.timers.add(until, func() {
		if g.state != groupUnknown || g.detached {
			return
		}
		if g.leaseUntil <= c.now {
			c.leaseExpired(g)
			return
		}
		c.groupLost(g, ReasonWorkerLost)
	})
}

// continueAdopted continues an attempt once all its groups have reported. Groups
// that are only held may start, because the attempt's row is durable.
func (c *Core) continueAdopted(j *job) {
	if !j.adopting || j.phase != phaseRunning {
		return
	}
	for _, g := range j.groups {
		if g.state == groupUnknown || g.state == groupEnded {
			return
		}
	}
	j.adopting = false
	c.startAdopted(j)
	c.moveIfWorkerLeaves(j)
}

// startAdopted starts the groups of an adopted attempt that are only held, as soon
// as this process may start work and the previous owner's permissions have expired.
// Until then the attempt waits; its holds expire on their own.
func (c *Core) startAdopted(j *job) {
	if j.phase != phaseRunning {
		return
	}
	if !c.ownerStatus.Owner || c.now < c.ownerStatus.StartAfter {
		c.timers.add(max(c.ownerStatus.StartAfter, c.now+TickInterval), func() { c.startAdopted(j) })
		return
	}
	for _, g := range j.groups {
		if g.state != groupHeld {
			continue
		}
		if g.worker.ZoneOut || j.unlinkedGroups > 0 {
			c.groupLost(g, ReasonZoneOut)
			return
		}
		c.startGroup(g)
	}
}

// renewHeld extends the hold of an adopted group at once: it could expire before
// this owner may start the attempt.
func (c *Core) renewHeld(g *group) {
	if c.ownerStatus.Owner && renewable(g) {
		c.emit(Renew{Worker: g.worker.Name, Groups: []GroupRef{{g.job.id(), g.attempt}}})
	}
}

// keepEarlyReport keeps a report about a job whose row may still be read from the
// table. It returns false once all rows have been received.
func (c *Core) keepEarlyReport(r GroupReport) bool {
	if c.jobs[r.JobID] != nil || c.rowsComplete() {
		return false
	}
	c.earlyReports = append(c.earlyReports, r)
	// The group's resources are not accounted for yet.
	c.pauseWorker(c.workers[r.Worker], max(0, c.ownerStatus.StartAfter-c.now)+earlyReportPeriod)
	return true
}

func (c *Core) rowsComplete() bool {
	return c.ownerStatus.Owner && c.now >= c.ownerStatus.StartAfter+earlyReportPeriod
}

// replayEarlyReports handles the reports that arrived before the job's row.
func (c *Core) replayEarlyReports(j *job) {
	var own, rest []GroupReport
	for _, r := range c.earlyReports {
		if r.JobID == j.id() {
			own = append(own, r)
			continue
		}
		rest = append(rest, r)
	}
	c.earlyReports = rest
	for _, r := range own {
		if !hasReportFrom(rest, r.Worker) {
			c.unpauseWorker(c.workers[r.Worker])
		}
		c.handleReport(r)
	}
}

func hasReportFrom(reports []GroupReport, workerName string) bool {
	return slices.ContainsFunc(reports, func(r GroupReport) bool { return r.Worker == workerName })
}

// flushEarlyReports handles the reports about jobs that turned out to have no row;
// their groups are stopped.
func (c *Core) flushEarlyReports() {
	if len(c.earlyReports) == 0 || !c.rowsComplete() {
		return
	}
	reports := c.earlyReports
	c.earlyReports = nil
	for _, r := range reports {
		c.handleReport(r)
	}
}

// mayBorrow reports whether a job may use capacity guaranteed to others. Such a
// job may be preempted when that capacity is claimed.
func (c *Core) mayBorrow(j *job) bool {
	if c.config == nil || !j.restartable() {
		return false
	}
	return c.config.Profiles[j.rec.Job.Profile].Preemptible
}
