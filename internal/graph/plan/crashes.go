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
	// tasks holds the crashes under each task, by its index within the unit; nil if there
	// are none. Crashes under different tasks of a gang have no task as their common cause.
	tasks   []taskCrashes
	workers []string // that crashed in this term
	// keptApart is set once a worker crashed on which the unit was beside suspects.
	keptApart bool
}

// taskCrashes are the crashes of workers under the runs of a task.
type taskCrashes struct {
	count int
	inRun bool // a worker has crashed under the current run
	// limit is the count at which the job is failed, by the crash under the current run; 0
	// if that was in an earlier term, which may have found the unit beside others.
	limit int
}

// of returns the crashes under the task with an index within the unit.
func (c *unitCrashes) of(index int) taskCrashes {
	if c.tasks == nil {
		return taskCrashes{}
	}
	return c.tasks[index]
}

// most returns the largest number of crashes under one task.
func (c *unitCrashes) most() int {
	most := 0
	for _, t := range c.tasks {
		most = max(most, t.count)
	}
	return most
}

// inRun reports whether a worker has crashed under the current run.
func (c *unitCrashes) inRun() bool {
	return slices.ContainsFunc(c.tasks, func(t taskCrashes) bool { return t.inRun })
}

// beginRun forgets the crashes under the current run.
func (c *unitCrashes) beginRun() {
	for i := range c.tasks {
		c.tasks[i].inRun = false
	}
}

// resetCounts forgets the crashes under earlier runs.
func (c *unitCrashes) resetCounts() {
	for i := range c.tasks {
		c.tasks[i].count = 0
	}
}

// crashesOf returns the crashes of a unit's task, to be changed.
func (u *unit) crashesOf(index int) *taskCrashes {
	if u.crashes.tasks == nil {
		u.crashes.tasks = make([]taskCrashes, u.taskCount)
	}
	return &u.crashes.tasks[index]
}

// mayRunBesideSuspects reports whether conflictsWithSuspects may be waived. Once two workers
// have crashed under a task it may be given up, so it rather waits.
func (c *unitCrashes) mayRunBesideSuspects() bool {
	return c.most() > 0 && c.most() < maxCrashes-1 && !c.keptApart
}

// index returns the index of the member's task within its unit.
func (m *member) index() int { return m.task.Index - m.unit.firstIndex }

// crashedRun is a run under which a worker has crashed, with the indexes of the tasks that
// it had there.
type crashedRun struct {
	unit  *unit
	tasks []int
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
	var runs []crashedRun
	for _, m := range w.members {
		if !begun(m) {
			continue
		}
		i := slices.IndexFunc(runs, func(r crashedRun) bool { return r.unit == m.unit })
		if i < 0 {
			i = len(runs)
			runs = append(runs, crashedRun{unit: m.unit})
		}
		runs[i].tasks = append(runs[i].tasks, m.index())
	}
	alone := len(runs) == 1 && w.unknownUse == graph.Resources{}
	inconclusive := keepApart(w, begun)
	for _, r := range runs {
		u := r.unit
		if lasted(u, w) > crashWindow {
			u.crashes.resetCounts()
			continue
		}
		if inconclusive || !restarted && !c.suspectCrash(w, r) {
			continue
		}
		limit, earlier := maxSharedCrashes, 0
		if alone {
			limit = maxCrashes
		}
		for _, i := range r.tasks {
			t := u.crashesOf(i)
			t.inRun, t.limit = true, limit
			earlier = max(earlier, t.count)
		}
		if !slices.Contains(u.crashes.workers, w.info.ID) {
			u.crashes.workers = append(u.crashes.workers, w.info.ID)
		}
		others := withoutJob(w.crashedJobs, u.job)
		w.crashedJobs = append(others[max(0, len(others)+1-maxCrashedJobs):], u.job.ID)
		c.emit(Notice{Reason: ReasonWorkerCrashed, Job: u.job.ID, Task: u.taskID(r.tasks[0]).String(), Run: u.run, Worker: w.info.ID,
			Detail: fmt.Sprintf("%d earlier crashes, %d tasks of the unit and %d units on the worker", earlier, len(r.tasks), len(runs))})
	}
}

// keepApart reports whether a crash of a worker tells nothing, as a unit that had begun there
// lately was placed beside suspects. That unit is kept apart from others from then on, so
// that the next crash tells.
func keepApart(w *worker, begun func(*member) bool) bool {
	found := false
	for _, m := range w.members {
		if m.besideSuspects && begun(m) && lasted(m.unit, w) <= crashWindow {
			m.unit.crashes.keptApart, found = true, true
		}
	}
	return found
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

// countCrash counts the last run of a unit for the tasks under which a worker crashed, and
// fails the job once that was one too many for a task.
func (c *Core) countCrash(u *unit) {
	deadly := -1
	for i := range u.crashes.tasks {
		t := &u.crashes.tasks[i]
		if !t.inRun {
			continue
		}
		limit := t.limit
		if limit == 0 {
			limit = maxSharedCrashes
		}
		t.inRun, t.limit = false, 0
		t.count++
		if t.count >= limit && deadly < 0 {
			deadly = i
		}
	}
	if deadly < 0 {
		return
	}
	for _, w := range c.sortedWorkers {
		w.crashedJobs = withoutJob(w.crashedJobs, u.job)
	}
	c.finishJob(u.job, graph.Failed, Notice{Reason: ReasonJobCrashesWorkers, Task: u.taskID(deadly).String(),
		Detail: fmt.Sprintf("; %d crashes, in this term of %s", u.crashes.tasks[deadly].count, strings.Join(u.crashes.workers, ", "))})
}

// conflictsWithSuspects reports whether a unit must not be placed on a worker because
// another one there has crashed workers too, and the next crash would fail one of them. Of
// two that always crash together, the innocent one would be failed with the other. Once a
// run has lasted for crashWindow it is no danger. A job that stands still on an idle pool
// waives this, as the run there may be a fresh one again and again; see keepApart.
func (c *Core) conflictsWithSuspects(u *unit, w *worker) bool {
	if u.crashes.most() == 0 || w.suspects == 0 {
		return false
	}
	return slices.ContainsFunc(w.members, func(m *member) bool {
		fresh := !m.running || c.now-m.runningSince <= crashWindow
		return m.crashes > 0 && fresh && max(m.crashes, u.crashes.most()) >= maxCrashes-1
	})
}

// byCrashes returns the sets of candidates to try for a unit, in order. A unit that
// has crashed workers goes where nothing else runs, preferably to a worker that did not
// crash under it: its next crash then ends no other run and shows the cause. Other units
// avoid its worker, and workers that have crashed under several jobs.
func byCrashes(u *unit, candidates []candidate) [][]candidate {
	if u.crashes.most() == 0 {
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
