package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// report takes in the state of a group from its worker's agent.
func (c *Core) report(r GroupReport) {
	w := c.workers[r.Worker]
	if w == nil || c.keepEarly(r) {
		return
	}
	g := w.find(r.JobID, r.Attempt)
	if g == nil {
		c.strayReport(r)
		return
	}
	switch r.State {
	case GroupHeld:
		c.reportHeld(g)
	case GroupRefused:
		c.reportRefused(g, r)
	case GroupRunning:
		c.reportRunning(g, r)
	case GroupDone:
		c.reportDone(g, r)
	case GroupFailed:
		c.reportFailed(g, r)
	case GroupCheckpointed, GroupStopped, GroupAbsent:
		c.reportEnded(g, r)
	}
}

// strayReport answers the report of a group that is of no use any more, such
// as one of an attempt that another owner began or whose lease had lapsed.
func (c *Core) strayReport(r GroupReport) {
	if j := c.jobs[r.JobID]; j != nil {
		j.attempt = max(j.attempt, r.Attempt)
	}
	w, ref := c.workers[r.Worker], GroupRef{r.JobID, r.Attempt}
	switch r.State {
	case GroupHeld, GroupRunning:
		c.stopStray(w, ref)
	case GroupDone:
		c.emitStrayStop(w, ref)
	default:
		c.strayEnded(w, ref)
	}
}

// stray is a group of no attempt that the core knows. What it uses is not in
// the books, so its worker is not chosen while it lives.
type stray struct {
	ref   GroupRef
	until time.Duration
}

func (c *Core) stopStray(w *worker, ref GroupRef) {
	if !slices.ContainsFunc(w.strays, func(s stray) bool { return s.ref == ref }) {
		w.strays = append(w.strays, stray{ref, c.now + GroupLease + c.cfg.LeaseMargin})
		c.after(stopResend, func() { c.resendStrays(w) })
	}
	c.pause(w, workerPause)
	c.emitStrayStop(w, ref)
}

func (c *Core) emitStrayStop(w *worker, ref GroupRef) {
	c.emit(Stop{Worker: w.Name, JobID: ref.JobID, Attempt: ref.Attempt, Reason: "not the job's attempt"})
}

func (c *Core) resendStrays(w *worker) {
	w.strays = slices.DeleteFunc(w.strays, func(s stray) bool { return s.until <= c.now })
	if len(w.strays) == 0 {
		return
	}
	c.pause(w, workerPause)
	for _, s := range w.strays {
		if w.Linked {
			c.emitStrayStop(w, s.ref)
		}
	}
	c.after(stopResend, func() { c.resendStrays(w) })
}

func (c *Core) strayEnded(w *worker, ref GroupRef) {
	before := len(w.strays)
	w.strays = slices.DeleteFunc(w.strays, func(s stray) bool { return s.ref == ref })
	if before > 0 && len(w.strays) == 0 {
		c.unpause(w)
	}
}

func (c *Core) reportHeld(g *group) {
	switch {
	case g.ending:
	case g.state == groupHolding:
		c.groupHeld(g)
	case g.state == groupUnknown:
		g.state = groupHeld
		c.renewHeld(g)
		c.adopted(g.job)
	case g.state == groupStarting && c.authority.Owner && !g.worker.ZoneOut:
		c.startGroup(g)
	}
}

func (c *Core) reportRefused(g *group, r GroupReport) {
	g.unstarted = true
	why := ReasonHoldRefused
	if g.state == groupHolding && !g.ending {
		c.notice(g.job, g.worker.Name, why, r.Detail)
		c.pause(g.worker, workerPause)
	}
	c.gone(g, groupGone)
	c.broken(g, why)
}

func (c *Core) reportRunning(g *group, r GroupReport) {
	g.progress = max(g.progress, r.Progress)
	if r.Checkpoint != "" && !g.detached {
		g.job.setCheckpoint(g.firstTask, g.tasks, r.Checkpoint)
		g.saved = g.progress
	}
	if g.ending {
		return
	}
	switch g.state {
	case groupUnknown:
		g.state = groupRunning
		c.adopted(g.job)
	case groupStarting, groupHeld:
		g.state = groupRunning
	}
	c.learnUsage(g, r.Usage)
}

func (c *Core) reportDone(g *group, r GroupReport) {
	g.result = r.Result
	unknown := g.state == groupUnknown
	c.gone(g, groupDone)
	if g.detached {
		return
	}
	c.workerSucceeded(g.worker)
	if unknown {
		c.adopted(g.job)
	}
	c.settle(g.job)
}

func (c *Core) reportEnded(g *group, r GroupReport) {
	if r.Checkpoint != "" && !g.detached {
		g.job.setCheckpoint(g.firstTask, g.tasks, r.Checkpoint)
	}
	c.gone(g, groupGone)
	c.broken(g, ReasonWorkerLost)
}

// maxFailures is on how many good workers a job may fail before it is answered failed.
const maxFailures = 3

func (c *Core) reportFailed(g *group, r GroupReport) {
	c.gone(g, groupGone)
	j := g.job
	if g.detached || (j.phase != phaseRunning && j.phase != phaseEnding) {
		c.broken(g, ReasonTaskFailed)
		return
	}
	c.notice(j, g.worker.Name, ReasonTaskFailed, r.Detail)
	j.avoid = appendNew(j.avoid, g.worker.Name)
	c.strike(g.worker, j, r.WorkerFault)
	if !r.WorkerFault {
		j.failures++
	}
	if !r.WorkerFault && !g.worker.Quarantined {
		j.failedOn = appendNew(j.failedOn, g.worker.Name)
	}
	if !j.movable() || len(j.failedOn) >= maxFailures || j.failures >= maxRetries {
		j.verdict = api.OutcomeFailed
		j.verdictDetail = r.Detail
		c.clearStrikes(j)
	}
	if j.phase == phaseEnding {
		c.settle(j)
		return
	}
	c.end(j, failureGrace(j), ReasonTaskFailed)
}

func failureGrace(j *job) time.Duration {
	if j.verdict != "" {
		return 0
	}
	return grace(j)
}

func appendNew(list []string, s string) []string {
	for _, o := range list {
		if o == s {
			return list
		}
	}
	return append(list, s)
}
