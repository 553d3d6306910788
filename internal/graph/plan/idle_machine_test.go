package plan

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestMachineLeavesNoJobOnIdleFleet checks that no job stands still for 3 s while the fleet has room for it twice over and is used by less than half. It guards against preferences that keep work waiting.
func TestMachineLeavesNoJobOnIdleFleet(t *testing.T) {
	const workers, jobs, most = 16, 25, 6 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		m := &planMachine{sim: newSim(workers, assessmentWorker, loadPolicy(), t.Fatalf, deployedFeatures...), rnd: rand.New(rand.NewSource(1))}
		m.runUntil(time.Second)
		since := map[graph.JobID]time.Duration{}
		for range jobs {
			m.submit(m.drawIdleFleetJob(t))
			m.watchIdleJobs(t, since, time.Duration(rapid.IntRange(1, int(most/simStep)).Draw(t, "wait"))*simStep)
		}
	})
}

// TestMachineLeavesNoJobOnIdleFleetAfterFaults checks the same from calmTime after the last fault on. It guards against what faults leave behind that keeps work waiting.
func TestMachineLeavesNoJobOnIdleFleetAfterFaults(t *testing.T) {
	const workers, labelled, moves = 16, 2, 20
	rapid.Check(t, func(t *rapid.T) {
		m := &planMachine{sim: newSim(workers, assessmentWorker, loadPolicy(), t.Fatalf, deployedFeatures...), rnd: rand.New(rand.NewSource(1))}
		m.crashLimit = math.MaxInt // as in TestPlanMachine
		m.stopTime = rapid.SampledFrom([]time.Duration{simStopTime, 2 * time.Second}).Draw(t, "stop time")
		for _, w := range m.workers[:labelled] {
			w.info.Labels = []string{"x"}
		}
		m.runUntil(time.Second)
		since := map[graph.JobID]time.Duration{}
		for range moves {
			if rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
				m.drawFault(t)
			} else {
				m.submit(m.drawFaultyJob(t))
			}
			m.watchIdleJobs(t, since, time.Duration(rapid.IntRange(1, 1000).Draw(t, "wait"))*simStep)
		}
		m.watchIdleJobs(t, since, 30*time.Second)
	})
}

// drawFaultyJob draws a job that may need a label, fail by itself or crash its workers.
func (m *planMachine) drawFaultyJob(t *rapid.T) *simJob {
	j := m.drawIdleFleetJob(t)
	j.Priority = rapid.IntRange(0, 2).Draw(t, "urgency")
	j.Steps[0].Checkpointable = rapid.Bool().Draw(t, "checkpointable")
	if rapid.Bool().Draw(t, "labelled") {
		j.Steps[0].RequiredLabel = "x"
	}
	for _, u := range j.units[0] {
		u.failuresLeft = max(0, rapid.IntRange(-2, 2).Draw(t, "failures"))
	}
	if rapid.IntRange(0, 3).Draw(t, "deadly") == 0 {
		u := j.units[0][len(j.units[0])-1]
		u.deadly = map[int]bool{j.Steps[0].Count - 1: true}
	}
	return j
}

// drawFault begins or ends a fault.
func (m *planMachine) drawFault(t *rapid.T) {
	m.calmAt = m.now
	w := m.drawWorker(t)
	switch rapid.SampledFrom([]string{"crash", "down", "cut", "relink", "slow", "bad", "refuse", "drain", "zone", "lose orders", "take over", "overlap"}).Draw(t, "kind") {
	case "crash":
		m.crash(w)
	case "down":
		w.crashesAt = m.now + simCrashDelay
	case "cut":
		if w.partitioned {
			w.reconnect()
		} else {
			w.partitioned = true
		}
	case "relink":
		m.relink(w)
	case "slow":
		w.speed = rapid.SampledFrom([]float64{1, 0.2, 0}).Draw(t, "speed")
	case "bad":
		w.faulty = !w.faulty
	case "refuse":
		w.refuses = !w.refuses
	case "drain":
		m.drain(w)
	case "zone":
		m.toggleZone("z0")
	case "lose orders":
		m.loseOrders()
	case "take over":
		m.takeOver()
	case "overlap":
		m.takeOverWithOverlap(func() time.Duration {
			return time.Duration(rapid.IntRange(1, int(simOverlap/simStep)).Draw(t, "moves")) * simStep
		})
	}
}

// calmTime is the time after the last fault from which on jobs must not stand still.
const calmTime = 4 * time.Second

// noteCrashes records the crashes by deadly tasks, and the returns from them, as faults.
func (m *planMachine) noteCrashes() {
	for _, w := range m.workers {
		if w.crashesAt > 0 || w.crashedAt > 0 {
			m.calmAt = m.now
		}
	}
}

