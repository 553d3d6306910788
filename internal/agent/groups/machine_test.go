package groups

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"pgregory.net/rapid"
)

const (
	machineCapacity = 4
	machineTimeout  = time.Second
)

// call is an action on its way to the worker.
type call struct {
	action Action
	issued time.Duration
}

// modelTask is a task on the model's worker.
type modelTask struct {
	ref     Ref
	status  external.TaskStatus
	leaseBy time.Duration
}

// modelGroup is what the oracle knows of a ref.
type modelGroup struct {
	tasks    int
	held     bool
	started  bool
	leaseBy  time.Duration
	stopSent map[string]bool
	final    State
	never    bool // refused for good
}

// groupsMachine drives a core, a worker that is reached with delays, losses
// and repetitions, and an oracle of what either may do.
type groupsMachine struct {
	core    *Core
	now     time.Duration
	epoch   uint64
	allowed bool
	leaving bool
	groups  map[Ref]*modelGroup
	worker  map[string]*modelTask
	order   []string // IDs of worker in order of start
	calls   []call
	updates []external.TaskStatus // answers on their way to the core
}

func TestGroupsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &groupsMachine{
			core: New(Config{
				Capacity:          api.Resources{Accelerators: machineCapacity},
				WorkerCallTimeout: machineTimeout,
			}),
			groups: map[Ref]*modelGroup{},
			worker: map[string]*modelTask{},
		}
		m.step(t, Permission{true})
		t.Repeat(map[string]func(*rapid.T){
			"pass":       m.pass,
			"hold":       m.hold,
			"start":      m.start,
			"hold-start": m.holdAndStart,
			"stop":       m.stop,
			"renew":      m.renew,
			"caretaker":  func(t *rapid.T) { m.step(t, StoreDown{m.drawStamp(t), drawLease(t)}) },
			"permission": func(t *rapid.T) { m.step(t, Permission{rapid.Bool().Draw(t, "allowed")}) },
			"owner":      func(t *rapid.T) { m.step(t, EpochObserved{drawEpoch(t)}) },
			"leave":      m.leave,
			"tick":       func(t *rapid.T) { m.step(t, Tick{}) },
			"deliver":    m.deliver,
			"deliver-2":  m.deliver,
			"update":     m.update,
			"end-task":   m.endTask,
			"list":       m.list,
			"":           m.check,
		})
		m.drain(t)
	})
}

func drawRef(t *rapid.T) Ref {
	return Ref{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"), rapid.Uint32Range(1, 6).Draw(t, "attempt")}
}

func drawEpoch(t *rapid.T) uint64 {
	return rapid.SampledFrom([]uint64{1, 1, 1, 1, 2, 2, 3}).Draw(t, "epoch")
}

func drawLease(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(500, 10_000).Draw(t, "lease")) * time.Millisecond
}

// drawStamp is mostly recent, at times old or ahead of the clock.
func (m *groupsMachine) drawStamp(t *rapid.T) time.Duration {
	return m.now + time.Duration(rapid.SampledFrom([]int{0, 0, -100, -500, -3000, 700}).Draw(t, "stamp"))*time.Millisecond
}

func (m *groupsMachine) pass(t *rapid.T) {
	m.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 1000, 4000, 60_000}).Draw(t, "ms")) * time.Millisecond)
}

// advance lets time pass; the worker stops what has outlived its lease there.
func (m *groupsMachine) advance(d time.Duration) {
	m.now += d
	for _, id := range m.order {
		task := m.worker[id]
		if task.status.State == external.TaskRunning && m.now >= task.leaseBy {
			task.status.State = external.TaskStopped
		}
	}
}

func (m *groupsMachine) hold(t *rapid.T) {
	m.step(t, Hold{
		drawEpoch(t), drawRef(t), rapid.IntRange(0, 3).Draw(t, "tasks"), api.Resources{Accelerators: 1},
		m.drawStamp(t), 1200 * time.Millisecond, drawLease(t),
	})
}

