package plan

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// planMachine drives a simulated fleet with random actions. The simulation is the
// oracle: it fails on a start that violates an invariant, and at the end every job
// must be final.
type planMachine struct {
	*sim
	rnd      *rand.Rand
	jobCount int
	// calmAt is when the last fault began or ended.
	calmAt time.Duration
	// deadlyJobs makes some jobs crash the workers that start one of their tasks.
	deadlyJobs bool
}

func (m *planMachine) drawWorker(t *rapid.T) *simWorker {
	m.calmAt = m.now
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
}

func (m *planMachine) submitDrawn(t *rapid.T) {
	classes := assessments()
	c := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
	j := c.draw(m.rnd, m.jobCount)
	m.jobCount++
	if rapid.IntRange(0, 5).Draw(t, "spread") == 0 {
		j.Steps[0].MaxPerWorker = 2
		j.Steps[0].Gang = false
		j = m.rebuildUnits(c, j)
	}
	j.linkSteps()
	if tooWide(j) {
		return
	}
	if m.deadlyJobs && rapid.IntRange(0, 3).Draw(t, "deadly") == 0 {
		units := j.units[0]
		units[len(units)-1].deadly = map[int]bool{j.Steps[0].Count - 1: true}
	}
	m.submit(j)
}

// rebuildUnits recreates the units of a job whose first step is no longer a gang.
func (m *planMachine) rebuildUnits(c class, j *simJob) *simJob {
	j.units[0] = nil
	for range j.Steps[0].Count {
		j.units[0] = append(j.units[0], &simUnit{job: j, startedTasks: map[int]bool{}, work: c.meanWork, memberCount: 1})
	}
	return j
}

// tooWide reports whether a gang of the job is too wide for the small fleet.
func tooWide(j *simJob) bool {
	for _, s := range j.Steps {
		if s.Gang && (s.Count > 4 || s.TotalNeeds().Accelerators > 8) {
			return true
		}
	}
	return false
}

func (m *planMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": m.submitDrawn,
		"burst": func(t *rapid.T) {
			for range rapid.IntRange(2, 6).Draw(t, "jobs") {
				m.submitDrawn(t)
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
		"crash":      func(t *rapid.T) { m.crash(m.drawWorker(t)) },
		"cut": func(t *rapid.T) {
			w := m.drawWorker(t)
			if w.partitioned {
				w.reconnect()
				return
			}
			w.partitioned = true
		},
		"relink":      func(t *rapid.T) { m.relink(m.drawWorker(t)) },
		"lose orders": func(*rapid.T) { m.calmAt = m.now; m.loseOrders() },
		"slow": func(t *rapid.T) {
			w := m.drawWorker(t)
			w.speed = rapid.SampledFrom([]float64{1, 0.2, 0}).Draw(t, "speed")
		},
		"bad":   func(t *rapid.T) { w := m.drawWorker(t); w.faulty = !w.faulty },
		"drain": func(t *rapid.T) { m.drain(m.drawWorker(t)) },
		"store": func(*rapid.T) { m.calmAt = m.now; m.storeDown = !m.storeDown },
		"zone": func(*rapid.T) {
			m.calmAt = m.now
			m.toggleZone("z0")
		},
		"take over": func(*rapid.T) { m.calmAt = m.now; m.takeOver() },
		"take over early": func(t *rapid.T) {
			m.calmAt = m.now
			m.takeOverWithOverlap(func() time.Duration {
				return time.Duration(rapid.IntRange(1, int(simOverlap/simStep)).Draw(t, "moves")) * simStep
			})
		},
	}
}

// reconnect ends a partition. Orders and reports of the old session are lost.
func (w *simWorker) reconnect() {
	w.partitioned = false
	w.session++
	w.absent = nil
}

// relink replaces the connection of a worker's agent. Orders under way are lost.
func (m *planMachine) relink(w *simWorker) {
	old := fmt.Sprintf("%s-%d", w.info.ID, w.session)
	w.session++
	w.absent = nil
	w.reportNow = true
	m.step(SessionClosed{Worker: w.info.ID, Session: old})
}

// loseOrders loses the starts and stops under way.
func (m *planMachine) loseOrders() {
	m.orders = slices.DeleteFunc(m.orders, func(o simOrder) bool {
		switch o.action.(type) {
		case StartRun, StopRun:
			return true
		}
		return false
	})
}

func (m *planMachine) drain(w *simWorker) {
	w.info.Draining = !w.info.Draining
	w.info.DrainRemaining = 5 * time.Second
	w.reportNow = true
}

func (m *planMachine) toggleZone(zone string) {
	next := &policy.Snapshot{Version: m.policy.Version + 1, Accounts: m.policy.Accounts, ZonesOut: map[string]bool{}}
	if !m.policy.ZonesOut[zone] {
		next.ZonesOut[zone] = true
	}
	if !next.ZonesOut[zone] {
		m.policy = next
	}
	// Orders in transit when a zone becomes unavailable may still start runs there.
	m.step(PolicyChanged{next})
	m.runUntil(m.now + 2*simStep)
	m.policy = next
}

// recoverAndCheck ends all faults and checks that every job becomes final and that
// no runs, ends or used resources are left over.
func (m *planMachine) recoverAndCheck(t *rapid.T) {
	m.storeDown = false
	if m.policy.ZonesOut["z0"] {
		m.toggleZone("z0")
	}
	for _, w := range m.workers {
		if w.partitioned {
			w.reconnect()
		}
		w.faulty, w.speed = false, 1
		if w.info.Draining {
			m.drain(w)
		}
	}
	for limit := m.now + 10*time.Minute; m.now < limit && !m.finished(); {
		m.runUntil(m.now + time.Second)
	}
	for _, j := range m.jobs {
		if j.final == "" {
			t.Fatalf("%s did not become final: %+v", j.ID, m.core.Dump())
		}
	}
	m.runUntil(m.now + 5*time.Second)
	for _, w := range m.workers {
		if len(w.runs) > 0 || len(w.ended) > 0 {
			t.Fatalf("%s still has %d runs and %d ends", w.info.ID, len(w.runs), len(w.ended))
		}
	}
	for _, w := range m.core.sortedWorkers {
		if w.used != (graph.Resources{}) || w.stopping != 0 {
			t.Fatalf("%s: %+v counted as used and %d as stopping without a run", w.info.ID, w.used, w.stopping)
		}
	}
}

// TestPlanMachine checks that no task runs twice at the same time or again after it
// was done, that no start violates an invariant, and that every job becomes final
// exactly once, under crashes, partitions, slow workers and takeovers.
func TestPlanMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkMachine(t) })
}

