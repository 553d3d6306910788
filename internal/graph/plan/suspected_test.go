package plan

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// next returns a harness of the next term, with a job and its progress as the table has it.
func (h *harness) next(id graph.JobID) *harness {
	h.t.Helper()
	row, err := json.Marshal(h.core.jobs[id].progress())
	if err != nil {
		h.t.Fatal(err)
	}
	var p graph.Progress
	if err := json.Unmarshal(row, &p); err != nil {
		h.t.Fatal(err)
	}
	n := newHarness(h.t)
	n.step(JobSubmitted{Job: h.core.jobs[id].Job, Progress: &p})
	return n
}

// silenceUntilLost lets the worker of a run answer its agent no more until its lease is over.
func (h *harness) silenceUntilLost(run StartRun) {
	h.t.Helper()
	silent := WorkerReport{Worker: h.core.workers[run.Worker].info, Session: "s", Number: 2, Accepted: []RunRef{{run.Task, run.Run}}}
	for limit := h.now + 2*simLeaseBound; h.now < limit && !h.core.workers[run.Worker].lost; h.now += 500 * time.Millisecond {
		h.step(silent)
		h.step(Tick{})
	}
	if !h.core.workers[run.Worker].lost {
		h.t.Fatalf("%s is not lost", run.Worker)
	}
}

// TestSilentWorkersFailNoJobAcrossTerms guards against failing a job for workers that were only silent, as the owner changes before they answer again.
func TestSilentWorkersFailNoJobAcrossTerms(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	for n := 1; n <= maxCrashes; n++ {
		h.silenceUntilLost(run)
		if got := h.unitOf("j0").crashes.most(); got != 1 {
			t.Fatalf("%d crashes are counted as the worker falls silent for the %d. time; the job is %s", got, n, h.core.jobs["j0"].state)
		}
		h = h.next("j0")
		again := starts(append(h.report("w0", nil), h.step(Tick{})...))
		if u := h.unitOf("j0"); u.crashes.most() != 0 || len(u.job.suspected) > 0 || len(again) != 1 {
			t.Fatalf("the worker answers for the %d. time: %+v, %d suspected, starts %+v", n, u.crashes, len(u.job.suspected), again)
		}
		run = again[0]
	}
}

// TestSuspectedCrashStandsForNextIncarnation guards against forgetting the crash of a worker that restarts after the owner has changed.
func TestSuspectedCrashStandsForNextIncarnation(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	h.silenceUntilLost(run)
	restarted := h.core.workers["w0"].info
	restarted.StartUnixMillis++
	h = h.next("j0")
	h.step(WorkerReport{Worker: restarted, Session: "s", Number: 1, WorkerResponsive: true})
	h = h.next("j0")
	h.report("w0", nil)
	if got := h.unitOf("j0").crashes.most(); got != 1 {
		t.Errorf("%d crashes are counted", got)
	}
}

// TestSuspectedCrashOfGangIsTakenBackBeforeItsRunEnds guards against counting a silent worker for a gang whose other members still stop as the owner changes.
func TestSuspectedCrashOfGangIsTakenBackBeforeItsRunEnds(t *testing.T) {
	h := newHarness(t)
	run := h.startGang(gangOfTwo())[0]
	other := map[string]string{"w0": "w1", "w1": "w0"}[run.Worker]
	for limit := h.now + 2*simLeaseBound; h.now < limit && !h.core.workers[run.Worker].lost; h.now += 500 * time.Millisecond {
		h.report(other, nil)
		h.step(WorkerReport{Worker: h.core.workers[run.Worker].info, Session: "s", Number: 2, Accepted: []RunRef{{run.Task, run.Run}}})
		h.step(Tick{})
	}
	if u := h.unitOf(run.Task.Job); !u.crashes.inRun() {
		t.Fatalf("no crash in the run: %+v", u.crashes)
	}
	h = h.next(run.Task.Job)
	h.report(run.Worker, nil)
	if u := h.unitOf(run.Task.Job); u.crashes.inRun() || u.crashes.most() != 0 {
		t.Errorf("%+v", u.crashes)
	}
}

// TestCrashesBeyondTheStoredOnesAreNotCounted guards against a count that cannot be taken back, as the row of the job has no room for the worker.
func TestCrashesBeyondTheStoredOnesAreNotCounted(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	u := h.unitOf("j0")
	for i := range graph.MaxSuspectedCrashes {
		h.core.addSuspectedCrash(&suspectedCrash{fmt.Sprint("x", i), "i@1", crashedRun{u, []int{0}}})
	}
	h.silenceUntilLost(run)
	if got := u.crashes.most(); got != 0 || len(u.job.suspected) != graph.MaxSuspectedCrashes {
		t.Errorf("%d crashes are counted, %d suspected", got, len(u.job.suspected))
	}
}
