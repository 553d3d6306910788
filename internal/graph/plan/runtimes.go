package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/delaycost"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
)

const (
	// siblingSigma is the standard deviation of the logarithm of the run time of a
	// task around that of its step. Tasks of a step differ by 15 % to 30 %.
	siblingSigma = 0.15
	// unknownSpeedSigma is that of the logarithm of the slowness of workers whose speed
	// is not known, and unknownSpeedWeight the weight of a run on such a worker in what
	// is learned of its queue. A third of the workers may be 1.3 to 2.4 times as slow as
	// the others.
	unknownSpeedSigma  = 0.3
	unknownSpeedWeight = 0.25
	// minPartDone is the least part of a task, in percent, that a run must have done
	// to show the run time of the task.
	minPartDone = 20
	// unreliableSigma is the standard deviation of the logarithm of a run time above
	// which a job does not count as worthless by its expected run times. The run times
	// of one queue vary by 0.3 to 0.5.
	unreliableSigma = 0.5
	// priorSigma is the standard deviation of the logarithm of the ratio of the actual
	// to the estimated run times of a job whose queue is not learned. That of the known
	// queues is 0.2 to 0.9.
	priorSigma = 0.5
	// reviseThreshold is the least change, in the logarithm, by which an expected run
	// time is revised. Smaller changes would only reorder jobs that are alike.
	reviseThreshold = 0.15
)

// RunTimeObserved reports the run time that the tasks of a step have shown, for
// metrics: how far the estimate and the expectation at the start of the step were
// off.
type RunTimeObserved struct {
	Queue                      string
	Estimate, Expected, Actual time.Duration
}

func (RunTimeObserved) action() {}

// jobKnowledge is what is known of the run times of a job's steps.
type jobKnowledge struct {
	// queueRuns is the number of runs of the queue that the predictions rest on.
	queueRuns int
	steps     []stepKnowledge
	// cautious holds the cautiousRunTime by step.
	cautious []time.Duration
}

// stepKnowledge is what is known of the run time of a step.
type stepKnowledge struct {
	// predicted rests on the estimate and the queue, without the step's own tasks.
	predicted runtimes.Prediction
	// done is what the tasks that are done have shown, speedsKnown how many of them
	// ran on workers of known speed.
	done                   stepEvidence
	doneTasks, speedsKnown int
	// observed is set once the step counts as an observation of its queue.
	observed bool
}

func (c *Core) learnsRunTimes() bool { return c.cfg.Features.Has(feature.LearnedRunTimes) }

// RunTimes returns what has been learned of the run times of queues.
func (c *Core) RunTimes() runtimes.Snapshot { return c.runTimes.Snapshot() }

// RestoreRunTimes replaces what has been learned of the run times of queues. It is
// called before the jobs of a term are added.
func (c *Core) RestoreRunTimes(s runtimes.Snapshot) error {
	m, err := runtimes.Restore(s)
	if err == nil {
		c.runTimes = m
	}
	return err
}

// expectRunTimes sets the expected run times of a new job.
func (c *Core) expectRunTimes(j *job) {
	if !c.learnsRunTimes() || j.state.Final() {
		return
	}
	j.knowledge = &jobKnowledge{steps: make([]stepKnowledge, len(j.Steps)), cautious: make([]time.Duration, len(j.Steps))}
	c.predictRunTimes(j)
	for i := range j.Steps {
		p := j.knowledge.steps[i].predicted
		j.runTimes[i] = p.Expected()
		j.knowledge.cautious[i] = cautiousRunTime(p)
	}
}

// predictRunTimes renews the predictions of a job from its estimates and its queue.
func (c *Core) predictRunTimes(j *job) {
	j.knowledge.queueRuns = c.runTimes.Runs(j.Queue)
	for i := range j.Steps {
		j.knowledge.steps[i].predicted = c.runTimes.Predict(j.Queue, j.Steps[i].Estimate)
	}
}

