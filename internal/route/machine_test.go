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
	// zoneOutBound: age of the configuration, the permission's time and one tick.
	zoneOutBound = configMaxAge + route.PermitTTL + 2*simTick
	leavingBound = 2 * time.Second
	maxTimeout   = 15 * time.Second
)

// submission is one call of a caller.
type submission struct {
	id         string
	key        string
	idempotent bool
	entry      *entrySim
	gen        int
	answer     api.Outcome
}

type execution struct {
	id      string
	outcome api.Outcome // once it has ended
}

// oracle knows what has been submitted, run and answered.
type oracle struct {
	w          *world
	fail       func(format string, args ...any)
	submitted  map[string]*submission
	order      []*submission
	executions []execution // execution n is at n-1
	runs       map[string]int
}

// called counts an execution and returns its number.
func (o *oracle) called(a *agentSim, id string) int {
	s := o.submitted[id]
	if since, out := o.w.out[a.zone]; out && o.w.now > since+zoneOutBound {
		o.fail("%v: %s started at %s, %v after zone %s was taken out", o.w.now, id, a.name, o.w.now-since, a.zone)
	}
	if a.leaving > 0 && o.w.now > a.leaving+leavingBound {
		o.fail("%v: %s started at %s, which is leaving since %v", o.w.now, id, a.name, a.leaving)
	}
	if s.answer == api.OutcomeNotRun {
		o.fail("%v: %s runs after it was answered not-run", o.w.now, id)
	}
	o.runs[id]++
	if !s.idempotent && o.runs[id] > 1 {
		o.fail("%v: non-idempotent request %s runs %d times", o.w.now, id, o.runs[id])
	}
	if s.key != "" && !s.idempotent {
		o.runs["key "+s.key]++
		if n := o.runs["key "+s.key]; n > 1 {
			o.fail("%v: non-idempotent key %s runs %d times", o.w.now, s.key, n)
		}
	}
	o.executions = append(o.executions, execution{id: id})
	return len(o.executions)
}

func (o *oracle) ended(run int, outcome api.Outcome) {
	if run > 0 {
		o.executions[run-1].outcome = outcome
	}
}

func (o *oracle) answered(e *entrySim, x route.Answer) {
	s := o.submitted[x.ID]
	switch {
	case s.answer != "":
		o.fail("%v: %s is answered %s after %s", o.w.now, x.ID, x.Outcome, s.answer)
	case x.Outcome == api.OutcomeNotRun && o.runs[x.ID] > 0:
		o.fail("%v: %s is answered not-run and has run", o.w.now, x.ID)
	case x.Outcome == api.OutcomeDone || x.Outcome == api.OutcomeFailed:
		o.checkBody(e, s, x)
	case x.FromResult:
		o.fail("%v: %s is answered %s with a body", o.w.now, x.ID, x.Outcome)
	}
	s.answer = x.Outcome
}

// checkBody checks that an answer is that of a complete execution of the
// request, or of its key.
func (o *oracle) checkBody(e *entrySim, s *submission, x route.Answer) {
	run := e.stored[x.ID]
	if x.FromResult {
		if e.result == nil || e.result.ref != (exec.Ref{ID: x.ResultID, Attempt: x.ResultAttempt}) {
			o.fail("%v: %s is answered with a result that is not at hand", o.w.now, x.ID)
			return
		}
		run = e.result.body
	}
	if run == 0 {
		o.fail("%v: %s is answered %s without a body", o.w.now, x.ID, x.Outcome)
		return
	}
	done := o.executions[run-1]
	if done.outcome != x.Outcome {
		o.fail("%v: %s is answered %s by an execution that ended %q", o.w.now, x.ID, x.Outcome, done.outcome)
	}
	sameKey := !s.idempotent && s.key != "" && o.submitted[done.id].key == s.key
	if done.id != s.id && !sameKey {
		o.fail("%v: %s is answered with the result of %s", o.w.now, x.ID, done.id)
	}
}

// stopped checks that a planned stop has cut off no request.
func (o *oracle) stopped(e *entrySim) {
	for _, s := range o.order {
		if s.entry == e && s.gen == e.gen && s.answer == "" {
			o.fail("%v: %s has stopped without an answer to %s", o.w.now, e.name, s.id)
		}
	}
}

// open returns the submissions that a live process still has to answer.
func (o *oracle) open() []*submission {
	var out []*submission
	for _, s := range o.order {
		if s.gen == s.entry.gen && s.answer == "" {
			out = append(out, s)
		}
	}
	return out
}

func (o *oracle) keyed() []*submission {
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
		rnd:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:     time.Minute,
		links:   map[[2]string]*linkSim{},
		table:   map[string]*rowSim{},
		version: 1,
		out:     map[string]time.Duration{},
	}
	rates := rapid.SampledFrom([]float64{0, 0.01, 0.1})
	w.loss = rates.Draw(t, "loss")
	w.double = rates.Draw(t, "double")
	w.slow = rates.Draw(t, "slow")
	w.oracle = &oracle{w: w, fail: t.Fatalf, submitted: map[string]*submission{}, runs: map[string]int{}}
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
	w.pass(time.Second)
	return w
}

func (w *world) submit(e *entrySim, key string, idempotent bool, timeout time.Duration) {
	o := w.oracle
	s := &submission{id: fmt.Sprintf("r%d", len(o.order)+1), key: key, idempotent: idempotent, entry: e, gen: e.gen}
	o.submitted[s.id] = s
	o.order = append(o.order, s)
	e.reach(e.gen, func() {
		w.stepEntry(e, route.Submit{Request: route.Request{
			ID: s.id, Service: "svc", Profile: "p", Account: "acc", Weight: 1, Key: key,
			Idempotent: idempotent, Deadline: w.now - e.born + timeout,
		}})
	})
}

