package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// reportCapacity reports a worker of the harness with another capacity.
func (h *harness) reportCapacity(capacity graph.Resources, running []graph.RunState, ended ...graph.RunEnd) []Action {
	return h.step(capacityReport(capacity, running, ended...))
}

func capacityReport(capacity graph.Resources, running []graph.RunState, ended ...graph.RunEnd) WorkerReport {
	return WorkerReport{Worker: WorkerInfo{ID: "w0", Instance: "i-w0", StartUnixMillis: 1, Pool: "pool", Zone: "z0", Rack: "r0", Capacity: capacity},
		Session: "s", Running: running, Ended: ended, Number: 1, WorkerResponsive: true}
}

// TestNoStartAfterCapacityShrankDuringSave guards against a start that was decided on a larger capacity, which takes a worker that does not guard its capacity over it.
func TestNoStartAfterCapacityShrankDuringSave(t *testing.T) {
	h := newHarness(t)
	full := graph.Resources{MilliCPU: 16000, Accelerators: 8}
	h.reportCapacity(full, nil)
	j := crashJob("j0", 2, 4, true)
	save, ok := first[SaveProgress](h.core.Step(h.now, JobSubmitted{Job: j.Job}))
	if !ok || len(save.Progress.Tasks) != 2 {
		t.Fatalf("not placed: %+v", save)
	}
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 7}, nil)
	if s := starts(h.step(ProgressSaved{Job: "j0", Number: save.Number})); len(s) != 0 {
		t.Fatalf("started over the capacity: %+v", s)
	}
	if s := starts(h.step(Tick{})); len(s) != 0 {
		t.Fatalf("started over the capacity: %+v", s)
	}
	if s := starts(h.reportCapacity(full, nil)); len(s) != 2 {
		t.Fatalf("not started when the capacity had grown again: %+v", s)
	}
}

// TestNoStartBesideOthersAfterCapacityShrank guards against counting only the unit itself when its placement is checked again.
func TestNoStartBesideOthersAfterCapacityShrank(t *testing.T) {
	h := newHarness(t)
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 8}, nil)
	running := starts(h.submit("j0", 4))
	save, ok := first[SaveProgress](h.core.Step(h.now, JobSubmitted{Job: crashJob("j1", 1, 4, false).Job}))
	if len(running) != 1 || !ok {
		t.Fatalf("%+v, %+v", running, save)
	}
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 6}, []graph.RunState{{Task: running[0].Task, Run: running[0].Run}})
	if s := starts(h.step(ProgressSaved{Job: "j1", Number: save.Number})); len(s) != 0 {
		t.Fatalf("started over the capacity: %+v", s)
	}
}

func first[A Action](actions []Action) (a A, ok bool) {
	for _, o := range actions {
		if a, ok = o.(A); ok {
			return a, true
		}
	}
	return a, false
}

// TestRunsBeingStoppedUseShrunkCapacity guards against a start in the room of runs that are being stopped on a worker whose capacity has shrunk.
func TestRunsBeingStoppedUseShrunkCapacity(t *testing.T) {
	h := newHarness(t)
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 8}, nil)
	placed := starts(h.submit("j0", 4))
	if len(placed) != 1 {
		t.Fatalf("%+v", placed)
	}
	small := graph.Resources{MilliCPU: 16000, Accelerators: 4}
	running := []graph.RunState{{Task: placed[0].Task, Run: placed[0].Run}}
	h.reportCapacity(small, running)
	h.step(JobCancelled{"j0"})
	if s := starts(h.submit("j1", 1)); len(s) != 0 {
		t.Fatalf("started beside a run that is being stopped: %+v", s)
	}
	end := graph.RunEnd{Number: 1, Task: placed[0].Task, Run: placed[0].Run, Kind: graph.EndStopped}
	if s := starts(h.reportCapacity(small, nil, end)); len(s) != 1 {
		t.Fatalf("not started after the end: %+v", s)
	}
}

// TestNothingStartsOnWorkerOverItsCapacity guards against a task without accelerators that starts on a worker whose runs use more accelerators than it has left.
func TestNothingStartsOnWorkerOverItsCapacity(t *testing.T) {
	h := newHarness(t)
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 8}, nil)
	placed := starts(h.submit("j0", 8))
	running := []graph.RunState{{Task: placed[0].Task, Run: placed[0].Run}}
	h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 6}, running)
	if s := starts(h.submit("j1", 0)); len(s) != 0 {
		t.Fatalf("started over the capacity: %+v", s)
	}
	if s := starts(h.reportCapacity(graph.Resources{MilliCPU: 16000, Accelerators: 8}, running)); len(s) != 1 {
		t.Fatalf("not started when the capacity had grown again: %+v", s)
	}
}

// TestCapacityOfSimulatedFleetShrinks guards against any start over a capacity that shrinks and grows while jobs run.
func TestCapacityOfSimulatedFleetShrinks(t *testing.T) {
	s := crashSim(t, 4)
	s.runUntil(time.Second)
	for i := range 40 {
		s.submit(crashJob(graph.JobID("j"+string(rune('A'+i))), 3, 2+i%3, i%2 == 0))
		w := s.workers[i%4]
		w.info.Capacity.Accelerators = 4 + i%5
		w.reportNow = true
		s.runUntil(s.now + 300*time.Millisecond)
	}
	for _, j := range s.jobs {
		s.mustEnd(t, j, graph.Completed, 60*time.Second)
	}
}
