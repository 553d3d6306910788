package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// refusalBackoff is the time for which a unit avoids a worker that refused it.
const refusalBackoff = 1500 * time.Millisecond

// refusalMemory is the time after refusalBackoff for which the unit prefers other workers. A
// gang learns of one such worker with each of its runs.
const refusalMemory = time.Minute

// worker is the owner's view of a worker.
type worker struct {
	info         WorkerInfo
	longName     bool // too long for the progress of a job
	reported     bool // in this term
	lastReportAt time.Duration
	listedAt     time.Duration // when it made its last list of runs
	moreEnds     bool          // that list may lack ends
	endsDelayed  bool          // the list before may have lacked ends that this one shows
	// lastGrantAt is the time of the last report that was answered by a lease grant.
	// For a worker that has not reported in this term it is the latest time at which
	// the previous owner may have granted a lease.
	lastGrantAt time.Duration
	responsive  bool
	session     string
	lost        bool // the lease has expired
	// lateLeaseEnd is when a lease has expired that a call for an earlier incarnation may
	// have given; 0 if there is none.
	lateLeaseEnd time.Duration

	members    []*member // members that have not ended
	stopping   int       // of members
	used       graph.Resources
	unknownUse graph.Resources // used by runs that the owner did not place here
	// unknownStops holds the last stop ordered for each such run.
	unknownStops map[RunRef]orderedStop
	claimed      graph.Resources // held by claims
	reserved     []reservedRoom  // by reservations of the current pass

	pendingAcks  []*pendingAck
	lastEndSeen  uint64 // highest number of a processed end
	lastEndAcked uint64

	speed           workerhealth.Record
	speedState      workerSpeed
	failures        workerhealth.Failures[*unit]
	standsStill     standstill
	suspects        int           // members whose units have crashed workers
	crashedJobs     []graph.JobID // that it crashed under since a run was done on it
	drainReportedAt time.Duration
}

// orderedStop is a stop that was ordered in a session.
type orderedStop struct {
	session string
	at      time.Duration
}

// pendingAck is a run end that is acknowledged once its effect is saved.
type pendingAck struct {
	number uint64
	end    graph.RunEnd
	since  time.Duration // when it was reported
	job    *job          // nil if the owner did not track the run
	// notBefore is set on the end, done or failed, of a run that a later incarnation of the worker
	// may begin again: a crash before then loses the end, so that it never counts as taken note of.
	notBefore time.Duration
	saved     bool
	held      bool // its job is unreadable
}

func (w *worker) connected() bool { return w.reported && w.session != "" && !w.lost }

func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w != nil {
		return w
	}
	w = &worker{info: WorkerInfo{ID: id}, lastReportAt: c.now, lastGrantAt: c.now + c.cfg.TakeoverOverlap}
	c.workers[id] = w
	i, _ := slices.BinarySearchFunc(c.sortedWorkers, id, func(o *worker, id string) int { return strings.Compare(o.info.ID, id) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, i, w)
	return w
}

func (c *Core) occupy(m *member) {
	m.worker.members = append(m.worker.members, m)
	m.worker.used = m.worker.used.Add(m.unit.step.Needs)
	if m.crashes = m.unit.crashes.of(m.index()).count; m.crashes > 0 {
		m.worker.suspects++
	}
}

func (c *Core) release(m *member) {
	w := m.worker
	w.members = slices.DeleteFunc(w.members, func(o *member) bool { return o == m })
	w.used = w.used.Sub(m.unit.step.Needs)
	if m.stopping {
		w.stopping--
	}
	if m.crashes > 0 {
		w.suspects--
	}
}

