package plan

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// simStep is the grain of the simulated time and the delay of a message.
	simStep = 10 * time.Millisecond
	// simTick and simBeat are the intervals of the owner's ticks and of the
	// workers' reports.
	simTick = 200 * time.Millisecond
	simBeat = time.Second
	// simLease is the lease bound of the cores.
	simLease = 6500 * time.Millisecond
	simStop  = 100 * time.Millisecond
)

// simRun is a run on a simulated worker.
type simRun struct {
	task     graph.TaskID
	run      uint64
	unit     *simUnit
	progress time.Duration // of work done
	stopAt   time.Duration // 0 unless it is being stopped
	resumed  time.Duration // work that its checkpoint had saved
}

// simUnit is the truth about a unit: its work, and whether it fails.
type simUnit struct {
	job   *simJob
	step  *graph.Step
	work  time.Duration // of one task on a sound worker
	fails int           // runs that fail by their own fault before one is done
	done  bool          // a run of it has ended done
	noted bool          // such an end was acknowledged, and no lease ran out before
	// failed and notedFailed hold the runs that have ended failed, and those of
	// them whose end was acknowledged before a lease ran out.
	failed, notedFailed map[uint64]bool
	runs                []*simRun    // live
	begun               map[int]bool // tasks, by index
	members             int
}

// simJob is a submitted job and what became of it.
type simJob struct {
	*graph.Job
	units     map[int][]*simUnit // by step
	submitted time.Duration
	cancelled time.Duration
	final     graph.State
	begunAt   time.Duration // when all tasks of the first step had begun
	claims    bool          // its account's jobs of the first priority have never exceeded the guarantee
	finishedAt,
	truth time.Duration // longest chain of true work
	worth float64
	late  float64 // part of the worth when late
}

// simWorker is a simulated worker with its agent.
type simWorker struct {
	info    WorkerInfo
	session int
	linked  bool
	cut     bool    // its agent and the owner do not hear each other
	speed   float64 // of its work
	bad     bool    // fails what it runs
	runs    []*simRun
	ended   []graph.RunEnd
	seen    uint64
	stopped map[string]uint64 // highest run stopped or ended, by task
	absent  []RunAbsent
	reports time.Duration // of the next beat
	news    bool
	lease   time.Duration // when what runs is killed
	movesAt time.Duration // when its agent leaves an earlier owner
	void    uint64        // ends up to it were listed when the lease ran out
}

type simOrder struct {
	at     time.Duration
	action Action
	core   *Core
}

// sim plays a load against a core and checks what workers and callers see.
type sim struct {
	now   time.Duration
	core  *Core
	start time.Duration // of the term
	// earlier is an owner that has been followed and acts on until it has
	// noticed, nil if there is none.
	earlier      *Core
	earlierStart time.Duration
	earlierUntil time.Duration
	token        uint64
	workers      []*simWorker
	jobs         []*simJob
	byID         map[graph.JobID]*simJob
	rows         map[graph.JobID]graph.Progress
	rowSeen      map[graph.JobID]bool
	orders       []simOrder
	policy       *policy.Snapshot
	fail         func(format string, args ...any)
	noStore      bool

	wasted   float64 // core-seconds
	starts   int
	rejected int
}

func newSim(workers int, capacity graph.Resources, p *policy.Snapshot, fail func(string, ...any)) *sim {
	s := &sim{byID: map[graph.JobID]*simJob{}, rows: map[graph.JobID]graph.Progress{}, rowSeen: map[graph.JobID]bool{}, policy: p, fail: fail}
	for i := range workers {
		zone := i / 4
		s.workers = append(s.workers, &simWorker{
			info: WorkerInfo{ID: fmt.Sprintf("w%02d", i), Instance: fmt.Sprintf("i%02d", i), StartUnixMillis: 1, Pool: "pool",
				Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("r%d-%d", zone, i%4/2), Capacity: capacity},
			speed: 1, linked: true, stopped: map[string]uint64{}, session: 1,
		})
	}
	s.takeOver()
	return s
}

