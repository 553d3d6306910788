package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/explain"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// ErrNotPlacing is returned by Explain while the core does not place anything: it has no
// configuration yet, or the term has just begun.
const ErrNotPlacing = errors.ConstError("the owner's term has just begun, nothing is placed yet")

// Explain reports where a job would be placed now and why, without lasting effect: no
// action is emitted, and the following decisions are the same as without the call. It
// plays a scheduling pass up to the job. g is a job that is not submitted, or one with
// only an ID that the core knows; otherwise Explain returns a NotFound error.
func (c *Core) Explain(now time.Duration, g *graph.Job) (explain.Report, error) {
	saved := c.saveForTrial()
	defer saved.restore()
	c.begin(now)
	if c.policy == nil || !c.firstReportOlderThan(placementDelay) {
		return explain.Report{}, errors.Trace(ErrNotPlacing)
	}
	j, err := c.jobToExplain(g)
	if err != nil {
		return explain.Report{}, errors.Trace(err)
	}
	c.sched = schedulingState{noRoom: map[unitKind]bool{}, withinGuarantee: c.jobsWithinGuarantee()}
	c.headroom.fitsOutside = maps.Clone(c.headroom.fitsOutside)
	r := c.describeJob(j)
	c.explainSteps(j, &r)
	c.summarize(j, &r)
	return r, nil
}

// jobToExplain returns the job that the core knows, or adds a job that is not submitted
// until the end of the trial.
func (c *Core) jobToExplain(g *graph.Job) (*job, error) {
	if len(g.Steps) == 0 {
		j := c.jobs[g.ID]
		if j == nil || j.state.Final() {
			return nil, errors.NotFoundf("job %q that is not final", g.ID)
		}
		return j, nil
	}
	j := newJob(g)
	j.arrivedAt = c.now
	c.expectRunTimes(j)
	c.activeJobs = append(slices.Clone(c.activeJobs), j)
	return j, nil
}

// describeJob returns the part of a report that does not depend on the workers' room.
func (c *Core) describeJob(j *job) explain.Report {
	cost := costOf(j)
	return explain.Report{
		Job: j.ID, Queue: j.Queue, Account: j.Account, Pool: j.Pool, Priority: j.Priority,
		Steps: []explain.Step{}, NotReady: []int{}, Guarantee: c.describeGuarantee(j),
		ObjectiveMS: j.objective().Milliseconds(), DueMS: (cost.DueAt() - c.now).Milliseconds(),
		WorthlessMS: (cost.WorthlessAt() - c.now).Milliseconds(),
		Basis:       explain.Basis{OldestReportMS: c.oldestReport(j.Pool).Milliseconds(), ConfigVersion: c.policy.Version, Token: c.cfg.FencingToken},
	}
}

func (c *Core) describeGuarantee(j *job) explain.Guarantee {
	out := explain.Guarantee{Within: c.sched.withinGuarantee[j]}
	for _, g := range c.guaranteeUse(c.sched.withinGuarantee) {
		if g.Account == j.Account {
			out.Guaranteed, out.Used = g.Guaranteed, g.Used
		}
	}
	return out
}

// oldestReport returns the highest age of the last reports of a pool's connected workers.
func (c *Core) oldestReport(pool string) time.Duration {
	oldest := time.Duration(0)
	for _, w := range c.sortedWorkers {
		if w.connected() && w.info.Pool == pool {
			oldest = max(oldest, c.now-w.lastReportAt)
		}
	}
	return oldest
}

// explainSteps plays a pass over the waiting units until it has described the first
// ready unit of each step of the job.
func (c *Core) explainSteps(j *job, r *explain.Report) {
	waiting := c.waitingUnits(c.sched.withinGuarantee)
	ready := make([]int, len(j.Steps)) // units, by step
	for _, u := range waiting {
		if u.job == j {
			ready[u.stepIndex]++
		}
	}
	r.Order = c.describeOrder(j, waiting)
	left := 0
	for i, n := range ready {
		if n > 0 {
			left++
		} else if !j.stepDone(i) {
			r.NotReady = append(r.NotReady, i)
		}
	}
	described := make([]bool, len(j.Steps))
	for _, u := range waiting {
		if left == 0 {
			return
		}
		if u.job != j || described[u.stepIndex] {
			c.tryUnit(u)
			continue
		}
		s := c.describeRoom(u)
		s.Units = ready[u.stepIndex]
		c.tryUnit(u).describe(c, &s)
		r.Steps = append(r.Steps, s)
		described[u.stepIndex] = true
		left--
	}
}