// handleReport updates the worker's state from a report of its agent.
func (c *Core) handleReport(report WorkerReport) {
	c.recordFirstReport()
	w := c.worker(report.Worker.ID)
	c.recordLateStarts(w, report.Late, report.settles)
	if w.info.Incarnation() != report.Worker.Incarnation() {
		c.changeIncarnation(w, report)
	}
	c.endEarlierMembers(w, report)
	c.resolveSuspectedCrashes(w.info.ID, report.Worker.Incarnation(), report.WorkerResponsive)
	lost := !report.WorkerResponsive && c.now > c.leaseEnd(w)
	if !w.reported || w.lost && !lost {
		c.emit(Notice{Reason: ReasonWorkerUp, Worker: report.Worker.ID, Detail: report.Worker.Rack})
	}
	if report.Worker.Draining && !w.info.Draining {
		w.drainReportedAt = c.now
		c.emit(Notice{Reason: ReasonWorkerDraining, Worker: report.Worker.ID, Detail: report.Worker.DrainRemaining.String()})
	}
	if !w.reported || w.lost != lost || w.session != report.Session || w.responsive != report.WorkerResponsive || w.info.Draining != report.Worker.Draining || w.info.Capacity != report.Worker.Capacity {
		c.needsScheduling = true
	}
	w.info = report.Worker
	w.longName = !graph.FitsJSON(w.info.ID, graph.MaxWorkerIDBytes) || !graph.FitsJSON(w.info.Incarnation(), graph.MaxIncarnationBytes)
	c.restoreSpeed(w)
	w.reported, w.responsive = true, report.WorkerResponsive
	w.lost = w.lost && lost
	w.endsDelayed = w.moreEnds
	w.lastReportAt, w.listedAt, w.moreEnds = c.now, c.now-report.ListAge, report.MoreEnds
	if report.WorkerResponsive && !report.WorkerLeft {
		w.lastGrantAt = c.now
		c.emit(GrantLease{Worker: w.info.ID, Incarnation: w.info.Incarnation(), ReportNumber: report.Number})
	}
	w.session = report.Session
	c.recordLateLease(w, report.Late)
	c.updateRunning(w, report.Running, c.now-report.ListAge)
	for _, m := range w.members {
		m.accepted = false
	}
	for _, r := range report.Accepted {
		if m := w.findMember(r.Task, r.Run); m != nil {
			m.accepted = true
			c.noteBegun(m)
		}
	}
	c.processEnds(w, report.Ended, report.Late)
	for _, a := range report.Absent {
		c.handleAbsent(w, a)
	}
	if report.WorkerLeft {
		w.responsive = false
		c.dropLateCalls(w, "")
		c.endLostMembers(w, noIncarnation, causeWorkerLeft)
		return
	}
	c.reconcileMembers(w, report)
}

// changeIncarnation resets a worker's state when a new incarnation reports. Earlier
// incarnations have ended, with all runs that had begun on them.
func (c *Core) changeIncarnation(w *worker, report WorkerReport) {
	incarnation := report.Worker.Incarnation()
	if w.reported {
		c.emit(Notice{Reason: ReasonIncarnationChanged, Worker: w.info.ID, Detail: incarnation})
	}
	w.pendingAcks, w.lastEndSeen, w.lastEndAcked, w.lateLeaseEnd = nil, 0, 0, 0
	c.dropLateCalls(w, report.Worker.Instance)
	w.failures.Restart()
	w.standsStill = standstill{}
	c.restartSpeed(w, report.Worker)
	c.recordCrashes(w, func(m *member) bool {
		ref := RunRef{m.task, m.run}
		return slices.Contains(report.Lost, ref) && !report.lists(ref)
	}, true)
}

// endEarlierMembers ends the members that were placed on an earlier incarnation than the one
// that reports. A job that is loaded late may bring some back.
func (c *Core) endEarlierMembers(w *worker, report WorkerReport) {
	incarnation := report.Worker.Incarnation()
	if slices.ContainsFunc(w.members, func(m *member) bool { return m.incarnation != incarnation }) {
		c.moveUnsettledMembers(w, report)
		c.endLostMembers(w, incarnation, causeWorkerRestarted)
	}
}

// moveUnsettledMembers binds those members to the worker's new incarnation whose start may
// have reached it, as both may have one instance name. A run that it lists goes on there. One
// that it does not list, and that is not known to have begun on the earlier incarnation, is
// stopped: its agent may have been replaced too and know of no start under way.
func (c *Core) moveUnsettledMembers(w *worker, report WorkerReport) {
	for _, m := range w.members {
		if m.incarnation == report.Worker.Incarnation() {
			continue
		}
		ref := RunRef{m.task, m.run}
		listed := report.lists(ref)
		begun := slices.Contains(report.Lost, ref)
		if !listed && (begun || !m.startSent && !m.recovered) {
			continue
		}
		m.incarnation, m.orderSession = report.Worker.Incarnation(), ""
		m.running, m.accepted = false, false
		if !listed {
			m.unit.history.stopFor(stopUnsettledStart)
			c.stopRun(m.unit)
		}
		c.requestSave(m.unit.job, nil)
	}
}

// lists reports whether the worker lists a run as running or ended.
func (r *WorkerReport) lists(ref RunRef) bool {
	return slices.ContainsFunc(r.Running, func(s graph.RunState) bool { return s.Task == ref.Task && s.Run == ref.Run }) ||
		slices.ContainsFunc(r.Ended, func(e graph.RunEnd) bool { return e.Task == ref.Task && e.Run == ref.Run })
}