// takeOver begins a new term from the rows, after the earlier owner has ended.
func (s *sim) takeOver() {
	s.earlier = nil
	s.orders = slices.DeleteFunc(s.orders, func(o simOrder) bool { _, isSave := o.action.(SaveProgress); return !isSave })
	s.begin(0)
	for _, w := range s.workers {
		w.join()
		w.reports = s.now + 300*time.Millisecond
	}
}

// simOverlap is for how long an earlier owner may act after it was followed.
const simOverlap = 900 * time.Millisecond

// takeOverEarly begins a new term while the earlier owner acts on, unfenced at
// the workers whose agents have not moved yet.
func (s *sim) takeOverEarly(moves func() time.Duration) {
	s.earlier, s.earlierStart, s.earlierUntil = s.core, s.start, s.now+simOverlap
	s.begin(simOverlap)
	for _, w := range s.workers {
		w.movesAt = s.now + moves()
	}
}

// move lets the agents go that leave the earlier owner now.
func (s *sim) move() {
	if s.earlier == nil {
		return
	}
	for _, w := range s.workers {
		if w.movesAt > 0 && s.now >= min(w.movesAt, s.earlierUntil) {
			w.movesAt = 0
			w.join()
			w.news = true
		}
	}
	if s.now >= s.earlierUntil {
		s.earlier = nil
	}
}

// join begins a connection with the owner that the agent follows.
func (w *simWorker) join() {
	w.session++
	w.absent = nil
}

// ownerOf returns the owner that a worker's agent follows.
func (s *sim) ownerOf(w *simWorker) *Core {
	if s.earlier != nil && w.movesAt > 0 {
		return s.earlier
	}
	return s.core
}

func (s *sim) begin(overlap time.Duration) {
	s.token++
	s.start = s.now
	s.core = New(Config{FencingToken: s.token, TermStart: time.Unix(0, 0).Add(s.now), LeaseBound: simLease, TakeoverOverlap: overlap})
	s.step(PolicyChanged{s.policy})
	for _, j := range s.jobs {
		if !s.rowSeen[j.ID] {
			continue
		}
		s.step(JobSubmitted{Job: j.Job, Progress: s.progressOf(j.ID)})
		if j.cancelled > 0 {
			s.step(JobCancelled{j.ID})
		}
	}
}

func (s *sim) progressOf(id graph.JobID) *graph.Progress {
	p, ok := s.rows[id]
	if !ok {
		return nil
	}
	return &p
}

func (s *sim) step(ev Event) { s.stepOwner(s.core, s.start, ev) }

