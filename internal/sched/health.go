package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

const (
	// strikeWindow is how long a failure counts against a worker.
	strikeWindow = 30 * time.Minute
	// quarantineJobs is how many jobs must fail on a worker for its quarantine.
	quarantineJobs = 3
	// maxRetries bounds the failures of a job anywhere.
	maxRetries    = 8
	probeAfter    = time.Minute
	probeAfterMax = time.Hour
	// probationTime ends a probation in which no work came.
	probationTime = 10 * time.Minute
)

// strike is the failure of one job on a worker.
type strike struct {
	jobID string
	at    time.Duration
}

// strike counts a failure against a worker; several jobs put it in quarantine.
// A job that has failed on another worker, too, counts against none of them
// unless the agent says that the worker is at fault.
func (c *Core) strike(w *worker, j *job, workerFault bool) {
	if w.Quarantined {
		return
	}
	if len(j.avoidedWorkers) > 1 && !workerFault {
		c.clearStrikes(j)
		return
	}
	var recent []strike
	for _, s := range w.strikes {
		if s.jobID != j.id() && s.at > c.now-strikeWindow {
			recent = append(recent, s)
		}
	}
	w.strikes = append(recent, strike{j.id(), c.now})
	if len(w.strikes) >= quarantineJobs || (w.Probation && workerFault) {
		c.quarantine(w)
	}
}

// quarantine keeps work from a worker. The failures there do not count against
// the jobs.
func (c *Core) quarantine(w *worker) {
	c.emitNotice(nil, w.Name, ReasonQuarantine, "")
	for _, s := range w.strikes {
		if j := c.jobs[s.jobID]; j != nil {
			j.failedWorkers = without(j.failedWorkers, w.Name)
		}
	}
	w.strikes = nil
	c.update(w, func(f *fleet.Worker) {
		f.Quarantined = true
		f.Probation = false
	})
	c.guaranteesDirty = true
	c.dropClaimsOn(w)
	wait := min(probeAfter<<min(w.probes, 6), probeAfterMax)
	w.probes++
	c.after(wait, func() {
		c.update(w, func(f *fleet.Worker) {
			f.Quarantined = false
			f.Probation = true
		})
		c.after(probationTime, func() { c.endProbation(w) })
	})
}

func (c *Core) endProbation(w *worker) {
	if !w.Probation || len(w.groups) > 0 {
		return
	}
	c.guaranteesDirty = true
	c.update(w, func(f *fleet.Worker) { f.Probation = false })
}

// forgiveWorkers lets a job try the workers again on which it failed, once it
// has no other place.
func (c *Core) forgiveWorkers(j *job) {
	if len(j.avoidedWorkers) == 0 {
		return
	}
	elsewhere := placement.Request{Gang: j.gang(), View: fleet.FullCapacity, Exclude: func(w *fleet.Worker) bool {
		return slices.Contains(j.avoidedWorkers, w.Name)
	}}
	if placement.Find(c.fleet, elsewhere) != nil {
		return
	}
	c.queue.remove(j)
	j.avoidedWorkers = nil
	c.queue.add(j)
}

func (c *Core) workerSucceeded(w *worker) {
	w.strikes = nil
	if !w.Probation {
		return
	}
	w.probes = 0
	c.guaranteesDirty = true
	c.update(w, func(f *fleet.Worker) { f.Probation = false })
}

// clearStrikes takes back what a job that fails everywhere has done to the
// standing of workers.
func (c *Core) clearStrikes(j *job) {
	for _, name := range j.avoidedWorkers {
		w := c.workers[name]
		var rest []strike
		for _, s := range w.strikes {
			if s.jobID != j.id() {
				rest = append(rest, s)
			}
		}
		w.strikes = rest
	}
}

func without(list []string, s string) []string {
	var out []string
	for _, o := range list {
		if o != s {
			out = append(out, o)
		}
	}
	return out
}
