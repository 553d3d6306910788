package plan

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/delaycost"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// simStep is the resolution of the simulated time and the delay of a message.
	simStep = 10 * time.Millisecond
	// simTickInterval and simReportInterval are the intervals between ticks of the
	// owner and between reports of a worker.
	simTickInterval   = 200 * time.Millisecond
	simReportInterval = 600 * time.Millisecond
	// simLeaseBound is Config.LeaseBound of the cores.
	simLeaseBound = 6500 * time.Millisecond
	simStopTime   = 300 * time.Millisecond
	// simCrashDelay is the time after its start at which a deadly task crashes its worker,
	// and simRestartTime that until the worker's next incarnation. The agent takes the
	// worker for responsive until its last list is simResponsiveWindow old.
	simCrashDelay       = 10 * time.Millisecond
	simRestartTime      = 3 * time.Second
	simResponsiveWindow = 2 * time.Second
	// simStartTries is the time for which an agent tries a start that gets no answer.
	simStartTries = 1800 * time.Millisecond
)

// simRun is a run on a simulated worker.
type simRun struct {
	task        graph.TaskID
	run         uint64
	unit        *simUnit
	progress    time.Duration // work done
	stopAt      time.Duration // when it stops; 0 if it is not being stopped
	resumedFrom time.Duration // work restored from the checkpoint
	restoreLeft time.Duration // time until it is restored
}

// simUnit is the actual state of a unit, as opposed to the core's view: its work,
// its failures and its active runs.
type simUnit struct {
	job          *simJob
	step         *graph.Step
	work         time.Duration // run time of one task on a worker at full speed
	failuresLeft int           // runs that fail, independent of the worker, before one succeeds
	done         bool          // a run ended with EndDone
	doneAcked    bool          // such an end was acknowledged before a lease expired
	// failedRuns holds the runs that ended with EndFailed, and ackedFailures those of
	// them whose end was acknowledged before a lease expired.
	failedRuns, ackedFailures map[uint64]bool
	runs                      []*simRun    // active
	startedTasks              map[int]bool // by index
	memberCount               int
	deadly                    map[int]bool    // tasks, by index, that crash each worker that starts them
	crashedRuns               map[uint64]bool // under which a worker crashed
	taskCrashes               map[int]int     // workers that crashed under a task, by index
}

// simJob is a submitted job and its outcome.
type simJob struct {
	*graph.Job
	units              map[int][]*simUnit // by step
	submitted          time.Duration
	cancelled          time.Duration
	final              graph.State
	lastStartAt        time.Duration // when a run last began
	firstStepStartedAt time.Duration // when all tasks of the first step had started
	withinGuarantee    bool          // the account's jobs of priority 0 have never exceeded its guarantee
	finishedAt,
	trueDuration time.Duration // critical path by the actual work instead of the estimates
	value        float64
	lateFraction float64 // fraction of the value that a late job earns
	unstorable   bool    // the table rejects its progress once a task was placed
}

// simWorker is a simulated worker with its agent.
type simWorker struct {
	info        WorkerInfo
	session     int
	linked      bool
	partitioned bool    // no messages pass between its agent and the owner
	speed       float64 // 1 is full speed
	faulty      bool    // fails all of its runs
	refuses     bool    // refuses all starts
	// ignoresStarts is set if starts have no effect and get no answer. Its agent reports them
	// absent once it has tried them for simStartTries.
	ignoresStarts bool
	ignored       []ignoredStart
	ignoresOrders bool // starts and stops have no effect and no outcome
	runs          []*simRun
	ended         []graph.RunEnd
	lastAcked     uint64
	highestEnded  map[string]uint64 // by task: highest run that was stopped or has ended
	absent        []RunAbsent
	nextReportAt  time.Duration
	reportNow     bool
	leaseEnd      time.Duration // when its runs are killed
	switchesAt    time.Duration // when its agent switches from the earlier owner
	lastLapsedEnd uint64        // highest end when the lease last expired
	crashesAt     time.Duration // by a deadly task; 0 if none was started
	crashedAt     time.Duration // while it is down; 0 otherwise
	staysDown     bool          // does not return after a crash by a deadly task
	lost          []RunRef      // runs of the incarnation that crashed last under the present agent
	listed        []graph.RunState
	listedFor     *Core // owner under which it last listed its runs
}