func (s *sim) stepOwner(core *Core, start time.Duration, ev Event) {
	for _, a := range core.Step(s.now-start, ev) {
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
	j.claims = j.Priority == 0
	s.noteClaims()
	s.byID[j.ID] = j
	s.rowSeen[j.ID] = true
	s.step(JobSubmitted{Job: j.Job})
}

func (s *sim) cancel(j *simJob) {
	j.cancelled = s.now
	s.step(JobCancelled{j.ID})
}

// runUntil lets time pass.
func (s *sim) runUntil(end time.Duration) {
	for s.now < end {
		s.now += simStep
		s.move()
		s.deliver()
		for _, w := range s.workers {
			s.work(w)
		}
		for _, w := range s.workers {
			s.beat(w)
		}
		if (s.now-s.start)%simTick == 0 {
			s.step(Tick{})
			if s.earlier != nil {
				s.stepOwner(s.earlier, s.earlierStart, Tick{})
			}
		}
		s.watch()
	}
}

func (s *sim) deliver() {
	var rest []simOrder
	due := s.orders
	s.orders = nil
	for _, o := range due {
		if o.at > s.now {
			rest = append(rest, o)
			continue
		}
		s.carryOut(o)
	}
	s.orders = append(rest, s.orders...)
}

func (s *sim) carryOut(o simOrder) {
	switch a := o.action.(type) {
	case SaveProgress:
		if s.noStore {
			o.at = s.now + simStep
			s.orders = append(s.orders, o)
			return
		}
		if o.core != s.core {
			return // fenced off
		}
		s.rows[a.Job] = a.Progress
		s.step(ProgressSaved{Job: a.Job, Number: a.Number})
	case StartRun:
		if w := s.worker(a.Worker, a.Incarnation, o); w != nil {
			s.startRun(w, a)
		}
	case StopRun:
		if w := s.worker(a.Worker, a.Incarnation, o); w != nil {
			s.stopRun(w, a)
		}
	case GrantLease:
		if w := s.worker(a.Worker, a.Incarnation, o); w != nil {
			// The lease counts from when the report was sent.
			w.lease = max(w.lease, time.Duration(a.ReportNumber)*simStep+simLease-400*time.Millisecond)
		}
	case AcknowledgeEnds:
		if w := s.worker(a.Worker, a.Incarnation, o); w != nil {
			s.note(w, a.Number)
			w.seen = max(w.seen, a.Number)
			w.ended = slices.DeleteFunc(w.ended, func(e graph.RunEnd) bool { return e.Number <= w.seen })
		}
	}
}

// worker returns the worker that an order reaches, nil if it does not.
func (s *sim) worker(id, incarnation string, o simOrder) *simWorker {
	for _, w := range s.workers {
		if o.core == s.ownerOf(w) && w.info.ID == id && w.info.Incarnation() == incarnation && w.linked && !w.cut {
			return w
		}
	}
	return nil
}

// note marks the units whose ends are acknowledged for good.
func (s *sim) note(w *simWorker, number uint64) {
	for _, e := range w.ended {
		if e.Number > number || e.Number <= w.void {
			continue
		}
		u := s.unitOf(e.Task)
		switch e.Kind {
		case graph.EndDone:
			u.noted = true
		case graph.EndFailed:
			u.notedFailed = with(u.notedFailed, e.Run)
		}
	}
}

// with adds a run to a set, which may be nil.
func with(set map[uint64]bool, run uint64) map[uint64]bool {
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
	if w.stopped[a.Task.String()] >= a.Run {
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "old"})
		w.news = true
		return
	}
	if w.info.Draining { // the agent knows before the owner
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "drains"})
		w.news = true
		return
	}
	s.checkStart(w, u, a)
	if !w.used().Add(u.step.Needs).Fits(w.info.Capacity) {
		s.rejected++
		s.fail("%v does not fit on %s", a.Task, w.info.ID)
		w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "room"})
		w.news = true
		return
	}
	u.begun[a.Task.Index] = true
	s.noteBegun(u.job)
	r := &simRun{task: a.Task, run: a.Run, unit: u}
	if a.Checkpoint != "" {
		fmt.Sscanf(a.Checkpoint, "%d", &r.resumed)
		r.progress = r.resumed
	}
	w.runs = append(w.runs, r)
	u.runs = append(u.runs, r)
}

// noteBegun notes when all tasks of a job's first step have begun.
func (s *sim) noteBegun(j *simJob) {
	n := 0
	for _, u := range j.units[0] {
		n += len(u.begun)
	}
	if j.begunAt == 0 && n == j.Steps[0].Count {
		j.begunAt = s.now
	}
}

// noteClaims notes which jobs of the first priority lie within a guarantee:
// with all others of the account that have not ended they need no more.
func (s *sim) noteClaims() {
	need := map[string]int{}
	for _, j := range s.jobs {
		if j.Priority == 0 && j.final == "" {
			need[j.Account] += j.widest()
		}
	}
	for _, j := range s.jobs {
		if j.final == "" && need[j.Account] > s.policy.GuaranteedAccelerators(j.Account) {
			j.claims = false
		}
	}
}

func (j *simJob) widest() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].TotalNeeds().Accelerators)
	}
	return most
}

