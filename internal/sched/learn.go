package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
)

const (
	// maxOversizeReports is the number of consecutive reports above the declared
	// size after which the job is moved.
	maxOversizeReports = 3
	// oversizePercent is the usage, in percent of the declaration, above which a
	// report counts as oversized.
	oversizePercent = 110
	// resizePercent is the size of the next attempt, in percent of the usage.
	resizePercent = 125
)

// learnRunTime updates the profile's run ratio from a job that is done.
func (c *Core) learnRunTime(j *job) {
	declared := j.rec.Job.DeclaredRun.D()
	if j.rec.Outcome != api.OutcomeDone || declared <= 0 {
		return
	}
	l := c.learnedProfiles[j.rec.Job.Profile]
	if l == nil {
		l = runtimes.NewRatio()
		c.learnedProfiles[j.rec.Job.Profile] = l
	}
	l.Observe(j.earlierRunTime, declared)
}

// expectedRunTime returns the declared run time multiplied by the profile's
// learned ratio.
func (c *Core) expectedRunTime(j *job) time.Duration {
	declared := j.rec.Job.DeclaredRun.D()
	if declared <= 0 {
		return defaultRun
	}
	if l := c.learnedProfiles[j.rec.Job.Profile]; l != nil {
		return l.Apply(declared)
	}
	return declared
}

// handleUsage processes the reported usage of a group, which may be out of date.
// A job that keeps exceeding its declared memory is moved to a larger placement.
// CPU needs no check: agents throttle it.
func (c *Core) handleUsage(g *group, usage api.Resources) {
	j := g.job
	if usage.MemoryMB*100 <= g.resources.MemoryMB*oversizePercent {
		g.oversizeReports = 0
		return
	}
	g.oversizeReports++
	if g.oversizeReports != maxOversizeReports {
		return
	}
	c.emitNotice(j, g.worker.Name, ReasonExceededDeclaration, fmt.Sprintf("uses %d MB of %d MB", usage.MemoryMB, g.resources.MemoryMB))
	if !j.restartable() || g.detached || j.phase != phaseRunning {
		return
	}
	larger := j.perTask
	larger.MemoryMB = usage.MemoryMB / g.tasks * resizePercent / 100
	before := j.perTask
	j.perTask = larger
	if _, never := c.neverFits(j); never {
		j.perTask = before
		j.finalOutcome = api.OutcomeFailed
		j.finalDetail = fmt.Sprintf("uses %d MB per task, more than any worker has", usage.MemoryMB/g.tasks)
	}
	c.endAttempt(j, checkpointGrace(j), ReasonExceededDeclaration)
}
