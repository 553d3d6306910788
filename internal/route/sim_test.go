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
	simTick           = 50 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	silenceTimeout    = 1500 * time.Millisecond
	configMaxAge      = time.Second
)

// world is a simulation of two entries, some agents, the table and the links.
type world struct {
	rng           *rand.Rand
	now           time.Duration
	pending       eventHeap
	seq           int
	lossRate      float64 // probability that a copy of a message is lost
	duplicateRate float64 // probability that a message is sent twice
	delayRate     float64 // probability that a copy is delayed by up to 4 s
	faultsOff     bool
	entries       []*entrySim
	agents        []*agentSim
	links         map[[2]string]*linkSim
	rows          map[string]*rowSim
	tableDown     bool
	configVersion uint64
	zonesOut      map[string]time.Duration // zones that are out, and since when
	oracle        *oracle
}

// process is a process that can be paused. Messages that reach it during a pause
// are handled afterwards.
type process struct {
	generation int
	paused     bool
	inbox      []func()
}

type entrySim struct {
	process
	name               string
	core               *route.Core
	startedAt          time.Duration
	draining           bool
	configCut          bool
	configReadAt       time.Duration
	configVersion      uint64
	zonesOut           map[string]bool
	currentResult      *resultMessage
	recordedExecutions map[string]int // executions whose recorded outcomes were read, by request
}

type agentSim struct {
	process
	name, zone     string
	core           *exec.Core
	startedAt      time.Duration
	leavingSince   time.Duration // 0 while not leaving
	configVersion  uint64
	zoneOut        bool
	permittedUntil time.Duration
	bodies         map[exec.Ref]int
}

// linkSim is the link between one entry and one agent.
type linkSim struct {
	generation                 int
	cut                        bool
	entryUp, agentUp           bool
	entryHeardAt, agentHeardAt time.Duration
}

type rowSim struct {
	holder    route.ClaimHolder
	outcome   api.Outcome
	execution int
}

type resultMessage struct {
	ref       exec.Ref
	execution int // 0 without a body
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap holds future events, ordered by time and then by creation.
type eventHeap []event

func (w eventHeap) Len() int      { return len(w) }
func (w eventHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w eventHeap) Less(i, j int) bool {
	return w[i].at < w[j].at || w[i].at == w[j].at && w[i].seq < w[j].seq
}
func (w *eventHeap) Push(x any) { *w = append(*w, x.(event)) }
func (w *eventHeap) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.pending, event{w.now + d, w.seq, run})
}

// send sends a message over a link. It may arrive late, twice or never.
func (w *world) send(l *linkSim, to *process, deliver func()) {
	copies := 1
	if !w.faultsOff && w.rng.Float64() < w.duplicateRate {
		copies = 2
	}
	gen := to.generation
	for range copies {
		if l.cut || !w.faultsOff && w.rng.Float64() < w.lossRate {
			continue
		}
		delay := time.Millisecond * time.Duration(1+w.rng.IntN(20))
		if !w.faultsOff && w.rng.Float64() < w.delayRate {
			delay = time.Millisecond * time.Duration(w.rng.IntN(4000))
		}
		w.after(delay, func() { to.receive(gen, deliver) })
	}
}

func (p *process) receive(gen int, deliver func()) {
	switch {
	case p.generation != gen:
	case p.paused:
		p.inbox = append(p.inbox, deliver)
	default:
		deliver()
	}
}