// checkStart checks the promises that a start must keep.
func (s *sim) checkStart(w *simWorker, u *simUnit, a StartRun) {
	j := u.job
	if j.cancelled > 0 && s.now > j.cancelled+3*time.Second {
		s.fail("%v starts after its job was cancelled", a.Task)
	}
	if u.noted {
		s.fail("%v starts after it was done", a.Task)
	}
	if len(u.notedFailed) >= max(1, j.MaxAttempts) {
		s.fail("%v starts after %d of %d attempts have failed", a.Task, len(u.notedFailed), j.MaxAttempts)
	}
	if a.Spec != j.Spec {
		s.fail("%v starts with spec %q", a.Task, a.Spec)
	}
	if s.policy.ZonesOut[w.info.Zone] {
		s.fail("%v starts in zone %s, which is out", a.Task, w.info.Zone)
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
	key := a.Task.String()
	for _, r := range w.runs {
		if r.task == a.Task && r.run == a.Run {
			if r.stopAt == 0 {
				r.stopAt = s.now + simStop
			}
			return
		}
	}
	for _, e := range w.ended {
		if e.Task == a.Task && e.Run == a.Run {
			return
		}
	}
	w.stopped[key] = max(w.stopped[key], a.Run)
	w.absent = append(w.absent, RunAbsent{a.Task, a.Run, "stopped"})
	w.news = true
}

// work lets the runs of a worker go on.
func (s *sim) work(w *simWorker) {
	if w.lease > 0 && s.now > w.lease {
		for _, r := range slices.Clone(w.runs) {
			s.end(w, r, graph.EndLeaseExpired)
		}
		w.void = w.seen + uint64(len(w.ended))
	}
	for _, r := range slices.Clone(w.runs) {
		u := r.unit
		if r.stopAt > 0 && s.now >= r.stopAt {
			s.end(w, r, graph.EndStopped)
			continue
		}
		if !u.together(r.run) {
			s.wasted += simStep.Seconds() * u.step.Needs.Cores()
			continue
		}
		r.progress += time.Duration(float64(simStep) * w.speed / s.spread(u, r.run))
		if w.bad && r.progress > u.work/4 {
			s.end(w, r, graph.EndFailed)
			continue
		}
		if r.progress < u.work {
			continue
		}
		if u.fails > 0 {
			u.fails--
			s.end(w, r, graph.EndFailed)
			continue
		}
		s.finish(u, r.run)
	}
}

// spread is the factor by which a same-rack gang on several racks is slower.
func (s *sim) spread(u *simUnit, run uint64) float64 {
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

// together reports whether all members of a run are present.
func (u *simUnit) together(run uint64) bool {
	n := 0
	for _, r := range u.runs {
		if r.run == run && r.stopAt == 0 {
			n++
		}
	}
	return n == u.members
}

// finish ends all members of a run as done.
func (s *sim) finish(u *simUnit, run uint64) {
	if u.noted {
		s.fail("%s step is done twice", u.job.ID)
	}
	u.done = true
	for _, w := range s.workers {
		for _, r := range slices.Clone(w.runs) {
			if r.unit == u && r.run == run {
				s.end(w, r, graph.EndDone)
			}
		}
	}
}

// end ends one run; the other members of its gang break.
func (s *sim) end(w *simWorker, r *simRun, how graph.EndKind) {
	u := r.unit
	w.runs = slices.DeleteFunc(w.runs, func(o *simRun) bool { return o == r })
	u.runs = slices.DeleteFunc(u.runs, func(o *simRun) bool { return o == r })
	saved := ""
	if u.step.Checkpointable && how != graph.EndDone {
		saved = fmt.Sprint(int64(r.progress))
	} else if how != graph.EndDone {
		s.wasted += (r.progress - r.resumed).Seconds() * u.step.Needs.Cores()
	}
	w.stopped[r.task.String()] = max(w.stopped[r.task.String()], r.run)
	w.ended = append(w.ended, graph.RunEnd{Number: w.seen + uint64(len(w.ended)) + 1, Task: r.task, Run: r.run, Kind: how, Checkpoint: saved})
	w.news = true
	if how == graph.EndFailed {
		u.failed = with(u.failed, r.run)
	}
	if how == graph.EndDone {
		return
	}
	for _, other := range s.workers {
		for _, o := range slices.Clone(other.runs) {
			if o.unit == u && o.run == r.run {
				s.end(other, o, graph.EndGangBroken)
			}
		}
	}
}

// beat reports to the owner when there is news, and every simBeat.
func (s *sim) beat(w *simWorker) {
	if !w.linked || w.cut || !w.news && s.now < w.reports {
		return
	}
	if s.earlier == nil && s.now < s.start+300*time.Millisecond {
		return
	}
	w.news = false
	w.reports = s.now + simBeat
	e := WorkerReport{Worker: w.info, Session: fmt.Sprintf("%s-%d", w.info.ID, w.session), Absent: w.absent, WorkerResponsive: true, Number: uint64(s.now / simStep)}
	w.absent = nil
	for _, r := range w.runs {
		percent := int(100 * r.progress / max(r.unit.work, 1))
		saved := ""
		if r.unit.step.Checkpointable {
			saved = fmt.Sprint(int64(r.progress))
		}
		e.Running = append(e.Running, graph.RunState{Task: r.task, Run: r.run, Checkpoint: saved, Percent: min(percent, 99)})
	}
	e.Ended = slices.Clone(w.ended)
	if owner := s.ownerOf(w); owner != s.core {
		s.stepOwner(owner, s.earlierStart, e)
		return
	}
	s.step(e)
}

// crash ends a worker's life; a new one begins at once.
func (s *sim) crash(w *simWorker) {
	for _, r := range slices.Clone(w.runs) {
		s.wasted += (r.progress - r.resumed).Seconds() * r.unit.step.Needs.Cores()
		w.runs = nil
		u := r.unit
		u.runs = slices.DeleteFunc(u.runs, func(o *simRun) bool { return o == r })
		for _, other := range s.workers {
			for _, o := range slices.Clone(other.runs) {
				if o.unit == u && o.run == r.run && other != w {
					s.end(other, o, graph.EndGangBroken)
				}
			}
		}
	}
	w.runs, w.ended, w.absent = nil, nil, nil
	w.seen, w.lease, w.void = 0, 0, 0
	w.stopped = map[string]uint64{}
	w.info.StartUnixMillis++
	w.news = true
}

// watch notes the jobs that have become final and checks what is shown.
func (s *sim) watch() {
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
		if v.State == graph.Failed && !j.outOfAttempts() {
			s.fail("%s is shown as failed", j.ID)
		}
	}
}

// outOfAttempts reports whether as many runs of a unit have ended failed as the
// job has attempts.
func (j *simJob) outOfAttempts() bool {
	for _, units := range j.units {
		for _, u := range units {
			if len(u.failed) >= max(1, j.MaxAttempts) {
				return true
			}
		}
	}
	return false
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

// objective is the latency that callers expect, by the true work.
func (j *simJob) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.truth)) + j.Allowance
}

// earned returns what a job has earned of its worth.
func (j *simJob) earned() float64 {
	took := j.finishedAt - j.submitted
	switch {
	case j.final != graph.Completed || took > lateFactor*j.objective():
		return 0
	case took > j.objective():
		return j.worth * j.late
	default:
		return j.worth
	}
}

// wastePrice is the price of a core-second of work thrown away, in the worth of
// the jobs.
const wastePrice = 0.0017

// result sums up a play.
type result struct {
	worth  float64 // earned of what was owed
	net    float64 // less the price of work thrown away
	inAim  int
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
		owed += j.worth
		e := j.earned()
		earned += e
		switch {
		case e == j.worth:
			r.inAim++
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
	r.worth, r.wasted = earned/owed, s.wasted
	r.net = (earned - wastePrice*s.wasted) / owed
	return r
}
