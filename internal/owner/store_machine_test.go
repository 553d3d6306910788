package owner

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
)

const simProcesses = 3

// shortTimes are those of an entry that has to take over fast.
var shortTimes = Timing{
	Lease:         1500 * time.Millisecond,
	RenewInterval: 400 * time.Millisecond,
	ClockMargin:   200 * time.Millisecond,
	PollInterval:  200 * time.Millisecond,
	PermitTTL:     time.Second,
}

// earlyTimes are those of an entry that takes over before the earlier term is
// over.
var earlyTimes = Timing{
	Lease:         1700 * time.Millisecond,
	RenewInterval: 200 * time.Millisecond,
	ClockMargin:   200 * time.Millisecond,
	PollInterval:  200 * time.Millisecond,
	PermitTTL:     time.Millisecond,
	TakeoverDelay: 700 * time.Millisecond,
}

// storeMachine drives a world by drawn actions.
type storeMachine struct{ w *world }

func (m *storeMachine) pick(t *rapid.T) *process {
	return m.w.procs[rapid.IntRange(0, simProcesses-1).Draw(t, "process")]
}

func (m *storeMachine) run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (m *storeMachine) put(t *rapid.T) {
	p := m.pick(t)
	profile := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "profile")
	expect := p.conf.Current().Profiles[profile].Version
	if rapid.IntRange(0, 3).Draw(t, "any") == 0 {
		expect = confstate.AnyVersion
	}
	p.put(profile, expect)
}

func (m *storeMachine) store(t *rapid.T) {
	m.w.storeDown = rapid.Bool().Draw(t, "down")
	m.w.note("store down %v", m.w.storeDown)
}

func (m *storeMachine) cut(t *rapid.T) {
	p := m.pick(t)
	p.cut = rapid.Bool().Draw(t, "cut")
	m.w.note("%s cut %v", p.name, p.cut)
}

func (m *storeMachine) separate(t *rapid.T) {
	a := rapid.IntRange(0, simProcesses-2).Draw(t, "a")
	b := rapid.IntRange(a+1, simProcesses-1).Draw(t, "b")
	m.w.apart[[2]int{a, b}] = rapid.Bool().Draw(t, "apart")
	m.w.note("apart %v", m.w.apart)
}

func (m *storeMachine) freeze(t *rapid.T) {
	p := m.pick(t)
	p.busy, p.frozen = true, true
	m.w.note("%s frozen", p.name)
	m.run(t)
	p.busy, p.frozen = false, false
	m.w.note("%s wakes", p.name)
	m.w.oracle.look(m.w)
}

func (m *storeMachine) crash(t *rapid.T) { m.w.start(m.pick(t).index) }

func (m *storeMachine) crashAll(*rapid.T) {
	for i := range m.w.procs {
		m.w.start(i)
	}
}

func (m *storeMachine) stop(t *rapid.T) {
	p := m.pick(t)
	p.stopping = true
	m.w.note("%s stops", p.name)
	p.owner.step(Release{})
}

func (m *storeMachine) faults(t *rapid.T) {
	m.w.faultRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "faults")
	m.w.pauseRate = rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "pauses")
	m.w.operators = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "operators")
}

func (m *storeMachine) check(t *rapid.T) {
	if m.w.oracle.fault != "" {
		t.Fatalf("%s\n%s", m.w.oracle.fault, m.w.report())
	}
}

// heal ends all faults, lets what is late arrive and checks the end state: one
// owner, one configuration, every call's outcome true.
func (m *storeMachine) heal(t *rapid.T) {
	w := m.w
	w.storeDown, w.faultRate, w.pauseRate, w.operators = false, 0, 0, 0
	w.apart = map[[2]int]bool{}
	for _, p := range w.procs {
		p.cut = false
	}
	w.run(25 * time.Second)
	for _, txn := range w.late {
		w.apply(txn)
	}
	w.late = nil
	w.oracle.judge(w.changes)
	m.check(t)
	owners := 0
	for _, p := range w.procs {
		if p.owner.Current().Owner {
			owners++
		}
		if v := p.conf.Current().Version; v != w.oracle.last || !p.conf.Permit() {
			t.Fatalf("%s is at version %d of %d, permit %v", p.name, v, w.oracle.last, p.conf.Permit())
		}
	}
	if owners != 1 {
		t.Fatalf("%d owners after the faults", owners)
	}
}

// The depth of a run unless the command line says otherwise.
const (
	defaultChecks = "150"
	defaultSteps  = "60"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": defaultChecks, "rapid.steps": defaultSteps} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestStoreMachine runs ledger, configuration and ownership of three processes
// over one table that loses, delays and refuses calls, with processes that are
// paused, killed, cut off and stopped.
func TestStoreMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([]Timing{{}, shortTimes}).Draw(t, "times")
		m := &storeMachine{w: newWorld(rapid.Int64().Draw(t, "seed"), simProcesses, times)}
		m.w.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run":      m.run,
			"put":      m.put,
			"store":    m.store,
			"cut":      m.cut,
			"separate": m.separate,
			"freeze":   m.freeze,
			"crash":    m.crash,
			"crashAll": m.crashAll,
			"stop":     m.stop,
			"faults":   m.faults,
			"":         m.check,
		})
		m.heal(t)
	})
}
