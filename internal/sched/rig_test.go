package sched

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

type scheduler interface {
	Step(now time.Duration, ev Event) []Action
}

// rig drives a scheduler on a virtual clock with fake agents and a fake table.
type rig struct {
	sched      scheduler
	now        time.Duration
	timers     timerQueue
	agents     map[string]*agent
	agentNames []string
	rows       map[string]api.JobRecord
	config     *api.Config
	// term counts owners; messages and results of former terms are dropped.
	term         int
	termStart    time.Duration
	latency      time.Duration
	storeLatency time.Duration
	tickEvery    time.Duration
	storeDown    bool
	noLeases     bool
	// runTimes is the true run time of each job, memoryPerTask its true memory per
	// task in MB.
	runTimes      map[string]time.Duration
	memoryPerTask map[string]int
	failingJobs   map[string]bool // jobs whose tasks always fail
	// dropMessage decides whether a message to an agent is lost.
	dropMessage  func() bool
	onAction     func(Action)
	onGroupStart func(*agent, *fakeGroup)
	// heldBy and stopped are keyed by attempt: the workers that have held it, and
	// whether a stop was sent to any of them.
	heldBy  map[GroupRef]map[string]bool
	stopped map[GroupRef]bool
	onEvent func(time.Duration, Event, []Action)
	fail    func(format string, args ...any)
}

func newRig() *rig {
	return &rig{
		agents: map[string]*agent{}, rows: map[string]api.JobRecord{}, runTimes: map[string]time.Duration{},
		heldBy: map[GroupRef]map[string]bool{}, stopped: map[GroupRef]bool{},
		memoryPerTask: map[string]int{}, failingJobs: map[string]bool{}, latency: time.Millisecond, storeLatency: 5 * time.Millisecond, tickEvery: TickInterval,
		fail: func(f string, a ...any) { panic(fmt.Sprintf(f, a...)) },
	}
}

func (r *rig) after(d time.Duration, run func()) { r.timers.add(r.now+d, run) }

// coreTime returns the time since the start of the owner's term.
func (r *rig) coreTime() time.Duration { return r.now - r.termStart }

func (r *rig) step(ev Event) {
	acts := r.sched.Step(r.coreTime(), ev)
	if r.onEvent != nil {
		r.onEvent(r.coreTime(), ev, acts)
	}
	for _, a := range acts {
		if r.onAction != nil {
			r.onAction(a)
		}
		r.apply(a)
	}
}

// startTicks sends a tick every tickEvery from now on.
func (r *rig) startTicks() {
	term := r.term
	r.after(r.tickEvery, func() {
		if term == r.term {
			r.step(Tick{})
			r.startTicks()
		}
	})
}

// runUntil advances the virtual time.
func (r *rig) runUntil(at time.Duration) {
	for len(r.timers.items) > 0 && r.timers.items[0].at <= at {
		r.now = max(r.now, r.timers.items[0].at)
		r.timers.runOne()
	}
	r.now = at
}

func (q *timerQueue) runOne() { heap.Pop(q).(timer).run() }

func (r *rig) apply(a Action) {
	switch a := a.(type) {
	case Hold:
		r.send(a.Worker, func(g *agent) { g.hold(a) })
	case Start:
		r.send(a.Worker, func(g *agent) { g.start(a) })
	case Stop:
		r.stopped[GroupRef{a.JobID, a.Attempt}] = true
		r.send(a.Worker, func(g *agent) { g.stop(a) })
	case Renew:
		if !r.noLeases {
			r.send(a.Worker, func(g *agent) { g.renew(a) })
		}
	case Save:
		r.save(a.Record)
	}
}

func (r *rig) send(name string, handle func(*agent)) {
	g := r.agents[name]
	if !g.linked || g.dropsMessages || (r.dropMessage != nil && r.dropMessage()) {
		return
	}
	term, link := r.term, g.link
	r.after(r.latency, func() {
		if term == r.term && g.linked && link == g.link {
			handle(g)
		}
	})
}

func (r *rig) save(rec api.JobRecord) {
	term := r.term
	r.after(r.storeLatency, func() {
		if term != r.term {
			return
		}
		if !r.storeDown {
			if r.rows[rec.Job.ID].State == api.JobFinal {
				r.fail("final row of %s written again", rec.Job.ID)
			}
			r.rows[rec.Job.ID] = rec
		}
		failed := r.storeDown
		r.after(r.storeLatency, func() {
			if term == r.term {
				r.step(SaveResult{JobID: rec.Job.ID, Attempt: rec.Attempt, State: rec.State, Failed: failed})
			}
		})
	})
}

