package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

func (f *listingFleet) quarantined() int {
	n := 0
	for _, w := range f.core.sortedWorkers {
		if w.failures.Quarantined(f.core.now) {
			n++
		}
	}
	return n
}

// TestUnitThatFailsOnSeveralWorkersQuarantinesNone guards against quarantining sound workers for what a task does wherever it runs.
func TestUnitThatFailsOnSeveralWorkersQuarantinesNone(t *testing.T) {
	f := newListingFleet(6, time.Second)
	workers := f.core.sortedWorkers
	unit := func(id graph.JobID) *unit {
		return newJob(&graph.Job{ID: id, Steps: []graph.Step{{Count: 1}}}).units[0]
	}
	bad, other, third := unit("bad"), unit("other"), unit("third")
	f.core.recordFailure(workers[0], bad, 0)
	f.core.recordFailure(workers[0], other, 0)
	if f.quarantined() != 1 {
		t.Fatal("two units that failed there only do not quarantine the worker")
	}
	f.core.recordFailure(workers[1], bad, 0)
	if f.quarantined() != 0 {
		t.Error("the worker is still quarantined after one of the units failed elsewhere too")
	}
	f.core.recordFailure(workers[1], third, 0)
	if f.quarantined() != 0 {
		t.Error("the second worker is quarantined with a unit that failed on the first one")
	}
}

// TestStandingTasksQuarantineNoWorker guards against workers without work because tasks that stand still wherever they run have quarantined them.
func TestStandingTasksQuarantineNoWorker(t *testing.T) {
	f := newListingFleet(4, time.Second, deployedFeatures...)
	for i := range 3 {
		id := graph.JobID(fmt.Sprint("stuck", i))
		f.stuckAt[id] = 5 * time.Second
		f.submit(id, graph.Step{Count: 3, Estimate: 10 * time.Second}, 10*time.Second)
	}
	f.pass(2 * time.Minute) // each has stood still on several workers
	for range 600 {
		short := f.submit(graph.JobID(fmt.Sprint("short", f.now)), graph.Step{Count: 4, MaxPerWorker: 1, Estimate: time.Second}, time.Second)
		f.pass(5 * time.Second)
		if f.quarantined() > 0 || short.state != graph.Completed {
			t.Fatalf("at %v: %d workers quarantined, a short job on all workers is %q", f.now, f.quarantined(), short.state)
		}
	}
}

// TestPoolIsNeverWhollyQuarantined guards against a pool that is out of service because many runs stand still at once on all of its workers.
func TestPoolIsNeverWhollyQuarantined(t *testing.T) {
	const workers = 6
	f := newListingFleet(workers, time.Second)
	for i := range 2 * workers {
		f.submit(graph.JobID(fmt.Sprint("j", i)), graph.Step{Count: 1, Estimate: 20 * time.Second, Needs: graph.Resources{Accelerators: 4}}, 20*time.Second)
	}
	f.pass(5 * time.Second)
	for _, w := range f.workers {
		w.speed = 0
	}
	most := 0
	for range 60 {
		f.pass(time.Second)
		most = max(most, f.quarantined())
	}
	if most > workers/maxQuarantined {
		t.Errorf("%d of %d workers were quarantined at a time", most, workers)
	}
	for _, w := range f.core.sortedWorkers[:2] {
		w.failures.Record(f.core.now, nil)
		w.failures.Record(f.core.now, &unit{})
	}
	f.workers = f.workers[:5]
	f.step(SessionClosed{Worker: "w5", Session: "s"})
	f.pass(time.Second)
	if n := f.quarantined(); n > 1 {
		t.Errorf("%d of 5 workers are quarantined", n)
	}
}

// longestIdle returns the longest time in which a job had no run while time passed.
func (f *listingFleet) longestIdle(id graph.JobID, d time.Duration) time.Duration {
	longest, since := time.Duration(0), f.now
	for end := f.now + d; f.now < end; f.pass(f.interval) {
		if len(f.core.jobs[id].units[0].members) > 0 {
			since = f.now
		}
		longest = max(longest, f.now-since)
	}
	return longest
}