// comeBack repeats the lost calls of an entry through the other one.
func (w *world) comeBack(lost, other *entrySim, gen int) {
	for _, s := range w.oracle.order {
		if s.entry == lost && s.gen == gen && s.answer == "" && s.key != "" {
			w.submit(other, s.key, s.idempotent, maxTimeout)
		}
	}
}

// heal ends all faults and lets the open requests come to their end.
func (w *world) heal() {
	w.calm, w.down = true, false
	w.out = map[string]time.Duration{}
	w.version++
	for _, l := range w.links {
		l.cut = false
	}
	for _, a := range w.agents {
		a.resume()
	}
	for _, e := range w.entries {
		e.cutConfig = false
		e.resume()
	}
	for end := w.now + maxTimeout + 5*time.Second; w.now < end && len(w.oracle.open()) > 0; {
		w.pass(500 * time.Millisecond)
	}
	for _, s := range w.oracle.open() {
		w.oracle.fail("%v: %s has no answer: %+v", w.now, s.id, s.entry.core.Dump())
	}
	w.checkEmpty()
}

// checkEmpty checks that nothing is left of the requests some time later.
func (w *world) checkEmpty() {
	w.pass(maxTimeout + 5*time.Second)
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

// TestRouteMachine runs two route cores and three exec cores under drawn
// faults against an oracle that counts executions.
func TestRouteMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(faults(w))
		w.heal()
	})
}

// faults are the actions. Each comes after some new requests, lasts for a drawn
// time, and some time passes before the next one.
func faults(w *world) map[string]func(*rapid.T) {
	entry := rapid.SampledFrom(w.entries)
	agent := rapid.SampledFrom(w.agents)
	millis := rapid.SampledFrom([]time.Duration{0, 10, 100, 400, 1000, 2500})
	lasting := rapid.SampledFrom([]time.Duration{100, 700, 1300, 2500, 6000})
	later := func(t *rapid.T, run func()) { w.after(lasting.Draw(t, "lasts")*time.Millisecond, run) }
	all := map[string]func(*rapid.T){
		"nothing": func(*rapid.T) {},
		"repeat key": func(t *rapid.T) {
			if keyed := w.oracle.keyed(); len(keyed) > 0 {
				s := rapid.SampledFrom(keyed[max(0, len(keyed)-5):]).Draw(t, "of")
				w.submit(entry.Draw(t, "entry"), s.key, s.idempotent, maxTimeout)
			}
		},
		"gone": func(t *rapid.T) {
			if open := w.oracle.open(); len(open) > 0 {
				s := rapid.SampledFrom(open).Draw(t, "who")
				s.entry.reach(s.gen, func() { w.stepEntry(s.entry, route.CallerGone{ID: s.id}) })
			}
		},
		"kill entry": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "entry")
			e, gen := w.entries[i], w.entries[i].gen
			w.restartEntry(e)
			w.comeBack(e, w.entries[1-i], gen)
		},
		"pause entry": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.paused = true
			later(t, e.resume)
		},
		"drain entry": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.reach(e.gen, func() {
				e.draining = true
				w.stepEntry(e, route.Drain{})
			})
		},
		"cut configuration": func(t *rapid.T) {
			e := entry.Draw(t, "entry")
			e.cutConfig = true
			later(t, func() { e.cutConfig = false })
		},
		"kill agent": func(t *rapid.T) { w.restartAgent(agent.Draw(t, "agent")) },
		"pause agent": func(t *rapid.T) {
			a := agent.Draw(t, "agent")
			a.paused = true
			later(t, a.resume)
		},
		"agent leaves": func(t *rapid.T) {
			a := agent.Draw(t, "agent")
			a.reach(a.gen, func() {
				a.leaving = w.now
				w.stepAgent(a, exec.Leave{})
			})
		},
		"cut link": func(t *rapid.T) {
			l := w.link(entry.Draw(t, "entry"), agent.Draw(t, "agent"))
			l.cut = true
			later(t, func() { l.cut = false })
		},
		"reset link": func(t *rapid.T) {
			w.reset(entry.Draw(t, "entry"), agent.Draw(t, "agent"))
		},
		"zone out": func(t *rapid.T) {
			w.setZone(agent.Draw(t, "agent").zone, true)
			later(t, func() { w.setZone("z1", false); w.setZone("z2", false) })
		},
		"table down": func(t *rapid.T) {
			w.down = true
			later(t, func() { w.down = false })
		},
	}
	for name, fault := range all {
		all[name] = func(t *rapid.T) {
			w.submitSome(t, entry.Draw(t, "entry"))
			w.pass(millis.Draw(t, "before") * time.Millisecond / 10)
			fault(t)
			w.pass(millis.Draw(t, "after") * time.Millisecond)
		}
	}
	return all
}

func (w *world) submitSome(t *rapid.T, e *entrySim) {
	timeouts := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 3 * time.Second, maxTimeout})
	for range rapid.IntRange(0, 4).Draw(t, "requests") {
		key := fmt.Sprintf("k%d", len(w.oracle.order))
		if rapid.IntRange(0, 3).Draw(t, "unkeyed") == 0 {
			key = ""
		}
		w.submit(e, key, rapid.IntRange(0, 2).Draw(t, "idempotent") == 0, timeouts.Draw(t, "timeout"))
	}
}

func (w *world) setZone(zone string, out bool) {
	w.version++
	if out {
		w.out[zone] = w.now
		return
	}
	delete(w.out, zone)
}