// ignoredStart is a start without effect that is reported absent at a time.
type ignoredStart struct {
	at     time.Duration
	absent RunAbsent
}

type simOrder struct {
	deliverAt time.Duration
	action    Action
	core      *Core
}

// sim simulates a fleet that runs a load against a core, and checks what workers and
// callers observe.
type sim struct {
	now       time.Duration
	core      *Core
	termStart time.Duration
	// earlierOwner is a superseded owner that still acts because it has not noticed
	// the takeover; nil if there is none.
	earlierOwner *Core
	earlierStart time.Duration
	earlierUntil time.Duration
	token        uint64
	workers      []*simWorker
	jobs         []*simJob
	byID         map[graph.JobID]*simJob
	rows         map[graph.JobID]graph.Progress
	rejectSave   func(SaveProgress) bool        // nil for none
	ends         map[graph.JobID][]graph.RunEnd // stored beside rows
	unreadable   map[graph.JobID]bool           // new owners cannot read the rows of these
	hasRow       map[graph.JobID]bool
	orders       []simOrder
	policy       *policy.Snapshot
	fail         func(format string, args ...any)
	storeDown    bool
	features     feature.Set
	// maxListedEnds limits the ends in one report. 0 means no limit.
	maxListedEnds int
	// joinPasses makes all events of one simStep share a scheduling pass.
	joinPasses bool
	// stopTime is the time that a worker takes to stop a run. A checkpoint saves the
	// work up to a multiple of checkpointInterval, and restoring it takes restoreTime.
	stopTime, checkpointInterval, restoreTime time.Duration
	// stopSpread is the time by which a stop may be shorter than stopTime.
	stopSpread time.Duration
	stopDraws  *rand.Rand
	// coreStopTime is Config.StopTime of the cores; 0 is the default.
	coreStopTime time.Duration
	observe      func(Action) // sees the actions of the owner; may be nil
	restore      func(*Core)  // restores learned state in a new owner; may be nil

	// crashLimit is the number of crashes under a deadly unit after which it must not start.
	crashLimit int

	wasted   float64 // core-seconds
	starts   int
	rejected int

	// coreTime is the processor time of all coreSteps steps of the core, and
	// coreTimeMax that of the longest one.
	coreTime, coreTimeMax time.Duration
	coreSteps             int
}

func newSim(workers int, capacity graph.Resources, p *policy.Snapshot, fail func(string, ...any), features ...feature.Feature) *sim {
	s := &sim{features: feature.NewSet(features...), byID: map[graph.JobID]*simJob{}, rows: map[graph.JobID]graph.Progress{}, ends: map[graph.JobID][]graph.RunEnd{}, unreadable: map[graph.JobID]bool{}, hasRow: map[graph.JobID]bool{}, policy: p, fail: fail,
		stopTime: simStopTime, checkpointInterval: 1, crashLimit: 3}
	for i := range workers {
		zone := i / 4
		s.workers = append(s.workers, &simWorker{
			info: WorkerInfo{ID: fmt.Sprintf("w%02d", i), Instance: fmt.Sprintf("i%02d", i), StartUnixMillis: 1, Pool: "pool",
				Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("r%d-%d", zone, i%4/2), Capacity: capacity},
			speed: 1, linked: true, highestEnded: map[string]uint64{}, session: 1,
		})
	}
	s.takeOver()
	return s
}

// takeOver starts a new term from the stored rows after the earlier owner has ended.
func (s *sim) takeOver() {
	s.earlierOwner = nil
	s.orders = slices.DeleteFunc(s.orders, func(o simOrder) bool { _, isSave := o.action.(SaveProgress); return !isSave })
	s.beginTerm(0)
	for _, w := range s.workers {
		w.connect()
		w.nextReportAt = s.now + 300*time.Millisecond
	}
}

// simOverlap is the time for which a superseded owner may still act.
const simOverlap = 900 * time.Millisecond

// takeOverWithOverlap starts a new term while the earlier owner still acts. It is not
// fenced off at workers whose agents have not switched yet.
func (s *sim) takeOverWithOverlap(switchDelay func() time.Duration) {
	s.earlierOwner, s.earlierStart, s.earlierUntil = s.core, s.termStart, s.now+simOverlap
	s.beginTerm(simOverlap)
	for _, w := range s.workers {
		w.switchesAt = s.now + switchDelay()
	}
}

