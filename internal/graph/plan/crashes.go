package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// crashWindow is the longest time that a run may have lasted for a crash of its
	// worker to count against its unit. At the target size a worker is lost every 1.3
	// million worker-seconds, so gangs of 128 that run for hours would else be failed.
	crashWindow = 10 * time.Second
	// maxCrashes is the number of counted crashes at which a job is failed if its unit was
	// alone on the worker at the last one. Beside other units it is maxSharedCrashes:
	// bystanders of several deadly tasks have lost three runs.
	maxCrashes       = 3
	maxSharedCrashes = 4
	// maxCrashedJobs limits worker.crashedJobs. Two are enough to doubt a worker.
	maxCrashedJobs = 3
)

// unitCrashes are the crashes of workers under the runs of a unit.
type unitCrashes struct {
	count int
	// inRun is set once a worker has crashed under the current run. limit is then the count
	// at which the job is failed, 0 if the crash was in an earlier term.
	inRun   bool
	limit   int
	workers []string // that crashed in this term
}

// recordCrashes records a crash of a worker for the units that had begun there, before
// their members end. restarted tells that another incarnation has reported, as opposed to
// the end of the lease. begun reports whether a member's run had begun: a start that was
// lost with the worker is none of its doing.
//
// The caller ensures that the worker's agent has outlived it. Otherwise its host may be
// lost, as all hosts are in a power failure, and no task causes that.
func (c *Core) recordCrashes(w *worker, begun func(*member) bool, restarted bool) {
	if w.info.Draining {
		return
	}
	var units []*unit
	for _, m := range w.members {
		if begun(m) && !slices.Contains(units, m.unit) {
			units = append(units, m.unit)
		}
	}
	alone := len(units) == 1 && w.unknownUse == graph.Resources{}
	for _, u := range units {
		if lasted(u, w) > crashWindow {
			u.crashes.count = 0
			continue
		}
		others := withoutJob(w.crashedJobs, u.job)
		u.crashes.inRun = true
		u.crashes.limit = maxSharedCrashes
		if alone {
			u.crashes.limit = maxCrashes
		}
		if !slices.Contains(u.crashes.workers, w.info.ID) {
			u.crashes.workers = append(u.crashes.workers, w.info.ID)
		}
		w.crashedJobs = append(others[max(0, len(others)+1-maxCrashedJobs):], u.job.ID)
		if !restarted {
			w.expiredCrashes = append(w.expiredCrashes, u)
		}
		c.emit(Notice{Reason: ReasonWorkerCrashed, Job: u.job.ID, Task: u.taskID(0).String(), Run: u.run, Worker: w.info.ID,
			Detail: fmt.Sprintf("%d earlier crashes, %d units on the worker", u.crashes.count, len(units))})
	}
}

// lasted returns the time for which the worker has reported the unit's run, as far as
// this term knows.
func lasted(u *unit, w *worker) time.Duration {
	longest := time.Duration(0)
	for _, m := range u.members {
		if m.worker == w && m.running {
			longest = max(longest, w.lastGrantAt-m.runningSince)
		}
	}
	return longest
}

func withoutJob(ids []graph.JobID, j *job) []graph.JobID {
	return slices.DeleteFunc(slices.Clone(ids), func(id graph.JobID) bool { return id == j.ID })
}

// countCrash counts the last run of a unit if a worker crashed under it, and fails the
// job once that was one too many.
func (c *Core) countCrash(u *unit) {
	if !u.crashes.inRun {
		return
	}
	limit := u.crashes.limit
	if limit == 0 {
		limit = maxCrashes
	}
	u.crashes.inRun, u.crashes.limit = false, 0
	u.crashes.count++
	if u.crashes.count < limit {
		return
	}
	for _, w := range c.sortedWorkers {
		w.crashedJobs = withoutJob(w.crashedJobs, u.job)
	}
	c.finishJob(u.job, graph.Failed, Notice{Reason: ReasonJobCrashesWorkers, Task: u.taskID(0).String(),
		Detail: fmt.Sprintf("; %d crashes, in this term of %s", u.crashes.count, strings.Join(u.crashes.workers, ", "))})
}

// takeBackCrashes takes back the crashes that were recorded when the worker's lease
// expired: it answers again, so it has not crashed.
func (c *Core) takeBackCrashes(w *worker) {
	for _, u := range w.expiredCrashes {
		w.crashedJobs = withoutJob(w.crashedJobs, u.job)
		if u.job.state.Final() {
			continue
		}
		if u.crashes.inRun {
			u.crashes.inRun = false
		} else {
			u.crashes.count = max(0, u.crashes.count-1)
		}
		c.requestSave(u.job, nil)
	}
	w.expiredCrashes = nil
}

// conflictsWithSuspects reports whether a unit must not be placed on a worker because
// another one there has crashed workers too, and the next crash would fail one of them. Of
// two that always crash together, the innocent one would be failed with the other. Once a
// run has lasted for crashWindow it is no danger.
func (c *Core) conflictsWithSuspects(u *unit, w *worker) bool {
	if u.crashes.count == 0 || w.suspects == 0 {
		return false
	}
	return slices.ContainsFunc(w.members, func(m *member) bool {
		fresh := !m.running || c.now-m.runningSince <= crashWindow
		return m.crashes > 0 && fresh && max(m.crashes, u.crashes.count) >= maxCrashes-1
	})
}

// byCrashes returns the sets of candidates to try for a unit, in order. A unit that
// has crashed workers goes where nothing else runs, preferably to a worker that did not
// crash under it: its next crash then ends no other run and shows the cause. Other units
// avoid its worker, and workers that have crashed under several jobs.
func byCrashes(u *unit, candidates []candidate) [][]candidate {
	if u.crashes.count == 0 {
		return preferring(candidates, func(w *worker) bool { return w.suspects == 0 && len(w.crashedJobs) < 2 })
	}
	empty := func(w *worker) bool { return len(w.members) == 0 }
	elsewhere := func(w *worker) bool { return !slices.Contains(u.crashes.workers, w.info.ID) }
	return preferring(candidates, func(w *worker) bool { return empty(w) && elsewhere(w) }, empty, elsewhere)
}

// preferring returns the candidates that meet each condition, in order, and then all of
// them.
func preferring(candidates []candidate, conditions ...func(*worker) bool) [][]candidate {
	var sets [][]candidate
	for _, meets := range conditions {
		fails := func(s candidate) bool { return !meets(s.worker) }
		if !slices.ContainsFunc(candidates, fails) {
			break
		}
		if set := slices.DeleteFunc(slices.Clone(candidates), fails); len(set) > 0 {
			sets = append(sets, set)
		}
	}
	return append(sets, candidates)
}
