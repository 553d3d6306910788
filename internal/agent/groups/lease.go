package groups

import "time"

// expireLeases releases the holds and ends the running groups whose lease has
// expired.
func (c *Core) expireLeases() {
	for _, g := range c.sortedGroups() {
		if c.now < g.leaseEnd {
			continue
		}
		switch g.phase {
		case phaseHeld:
			c.counters.HoldsExpired++
			c.releaseHold(g, "hold has lapsed")
		case phaseRunning:
			c.counters.LeasesExpired++
			c.endGroup(g, causeLeaseExpired, "lease has lapsed")
		}
	}
}

func (c *Core) handleRenew(e Renew) {
	if !c.acceptEpoch(e.Epoch) {
		return
	}
	var ids []string
	for _, ref := range e.Refs {
		g := c.groups[ref]
		if g == nil {
			c.reportOrTombstone(ref)
			continue
		}
		ids = append(ids, c.extendLease(g, e.Stamp, e.Lease)...)
	}
	c.renewTasks(ids, e.Stamp+e.Lease)
}

func (c *Core) handleStoreDown(e StoreDown) {
	var ids []string
	for _, g := range c.sortedGroups() {
		if g.phase == phaseRunning {
			ids = append(ids, c.extendLease(g, e.Stamp, e.Lease)...)
		}
	}
	c.renewTasks(ids, e.Stamp+e.Lease)
}

// extendLease moves the lease end of a group that is not ending to stamp + lease
// if that is later. It returns the IDs of the tasks to renew on the worker.
func (c *Core) extendLease(g *group, stamp, lease time.Duration) []string {
	leaseEnd := stamp + lease
	if stamp > c.now || leaseEnd <= g.leaseEnd || g.phase == phaseEnding {
		return nil
	}
	g.leaseEnd = leaseEnd
	if g.phase == phaseHeld {
		return nil
	}
	g.workerLeaseEnd = leaseEnd + c.cfg.WorkerCallTimeout
	return g.runningTaskIDs()
}

func (c *Core) renewTasks(ids []string, leaseEnd time.Duration) {
	if len(ids) > 0 {
		c.emit(RenewTasks{IDs: ids, Lease: leaseEnd - c.now, LeaseEnd: leaseEnd})
	}
}
