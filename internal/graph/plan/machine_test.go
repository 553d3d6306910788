package plan

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// planMachine drives a fleet by drawn actions. The oracle is the fleet itself:
// it fails a start that breaks a promise, and at the end every job has to have
// its answer.
type planMachine struct {
	*sim
	rnd *rand.Rand
	n   int
	// calmAt is when the last disturbance ended or began.
	calmAt time.Duration
}

func (m *planMachine) pick(t *rapid.T) *simWorker {
	m.calmAt = m.now
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
}

func (m *planMachine) submitOne(t *rapid.T) {
	classes := assessments()
	c := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
	j := c.draw(m.rnd, m.n)
	m.n++
	if rapid.IntRange(0, 5).Draw(t, "spread") == 0 {
		j.Steps[0].MaxPerWorker = 2
		j.Steps[0].Gang = false
		j = m.redraw(c, j)
	}
	j.fix()
	if wider(j) {
		return
	}
	m.submit(j)
}

// redraw rebuilds the units of a job whose first step is no gang any more.
func (m *planMachine) redraw(c class, j *simJob) *simJob {
	j.units[0] = nil
	for range j.Steps[0].Count {
		j.units[0] = append(j.units[0], &simUnit{job: j, begun: map[int]bool{}, work: c.work, members: 1})
	}
	return j
}

// wider reports whether a gang is too wide for the machine's small fleet.
func wider(j *simJob) bool {
	for _, s := range j.Steps {
		if s.Gang && (s.Count > 4 || s.TotalNeeds().Accelerators > 8) {
			return true
		}
	}
	return false
}

func (m *planMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": m.submitOne,
		"burst": func(t *rapid.T) {
			for range rapid.IntRange(2, 6).Draw(t, "jobs") {
				m.submitOne(t)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(m.jobs) == 0 {
				t.Skip("no job")
			}
			j := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")]
			if j.cancelled == 0 {
				m.cancel(j)
			}
		},
		"pass": func(t *rapid.T) {
			m.runUntil(m.now + time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms"))*time.Millisecond)
		},
		"pass short": func(t *rapid.T) { m.runUntil(m.now + time.Duration(rapid.IntRange(1, 20).Draw(t, "steps"))*simStep) },
		"crash":      func(t *rapid.T) { m.crash(m.pick(t)) },
		"cut": func(t *rapid.T) {
			w := m.pick(t)
			if w.cut {
				w.rejoin()
				return
			}
			w.cut = true
		},
		"relink": func(t *rapid.T) {
			w := m.pick(t)
			old := fmt.Sprintf("%s-%d", w.info.ID, w.session)
			w.session++
			w.absent = nil
			w.news = true
			m.step(SessionClosed{Worker: w.info.ID, Session: old})
		},
		"slow": func(t *rapid.T) {
			w := m.pick(t)
			w.speed = rapid.SampledFrom([]float64{1, 0.2, 0}).Draw(t, "speed")
		},
		"bad":   func(t *rapid.T) { w := m.pick(t); w.bad = !w.bad },
		"drain": func(t *rapid.T) { m.drain(m.pick(t)) },
		"store": func(*rapid.T) { m.calmAt = m.now; m.noStore = !m.noStore },
		"zone": func(*rapid.T) {
			m.calmAt = m.now
			m.toggleZone("z0")
		},
		"take over": func(*rapid.T) { m.calmAt = m.now; m.takeOver() },
		"take over early": func(t *rapid.T) {
			m.calmAt = m.now
			m.takeOverEarly(func() time.Duration {
				return time.Duration(rapid.IntRange(1, int(simOverlap/simStep)).Draw(t, "moves")) * simStep
			})
		},
	}
}

// rejoin ends a cut: orders and reports of the old connection are lost.
func (w *simWorker) rejoin() {
	w.cut = false
	w.session++
	w.absent = nil
}

func (m *planMachine) drain(w *simWorker) {
	w.info.Draining = !w.info.Draining
	w.info.DrainRemaining = 5 * time.Second
	w.news = true
}

func (m *planMachine) toggleZone(zone string) {
	next := &policy.Snapshot{Version: m.policy.Version + 1, Accounts: m.policy.Accounts, ZonesOut: map[string]bool{}}
	if !m.policy.ZonesOut[zone] {
		next.ZonesOut[zone] = true
	}
	if !next.ZonesOut[zone] {
		m.policy = next
	}
	// What is on its way when a zone goes out may still start there.
	m.step(PolicyChanged{next})
	m.runUntil(m.now + 2*simStep)
	m.policy = next
}

// heal ends all disturbances and expects an answer to every job.
func (m *planMachine) heal(t *rapid.T) {
	m.noStore = false
	if m.policy.ZonesOut["z0"] {
		m.toggleZone("z0")
	}
	for _, w := range m.workers {
		if w.cut {
			w.rejoin()
		}
		w.bad, w.speed = false, 1
		if w.info.Draining {
			m.drain(w)
		}
	}
	for limit := m.now + 10*time.Minute; m.now < limit && !m.finished(); {
		m.runUntil(m.now + time.Second)
	}
	for _, j := range m.jobs {
		if j.final == "" {
			t.Fatalf("%s has no answer: %+v", j.ID, m.core.Dump())
		}
	}
	m.runUntil(m.now + 5*time.Second)
	for _, w := range m.workers {
		if len(w.runs) > 0 || len(w.ended) > 0 {
			t.Fatalf("%s still has %d runs and %d ends", w.info.ID, len(w.runs), len(w.ended))
		}
	}
	for _, w := range m.core.ordered {
		if w.used != (graph.Resources{}) {
			t.Fatalf("%s: %+v are taken by nothing", w.info.ID, w.used)
		}
	}
}

// TestPlanMachine shows that no task runs twice at a time or after it was done,
// that nothing starts against the promises, and that every job gets its one
// answer, whatever crashes, is cut off, is slow or takes over.
func TestPlanMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(8, assessmentWorker, loadPolicy(), t.Fatalf)
		m := &planMachine{sim: s, rnd: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))}
		m.runUntil(time.Second)
		t.Repeat(m.actions())
		m.heal(t)
	})
}

// TestLeaseOfAnEarlierOwner shows that work is not begun again while it runs on
// under a lease that an earlier owner has granted after it was followed, by an
// agent that the new owner has never heard.
func TestLeaseOfAnEarlierOwner(t *testing.T) {
	s := newSim(8, assessmentWorker, loadPolicy(), t.Errorf)
	s.runUntil(time.Second)
	j := assessments()[0].draw(rand.New(rand.NewSource(1)), 0)
	j.Steps = j.Steps[:1]
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Estimate = 1, false, time.Minute
	u := &simUnit{job: j, begun: map[int]bool{}, work: 30 * time.Second, members: 1}
	j.units = map[int][]*simUnit{0: {u}}
	j.fix()
	s.submit(j)
	s.runUntil(s.now + time.Second)
	if len(u.runs) != 1 {
		t.Fatalf("%d runs", len(u.runs))
	}
	s.takeOverEarly(func() time.Duration { return simOverlap })
	for _, w := range s.workers {
		w.news = len(w.runs) > 0
	}
	s.runUntil(s.now + simOverlap - 4*simStep)
	for _, w := range s.workers {
		w.news = len(w.runs) > 0 // the last report to the earlier owner
	}
	s.runUntil(s.now + 2*simStep)
	for _, w := range s.workers {
		w.cut = len(w.runs) > 0
	}
	s.runUntil(s.now + 2*simLease)
	if s.starts < 2 {
		t.Error("the task was not begun again once the lease was over")
	}
}
