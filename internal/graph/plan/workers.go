package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// suspectFor is how long a failed run counts against its worker.
	suspectFor = 12 * time.Second
	// quarantineAfter is the number of failed runs of different units, without
	// a run that was done in between, after which a worker gets no new work.
	quarantineAfter = 2
	// quarantineFor is the first quarantine; each further one lasts twice as long.
	quarantineFor = 4 * time.Second
	// maxQuarantine bounds a quarantine.
	maxQuarantine = 16 * time.Second
	// avoidRefused is how long a unit avoids a worker that has refused it.
	avoidRefused = 1500 * time.Millisecond
)

// worker is a worker as the owner knows it.
type worker struct {
	info    WorkerInfo
	heard   bool // in this term
	heardAt time.Duration
	// leaseFrom is when the last report was taken that got a grant.
	leaseFrom time.Duration
	answering bool
	session   string
	lost      bool // its lease is over

	members []*member // not ended
	used    graph.Resources
	strays  graph.Resources // of runs that were not placed there

	acks   []*pendingAck
	listed uint64 // highest number of an end that was taken
	acked  uint64

	failed      []failure
	quarantine  time.Duration // until
	quarantines int
	drainingAt  time.Duration
}

type failure struct {
	at   time.Duration
	unit *unit
}

// pendingAck is an end whose effect is on its way into the table.
type pendingAck struct {
	number uint64
	done   bool
}

func (w *worker) linked() bool { return w.heard && w.session != "" && !w.lost }

func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w != nil {
		return w
	}
	w = &worker{info: WorkerInfo{ID: id}, heardAt: c.now, leaseFrom: c.now + c.cfg.TakeoverOverlap}
	c.workers[id] = w
	i, _ := slices.BinarySearchFunc(c.ordered, id, func(o *worker, id string) int { return strings.Compare(o.info.ID, id) })
	c.ordered = slices.Insert(c.ordered, i, w)
	return w
}

func (c *Core) occupy(m *member) {
	m.worker.members = append(m.worker.members, m)
	m.worker.used = m.worker.used.Add(m.unit.spec.Needs)
}

func (c *Core) release(m *member) {
	w := m.worker
	w.members = slices.DeleteFunc(w.members, func(o *member) bool { return o == m })
	w.used = w.used.Sub(m.unit.spec.Needs)
}

// report takes over what a worker's agent has reported.
func (c *Core) report(e WorkerReport) {
	c.noteReport()
	w := c.worker(e.Worker.ID)
	if w.info.Incarnation() != e.Worker.Incarnation() {
		c.reborn(w, e.Worker.Incarnation())
	}
	lost := !e.WorkerResponsive && c.now-w.leaseFrom > c.cfg.LeaseBound
	if !w.heard || w.lost && !lost {
		c.emit(Notice{Reason: ReasonWorkerUp, Worker: e.Worker.ID, Detail: e.Worker.Rack})
	}
	if e.Worker.Draining && !w.info.Draining {
		w.drainingAt = c.now
		c.emit(Notice{Reason: ReasonWorkerDraining, Worker: e.Worker.ID, Detail: e.Worker.DrainRemaining.String()})
	}
	if !w.heard || w.lost != lost || w.session != e.Session || w.answering != e.WorkerResponsive || w.info.Draining != e.Worker.Draining || w.info.Capacity != e.Worker.Capacity {
		c.stirred = true
	}
	w.info = e.Worker
	w.heard, w.answering = true, e.WorkerResponsive
	w.lost = w.lost && lost
	w.heardAt = c.now
	if e.WorkerResponsive && !e.WorkerLeft {
		w.leaseFrom = c.now
		c.emit(GrantLease{Worker: w.info.ID, Incarnation: w.info.Incarnation(), ReportNumber: e.Number})
	}
	fresh := w.session != e.Session
	w.session = e.Session
	c.takeRunning(w, e.Running)
	c.takeEnds(w, e.Ended)
	for _, a := range e.Absent {
		c.absent(w, a)
	}
	if e.WorkerLeft {
		w.answering = false
		c.loseMembers(w, noIncarnation)
		return
	}
	c.reconcile(w, e, fresh)
}

// reborn says that a worker's earlier incarnations, and all they ran, are gone.
func (c *Core) reborn(w *worker, now string) {
	if w.heard {
		c.emit(Notice{Reason: ReasonIncarnationChanged, Worker: w.info.ID, Detail: now})
	}
	w.acks, w.listed, w.acked = nil, 0, 0
	w.failed, w.quarantine = nil, 0
	c.loseMembers(w, now)
}

// loseMembers ends all members on a worker that were not placed on the given
// incarnation: they cannot run any more.
func (c *Core) loseMembers(w *worker, except string) {
	for _, m := range slices.Clone(w.members) {
		if m.incarnation == except {
			continue
		}
		c.memberEnded(m, graph.EndWorkerLost, "")
		c.save(m.unit.job, nil)
	}
}

// noIncarnation is the incarnation of no worker.
const noIncarnation = ""

func (c *Core) takeRunning(w *worker, running []graph.RunState) {
	before := w.strays
	w.strays = graph.Resources{}
	defer func() { c.stirred = c.stirred || before != w.strays }()
	for _, r := range running {
		m := w.find(r.Task, r.Run)
		if m == nil {
			c.strayRun(w, r)
			continue
		}
		c.progressed(m, r)
	}
}

// strayRun stops a run that the owner has not placed there.
func (c *Core) strayRun(w *worker, r graph.RunState) {
	if j := c.jobs[r.Task.Job]; j != nil {
		if u := j.unitOf(r.Task.Step, r.Task.Index); u != nil {
			w.strays = w.strays.Add(u.spec.Needs)
		}
	}
	c.emit(Notice{Reason: ReasonUnknownRun, Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.info.ID})
	c.emit(StopRun{Worker: w.info.ID, Incarnation: w.info.Incarnation(), Task: r.Task, Run: r.Run})
}

