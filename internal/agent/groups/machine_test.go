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

// call is an action in transit to the worker.
type call struct {
	action Action
	issued time.Duration
}

// modelTask is a task on the simulated worker.
type modelTask struct {
	ref      Ref
	status   external.TaskStatus
	leaseEnd time.Duration
}

// modelGroup is the oracle's state of a group.
type modelGroup struct {
	tasks          int
	held           bool
	started        bool
	leaseEnd       time.Duration
	stopSent       map[string]bool
	final          State
	refusedForGood bool // refused, and not for a hold that may be repeated
}

// groupsMachine drives a core and a simulated worker, with calls and answers
// that are delayed, reordered, lost and repeated. An oracle checks every action.
type groupsMachine struct {
	core       *Core
	now        time.Duration
	epoch      uint64
	allowed    bool
	leaving    bool
	groups     map[Ref]*modelGroup
	worker     map[string]*modelTask
	startOrder []string // keys of worker in order of start
	calls      []call
	updates    []external.TaskStatus // answers in transit to the core
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
			"pass":       m.passTime,
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
			"deliver":    m.deliverCall,
			"deliver-2":  m.deliverCall,
			"update":     m.deliverUpdate,
			"end-task":   m.endTask,
			"list":       m.listTasks,
			"":           m.checkInvariants,
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

// drawStamp returns a time that is mostly recent, sometimes old or ahead of the
// clock.
func (m *groupsMachine) drawStamp(t *rapid.T) time.Duration {
	return m.now + time.Duration(rapid.SampledFrom([]int{0, 0, -100, -500, -3000, 700}).Draw(t, "stamp"))*time.Millisecond
}

func (m *groupsMachine) passTime(t *rapid.T) {
	m.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 1000, 4000, 60_000}).Draw(t, "ms")) * time.Millisecond)
}

