package groups

import "time"

// expire ends what has outlived its lease.
func (c *Core) expire() {
	for _, g := range c.sorted() {
		if c.now < g.leaseBy {
			continue
		}
		switch g.phase {
		case phaseHeld:
			c.counters.HoldsExpired++
			c.release(g, "hold has lapsed")
		case phaseRunning:
			c.counters.LeasesExpired++
			c.end(g, causeLapsed, "lease has lapsed")
		}
	}
}

func (c *Core) renew(e Renew) {
	if !c.obeys(e.Epoch) {
		return
	}
	var ids []string
	for _, ref := range e.Refs {
		g := c.groups[ref]
		if g == nil {
			c.reportOrRefuse(ref)
			continue
		}
		ids = append(ids, c.extend(g, e.Stamp, e.Lease)...)
	}
	c.renewTasks(ids, e.Stamp+e.Lease)
}

func (c *Core) caretaker(e StoreDown) {
	var ids []string
	for _, g := range c.sorted() {
		if g.phase == phaseRunning {
			ids = append(ids, c.extend(g, e.Stamp, e.Lease)...)
		}
	}
	c.renewTasks(ids, e.Stamp+e.Lease)
}

// extend moves the lease of a group that is not ending to stamp + lease, if
// that is later, and returns the tasks to renew.
func (c *Core) extend(g *group, stamp, lease time.Duration) []string {
	by := stamp + lease
	if stamp > c.now || by <= g.leaseBy || g.phase == phaseEnding {
		return nil
	}
	g.leaseBy = by
	if g.phase == phaseHeld {
		return nil
	}
	g.workerBy = by + c.cfg.WorkerCallTimeout
	return g.runningIDs()
}

func (c *Core) renewTasks(ids []string, by time.Duration) {
	if len(ids) > 0 {
		c.emit(RenewTasks{IDs: ids, Lease: by - c.now, LeaseEnd: by})
	}
}
