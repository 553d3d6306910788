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
	job        *job
	stepIndex  int
	firstIndex int // of the first task
	taskCount  int
	step       *graph.Step

	phase      unitPhase
	members    []*member // of the present run, one for each task
	run        uint64
	runDone    bool // a member of the present run has ended done
	runFailed  bool // a member of the present run has failed
	stopping   bool // the present run is being stopped
	failures   int
	checkpoint string
	notBefore  time.Duration
	avoidUntil map[string]time.Duration // workers, until when
	claim      *claim
}

// member is one task of a unit's present run.
type member struct {
	unit   *unit
	task   graph.TaskID
	run    uint64
	worker *worker
	// incarnation is that of the worker on which the run was placed.
	incarnation  string
	recovered    bool // placed in an earlier term
	startSent    bool // the start has been sent in this term
	running      bool // the worker has listed it
	stopping     bool
	ended        bool
	orderSession string        // in which the last order was sent
	lastOrderAt  time.Duration // when it was sent

	percent        int
	lastProgressAt time.Duration // when percent last grew
	runningSince   time.Duration
	checkpointAt   time.Duration // when the checkpoint last changed
	checkpoint     string
}

type job struct {
	*graph.Job
	units       []*unit
	unitsByStep [][]*unit
	state       graph.State // as decided
	started     bool        // a task has been started
	finishedAt  time.Time   // when the state became final

	durableState     graph.State // as saved
	stateInSave      graph.State // in the save that is in progress
	saveNumber       uint64
	saveInProgress   bool
	changedSinceSave bool
	afterCurrentSave []func()
	afterNextSave    []func()
	arrivedAt        time.Duration // on the term's clock; negative for earlier ones
}

func newJob(g *graph.Job) *job {
	j := &job{Job: g, state: graph.Queued, durableState: graph.Queued}
	for i := range g.Steps {
		s := &g.Steps[i]
		var units []*unit
		if s.Gang {
			units = append(units, &unit{job: j, stepIndex: i, taskCount: s.Count, step: s})
		}
		for k := 0; !s.Gang && k < s.Count; k++ {
			units = append(units, &unit{job: j, stepIndex: i, firstIndex: k, taskCount: 1, step: s})
		}
		j.unitsByStep = append(j.unitsByStep, units)
		j.units = append(j.units, units...)
	}
	return j
}

// visibleState is the state that callers may see: a final one once it is durable. A
// cancelled job has its cancelling in the table already.
func (j *job) visibleState() graph.State {
	switch {
	case j.state == graph.Cancelled:
		return graph.Cancelled
	case j.durableState.Final():
		return j.durableState
	case j.started:
		return graph.Running
	default:
		return graph.Queued
	}
}

func (j *job) stepDone(i int) bool {
	for _, u := range j.unitsByStep[i] {
		if u.phase != unitDone {
			return false
		}
	}
	return true
}

// dependenciesDone reports whether all steps that the unit follows are done.
func (u *unit) dependenciesDone() bool {
	for _, s := range u.step.After {
		if !u.job.stepDone(s) {
			return false
		}
	}
	return true
}

func (u *unit) taskID(i int) graph.TaskID {
	return graph.TaskID{Job: u.job.ID, Step: u.stepIndex, Index: u.firstIndex + i}
}

// remaining estimates the work that is left of one task.
func (u *unit) remaining() time.Duration {
	percent := 0
	for _, m := range u.members {
		percent = max(percent, m.percent)
	}
	return u.step.Estimate * time.Duration(100-percent) / 100
}

// unsavedCoreSeconds estimates the core-seconds that are lost if the unit is stopped now.
func (u *unit) unsavedCoreSeconds(now time.Duration) float64 {
	total := 0.0
	for _, m := range u.members {
		if !m.running || m.ended {
			continue
		}
		since := m.runningSince
		if u.step.Checkpointable {
			// A stop brings a checkpoint of its own.
			since = now
		}
		total += (now - since).Seconds() * u.step.Needs.Cores()
	}
	return total
}

// progress returns what the table has to hold of the job.
func (j *job) progress() graph.Progress {
	p := graph.Progress{Job: j.ID, State: j.state, FinishedAt: j.finishedAt}
	if j.state == graph.Queued && j.started {
		p.State = graph.Running
	}
	j.stateInSave = p.State
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
		out = append(out, graph.TaskProgress{Step: u.stepIndex, Index: m.task.Index, Run: m.run,
			Worker: m.worker.info.ID, Incarnation: m.incarnation})
	}
	common := graph.TaskProgress{Step: u.stepIndex, Index: u.firstIndex, Failures: u.failures, RunFailed: u.runFailed,
		Done: u.phase == unitDone || u.runDone, Checkpoint: u.checkpoint}
	switch {
	case len(out) > 0 && out[0].Index == u.firstIndex:
		out[0].Failures, out[0].RunFailed, out[0].Done, out[0].Checkpoint = common.Failures, common.RunFailed, common.Done, common.Checkpoint
	case common.Failures > 0 || common.RunFailed || common.Done || common.Checkpoint != "":
		out = append([]graph.TaskProgress{common}, out...)
	}
	return out
}
