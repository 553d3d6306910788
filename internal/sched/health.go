package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

const (
	// workerFailureWindow is how long a failure counts against a worker.
	workerFailureWindow = 30 * time.Minute
	// quarantineThreshold is the number of jobs that must fail on a worker before
	// it is quarantined.
	quarantineThreshold = 3
	// maxJobFailures limits the failures of a job on all workers.
	maxJobFailures = 8
	// A quarantine lasts quarantineMin, doubled for each consecutive one, up to
	// quarantineMax.
	quarantineMin = time.Minute
	quarantineMax = time.Hour
	// probationTimeout ends a probation during which no work arrived.
	probationTimeout = 10 * time.Minute
)

// workerFailure is the failure of one job on a worker.
type workerFailure struct {
	jobID string
	at    time.Duration
}

// recordWorkerFailure counts a failure against a worker and quarantines it after
// failures of several jobs. A job that has also failed on another worker counts
// against none of them, unless the agent reports that the worker is at fault.
func (c *Core) recordWorkerFailure(w *worker, j *job, workerFault bool) {
	if w.Quarantined {
		return
	}
	if len(j.avoidedWorkers) > 1 && !workerFault {
		c.clearWorkerFailures(j)
		return
	}
	var recent []workerFailure
	for _, s := range w.failures {
		if s.jobID != j.id() && s.at > c.now-workerFailureWindow {
			recent = append(recent, s)
		}
	}
	w.failures = append(recent, workerFailure{j.id(), c.now})
	if len(w.failures) >= quarantineThreshold || (w.Probation && workerFault) {
		c.quarantineWorker(w)
	}
}

// quarantineWorker takes a worker out of service for a time that grows with each
// quarantine. Failures on the worker no longer count against the jobs.
func (c *Core) quarantineWorker(w *worker) {
	c.emitNotice(nil, w.Name, ReasonQuarantine, "")
	for _, s := range w.failures {
		if j := c.jobs[s.jobID]; j != nil {
			j.failedWorkers = without(j.failedWorkers, w.Name)
		}
	}
	w.failures = nil
	c.updateWorker(w, func(f *fleet.Worker) {
		f.Quarantined = true
		f.Probation = false
	})
	c.guaranteesDirty = true
	c.dropWorkerClaims(w)
	wait := min(quarantineMin<<min(w.quarantines, 6), quarantineMax)
	w.quarantines++
	c.after(wait, func() {
		c.updateWorker(w, func(f *fleet.Worker) {
			f.Quarantined = false
			f.Probation = true
		})
		c.after(probationTimeout, func() { c.endProbation(w) })
	})
}

func (c *Core) endProbation(w *worker) {
	if !w.Probation || len(w.groups) > 0 {
		return
	}
	c.guaranteesDirty = true
	c.updateWorker(w, func(f *fleet.Worker) { f.Probation = false })
}

// allowAvoidedWorkers lets a job use the workers on which it failed again, once no
// other workers could hold it.
func (c *Core) allowAvoidedWorkers(j *job) {
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
	c.queue.insert(j)
}

func (c *Core) workerSucceeded(w *worker) {
	w.failures = nil
	if !w.Probation {
		return
	}
	w.quarantines = 0
	c.guaranteesDirty = true
	c.updateWorker(w, func(f *fleet.Worker) { f.Probation = false })
}

// clearWorkerFailures removes the failures of a job that fails everywhere from the
// workers' records.
func (c *Core) clearWorkerFailures(j *job) {
	for _, name := range j.avoidedWorkers {
		w := c.workers[name]
		var rest []workerFailure
		for _, s := range w.failures {
			if s.jobID != j.id() {
				rest = append(rest, s)
			}
		}
		w.failures = rest
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