// switchOwners connects the agents to the new owner whose switch is due.
func (s *sim) switchOwners() {
	if s.earlierOwner == nil {
		return
	}
	for _, w := range s.workers {
		if w.switchesAt > 0 && s.now >= min(w.switchesAt, s.earlierUntil) {
			w.switchesAt = 0
			w.connect()
			w.reportNow = true
		}
	}
	if s.now >= s.earlierUntil {
		s.earlierOwner = nil
	}
}

// connect starts a new session with the owner that the agent follows.
func (w *simWorker) connect() {
	w.session++
	w.absent = nil
}

// ownerOf returns the owner that a worker's agent follows.
func (s *sim) ownerOf(w *simWorker) *Core {
	if s.earlierOwner != nil && w.switchesAt > 0 {
		return s.earlierOwner
	}
	return s.core
}

func (s *sim) beginTerm(overlap time.Duration) {
	s.token++
	s.termStart = s.now
	s.core = New(Config{FencingToken: s.token, TermStart: time.Unix(0, 0).Add(s.now), LeaseBound: simLeaseBound, StopTime: s.coreStopTime, TakeoverOverlap: overlap, Features: s.features})
	if s.restore != nil {
		s.restore(s.core)
	}
	s.step(PolicyChanged{s.policy})
	for _, j := range s.jobs {
		if !s.hasRow[j.ID] {
			continue
		}
		s.load(j)
	}
}

// load passes the rows of a job to the owner.
func (s *sim) load(j *simJob) {
	if s.unreadable[j.ID] {
		s.step(JobUnreadable{Job: j.ID, Ends: s.ends[j.ID]})
		return
	}
	s.step(JobSubmitted{Job: j.Job, Progress: s.storedProgress(j.ID), Ends: s.ends[j.ID]})
	if j.cancelled > 0 {
		s.step(JobCancelled{j.ID})
	}
}

func (s *sim) storedProgress(id graph.JobID) *graph.Progress {
	p, ok := s.rows[id]
	if !ok {
		return nil
	}
	return &p
}

func (s *sim) step(ev Event) { s.stepOwner(s.core, s.termStart, ev) }

func (s *sim) stepOwner(core *Core, start time.Duration, ev Event) {
	began := time.Now()
	var actions []Action
	if s.joinPasses {
		actions = core.Handle(s.now-start, ev)
	} else {
		actions = core.Step(s.now-start, ev)
	}
	s.collect(core, actions, time.Since(began))
}

// runPasses runs the scheduling passes that joinPasses has put off.
func (s *sim) runPasses() {
	for _, core := range []*Core{s.core, s.earlierOwner} {
		if core == nil || !core.NeedsScheduling() {
			continue
		}
		start := s.termStart
		if core == s.earlierOwner {
			start = s.earlierStart
		}
		began := time.Now()
		actions := core.Schedule(s.now - start)
		s.collect(core, actions, time.Since(began))
	}
}

// collect queues the actions of one step of a core that took the given time.
func (s *sim) collect(core *Core, actions []Action, took time.Duration) {
	s.coreTime += took
	s.coreTimeMax = max(s.coreTimeMax, took)
	s.coreSteps++
	for _, a := range actions {
		if s.observe != nil {
			s.observe(a)
		}
		if _, ok := a.(Notice); ok {
			continue
		}
		s.orders = append(s.orders, simOrder{s.now + simStep, a, core})
	}
}

func (s *sim) submit(j *simJob) {
	j.submitted = s.now
	j.SubmittedAt = time.Unix(0, 0).Add(s.now)
	s.jobs = append(s.jobs, j)
	j.withinGuarantee = j.Priority == 0
	s.updateGuarantees()
	s.byID[j.ID] = j
	s.hasRow[j.ID] = true
	s.step(JobSubmitted{Job: j.Job})
}

func (s *sim) cancel(j *simJob) {
	j.cancelled = s.now
	s.step(JobCancelled{j.ID})
}

