package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestGangOfOneRackStartsOnIdleFleet guards against a gang that waits for one rack while most of each is idle.
func TestGangOfOneRackStartsOnIdleFleet(t *testing.T) {
	const mostIdle = 3 * time.Second
	f := newListingFleet(8, 500*time.Millisecond, deployedFeatures...)
	for i, w := range f.workers {
		w.info.Rack = fmt.Sprintf("r%d", i/2)
		w.info.Labels = []string{fmt.Sprintf("l%d", i)}
	}
	f.pass(f.interval)
	for i := 0; i < 8; i += 2 {
		f.submit(graph.JobID(fmt.Sprint("small", i)), graph.Step{Count: 1, RequiredLabel: fmt.Sprintf("l%d", i), Estimate: time.Minute, Needs: graph.Resources{Accelerators: 1}}, time.Minute)
	}
	f.submit("tight", graph.Step{Count: 2, Gang: true, SameRack: true, Estimate: time.Minute, Needs: graph.Resources{Accelerators: 8}}, time.Minute)
	if idle := f.longestIdle("tight", 30*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v; 4 of 64 accelerators are in use", idle)
	}
}

// TestTasksApartHoldBackNoRoomThatTheyMayNotUse guards against reservations beyond the limit of tasks per worker, which keep others from idle workers.
func TestTasksApartHoldBackNoRoomThatTheyMayNotUse(t *testing.T) {
	const mostIdle = 3 * time.Second
	f := newListingFleet(4, 500*time.Millisecond, deployedFeatures...)
	f.submit("apart", graph.Step{Count: 24, MaxPerWorker: 1, Estimate: 20 * time.Second, Needs: graph.Resources{Accelerators: 2}}, 20*time.Second)
	f.pass(2 * time.Second)
	f.submit("other", graph.Step{Count: 1, Estimate: 30 * time.Second, Needs: graph.Resources{Accelerators: 2}}, 30*time.Second)
	used := 0
	for _, w := range f.core.sortedWorkers {
		used += w.used.Accelerators
	}
	if idle := f.longestIdle("other", 30*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v, with %d of 32 accelerators in use", idle, used)
	}
}

// submitWideGang submits a job on two workers and a gang on seven, which waits for one of
// them on a fleet of eight. It returns the needs of a task that takes a whole worker.
func (f *listingFleet) submitWideGang() graph.Resources {
	whole := graph.Resources{Accelerators: 8}
	f.submit("long", graph.Step{Count: 2, MaxPerWorker: 1, Estimate: 20 * time.Second, Needs: whole}, 20*time.Second)
	f.submit("wide", graph.Step{Count: 7, Gang: true, Estimate: 20 * time.Second, Needs: whole}, 20*time.Second)
	return whole
}

// TestWideGangLeavesIdleWorkersToOthers guards against a gang that holds most of an idle fleet back while it waits for the rest.
func TestWideGangLeavesIdleWorkersToOthers(t *testing.T) {
	const mostIdle = 3 * time.Second
	f := newListingFleet(8, 500*time.Millisecond, deployedFeatures...)
	whole := f.submitWideGang()
	f.pass(2 * time.Second)
	f.submit("narrow", graph.Step{Count: 2, Gang: true, Estimate: 30 * time.Second, Needs: whole}, 30*time.Second)
	if idle := f.longestIdle("narrow", 30*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v, with 2 of 8 workers in use", idle)
	}
}

// TestWideGangOutlastsLoansOfItsRoom guards against a gang that never starts, as others use the room reserved for it by turns.
func TestWideGangOutlastsLoansOfItsRoom(t *testing.T) {
	const bound = 2 * time.Minute
	f := newListingFleet(8, 500*time.Millisecond, deployedFeatures...)
	whole := f.submitWideGang()
	for i := 0; f.starts["wide"] == 0; i++ {
		if f.now > bound {
			t.Fatalf("not started after %v; %d narrow jobs were started", f.now, len(f.starts)-2)
		}
		f.submit(graph.JobID(fmt.Sprint("narrow", i)), graph.Step{Count: 2, Gang: true, Estimate: 30 * time.Second, Needs: whole}, 30*time.Second)
		f.pass(5 * time.Second)
	}
}