func (r *rig) submit(job api.Job) {
	rec := api.JobRecord{Job: job, State: api.JobQueued}
	r.rows[job.ID] = rec
	r.step(Submit{rec})
}

func (r *rig) configure(change func(*api.Config)) {
	next := r.config.Clone()
	next.Version++
	change(next)
	r.config = next
	r.step(ConfigUpdate{next})
}

func (r *rig) setZone(zone string, state api.ZoneState) {
	r.configure(func(c *api.Config) { c.Zones[zone] = api.AvailabilityZone{Name: zone, State: state} })
}

// takeOver replaces the owner by a new core that knows only the rows and the
// agents' reports.
func (r *rig) takeOver(next scheduler, startAfter time.Duration) {
	r.term++
	r.stopped = map[GroupRef]bool{}
	r.termStart = r.now
	r.sched = next
	r.step(ConfigUpdate{r.config})
	for _, name := range r.agentNames {
		if g := r.agents[name]; g.linked {
			g.announce()
		}
	}
	for _, id := range sortedKeys(r.rows) {
		if r.rows[id].State != api.JobFinal {
			r.step(Submit{r.rows[id]})
		}
	}
	r.step(OwnerStatus{Owner: true, Epoch: uint64(r.term), StartAfter: startAfter})
}

// agent is a fake worker agent that follows the group protocol.
type agent struct {
	r                *rig
	name, zone, rack string
	capacity         api.Resources
	groups           []*fakeGroup
	endedGroups      map[GroupRef]bool
	linked, faulty   bool
	dropsMessages    bool // receives no messages
	link             int
}

type fakeGroup struct {
	ref             GroupRef
	first           int
	tasks           int
	amount          api.Resources
	state           GroupState
	lease           time.Duration
	started         time.Duration
	resumedProgress time.Duration // progress of the checkpoint it resumed from
}

func (r *rig) addAgent(name, zone, rack string, capacity api.Resources) *agent {
	g := &agent{r: r, name: name, zone: zone, rack: rack, capacity: capacity, endedGroups: map[GroupRef]bool{}}
	r.agents[name] = g
	r.agentNames = append(r.agentNames, name)
	return g
}

func (g *agent) connect() {
	g.linked = true
	g.link++
	g.announce()
}

func (g *agent) announce() {
	g.r.step(WorkerUp{g.name, g.zone, g.rack, g.capacity})
	for _, f := range slices.Clone(g.groups) {
		g.r.step(g.reportOf(f))
	}
}

func (g *agent) disconnect() {
	g.linked = false
	g.r.step(WorkerDown{g.name})
}

// crash loses the agent's groups and its memory of ended ones.
func (g *agent) crash() {
	for _, f := range g.groups {
		f.state = GroupAbsent
	}
	g.groups = nil
	g.endedGroups = map[GroupRef]bool{}
	if g.linked {
		g.disconnect()
	}
}

func (f *fakeGroup) live() bool { return f.state == GroupHeld || f.state == GroupRunning }

func (g *agent) findGroup(ref GroupRef) *fakeGroup {
	for _, f := range g.groups {
		if f.ref == ref {
			return f
		}
	}
	return nil
}

func (g *agent) reportOf(f *fakeGroup) GroupReport {
	rep := GroupReport{Worker: g.name, JobID: f.ref.JobID, Attempt: f.ref.Attempt, State: f.state}
	if f.state == GroupRunning {
		rep.Progress = f.progress(g.r.now)
		rep.Usage.MemoryMB = g.r.memoryPerTask[f.ref.JobID] * f.tasks
	}
	if f.state == GroupDone {
		rep.Result = json.RawMessage(`"ok"`)
	}
	return rep
}

func (f *fakeGroup) progress(now time.Duration) time.Duration {
	return f.resumedProgress + now - f.started
}

func (g *agent) sendReport(rep GroupReport) {
	rep.Worker = g.name
	link, term := g.link, g.r.term
	g.r.after(g.r.latency, func() {
		if g.linked && link == g.link && term == g.r.term {
			g.r.step(rep)
		}
	})
}

