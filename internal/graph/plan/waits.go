package plan

import (
	"fmt"
	"strings"
	"time"
)

const (
	// waitReportChange is the least delay of the expected start that is reported again.
	waitReportChange = 500 * time.Millisecond
	// maxWaitReports limits the notices about one wait of a unit. Each describes the room
	// on all workers.
	maxWaitReports = 8
	// longWait is the wait from which on lower priorities are reported too while the fleet
	// is idle. Callers expect a start within this time where there is room.
	longWait = 3 * time.Second
)

// waitReports records what has been reported about the present wait of a unit.
type waitReports struct {
	count int
	// since is when the unit first found no room; 0 if it has not waited.
	since time.Duration
	// start is the expected start in the last notice; 0 without a reservation.
	start time.Duration
}

// reportWait emits a notice with the reasons why a unit finds no room: when its wait
// becomes worth a notice, and each time that its expected start is put off. The
// reservation is nil if the unit has none.
func (c *Core) reportWait(u *unit, r *reservation) {
	if u.waits.since == 0 {
		u.waits.since = c.now
	}
	if u.waits.count >= maxWaitReports || !c.reportsWait(u) {
		return
	}
	start := time.Duration(0)
	if r != nil {
		start = r.expectedStart
	}
	changed := (start == 0) != (u.waits.start == 0) || start > u.waits.start+waitReportChange
	if u.waits.count > 0 && !changed {
		return
	}
	u.waits.count, u.waits.start = u.waits.count+1, start
	c.emit(Notice{Reason: ReasonWaitsForRoom, Job: u.job.ID, Task: u.taskID(0).String(), Detail: c.describeWait(u, r)})
}

// reportsWait reports whether the wait of a unit is worth a notice: always for the highest
// priority, for others if it is long and the fleet is idle.
func (c *Core) reportsWait(u *unit) bool {
	if u.job.Priority == 0 {
		return true
	}
	return c.now-u.waits.since >= longWait && c.fleetIsIdle()
}

// fleetIsIdle reports whether less than idleFleetPart of the capacity is in use, as of the
// first call in a pass.
func (c *Core) fleetIsIdle() bool {
	if c.sched.fleetIdle == nil {
		idle := c.usedPart() < idleFleetPart
		c.sched.fleetIdle = &idle
	}
	return *c.sched.fleetIdle
}

// describeWait returns what a unit needs, what rules the workers out, and what a stop of
// others would cost and gain.
func (c *Core) describeWait(u *unit, r *reservation) string {
	room := c.describeRoom(u)
	var ruledOut []string
	for _, e := range room.RuledOut {
		ruledOut = append(ruledOut, fmt.Sprintf("%s %d", e.Reason, e.Workers))
	}
	where := ""
	if u.step.SameRack {
		where = " in one rack"
	}
	text := fmt.Sprintf("waited %v; %d tasks of %d accelerators%s, expected to run %v; %d fit on %d of %d workers, ruled out: %s", c.now-u.job.arrivedAt,
		u.taskCount, u.step.Needs.Accelerators, where, u.runTime(), room.TasksFit, room.Suitable, room.Workers, strings.Join(ruledOut, ", "))
	if r == nil {
		return text + "; no reservation: " + c.whyNoReservation(u)
	}
	text += fmt.Sprintf("; expected start in %v", r.expectedStart-c.now)
	if p := c.bestEviction(u, ReasonPreempted); p != nil {
		return text + fmt.Sprintf("; to stop %d units for it gains %.0f and loses %.0f", len(p.victims), c.preemptionGain(u, r.expectedStart), p.loss)
	}
	return text + "; lower priorities hold no room for it"
}