// runUntil advances the simulation to the given time.
func (s *sim) runUntil(end time.Duration) {
	for s.now < end {
		s.now += simStep
		s.switchOwners()
		s.deliver()
		for _, w := range s.workers {
			s.advance(w)
		}
		for _, w := range s.workers {
			s.report(w)
		}
		if (s.now-s.termStart)%simTickInterval == 0 {
			s.step(Tick{})
			if s.earlierOwner != nil {
				s.stepOwner(s.earlierOwner, s.earlierStart, Tick{})
			}
		}
		s.runPasses()
		s.checkFinalJobs()
	}
}

func (s *sim) deliver() {
	var rest []simOrder
	due := s.orders
	s.orders = nil
	for _, o := range due {
		if o.deliverAt > s.now {
			rest = append(rest, o)
			continue
		}
		s.execute(o)
	}
	s.orders = append(rest, s.orders...)
}

func (s *sim) execute(order simOrder) {
	switch a := order.action.(type) {
	case SaveProgress:
		if s.storeDown {
			order.deliverAt = s.now + simStep
			s.orders = append(s.orders, order)
			return
		}
		if order.core != s.core {
			return // fenced off
		}
		if s.rejectSave != nil && s.rejectSave(a) {
			s.step(SaveRejected{Job: a.Job, Number: a.Number})
			return
		}
		s.rows[a.Job] = a.Progress
		delete(s.ends, a.Job)
		s.step(ProgressSaved{Job: a.Job, Number: a.Number})
	case SaveEnds:
		if s.storeDown {
			order.deliverAt = s.now + simStep
			s.orders = append(s.orders, order)
			return
		}
		if order.core != s.core {
			return // fenced off
		}
		s.ends[a.Job] = a.Ends
		s.step(EndsSaved{Job: a.Job, Number: a.Number})
	case StartRun:
		if w := s.reachableWorker(a.Worker, a.Incarnation, order); w != nil {
			s.startRun(w, a)
		}
	case StopRun:
		if w := s.reachableWorker(a.Worker, a.Incarnation, order); w != nil {
			s.stopRun(w, a)
		}
	case GrantLease:
		if w := s.reachableWorker(a.Worker, a.Incarnation, order); w != nil {
			// The lease is counted from the time at which the report was sent.
			w.leaseEnd = max(w.leaseEnd, time.Duration(a.ReportNumber)*simStep+simLeaseBound-400*time.Millisecond)
		}
	case AcknowledgeEnds:
		if w := s.reachableWorker(a.Worker, a.Incarnation, order); w != nil {
			s.recordAcked(w, a.Number)
			w.lastAcked = max(w.lastAcked, a.Number)
			w.ended = slices.DeleteFunc(w.ended, func(e graph.RunEnd) bool { return e.Number <= w.lastAcked })
		}
	}
}

// reachableWorker returns the worker that an order reaches, or nil.
func (s *sim) reachableWorker(id, incarnation string, o simOrder) *simWorker {
	for _, w := range s.workers {
		if o.core == s.ownerOf(w) && w.info.ID == id && w.info.Incarnation() == incarnation && w.linked && !w.partitioned && w.crashedAt == 0 {
			return w
		}
	}
	return nil
}

// recordAcked marks the units whose ends are acknowledged, except ends that were
// still unacknowledged when a lease expired.
func (s *sim) recordAcked(w *simWorker, number uint64) {
	for _, e := range w.ended {
		if e.Number > number || e.Number <= w.lastLapsedEnd {
			continue
		}
		u := s.unitOf(e.Task)
		switch e.Kind {
		case graph.EndDone:
			u.doneAcked = true
		case graph.EndFailed:
			u.ackedFailures = addRun(u.ackedFailures, e.Run)
		}
	}
}

// addRun adds a run to a set, which may be nil, and returns the set.
func addRun(set map[uint64]bool, run uint64) map[uint64]bool {
	if set == nil {
		set = map[uint64]bool{}
	}
	set[run] = true
	return set
}

func (s *sim) unitOf(t graph.TaskID) *simUnit {
	units := s.byID[t.Job].units[t.Step]
	if len(units) == 1 {
		return units[0]
	}
	return units[t.Index]
}

func (w *simWorker) used() graph.Resources {
	var sum graph.Resources
	for _, r := range w.runs {
		sum = sum.Add(r.unit.step.Needs)
	}
	return sum
}

