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

// shortTiming is the timing of an entry that must take over fast.
var shortTiming = Timing{
	Lease:         1500 * time.Millisecond,
	RenewInterval: 400 * time.Millisecond,
	ClockMargin:   200 * time.Millisecond,
	PollInterval:  200 * time.Millisecond,
	PermitTTL:     time.Second,
}

// earlyTakeoverTiming is the timing of an entry that takes over before the
// previous term has expired.
var earlyTakeoverTiming = Timing{
	Lease:         1700 * time.Millisecond,
	RenewInterval: 200 * time.Millisecond,
	ClockMargin:   200 * time.Millisecond,
	PollInterval:  200 * time.Millisecond,
	PermitTTL:     time.Millisecond,
	TakeoverDelay: 700 * time.Millisecond,
}

// storeMachine applies drawn actions to a world.
type storeMachine struct{ w *world }

func (m *storeMachine) drawProcess(t *rapid.T) *process {
	return m.w.procs[rapid.IntRange(0, simProcesses-1).Draw(t, "process")]
}

func (m *storeMachine) run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (m *storeMachine) changeProfile(t *rapid.T) {
	p := m.drawProcess(t)
	profile := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "profile")
	expect := p.conf.Current().Profiles[profile].Version
	if rapid.IntRange(0, 3).Draw(t, "any") == 0 {
		expect = confstate.AnyVersion
	}
	p.changeProfile(profile, expect)
}

func (m *storeMachine) setStoreDown(t *rapid.T) {
	m.w.storeDown = rapid.Bool().Draw(t, "down")
	m.w.logEvent("store down %v", m.w.storeDown)
}

func (m *storeMachine) setStoreUnreachable(t *rapid.T) {
	p := m.drawProcess(t)
	p.storeUnreachable = rapid.Bool().Draw(t, "cut")
	m.w.logEvent("%s cut %v", p.name, p.storeUnreachable)
}

func (m *storeMachine) setPartition(t *rapid.T) {
	a := rapid.IntRange(0, simProcesses-2).Draw(t, "a")
	b := rapid.IntRange(a+1, simProcesses-1).Draw(t, "b")
	m.w.partitioned[[2]int{a, b}] = rapid.Bool().Draw(t, "apart")
	m.w.logEvent("apart %v", m.w.partitioned)
}

func (m *storeMachine) freezeProcess(t *rapid.T) {
	p := m.drawProcess(t)
	p.inCall, p.frozen = true, true
	m.w.logEvent("%s frozen", p.name)
	m.run(t)
	p.inCall, p.frozen = false, false
	m.w.logEvent("%s wakes", p.name)
	m.w.oracle.checkInvariants(m.w)
}

func (m *storeMachine) restartProcess(t *rapid.T) { m.w.start(m.drawProcess(t).index) }

func (m *storeMachine) restartAll(*rapid.T) {
	for i := range m.w.procs {
		m.w.start(i)
	}
}

func (m *storeMachine) stopProcess(t *rapid.T) {
	p := m.drawProcess(t)
	p.stopping = true
	m.w.logEvent("%s stops", p.name)
	p.owner.step(Release{})
}

func (m *storeMachine) drawFaultRates(t *rapid.T) {
	m.w.faultRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "faults")
	m.w.pauseRate = rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "pauses")
	m.w.operatorRate = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "operators")
}

func (m *storeMachine) checkOracle(t *rapid.T) {
	if m.w.oracle.violation != "" {
		t.Fatalf("%s\n%s", m.w.oracle.violation, m.w.report())
	}
}

// healAndCheck ends all faults, applies the delayed transactions and checks the
// end state: one owner, one configuration, and every call's outcome matches the
// history.
func (m *storeMachine) healAndCheck(t *rapid.T) {
	w := m.w
	w.storeDown, w.faultRate, w.pauseRate, w.operatorRate = false, 0, 0, 0
	w.partitioned = map[[2]int]bool{}
	for _, p := range w.procs {
		p.storeUnreachable = false
	}
	w.run(25 * time.Second)
	for _, txn := range w.delayed {
		w.applyTxn(txn)
	}
	w.delayed = nil
	w.oracle.checkAllOutcomes(w.changes)
	m.checkOracle(t)
	owners := 0
	for _, p := range w.procs {
		if p.owner.Current().Owner {
			owners++
		}
		if v := p.conf.Current().Version; v != w.oracle.lastVersion || !p.conf.Permit() {
			t.Fatalf("%s is at version %d of %d, permit %v", p.name, v, w.oracle.lastVersion, p.conf.Permit())
		}
	}
	if owners != 1 {
		t.Fatalf("%d owners after the faults", owners)
	}
}

// Default depth of a run; the command line overrides it.
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

// TestStoreMachine runs ledger, configuration and ownership of three processes on
// one table that loses, delays and refuses calls. Processes are paused, killed,
// disconnected and stopped.
func TestStoreMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := rapid.SampledFrom([]Timing{{}, shortTiming}).Draw(t, "times")
		m := &storeMachine{w: newWorld(rapid.Int64().Draw(t, "seed"), simProcesses, timing)}
		m.w.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run":      m.run,
			"put":      m.changeProfile,
			"store":    m.setStoreDown,
			"cut":      m.setStoreUnreachable,
			"separate": m.setPartition,
			"freeze":   m.freezeProcess,
			"crash":    m.restartProcess,
			"crashAll": m.restartAll,
			"stop":     m.stopProcess,
			"faults":   m.drawFaultRates,
			"":         m.checkOracle,
		})
		m.healAndCheck(t)
	})
}