func (m *groupsMachine) drawStart(t *rapid.T, epoch uint64, ref Ref) Start {
	return Start{
		Epoch: epoch, Ref: ref, Stamp: m.drawStamp(t), Permit: 1200 * time.Millisecond,
		Lease: drawLease(t), FirstTask: rapid.IntRange(-1, 2).Draw(t, "first"),
	}
}

func (m *groupsMachine) start(t *rapid.T) { m.step(t, m.drawStart(t, drawEpoch(t), drawRef(t))) }

// holdAndStart makes runs with started groups frequent.
func (m *groupsMachine) holdAndStart(t *rapid.T) {
	ref := drawRef(t)
	m.step(t, Hold{m.epoch, ref, 2, api.Resources{Accelerators: 1}, m.now, time.Second, 3 * time.Second})
	m.step(t, m.drawStart(t, m.epoch, ref))
}

func (m *groupsMachine) stop(t *rapid.T) {
	grace := time.Duration(rapid.SampledFrom([]int{0, 2}).Draw(t, "grace")) * time.Second
	m.step(t, Stop{drawEpoch(t), drawRef(t), grace, "asked"})
}

func (m *groupsMachine) renew(t *rapid.T) {
	refs := []Ref{drawRef(t), drawRef(t), drawRef(t)}
	m.step(t, Renew{drawEpoch(t), m.drawStamp(t), drawLease(t), refs})
}

func (m *groupsMachine) leave(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "leave") == 0 {
		m.step(t, Leave{})
	}
}

// deliver brings one call to the worker, in any order; its answer may be lost,
// and the call may be repeated.
func (m *groupsMachine) deliver(t *rapid.T) {
	if len(m.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
	c := m.calls[i]
	if rapid.IntRange(0, 9).Draw(t, "repeat") > 0 {
		m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
	}
	start, isStart := c.action.(StartTask)
	switch {
	case isStart && m.now > start.StartBy:
		if m.worker[start.Task.ID] == nil { // a repeated call is not the shell's
			m.step(t, TaskLost{ID: start.Task.ID, Detail: "too late", NotSent: true})
		}
	case m.now > c.issued+machineTimeout:
		if isStart {
			m.step(t, TaskLost{ID: start.Task.ID, Detail: "timeout"})
		}
	default:
		answers := m.reach(t, c.action)
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.updates = append(m.updates, answers...)
		}
	}
}

// reach applies a call on the worker and returns its answers.
func (m *groupsMachine) reach(t *rapid.T, a Action) []external.TaskStatus {
	switch a := a.(type) {
	case StartTask:
		if task := m.worker[a.Task.ID]; task != nil {
			return []external.TaskStatus{task.status}
		}
		name, ok := ParseTaskName(a.Task.ID)
		if !ok {
			t.Fatalf("task ID %q", a.Task.ID)
		}
		lease := time.Duration(a.Task.LeaseMS) * time.Millisecond
		task := &modelTask{name.Ref, external.TaskStatus{ID: a.Task.ID, State: external.TaskRunning}, m.now + lease}
		m.worker[a.Task.ID] = task
		m.order = append(m.order, a.Task.ID)
		return []external.TaskStatus{task.status}
	case RenewTasks:
		for _, id := range a.IDs {
			if task := m.worker[id]; task != nil && task.status.State == external.TaskRunning {
				task.leaseBy = m.now + a.Lease
			}
		}
	case StopTask:
		return m.endOnWorker(a.ID, external.TaskStopped)
	case CheckpointTask:
		return m.endOnWorker(a.ID, external.TaskCheckpointed)
	}
	return nil
}

func (m *groupsMachine) endOnWorker(id string, state external.TaskState) []external.TaskStatus {
	task := m.worker[id]
	if task == nil {
		return nil
	}
	if task.status.State == external.TaskRunning {
		task.status.State = state
	}
	return []external.TaskStatus{task.status}
}

// update brings one answer to the core, in any order.
func (m *groupsMachine) update(t *rapid.T) {
	if len(m.updates) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.updates)-1).Draw(t, "answer")
	s := m.updates[i]
	m.updates = append(m.updates[:i:i], m.updates[i+1:]...)
	m.step(t, TaskUpdate{s})
}

