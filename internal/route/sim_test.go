package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/exec"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
)

const (
	simTick      = 50 * time.Millisecond
	beatInterval = 200 * time.Millisecond
	silence      = 1500 * time.Millisecond
	configMaxAge = time.Second
)

// world is a model of two entries, some agents, the table and the links.
type world struct {
	rnd     *rand.Rand
	now     time.Duration
	wire    wire
	seq     int
	loss    float64 // of each message
	double  float64
	slow    float64
	calm    bool // no more faults
	entries []*entrySim
	agents  []*agentSim
	links   map[[2]string]*linkSim
	table   map[string]*rowSim
	down    bool // table
	version uint64
	out     map[string]time.Duration // zones out, and since when
	oracle  *oracle
}

// proc is a process that can be paused; what reaches it then waits.
type proc struct {
	gen    int
	paused bool
	inbox  []func()
}

type entrySim struct {
	proc
	name      string
	core      *route.Core
	born      time.Duration
	draining  bool
	cutConfig bool
	readAt    time.Duration
	version   uint64
	out       map[string]bool
	result    *resultMsg
	stored    map[string]int // executions of recorded answers, by request
}

type agentSim struct {
	proc
	name, zone string
	core       *exec.Core
	born       time.Duration
	leaving    time.Duration // 0 while not
	version    uint64
	zoneOut    bool
	until      time.Duration
	bodies     map[exec.Ref]int
}

// linkSim is the link between one entry and one agent.
type linkSim struct {
	gen                 int
	cut                 bool
	entryUp, agentUp    bool
	entryHeard, agHeard time.Duration
}

type rowSim struct {
	holder  route.ClaimHolder
	outcome api.Outcome
	exec    int
}

type resultMsg struct {
	ref  exec.Ref
	body int // execution, or 0
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// wire holds what happens later, in order of time.
type wire []event

func (w wire) Len() int      { return len(w) }
func (w wire) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w wire) Less(i, j int) bool {
	return w[i].at < w[j].at || w[i].at == w[j].at && w[i].seq < w[j].seq
}
func (w *wire) Push(x any) { *w = append(*w, x.(event)) }
func (w *wire) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.wire, event{w.now + d, w.seq, run})
}

// send passes a message over a link, perhaps late, twice or never.
func (w *world) send(l *linkSim, to *proc, deliver func()) {
	copies := 1
	if !w.calm && w.rnd.Float64() < w.double {
		copies = 2
	}
	gen := to.gen
	for range copies {
		if l.cut || !w.calm && w.rnd.Float64() < w.loss {
			continue
		}
		delay := time.Millisecond * time.Duration(1+w.rnd.IntN(20))
		if !w.calm && w.rnd.Float64() < w.slow {
			delay = time.Millisecond * time.Duration(w.rnd.IntN(4000))
		}
		w.after(delay, func() { to.reach(gen, deliver) })
	}
}

func (p *proc) reach(gen int, deliver func()) {
	switch {
	case p.gen != gen:
	case p.paused:
		p.inbox = append(p.inbox, deliver)
	default:
		deliver()
	}
}

func (p *proc) resume() {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
}

func (w *world) link(e *entrySim, a *agentSim) *linkSim {
	k := [2]string{e.name, a.name}
	if w.links[k] == nil {
		w.links[k] = &linkSim{}
	}
	return w.links[k]
}

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		next := min(end, w.now+simTick-w.now%simTick)
		for len(w.wire) > 0 && w.wire[0].at <= next {
			ev := heap.Pop(&w.wire).(event)
			w.now = max(w.now, ev.at)
			ev.run()
		}
		w.now = next
		if next%simTick == 0 {
			w.tick()
		}
	}
}

func (w *world) tick() {
	for _, e := range w.entries {
		if !e.paused {
			w.tickEntry(e)
		}
	}
	for _, a := range w.agents {
		if !a.paused {
			w.tickAgent(a)
		}
	}
}

func (w *world) tickEntry(e *entrySim) {
	if !e.cutConfig && w.now%(5*simTick) == 0 {
		w.readConfig(e)
	}
	for _, a := range w.agents {
		l := w.link(e, a)
		if l.entryUp && w.now-l.entryHeard > silence {
			l.entryUp = false
			w.stepEntry(e, route.AgentDown{Agent: a.name})
		}
		if !l.entryUp && !l.cut && !a.paused {
			w.connect(e, a, l)
		}
	}
	w.stepEntry(e, route.Permit{Fresh: w.fresh(e), ZonesOut: e.out})
	w.stepEntry(e, route.Tick{})
	if e.draining && e.core.Idle() {
		w.oracle.stopped(e)
		w.restartEntry(e)
	}
}

func (w *world) fresh(e *entrySim) bool { return e.version > 0 && w.now-e.readAt <= configMaxAge }

func (w *world) readConfig(e *entrySim) {
	e.readAt = w.now
	e.version = w.version
	e.out = map[string]bool{}
	for zone := range w.out {
		e.out[zone] = true
	}
}

