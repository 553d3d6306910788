package plan

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// suspectedCrash is a crash that was recorded as the lease of a worker's incarnation ended
// under tasks of a unit. It is taken back if that incarnation answers, in this term or a later
// one, and stands once another one reports.
type suspectedCrash struct {
	worker, incarnation string
	run                 crashedRun
}

// suspectCrash records that the crash of a run's worker is only suspected. It returns false
// if the job has so many of them that the table would not hold another one.
func (c *Core) suspectCrash(w *worker, r crashedRun) bool {
	j := r.unit.job
	tasks := len(r.tasks)
	for _, s := range j.suspected {
		tasks += len(s.run.tasks)
	}
	if len(j.suspected) >= graph.MaxSuspectedCrashes || tasks > graph.MaxSuspectedTasks {
		return false
	}
	c.addSuspectedCrash(&suspectedCrash{w.info.ID, w.info.Incarnation(), r})
	return true
}

func (c *Core) addSuspectedCrash(s *suspectedCrash) {
	s.run.unit.job.suspected = append(s.run.unit.job.suspected, s)
	c.suspected[s.worker] = append(c.suspected[s.worker], s)
}

// resolveSuspectedCrashes decides the suspected crashes of a worker of which an incarnation
// reports: those of another incarnation stand, and its own ones are taken back if it answers.
func (c *Core) resolveSuspectedCrashes(worker, incarnation string, answers bool) {
	for _, s := range slices.Clone(c.suspected[worker]) {
		same := s.incarnation == incarnation
		if same && !answers {
			continue
		}
		if same {
			c.takeBackCrash(s)
		}
		c.removeSuspectedCrash(s)
		if j := s.run.unit.job; !j.state.Final() {
			c.requestSave(j, nil)
		}
	}
}

// takeBackCrash takes back a suspected crash: the worker was only silent.
func (c *Core) takeBackCrash(s *suspectedCrash) {
	u := s.run.unit
	if w := c.workers[s.worker]; w != nil {
		w.crashedJobs = withoutJob(w.crashedJobs, u.job)
	}
	if u.job.state.Final() {
		return
	}
	for _, i := range s.run.tasks {
		t := u.crashesOf(i)
		if t.inRun {
			t.inRun = false
		} else {
			t.count = max(0, t.count-1)
		}
	}
}

func (c *Core) removeSuspectedCrash(s *suspectedCrash) {
	is := func(o *suspectedCrash) bool { return o == s }
	s.run.unit.job.suspected = slices.DeleteFunc(s.run.unit.job.suspected, is)
	c.suspected[s.worker] = slices.DeleteFunc(c.suspected[s.worker], is)
	if len(c.suspected[s.worker]) == 0 {
		delete(c.suspected, s.worker)
	}
}

// suspectedCrashes returns the job's suspected crashes to be stored.
func (j *job) suspectedCrashes() []graph.SuspectedCrash {
	if j.state.Final() {
		return nil
	}
	var out []graph.SuspectedCrash
	for _, s := range j.suspected {
		stored := graph.SuspectedCrash{Worker: s.worker, Incarnation: s.incarnation}
		for _, i := range s.run.tasks {
			stored.Tasks = append(stored.Tasks, graph.TaskRef{Step: s.run.unit.stepIndex, Index: s.run.unit.firstIndex + i})
		}
		out = append(out, stored)
	}
	return out
}

// restoreSuspectedCrashes restores the suspected crashes of a job that is added, and decides
// those of workers that have reported in this term already.
func (c *Core) restoreSuspectedCrashes(j *job, stored []graph.SuspectedCrash) {
	for _, s := range stored {
		r := j.crashedRunOf(s.Tasks)
		if r.unit == nil || j.state.Final() {
			continue
		}
		c.addSuspectedCrash(&suspectedCrash{s.Worker, s.Incarnation, r})
		if w := c.workers[s.Worker]; w != nil && w.reported {
			c.resolveSuspectedCrashes(s.Worker, w.info.Incarnation(), w.responsive)
		}
	}
}

// crashedRunOf returns the run of the unit that the first of some tasks belongs to.
func (j *job) crashedRunOf(tasks []graph.TaskRef) (r crashedRun) {
	for _, t := range tasks {
		u := j.unitOf(t.Step, t.Index)
		if r.unit == nil {
			r.unit = u
		}
		if u != nil && u == r.unit {
			r.tasks = append(r.tasks, t.Index-u.firstIndex)
		}
	}
	return r
}