// TestQuarantineLeavesNoGangWaitingOnIdleFleet guards against a gang that waits for the sound workers of an idle fleet, which others use for long.
func TestQuarantineLeavesNoGangWaitingOnIdleFleet(t *testing.T) {
	const mostIdle = 3 * time.Second
	f := newListingFleet(24, 500*time.Millisecond, deployedFeatures...)
	whole := graph.Resources{Accelerators: 8}
	for _, w := range f.core.sortedWorkers[:8] {
		for range 2 {
			f.core.recordFailure(w, &unit{job: newJob(&graph.Job{})}, 0)
		}
	}
	f.submit("long", graph.Step{Count: 11, MaxPerWorker: 1, Estimate: time.Minute, Needs: whole}, time.Minute)
	f.submit("gang", graph.Step{Count: 6, Gang: true, Estimate: 10 * time.Second, Needs: whole}, 10*time.Second)
	if n := f.quarantined(); n != 8 {
		t.Fatalf("%d of 24 workers are quarantined", n)
	}
	if idle := f.longestIdle("gang", 8*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v, with 11 of 24 workers in use", idle)
	}
}

// TestIdleJobBorrowsForOneTaskOnly guards against a job of many tasks that takes all the room reserved for others.
func TestIdleJobBorrowsForOneTaskOnly(t *testing.T) {
	f := newListingFleet(8, 500*time.Millisecond, deployedFeatures...)
	whole := f.submitWideGang()
	f.submit("tasks", graph.Step{Count: 6, Estimate: 30 * time.Second, Needs: whole}, 30*time.Second)
	f.pass(10 * time.Second)
	if n := f.starts["tasks"]; n != 1 {
		t.Errorf("%d of 6 tasks started in the room reserved for another job, want 1", n)
	}
}

// TestRunsWithoutOutcomeKeepNoPoolBusy guards against a gang that waits for one rack without end, as workers that answer no order hold room in which nothing runs.
func TestRunsWithoutOutcomeKeepNoPoolBusy(t *testing.T) {
	const workers, silent = 24, 15
	s := newSim(workers, graph.Resources{MilliCPU: 16000, Accelerators: 8}, loadPolicy(), t.Fatalf, deployedFeatures...)
	for i, w := range s.workers {
		if w.ignoresOrders = i%2 == 0 || i < 6; w.ignoresOrders {
			w.info.Labels = []string{"silent"}
		}
	}
	s.runUntil(time.Second)
	held := crashJob("held", silent, 8, false)
	held.Steps[0].RequiredLabel = "silent"
	s.submit(held)
	s.runUntil(2 * time.Second)
	s.cancel(held)
	tight := crashJob("tight", 2, 8, true)
	tight.Steps[0].SameRack = true
	s.submit(tight)
	s.runUntil(5 * time.Second)
	if tight.lastStartAt == 0 {
		t.Errorf("not started within 3s, though nothing runs on any of %d workers", workers)
	}
}

// TestTakeoverBeginsNoIdleWaitAnew guards against a gang that waits for one rack for longer than callers expect, as each owner begins its wait on an idle pool anew, and against one that is spread before most workers have reported.
func TestTakeoverBeginsNoIdleWaitAnew(t *testing.T) {
	const mostIdle = 3 * time.Second
	for _, waited := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		s := newSim(8, graph.Resources{MilliCPU: 16000, Accelerators: 8}, loadPolicy(), t.Fatalf, deployedFeatures...)
		for i, w := range s.workers {
			w.info.Labels = []string{fmt.Sprintf("l%d", i)}
		}
		s.runUntil(time.Second)
		for i := 0; i < len(s.workers); i += 2 {
			small := crashJob(graph.JobID(fmt.Sprint("small", i)), 1, 1, false)
			small.Steps[0].RequiredLabel, small.Steps[0].Estimate, small.units[0][0].work = fmt.Sprintf("l%d", i), time.Minute, time.Minute
			s.submit(small)
		}
		s.runUntil(2 * time.Second)
		tight := crashJob("tight", 2, 8, true)
		tight.Steps[0].SameRack = true
		s.submit(tight)
		s.runUntil(s.now + waited)
		s.takeOver()
		s.runUntil(tight.submitted + mostIdle + simStep)
		reported := s.termStart + 300*time.Millisecond + preemptionDelay
		if tight.firstStepStartedAt == 0 || tight.firstStepStartedAt < reported {
			t.Errorf("taken over after %v: started at %v, submitted at %v; workers have reported at %v", waited, tight.firstStepStartedAt, tight.submitted, reported)
		}
	}
}