// endLostMembers ends all members on a worker except those placed on the given
// incarnation. They cannot be running any more.
func (c *Core) endLostMembers(w *worker, except, cause string) {
	c.endMembersWhere(w, func(m *member) bool { return m.incarnation != except }, cause)
}

func (c *Core) endMembersWhere(w *worker, isOver func(*member) bool, cause string) {
	for _, m := range slices.Clone(w.members) {
		if !isOver(m) {
			continue
		}
		c.endMemberFor(m, graph.EndWorkerLost, "", cause)
		c.requestSave(m.unit.job, nil)
	}
}

// noIncarnation matches no incarnation of a worker.
const noIncarnation = ""

// updateRunning records the runs that a worker listed at the given time.
func (c *Core) updateRunning(w *worker, running []graph.RunState, listedAt time.Duration) {
	before := w.unknownUse
	w.unknownUse = graph.Resources{}
	stopsBefore := w.unknownStops
	w.unknownStops = nil
	defer func() { c.needsScheduling = c.needsScheduling || before != w.unknownUse }()
	for _, r := range running {
		m := w.findMember(r.Task, r.Run)
		if m == nil {
			c.stopUnknownRun(w, r, stopsBefore[RunRef{r.Task, r.Run}])
			continue
		}
		c.updateProgress(m, r, listedAt)
	}
}

// stopUnknownRun stops a reported run that the owner did not place on the worker,
// and counts its resources as used until it is gone: all of the worker's if its job is not
// loaded, as the row may be unreadable or its runs outlast it. It repeats the last stop only in
// another session or after orderTimeout, as the run is listed until it has ended.
func (c *Core) stopUnknownRun(w *worker, r graph.RunState, last orderedStop) {
	w.unknownUse = w.unknownUse.Add(c.needsOfUnknownRun(w, r.Task))
	if w.unknownStops == nil {
		w.unknownStops = map[RunRef]orderedStop{}
	}
	if last.session == w.session && c.now-last.at < orderTimeout {
		w.unknownStops[RunRef{r.Task, r.Run}] = last
		return
	}
	w.unknownStops[RunRef{r.Task, r.Run}] = orderedStop{w.session, c.now}
	c.emit(Notice{Reason: ReasonUnknownRun, Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.info.ID})
	c.emit(StopRun{Worker: w.info.ID, Incarnation: w.info.Incarnation(), Task: r.Task, Run: r.Run, Reason: string(ReasonUnknownRun)})
}

// needsOfUnknownRun returns the most that a run which the owner did not place may use.
func (c *Core) needsOfUnknownRun(w *worker, task graph.TaskID) graph.Resources {
	if j := c.jobs[task.Job]; j != nil {
		if u := j.unitOf(task.Step, task.Index); u != nil {
			return u.step.Needs
		}
	}
	return w.info.Capacity
}

func (c *Core) updateProgress(m *member, r graph.RunState, listedAt time.Duration) {
	if !m.running {
		m.running = true
		m.runningSince, m.lastProgressAt = c.now, c.now
		m.firstPercent, m.firstListedAt = r.Percent, listedAt
		m.percent = r.Percent
		c.noteBegun(m)
		if m.startedAfresh && r.Percent > 0 {
			m.recordStep(r.Percent, listedAt-m.startedAt)
		}
	}
	m.startSent = true
	m.unit.job.started = true
	m.listedAt = listedAt
	if r.Percent != m.percent {
		m.learnStep(r.Percent, listedAt)
		m.percent, m.lastProgressAt = r.Percent, listedAt
		m.worker.standsStill = standstill{}
		c.learnRate(m)
	}
	if r.Checkpoint != "" && r.Checkpoint != m.checkpoint && m.unit.step.Checkpointable {
		m.checkpoint, m.checkpointAt = r.Checkpoint, c.now
		c.keepCheckpoint(m, r.Checkpoint)
	}
}