// TestPlanMachineWithWorkerSpeeds checks the same with runs that are moved because they
// lag, and that such moves leave no claim behind.
func TestPlanMachineWithWorkerSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, w := range checkMachine(t, feature.WorkerSpeeds).core.sortedWorkers {
			if w.claimed != (graph.Resources{}) {
				t.Fatalf("%s: %+v claimed for no unit", w.info.ID, w.claimed)
			}
		}
	})
}

// TestPlanMachineWithHeadroom checks the same with headroom for claims. It guards against
// work that never runs because headroom is closed to it.
func TestPlanMachineWithHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkMachine(t, feature.ClaimHeadroom)
	})
}

// TestPlanMachineWithAllFeatures checks the same with all features of the core. It guards
// against decisions that are right alone and wrong together.
func TestPlanMachineWithAllFeatures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkMachine(t, feature.CostOrder, feature.ClaimHeadroom, feature.WorkerSpeeds, feature.LearnedRunTimes)
	})
}

// TestPlanMachineWithDeadlyTasks checks the same with tasks that crash their workers. It guards against jobs that never become final, and against jobs failed without cause.
func TestPlanMachineWithDeadlyTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		m.deadlyJobs = true
		m.check(t)
	})
}

// TestPlanMachineWithRejectedSaves checks the same with saves that the table rejects, also
// where an earlier try of one took effect. It guards against starts that are not stored.
func TestPlanMachineWithRejectedSaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		m.rejectSave = func(a SaveProgress) bool {
			kind := m.rnd.Intn(8)
			if kind == 0 {
				m.rows[a.Job] = a.Progress
			}
			return kind < 2
		}
		m.runUntil(time.Second)
		t.Repeat(m.actions())
		m.rejectSave = nil
		m.recoverAndCheck(t)
	})
}

// TestPlanMachineWithUnstorableJobs checks the same with jobs of which the table takes no more
// than the state once they run, across a takeover. It guards against tasks that start again
// after the ends of such a job were acknowledged, and against ends that never are.
func TestPlanMachineWithUnstorableJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		m.rejectSave = func(a SaveProgress) bool {
			j := m.byID[a.Job]
			placed := slices.ContainsFunc(m.rows[a.Job].Tasks, func(p graph.TaskProgress) bool { return p.Run > 0 })
			j.unstorable = j.unstorable || placed && m.rnd.Intn(8) == 0
			return j.unstorable && !a.StateOnly
		}
		m.runUntil(time.Second)
		t.Repeat(m.actions())
		m.storeDown = false
		m.runUntil(m.now + 2*maxHoldBack)
		if rapid.Bool().Draw(t, "last takeover") {
			m.takeOver()
			m.rejectSave = nil
		}
		m.runUntil(m.now + 2*maxHoldBack)
		m.rejectSave = nil
		m.runUntil(m.now + maxRejectionPause)
		m.recoverAndCheck(t)
	})
}

