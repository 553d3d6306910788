package plan

import (
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// The reasons for stops that follow from something else than a notice of their own.
const (
	stopJobEnded       = "job-ended"        // the job is final
	stopMemberEnded    = "member-ended"     // another member of the run has ended
	stopUnsettledStart = "unsettled-start"  // the worker has restarted and may yet carry the start out
	stopUnlisted       = "unlisted"         // the worker listed the run, and does not any more
	stopUnlistedStart  = "unlisted-start"   // ordered in an earlier session or term; the worker does not list the run
	stopEarlierTerm    = "from-earlier-run" // an earlier term has seen the run fail, or the job end
)

// The causes of ends that no worker has listed.
const (
	causeWorkerLeft      = "worker-left"
	causeWorkerRestarted = "worker-restarted"
	causeLeaseOver       = "lease-over"
	causeSaveRejected    = "save-rejected"
	causeCapacityShrunk  = "capacity-shrunk"
)

const (
	// heldAfter is the time from which on a unit that holds room without doing work is
	// reported. Orders are repeated after orderTimeout.
	heldAfter = 4 * time.Second
	// heldInterval is the least time between two looks at all units.
	heldInterval = 500 * time.Millisecond
	// maxHeldReports limits the reports of one look, and maxHeldMembers the members that
	// one names.
	maxHeldReports = 4
	maxHeldMembers = 6
)

// runHistory is what the log tells of a unit's current run.
type runHistory struct {
	placedAt   time.Duration
	stopping   bool
	stoppingAt time.Duration
	stopReason string // of the first stop
	reported   bool   // as held
	// waiting is set once the unit was seen to wait with its earlier steps done, at
	// waitingAt.
	waiting   bool
	waitingAt time.Duration
}

// stopFor records the reason of the stops that follow, unless there is one.
func (h *runHistory) stopFor(reason string) {
	if h.stopReason == "" {
		h.stopReason = reason
	}
}

func (h *runHistory) beginStop(now time.Duration) {
	if !h.stopping {
		h.stopping, h.stoppingAt = true, now
	}
}

// sizeAt returns the size of the unit for its first task, nil for others.
func (u *unit) sizeAt(i int) *UnitSize {
	if i > 0 {
		return nil
	}
	return &UnitSize{Tasks: u.taskCount, Needs: u.step.Needs}
}

func unlistedReason(m *member) string {
	if m.running {
		return stopUnlisted
	}
	return stopUnlistedStart
}

// whyNotStarted returns why canStart is false.
func (c *Core) whyNotStarted(m *member) string {
	w := m.worker
	switch {
	case m.stopping || m.ended:
		return m.unit.history.stopReason
	case m.incarnation != w.info.Incarnation():
		return causeWorkerRestarted
	case !w.connected():
		return "no-session"
	case w.info.Draining:
		return string(ReasonWorkerDraining)
	case w.info.Pool != m.unit.job.Pool:
		return string(ReasonJobMoved)
	default:
		return "zone-out"
	}
}

// describeUntracked returns what the owner knows of a run that is not the current one of
// its task, or whose end it has recorded already.
func (c *Core) describeUntracked(e graph.RunEnd) string {
	j := c.jobs[e.Task.Job]
	if j == nil {
		return "unknown job"
	}
	u := j.unitOf(e.Task.Step, e.Task.Index)
	switch {
	case u == nil:
		return "unknown task"
	case u.run > e.Run:
		return fmt.Sprintf("now run %d", u.run)
	case u.run < e.Run:
		return "unknown run"
	case u.phase == unitDone:
		return "task done"
	default:
		return "ended before"
	}
}

// reportHeld reports units that stand still for long without another line that tells why:
// those that hold room though nothing runs there, as their placement is not stored or they
// are stopped and ends are missing, and those that wait while the fleet is idle and no
// waits-for-room tells what for. It reports each run and each wait of a unit once.
func (c *Core) reportHeld() {
	if c.now-c.heldCheckedAt < heldInterval {
		return
	}
	c.heldCheckedAt = c.now
	left := maxHeldReports
	idle := c.usedPart() < idleFleetPart
	for _, j := range c.activeJobs {
		for _, units := range j.unitsByStep {
			left = c.reportHeldOf(units, idle, left)
		}
	}
}

// reportHeldOf is reportHeld for the units of a step, of which it reports only the first
// that waits. It returns how many more may be reported.
func (c *Core) reportHeldOf(units []*unit, idle bool, left int) int {
	ready := len(units) > 0 && units[0].dependenciesDone()
	for _, u := range units {
		waits := ready && u.phase == unitWaiting
		u.history.watchWait(waits, c.now)
		if left == 0 || u.history.reported {
			idle = idle && !waits
			continue
		}
		if text := c.describeHeld(u, idle); text != "" {
			u.history.reported = true
			left--
			c.emit(Notice{Reason: ReasonUnitHeld, Job: u.job.ID, Task: u.taskID(0).String(), Run: u.run, Detail: text})
		}
		idle = idle && !waits
	}
	return left
}

// watchWait records since when a unit waits.
func (h *runHistory) watchWait(waits bool, now time.Duration) {
	if waits == h.waiting {
		return
	}
	h.waiting, h.waitingAt, h.reported = waits, now, h.reported && !waits
}

// describeHeld returns what holds a unit, or "".
func (c *Core) describeHeld(u *unit, idle bool) string {
	h := &u.history
	switch {
	case u.phase == unitPlaced && u.onlyAwaitsCalls():
		return "" // late-starts-awaited tells
	case u.phase == unitPlaced && u.stopping && c.now-h.stoppingAt > heldAfter:
		return fmt.Sprintf("stopping for %v (%s); %s", c.now-h.stoppingAt, h.stopReason, c.describeMembers(u, func(m *member) bool { return !m.ended }))
	case u.phase == unitPlaced && !u.stopping && c.now-h.placedAt > heldAfter:
		unsent := func(m *member) bool { return !m.ended && !m.startSent }
		if text := c.describeMembers(u, unsent); text != "" {
			return fmt.Sprintf("placed for %v; %s; %s", c.now-h.placedAt, u.job.describeSave(), text)
		}
	case h.waiting && u.waits.count == 0 && idle && c.now-h.waitingAt > heldAfter:
		return fmt.Sprintf("waiting for %v; %s", c.now-h.waitingAt, c.describePause(u))
	}
	return ""
}

// describePause returns why a unit waits of which reportWait has told nothing.
func (c *Core) describePause(u *unit) string {
	switch {
	case u.notBefore > c.now:
		return fmt.Sprintf("not placed for %v after a rejected save", u.notBefore-c.now)
	case u.claim != nil:
		return fmt.Sprintf("has claimed room for %v", c.now-u.claim.madeAt)
	case !c.hasReports:
		return "no worker has reported"
	case u.declinedSince != 0:
		return fmt.Sprintf("declines slow workers for %v", c.now-u.declinedSince)
	default:
		return "no pass has come to it, or it has just found no room"
	}
}

// describeMembers returns the members of a unit that match, with what the owner knows of
// them, or "" if there are none.
func (c *Core) describeMembers(u *unit, match func(*member) bool) string {
	var names []string
	count := 0
	for _, m := range u.members {
		if !match(m) {
			continue
		}
		if count++; count <= maxHeldMembers {
			names = append(names, fmt.Sprintf("%s run %d on %s (%s)", m.task, m.run, m.worker.info.ID, c.describeMember(m)))
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("no end of %d of %d members: %s", count, len(u.members), strings.Join(names, ", "))
}

// describeMember returns the state of a member that has not ended and of its worker.
func (c *Core) describeMember(m *member) string {
	w := m.worker
	var state []string
	switch {
	case m.running:
		state = append(state, "listed")
	case m.startSent:
		state = append(state, "start sent")
	case m.recovered:
		state = append(state, "of an earlier term")
	default:
		state = append(state, "start not sent")
	}
	if m.stopping && m.orderSession == w.session && w.session != "" {
		state = append(state, fmt.Sprintf("stop sent %v ago", c.now-m.lastOrderAt))
	}
	switch {
	case !w.reported:
		state = append(state, "worker has not reported")
	case m.incarnation != w.info.Incarnation():
		state = append(state, "worker has another incarnation")
	case !w.connected():
		state = append(state, "no session")
	case !w.responsive:
		state = append(state, "worker does not answer")
	}
	return strings.Join(state, ", ")
}

// describeSave returns whether a save of the job's progress is under way.
func (j *job) describeSave() string {
	switch {
	case j.saveInProgress:
		return fmt.Sprintf("save %d has no answer", j.saveNumber)
	case j.rejected:
		return "the last save was rejected"
	case j.changedSinceSave:
		return "the next save has not begun"
	default:
		return "nothing to save"
	}
}
