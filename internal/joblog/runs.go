package joblog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// unitRun is one run of a unit: of a gang, whose members share the run number, or of a
// single task.
type unitRun struct {
	number  uint64
	members map[string]*run // by task
	first   event           // the first decision or refusal that may have ended it
	needs   graph.Resources // of each task
	sized   bool            // needs is known
	cause   event           // the first of all that may have ended it, once settled
}

// run is one run of a task.
type run struct {
	task, worker           string
	placed, started, ended time.Time
	end, reason            string // of the end
	checkpoint             string // from which it began
	stopOrdered            time.Time
	token                  uint64 // of the term that placed it, 0 if not known
	endToken               uint64 // of the term that saw its end
}

// note records an event of the run, if it is the first one.
func (u *unitRun) note(e event) {
	if u.first.cause == "" || e.before(u.first) {
		u.first = e
	}
}

// sorted returns the members by task.
func (u *unitRun) sorted() []*run {
	return slices.SortedFunc(maps.Values(u.members), func(a, b *run) int { return compareTasks(a.task, b.task) })
}

// done reports whether a member ended as done, and with it the unit.
func (u *unitRun) done() bool {
	for _, r := range u.members {
		if r.end == endDone {
			return true
		}
	}
	return false
}

// begins reports when the run began to hold its worker: at its placement, or the first
// thing that is known of it.
func (r *run) begins() time.Time { return firstTime(r.placed, r.started, r.stopOrdered, r.ended) }

// worked returns when the run's work began: at the order of its start, or at its placement
// if it was never started.
func (r *run) worked() time.Time { return firstTime(r.started, r.begins()) }

// firstTime returns the first of the times that is set.
func firstTime(times ...time.Time) time.Time {
	for _, t := range times {
		if !t.IsZero() {
			return t
		}
	}
	return time.Time{}
}

// setFirst sets a time to an earlier one.
func setFirst(t *time.Time, at time.Time) {
	if t.IsZero() || at.Before(*t) {
		*t = at
	}
}

// stepOf returns the step of a task ID, JOB.OCCURRENCE.STEP.INDEX, or 0.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) < 4 {
		return 0
	}
	step, _ := strconv.Atoi(parts[len(parts)-2])
	return step
}

// compareTasks orders tasks by the numbers of their IDs.
func compareTasks(a, b string) int {
	x, y := strings.Split(a, "."), strings.Split(b, ".")
	return slices.CompareFunc(x, y, func(p, q string) int {
		m, errM := strconv.Atoi(p)
		n, errN := strconv.Atoi(q)
		if errM != nil || errN != nil {
			return cmp.Compare(p, q)
		}
		return cmp.Compare(m, n)
	})
}

// byTask returns the runs of each task of a job by number, in which they follow each other.
// Those are left out of which a line tells no time but that of a refusal.
func (o *job) byTask() map[string][]taskRun {
	out := map[string][]taskRun{}
	for _, u := range o.units {
		for task, r := range u.members {
			if !r.begins().IsZero() {
				out[task] = append(out[task], taskRun{u, r})
			}
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b taskRun) int {
			return cmp.Compare(a.unit.number, b.unit.number)
		})
	}
	return out
}

// taskRun is a run of a task with the run of its unit.
type taskRun struct {
	unit *unitRun
	run  *run
}