// keepCheckpoint makes a checkpoint the one from which the unit resumes, unless a later list
// of another worker has shown one: the members of a gang share its checkpoints, and the lists of
// their workers may arrive in any order. Those of one worker arrive in order, also where delayed
// reports make an earlier list look later. A checkpoint that is too long for the table is not
// kept, so that the unit resumes from the one before.
func (c *Core) keepCheckpoint(m *member, checkpoint string) {
	u := m.unit
	if u.checkpointFrom != nil && u.checkpointFrom != m.worker && m.worker.listedAt < u.checkpointListedAt {
		return
	}
	u.checkpointFrom, u.checkpointListedAt = m.worker, m.worker.listedAt
	if graph.FitsJSON(checkpoint, graph.MaxCheckpointBytes) {
		if u.checkpoint != checkpoint {
			u.checkpoint = checkpoint
			u.job.noteCheckpoint(c.now)
		}
		return
	}
	if !u.longCheckpoint {
		u.longCheckpoint = true
		c.emit(Notice{Reason: ReasonLongCheckpoint, Job: u.job.ID, Task: m.task.String(), Run: m.run, Worker: m.worker.info.ID,
			Detail: fmt.Sprintf("%d bytes, at most %d are kept", len(checkpoint), graph.MaxCheckpointBytes)})
	}
}

// listedLast reports whether the last list of the worker shows the member's run as running.
// A run that an earlier list shows may have ended, with its end behind a cut list.
func (m *member) listedLast() bool { return m.running && m.listedAt == m.worker.listedAt }

func (w *worker) findMember(id graph.TaskID, run uint64) *member {
	for _, m := range w.members {
		if m.task == id && m.run == run {
			return m
		}
	}
	return nil
}

// memberOf returns the member whose run has ended, or nil. A worker may have been reported
// under another host name when the run was placed; an end that is acknowledged must not be
// lost with that name.
func (c *Core) memberOf(w *worker, e graph.RunEnd) *member {
	if m := w.findMember(e.Task, e.Run); m != nil {
		return m
	}
	return c.memberWhere(e, func(m *member) bool { return !m.ended && m.incarnation == w.info.Incarnation() })
}

// memberWhere returns the member of the run of an end that meets a condition, or nil.
func (c *Core) memberWhere(e graph.RunEnd, meets func(*member) bool) *member {
	j := c.jobs[e.Task.Job]
	if j == nil {
		return nil
	}
	u := j.unitOf(e.Task.Step, e.Task.Index)
	if u == nil {
		return nil
	}
	for _, m := range u.members {
		if m.task == e.Task && m.run == e.Run && meets(m) {
			return m
		}
	}
	return nil
}

// processEnds handles the reported ends in order. Each is acknowledged once its
// effect is saved. If an acknowledged end is reported again, the acknowledgement
// is repeated.
func (c *Core) processEnds(w *worker, ended []graph.RunEnd, late LateCalls) {
	resend := false
	for _, e := range ended {
		if e.Number <= w.lastEndSeen {
			resend = resend || e.Number <= w.lastEndAcked
			continue
		}
		w.lastEndSeen = e.Number
		ack := &pendingAck{number: e.Number, end: e, since: c.now}
		if countsForGood(e.Kind) {
			ack.notBefore = c.callsOfEndedRun(late, RunRef{e.Task, e.Run})
		}
		w.pendingAcks = append(w.pendingAcks, ack)
		c.processEnd(w, e, ack)
	}
	c.acknowledgeEnds(w, resend)
}

func (c *Core) processEnd(w *worker, e graph.RunEnd, ack *pendingAck) {
	m := c.memberOf(w, e)
	if m == nil && c.unreadable[e.Task.Job] {
		c.holdEnd(e, ack)
		return
	}
	if m == nil && countsForGood(e.Kind) {
		m = c.awaitedMember(e)
	}
	if m == nil {
		c.recordLateEnd(w, e, ack)
		return
	}
	if countsForGood(e.Kind) {
		for _, o := range m.unit.members { // one end stands for those of a whole gang
			ack.notBefore = max(ack.notBefore, o.callsUntil)
		}
	}
	if m.ended {
		c.endAgain(m, e.Kind)
	}
	c.endMember(m, e.Kind, e.Checkpoint)
	incarnation := w.info.Incarnation()
	ack.job = m.unit.job
	then := afterSave{stored: func() {
		ack.saved = true
		if w.info.Incarnation() == incarnation {
			c.acknowledgeEnds(w, false)
		}
	}}
	if e.Kind != graph.EndDone {
		then.unstored = then.stored
	}
	c.requestSaveOf(m.unit.job, then)
}

// recordLateEnd handles the end of a run that the owner no longer tracks. Nothing
// depends on it unless the job's state is still being saved.
func (c *Core) recordLateEnd(w *worker, e graph.RunEnd, ack *pendingAck) {
	c.emit(Notice{Reason: ReasonRunEnded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Worker: w.info.ID, Detail: "late " + string(e.Kind),
		Cause: c.describeUntracked(e)})
	ack.saved = true
}