func (m *groupsMachine) endTask(t *rapid.T) {
	if len(m.order) > 0 {
		id := rapid.SampledFrom(m.order).Draw(t, "task")
		m.endOnWorker(id, rapid.SampledFrom([]external.TaskState{external.TaskDone, external.TaskDone, external.TaskFailed}).Draw(t, "end"))
	}
}

// list lets the agent poll the worker.
func (m *groupsMachine) list(t *rapid.T) {
	for _, id := range m.order {
		m.step(t, TaskUpdate{m.worker[id].status})
	}
}

func (m *groupsMachine) group(ref Ref) *modelGroup {
	g := m.groups[ref]
	if g == nil {
		g = &modelGroup{stopSent: map[string]bool{}}
		m.groups[ref] = g
	}
	return g
}

// step passes an event to the core and judges the actions. Leases are dealt
// with by a step of their own, so that the rest can be laid to the event.
func (m *groupsMachine) step(t *rapid.T, ev Event) {
	m.judge(t, Tick{}, m.core.Step(m.now, Tick{}))
	m.lapse()
	lower := m.note(ev)
	actions := m.core.Step(m.now, ev)
	if lower && len(actions) > 0 {
		t.Fatalf("a lower epoch was obeyed: %+v gave %+v", ev, actions)
	}
	m.judge(t, ev, actions)
}

// lapse ends the holds that have lapsed.
func (m *groupsMachine) lapse() {
	for _, g := range m.groups {
		if g.held && m.now >= g.leaseBy {
			g.held = false
		}
	}
}

// note keeps the oracle's own state of an event and tells whether its epoch is too low.
func (m *groupsMachine) note(ev Event) (lower bool) {
	epoch := m.epoch
	switch e := ev.(type) {
	case Hold:
		epoch = e.Epoch
	case Start:
		epoch = e.Epoch
	case Stop:
		epoch = e.Epoch
		if e.Epoch >= m.epoch {
			m.group(e.Ref).held = false
		}
	case Renew:
		epoch = e.Epoch
		for _, ref := range e.Refs {
			if e.Epoch >= m.epoch {
				m.extend(ref, e.Stamp, e.Lease)
			}
		}
	case StoreDown:
		for ref, g := range m.groups {
			if g.started {
				m.extend(ref, e.Stamp, e.Lease)
			}
		}
	case EpochObserved:
		m.epoch = max(m.epoch, e.Epoch)
	case Permission:
		m.allowed = e.Allowed
	case Leave:
		m.leaving = true
	}
	lower = epoch < m.epoch
	m.epoch = max(m.epoch, epoch)
	return lower
}

func (m *groupsMachine) extend(ref Ref, stamp, lease time.Duration) {
	g := m.group(ref)
	if (g.held || g.started) && m.now < g.leaseBy && stamp <= m.now {
		g.leaseBy = max(g.leaseBy, stamp+lease)
	}
}

func (m *groupsMachine) judge(t *rapid.T, ev Event, actions []Action) {
	started := map[Ref]int{}
	for _, a := range actions {
		switch a := a.(type) {
		case StartTask:
			started[m.judgeStart(t, ev, a)]++
			m.calls = append(m.calls, call{a, m.now})
		case StopTask:
			if name, ok := ParseTaskName(a.ID); ok {
				m.group(name.Ref).stopSent[a.ID] = true
			}
			m.calls = append(m.calls, call{a, m.now})
		case RenewTasks:
			m.judgeRenew(t, a)
			m.calls = append(m.calls, call{a, m.now})
		case CheckpointTask:
			m.calls = append(m.calls, call{a, m.now})
		case Report:
			m.judgeReport(t, ev, a)
		}
	}
	for ref, n := range started {
		if want := m.group(ref).tasks; n != want {
			t.Fatalf("%v started with %d of %d tasks", ref, n, want)
		}
	}
}

