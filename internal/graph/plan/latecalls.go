package plan

import "time"

// A worker may start again under its instance name and then execute a call that was meant for
// the earlier incarnation. A lease in such a call is a time on the earlier clock, so the worker
// takes it for the longest that it accepts, from that moment on. The agent tells until when that
// may have happened; where the agent is gone too, the time of the placement bounds it.

const (
	// startWindow is the longest time from a stored placement to the last call that starts the run.
	startWindow = orderTimeout + maxPlacementAge
	// maxPlacementAge is the longest time for which a placement may have been under way to the
	// table before its starts are ordered.
	maxPlacementAge = 2 * time.Second
	// maxClockOffset is the largest difference between the wall clocks of two owners.
	maxClockOffset = 2 * time.Second
)

// leaseEnd returns the time by which a worker's lease has expired if no other one is granted.
func (c *Core) leaseEnd(w *worker) time.Duration {
	return max(w.lastGrantAt+c.cfg.LeaseBound, w.lateLeaseEnd)
}

// recordLateCalls records what a worker's agent knows of late calls.
func (c *Core) recordLateCalls(w *worker, l LateCalls) {
	if c.cfg.LateLeaseBound == 0 {
		return
	}
	if l.Lease {
		w.lateLeaseEnd = max(w.lateLeaseEnd, c.now-l.LeaseAge+c.cfg.LateLeaseBound)
	}
	for _, m := range w.members {
		if m.recovered && c.now-c.placedAt(m.unit.job)+maxClockOffset < l.AgentAge {
			m.latestEnd = 0 // the agent has made all calls of the run
		}
	}
}

// placedAt returns when a unit of a job was last placed, by the clock of the owner that did it.
func (c *Core) placedAt(j *job) time.Duration { return j.placedAt.Sub(c.cfg.TermStart) }

// latestEndOf returns member.latestEnd for the runs of a job that an earlier owner has placed.
func (c *Core) latestEndOf(j *job) time.Duration {
	if c.cfg.LateLeaseBound == 0 || j.placedAt.IsZero() {
		return 0
	}
	return min(c.placedAt(j)+maxClockOffset, 0) + startWindow + c.cfg.LateLeaseBound
}