// advance lets time pass. The worker stops tasks whose own lease has expired.
func (m *groupsMachine) advance(d time.Duration) {
	m.now += d
	for _, id := range m.startOrder {
		task := m.worker[id]
		if task.status.State == external.TaskRunning && m.now >= task.leaseEnd {
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

// holdAndStart makes started groups frequent.
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

// deliverCall delivers one call to the worker, in any order. The call may be
// repeated later, and its answer may be lost.
func (m *groupsMachine) deliverCall(t *rapid.T) {
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
		if m.worker[start.Task.ID] == nil { // a repeated call is not one that the agent makes
			m.step(t, TaskLost{ID: start.Task.ID, Detail: "too late", NotSent: true})
		}
	case m.now > c.issued+machineTimeout:
		if isStart {
			m.step(t, TaskLost{ID: start.Task.ID, Detail: "timeout"})
		}
	default:
		answers := m.applyOnWorker(t, c.action)
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.updates = append(m.updates, answers...)
		}
	}
}

// applyOnWorker applies a call to the worker and returns the answers.
func (m *groupsMachine) applyOnWorker(t *rapid.T, a Action) []external.TaskStatus {
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
		m.startOrder = append(m.startOrder, a.Task.ID)
		return []external.TaskStatus{task.status}
	case RenewTasks:
		for _, id := range a.IDs {
			if task := m.worker[id]; task != nil && task.status.State == external.TaskRunning {
				task.leaseEnd = m.now + a.Lease
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

// deliverUpdate delivers one answer to the core, in any order.
func (m *groupsMachine) deliverUpdate(t *rapid.T) {
	if len(m.updates) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.updates)-1).Draw(t, "answer")
	s := m.updates[i]
	m.updates = append(m.updates[:i:i], m.updates[i+1:]...)
	m.step(t, TaskUpdate{s})
}

func (m *groupsMachine) endTask(t *rapid.T) {
	if len(m.startOrder) > 0 {
		id := rapid.SampledFrom(m.startOrder).Draw(t, "task")
		m.endOnWorker(id, rapid.SampledFrom([]external.TaskState{external.TaskDone, external.TaskDone, external.TaskFailed}).Draw(t, "end"))
	}
}

// listTasks passes the status of all tasks on the worker to the core, as the
// agent's poll of the worker does.
func (m *groupsMachine) listTasks(t *rapid.T) {
	for _, id := range m.startOrder {
		m.step(t, TaskUpdate{m.worker[id].status})
	}
}

func (m *groupsMachine) groupOf(ref Ref) *modelGroup {
	g := m.groups[ref]
	if g == nil {
		g = &modelGroup{stopSent: map[string]bool{}}
		m.groups[ref] = g
	}
	return g
}

// step applies an event to the core and checks the actions. A tick before it
// ends expired leases, so that the remaining actions are due to the event.
func (m *groupsMachine) step(t *rapid.T, ev Event) {
	m.checkActions(t, Tick{}, m.core.Step(m.now, Tick{}))
	m.expireHolds()
	stale := m.recordEvent(ev)
	actions := m.core.Step(m.now, ev)
	if stale && len(actions) > 0 {
		t.Fatalf("a lower epoch was obeyed: %+v gave %+v", ev, actions)
	}
	m.checkActions(t, ev, actions)
}

// expireHolds ends the expired holds in the oracle.
func (m *groupsMachine) expireHolds() {
	for _, g := range m.groups {
		if g.held && m.now >= g.leaseEnd {
			g.held = false
		}
	}
}

// recordEvent updates the oracle's state and reports whether the event's epoch is
// lower than the highest one seen.
func (m *groupsMachine) recordEvent(ev Event) (stale bool) {
	epoch := m.epoch
	switch e := ev.(type) {
	case Hold:
		epoch = e.Epoch
	case Start:
		epoch = e.Epoch
	case Stop:
		epoch = e.Epoch
		if e.Epoch >= m.epoch {
			m.groupOf(e.Ref).held = false
		}
	case Renew:
		epoch = e.Epoch
		for _, ref := range e.Refs {
			if e.Epoch >= m.epoch {
				m.extendLease(ref, e.Stamp, e.Lease)
			}
		}
	case StoreDown:
		for ref, g := range m.groups {
			if g.started {
				m.extendLease(ref, e.Stamp, e.Lease)
			}
		}
	case EpochObserved:
		m.epoch = max(m.epoch, e.Epoch)
	case Permission:
		m.allowed = e.Allowed
	case Leave:
		m.leaving = true
	}
	stale = epoch < m.epoch
	m.epoch = max(m.epoch, epoch)
	return stale
}

func (m *groupsMachine) extendLease(ref Ref, stamp, lease time.Duration) {
	g := m.groupOf(ref)
	if (g.held || g.started) && m.now < g.leaseEnd && stamp <= m.now {
		g.leaseEnd = max(g.leaseEnd, stamp+lease)
	}
}

func (m *groupsMachine) checkActions(t *rapid.T, ev Event, actions []Action) {
	started := map[Ref]int{}
	for _, a := range actions {
		switch a := a.(type) {
		case StartTask:
			started[m.checkStart(t, ev, a)]++
			m.calls = append(m.calls, call{a, m.now})
		case StopTask:
			if name, ok := ParseTaskName(a.ID); ok {
				m.groupOf(name.Ref).stopSent[a.ID] = true
			}
			m.calls = append(m.calls, call{a, m.now})
		case RenewTasks:
			m.checkRenew(t, a)
			m.calls = append(m.calls, call{a, m.now})
		case CheckpointTask:
			m.calls = append(m.calls, call{a, m.now})
		case Report:
			m.checkReport(t, ev, a)
		}
	}
	for ref, n := range started {
		if want := m.groupOf(ref).tasks; n != want {
			t.Fatalf("%v started with %d of %d tasks", ref, n, want)
		}
	}
}

func (m *groupsMachine) checkStart(t *rapid.T, ev Event, a StartTask) Ref {
	e, ok := ev.(Start)
	if !ok {
		t.Fatalf("%T started %s", ev, a.Task.ID)
	}
	name, _ := ParseTaskName(a.Task.ID)
	g := m.groupOf(e.Ref)
	first := name.Index == name.First
	if name.Ref != e.Ref || g.refusedForGood || (first && (!g.held || g.started)) {
		t.Fatalf("%s started without a hold of its own, or again", a.Task.ID)
	}
	if !m.allowed || m.leaving || e.Stamp > m.now || m.now >= e.Stamp+e.Permit {
		t.Fatalf("%s started without permission at %s: %+v", a.Task.ID, m.now, e)
	}
	g.held, g.started = false, true
	g.leaseEnd = e.Stamp + e.Lease
	return e.Ref
}

func (m *groupsMachine) checkRenew(t *rapid.T, a RenewTasks) {
	for _, id := range a.IDs {
		name, _ := ParseTaskName(id)
		if g := m.groupOf(name.Ref); m.now+a.Lease > g.leaseEnd || a.LeaseEnd != m.now+a.Lease {
			t.Fatalf("%s renewed until %s, its lease ends at %s", id, m.now+a.Lease, g.leaseEnd)
		}
	}
}

func (m *groupsMachine) checkReport(t *rapid.T, ev Event, r Report) {
	g := m.groupOf(r.Ref)
	switch r.State {
	case Held:
		if e, ok := ev.(Hold); ok && e.Ref == r.Ref && !g.held {
			if g.started || g.final != "" {
				t.Fatalf("%v is held again after %+v", r.Ref, g)
			}
			g.held, g.tasks, g.leaseEnd = true, r.Tasks, e.Stamp+e.Lease
		}
	case Refused:
		if g.started {
			t.Fatalf("%v is refused after its start", r.Ref)
		}
		if _, hold := ev.(Hold); !hold {
			g.refusedForGood = true
		}
		g.held = false
	case Running:
	default:
		g.held = false
		m.checkFinalReport(t, g, r)
	}
}

func (m *groupsMachine) checkFinalReport(t *rapid.T, g *modelGroup, r Report) {
	if g.final != "" && g.final != r.State {
		t.Fatalf("%v was %s and is now %s", r.Ref, g.final, r.State)
	}
	g.final = r.State
	for _, id := range m.startOrder {
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

// checkInvariants runs after each action of the machine. Capacity is never
// exceeded, and no task outlives its group's lease without having been stopped.
func (m *groupsMachine) checkInvariants(t *rapid.T) {
	m.checkActions(t, Tick{}, m.core.Step(m.now, Tick{}))
	m.expireHolds()
	used := 0
	for _, g := range m.groups {
		if g.held {
			used += g.tasks
		}
	}
	for _, id := range m.startOrder {
		task := m.worker[id]
		if task.status.State != external.TaskRunning {
			continue
		}
		used++
		if g := m.groupOf(task.ref); m.now >= g.leaseEnd && !g.stopSent[id] {
			t.Fatalf("%s runs at %s, its lease ended at %s, and was not stopped", id, m.now, g.leaseEnd)
		}
	}
	if used > machineCapacity {
		t.Fatalf("%d of %d accelerators are held or in use", used, machineCapacity)
	}
	if m.core.Idle() && used > 0 {
		t.Fatalf("idle with %d accelerators held or in use", used)
	}
}

// drain lets time pass without an owner and checks that all groups end.
func (m *groupsMachine) drain(t *rapid.T) {
	for range 10 {
		m.advance(5 * time.Second)
		m.checkActions(t, Tick{}, m.core.Step(m.now, Tick{}))
	}
	if !m.core.Idle() {
		t.Fatalf("not idle long after all leases: %s", fmt.Sprintf("%+v", m.core.Dump()))
	}
}
