package plan

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// Config sets up a core.
type Config struct {
	// FencingToken is the term's fencing token; it leads the run numbers.
	FencingToken uint64
	// TermStart is the time of day at time zero.
	TermStart time.Time
	// LeaseBound is how long after the last report of a worker its lease has
	// run out for certain.
	LeaseBound time.Duration
	// StopTime is how long a worker may take to stop a run; 0 for usualStop.
	StopTime time.Duration
	// TakeoverOverlap is for how long after time zero the earlier owner may still grant
	// leases to workers that have not reported to this one.
	TakeoverOverlap time.Duration
}

const (
	// maxReportAge is the age of the last report from which a worker gets no new
	// work; agents report every second.
	maxReportAge = 2500 * time.Millisecond
	// placementDelay is how long after the first report of a term nothing is placed:
	// most agents of a calm fleet report within it, and what comes first should
	// have its choice among their workers.
	placementDelay = 100 * time.Millisecond
	// preemptionDelay is how long nothing is stopped to make room: nearly all agents
	// report within it, and their workers may be free.
	preemptionDelay = 600 * time.Millisecond
	// defaultStopTime is the time of a stop on the deployments known so far.
	defaultStopTime = 400 * time.Millisecond
	// runNumbersPerTerm is the number of run numbers of one term.
	runNumbersPerTerm = 1 << 24
)

// Core decides for one term of an owner. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	now           time.Duration
	actions       []Action
	policy        *policy.Snapshot
	jobs          map[graph.JobID]*job
	activeJobs    []*job // not final, in order of submission
	workers       map[string]*worker
	sortedWorkers []*worker // by ID
	runCounter    uint64
	// hasReports is set by the first report, firstHeard is when it came.
	hasReports    bool
	firstReportAt time.Duration
	unsavedJobs   []*job
	sched         schedulingState
	// needsScheduling is set when something has changed on which places depend.
	needsScheduling bool
	lastPruneAt     time.Duration
}

// New returns a core without jobs and workers.
func New(cfg Config) *Core {
	if cfg.StopTime == 0 {
		cfg.StopTime = defaultStopTime
	}
	return &Core{cfg: cfg, jobs: map[graph.JobID]*job{}, workers: map[string]*worker{}}
}

// Step takes one event and returns the actions that follow, in order. Time
// must not go back.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.handle(ev)
	if c.needsScheduling {
		c.needsScheduling = false
		c.schedule()
	}
	c.emitSaves()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case JobSubmitted:
		c.addJob(e)
	case JobCancelled:
		c.cancelJob(e.Job)
	case WorkerReport:
		c.handleReport(e)
	case SessionClosed:
		c.handleSessionClosed(e)
	case ProgressSaved:
		c.handleSaved(e)
	case PolicyChanged:
		c.policy = e.Policy
		c.needsScheduling = true
	case Tick:
		c.handleTick()
	}
}

// recordFirstReport notes the first report of the term.
func (c *Core) recordFirstReport() {
	if !c.hasReports {
		c.hasReports, c.firstReportAt = true, c.now
	}
}

// firstReportOlderThan reports whether so much time has passed since the first report.
func (c *Core) firstReportOlderThan(d time.Duration) bool {
	return c.hasReports && c.now >= c.firstReportAt+d
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) handleTick() {
	c.needsScheduling = true
	c.pruneFinalJobs()
	for _, w := range c.sortedWorkers {
		c.watchLease(w)
		c.watchOrders(w)
	}
	for _, j := range c.activeJobs {
		c.watchRuns(j)
	}
}

// FinalJobRetention is how long a job that is final stays known: callers ask for it for
// minutes.
const FinalJobRetention = time.Hour

// pruneInterval is the time between two looks for jobs to forget.
const pruneInterval = time.Minute

// pruneFinalJobs drops the jobs that have been final for long.
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

// nextRunNumber returns a run number that no earlier one of any task reaches.
func (c *Core) nextRunNumber() uint64 {
	c.runCounter++
	return c.cfg.FencingToken*runNumbersPerTerm + c.runCounter
}

// JobStatus is what callers may know of a job.
type JobStatus struct {
	State graph.State
	Queue string
}

// JobStatus returns a job's state; ok is false if the core does not know it.
func (c *Core) JobStatus(id graph.JobID) (v JobStatus, ok bool) {
	j := c.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return JobStatus{State: j.visibleState(), Queue: j.Queue}, true
}

// PendingJobs returns the number of a queue's jobs of which no task has started.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.activeJobs {
		if j.Queue == queue && j.visibleState() == graph.Queued {
			n++
		}
	}
	return n
}

// requestSave asks for the job's progress to be written; then runs once it is.
func (c *Core) requestSave(j *job, then func()) {
	if then != nil {
		j.afterNextSave = append(j.afterNextSave, then)
	}
	j.changedSinceSave = true
	if !slices.Contains(c.unsavedJobs, j) {
		c.unsavedJobs = append(c.unsavedJobs, j)
	}
}

// emitSaves emits a save for each changed job that has none in progress.
func (c *Core) emitSaves() {
	jobs := c.unsavedJobs
	c.unsavedJobs = nil
	for _, j := range jobs {
		if j.saveInProgress {
			c.unsavedJobs = append(c.unsavedJobs, j)
			continue
		}
		j.saveInProgress, j.changedSinceSave = true, false
		j.saveNumber++
		j.afterCurrentSave, j.afterNextSave = j.afterNextSave, nil
		c.emit(SaveProgress{Job: j.ID, Number: j.saveNumber, Progress: j.progress()})
	}
}

func (c *Core) handleSaved(e ProgressSaved) {
	j := c.jobs[e.Job]
	if j == nil || !j.saveInProgress || j.saveNumber != e.Number {
		return
	}
	j.saveInProgress = false
	j.durableState = j.stateInSave
	then := j.afterCurrentSave
	j.afterCurrentSave = nil
	for _, fn := range then {
		fn()
	}
}