// acknowledgeEnds acknowledges the ends up to the first one whose effect is not
// saved yet, or that waits for late calls. Behind a cut list there may be ends of
// others, so none waits. With resend it repeats an acknowledgement that was sent before.
func (c *Core) acknowledgeEnds(w *worker, resend bool) {
	before := w.lastEndAcked
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].saved && (w.moreEnds || c.now >= w.pendingAcks[0].notBefore) {
		w.lastEndAcked = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
	if (w.lastEndAcked > before || resend) && w.connected() {
		c.emit(AcknowledgeEnds{Worker: w.info.ID, Incarnation: w.info.Incarnation(), Number: w.lastEndAcked})
	}
}

func (c *Core) handleAbsent(w *worker, a RunAbsent) {
	m := w.findMember(a.Task, a.Run)
	if m == nil {
		return
	}
	u := m.unit
	c.emit(Notice{Reason: ReasonRunEnded, Job: u.job.ID, Task: a.Task.String(), Run: a.Run, Worker: w.info.ID, Detail: "refused: " + a.Reason})
	if !m.stopping || a.tellsRefusal() { // several members of one run may be refused
		u.refusedBy(w, c.now+refusalBackoff)
	}
	c.endMember(m, graph.EndNeverStarted, "")
	c.requestSave(u.job, nil)
}

// reconcileMembers stops the members whose runs the report does not list, and
// repeats stops that were sent in an earlier session. An order sent over an earlier
// connection or in an earlier term may have been lost. The stop makes the agent
// report the outcome and prevents a late start. A run that is missing from a list that
// may lack ends is left to the first complete one.
func (c *Core) reconcileMembers(w *worker, e WorkerReport) {
	listed := map[graph.TaskID]uint64{}
	for _, r := range e.Running {
		listed[r.Task] = r.Run
	}
	for _, m := range slices.Clone(w.members) {
		if m.ended || m.incarnation != w.info.Incarnation() {
			continue
		}
		orderedBefore := m.orderSession != w.session && (m.startSent || m.recovered)
		switch {
		case m.stopping && m.orderSession != w.session:
			c.stopMember(m)
		case listed[m.task] == m.run || e.MoreEnds:
		case m.running || orderedBefore:
			m.unit.history.stopFor(unlistedReason(m))
			c.stopMember(m)
		}
	}
}

func (c *Core) handleSessionClosed(e SessionClosed) {
	w := c.workers[e.Worker]
	if w != nil && w.session == e.Session {
		w.session = ""
	}
}

// watchLease marks a worker as lost and ends its members, also those of jobs that are loaded
// later, once its lease has certainly expired.
func (c *Core) watchLease(w *worker) {
	if c.now <= c.leaseEnd(w) {
		return
	}
	if !w.lost {
		w.lost = true
		c.emit(Notice{Reason: ReasonWorkerLost, Worker: w.info.ID, Detail: (c.now - w.lastGrantAt).String() + c.describeAwaited(w)})
		if w.session != "" && c.now-w.lastReportAt <= maxReportAge {
			c.recordCrashes(w, func(m *member) bool { return m.listedLast() || m.accepted }, false)
		}
	}
	c.endMembersWhere(w, func(m *member) bool { return c.now > c.latestEnd(m) }, causeLeaseOver)
}

// avoidsWorkers reports whether the unit has avoided workers in this term.
func (u *unit) avoidsWorkers() bool { return len(u.avoidUntil)+len(u.refusedUntil) > 0 }

// avoidFor makes a unit avoid a worker for a time.
func (c *Core) avoidFor(u *unit, w *worker, d time.Duration) {
	u.avoidWorker(w.info.ID, c.now+d)
	u.avoidedAt = c.now
}

// refusedBy makes a unit leave out a worker that refused it until the given time. It is so
// short that nothing waives it.
func (u *unit) refusedBy(w *worker, until time.Duration) {
	if u.refusedUntil == nil {
		u.refusedUntil = map[string]time.Duration{}
	}
	u.refusedUntil[w.info.ID] = until
}

// refusedLately reports whether a worker has refused the unit so lately that the unit prefers
// others: it may take longer than refusalBackoff until the next one refuses it.
func (c *Core) refusedLately(u *unit, w *worker) bool {
	until, refused := u.refusedUntil[w.info.ID]
	return refused && c.now < until+refusalMemory
}

func (u *unit) avoidWorker(id string, until time.Duration) {
	if u.avoidUntil == nil {
		u.avoidUntil = map[string]time.Duration{}
	}
	u.avoidUntil[id] = until
}
