package plan

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// unitPhase is the phase of a unit.
type unitPhase int

const (
	unitWaiting unitPhase = iota
	unitPlaced            // on its way into the table or running
	unitDone
)

// unit is what is placed, ended and counted as one: a gang, or a single task.
type unit struct {
	job   *job
	step  int
	index int // of the first task
	tasks int
	spec  *graph.Step

	phase      unitPhase
	members    []*member // of the present run, one for each task
	run        uint64
	done       bool // a member of the present run has ended done
	failed     bool // a member of the present run has failed
	ending     bool // the present run is being stopped
	failures   int
	checkpoint string
	notBefore  time.Duration
	avoid      map[string]time.Duration // workers, until when
	claim      *claim
}

// member is one task of a unit's present run.
type member struct {
	unit   *unit
	task   graph.TaskID
	run    uint64
	worker *worker
	// incarnation is that of the worker on which the run was placed.
	incarnation string
	recovered   bool // placed in an earlier term
	ordered     bool // the start has been sent in this term
	running     bool // the worker has listed it
	stopping    bool
	ended       bool
	session     string        // in which the last order was sent
	orderedAt   time.Duration // when it was sent

	percent    int
	movedAt    time.Duration // when percent last grew
	runningAt  time.Duration
	savedAt    time.Duration // when the checkpoint last changed
	checkpoint string
}

type job struct {
	*graph.Job
	units    []*unit
	steps    [][]*unit
	state    graph.State // as decided
	begun    bool        // a task has been started
	finished time.Time   // when the state became final

	durable    graph.State // as saved
	savedState graph.State // in the save that is in progress
	number     uint64
	saving     bool
	dirty      bool
	afterSave  []func()
	afterNext  []func()
	arrived    time.Duration // on the term's clock; negative for earlier ones
}

func newJob(g *graph.Job) *job {
	j := &job{Job: g, state: graph.Queued, durable: graph.Queued}
	for i := range g.Steps {
		s := &g.Steps[i]
		var units []*unit
		if s.Gang {
			units = append(units, &unit{job: j, step: i, tasks: s.Count, spec: s})
		}
		for k := 0; !s.Gang && k < s.Count; k++ {
			units = append(units, &unit{job: j, step: i, index: k, tasks: 1, spec: s})
		}
		j.steps = append(j.steps, units)
		j.units = append(j.units, units...)
	}
	return j
}

// shown is the state that callers may see: a final one once it is durable. A
// cancelled job has its cancelling in the table already.
func (j *job) shown() graph.State {
	switch {
	case j.state == graph.Cancelled:
		return graph.Cancelled
	case j.durable.Final():
		return j.durable
	case j.begun:
		return graph.Running
	default:
		return graph.Queued
	}
}

func (j *job) stepDone(i int) bool {
	for _, u := range j.steps[i] {
		if u.phase != unitDone {
			return false
		}
	}
	return true
}

// ready reports whether all steps that the unit follows are done.
func (u *unit) ready() bool {
	for _, s := range u.spec.After {
		if !u.job.stepDone(s) {
			return false
		}
	}
	return true
}

func (u *unit) taskID(i int) graph.TaskID {
	return graph.TaskID{Job: u.job.ID, Step: u.step, Index: u.index + i}
}

// remaining estimates the work that is left of one task.
func (u *unit) remaining() time.Duration {
	percent := 0
	for _, m := range u.members {
		percent = max(percent, m.percent)
	}
	return u.spec.Estimate * time.Duration(100-percent) / 100
}

// unsaved estimates the core-seconds that are lost if the unit is stopped now.
func (u *unit) unsaved(now time.Duration) float64 {
	total := 0.0
	for _, m := range u.members {
		if !m.running || m.ended {
			continue
		}
		since := m.runningAt
		if u.spec.Checkpointable {
			// A stop brings a checkpoint of its own.
			since = now
		}
		total += (now - since).Seconds() * u.spec.Needs.Cores()
	}
	return total
}

// progress returns what the table has to hold of the job.
func (j *job) progress() graph.Progress {
	p := graph.Progress{Job: j.ID, State: j.state, FinishedAt: j.finished}
	if j.state == graph.Queued && j.begun {
		p.State = graph.Running
	}
	j.savedState = p.State
	for _, u := range j.units {
		p.Tasks = append(p.Tasks, u.progress()...)
	}
	return p
}

func (u *unit) progress() []graph.TaskProgress {
	var out []graph.TaskProgress
	for _, m := range u.members {
		if m.ended {
			continue
		}
		out = append(out, graph.TaskProgress{Step: u.step, Index: m.task.Index, Run: m.run,
			Worker: m.worker.info.ID, Incarnation: m.incarnation})
	}
	common := graph.TaskProgress{Step: u.step, Index: u.index, Failures: u.failures, RunFailed: u.failed,
		Done: u.phase == unitDone || u.done, Checkpoint: u.checkpoint}
	switch {
	case len(out) > 0 && out[0].Index == u.index:
		out[0].Failures, out[0].RunFailed, out[0].Done, out[0].Checkpoint = common.Failures, common.RunFailed, common.Done, common.Checkpoint
	case common.Failures > 0 || common.RunFailed || common.Done || common.Checkpoint != "":
		out = append([]graph.TaskProgress{common}, out...)
	}
	return out
}