// updateRunTimes revises the expected run times of a job by the progress of its
// runs. Its predictions are renewed only each time that the runs known of its queue
// have doubled, so that the order of waiting jobs does not follow each observation.
func (c *Core) updateRunTimes(j *job) {
	if j.knowledge == nil {
		return
	}
	if c.runTimes.Runs(j.Queue) > 2*j.knowledge.queueRuns {
		c.predictRunTimes(j)
	}
	before, last, revised := j.objective(), "", 0
	for i := range j.Steps {
		if detail := c.reviseRunTime(j, i); detail != "" {
			last = detail
			revised++
		}
	}
	if revised > 0 {
		c.emit(Notice{Reason: ReasonRunTimeRevised, Job: j.ID, Detail: fmt.Sprintf("objective %v, was %v, %d steps revised, queue %s with %d runs, %s",
			j.objective(), before, revised, j.Queue, j.knowledge.queueRuns, last)})
	}
}

// reviseRunTime sets the expected run time of a step by all that is known. Changes
// below reviseThreshold are left out. It returns the inputs of a change.
func (c *Core) reviseRunTime(j *job, step int) (detail string) {
	k, known := &j.knowledge.steps[step], j.runTimes[step]
	p := k.predicted.Update(c.evidence(j, step))
	if differs(p.Expected(), known) {
		j.runTimes[step] = p.Expected()
		detail = fmt.Sprintf("step %d: %v, sigma %.2f, was %v, estimate %v, %d tasks done", step, p.Expected(), p.Sigma(), known, j.Steps[step].Estimate, k.doneTasks)
	}
	if cautious := cautiousRunTime(p); differs(cautious, j.knowledge.cautious[step]) {
		j.knowledge.cautious[step] = cautious
	}
	return detail
}

// cautiousRunTime returns a run time that the actual one exceeds rarely if the
// prediction is unreliable, otherwise the expected one.
func cautiousRunTime(p runtimes.Prediction) time.Duration {
	if p.Sigma() > unreliableSigma {
		return p.Cautious()
	}
	return p.Expected()
}

func differs(a, b time.Duration) bool {
	return a != b && (a <= 0 || b <= 0 || math.Abs(math.Log(float64(a)/float64(b))) > reviseThreshold)
}

// evidence returns what the tasks of a step show of its run time, both those that
// are done and those that are running.
func (c *Core) evidence(j *job, step int) runtimes.Evidence {
	e := j.knowledge.steps[step].done
	for _, u := range j.unitsByStep[step] {
		if u.phase != unitPlaced || u.stopping {
			continue
		}
		if runTime, slowness, ok := c.projectedRunTime(u); ok {
			e.add(runTime, slowness)
		}
	}
	return e.sum()
}

// stepEvidence is what tasks of a step have shown of its run time, on workers of
// known and of unknown speed.
type stepEvidence struct{ known, unknown runtimes.Evidence }

func (e *stepEvidence) add(runTime time.Duration, s workerSlowness) {
	of := &e.unknown
	if s.known {
		of = &e.known
	}
	of.Add(time.Duration(float64(runTime)/s.factor), siblingSigma*siblingSigma)
}

// sum combines the evidence. Workers of unknown speed are slow more often than fast,
// so that the error of many of them does not average out.
func (e stepEvidence) sum() runtimes.Evidence {
	out := e.known
	if runTime := e.unknown.RunTime(); runTime > 0 {
		out.Add(runTime, e.unknown.Variance()+unknownSpeedSigma*unknownSpeedSigma)
	}
	return out
}

// workerSlowness is the slowness of the slowest worker of a run.
type workerSlowness struct {
	factor float64
	known  bool // of all workers of the run
}

// runSlowness returns by how much the workers of a run slow it down. It is not known
// for a gang that is spread over more racks than it should be.
func (c *Core) runSlowness(u *unit) (s workerSlowness, ok bool) {
	s = workerSlowness{factor: 1, known: true}
	for _, m := range u.members {
		if u.step.SameRack && m.worker.info.Rack != u.members[0].worker.info.Rack {
			return s, false
		}
		slowness, known := c.knownSlowness(m.worker)
		s.factor = max(s.factor, slowness)
		s.known = s.known && known
	}
	return s, len(u.members) > 0
}

