package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/exec"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
)

const (
	// zoneOutBound bounds the time from a zone being taken out to the last start
	// of an execution there: the age of the configuration, the lifetime of the
	// permission and two ticks.
	zoneOutBound = configMaxAge + route.PermitTTL + 2*simTick
	// leavingBound bounds the time from an agent's leave to the last start of an
	// execution there.
	leavingBound = 2 * time.Second
	maxTimeout   = 15 * time.Second
)

// submission is one call and its answer.
type submission struct {
	id         string
	key        string
	idempotent bool
	entry      *entrySim
	generation int
	answer     api.Outcome
}

type execution struct {
	id      string
	outcome api.Outcome // once it has ended
}

// oracle records what has been submitted, executed and answered, and fails the
// test when an invariant is violated.
type oracle struct {
	w          *world
	fail       func(format string, args ...any)
	submitted  map[string]*submission
	order      []*submission
	executions []execution // execution number n is at index n-1
	runCounts  map[string]int
}

// executionStarted counts an execution and returns its number. It fails if the
// zone is out, the agent leaving, or the request or its key may not run (again).
func (o *oracle) executionStarted(a *agentSim, id string) int {
	s := o.submitted[id]
	if since, out := o.w.zonesOut[a.zone]; out && o.w.now > since+zoneOutBound {
		o.fail("%v: %s started at %s, %v after zone %s was taken out", o.w.now, id, a.name, o.w.now-since, a.zone)
	}
	if a.leavingSince > 0 && o.w.now > a.leavingSince+leavingBound {
		o.fail("%v: %s started at %s, which is leaving since %v", o.w.now, id, a.name, a.leavingSince)
	}
	if s.answer == api.OutcomeNotRun {
		o.fail("%v: %s runs after it was answered not-run", o.w.now, id)
	}
	o.runCounts[id]++
	if !s.idempotent && o.runCounts[id] > 1 {
		o.fail("%v: non-idempotent request %s runs %d times", o.w.now, id, o.runCounts[id])
	}
	if s.key != "" && !s.idempotent {
		o.runCounts["key "+s.key]++
		if n := o.runCounts["key "+s.key]; n > 1 {
			o.fail("%v: non-idempotent key %s runs %d times", o.w.now, s.key, n)
		}
	}
	o.executions = append(o.executions, execution{id: id})
	return len(o.executions)
}

func (o *oracle) executionEnded(number int, outcome api.Outcome) {
	if number > 0 {
		o.executions[number-1].outcome = outcome
	}
}

func (o *oracle) requestAnswered(e *entrySim, answer route.Answer) {
	s := o.submitted[answer.ID]
	switch {
	case s.answer != "":
		o.fail("%v: %s is answered %s after %s", o.w.now, answer.ID, answer.Outcome, s.answer)
	case answer.Outcome == api.OutcomeNotRun && o.runCounts[answer.ID] > 0:
		o.fail("%v: %s is answered not-run and has run", o.w.now, answer.ID)
	case answer.Outcome == api.OutcomeDone || answer.Outcome == api.OutcomeFailed:
		o.checkBody(e, s, answer)
	case answer.FromResult:
		o.fail("%v: %s is answered %s with a body", o.w.now, answer.ID, answer.Outcome)
	}
	s.answer = answer.Outcome
}

// checkBody checks that an answer is the result of a complete execution of the
// request, or of another request with the same key.
func (o *oracle) checkBody(e *entrySim, s *submission, answer route.Answer) {
	number := e.recordedExecutions[answer.ID]
	if answer.FromResult {
		if e.currentResult == nil || e.currentResult.ref != (exec.Ref{ID: answer.ResultID, Attempt: answer.ResultAttempt}) {
			o.fail("%v: %s is answered with a result that is not at hand", o.w.now, answer.ID)
			return
		}
		number = e.currentResult.execution
	}
	if number == 0 {
		o.fail("%v: %s is answered %s without a body", o.w.now, answer.ID, answer.Outcome)
		return
	}
	done := o.executions[number-1]
	if done.outcome != answer.Outcome {
		o.fail("%v: %s is answered %s by an execution that ended %q", o.w.now, answer.ID, answer.Outcome, done.outcome)
	}
	sameKey := !s.idempotent && s.key != "" && o.submitted[done.id].key == s.key
	if done.id != s.id && !sameKey {
		o.fail("%v: %s is answered with the result of %s", o.w.now, answer.ID, done.id)
	}
}