func (s *sim) startRun(w *simWorker, a StartRun) {
	s.starts++
	u := s.unitOf(a.Task)
	if w.ignoresOrders {
		return
	}
	if w.highestEnded[a.Task.String()] >= a.Run {
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "old"})
		w.reportNow = true
		return
	}
	if w.info.Draining { // the agent knows this before the owner does
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "drains"})
		w.reportNow = true
		return
	}
	if !a.Capacity.Fits(w.info.Capacity) { // as for draining
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "capacity has shrunk"})
		w.reportNow = true
		return
	}
	if w.refuses {
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "refused"})
		w.reportNow = true
		return
	}
	if w.ignoresStarts {
		w.ignored = append(w.ignored, ignoredStart{s.now + simStartTries, RunAbsent{a.Task, a.Run, "no answer"}})
		return
	}
	s.checkStart(w, u, a)
	if !w.used().Add(u.step.Needs).Fits(w.info.Capacity) {
		s.rejected++
		s.fail("%v does not fit on %s", a.Task, w.info.ID)
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "room"})
		w.reportNow = true
		return
	}
	u.startedTasks[a.Task.Index] = true
	u.job.lastStartAt = s.now
	s.recordFirstStep(u.job)
	r := &simRun{task: a.Task, run: a.Run, unit: u}
	if a.Checkpoint != "" {
		fmt.Sscanf(a.Checkpoint, "%d", &r.resumedFrom)
		r.progress, r.restoreLeft = r.resumedFrom, s.restoreTime
	}
	w.runs = append(w.runs, r)
	u.runs = append(u.runs, r)
	if u.deadly[a.Task.Index] && w.crashesAt == 0 {
		w.crashesAt = s.now + simCrashDelay
	}
}

// recordFirstStep records the time at which all tasks of a job's first step have
// started.
func (s *sim) recordFirstStep(j *simJob) {
	n := 0
	for _, u := range j.units[0] {
		n += len(u.startedTasks)
	}
	if j.firstStepStartedAt == 0 && n == j.Steps[0].Count {
		j.firstStepStartedAt = s.now
	}
}

// updateGuarantees clears withinGuarantee for the active jobs of each account whose
// active jobs of priority 0 together need more than its guarantee.
func (s *sim) updateGuarantees() {
	need := map[string]int{}
	for _, j := range s.jobs {
		if j.Priority == 0 && j.final == "" {
			need[j.Account] += j.maxAccelerators()
		}
	}
	for _, j := range s.jobs {
		if j.final == "" && need[j.Account] > s.policy.GuaranteedAccelerators(j.Account) {
			j.withinGuarantee = false
		}
	}
}

func (j *simJob) maxAccelerators() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].TotalNeeds().Accelerators)
	}
	return most
}

// checkStart checks the invariants that every start must satisfy.
func (s *sim) checkStart(w *simWorker, u *simUnit, a StartRun) {
	j := u.job
	if j.cancelled > 0 && s.now > j.cancelled+3*time.Second {
		s.fail("%v starts after its job was cancelled", a.Task)
	}
	if u.doneAcked {
		s.fail("%v starts after it was done", a.Task)
	}
	if len(u.ackedFailures) >= max(1, j.MaxAttempts) {
		s.fail("%v starts after %d of %d attempts have failed", a.Task, len(u.ackedFailures), j.MaxAttempts)
	}
	if len(u.deadly) > 0 && len(u.crashedRuns) >= s.crashLimit {
		s.fail("%v starts after %d workers have crashed under it", a.Task, len(u.crashedRuns))
	}
	if a.Spec != j.Spec {
		s.fail("%v starts with spec %q", a.Task, a.Spec)
	}
	if s.policy.ZonesOut[w.info.Zone] {
		s.fail("%v starts in zone %s, which is unavailable", a.Task, w.info.Zone)
	}
	for _, step := range u.step.After {
		for _, o := range j.units[step] {
			if !o.done {
				s.fail("%v starts before step %d is done", a.Task, step)
			}
		}
	}
	perWorker := 1
	for _, other := range s.workers {
		for _, r := range other.runs {
			if r.task == a.Task && r.run != a.Run {
				s.fail("%v starts as run %d on %s while run %d is on %s", a.Task, a.Run, w.info.ID, r.run, other.info.ID)
			}
			if other == w && r.task.Job == a.Task.Job && r.task.Step == a.Task.Step {
				perWorker++
			}
		}
	}
	if u.step.MaxPerWorker > 0 && perWorker > u.step.MaxPerWorker {
		s.fail("%d tasks of step %d of %s on %s", perWorker, a.Task.Step, j.ID, w.info.ID)
	}
}