func (p *process) resume() {
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

// advance runs the simulation for the given time.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		next := min(end, w.now+simTick-w.now%simTick)
		for len(w.pending) > 0 && w.pending[0].at <= next {
			ev := heap.Pop(&w.pending).(event)
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
	if !e.configCut && w.now%(5*simTick) == 0 {
		w.readConfig(e)
	}
	for _, a := range w.agents {
		l := w.link(e, a)
		if l.entryUp && w.now-l.entryHeardAt > silenceTimeout {
			l.entryUp = false
			w.stepEntry(e, route.AgentDown{Agent: a.name})
		}
		if !l.entryUp && !l.cut && !a.paused {
			w.connect(e, a, l)
		}
	}
	w.stepEntry(e, route.Permit{Fresh: w.configFresh(e), ZonesOut: e.zonesOut})
	w.stepEntry(e, route.Tick{})
	if e.draining && e.core.Idle() {
		w.oracle.entryStopped(e)
		w.restartEntry(e)
	}
}

func (w *world) configFresh(e *entrySim) bool {
	return e.configVersion > 0 && w.now-e.configReadAt <= configMaxAge
}

func (w *world) readConfig(e *entrySim) {
	e.configReadAt = w.now
	e.configVersion = w.configVersion
	e.zonesOut = map[string]bool{}
	for zone := range w.zonesOut {
		e.zonesOut[zone] = true
	}
}

func (w *world) connect(e *entrySim, a *agentSim, l *linkSim) {
	l.generation++
	l.entryUp, l.agentUp = true, true
	l.entryHeardAt, l.agentHeardAt = w.now, w.now
	w.stepEntry(e, route.AgentUp{Agent: a.name, Incarnation: a.incarnation(), Service: "svc", Zone: a.zone, Slots: 2})
	w.stepAgent(a, exec.LinkUp{Entry: e.name})
}

// resetLink breaks a connection. Messages already sent over it may still arrive.
func (w *world) resetLink(e *entrySim, a *agentSim) {
	l := w.link(e, a)
	if !l.entryUp || !l.agentUp {
		return
	}
	l.entryUp, l.agentUp = false, false
	w.linkDownAtEntry(e, a.name)
	w.linkDownAtAgent(a, e.name)
}

func (a *agentSim) incarnation() string { return fmt.Sprintf("%s.%d", a.name, a.generation) }

func (w *world) clock(a *agentSim) time.Duration { return w.now - a.startedAt }

func (w *world) tickAgent(a *agentSim) {
	for _, e := range w.entries {
		l := w.link(e, a)
		if l.agentUp && w.now-l.agentHeardAt > silenceTimeout {
			l.agentUp, l.entryUp = false, false
			w.stepAgent(a, exec.LinkDown{Entry: e.name})
			w.linkDownAtEntry(e, a.name)
		}
		if l.agentUp && w.now%heartbeatInterval == 0 {
			w.sendHeartbeat(e, a, l)
		}
	}
	w.stepAgent(a, exec.Permission{Allowed: w.mayStart(a)})
	w.stepAgent(a, exec.Tick{})
	if a.leavingSince > 0 && a.core.Idle() {
		w.restartAgent(a)
	}
}

func (w *world) mayStart(a *agentSim) bool {
	return a.configVersion > 0 && !a.zoneOut && w.clock(a) <= a.permittedUntil
}

// sendHeartbeat sends an agent's heartbeat; the entry answers with its own.
func (w *world) sendHeartbeat(e *entrySim, a *agentSim, l *linkSim) {
	linkGeneration, agentGeneration := l.generation, a.generation
	clock := w.clock(a)
	status := route.AgentStatus{
		Agent: a.name, ClockMS: clock.Milliseconds(), InUse: a.core.InFlight(), Leaving: a.leavingSince > 0, Healthy: true,
	}
	w.send(l, &e.process, func() {
		if l.generation != linkGeneration || !l.entryUp {
			return
		}
		l.entryHeardAt = w.now
		w.stepEntry(e, status)
		version, out, permit := e.configVersion, e.zonesOut[a.zone], w.configFresh(e)
		w.send(l, &a.process, func() {
			if l.generation != linkGeneration || a.generation != agentGeneration {
				return
			}
			l.agentHeardAt = w.now
			if version > a.configVersion {
				a.configVersion, a.zoneOut = version, out
			}
			if permit {
				a.permittedUntil = max(a.permittedUntil, clock+route.PermitTTL)
			}
		})
	})
}

func (w *world) stepEntry(e *entrySim, ev route.Event) {
	for _, action := range e.core.Step(w.now-e.startedAt, ev) {
		w.applyEntry(e, action)
	}
}

func (w *world) applyEntry(e *entrySim, action route.Action) {
	switch x := action.(type) {
	case route.Execute:
		corrupt := !w.faultsOff && w.rng.Float64() < 0.01
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
		w.oracle.requestAnswered(e, x)
	}
}

func (w *world) toAgent(e *entrySim, name string, ev exec.Event) {
	for _, a := range w.agents {
		if a.name == name {
			w.send(w.link(e, a), &a.process, func() { w.stepAgent(a, ev) })
		}
	}
}

// claim makes a conditional write to the table. Its reply may be lost even if the
// write has been applied.
func (w *world) claim(e *entrySim, x route.Claim) {
	gen := e.generation
	write := func() (route.ClaimReply, bool) {
		if w.tableDown {
			return route.ClaimReply{ID: x.ID, Failed: true}, false
		}
		row := w.rows[x.Key]
		if row == nil && x.Replaces == nil || row != nil && x.Replaces != nil && row.holder == *x.Replaces && row.outcome == "" {
			w.rows[x.Key] = &rowSim{holder: x.Holder}
			return route.ClaimReply{ID: x.ID, Won: true, Holder: x.Holder}, true
		}
		if row == nil {
			return route.ClaimReply{ID: x.ID, Failed: true}, false
		}
		if row.outcome != "" {
			e.recordedExecutions[x.ID] = row.execution
		}
		return route.ClaimReply{ID: x.ID, Won: row.holder == x.Holder && row.outcome == "", Holder: row.holder, Final: row.outcome}, true
	}
	replyLost := !w.faultsOff && w.rng.Float64() < 0.05
	delay := time.Duration(w.rng.IntN(20)) * time.Millisecond
	if !w.faultsOff && w.rng.Float64() < 0.1 {
		delay = time.Duration(w.rng.IntN(2500)) * time.Millisecond
	}
	w.after(delay, func() {
		reply, _ := write()
		if replyLost {
			reply = route.ClaimReply{ID: x.ID, Failed: true}
		}
		w.after(time.Millisecond, func() { e.receive(gen, func() { w.stepEntry(e, reply) }) })
	})
}

func (w *world) record(e *entrySim, x route.Record) {
	execution := 0
	if e.currentResult != nil {
		execution = e.currentResult.execution
	}
	gen := e.generation
	w.after(time.Duration(w.rng.IntN(50))*time.Millisecond, func() {
		row := w.rows[x.Key]
		if !w.tableDown && e.generation == gen && row != nil && row.holder == x.Holder && row.outcome == "" {
			row.outcome, row.execution = x.Outcome, execution
		}
	})
}

func (w *world) stepAgent(a *agentSim, ev exec.Event) {
	for _, action := range a.core.Step(w.clock(a), ev) {
		switch x := action.(type) {
		case exec.CallEndpoint:
			w.callEndpoint(a, x)
		case exec.DropBodies:
			delete(a.bodies, x.Ref)
		case exec.SendResult:
			w.sendResult(a, x)
		}
	}
}

// callEndpoint simulates a call of the endpoint. A call with OutcomeNotRun has
// not reached the endpoint and does not count as an execution.
func (w *world) callEndpoint(a *agentSim, x exec.CallEndpoint) {
	outcome := api.OutcomeDone
	switch p := w.rng.Float64(); {
	case w.faultsOff || p < 0.85:
	case p < 0.9:
		outcome = api.OutcomeFailed
	case p < 0.95:
		outcome = api.OutcomeUnknown
	default:
		outcome = api.OutcomeNotRun
	}
	number := 0
	if outcome != api.OutcomeNotRun {
		number = w.oracle.executionStarted(a, x.Ref.ID)
	}
	gen := a.generation
	took := time.Duration(20+w.rng.IntN(300)) * time.Millisecond
	if w.rng.IntN(10) == 0 {
		took *= 10
	}
	w.after(took, func() {
		a.receive(gen, func() {
			w.oracle.executionEnded(number, outcome)
			a.bodies[x.Ref] = number
			w.stepAgent(a, exec.CallEnded{Ref: x.Ref, Outcome: outcome, Size: 100})
		})
	})
}

func (w *world) sendResult(a *agentSim, x exec.SendResult) {
	execution := 0
	if x.WithReply {
		execution = a.bodies[x.Ref]
	}
	for _, e := range w.entries {
		if e.name != x.Entry {
			continue
		}
		w.send(w.link(e, a), &e.process, func() {
			e.currentResult = &resultMessage{x.Ref, execution}
			w.stepEntry(e, route.Result{Agent: a.name, ID: x.Ref.ID, Attempt: x.Ref.Attempt, Outcome: x.Outcome})
			e.currentResult = nil
		})
	}
}

// restartEntry replaces an entry by a new process with another name.
func (w *world) restartEntry(e *entrySim) {
	gen := e.generation + 1
	base := e.name[:2]
	for _, a := range w.agents {
		if w.link(e, a).agentUp {
			w.linkDownAtAgent(a, e.name)
		}
	}
	*e = entrySim{process: process{generation: gen}, name: fmt.Sprintf("%s.%d", base, gen), core: route.New(route.Config{}),
		startedAt: w.now, recordedExecutions: map[string]int{}}
}

func (w *world) linkDownAtAgent(a *agentSim, entry string) {
	a.receive(a.generation, func() { w.stepAgent(a, exec.LinkDown{Entry: entry}) })
}

func (w *world) linkDownAtEntry(e *entrySim, agent string) {
	e.receive(e.generation, func() { w.stepEntry(e, route.AgentDown{Agent: agent}) })
}

// restartAgent replaces an agent by a new incarnation.
func (w *world) restartAgent(a *agentSim) {
	*a = agentSim{process: process{generation: a.generation + 1}, name: a.name, zone: a.zone, startedAt: w.now, bodies: map[exec.Ref]int{}}
	a.core = exec.New(exec.Config{Incarnation: a.incarnation(), Slots: 2, MaxQueued: 1, ResultTTL: 20 * time.Second, MaxRecords: 6, MaxTotalBodyBytes: 300})
	for _, e := range w.entries {
		l := w.link(e, a)
		if l.entryUp {
			l.entryUp, l.agentUp = false, false
			w.linkDownAtEntry(e, a.name)
		}
	}
}
