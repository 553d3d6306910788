package groups

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Core decides for one worker. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	now      time.Duration
	epoch    uint64
	allowed  bool
	leaving  bool
	groups   map[Ref]*group
	ended    endedGroups
	counters Counters
	actions  []Action
}

// Counters counts what a Core has refused and ended.
type Counters struct {
	StaleEpochs   uint64 `json:"lower_epoch"`
	HoldsRefused  uint64 `json:"holds_refused"`
	StartsRefused uint64 `json:"starts_refused"`
	HoldsExpired  uint64 `json:"holds_lapsed"`
	LeasesExpired uint64 `json:"leases_lapsed"`
	Started       uint64 `json:"started"`
	Adopted       uint64 `json:"adopted"`
	StrayTasks    uint64 `json:"strays"`
}

// New returns a core without groups. It starts nothing before a Permission.
func New(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:    cfg,
		groups: map[Ref]*group{},
		ended:  newEndedGroups(cfg),
	}
}

// Epoch returns the highest epoch seen.
func (c *Core) Epoch() uint64 { return c.epoch }

// Idle reports whether no capacity is held and no task may be running.
func (c *Core) Idle() bool { return len(c.groups) == 0 }

// Step applies one event at the time now and returns the actions, in order.
// Leases that have lapsed are dealt with before the event.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(now, c.now)
	c.actions = nil
	c.expire()
	c.apply(ev)
	c.settle()
	return c.actions
}

func (c *Core) apply(ev Event) {
	switch e := ev.(type) {
	case Hold:
		c.hold(e)
	case Start:
		c.start(e)
	case Stop:
		c.stop(e)
	case Renew:
		c.renew(e)
	case StoreDown:
		c.caretaker(e)
	case EpochObserved:
		c.epoch = max(c.epoch, e.Epoch)
	case Permission:
		c.allowed = e.Allowed
	case TaskUpdate:
		c.taskUpdate(e.Status)
	case TaskLost:
		c.taskLost(e)
	case Adopt:
		c.adopt(e)
	case Leave:
		c.leaving = true
	case Tick:
		c.tick()
	}
}

// obeys reports whether a message of the epoch counts, and notes the epoch.
func (c *Core) obeys(epoch uint64) bool {
	if epoch < c.epoch {
		c.counters.StaleEpochs++
		return false
	}
	c.epoch = epoch
	return true
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// free returns the capacity that is neither held nor in use.
func (c *Core) free() api.Resources {
	free := c.cfg.Capacity
	for _, g := range c.groups {
		free = free.Sub(g.resources())
	}
	return free
}

// sorted returns the groups in order of their refs.
func (c *Core) sorted() []*group {
	list := make([]*group, 0, len(c.groups))
	for _, g := range c.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return compareRefs(a.ref, b.ref) })
	return list
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Attempt, b.Attempt))
}

// Reports returns a report on each group that is held, runs, or has ended and
// is still remembered, in order of their refs.
func (c *Core) Reports() []Report {
	list := c.ended.reports()
	for _, g := range c.groups {
		list = append(list, g.report())
	}
	slices.SortFunc(list, func(a, b Report) int { return compareRefs(a.Ref, b.Ref) })
	return list
}
