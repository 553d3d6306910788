package plan

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
)

// Config configures a core.
type Config struct {
	// FencingToken is the fencing token of the term. It forms the high bits of run
	// numbers.
	FencingToken uint64
	// TermStart is the wall-clock time at time zero.
	TermStart time.Time
	// LeaseBound is the time after a worker's last granted report by which its lease
	// has certainly expired.
	LeaseBound time.Duration
	// LateLeaseBound is the time after a worker has executed a call that was meant for an
	// earlier incarnation by which the lease of that call has certainly expired; 0 if no
	// worker does so.
	LateLeaseBound time.Duration
	// StopTime is the time a worker may take to stop a run; 0 means
	// defaultStopTime.
	StopTime time.Duration
	// TakeoverOverlap is the time after time zero during which the previous owner
	// may still grant leases to workers that have not reported to this one.
	TakeoverOverlap time.Duration
	// Features are the optional decisions that are on.
	Features feature.Set
}

const (
	// maxReportAge is the age of the last report beyond which a worker gets no new
	// work. Agents report every second.
	maxReportAge = 2500 * time.Millisecond
	// placementDelay is the time after the first report of a term during which
	// nothing is placed. Most agents of a healthy fleet report within it, and the
	// first units in line should be able to choose among all of their workers.
	placementDelay = 100 * time.Millisecond
	// preemptionDelay is the time after the first report of a term during which no
	// run is stopped to free resources. Nearly all agents report within it, and
	// their workers may be idle.
	preemptionDelay = 600 * time.Millisecond
	// defaultStopTime is the stop time of the known deployments.
	defaultStopTime   = 400 * time.Millisecond
	runNumbersPerTerm = 1 << 24
)

// Core holds the scheduling state of one owner term. It is not safe for
// concurrent use.
type Core struct {
	cfg           Config
	now           time.Duration
	actions       []Action
	policy        *policy.Snapshot
	jobs          map[graph.JobID]*job
	activeJobs    []*job // jobs that are not final, in the order they were added
	workers       map[string]*worker
	suspected     map[string][]*suspectedCrash // by worker ID
	sortedWorkers []*worker                    // by ID
	unitsAwaiting []*unit                      // whose members have ended; see awaitLateCalls
	runCounter    uint64
	// hasReports is set by the first report of the term, received at
	// firstReportAt.
	hasReports    bool
	firstReportAt time.Duration
	unsavedJobs   []*job
	unreadable    map[graph.JobID]bool // jobs with rows that cannot be read
	keptEnds      map[graph.JobID]*keptEnds
	endsSaves     uint64 // number of the last save of kept ends, of any job
	rejectedJobs  []*job // may have to be saved again after a pause
	lastSavedAt   time.Duration
	sched         schedulingState
	// needsScheduling is set when an event changes something that placement depends
	// on.
	needsScheduling bool
	lastPruneAt     time.Duration
	heldCheckedAt   time.Duration
	requeueWaits    map[int]time.Duration // by priority; see requeueWait
	speeds          speedModel
	runTimes        *runtimes.Model
	headroom        headroomState
	observed        map[string]observedRuns // by queue; empty without feature.Admission
}

// New returns a core without jobs and workers.
func New(cfg Config) *Core {
	if cfg.StopTime == 0 {
		cfg.StopTime = defaultStopTime
	}
	return &Core{cfg: cfg, jobs: map[graph.JobID]*job{}, unreadable: map[graph.JobID]bool{}, keptEnds: map[graph.JobID]*keptEnds{}, workers: map[string]*worker{}, suspected: map[string][]*suspectedCrash{}, requeueWaits: map[int]time.Duration{},
		speeds: newSpeedModel(cfg.Features), runTimes: &runtimes.Model{}, observed: map[string]observedRuns{}}
}

// Step handles one event, runs a scheduling pass if the event calls for one, and
// returns the resulting actions in order. A time before that of an earlier call
// counts as the latter.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	return append(c.Handle(now, ev), c.Schedule(now)...)
}

// Handle is Step without the scheduling pass, so that one pass may serve several
// events. If NeedsScheduling is true afterwards, the caller calls Schedule soon:
// saves wait for the pass, because a job's next save has to wait for the one before.
func (c *Core) Handle(now time.Duration, ev Event) []Action {
	c.begin(now)
	c.handle(ev)
	if !c.needsScheduling {
		c.emitSaves()
	}
	return c.actions
}

// NeedsScheduling reports whether something that placement depends on has changed
// since the last scheduling pass.
func (c *Core) NeedsScheduling() bool { return c.needsScheduling }

// Schedule runs a scheduling pass if NeedsScheduling is true, and returns the
// resulting actions in order.
func (c *Core) Schedule(now time.Duration) []Action {
	c.begin(now)
	if c.needsScheduling {
		c.needsScheduling = false
		c.schedule()
	}
	c.emitSaves()
	return c.actions
}

func (c *Core) begin(now time.Duration) {
	c.now = max(c.now, now)
	c.actions = nil
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case JobSubmitted:
		c.addJob(e)
	case JobCancelled:
		c.cancelJob(e.Job)
	case JobUnreadable:
		c.markUnreadable(e)
	case JobRemoved:
		c.removeUnreadable(e.Job)
	case WorkerReport:
		c.handleReport(e)
	case AgentConnected:
		if w := c.workers[e.Worker]; w != nil {
			c.recordLateLease(w, e.Late)
			c.recordLateStarts(w, e.Late, settlesNothing)
		}
	case SessionClosed:
		c.handleSessionClosed(e)
	case ProgressSaved:
		c.handleSaved(e)
	case SaveRejected:
		c.handleSaveRejected(e)
	case EndsSaved:
		c.handleEndsSaved(e)
	case PolicyChanged:
		c.changePolicy(e.Policy)
	case Tick:
		c.handleTick()
	}
}

