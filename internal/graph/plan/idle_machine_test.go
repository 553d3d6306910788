package plan

import (
	"fmt"
	"math/rand"
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
		for _, j := range m.jobs {
			if !m.couldRun(j) {
				delete(since, j.ID)
				continue
			}
			if _, ok := since[j.ID]; !ok {
				since[j.ID] = m.now
			}
			if m.now-since[j.ID] > mostIdle {
				t.Fatalf("%s (%+v) has nothing running for %v on an idle fleet", j.ID, j.Steps[0], m.now-since[j.ID])
			}
		}
	}
}

// couldRun reports whether a job has nothing running, while the fleet is idle and has room
// twice over for a step of it whose turn has come.
func (m *planMachine) couldRun(j *simJob) bool {
	if j.final != "" || j.cancelled > 0 || !m.fleetIsIdle() {
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

func (m *planMachine) roomFor(s *graph.Step) int {
	step, room := *s, 0
	step.Count = 2 * s.Count
	for _, w := range m.workers {
		room += tasksThatFit(freeOn(w), &step)
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