func (s *sim) stopRun(w *simWorker, a StopRun) {
	if w.ignoresOrders {
		return
	}
	key := a.Task.String()
	for _, r := range w.runs {
		if r.task == a.Task && r.run == a.Run {
			if r.stopAt == 0 {
				r.stopAt = s.now + s.stopTime
				if s.stopSpread > 0 {
					r.stopAt -= time.Duration(s.stopDraws.Int63n(int64(s.stopSpread)))
				}
			}
			return
		}
	}
	for _, e := range w.ended {
		if e.Task == a.Task && e.Run == a.Run {
			return
		}
	}
	w.highestEnded[key] = max(w.highestEnded[key], a.Run)
	if slices.ContainsFunc(w.ignored, func(i ignoredStart) bool { return i.absent.Task == a.Task && i.absent.Run == a.Run }) {
		return // settled with its start
	}
	w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "stopped"})
	w.reportNow = true
}

// advance simulates one step of the runs of a worker.
func (s *sim) advance(w *simWorker) {
	if w.crashesAt > 0 && s.now >= w.crashesAt {
		w.crashesAt = 0
		w.crashedAt = s.now
		s.loseRuns(w)
	}
	if w.crashedAt > 0 {
		if !w.staysDown && s.now >= w.crashedAt+simRestartTime {
			s.restart(w)
		}
		return
	}
	for len(w.ignored) > 0 && s.now >= w.ignored[0].at {
		w.absent = append(w.absent, w.ignored[0].absent)
		w.ignored = w.ignored[1:]
		w.reportNow = true
	}
	if w.leaseEnd > 0 && s.now > w.leaseEnd {
		for _, r := range slices.Clone(w.runs) {
			s.endRun(w, r, graph.EndLeaseExpired)
		}
		w.lastLapsedEnd = w.lastAcked + uint64(len(w.ended))
	}
	for _, r := range slices.Clone(w.runs) {
		u := r.unit
		if r.stopAt > 0 && s.now >= r.stopAt {
			s.endRun(w, r, graph.EndStopped)
			continue
		}
		if !u.allMembersRunning(r.run) {
			s.wasted += simStep.Seconds() * u.step.Needs.Cores()
			continue
		}
		if r.restoreLeft > 0 {
			r.restoreLeft -= simStep
			s.wasted += simStep.Seconds() * u.step.Needs.Cores()
			continue
		}
		r.progress += time.Duration(float64(simStep) * w.speed / s.rackSlowdown(u, r.run))
		if w.faulty && r.progress > u.work/4 {
			s.endRun(w, r, graph.EndFailed)
			continue
		}
		if !u.workDone(r.run) {
			continue
		}
		if u.failuresLeft > 0 {
			u.failuresLeft--
			s.endRun(w, r, graph.EndFailed)
			continue
		}
		s.finishRun(u, r.run)
	}
}

// rackSlowdown returns the factor by which a same-rack gang is slower on several
// racks.
func (s *sim) rackSlowdown(u *simUnit, run uint64) float64 {
	if !u.step.SameRack {
		return 1
	}
	racks := map[string]bool{}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.unit == u && r.run == run {
				racks[w.info.Rack] = true
			}
		}
	}
	if len(racks) > 1 {
		return 3
	}
	return 1
}

// allMembersRunning reports whether all members of a run are active and none is
// being stopped.
func (u *simUnit) allMembersRunning(run uint64) bool {
	n := 0
	for _, r := range u.runs {
		if r.run == run && r.stopAt == 0 {
			n++
		}
	}
	return n == u.memberCount
}

// workDone reports whether all members of a run have done their work.
func (u *simUnit) workDone(run uint64) bool {
	for _, r := range u.runs {
		if r.run == run && r.progress < u.work {
			return false
		}
	}
	return true
}

// finishRun ends all members of a run with EndDone.
func (s *sim) finishRun(u *simUnit, run uint64) {
	if u.doneAcked {
		s.fail("%s step is done twice", u.job.ID)
	}
	u.done = true
	for _, w := range s.workers {
		for _, r := range slices.Clone(w.runs) {
			if r.unit == u && r.run == run {
				s.endRun(w, r, graph.EndDone)
			}
		}
	}
}

