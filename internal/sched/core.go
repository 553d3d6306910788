package sched

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
)

// DefaultLeaseMargin is added to leases to allow for delays of messages and for
// different clock rates.
const DefaultLeaseMargin = 500 * time.Millisecond

// Config sets up a core.
type Config struct {
	// TermStart is the wall clock time at time zero.
	TermStart time.Time
	// LeaseMargin is added to each lease before its capacity counts as free.
	LeaseMargin time.Duration
}

// Core decides which gang runs where. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	now       time.Duration
	out       []Action
	fleet     *fleet.Fleet
	workers   map[string]*worker
	ordered   []*worker
	jobs      map[string]*job
	config    *api.Config
	authority OwnerStatus
	draining  bool
	timers    timerQueue
	queue     *queue
	accounts  map[string]*account
	early     []GroupReport
	zones     map[string]*zoneReturn
	moving    []*job
	learned   map[string]*learnedProfile
	counts    map[Reason]int
	renewed   int64
	reviewed  time.Duration
	forgotAt  time.Duration

	// slots are the places of the guarantees; slotsOf holds them by profile.
	slots       []*reservation
	slotsOf     map[string][]*reservation
	slotsDirty  bool
	repackedAt  time.Duration
	compactedAt time.Duration
	displacedAt time.Duration
	repackOwed  bool // a guarantee lacks a place and repackInterval had not passed
	plannedGen  uint64
	unbound     []*job // run outside of their profile's guarantee
	missing     int    // guarantees without a place
	lacking     int    // size of the guarantees without a place
	waiting     []*reservation
	beside      besideGuarantees
}

// New returns a core without workers and jobs. It starts nothing before it has
// the authority and a configuration.
func New(cfg Config) *Core {
	if cfg.LeaseMargin == 0 {
		cfg.LeaseMargin = DefaultLeaseMargin
	}
	return &Core{
		cfg:      cfg,
		fleet:    fleet.New(),
		workers:  map[string]*worker{},
		jobs:     map[string]*job{},
		queue:    newQueue(),
		accounts: map[string]*account{},
		zones:    map[string]*zoneReturn{},
		learned:  map[string]*learnedProfile{},
		counts:   map[Reason]int{},
		renewed:  -1,
	}
}

// Step takes one event at the given time and returns the actions that follow,
// in order. Time must not go back.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.out = nil
	c.timers.run(c.now)
	c.handle(ev)
	c.schedule()
	return c.out
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		c.submit(e.Record)
	case Cancel:
		c.cancel(e.JobID)
	case WorkerUp:
		c.workerUp(e)
	case WorkerDown:
		c.workerDown(e.Worker)
	case WorkerStatus:
		c.workerStatus(e)
	case GroupReport:
		c.report(e)
	case SaveResult:
		c.saved(e)
	case ConfigUpdate:
		c.configured(e.Config)
	case OwnerStatus:
		c.authority = e
	case Tick:
		c.tick()
	case Drain:
		c.draining = true
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) notice(j *job, workerName string, why Reason, detail string) {
	c.counts[why]++
	id := ""
	if j != nil {
		id = j.id()
	}
	c.emit(Notice{JobID: id, Worker: workerName, Reason: why, Detail: detail})
}

func (c *Core) after(d time.Duration, run func()) { c.timers.add(c.now+d, run) }

// mayStart reports whether new attempts may begin.
func (c *Core) mayStart() bool {
	a := c.authority
	return a.Owner && !a.StoreDown && !c.draining && c.now >= a.StartAfter && c.config != nil
}

func (c *Core) wall() time.Time { return c.cfg.TermStart.Add(c.now) }

func (c *Core) tick() {
	c.renewDue()
	c.dropEarly()
	c.moveFromOutZones()
	c.review()
}