func (w *world) connect(e *entrySim, a *agentSim, l *linkSim) {
	l.gen++
	l.entryUp, l.agentUp = true, true
	l.entryHeard, l.agHeard = w.now, w.now
	w.stepEntry(e, route.AgentUp{Agent: a.name, Incarnation: a.incarnation(), Service: "svc", Zone: a.zone, Slots: 2})
	w.stepAgent(a, exec.LinkUp{Entry: e.name})
}

// reset breaks a connection; what was sent over it may still arrive.
func (w *world) reset(e *entrySim, a *agentSim) {
	l := w.link(e, a)
	if !l.entryUp || !l.agentUp {
		return
	}
	l.entryUp, l.agentUp = false, false
	w.stepAgentDown(e, a.name)
	w.stepAgentLinkDown(a, e.name)
}

func (a *agentSim) incarnation() string { return fmt.Sprintf("%s.%d", a.name, a.gen) }

func (w *world) clock(a *agentSim) time.Duration { return w.now - a.born }

func (w *world) tickAgent(a *agentSim) {
	for _, e := range w.entries {
		l := w.link(e, a)
		if l.agentUp && w.now-l.agHeard > silence {
			l.agentUp, l.entryUp = false, false
			w.stepAgent(a, exec.LinkDown{Entry: e.name})
			w.stepAgentDown(e, a.name)
		}
		if l.agentUp && w.now%beatInterval == 0 {
			w.beat(e, a, l)
		}
	}
	w.stepAgent(a, exec.Permission{Allowed: w.allowed(a)})
	w.stepAgent(a, exec.Tick{})
	if a.leaving > 0 && a.core.Idle() {
		w.restartAgent(a)
	}
}

func (w *world) allowed(a *agentSim) bool {
	return a.version > 0 && !a.zoneOut && w.clock(a) <= a.until
}

// beat sends an agent's heartbeat; the entry answers with its own.
func (w *world) beat(e *entrySim, a *agentSim, l *linkSim) {
	gen, inc := l.gen, a.gen
	clock := w.clock(a)
	status := route.AgentStatus{
		Agent: a.name, ClockMS: clock.Milliseconds(), InUse: a.core.InFlight(), Leaving: a.leaving > 0, Healthy: true,
	}
	w.send(l, &e.proc, func() {
		if l.gen != gen || !l.entryUp {
			return
		}
		l.entryHeard = w.now
		w.stepEntry(e, status)
		version, out, permit := e.version, e.out[a.zone], w.fresh(e)
		w.send(l, &a.proc, func() {
			if l.gen != gen || a.gen != inc {
				return
			}
			l.agHeard = w.now
			if version > a.version {
				a.version, a.zoneOut = version, out
			}
			if permit {
				a.until = max(a.until, clock+route.PermitTTL)
			}
		})
	})
}

func (w *world) stepEntry(e *entrySim, ev route.Event) {
	for _, action := range e.core.Step(w.now-e.born, ev) {
		w.applyEntry(e, action)
	}
}

func (w *world) applyEntry(e *entrySim, action route.Action) {
	switch x := action.(type) {
	case route.Execute:
		corrupt := !w.calm && w.rnd.Float64() < 0.01
		w.toAgent(e, x.Agent, exec.Execute{
			Entry: e.name, Ref: exec.Ref{ID: x.ID, Attempt: x.Attempt}, Incarnation: x.Incarnation,
			Stamp: time.Duration(x.StampMS) * time.Millisecond, Permit: x.PermitTTL, Timeout: x.Timeout,
			Idempotent: x.Idempotent, Corrupt: corrupt,
		})
	case route.Void:
		w.toAgent(e, x.Agent, exec.Void{
			Entry: e.name, Ref: exec.Ref{ID: x.ID, Attempt: x.Attempt}, Incarnation: x.Incarnation,
			Stamp: time.Duration(x.StampMS) * time.Millisecond,
		})
	case route.Ack:
		w.toAgent(e, x.Agent, exec.Ack{Entry: e.name, Ref: exec.Ref{ID: x.ID, Attempt: x.Attempt}})
	case route.Claim:
		w.claim(e, x)
	case route.Record:
		w.record(e, x)
	case route.Answer:
		w.oracle.answered(e, x)
	}
}

func (w *world) toAgent(e *entrySim, name string, ev exec.Event) {
	for _, a := range w.agents {
		if a.name == name {
			w.send(w.link(e, a), &a.proc, func() { w.stepAgent(a, ev) })
		}
	}
}

