package plan

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// unitPhase is the scheduling phase of a unit.
type unitPhase int

const (
	unitWaiting unitPhase = iota
	unitPlaced            // the placement is being saved or the run is active
	unitDone
)

// unit is the smallest entity that is placed, stopped and retried as a whole: a
// gang or a single task.
type unit struct {
	job        *job
	stepIndex  int
	firstIndex int // index of the first task within the step
	taskCount  int
	step       *graph.Step

	phase     unitPhase
	members   []*member // one per task of the current run
	run       uint64
	placedAt  time.Duration // that the stored placement names
	runDone   bool          // a member of the current run ended with EndDone
	runFailed bool          // a member of the current run ended with EndFailed
	stopping  bool          // the current run is being stopped
	// awaitedRun is the last run of which late calls were awaited after all members had ended.
	awaitedRun uint64
	history    runHistory
	crashes    unitCrashes
	// speedsLearned is set once the members of the current run were compared.
	speedsLearned bool
	failures      int
	checkpoint    string
	// checkpointFrom is the worker that has listed a checkpoint last in this term, at
	// checkpointListedAt; nil before the first.
	checkpointFrom     *worker
	checkpointListedAt time.Duration
	// longCheckpoint is set once a checkpoint was too long to be kept.
	longCheckpoint bool
	notBefore      time.Duration
	avoidUntil     map[string]time.Duration // by worker ID
	avoidedAt      time.Duration            // when a worker was last added to avoidUntil
	refusedUntil   map[string]time.Duration // by worker ID, until when one that refused the unit is not asked again
	// waived holds while a search for a place is in progress.
	waived waivers
	claim  *claim
	// lenders are the units for which the room of the current run was reserved. hasLent is
	// set once a unit was started in the room reserved for this one.
	lenders []*unit
	hasLent bool
	// estimatedEnd is the expected end of the current run as of endEstimatedAt.
	estimatedEnd, endEstimatedAt time.Duration
	// evicted is set from evictedAt, when the unit was stopped for another one, until
	// its next start.
	evicted   bool
	evictedAt time.Duration
	// comparedRun is the run that the comparison of a gang belongs to.
	comparedRun uint64
	// declinedSince is when the unit first declined a place on slow workers, 0 after a
	// start.
	declinedSince time.Duration
	// maxSlowness excludes slower workers from a search while it is not 0.
	maxSlowness float64
	moves       int       // because its runs lagged
	stalls      int       // stops because its runs made no progress
	failedOn    []*worker // where its runs failed
	// taskFailedOn is failedOn by task, by its index within the unit.
	taskFailedOn map[int][]*worker
	stops        int // for other units, in this term
	waits        waitReports
}

// member is one task of a unit's current run.
type member struct {
	unit   *unit
	task   graph.TaskID
	run    uint64
	worker *worker
	// incarnation is the worker's incarnation at placement.
	incarnation string
	crashes     int // taskCrashes.count of its task when the unit was placed
	// besideSuspects is set if the unit was placed although conflictsWithSuspects.
	besideSuspects bool
	recovered      bool // placed in an earlier term, at placedAt or before
	placedAt       time.Duration
	// callsUntil is the time until which a start call of the run that had no answer may be
	// executed; 0 if there is none.
	callsUntil   time.Duration
	heldForCalls bool // it has ended, and callsUntil keeps its task from being placed elsewhere
	startSent    bool // the start was ordered in this term, or the worker reported the run
	running      bool // the worker reported the run as running
	accepted     bool // the worker has accepted the start since its last list
	stopping     bool
	ended        bool
	orderSession string        // session of the last order
	lastOrderAt  time.Duration // time of the last order

	percent        int
	lastProgressAt time.Duration // when percent last changed; at first when the start was sent
	stepTime       time.Duration // the longest that the run took for one percent; 0 if it has shown none
	progressed     bool          // percent has changed
	// listedAt is when the worker listed percent, firstListedAt when it listed
	// firstPercent, the first one of the run.
	listedAt      time.Duration
	firstPercent  int
	firstListedAt time.Duration
	// startedAt is when the start was sent. startedAfresh is set if that was in this
	// term and without a checkpoint.
	startedAt     time.Duration
	startedAfresh bool
	runningSince  time.Duration
	begun         bool          // the worker was known to have accepted or listed the run
	checkpointAt  time.Duration // when checkpoint last changed
	checkpoint    string
	// compared is the part of the run in the comparison of its step.
	compared workerhealth.Run
}

