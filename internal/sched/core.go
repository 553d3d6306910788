package sched

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

// DefaultLeaseMargin is added to each lease to cover message delays and
// differences between clock rates.
const DefaultLeaseMargin = 500 * time.Millisecond

// Config configures a Core.
type Config struct {
	// TermStart is the wall-clock time at which the core's time is zero.
	TermStart time.Time
	// LeaseMargin is how long after the end of a lease its capacity still counts
	// as used.
	LeaseMargin time.Duration
}

// Core decides which gang runs where. It is not safe for concurrent use.
type Core struct {
	cfg             Config
	now             time.Duration
	actions         []Action
	fleet           *fleet.Fleet
	workers         map[string]*worker
	workerList      []*worker
	jobs            map[string]*job
	config          *api.Config
	ownerStatus     OwnerStatus
	draining        bool
	timers          timerQueue
	queue           *queue
	accounts        map[string]*account
	earlyReports    []GroupReport
	reopeningZones  map[string]*zoneReopening
	pendingMoves    []*job
	learnedProfiles map[string]*runtimes.Ratio
	reasonCounts    map[Reason]int
	lastRenewTick   int64
	lastReview      time.Duration
	lastForget      time.Duration

	// guarantees holds one reservation per guaranteed gang; guaranteesOf groups
	// them by profile.
	guarantees          []*reservation
	guaranteesOf        map[string][]*reservation
	guaranteesDirty     bool
	lastRepack          time.Duration
	lastCompaction      time.Duration
	lastDisplacement    time.Duration
	repackPending       bool // a guarantee is unplaced and repackInterval has not passed yet
	placedGeneration    uint64
	unboundJobs         []*job // running outside of their profile's guarantee
	unplacedCount       int    // guaranteed gangs without a placement
	unplacedSize        int    // sum of their weightedSize
	waitingReservations []*reservation
	guaranteedFleet     guaranteedFleet
}

// New returns a core without workers or jobs. It starts no work until it has
// received ownership and a configuration.
func New(cfg Config) *Core {
	if cfg.LeaseMargin == 0 {
		cfg.LeaseMargin = DefaultLeaseMargin
	}
	return &Core{
		cfg:             cfg,
		fleet:           fleet.New(),
		workers:         map[string]*worker{},
		jobs:            map[string]*job{},
		queue:           newQueue(),
		accounts:        map[string]*account{},
		reopeningZones:  map[string]*zoneReopening{},
		learnedProfiles: map[string]*runtimes.Ratio{},
		reasonCounts:    map[Reason]int{},
		lastRenewTick:   -1,
	}
}

// Step processes one event and returns the resulting actions in order. The
// given times must not decrease.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.timers.runDue(c.now)
	c.handle(ev)
	c.schedule()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		c.submit(e.Record)
	case Cancel:
		c.cancel(e.JobID)
	case WorkerUp:
		c.handleWorkerUp(e)
	case WorkerDown:
		c.handleWorkerDown(e.Worker)
	case WorkerStatus:
		c.handleWorkerStatus(e)
	case GroupReport:
		c.handleReport(e)
	case SaveResult:
		c.handleSaveResult(e)
	case ConfigUpdate:
		c.handleConfigUpdate(e.Config)
	case OwnerStatus:
		c.ownerStatus = e
	case Tick:
		c.tick()
	case Drain:
		c.draining = true
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) emitNotice(j *job, workerName string, reason Reason, detail string) {
	c.reasonCounts[reason]++
	id := ""
	if j != nil {
		id = j.id()
	}
	c.emit(Notice{JobID: id, Worker: workerName, Reason: reason, Detail: detail})
}

func (c *Core) after(d time.Duration, run func()) { c.timers.add(c.now+d, run) }

// mayStart reports whether new attempts may start.
func (c *Core) mayStart() bool {
	a := c.ownerStatus
	return a.Owner && !a.StoreDown && !c.draining && c.now >= a.StartAfter && c.config != nil
}

func (c *Core) wallTime() time.Time { return c.cfg.TermStart.Add(c.now) }

func (c *Core) tick() {
	c.renewDueLeases()
	c.flushEarlyReports()
	c.movePendingJobs()
	c.reviewQueue()
}