// TestPlanMachineWithUnstorableStates checks the same with jobs of which the table takes nothing
// once they run but the ends beside them, until after a takeover. It guards against done tasks
// that start again as an end was acknowledged.
func TestPlanMachineWithUnstorableStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		m.rejectSave = func(a SaveProgress) bool {
			j := m.byID[a.Job]
			placed := slices.ContainsFunc(m.rows[a.Job].Tasks, func(p graph.TaskProgress) bool { return p.Run > 0 })
			j.unstorable = j.unstorable || placed && m.rnd.Intn(4) == 0
			return j.unstorable
		}
		m.runUntil(time.Second)
		t.Repeat(m.actions())
		m.storeDown = false
		m.runUntil(m.now + 3*maxHoldBack)
		if rapid.Bool().Draw(t, "last takeover") {
			m.takeOver()
			m.rejectSave = nil
		}
		m.runUntil(m.now + maxRejectionPause)
		m.rejectSave = nil
		m.runUntil(m.now + maxRejectionPause)
		m.recoverAndCheck(t)
	})
}

// TestPlanMachineWithUnreadableJobs checks the same with jobs whose rows some owners cannot read,
// until they are repaired. It guards against tasks that start again after an owner that could not
// store their ends has acknowledged them.
func TestPlanMachineWithUnreadableJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		actions := m.actions()
		actions["damage"] = func(t *rapid.T) {
			m.storeDown = true // ends gather
			m.runUntil(m.now + time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms"))*time.Millisecond)
			m.storeDown = false
			for _, j := range m.jobs {
				if j.final == "" && m.rnd.Intn(2) == 0 {
					m.unreadable[j.ID] = true
				}
			}
			m.takeOver()
			m.runUntil(m.now + time.Second)
		}
		actions["repair"] = func(*rapid.T) { m.repair() }
		m.runUntil(time.Second)
		t.Repeat(actions)
		m.repair()
		m.recoverAndCheck(t)
	})
}

// repair makes the rows of all jobs readable again.
func (m *planMachine) repair() {
	for _, j := range m.jobs {
		if m.unreadable[j.ID] {
			delete(m.unreadable, j.ID)
			m.load(j)
		}
	}
}

func checkMachine(t *rapid.T, features ...feature.Feature) *planMachine {
	m := newPlanMachine(t, features...)
	m.check(t)
	return m
}

func newPlanMachine(t *rapid.T, features ...feature.Feature) *planMachine {
	s := newSim(8, assessmentWorker, loadPolicy(), t.Fatalf, features...)
	s.joinPasses = rapid.Bool().Draw(t, "join passes")
	if !s.features.Has(feature.LearnedRunTimes) && rapid.Bool().Draw(t, "learned run times") {
		s.features = feature.NewSet(append(features, feature.LearnedRunTimes)...)
		s.core.cfg.Features = s.features
	}
	m := &planMachine{sim: s, rnd: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))}
	m.crashLimit = math.MaxInt // crashes while the owner or a session changes do not count
	return m
}

func (m *planMachine) check(t *rapid.T) {
	m.runUntil(time.Second)
	t.Repeat(m.actions())
	m.recoverAndCheck(t)
}

// TestNoSecondRunUnderEarlierOwnersLease checks that a task is not started again
// while it still runs under a lease that an earlier owner granted after the
// takeover, to a worker whose agent has never reported to the new owner.
func TestNoSecondRunUnderEarlierOwnersLease(t *testing.T) {
	s := newSim(8, assessmentWorker, loadPolicy(), t.Errorf)
	s.runUntil(time.Second)
	j := assessments()[0].draw(rand.New(rand.NewSource(1)), 0)
	j.Steps = j.Steps[:1]
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Estimate = 1, false, time.Minute
	u := &simUnit{job: j, startedTasks: map[int]bool{}, work: 30 * time.Second, memberCount: 1}
	j.units = map[int][]*simUnit{0: {u}}
	j.linkSteps()
	s.submit(j)
	s.runUntil(s.now + time.Second)
	if len(u.runs) != 1 {
		t.Fatalf("%d runs", len(u.runs))
	}
	s.takeOverWithOverlap(func() time.Duration { return simOverlap })
	for _, w := range s.workers {
		w.reportNow = len(w.runs) > 0
	}
	s.runUntil(s.now + simOverlap - 4*simStep)
	for _, w := range s.workers {
		w.reportNow = len(w.runs) > 0 // last report to the earlier owner
	}
	s.runUntil(s.now + 2*simStep)
	for _, w := range s.workers {
		w.partitioned = len(w.runs) > 0
	}
	s.runUntil(s.now + 2*simLeaseBound)
	if s.starts < 2 {
		t.Error("the task was not started again after the lease expired")
	}
}