type job struct {
	*graph.Job
	// Pool is the service whose workers run the job's tasks from now on, as named by poolVersion of
	// the configuration. It hides that of the submission; see followQueue.
	Pool        string
	poolVersion uint64
	units       []*unit
	unitsByStep [][]*unit
	runTimes    []time.Duration            // by step, the expected run time of one task
	stepTimes   []time.Duration            // by step, the longest that a run took for one percent; 0 if none has shown it
	knowledge   *jobKnowledge              // nil if run times are not learned
	taskTimes   [][]taskTime               // by step, of the single tasks that are done
	comparisons []*workerhealth.Comparison // by step, nil before its first reading
	state       graph.State                // as decided, possibly not yet saved
	started     bool                       // a task has been started
	finishedAt  time.Time                  // when the state became final
	placedAt    time.Time                  // when a unit was last placed

	durableState     graph.State // as stored in the table
	stateInSave      graph.State // as written by the save in progress
	saveNumber       uint64
	saveInProgress   bool
	changedSinceSave bool
	lateInSave       uint64        // Progress.LateFrom of the last save
	savedAt          time.Duration // when that was requested
	afterCurrentSave []afterSave
	afterNextSave    []afterSave
	// hasUnsavedCheckpoint is set from unsavedSince to the next save.
	hasUnsavedCheckpoint bool
	unsavedSince         time.Duration

	rejectedSaves int // in this term
	// rejected is set from a rejected save to the next one that is stored, saveAgainAt the
	// time of the next try if nothing else changes.
	rejected      bool
	rejectedSince time.Duration
	saveAgainAt   time.Duration
	// stateOnly is set once the table has rejected more than the final state for too long.
	stateOnly    bool
	arrivedAt    time.Duration // on the term's clock; negative if submitted before the term
	idleSince    time.Duration // since when nothing has run while the pool is idle; 0 if that is not so
	idleBefore   time.Duration // for which it may have waited so in an earlier term
	delayReports delayReports
	suspected    []*suspectedCrash // under tasks of the job
}

func newJob(g *graph.Job) *job {
	j := &job{Job: g, Pool: g.Pool, poolVersion: g.ConfigVersion, state: graph.Queued, durableState: graph.Queued, taskTimes: make([][]taskTime, len(g.Steps)), stepTimes: make([]time.Duration, len(g.Steps)),
		comparisons: make([]*workerhealth.Comparison, len(g.Steps))}
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
		j.runTimes = append(j.runTimes, s.Estimate)
		j.units = append(j.units, units...)
	}
	return j
}

// visibleState returns the state that callers may see. A final state is visible
// only once it is durable; the cancellation of a cancelled job is stored in the
// table already.
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

// dependenciesDone reports whether all steps that the unit depends on are done.
func (u *unit) dependenciesDone() bool {
	for _, s := range u.step.After {
		if !u.job.stepDone(s) {
			return false
		}
	}
	return true
}

// isReady reports whether the unit waits and may start.
func (u *unit) isReady(now time.Duration) bool {
	return u.phase == unitWaiting && u.notBefore <= now && u.dependenciesDone()
}

func (u *unit) taskID(i int) graph.TaskID {
	return graph.TaskID{Job: u.job.ID, Step: u.stepIndex, Index: u.firstIndex + i}
}

// runTime returns the expected run time of one of the unit's tasks.
func (u *unit) runTime() time.Duration { return u.job.runTimes[u.stepIndex] }

// objective returns the time from submission within which the job should complete,
// by the expected run times of its steps.
func (j *job) objective() time.Duration { return j.ObjectiveFor(j.runTimes) }

// remaining estimates the remaining run time of the unit's tasks.
func (u *unit) remaining() time.Duration {
	percent := 0
	for _, m := range u.members {
		percent = max(percent, m.percent)
	}
	return u.runTime() * time.Duration(100-percent) / 100
}

// unsavedCoreSeconds estimates the work in core-seconds that is lost if the unit
// is stopped now.
func (u *unit) unsavedCoreSeconds(now time.Duration) float64 {
	total := 0.0
	for _, m := range u.members {
		if !m.running || m.ended {
			continue
		}
		since := m.runningSince
		if u.step.Checkpointable {
			// Stopping a checkpointable run writes a checkpoint.
			since = now
		}
		total += (now - since).Seconds() * u.step.Needs.Cores()
	}
	return total
}

// progress returns the progress of the job to be stored in the table, and records
// its state as the one in the save.
func (j *job) progress() graph.Progress {
	p := graph.Progress{Job: j.ID, State: j.state, FinishedAt: j.finishedAt}
	if j.state == graph.Queued && j.started {
		p.State = graph.Running
	}
	j.stateInSave = p.State
	if j.stateOnly {
		return p
	}
	for _, u := range j.units {
		p.Tasks = append(p.Tasks, u.progress()...)
	}
	if p.LateFrom = j.firstLateRun(); p.LateFrom > 0 && !j.placedAt.IsZero() {
		p.PlacedAt = j.placedAt.UnixMilli()
	}
	p.Stalls = j.stalls()
	p.Suspected = j.suspectedCrashes()
	p.Pool = j.storedPool()
	return p
}

// progress returns the entries of the unit's tasks that have anything to store.
func (u *unit) progress() []graph.TaskProgress {
	active := make(map[int]*member, len(u.members))
	for _, m := range u.members {
		if !m.ended || m.heldForCalls {
			active[m.index()] = m
		}
	}
	var out []graph.TaskProgress
	for i := range u.taskCount {
		p := graph.TaskProgress{Crashes: u.crashes.of(i).count, RunCrashed: u.crashes.of(i).inRun}
		if i == 0 {
			p.Failures, p.RunFailed, p.Checkpoint = u.failures, u.runFailed, u.checkpoint
			p.Done = u.phase == unitDone || u.runDone
		}
		if m := active[i]; m != nil {
			p.Run, p.Worker, p.Incarnation = m.run, m.worker.info.ID, m.incarnation
		}
		if p == (graph.TaskProgress{}) {
			continue
		}
		p.Step, p.Index = u.stepIndex, u.firstIndex+i
		out = append(out, p)
	}
	return out
}