func (c *Core) progressed(m *member, r graph.RunState) {
	if !m.running {
		m.running = true
		m.runningAt, m.movedAt = c.now, c.now
		m.percent = r.Percent
	}
	m.ordered = true
	m.unit.job.begun = true
	if r.Percent != m.percent {
		m.percent, m.movedAt = r.Percent, c.now
	}
	if r.Checkpoint != "" && r.Checkpoint != m.checkpoint && m.unit.spec.Checkpointable {
		m.checkpoint, m.savedAt = r.Checkpoint, c.now
		m.unit.checkpoint = r.Checkpoint
	}
}

func (w *worker) find(id graph.TaskID, run uint64) *member {
	for _, m := range w.members {
		if m.task == id && m.run == run {
			return m
		}
	}
	return nil
}

// takeEnds takes ends in order. Each is acknowledged once its effect is saved.
func (c *Core) takeEnds(w *worker, ended []graph.RunEnd) {
	again := false
	for _, e := range ended {
		if e.Number <= w.listed {
			again = again || e.Number <= w.acked
			continue
		}
		w.listed = e.Number
		ack := &pendingAck{number: e.Number}
		w.acks = append(w.acks, ack)
		c.takeEnd(w, e, ack)
	}
	c.acknowledge(w, again)
}

func (c *Core) takeEnd(w *worker, e graph.RunEnd, ack *pendingAck) {
	m := w.find(e.Task, e.Run)
	if m == nil {
		c.lateEnd(e, ack)
		return
	}
	c.memberEnded(m, e.Kind, e.Checkpoint)
	incarnation := w.info.Incarnation()
	c.save(m.unit.job, func() {
		ack.done = true
		if w.info.Incarnation() == incarnation {
			c.acknowledge(w, false)
		}
	})
}

// lateEnd takes the end of a run that is not on the books: nothing depends on
// it unless the job's state is still on its way into the table.
func (c *Core) lateEnd(e graph.RunEnd, ack *pendingAck) {
	c.emit(Notice{Reason: ReasonRunEnded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Detail: "late " + string(e.Kind)})
	ack.done = true
}

// acknowledge lets the worker forget the ends whose effects are all saved.
func (c *Core) acknowledge(w *worker, again bool) {
	before := w.acked
	for len(w.acks) > 0 && w.acks[0].done {
		w.acked = w.acks[0].number
		w.acks = w.acks[1:]
	}
	if (w.acked > before || again) && w.linked() {
		c.emit(AcknowledgeEnds{Worker: w.info.ID, Incarnation: w.info.Incarnation(), Number: w.acked})
	}
}

func (c *Core) absent(w *worker, a RunAbsent) {
	m := w.find(a.Task, a.Run)
	if m == nil {
		return
	}
	u := m.unit
	c.emit(Notice{Reason: ReasonRunEnded, Job: u.job.ID, Task: a.Task.String(), Run: a.Run, Worker: w.info.ID, Detail: "refused: " + a.Reason})
	if !m.stopping {
		u.avoidWorker(w.info.ID, c.now+avoidRefused)
	}
	c.memberEnded(m, graph.EndNeverStarted, "")
	c.save(u.job, nil)
}

// reconcile settles the members that the report does not account for. What was
// ordered over an earlier connection, or in an earlier term, may have been lost:
// it is stopped, which also keeps it from beginning late.
func (c *Core) reconcile(w *worker, e WorkerReport, fresh bool) {
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
		case m.stopping && m.session != w.session:
			c.stop(m)
		case fresh && !running && (m.ordered || m.recovered):
			c.stop(m)
		case !fresh && m.running && !running:
			c.stop(m)
		}
	}
}

func (c *Core) sessionClosed(e SessionClosed) {
	w := c.workers[e.Worker]
	if w != nil && w.session == e.Session {
		w.session = ""
	}
}

// watchWorker notices that a worker is not heard of.
func (c *Core) watchWorker(w *worker) {
	if w.lost || c.now-w.leaseFrom <= c.cfg.LeaseBound {
		return
	}
	w.lost = true
	c.emit(Notice{Reason: ReasonWorkerLost, Worker: w.info.ID, Detail: (c.now - w.leaseFrom).String()})
	c.loseMembers(w, noIncarnation)
}

// workerFailed counts a failed run against a worker.
func (c *Core) workerFailed(w *worker, u *unit) {
	w.failed = slices.DeleteFunc(w.failed, func(f failure) bool { return c.now-f.at > suspectFor || f.unit == u })
	w.failed = append(w.failed, failure{c.now, u})
	u.avoidWorker(w.info.ID, c.now+suspectFor)
	if len(w.failed) < quarantineAfter {
		return
	}
	w.quarantine = c.now + min(quarantineFor<<min(w.quarantines, 8), maxQuarantine)
	w.quarantines++
	c.emit(Notice{Reason: ReasonWorkerQuarantined, Worker: w.info.ID, Detail: (w.quarantine - c.now).String()})
}

func (c *Core) workerDid(w *worker, _ *unit) {
	w.failed = nil
	w.quarantine, w.quarantines = 0, 0
}

func (u *unit) avoidWorker(id string, until time.Duration) {
	if u.avoid == nil {
		u.avoid = map[string]time.Duration{}
	}
	u.avoid[id] = until
}

func (w *worker) suspect(now time.Duration) bool {
	for _, f := range w.failed {
		if now-f.at <= suspectFor {
			return true
		}
	}
	return false
}