func (g *agent) hold(a Hold) {
	ref := GroupRef{a.JobID, a.Attempt}
	free := g.capacity
	for _, f := range g.groups {
		if f.live() {
			free = free.Sub(f.amount)
		}
	}
	f := &fakeGroup{ref: ref, tasks: a.Tasks, amount: a.PerTask.Times(a.Tasks), state: GroupHeld}
	if !f.amount.Fits(free) {
		g.r.fail("capacity of %s used twice by %v: %s", g.name, ref, g.describe())
	}
	if g.endedGroups[ref] || g.findGroup(ref) != nil {
		g.sendReport(GroupReport{JobID: ref.JobID, Attempt: ref.Attempt, State: GroupRefused})
		return
	}
	g.groups = append(g.groups, f)
	g.renewLease(f, HoldLease)
	if g.r.heldBy[ref] == nil {
		g.r.heldBy[ref] = map[string]bool{}
	}
	g.r.heldBy[ref][g.name] = true
	g.sendReport(g.reportOf(f))
}

func (g *agent) describe() string {
	var out []string
	for _, f := range g.groups {
		out = append(out, fmt.Sprintf("%+v", *f))
	}
	return strings.Join(out, " ")
}

func (g *agent) renewLease(f *fakeGroup, d time.Duration) {
	if g.r.noLeases {
		return
	}
	f.lease = g.r.now + d
	g.r.after(d, func() {
		if f.live() && f.lease <= g.r.now {
			g.endGroup(f, GroupStopped, "")
		}
	})
}

func (g *agent) endGroup(f *fakeGroup, state GroupState, checkpoint string) {
	f.state = state
	if state != GroupDone {
		g.groups = slices.DeleteFunc(g.groups, func(o *fakeGroup) bool { return o == f })
		g.endedGroups[f.ref] = true
	}
	rep := g.reportOf(f)
	rep.Checkpoint = checkpoint
	g.sendReport(rep)
}

func (g *agent) start(a Start) {
	ref := GroupRef{a.JobID, a.Attempt}
	f := g.findGroup(ref)
	if f == nil {
		g.sendReport(GroupReport{JobID: ref.JobID, Attempt: ref.Attempt, State: GroupRefused})
		return
	}
	if f.state != GroupHeld {
		return
	}
	f.state, f.started, f.first = GroupRunning, g.r.now, a.FirstTask
	f.resumedProgress = checkpointProgress(a.Checkpoint)
	g.renewLease(f, GroupLease)
	if g.r.onGroupStart != nil {
		g.r.onGroupStart(g, f)
	}
	g.sendReport(g.reportOf(f))
	if g.faulty || g.r.failingJobs[ref.JobID] {
		g.r.after(time.Second, func() { g.failGroup(f) })
		return
	}
	g.r.after(max(0, g.r.runTimes[ref.JobID]-f.resumedProgress), func() {
		if f.state == GroupRunning {
			g.endGroup(f, GroupDone, "")
		}
	})
	if g.r.memoryPerTask[ref.JobID] > 0 {
		g.reportUsage(f)
	}
}

func (g *agent) reportUsage(f *fakeGroup) {
	g.r.after(5*time.Second, func() {
		if f.state == GroupRunning {
			g.sendReport(g.reportOf(f))
			g.reportUsage(f)
		}
	})
}

func (g *agent) failGroup(f *fakeGroup) {
	if f.state == GroupRunning {
		g.endGroup(f, GroupFailed, "")
	}
}

// checkpointProgress returns the progress recorded in fake checkpoint keys, the
// least of several.
func checkpointProgress(keys string) time.Duration {
	var least time.Duration
	for i, key := range strings.Fields(keys) {
		d, err := time.ParseDuration(key)
		if err == nil && (i == 0 || d < least) {
			least = d
		}
	}
	return least
}

func (g *agent) stop(a Stop) {
	ref := GroupRef{a.JobID, a.Attempt}
	f := g.findGroup(ref)
	switch {
	case f == nil:
		g.endedGroups[ref] = true
		g.sendReport(GroupReport{JobID: ref.JobID, Attempt: ref.Attempt, State: GroupAbsent})
	case f.state == GroupDone:
		g.groups = slices.DeleteFunc(g.groups, func(o *fakeGroup) bool { return o == f })
		g.endedGroups[ref] = true
	case f.state == GroupRunning && a.Grace > 0:
		g.r.after(min(a.Grace, time.Second), func() {
			if f.state == GroupRunning {
				g.endGroup(f, GroupCheckpointed, f.progress(g.r.now).String())
			}
		})
	default:
		g.endGroup(f, GroupStopped, "")
	}
}

func (g *agent) renew(a Renew) {
	for _, ref := range a.Groups {
		f := g.findGroup(ref)
		if f == nil {
			g.sendReport(GroupReport{JobID: ref.JobID, Attempt: ref.Attempt, State: GroupAbsent})
			continue
		}
		if f.live() {
			g.renewLease(f, GroupLease)
		}
	}
}
