package plan

import (
	"fmt"
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
	session     string // in which the last order was sent

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
		if u.spec.Checkpoints {
			// A stop brings a checkpoint of its own.
			since = now
		}
		total += (now - since).Seconds() * u.spec.Needs.Cores()
	}
	return total
}

// progress returns what the table has to hold of the job.
func (j *job) progress() graph.Progress {
	p := graph.Progress{Job: j.ID, State: j.state, Finished: j.finished}
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
	common := graph.TaskProgress{Step: u.step, Index: u.index, Failures: u.failures,
		Done: u.phase == unitDone || u.done, Checkpoint: u.checkpoint}
	switch {
	case len(out) > 0 && out[0].Index == u.index:
		out[0].Failures, out[0].Done, out[0].Checkpoint = common.Failures, common.Done, common.Checkpoint
	case common.Failures > 0 || common.Done || common.Checkpoint != "":
		out = append([]graph.TaskProgress{common}, out...)
	}
	return out
}

// submitted takes over a job from the table.
func (c *Core) submitted(e Submitted) {
	if c.jobs[e.Job.ID] != nil {
		return
	}
	c.stirred = true
	j := newJob(e.Job)
	j.arrived = min(e.Job.Submitted.Sub(c.cfg.TermStart), c.now)
	c.jobs[j.ID] = j
	if e.Progress != nil {
		c.recover(j, e.Progress)
	}
	if !j.state.Final() {
		c.live = append(c.live, j)
	}
	c.emit(Notice{Reason: ReasonAccepted, Job: j.ID, Detail: j.describe()})
}

// describe summarizes a job for the log.
func (j *job) describe() string {
	tasks, gangs := 0, 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if j.Steps[i].Gang {
			gangs++
		}
	}
	return fmt.Sprintf("%s, priority %d, account %s, %d steps (%d gangs), %d tasks, %d accelerators, chain %v, objective %v",
		j.state, j.Priority, j.Account, len(j.Steps), gangs, tasks, j.accelerators(), j.Chain(), j.Objective())
}

// recover restores a job's units. Where a task may still run it is bound to
// the worker's incarnation until that worker is heard or its lease is over.
func (c *Core) recover(j *job, p *graph.Progress) {
	j.state, j.durable, j.finished = p.State, p.State, p.Finished
	j.begun = p.State != graph.Queued
	for _, t := range p.Tasks {
		u := j.unitOf(t.Step, t.Index)
		if u == nil {
			continue
		}
		if t.Index == u.index {
			u.failures, u.checkpoint = t.Failures, t.Checkpoint
			if t.Done {
				u.phase, u.done = unitDone, true
			}
		}
		if t.Worker != "" {
			c.recoverMember(u, t)
		}
	}
	for _, u := range j.units {
		if len(u.members) > 0 && u.phase != unitDone {
			u.phase = unitPlaced
		}
		if j.state.Final() {
			c.endRun(u)
		}
	}
}

func (c *Core) recoverMember(u *unit, t graph.TaskProgress) {
	w := c.worker(t.Worker)
	m := &member{unit: u, task: u.taskID(t.Index - u.index), run: t.Run, worker: w, incarnation: t.Incarnation,
		recovered: true, movedAt: c.now, runningAt: c.now}
	u.run = max(u.run, t.Run)
	u.members = append(u.members, m)
	c.occupy(m)
}

func (j *job) unitOf(step, index int) *unit {
	if step < 0 || step >= len(j.steps) {
		return nil
	}
	units := j.steps[step]
	if len(units) == 0 {
		return nil
	}
	if units[0].spec.Gang {
		return units[0]
	}
	if index < 0 || index >= len(units) {
		return nil
	}
	return units[index]
}

func (c *Core) cancel(id graph.JobID) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	c.finish(j, graph.Cancelled, ReasonCancelled)
}

// finish gives a job its final state and ends what still runs of it.
func (c *Core) finish(j *job, state graph.State, why Reason) {
	j.state = state
	j.finished = c.cfg.TermStart.Add(c.now)
	c.emit(Notice{Reason: why, Job: j.ID, Detail: fmt.Sprintf("after %v, objective %v", c.now-j.arrived, j.Objective())})
	for _, u := range j.units {
		c.dropClaim(u)
		if !u.done {
			c.endRun(u)
		}
	}
	c.save(j, nil)
	for i, o := range c.live {
		if o == j {
			c.live = append(c.live[:i:i], c.live[i+1:]...)
			break
		}
	}
}

// endRun orders the end of all members of a unit's present run.
func (c *Core) endRun(u *unit) {
	u.ending = true
	for _, m := range u.members {
		c.stop(m)
	}
}

// stop orders the end of one member. Before its start was sent there is
// nothing to stop: the start is not sent any more.
func (c *Core) stop(m *member) {
	if m.ended || m.stopping && m.session == m.worker.session {
		return
	}
	m.stopping = true
	if !m.ordered && !m.recovered {
		return
	}
	if !m.worker.linked() || m.incarnation != m.worker.info.Incarnation() {
		return
	}
	m.session = m.worker.session
	c.emit(Stop{Worker: m.worker.info.ID, Incarnation: m.incarnation, Task: m.task, Run: m.run})
}

// memberEnded takes the end of one member.
func (c *Core) memberEnded(m *member, how graph.EndKind, checkpoint string) {
	if m.ended {
		return
	}
	m.ended = true
	c.stirred = true
	c.release(m)
	u := m.unit
	c.emit(Notice{Reason: ReasonEnded, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID, Detail: string(how)})
	if checkpoint != "" && u.spec.Checkpoints {
		u.checkpoint = checkpoint
	}
	switch how {
	case graph.EndDone:
		u.done = true
		c.workerDid(m.worker, u)
	case graph.EndFailed:
		u.failed = true
		c.workerFailed(m.worker, u)
	}
	if !u.done && !u.ending {
		c.endRun(u)
	}
	c.settle(u)
}

// settle ends the unit's run once all members have ended, or one of them done.
func (c *Core) settle(u *unit) {
	if u.done && u.phase != unitDone {
		u.phase = unitDone
		c.completeIfDone(u.job)
	}
	for _, m := range u.members {
		if !m.ended {
			return
		}
	}
	u.members = nil
	u.ending = false
	if u.phase == unitDone || u.job.state.Final() {
		return
	}
	u.phase = unitWaiting
	if !u.failed {
		return
	}
	u.failed = false
	u.failures++
	if u.failures >= max(1, u.job.Attempts) {
		c.finish(u.job, graph.Failed, ReasonFailed)
	}
}

func (c *Core) completeIfDone(j *job) {
	if j.state.Final() {
		return
	}
	for i := range j.steps {
		if !j.stepDone(i) {
			return
		}
	}
	c.finish(j, graph.Completed, ReasonDone)
}