// drawIdleFleetJob draws a job of one step: a gang, possibly of one rack, or single tasks,
// possibly on a worker each.
func (m *planMachine) drawIdleFleetJob(t *rapid.T) *simJob {
	s := graph.Step{Count: rapid.IntRange(1, 12).Draw(t, "tasks"), Estimate: time.Duration(rapid.IntRange(2, 40).Draw(t, "seconds")) * time.Second,
		Needs: graph.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "accelerators")}}
	s.Gang = rapid.Bool().Draw(t, "gang")
	if s.Gang {
		s.SameRack = rapid.Bool().Draw(t, "same rack")
	} else if rapid.Bool().Draw(t, "apart") {
		s.MaxPerWorker = 1
	}
	m.jobCount++
	j := &simJob{Job: &graph.Job{ID: graph.JobID(fmt.Sprintf("j%04d", m.jobCount)), Queue: "q", Account: "a0", Pool: "pool", Priority: rapid.IntRange(1, 2).Draw(t, "priority"),
		MaxAttempts: 3, Stretch: 3, Steps: []graph.Step{s}}}
	units, members := s.Count, 1
	if s.Gang {
		units, members = 1, s.Count
	}
	j.units = map[int][]*simUnit{}
	for range units {
		j.units[0] = append(j.units[0], &simUnit{job: j, startedTasks: map[int]bool{}, work: s.Estimate, memberCount: members})
	}
	j.linkSteps()
	return j
}

// watchIdleJobs plays for a time, and fails if a job has nothing running on an idle fleet for
// 3 s. since is from when on that holds of the jobs.
func (m *planMachine) watchIdleJobs(t *rapid.T, since map[graph.JobID]time.Duration, d time.Duration) {
	const mostIdle, sample = 3 * time.Second, 50 * time.Millisecond
	for end := m.now + d; m.now < end; m.runUntil(m.now + sample) {
		m.noteCrashes()
		for _, j := range m.jobs {
			if m.calmAt > 0 && m.now < m.calmAt+calmTime || !m.couldRun(j) {
				delete(since, j.ID)
				continue
			}
			if _, ok := since[j.ID]; !ok {
				since[j.ID] = m.now
			}
			since[j.ID] = max(since[j.ID], j.lastStartAt) // the run may have ended before this sample
			if m.now-since[j.ID] > mostIdle {
				t.Fatalf("%s (%+v) has nothing running for %v on an idle fleet at %v%s", j.ID, j.Steps[0], m.now-since[j.ID], m.now, m.core.describeWaits(j.ID))
			}
		}
	}
}

// describeWaits returns what the units of a job wait for.
func (c *Core) describeWaits(id graph.JobID) string {
	out := ""
	for _, u := range c.jobs[id].units {
		out += fmt.Sprintf("; %v: phase %d, stopping %v, %d failures, avoids %v, ", u.taskID(0), u.phase, u.stopping, u.failures, u.avoidUntil) + c.describeWait(u, nil)
	}
	return out
}

// couldRun reports whether a job has nothing running, while the fleet is idle and has room
// twice over for a step of it whose turn has come.
func (m *planMachine) couldRun(j *simJob) bool {
	if j.final != "" || j.cancelled > 0 || j.mayBeGivenUp() || !m.fleetIsIdle() || m.mayRunOutOfReach(j) {
		return false
	}
	for _, units := range j.units {
		for _, u := range units {
			if len(u.runs) > 0 {
				return false
			}
		}
	}
	for i := range j.Steps {
		if m.turnHasCome(j, i) && m.roomFor(&j.Steps[i]) >= 2*j.Steps[i].Count {
			return true
		}
	}
	return false
}

// mayRunOutOfReach reports whether a job has a run on a worker that the owner cannot reach,
// of which the lease has not certainly expired.
func (m *planMachine) mayRunOutOfReach(j *simJob) bool {
	for _, u := range m.core.jobs[j.ID].units {
		for _, o := range u.members {
			if slices.ContainsFunc(m.workers, func(w *simWorker) bool { return w.info.ID == o.worker.info.ID && w.partitioned }) {
				return true
			}
		}
	}
	return false
}

// turnHasCome reports whether a step is not done and all steps that it follows are.
func (m *planMachine) turnHasCome(j *simJob, step int) bool {
	if stepDone(j, step) {
		return false
	}
	for _, before := range j.Steps[step].After {
		if !stepDone(j, before) {
			return false
		}
	}
	return true
}

func stepDone(j *simJob, step int) bool {
	for _, u := range j.units[step] {
		if !u.done {
			return false
		}
	}
	return true
}

// freeOn returns what is free on a worker.
func freeOn(w *simWorker) graph.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.unit.step.Needs)
	}
	return free
}

// takes reports whether a worker would start tasks of a step, as far as it has room.
func (m *planMachine) takes(w *simWorker, s *graph.Step) bool {
	return !w.partitioned && w.crashedAt == 0 && !w.info.Draining && !w.refuses && !m.policy.ZonesOut[w.info.Zone] &&
		(s.RequiredLabel == "" || slices.Contains(w.info.Labels, s.RequiredLabel))
}

func (m *planMachine) roomFor(s *graph.Step) int {
	step, room := *s, 0
	step.Count = 2 * s.Count
	for _, w := range m.workers {
		if m.takes(w, s) {
			room += tasksThatFit(freeOn(w), &step)
		}
	}
	return room
}

// fleetIsIdle reports whether less than half of each resource is in use.
func (m *planMachine) fleetIsIdle() bool {
	var free, total graph.Resources
	for _, w := range m.workers {
		free, total = free.Add(freeOn(w)), total.Add(w.info.Capacity)
	}
	return 2*free.MilliCPU > total.MilliCPU && 2*free.Accelerators > total.Accelerators && 2*free.MemoryMB > total.MemoryMB
}