// entryStopped checks that a planned stop has left no request unanswered.
func (o *oracle) entryStopped(e *entrySim) {
	for _, s := range o.order {
		if s.entry == e && s.generation == e.generation && s.answer == "" {
			o.fail("%v: %s has stopped without an answer to %s", o.w.now, e.name, s.id)
		}
	}
}

// unanswered returns the submissions without an answer whose entry process still
// exists.
func (o *oracle) unanswered() []*submission {
	var out []*submission
	for _, s := range o.order {
		if s.generation == s.entry.generation && s.answer == "" {
			out = append(out, s)
		}
	}
	return out
}

func (o *oracle) keyedSubmissions() []*submission {
	var out []*submission
	for _, s := range o.order {
		if s.key != "" {
			out = append(out, s)
		}
	}
	return out
}

func newWorld(t *rapid.T) *world {
	w := &world{
		rng:           rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:           time.Minute,
		links:         map[[2]string]*linkSim{},
		rows:          map[string]*rowSim{},
		configVersion: 1,
		zonesOut:      map[string]time.Duration{},
	}
	rates := rapid.SampledFrom([]float64{0, 0.01, 0.1})
	w.lossRate = rates.Draw(t, "loss")
	w.duplicateRate = rates.Draw(t, "double")
	w.delayRate = rates.Draw(t, "slow")
	w.oracle = &oracle{w: w, fail: t.Fatalf, submitted: map[string]*submission{}, runCounts: map[string]int{}}
	for i, zone := range []string{"z1", "z1", "z2"} {
		a := &agentSim{name: fmt.Sprintf("a%d", i+1), zone: zone}
		w.agents = append(w.agents, a)
		w.restartAgent(a)
	}
	for _, name := range []string{"e1", "e2"} {
		e := &entrySim{name: name}
		w.restartEntry(e)
		w.entries = append(w.entries, e)
	}
	w.advance(time.Second)
	return w
}

func (w *world) submit(e *entrySim, key string, idempotent bool, timeout time.Duration) {
	o := w.oracle
	s := &submission{id: fmt.Sprintf("r%d", len(o.order)+1), key: key, idempotent: idempotent, entry: e, generation: e.generation}
	o.submitted[s.id] = s
	o.order = append(o.order, s)
	e.receive(e.generation, func() {
		w.stepEntry(e, route.Submit{Request: route.Request{
			ID: s.id, Service: "svc", Profile: "p", Account: "acc", Weight: 1, Key: key,
			Idempotent: idempotent, Deadline: w.now - e.startedAt + timeout,
		}})
	})
}

// resubmitUnanswered repeats the unanswered keyed calls of a killed entry process
// at the other entry.
func (w *world) resubmitUnanswered(killed, other *entrySim, generation int) {
	for _, s := range w.oracle.order {
		if s.entry == killed && s.generation == generation && s.answer == "" && s.key != "" {
			w.submit(other, s.key, s.idempotent, maxTimeout)
		}
	}
}

// endFaults ends all faults and checks that all open requests are answered and
// that no state is left of them.
func (w *world) endFaults() {
	w.faultsOff, w.tableDown = true, false
	w.zonesOut = map[string]time.Duration{}
	w.configVersion++
	for _, l := range w.links {
		l.cut = false
	}
	for _, a := range w.agents {
		a.resume()
	}
	for _, e := range w.entries {
		e.configCut = false
		e.resume()
	}
	for end := w.now + maxTimeout + 5*time.Second; w.now < end && len(w.oracle.unanswered()) > 0; {
		w.advance(500 * time.Millisecond)
	}
	for _, s := range w.oracle.unanswered() {
		w.oracle.fail("%v: %s has no answer: %+v", w.now, s.id, s.entry.core.Dump())
	}
	w.checkIdle()
}

// checkIdle checks that entries and agents hold no state of the requests some
// time later.
func (w *world) checkIdle() {
	w.advance(maxTimeout + 5*time.Second)
	for _, e := range w.entries {
		if d := e.core.Dump().(route.Dump); !e.core.Idle() || d.Attempts > 0 || d.Services[0].Busy > 0 {
			w.oracle.fail("%v: %s is not idle: %+v", w.now, e.name, d)
		}
	}
	for _, a := range w.agents {
		if !a.core.Idle() || a.core.InFlight() > 0 {
			w.oracle.fail("%v: %s is not idle: %+v", w.now, a.name, a.core.Dump())
		}
	}
}