// endRun ends one member of a run. Unless it is done, the other members of its gang
// end with EndGangBroken.
func (s *sim) endRun(w *simWorker, r *simRun, kind graph.EndKind) {
	u := r.unit
	w.runs = slices.DeleteFunc(w.runs, func(o *simRun) bool { return o == r })
	u.runs = slices.DeleteFunc(u.runs, func(o *simRun) bool { return o == r })
	saved := ""
	if u.step.Checkpointable && kind != graph.EndDone {
		kept := r.progress.Truncate(s.checkpointInterval)
		s.wasted += (r.progress - max(kept, r.resumedFrom)).Seconds() * u.step.Needs.Cores()
		saved = fmt.Sprint(int64(max(kept, r.resumedFrom)))
	} else if kind != graph.EndDone {
		s.wasted += (r.progress - r.resumedFrom).Seconds() * u.step.Needs.Cores()
	}
	w.highestEnded[r.task.String()] = max(w.highestEnded[r.task.String()], r.run)
	w.ended = append(w.ended, graph.RunEnd{Number: w.lastAcked + uint64(len(w.ended)) + 1, Task: r.task, Run: r.run, Kind: kind, Checkpoint: saved})
	w.reportNow = true
	if kind == graph.EndFailed {
		u.failedRuns = addRun(u.failedRuns, r.run)
	}
	if kind == graph.EndDone {
		return
	}
	for _, other := range s.workers {
		for _, o := range slices.Clone(other.runs) {
			if o.unit == u && o.run == r.run {
				s.endRun(other, o, graph.EndGangBroken)
			}
		}
	}
}

// report sends a report to the owner on a change and every simReportInterval.
func (s *sim) report(w *simWorker) {
	if !w.linked || w.partitioned || !w.reportNow && s.now < w.nextReportAt {
		return
	}
	if s.earlierOwner == nil && s.now < s.termStart+300*time.Millisecond {
		return
	}
	w.reportNow = false
	w.nextReportAt = s.now + simReportInterval
	if w.crashedAt > 0 && w.listedFor != s.ownerOf(w) {
		return // an agent reports once its worker has listed its runs under the owner's epoch
	}
	w.listedFor = s.ownerOf(w)
	e := WorkerReport{Worker: w.info, Session: fmt.Sprintf("%s-%d", w.info.ID, w.session), Absent: w.absent, WorkerResponsive: true, Number: uint64(s.now / simStep), Lost: w.lost}
	w.absent = nil
	if w.crashedAt > 0 {
		e.WorkerResponsive = s.now < w.crashedAt+simResponsiveWindow
		e.ListAge = s.now - w.crashedAt
		e.Running = w.listed
		e.Accepted, e.Lost = w.lost, nil
	}
	for _, r := range w.runs {
		percent := int(100 * r.progress / max(r.unit.work, 1))
		saved := ""
		if r.unit.step.Checkpointable {
			saved = fmt.Sprint(int64(max(r.progress.Truncate(s.checkpointInterval), r.resumedFrom)))
		}
		e.Running = append(e.Running, graph.RunState{Task: r.task, Run: r.run, Checkpoint: saved, Percent: min(percent, 99)})
	}
	w.listed = e.Running
	e.Ended = slices.Clone(w.ended)
	if s.maxListedEnds > 0 && len(e.Ended) >= s.maxListedEnds {
		e.Ended, e.MoreEnds = e.Ended[:s.maxListedEnds], true
	}
	if owner := s.ownerOf(w); owner != s.core {
		s.stepOwner(owner, s.earlierStart, e)
		return
	}
	s.step(e)
}

// crash ends a worker's incarnation. A new one starts at once.
func (s *sim) crash(w *simWorker) {
	s.loseRuns(w)
	s.restart(w)
}

