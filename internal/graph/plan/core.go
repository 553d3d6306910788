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
	// quietAfter is the age of the last report from which a worker gets no new
	// work; agents report every second.
	quietAfter = 2500 * time.Millisecond
	// placeDelay is how long after the first report of a term nothing is placed:
	// most agents of a calm fleet report within it, and what comes first should
	// have its choice among their workers.
	placeDelay = 100 * time.Millisecond
	// settleTime is how long nothing is stopped to make room: nearly all agents
	// report within it, and their workers may be free.
	settleTime = 600 * time.Millisecond
	// usualStop is the time of a stop on the deployments known so far.
	usualStop = 400 * time.Millisecond
	// runsPerTerm is the number of run numbers of one term.
	runsPerTerm = 1 << 24
)

// Core decides for one term of an owner. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	out     []Action
	policy  *policy.Snapshot
	jobs    map[graph.JobID]*job
	live    []*job // not final, in order of submission
	workers map[string]*worker
	ordered []*worker // by ID
	runs    uint64
	// heard is set by the first report, firstHeard is when it came.
	heard      bool
	firstHeard time.Duration
	unsaved    []*job
	books      books
	// stirred is set when something has changed on which places depend.
	stirred  bool
	forgotAt time.Duration
}

// New returns a core without jobs and workers.
func New(cfg Config) *Core {
	if cfg.StopTime == 0 {
		cfg.StopTime = usualStop
	}
	return &Core{cfg: cfg, jobs: map[graph.JobID]*job{}, workers: map[string]*worker{}}
}

// Step takes one event and returns the actions that follow, in order. Time
// must not go back.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.out = nil
	c.handle(ev)
	if c.stirred {
		c.stirred = false
		c.schedule()
	}
	c.flush()
	return c.out
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case JobSubmitted:
		c.submitted(e)
	case JobCancelled:
		c.cancel(e.Job)
	case WorkerReport:
		c.report(e)
	case SessionClosed:
		c.sessionClosed(e)
	case ProgressSaved:
		c.saved(e)
	case PolicyChanged:
		c.policy = e.Policy
		c.stirred = true
	case Tick:
		c.tick()
	}
}

// noteReport notes the first report of the term.
func (c *Core) noteReport() {
	if !c.heard {
		c.heard, c.firstHeard = true, c.now
	}
}

// hearing reports whether so much time has passed since the first report.
func (c *Core) hearing(d time.Duration) bool { return c.heard && c.now >= c.firstHeard+d }

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) tick() {
	c.stirred = true
	c.forget()
	for _, w := range c.ordered {
		c.watchWorker(w)
		c.watchOrders(w)
	}
	for _, j := range c.live {
		c.watchRuns(j)
	}
}

// FinalJobRetention is how long a job that is final stays known: callers ask for it for
// minutes.
const FinalJobRetention = time.Hour

// forgetInterval is the time between two looks for jobs to forget.
const forgetInterval = time.Minute

// forget drops the jobs that have been final for long.
func (c *Core) forget() {
	if c.now < c.forgotAt+forgetInterval {
		return
	}
	c.forgotAt = c.now
	now := c.cfg.TermStart.Add(c.now)
	for id, j := range c.jobs {
		if j.durable.Final() && !j.saving && !j.finished.IsZero() && now.Sub(j.finished) > FinalJobRetention {
			delete(c.jobs, id)
		}
	}
}

// nextRun returns a run number that no earlier one of any task reaches.
func (c *Core) nextRun() uint64 {
	c.runs++
	return c.cfg.FencingToken*runsPerTerm + c.runs
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
	return JobStatus{State: j.shown(), Queue: j.Queue}, true
}

// PendingJobs returns the number of a queue's jobs of which no task has started.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.live {
		if j.Queue == queue && j.shown() == graph.Queued {
			n++
		}
	}
	return n
}

// save asks for the job's progress to be written; then runs once it is.
func (c *Core) save(j *job, then func()) {
	if then != nil {
		j.afterNext = append(j.afterNext, then)
	}
	j.dirty = true
	if !slices.Contains(c.unsaved, j) {
		c.unsaved = append(c.unsaved, j)
	}
}

// flush emits a save for each changed job that has none in progress.
func (c *Core) flush() {
	jobs := c.unsaved
	c.unsaved = nil
	for _, j := range jobs {
		if j.saving {
			c.unsaved = append(c.unsaved, j)
			continue
		}
		j.saving, j.dirty = true, false
		j.number++
		j.afterSave, j.afterNext = j.afterNext, nil
		c.emit(SaveProgress{Job: j.ID, Number: j.number, Progress: j.progress()})
	}
}

func (c *Core) saved(e ProgressSaved) {
	j := c.jobs[e.Job]
	if j == nil || !j.saving || j.number != e.Number {
		return
	}
	j.saving = false
	j.durable = j.savedState
	then := j.afterSave
	j.afterSave = nil
	for _, fn := range then {
		fn()
	}
}
