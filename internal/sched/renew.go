package sched

import "time"

// renewBuckets is the number of ticks over which the renewals of all workers are
// spread.
const renewBuckets = int64(RenewInterval / TickInterval)

// startResendInterval is how long a start may remain without a report before it is
// sent again.
const startResendInterval = time.Second

func (c *Core) renewDueLeases() {
	last := c.lastRenewTick
	c.lastRenewTick = int64(c.now / TickInterval)
	if !c.ownerStatus.Owner {
		return
	}
	from := max(last+1, c.lastRenewTick-renewBuckets+1)
	for tick := from; tick <= c.lastRenewTick; tick++ {
		for i := int(tick % renewBuckets); i < len(c.workerList); i += int(renewBuckets) {
			c.renewWorker(c.workerList[i])
		}
	}
}

func (c *Core) renewWorker(w *worker) {
	if !w.Linked {
		return
	}
	var refs []GroupRef
	for _, g := range w.groups {
		if !renewable(g) {
			continue
		}
		g.leaseUntil = c.now + GroupLease + c.cfg.LeaseMargin
		c.resendStart(g)
		refs = append(refs, GroupRef{g.job.id(), g.attempt})
	}
	if len(refs) > 0 {
		c.emit(Renew{Worker: w.Name, Groups: refs})
	}
}

// resendStart repeats a start that has not been confirmed.
func (c *Core) resendStart(g *group) {
	j := g.job
	if g.state != groupStarting || c.now < j.startedAt+startResendInterval {
		return
	}
	if g.worker.ZoneOut {
		c.groupLost(g, ReasonZoneOut)
		return
	}
	c.startGroup(g)
}

// renewable reports whether a group's lease may be extended. The leases of a gang
// are extended for all groups or for none.
func renewable(g *group) bool {
	if g.stopping || g.detached {
		return false
	}
	j := g.job
	if j.phase == phaseSaving {
		return j.unlinkedGroups == 0 && !j.abortedWhileSaving
	}
	return j.phase == phaseRunning && (j.unlinkedGroups == 0 || j.adopting)
}
