package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// handleReport processes an agent's report about a group.
func (c *Core) handleReport(r GroupReport) {
	w := c.workers[r.Worker]
	if w == nil || c.keepEarlyReport(r) {
		return
	}
	g := w.findGroup(r.JobID, r.Attempt)
	if g == nil {
		c.handleStrayReport(r)
		return
	}
	switch r.State {
	case GroupHeld:
		c.handleHeld(g)
	case GroupRefused:
		c.handleRefused(g, r)
	case GroupRunning:
		c.handleRunning(g, r)
	case GroupDone:
		c.handleDone(g, r)
	case GroupFailed:
		c.handleFailed(g, r)
	case GroupCheckpointed, GroupStopped, GroupAbsent:
		c.handleEnded(g, r)
	}
}

// handleStrayReport handles a report about a group that belongs to no current
// attempt, for example one that another owner began or whose lease has expired.
func (c *Core) handleStrayReport(r GroupReport) {
	if j := c.jobs[r.JobID]; j != nil {
		j.attempt = max(j.attempt, r.Attempt)
	}
	w, ref := c.workers[r.Worker], GroupRef{r.JobID, r.Attempt}
	switch r.State {
	case GroupHeld, GroupRunning:
		c.stopStray(w, ref)
	case GroupDone:
		c.sendStrayStop(w, ref)
	default:
		c.strayEnded(w, ref)
	}
}

// strayGroup is a group of an attempt that the core does not know. The resources
// it uses are not accounted for, so its worker is not used while it exists.
type strayGroup struct {
	ref   GroupRef
	until time.Duration
}

func (c *Core) stopStray(w *worker, ref GroupRef) {
	if !slices.ContainsFunc(w.strayGroups, func(s strayGroup) bool { return s.ref == ref }) {
		w.strayGroups = append(w.strayGroups, strayGroup{ref, c.now + GroupLease + c.cfg.LeaseMargin})
		c.after(stopResendInterval, func() { c.resendStrayStops(w) })
	}
	c.pauseWorker(w, holdFailurePause)
	c.sendStrayStop(w, ref)
}

func (c *Core) sendStrayStop(w *worker, ref GroupRef) {
	c.emit(Stop{Worker: w.Name, JobID: ref.JobID, Attempt: ref.Attempt, Reason: "not the job's attempt"})
}

func (c *Core) resendStrayStops(w *worker) {
	w.strayGroups = slices.DeleteFunc(w.strayGroups, func(s strayGroup) bool { return s.until <= c.now })
	if len(w.strayGroups) == 0 {
		return
	}
	c.pauseWorker(w, holdFailurePause)
	for _, s := range w.strayGroups {
		if w.Linked {
			c.sendStrayStop(w, s.ref)
		}
	}
	c.after(stopResendInterval, func() { c.resendStrayStops(w) })
}

func (c *Core) strayEnded(w *worker, ref GroupRef) {
	before := len(w.strayGroups)
	w.strayGroups = slices.DeleteFunc(w.strayGroups, func(s strayGroup) bool { return s.ref == ref })
	if before > 0 && len(w.strayGroups) == 0 {
		c.unpauseWorker(w)
	}
}

func (c *Core) handleHeld(g *group) {
	switch {
	case g.stopping:
	case g.state == groupHolding:
		c.groupHeld(g)
	case g.state == groupUnknown:
		g.state = groupHeld
		c.renewHeld(g)
		c.continueAdopted(g.job)
	case g.state == groupStarting && c.ownerStatus.Owner && !g.worker.ZoneOut:
		c.startGroup(g)
	}
}

func (c *Core) handleRefused(g *group, r GroupReport) {
	g.neverStarted = true
	reason := ReasonHoldRefused
	if g.state == groupHolding && !g.stopping {
		c.emitNotice(g.job, g.worker.Name, reason, r.Detail)
		c.pauseWorker(g.worker, holdFailurePause)
	}
	c.releaseGroup(g, groupEnded)
	c.groupLost(g, reason)
}

func (c *Core) handleRunning(g *group, r GroupReport) {
	g.progress = max(g.progress, r.Progress)
	if r.Checkpoint != "" && !g.detached {
		g.job.setCheckpoint(g.firstTask, g.tasks, r.Checkpoint)
		g.checkpointed = g.progress
	}
	if g.stopping {
		return
	}
	switch g.state {
	case groupUnknown:
		g.state = groupRunning
		c.continueAdopted(g.job)
	case groupStarting, groupHeld:
		g.state = groupRunning
	}
	c.handleUsage(g, r.Usage)
}

func (c *Core) handleDone(g *group, r GroupReport) {
	g.result = r.Result
	unknown := g.state == groupUnknown
	c.releaseGroup(g, groupDone)
	if g.detached {
		return
	}
	c.workerSucceeded(g.worker)
	if unknown {
		c.continueAdopted(g.job)
	}
	c.concludeAttempt(g.job)
}

func (c *Core) handleEnded(g *group, r GroupReport) {
	if r.Checkpoint != "" && !g.detached {
		g.job.setCheckpoint(g.firstTask, g.tasks, r.Checkpoint)
	}
	c.releaseGroup(g, groupEnded)
	c.groupLost(g, ReasonWorkerLost)
}

// maxFailedWorkers is the number of good workers on which a job must fail before
// its outcome is failed.
const maxFailedWorkers = 3

func (c *Core) handleFailed(g *group, r GroupReport) {
	c.releaseGroup(g, groupEnded)
	j := g.job
	if g.detached || (j.phase != phaseRunning && j.phase != phaseEnding) {
		c.groupLost(g, ReasonTaskFailed)
		return
	}
	c.emitNotice(j, g.worker.Name, ReasonTaskFailed, r.Detail)
	j.avoidedWorkers = appendUnique(j.avoidedWorkers, g.worker.Name)
	c.recordWorkerFailure(g.worker, j, r.WorkerFault)
	if !r.WorkerFault {
		j.failures++
	}
	if !r.WorkerFault && !g.worker.Quarantined {
		j.failedWorkers = appendUnique(j.failedWorkers, g.worker.Name)
	}
	if !j.restartable() || len(j.failedWorkers) >= maxFailedWorkers || j.failures >= maxJobFailures {
		j.finalOutcome = api.OutcomeFailed
		j.finalDetail = r.Detail
		c.clearWorkerFailures(j)
	}
	if j.phase == phaseEnding {
		c.concludeAttempt(j)
		return
	}
	c.endAttempt(j, failureGrace(j), ReasonTaskFailed)
}

func failureGrace(j *job) time.Duration {
	if j.finalOutcome != "" {
		return 0
	}
	return checkpointGrace(j)
}

func appendUnique(list []string, s string) []string {
	for _, o := range list {
		if o == s {
			return list
		}
	}
	return append(list, s)
}