func (c *Core) recordFirstReport() {
	if !c.hasReports {
		c.hasReports, c.firstReportAt = true, c.now
	}
}

// firstReportOlderThan reports whether at least d has passed since the first
// report of the term.
func (c *Core) firstReportOlderThan(d time.Duration) bool {
	return c.hasReports && c.now >= c.firstReportAt+d
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) handleTick() {
	c.needsScheduling = true
	c.saveRejectedAgain()
	c.pruneFinalJobs()
	c.updateUnevenness()
	c.sched.releases.valid = false // as of the last pass
	for _, w := range c.sortedWorkers {
		c.watchLease(w)
		c.watchHeldEnds(w)
		c.acknowledgeEnds(w, false)
		c.watchOrders(w)
	}
	c.watchLateCalls()
	c.limitQuarantines()
	for _, j := range c.activeJobs {
		c.watchRuns(j)
		c.saveCheckpoints(j)
		c.saveSettledCalls(j)
	}
	c.reportHeld()
}

// FinalJobRetention is the time for which a final job is kept in memory. Callers
// query jobs for minutes after they end.
const FinalJobRetention = time.Hour

const pruneInterval = time.Minute

// pruneFinalJobs removes jobs that have been final for longer than
// FinalJobRetention. It does so at most once per pruneInterval.
func (c *Core) pruneFinalJobs() {
	if c.now < c.lastPruneAt+pruneInterval {
		return
	}
	c.lastPruneAt = c.now
	now := c.cfg.TermStart.Add(c.now)
	for id, j := range c.jobs {
		if j.durableState.Final() && !j.saveInProgress && !j.finishedAt.IsZero() && now.Sub(j.finishedAt) > FinalJobRetention {
			delete(c.jobs, id)
		}
	}
}

// nextRunNumber returns a run number above all earlier ones, including those of
// earlier terms.
func (c *Core) nextRunNumber() uint64 {
	c.runCounter++
	return c.cfg.FencingToken*runNumbersPerTerm + c.runCounter
}

// TokenOfRun returns the fencing token of the term that gave a run its number.
func TokenOfRun(run uint64) uint64 { return run / runNumbersPerTerm }

// JobStatus is the part of a job's state that callers may see.
type JobStatus struct {
	State graph.State
	Queue string
}

// JobStatus returns the status of a job; ok is false if the core does not know
// the job.
func (c *Core) JobStatus(id graph.JobID) (status JobStatus, ok bool) {
	j := c.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return JobStatus{State: j.visibleState(), Queue: j.Queue}, true
}

// PendingJobs returns the number of jobs in a queue with no started task.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.activeJobs {
		if j.Queue == queue && j.visibleState() == graph.Queued {
			n++
		}
	}
	return n
}

// requestSave schedules a save of the job's progress. The callback then, if not
// nil, is called once the progress is stored.
func (c *Core) requestSave(j *job, then func()) {
	c.requestSaveOf(j, afterSave{stored: then})
}

// afterSave is what follows a save.
type afterSave struct {
	// stored, if not nil, is called once the progress is stored.
	stored func()
	// rejected, if not nil, is called in its place if the save is rejected. Without it
	// stored waits for the next save.
	rejected func()
	// unstored, if not nil, is called in place of stored once the table has rejected even
	// the final state of the job for too long.
	unstored func()
}

func (c *Core) requestSaveOf(j *job, then afterSave) {
	if then.stored != nil {
		j.afterNextSave = append(j.afterNextSave, then)
	}
	j.changedSinceSave = true
	if !slices.Contains(c.unsavedJobs, j) {
		c.unsavedJobs = append(c.unsavedJobs, j)
	}
}

// emitSaves emits a save for each changed job that has no save in progress.
func (c *Core) emitSaves() {
	jobs := c.unsavedJobs
	c.unsavedJobs = nil
	for _, j := range jobs {
		if j.saveInProgress {
			c.unsavedJobs = append(c.unsavedJobs, j)
			continue
		}
		j.saveInProgress, j.changedSinceSave, j.hasUnsavedCheckpoint = true, false, false
		j.saveNumber++
		j.afterCurrentSave, j.afterNextSave = j.afterNextSave, nil
		progress := j.progress()
		j.lateInSave, j.savedAt = progress.LateFrom, c.now
		c.emit(SaveProgress{Job: j.ID, Number: j.saveNumber, Steps: j.Steps, Progress: progress, StateOnly: j.stateOnly})
	}
}

func (c *Core) handleSaved(e ProgressSaved) {
	j := c.jobs[e.Job]
	if j == nil || !j.saveInProgress || j.saveNumber != e.Number {
		return
	}
	j.saveInProgress = false
	j.rejected = false
	c.lastSavedAt = c.now
	j.durableState = j.stateInSave
	delete(c.keptEnds, j.ID) // the progress shows them
	then := j.afterCurrentSave
	j.afterCurrentSave = nil
	for _, a := range then {
		a.stored()
	}
}