func (m *groupsMachine) judgeStart(t *rapid.T, ev Event, a StartTask) Ref {
	e, ok := ev.(Start)
	if !ok {
		t.Fatalf("%T started %s", ev, a.Task.ID)
	}
	name, _ := ParseTaskName(a.Task.ID)
	g := m.group(e.Ref)
	first := name.Index == name.First
	if name.Ref != e.Ref || g.never || (first && (!g.held || g.started)) {
		t.Fatalf("%s started without a hold of its own, or again", a.Task.ID)
	}
	if !m.allowed || m.leaving || e.Stamp > m.now || m.now >= e.Stamp+e.Permit {
		t.Fatalf("%s started without permission at %s: %+v", a.Task.ID, m.now, e)
	}
	g.held, g.started = false, true
	g.leaseBy = e.Stamp + e.Lease
	return e.Ref
}

func (m *groupsMachine) judgeRenew(t *rapid.T, a RenewTasks) {
	for _, id := range a.IDs {
		name, _ := ParseTaskName(id)
		if g := m.group(name.Ref); m.now+a.Lease > g.leaseBy || a.LeaseEnd != m.now+a.Lease {
			t.Fatalf("%s renewed until %s, its lease ends at %s", id, m.now+a.Lease, g.leaseBy)
		}
	}
}

func (m *groupsMachine) judgeReport(t *rapid.T, ev Event, r Report) {
	g := m.group(r.Ref)
	switch r.State {
	case Held:
		if e, ok := ev.(Hold); ok && e.Ref == r.Ref && !g.held {
			if g.started || g.final != "" {
				t.Fatalf("%v is held again after %+v", r.Ref, g)
			}
			g.held, g.tasks, g.leaseBy = true, r.Tasks, e.Stamp+e.Lease
		}
	case Refused:
		if g.started {
			t.Fatalf("%v is refused after its start", r.Ref)
		}
		if _, hold := ev.(Hold); !hold {
			g.never = true
		}
		g.held = false
	case Running:
	default:
		g.held = false
		m.judgeFinal(t, g, r)
	}
}

func (m *groupsMachine) judgeFinal(t *rapid.T, g *modelGroup, r Report) {
	if g.final != "" && g.final != r.State {
		t.Fatalf("%v was %s and is now %s", r.Ref, g.final, r.State)
	}
	g.final = r.State
	for _, id := range m.order {
		task := m.worker[id]
		if task.ref != r.Ref {
			continue
		}
		if task.status.State == external.TaskRunning {
			t.Fatalf("%v is reported %s while %s runs", r.Ref, r.State, id)
		}
		if r.State == Done && task.status.State != external.TaskDone {
			t.Fatalf("%v is reported done while %s is %s", r.Ref, id, task.status.State)
		}
	}
}

// check is the invariant after each action of the machine.
func (m *groupsMachine) check(t *rapid.T) {
	m.judge(t, Tick{}, m.core.Step(m.now, Tick{}))
	m.lapse()
	used := 0
	for _, g := range m.groups {
		if g.held {
			used += g.tasks
		}
	}
	for _, id := range m.order {
		task := m.worker[id]
		if task.status.State != external.TaskRunning {
			continue
		}
		used++
		if g := m.group(task.ref); m.now >= g.leaseBy && !g.stopSent[id] {
			t.Fatalf("%s runs at %s, its lease ended at %s, and was not stopped", id, m.now, g.leaseBy)
		}
	}
	if used > machineCapacity {
		t.Fatalf("%d of %d accelerators are held or in use", used, machineCapacity)
	}
	if m.core.Idle() && used > 0 {
		t.Fatalf("idle with %d accelerators held or in use", used)
	}
}

// drain lets time pass without any owner until nothing is left.
func (m *groupsMachine) drain(t *rapid.T) {
	for range 10 {
		m.advance(5 * time.Second)
		m.judge(t, Tick{}, m.core.Step(m.now, Tick{}))
	}
	if !m.core.Idle() {
		t.Fatalf("not idle long after all leases: %s", fmt.Sprintf("%+v", m.core.Dump()))
	}
}
