package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// failureWindow is how long a failed run counts against its worker.
	failureWindow = 12 * time.Second
	// quarantineThreshold is the number of failed runs of different units, without
	// a run that was done in between, after which a worker gets no new work.
	quarantineThreshold = 2
	// initialQuarantine is the first quarantine; each further one lasts twice as long.
	initialQuarantine = 4 * time.Second
	// maxQuarantine bounds a quarantine.
	maxQuarantine = 16 * time.Second
	// refusalBackoff is how long a unit avoids a worker that has refused it.
	refusalBackoff = 1500 * time.Millisecond
)

// worker is a worker as the owner knows it.
type worker struct {
	info         WorkerInfo
	reported     bool // in this term
	lastReportAt time.Duration
	// lastGrantAt is when the last report was taken that got a grant.
	lastGrantAt time.Duration
	responsive  bool
	session     string
	lost        bool // its lease is over

	members    []*member // not ended
	used       graph.Resources
	unknownUse graph.Resources // of runs that were not placed there

	pendingAcks  []*pendingAck
	lastEndSeen  uint64 // highest number of an end that was taken
	lastEndAcked uint64

	recentFailures   []failure
	quarantinedUntil time.Duration // until
	quarantineCount  int
	drainReportedAt  time.Duration
}

type failure struct {
	at   time.Duration
	unit *unit
}

// pendingAck is an end whose effect is on its way into the table.
type pendingAck struct {
	number uint64
	saved  bool
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
}

func (c *Core) release(m *member) {
	w := m.worker
	w.members = slices.DeleteFunc(w.members, func(o *member) bool { return o == m })
	w.used = w.used.Sub(m.unit.step.Needs)
}

// handleReport takes over what a worker's agent has reported.
func (c *Core) handleReport(e WorkerReport) {
	c.recordFirstReport()
	w := c.worker(e.Worker.ID)
	if w.info.Incarnation() != e.Worker.Incarnation() {
		c.changeIncarnation(w, e.Worker.Incarnation())
	}
	lost := !e.WorkerResponsive && c.now-w.lastGrantAt > c.cfg.LeaseBound
	if !w.reported || w.lost && !lost {
		c.emit(Notice{Reason: ReasonWorkerUp, Worker: e.Worker.ID, Detail: e.Worker.Rack})
	}
	if e.Worker.Draining && !w.info.Draining {
		w.drainReportedAt = c.now
		c.emit(Notice{Reason: ReasonWorkerDraining, Worker: e.Worker.ID, Detail: e.Worker.DrainRemaining.String()})
	}
	if !w.reported || w.lost != lost || w.session != e.Session || w.responsive != e.WorkerResponsive || w.info.Draining != e.Worker.Draining || w.info.Capacity != e.Worker.Capacity {
		c.needsScheduling = true
	}
	w.info = e.Worker
	w.reported, w.responsive = true, e.WorkerResponsive
	w.lost = w.lost && lost
	w.lastReportAt = c.now
	if e.WorkerResponsive && !e.WorkerLeft {
		w.lastGrantAt = c.now
		c.emit(GrantLease{Worker: w.info.ID, Incarnation: w.info.Incarnation(), ReportNumber: e.Number})
	}
	newSession := w.session != e.Session
	w.session = e.Session
	c.updateRunning(w, e.Running)
	c.processEnds(w, e.Ended)
	for _, a := range e.Absent {
		c.handleAbsent(w, a)
	}
	if e.WorkerLeft {
		w.responsive = false
		c.endLostMembers(w, noIncarnation)
		return
	}
	c.reconcileMembers(w, e, newSession)
}

// changeIncarnation says that a worker's earlier incarnations, and all they ran, are gone.
func (c *Core) changeIncarnation(w *worker, now string) {
	if w.reported {
		c.emit(Notice{Reason: ReasonIncarnationChanged, Worker: w.info.ID, Detail: now})
	}
	w.pendingAcks, w.lastEndSeen, w.lastEndAcked = nil, 0, 0
	w.recentFailures, w.quarantinedUntil = nil, 0
	c.endLostMembers(w, now)
}

// endLostMembers ends all members on a worker that were not placed on the given
// incarnation: they cannot run any more.
func (c *Core) endLostMembers(w *worker, except string) {
	for _, m := range slices.Clone(w.members) {
		if m.incarnation == except {
			continue
		}
		c.endMember(m, graph.EndWorkerLost, "")
		c.requestSave(m.unit.job, nil)
	}
}

// noIncarnation is the incarnation of no worker.
const noIncarnation = ""

func (c *Core) updateRunning(w *worker, running []graph.RunState) {
	before := w.unknownUse
	w.unknownUse = graph.Resources{}
	defer func() { c.needsScheduling = c.needsScheduling || before != w.unknownUse }()
	for _, r := range running {
		m := w.findMember(r.Task, r.Run)
		if m == nil {
			c.stopUnknownRun(w, r)
			continue
		}
		c.updateProgress(m, r)
	}
}

// stopUnknownRun stops a run that the owner has not placed there.
func (c *Core) stopUnknownRun(w *worker, r graph.RunState) {
	if j := c.jobs[r.Task.Job]; j != nil {
		if u := j.unitOf(r.Task.Step, r.Task.Index); u != nil {
			w.unknownUse = w.unknownUse.Add(u.step.Needs)
		}
	}
	c.emit(Notice{Reason: ReasonUnknownRun, Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.info.ID})
	c.emit(StopRun{Worker: w.info.ID, Incarnation: w.info.Incarnation(), Task: r.Task, Run: r.Run})
}