// TestFailuresLeaveNoUnitWithoutWorkers guards against accepted work that waits while the only workers for it are idle, because they count as failing.
func TestFailuresLeaveNoUnitWithoutWorkers(t *testing.T) {
	const mostIdle = 3 * time.Second
	whole := graph.Resources{Accelerators: 8}
	cases := map[string]func(f *listingFleet){
		"task that stood still on the only worker with its label": func(f *listingFleet) {
			f.workers[0].info.Labels = []string{"x"}
			f.pass(f.interval)
			f.stuckAt["j"] = time.Second
			f.submit("j", graph.Step{Count: 1, RequiredLabel: "x", Estimate: 10 * time.Second}, 10*time.Second)
		},
		"last attempt": func(f *listingFleet) {
			for _, w := range f.core.sortedWorkers {
				f.core.recordFailure(w, &unit{}, 0)
			}
			f.submit("j", graph.Step{Count: 1, Estimate: time.Minute}, time.Minute)
			f.core.jobs["j"].units[0].failures = 1
			f.core.stopRun(f.core.jobs["j"].units[0])
			f.worker("w0").end(graph.EndStopped, func(*listedRun) bool { return true })
		},
		"gang on all workers": func(f *listingFleet) {
			w := f.core.sortedWorkers[0]
			f.core.recordFailure(w, &unit{job: newJob(&graph.Job{})}, 0)
			f.core.recordFailure(w, &unit{job: newJob(&graph.Job{})}, 0)
			f.submit("j", graph.Step{Count: 3, Gang: true, Estimate: time.Minute, Needs: whole}, time.Minute)
		},
	}
	for name, begin := range cases {
		f := newListingFleet(3, 500*time.Millisecond, deployedFeatures...)
		begin(f)
		if idle := f.longestIdle("j", 30*time.Second); idle > mostIdle {
			t.Errorf("%s: nothing runs for %v", name, idle)
		}
	}
}

// TestWorkersThatFailDifferentTasksOfGangsAreQuarantined guards against faulty workers that get work for ever, as the units that they fail are gangs on several of them.
func TestWorkersThatFailDifferentTasksOfGangsAreQuarantined(t *testing.T) {
	f := newListingFleet(8, time.Second)
	workers := f.core.sortedWorkers
	for i := range 3 {
		gang := newJob(&graph.Job{ID: graph.JobID(fmt.Sprint("gang", i)), Steps: []graph.Step{{Count: 4, Gang: true}}}).units[0]
		f.core.recordFailure(workers[0], gang, 0)
		f.core.recordFailure(workers[1], gang, 1) // in the next run
	}
	if n := f.quarantined(); n != 2 {
		t.Errorf("%d workers are quarantined, each of two failed runs of three gangs", n)
	}
}

// TestRunBegunBeforeFailuresLiftsNoQuarantine guards against tasks that are given to a worker which fails each start, as it still finishes what it had begun before.
func TestRunBegunBeforeFailuresLiftsNoQuarantine(t *testing.T) {
	for _, begunBefore := range []bool{true, false} {
		h := newHarness(t)
		for _, id := range []string{"w0", "w1", "w2"} {
			h.report(id, nil)
		}
		w := h.core.workers["w0"]
		fail := func() {
			for range 3 {
				h.core.recordFailure(w, &unit{job: newJob(&graph.Job{})}, 0)
			}
		}
		if !begunBefore {
			fail()
			w.failures.EndQuarantine() // as it does after some time
		}
		h.now = time.Second
		s := starts(h.submit("j", 1))[0]
		h.now = 2 * time.Second
		h.step(Tick{})
		if begunBefore {
			fail()
		}
		h.report(s.Worker, nil, graph.RunEnd{Number: 1, Task: s.Task, Run: s.Run, Kind: graph.EndDone})
		if s.Worker != "w0" || w.failures.Quarantined(h.now) != begunBefore || (w.failures.Count() > 0) != begunBefore {
			t.Errorf("begun before the failures: %v; done on %s; w0 quarantined %v with %d failures", begunBefore, s.Worker, w.failures.Quarantined(h.now), w.failures.Count())
		}
	}
}
