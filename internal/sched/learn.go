package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

const (
	// runTimeLearningRate is the weight of the newest run in the learned run time.
	runTimeLearningRate = 0.2
	// maxRunRatio bounds how far a run time is learned from its declaration.
	maxRunRatio = 20.0
	// maxOversizeReports is how many reports in a row must exceed the declaration.
	maxOversizeReports = 3
	// oversizePercent is the use, in percent of the declaration, that exceeds it.
	oversizePercent = 110
	// resizePercent is the size of the next attempt, in percent of the use.
	resizePercent = 125
)

// learnedProfile is what the runs of a profile have shown.
type learnedProfile struct {
	// RunRatio is the mean of actual by declared run time.
	RunRatio float64 `json:"run_ratio"`
	Runs     int     `json:"runs"`
}

// learnRunTime takes in the run time of a job that is done.
func (c *Core) learnRunTime(j *job) {
	declared := j.rec.Job.DeclaredRun.D()
	if j.rec.Outcome != api.OutcomeDone || declared <= 0 {
		return
	}
	l := c.learnedProfiles[j.rec.Job.Profile]
	if l == nil {
		l = &learnedProfile{RunRatio: 1}
		c.learnedProfiles[j.rec.Job.Profile] = l
	}
	ratio := min(j.earlierRunTime.Seconds()/declared.Seconds(), maxRunRatio)
	l.RunRatio += runTimeLearningRate * (ratio - l.RunRatio)
	l.Runs++
}

// expectedRunTime is the declared run time, corrected by what the profile's jobs took.
func (c *Core) expectedRunTime(j *job) time.Duration {
	declared := j.rec.Job.DeclaredRun.D()
	if declared <= 0 {
		return defaultRun
	}
	if l := c.learnedProfiles[j.rec.Job.Profile]; l != nil {
		return time.Duration(float64(declared) * l.RunRatio)
	}
	return declared
}

// handleUsage takes in the (late) usage of a group. One that keeps exceeding
// its declared memory is moved to a larger place; agents throttle processor time.
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