// claim is a conditional write; its answer may be lost, also after the write.
func (w *world) claim(e *entrySim, x route.Claim) {
	gen := e.gen
	write := func() (route.ClaimReply, bool) {
		if w.down {
			return route.ClaimReply{ID: x.ID, Failed: true}, false
		}
		row := w.table[x.Key]
		if row == nil && x.Replaces == nil || row != nil && x.Replaces != nil && row.holder == *x.Replaces && row.outcome == "" {
			w.table[x.Key] = &rowSim{holder: x.Holder}
			return route.ClaimReply{ID: x.ID, Won: true, Holder: x.Holder}, true
		}
		if row == nil {
			return route.ClaimReply{ID: x.ID, Failed: true}, false
		}
		if row.outcome != "" {
			e.stored[x.ID] = row.exec
		}
		return route.ClaimReply{ID: x.ID, Won: row.holder == x.Holder && row.outcome == "", Holder: row.holder, Final: row.outcome}, true
	}
	lost := !w.calm && w.rnd.Float64() < 0.05
	late := time.Duration(w.rnd.IntN(20)) * time.Millisecond
	if !w.calm && w.rnd.Float64() < 0.1 {
		late = time.Duration(w.rnd.IntN(2500)) * time.Millisecond
	}
	w.after(late, func() {
		reply, _ := write()
		if lost {
			reply = route.ClaimReply{ID: x.ID, Failed: true}
		}
		w.after(time.Millisecond, func() { e.reach(gen, func() { w.stepEntry(e, reply) }) })
	})
}

func (w *world) record(e *entrySim, x route.Record) {
	body := 0
	if e.result != nil {
		body = e.result.body
	}
	gen := e.gen
	w.after(time.Duration(w.rnd.IntN(50))*time.Millisecond, func() {
		row := w.table[x.Key]
		if !w.down && e.gen == gen && row != nil && row.holder == x.Holder && row.outcome == "" {
			row.outcome, row.exec = x.Outcome, body
		}
	})
}

func (w *world) stepAgent(a *agentSim, ev exec.Event) {
	for _, action := range a.core.Step(w.clock(a), ev) {
		switch x := action.(type) {
		case exec.CallEndpoint:
			w.call(a, x)
		case exec.DropBodies:
			delete(a.bodies, x.Ref)
		case exec.SendResult:
			w.reply(a, x)
		}
	}
}

// call runs the endpoint; a call that does not reach it has not run.
func (w *world) call(a *agentSim, x exec.CallEndpoint) {
	outcome := api.OutcomeDone
	switch p := w.rnd.Float64(); {
	case w.calm || p < 0.85:
	case p < 0.9:
		outcome = api.OutcomeFailed
	case p < 0.95:
		outcome = api.OutcomeUnknown
	default:
		outcome = api.OutcomeNotRun
	}
	run := 0
	if outcome != api.OutcomeNotRun {
		run = w.oracle.called(a, x.Ref.ID)
	}
	gen := a.gen
	took := time.Duration(20+w.rnd.IntN(300)) * time.Millisecond
	if w.rnd.IntN(10) == 0 {
		took *= 10
	}
	w.after(took, func() {
		a.reach(gen, func() {
			w.oracle.ended(run, outcome)
			a.bodies[x.Ref] = run
			w.stepAgent(a, exec.CallEnded{Ref: x.Ref, Outcome: outcome, Size: 100})
		})
	})
}

func (w *world) reply(a *agentSim, x exec.SendResult) {
	body := 0
	if x.WithReply {
		body = a.bodies[x.Ref]
	}
	for _, e := range w.entries {
		if e.name != x.Entry {
			continue
		}
		w.send(w.link(e, a), &e.proc, func() {
			e.result = &resultMsg{x.Ref, body}
			w.stepEntry(e, route.Result{Agent: a.name, ID: x.Ref.ID, Attempt: x.Ref.Attempt, Outcome: x.Outcome})
			e.result = nil
		})
	}
}

// restartEntry replaces an entry by a new process of another name.
func (w *world) restartEntry(e *entrySim) {
	gen := e.gen + 1
	base := e.name[:2]
	for _, a := range w.agents {
		if w.link(e, a).agentUp {
			w.stepAgentLinkDown(a, e.name)
		}
	}
	*e = entrySim{proc: proc{gen: gen}, name: fmt.Sprintf("%s.%d", base, gen), core: route.New(route.Config{}),
		born: w.now, stored: map[string]int{}}
}

func (w *world) stepAgentLinkDown(a *agentSim, entry string) {
	a.reach(a.gen, func() { w.stepAgent(a, exec.LinkDown{Entry: entry}) })
}

func (w *world) stepAgentDown(e *entrySim, agent string) {
	e.reach(e.gen, func() { w.stepEntry(e, route.AgentDown{Agent: agent}) })
}

// restartAgent replaces an agent by a new incarnation.
func (w *world) restartAgent(a *agentSim) {
	*a = agentSim{proc: proc{gen: a.gen + 1}, name: a.name, zone: a.zone, born: w.now, bodies: map[exec.Ref]int{}}
	a.core = exec.New(exec.Config{Incarnation: a.incarnation(), Slots: 2, MaxQueued: 1, ResultTTL: 20 * time.Second, MaxRecords: 6, MaxTotalBodyBytes: 300})
	for _, e := range w.entries {
		l := w.link(e, a)
		if l.entryUp {
			l.entryUp, l.agentUp = false, false
			w.stepAgentDown(e, a.name)
		}
	}
}