// projectedRunTime returns the run time of a unit's tasks, as the progress of its
// slowest member shows it, and the slowness of its workers.
func (c *Core) projectedRunTime(u *unit) (time.Duration, workerSlowness, bool) {
	slowest := math.Inf(1)
	for _, m := range u.members {
		if !m.showsRunTime() {
			return 0, workerSlowness{}, false
		}
		slowest = min(slowest, m.rate())
	}
	s, ok := c.runSlowness(u)
	if !ok {
		return 0, s, false
	}
	return time.Duration(100 / slowest * float64(time.Second)), s, true
}

// showsRunTime reports whether the progress of a member is precise enough to tell
// its run time.
func (m *member) showsRunTime() bool {
	since, gained := m.startedAt, m.percent
	if !m.startedAfresh {
		since, gained = m.firstListedAt, m.percent-m.firstPercent
	}
	return m.running && !m.ended && gained >= minSpeedPercent && m.listedAt-since >= minSpeedWindow
}

// learnRunTime records the run time of a unit whose first member has ended with
// EndDone. It counts for the queue once half of the step's tasks are done: the first
// ones to end are those with the least work, and the tasks of a step are alike.
func (c *Core) learnRunTime(m *member) {
	u := m.unit
	if u.job.knowledge == nil || u.phase == unitDone {
		return
	}
	runTime, ok := m.doneRunTime(c.now)
	s, comparable := c.runSlowness(u)
	if !ok || !comparable {
		return
	}
	k := &u.job.knowledge.steps[u.stepIndex]
	k.done.add(runTime, s)
	k.doneTasks += u.taskCount
	if s.known {
		k.speedsKnown += u.taskCount
	}
	if !k.observed && 2*k.doneTasks >= u.step.Count {
		k.observed = true
		c.observeRunTime(u.job, u.stepIndex)
	}
}

// doneRunTime returns the run time of the whole task from a run that is done. For a
// run that resumed from a checkpoint, or began in an earlier term, it is scaled by
// the part that was observed; ok is false if that was too little.
func (m *member) doneRunTime(now time.Duration) (d time.Duration, ok bool) {
	if m.startedAfresh {
		return now - m.startedAt, true
	}
	part := 100 - m.firstPercent
	if !m.running || part < minPartDone {
		return 0, false
	}
	return (now - m.firstListedAt) * 100 / time.Duration(part), true
}

// observeRunTime adds the run time of a step to what is known of its queue.
func (c *Core) observeRunTime(j *job, step int) {
	k := &j.knowledge.steps[step]
	known := float64(k.speedsKnown) / float64(k.doneTasks)
	o := runtimes.Observation{Queue: j.Queue, Actual: k.done.sum().RunTime(), Estimate: j.Steps[step].Estimate,
		Weight: known + (1-known)*unknownSpeedWeight}
	c.runTimes.Observe(o)
	c.emit(RunTimeObserved{Queue: j.Queue, Estimate: o.Estimate, Expected: k.predicted.Expected(), Actual: o.Actual})
	c.emit(Notice{Reason: ReasonRunTimeLearned, Job: j.ID, Detail: fmt.Sprintf("queue %s, step %d: %v, expected %v, estimate %v, weight %.2f, run %d of the queue",
		j.Queue, step, o.Actual, k.predicted.Expected(), o.Estimate, o.Weight, c.runTimes.Runs(j.Queue))})
}

// runTimeSigma returns the standard deviation of the logarithm of the ratio of the
// actual run times of a job to the expected ones, the largest one of its steps.
func (j *job) runTimeSigma() float64 {
	if j.knowledge == nil {
		return priorSigma
	}
	sigma := 0.0
	for i := range j.knowledge.steps {
		sigma = max(sigma, j.knowledge.steps[i].predicted.Sigma())
	}
	return sigma
}

// cautiousObjective is the objective by the cautious run times, and at least the
// objective. It is the objective if run times are not learned.
func (j *job) cautiousObjective() time.Duration {
	if j.knowledge == nil {
		return j.objective()
	}
	return max(j.objective(), j.ObjectiveFor(j.knowledge.cautious))
}

// cautiousWorthlessAt is the time after which a job certainly has no value, as far as
// its run times are known.
func (j *job) cautiousWorthlessAt() time.Duration {
	return j.arrivedAt + delaycost.WorthlessFactor*j.cautiousObjective()
}
