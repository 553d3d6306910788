package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

const (
	// learnRate is the weight of the newest run in the learned run time.
	learnRate = 0.2
	// maxRunRatio bounds how far a run time is learned from its declaration.
	maxRunRatio = 20.0
	// outgrownReports is how many reports in a row must exceed the declaration.
	outgrownReports = 3
	// outgrownPercent is the use, in percent of the declaration, that exceeds it.
	outgrownPercent = 110
	// learnedPercent is the size of the next attempt, in percent of the use.
	learnedPercent = 125
)

// learnedProfile is what the runs of a profile have shown.
type learnedProfile struct {
	// RunRatio is the mean of actual by declared run time.
	RunRatio float64 `json:"run_ratio"`
	Runs     int     `json:"runs"`
}

// learnRun takes in the run time of a job that is done.
func (c *Core) learnRun(j *job) {
	declared := j.rec.Job.DeclaredRun.D()
	if j.rec.Outcome != api.OutcomeDone || declared <= 0 {
		return
	}
	l := c.learned[j.rec.Job.Profile]
	if l == nil {
		l = &learnedProfile{RunRatio: 1}
		c.learned[j.rec.Job.Profile] = l
	}
	ratio := min(j.ranFor.Seconds()/declared.Seconds(), maxRunRatio)
	l.RunRatio += learnRate * (ratio - l.RunRatio)
	l.Runs++
}

// expectedRun is the declared run time, corrected by what the profile's jobs took.
func (c *Core) expectedRun(j *job) time.Duration {
	declared := j.rec.Job.DeclaredRun.D()
	if declared <= 0 {
		return defaultRun
	}
	if l := c.learned[j.rec.Job.Profile]; l != nil {
		return time.Duration(float64(declared) * l.RunRatio)
	}
	return declared
}

// learnUsage takes in the (late) usage of a group. One that keeps exceeding
// its declared memory is moved to a larger place; agents throttle processor time.
func (c *Core) learnUsage(g *group, usage api.Resources) {
	j := g.job
	if usage.MemoryMB*100 <= g.amount.MemoryMB*outgrownPercent {
		g.outgrown = 0
		return
	}
	g.outgrown++
	if g.outgrown != outgrownReports {
		return
	}
	c.notice(j, g.worker.Name, ReasonExceededDeclaration, fmt.Sprintf("uses %d MB of %d MB", usage.MemoryMB, g.amount.MemoryMB))
	if !j.movable() || g.detached || j.phase != phaseRunning {
		return
	}
	larger := j.perTask
	larger.MemoryMB = usage.MemoryMB / g.tasks * learnedPercent / 100
	before := j.perTask
	j.perTask = larger
	if _, never := c.neverFits(j); never {
		j.perTask = before
		j.verdict = api.OutcomeFailed
		j.verdictDetail = fmt.Sprintf("uses %d MB per task, more than any worker has", usage.MemoryMB/g.tasks)
	}
	c.end(j, grace(j), ReasonExceededDeclaration)
}