// TestRouteMachine runs two route cores and three exec cores under random faults.
// An oracle checks that non-idempotent requests run at most once, that answers
// agree with the executions, and that each request is answered once.
func TestRouteMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(faultActions(w))
		w.endFaults()
	})
}

// faultActions returns the actions of the rapid state machine. Each submits some
// requests, begins a fault that lasts for a random time, and then lets some time
// pass.
func faultActions(w *world) map[string]func(*rapid.T) {
	entry := rapid.SampledFrom(w.entries)
	agent := rapid.SampledFrom(w.agents)
	waits := rapid.SampledFrom([]time.Duration{0, 10, 100, 400, 1000, 2500})
	lengths := rapid.SampledFrom([]time.Duration{100, 700, 1300, 2500, 6000})
	afterFault := func(t *rapid.T, run func()) { w.after(lengths.Draw(t, "lasts")*time.Millisecond, run) }
	actions := map[string]func(*rapid.T){
		"nothing": func(*rapid.T) {},
		"repeat key": func(t *rapid.T) {
			if keyed := w.oracle.keyedSubmissions(); len(keyed) > 0 {
				s := rapid.SampledFrom(keyed[max(0, len(keyed)-5):]).Draw(t, "of")
				w.submit(entry.Draw(t, "entry"), s.key, s.idempotent, maxTimeout)
			}
		},
		"gone": func(t *rapid.T) {
			if open := w.oracle.unanswered(); len(open) > 0 {
				s := rapid.SampledFrom(open).Draw(t, "who")
				s.entry.receive(s.generation, func() { w.stepEntry(s.entry, route.CallerGone{ID: s.id}) })
			}
		},
		"kill entry": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "entry")
			e, gen := w.entries[i], w.entries[i].generation
			w.restartEntry(e)
			w.resubmitUnanswered(e, w.entries[1-i], gen)
		},
		"pause entry": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.paused = true
			afterFault(t, e.resume)
		},
		"drain entry": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.receive(e.generation, func() {
				e.draining = true
				w.stepEntry(e, route.Drain{})
			})
		},
		"cut configuration": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.configCut = true
			afterFault(t, func() { e.configCut = false })
		},
		"kill agent": func(t *rapid.T) { w.restartAgent(agent.Draw(t, "agent")) },
		"pause agent": func(t *rapid.T) {
			a := agent.Draw(t, "agent")
			a.paused = true
			afterFault(t, a.resume)
		},
		"agent leaves": func(t *rapid.T) {
			a := agent.Draw(t, "agent")
			a.receive(a.generation, func() {
				a.leavingSince = w.now
				w.stepAgent(a, exec.Leave{})
			})
		},
		"cut link": func(t *rapid.T) {
			l := w.link(entry.Draw(t, "entry"), agent.Draw(t, "agent"))
			l.cut = true
			afterFault(t, func() { l.cut = false })
		},
		"reset link": func(t *rapid.T) {
			w.resetLink(entry.Draw(t, "entry"), agent.Draw(t, "agent"))
		},
		"zone out": func(t *rapid.T) {
			w.setZoneOut(agent.Draw(t, "agent").zone, true)
			afterFault(t, func() { w.setZoneOut("z1", false); w.setZoneOut("z2", false) })
		},
		"table down": func(t *rapid.T) {
			w.tableDown = true
			afterFault(t, func() { w.tableDown = false })
		},
	}
	for name, fault := range actions {
		actions[name] = func(t *rapid.T) {
			w.submitBatch(t, entry.Draw(t, "entry"))
			w.advance(waits.Draw(t, "before") * time.Millisecond / 10)
			fault(t)
			w.advance(waits.Draw(t, "after") * time.Millisecond)
		}
	}
	return actions
}

func (w *world) submitBatch(t *rapid.T, e *entrySim) {
	timeouts := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 3 * time.Second, maxTimeout})
	for range rapid.IntRange(0, 4).Draw(t, "requests") {
		key := fmt.Sprintf("k%d", len(w.oracle.order))
		if rapid.IntRange(0, 3).Draw(t, "unkeyed") == 0 {
			key = ""
		}
		w.submit(e, key, rapid.IntRange(0, 2).Draw(t, "idempotent") == 0, timeouts.Draw(t, "timeout"))
	}
}

func (w *world) setZoneOut(zone string, out bool) {
	w.configVersion++
	if out {
		w.zonesOut[zone] = w.now
		return
	}
	delete(w.zonesOut, zone)
}