// describeOrder describes the place of a job among the units that wait, in order.
func (c *Core) describeOrder(j *job, waiting []*unit) explain.Order {
	o := c.orderOf(j, c.sched.withinGuarantee[j])
	out := explain.Order{Rank: o.rank, Urgency: o.urgency.String(), WaitLoss: o.waitLoss, Ahead: explain.Ahead{First: []graph.JobID{}}}
	seen := map[*job]bool{}
	for _, u := range waiting {
		if u.job == j {
			break
		}
		out.Ahead.Units++
		if !seen[u.job] {
			seen[u.job] = true
			out.Ahead.Jobs++
			if len(out.Ahead.First) < explain.MaxAheadListed {
				out.Ahead.First = append(out.Ahead.First, u.job.ID)
			}
		}
	}
	return out
}

func (u urgency) String() string {
	if u == deferrable {
		return "deferrable"
	}
	return "urgent"
}

// describeRoom counts the workers on which tasks of a unit fit, and by reason those that
// are ruled out.
func (c *Core) describeRoom(u *unit) explain.Step {
	out := explain.Step{Step: u.stepIndex, Tasks: u.taskCount, Workers: len(c.sortedWorkers), NeverFits: c.firstReportOlderThan(c.cfg.LeaseBound) && !c.fitsEmptyFleet(u)}
	counts := map[explain.Exclusion]int{}
	closed, perWorker := c.headroomClosedTo(u), u.tasksPerWorker()
	for _, w := range c.sortedWorkers {
		reason := c.exclusion(w, u, closed)
		if reason == explain.NotExcluded {
			reason = c.shortage(w, u, perWorker)
		}
		if reason != explain.NotExcluded {
			counts[reason]++
			continue
		}
		out.Suitable++
		out.TasksFit = min(u.taskCount, out.TasksFit+tasksThatFitBeside(candidate{w, c.availableFor(w, u)}, u.step, perWorker))
	}
	out.RuledOut = []explain.Excluded{}
	for _, reason := range explain.Exclusions {
		if n := counts[reason]; n > 0 {
			out.RuledOut = append(out.RuledOut, explain.Excluded{Reason: reason, Workers: n})
		}
	}
	return out
}

// shortage returns what a candidate lacks for one task of a unit.
func (c *Core) shortage(w *worker, u *unit, perWorker map[*worker]int) explain.Exclusion {
	available := c.availableFor(w, u)
	if tasksThatFitBeside(candidate{w, available}, u.step, perWorker) > 0 {
		return explain.NotExcluded
	}
	needs, free := u.step.Needs, w.free()
	unclaimed := free.Sub(w.claimed)
	if u.claim != nil {
		unclaimed = unclaimed.Add(u.claim.needs[w])
	}
	switch {
	case needs.Accelerators > 0 && free.Accelerators < needs.Accelerators:
		return explain.NoAccelerators
	case needs.MilliCPU > 0 && free.MilliCPU < needs.MilliCPU:
		return explain.NoCores
	case needs.MemoryMB > 0 && free.MemoryMB < needs.MemoryMB:
		return explain.NoMemory
	case tasksThatFit(unclaimed, u.step) == 0:
		return explain.Claimed
	case tasksThatFit(available, u.step) == 0:
		return explain.Reserved
	}
	return explain.TasksPerWorker
}

// fitsEmptyFleet reports whether the workers that have reported would hold a unit if they
// were all eligible and empty. Workers may be missing until LeaseBound after the first
// report of a term.
func (c *Core) fitsEmptyFleet(u *unit) bool {
	n := 0
	for _, w := range c.sortedWorkers {
		if w.info.Pool != u.job.Pool || u.step.RequiredLabel != "" && !slices.Contains(w.info.Labels, u.step.RequiredLabel) {
			continue
		}
		n += tasksThatFit(w.info.Capacity, u.step)
	}
	return n >= u.taskCount
}

// summarize sets the verdict and the expected start and end of the job. The end is that
// of the last ready step with the chain of steps that depend on it.
func (c *Core) summarize(j *job, r *explain.Report) {
	r.Verdict = explain.Waits
	if len(r.Steps) == 0 {
		r.Verdict = explain.Running
		return
	}
	left := j.remainingPath()
	complete := true // the end of each ready step is known
	for i := range r.Steps {
		s := &r.Steps[i]
		if s.NeverFits {
			r.Verdict, complete = explain.NeverFits, false
		}
		if s.Plan == explain.Place && r.Verdict == explain.Waits {
			r.Verdict = explain.StartsNow
		}
		if s.StartMS == nil {
			complete = false
			continue
		}
		if r.StartMS == nil || *s.StartMS < *r.StartMS {
			r.StartMS = s.StartMS
		}
		end := *s.EndMS + max(0, left-j.runTimes[s.Step]).Milliseconds()
		if r.EndMS == nil || end > *r.EndMS {
			r.EndMS = &end
		}
	}
	if !complete {
		r.EndMS = nil
	}
}