// loseRuns ends the runs of a worker that crashes.
func (s *sim) loseRuns(w *simWorker) {
	w.lost = nil
	for _, r := range w.runs {
		w.lost = append(w.lost, RunRef{r.task, r.run})
	}
	for _, r := range slices.Clone(w.runs) {
		s.wasted += (r.progress - r.resumedFrom).Seconds() * r.unit.step.Needs.Cores()
		w.runs = nil
		u := r.unit
		u.crashedRuns = addRun(u.crashedRuns, r.run)
		u.recordTaskCrash(r.task.Index)
		u.runs = slices.DeleteFunc(u.runs, func(o *simRun) bool { return o == r })
		for _, other := range s.workers {
			for _, o := range slices.Clone(other.runs) {
				if o.unit == u && o.run == r.run && other != w {
					s.endRun(other, o, graph.EndGangBroken)
				}
			}
		}
	}
	w.runs, w.ended, w.absent, w.ignored = nil, nil, nil, nil
}

// restart begins a worker's next incarnation.
func (s *sim) restart(w *simWorker) {
	w.crashesAt, w.crashedAt, w.listed = 0, 0, nil
	w.lastAcked, w.leaseEnd, w.lastLapsedEnd = 0, 0, 0
	w.highestEnded = map[string]uint64{}
	w.info.StartUnixMillis++
	w.reportNow = true
}

// checkFinalJobs records the jobs that have become final and checks that the state
// shown to callers is correct.
func (s *sim) checkFinalJobs() {
	for _, j := range s.jobs {
		if j.final != "" {
			continue
		}
		v, ok := s.core.JobStatus(j.ID)
		if !ok || !v.State.Final() {
			continue
		}
		j.final, j.finishedAt = v.State, s.now
		if v.State == graph.Completed && !j.allDone() {
			s.fail("%s is shown as completed", j.ID)
		}
		if v.State == graph.Cancelled && j.cancelled == 0 {
			s.fail("%s is shown as cancelled", j.ID)
		}
		if v.State == graph.Failed && !j.outOfAttempts() && !j.mayBeGivenUp() && !j.unstorable {
			s.fail("%s is shown as failed", j.ID)
		}
	}
}

// outOfAttempts reports whether some unit has as many failed runs as the job has
// attempts.
func (j *simJob) outOfAttempts() bool {
	for _, units := range j.units {
		for _, u := range units {
			if len(u.failedRuns) >= max(1, j.MaxAttempts) {
				return true
			}
		}
	}
	return false
}

// mayBeGivenUp reports whether two workers have crashed under some task.
func (j *simJob) mayBeGivenUp() bool {
	for _, units := range j.units {
		for _, u := range units {
			for _, crashes := range u.taskCrashes {
				if crashes >= 2 {
					return true
				}
			}
		}
	}
	return false
}

func (u *simUnit) recordTaskCrash(index int) {
	if u.taskCrashes == nil {
		u.taskCrashes = map[int]int{}
	}
	u.taskCrashes[index]++
}

func (j *simJob) allDone() bool {
	for _, units := range j.units {
		for _, u := range units {
			if !u.done {
				return false
			}
		}
	}
	return true
}

// objective returns the latency objective by the actual work.
func (j *simJob) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.trueDuration)) + j.Allowance
}

// earnedValue returns the part of its value that a job has earned.
func (j *simJob) earnedValue() float64 {
	took := j.finishedAt - j.submitted
	switch {
	case j.final != graph.Completed || took > delaycost.WorthlessFactor*j.objective():
		return 0
	case took > j.objective():
		return j.value * j.lateFraction
	default:
		return j.value
	}
}

// wasteCost is the cost of a discarded core-second, in units of job value.
const wasteCost = 0.0017

// result summarizes a simulation.
type result struct {
	value  float64 // fraction of the total value that was earned
	net    float64 // value minus the cost of discarded work
	onTime int
	late   int
	missed int
	wasted float64
	p50    time.Duration
	p95    time.Duration
}

func (s *sim) result() result {
	var r result
	var owed, earned float64
	var took []time.Duration
	for _, j := range s.jobs {
		if j.cancelled > 0 {
			continue
		}
		owed += j.value
		e := j.earnedValue()
		earned += e
		switch {
		case e == j.value:
			r.onTime++
		case e > 0:
			r.late++
		default:
			r.missed++
		}
		if j.final == graph.Completed {
			took = append(took, j.finishedAt-j.submitted)
		}
	}
	sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
	if len(took) > 0 {
		r.p50, r.p95 = took[len(took)/2], took[len(took)*95/100]
	}
	r.value, r.wasted = earned/owed, s.wasted
	r.net = (earned - wasteCost*s.wasted) / owed
	return r
}
