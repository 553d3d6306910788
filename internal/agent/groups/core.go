package groups

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Core decides which groups hold capacity and run on one worker. It is not safe
// for concurrent use.
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

// Counters counts messages refused and groups started, adopted and expired.
// StaleEpochs counts messages refused for a lower epoch, StrayTasks running
// tasks stopped because no group accounts for them.
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

// New returns a core without groups. It accepts no hold or start before a
// Permission event allows work.
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

// Step applies one event at the time now and returns the resulting actions in
// order. Leases that have expired by now are ended before the event is applied.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(now, c.now)
	c.actions = nil
	c.expireLeases()
	c.handleEvent(ev)
	c.finishEndedGroups()
	return c.actions
}

func (c *Core) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Hold:
		c.handleHold(e)
	case Start:
		c.handleStart(e)
	case Stop:
		c.handleStop(e)
	case Renew:
		c.handleRenew(e)
	case StoreDown:
		c.handleStoreDown(e)
	case EpochObserved:
		c.epoch = max(c.epoch, e.Epoch)
	case Permission:
		c.allowed = e.Allowed
	case TaskUpdate:
		c.handleTaskUpdate(e.Status)
	case TaskLost:
		c.handleTaskLost(e)
	case Adopt:
		c.handleAdopt(e)
	case Leave:
		c.leaving = true
	case Tick:
		c.handleTick()
	}
}

// acceptEpoch reports whether a message with this epoch is to be obeyed. If so,
// lower epochs are refused from then on.
func (c *Core) acceptEpoch(epoch uint64) bool {
	if epoch < c.epoch {
		c.counters.StaleEpochs++
		return false
	}
	c.epoch = epoch
	return true
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// freeCapacity returns the capacity that is neither held nor in use.
func (c *Core) freeCapacity() api.Resources {
	free := c.cfg.Capacity
	for _, g := range c.groups {
		free = free.Sub(g.resources())
	}
	return free
}

// sortedGroups returns the groups ordered by ref.
func (c *Core) sortedGroups() []*group {
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

// Reports returns the reports on all groups that are held or running, and the
// final reports that are still kept, ordered by ref.
func (c *Core) Reports() []Report {
	list := c.ended.reports()
	for _, g := range c.groups {
		list = append(list, g.report())
	}
	slices.SortFunc(list, func(a, b Report) int { return compareRefs(a.Ref, b.Ref) })
	return list
}