func (c *Core) updateProgress(m *member, r graph.RunState) {
	if !m.running {
		m.running = true
		m.runningSince, m.lastProgressAt = c.now, c.now
		m.percent = r.Percent
	}
	m.startSent = true
	m.unit.job.started = true
	if r.Percent != m.percent {
		m.percent, m.lastProgressAt = r.Percent, c.now
	}
	if r.Checkpoint != "" && r.Checkpoint != m.checkpoint && m.unit.step.Checkpointable {
		m.checkpoint, m.checkpointAt = r.Checkpoint, c.now
		m.unit.checkpoint = r.Checkpoint
	}
}

func (w *worker) findMember(id graph.TaskID, run uint64) *member {
	for _, m := range w.members {
		if m.task == id && m.run == run {
			return m
		}
	}
	return nil
}

// processEnds takes ends in order. Each is acknowledged once its effect is saved.
func (c *Core) processEnds(w *worker, ended []graph.RunEnd) {
	again := false
	for _, e := range ended {
		if e.Number <= w.lastEndSeen {
			again = again || e.Number <= w.lastEndAcked
			continue
		}
		w.lastEndSeen = e.Number
		ack := &pendingAck{number: e.Number}
		w.pendingAcks = append(w.pendingAcks, ack)
		c.processEnd(w, e, ack)
	}
	c.acknowledgeEnds(w, again)
}

func (c *Core) processEnd(w *worker, e graph.RunEnd, ack *pendingAck) {
	m := w.findMember(e.Task, e.Run)
	if m == nil {
		c.processLateEnd(e, ack)
		return
	}
	c.endMember(m, e.Kind, e.Checkpoint)
	incarnation := w.info.Incarnation()
	c.requestSave(m.unit.job, func() {
		ack.saved = true
		if w.info.Incarnation() == incarnation {
			c.acknowledgeEnds(w, false)
		}
	})
}

// processLateEnd takes the end of a run that is not on the books: nothing depends on
// it unless the job's state is still on its way into the table.
func (c *Core) processLateEnd(e graph.RunEnd, ack *pendingAck) {
	c.emit(Notice{Reason: ReasonRunEnded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Detail: "late " + string(e.Kind)})
	ack.saved = true
}

// acknowledgeEnds lets the worker forget the ends whose effects are all saved.
func (c *Core) acknowledgeEnds(w *worker, again bool) {
	before := w.lastEndAcked
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].saved {
		w.lastEndAcked = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
	if (w.lastEndAcked > before || again) && w.connected() {
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
	if !m.stopping {
		u.avoidWorker(w.info.ID, c.now+refusalBackoff)
	}
	c.endMember(m, graph.EndNeverStarted, "")
	c.requestSave(u.job, nil)
}

// reconcileMembers settles the members that the report does not account for. What was
// ordered over an earlier connection, or in an earlier term, may have been lost:
// it is stopped, which also keeps it from beginning late.
func (c *Core) reconcileMembers(w *worker, e WorkerReport, newSession bool) {
	listed := map[graph.TaskID]uint64{}
	for _, r := range e.Running {
		listed[r.Task] = r.Run
	}
	for _, m := range slices.Clone(w.members) {
		if m.ended || m.incarnation != w.info.Incarnation() {
			continue
		}
		running := listed[m.task] == m.run
		switch {
		case m.stopping && m.orderSession != w.session:
			c.stopMember(m)
		case newSession && !running && (m.startSent || m.recovered):
			c.stopMember(m)
		case !newSession && m.running && !running:
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

// watchLease notices that a worker is not heard of.
func (c *Core) watchLease(w *worker) {
	if w.lost || c.now-w.lastGrantAt <= c.cfg.LeaseBound {
		return
	}
	w.lost = true
	c.emit(Notice{Reason: ReasonWorkerLost, Worker: w.info.ID, Detail: (c.now - w.lastGrantAt).String()})
	c.endLostMembers(w, noIncarnation)
}

// recordFailure counts a failed run against a worker.
func (c *Core) recordFailure(w *worker, u *unit) {
	w.recentFailures = slices.DeleteFunc(w.recentFailures, func(f failure) bool { return c.now-f.at > failureWindow || f.unit == u })
	w.recentFailures = append(w.recentFailures, failure{c.now, u})
	u.avoidWorker(w.info.ID, c.now+failureWindow)
	if len(w.recentFailures) < quarantineThreshold {
		return
	}
	w.quarantinedUntil = c.now + min(initialQuarantine<<min(w.quarantineCount, 8), maxQuarantine)
	w.quarantineCount++
	c.emit(Notice{Reason: ReasonWorkerQuarantined, Worker: w.info.ID, Detail: (w.quarantinedUntil - c.now).String()})
}

func (c *Core) recordSuccess(w *worker, _ *unit) {
	w.recentFailures = nil
	w.quarantinedUntil, w.quarantineCount = 0, 0
}

func (u *unit) avoidWorker(id string, until time.Duration) {
	if u.avoidUntil == nil {
		u.avoidUntil = map[string]time.Duration{}
	}
	u.avoidUntil[id] = until
}

func (w *worker) hasRecentFailure(now time.Duration) bool {
	for _, f := range w.recentFailures {
		if now-f.at <= failureWindow {
			return true
		}
	}
	return false
}
