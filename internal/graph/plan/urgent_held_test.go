package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestGuaranteeClaimsNoRoomOfRunsWithoutOutcome guards against a unit within its guarantee that claims the room of runs again and again whose stop has no outcome, and stops no others for it.
func TestGuaranteeClaimsNoRoomOfRunsWithoutOutcome(t *testing.T) {
	const reclaimBound = 2900 * time.Millisecond
	for _, wait := range []time.Duration{0, 3 * time.Second} {
		s := newSim(4, graph.Resources{MilliCPU: 16000, Accelerators: 8}, loadPolicy(), t.Fatalf, deployedFeatures...)
		for _, w := range s.workers[:2] {
			w.ignoresOrders = true
			w.info.Labels = []string{"silent"}
		}
		s.runUntil(time.Second)
		held := crashJob("held", 2, 8, false)
		held.Steps[0].RequiredLabel = "silent"
		s.submit(held)
		long := crashJob("long", 2, 8, false)
		long.Account, long.Priority = "a1", 2
		for _, u := range long.units[0] {
			u.work = time.Minute
		}
		s.submit(long)
		s.runUntil(2 * time.Second)
		s.cancel(held)
		s.runUntil(s.now + wait)
		urgent := crashJob("urgent", 2, 8, true)
		urgent.Priority = 0
		s.submit(urgent)
		s.runUntil(s.now + reclaimBound)
		if urgent.firstStepStartedAt == 0 {
			t.Errorf("%v after the stop without outcome: not started within %v", wait, reclaimBound)
		}
	}
}

// TestLateListsStopNoFurtherVictims guards against an owner that handles reports late and stops more and more runs, as it sees no end of the first.
func TestLateListsStopNoFurtherVictims(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	running := map[string]graph.RunState{}
	for _, id := range []graph.JobID{"j0", "j1"} {
		s := starts(h.submit(id, 8))[0]
		running[s.Worker] = graph.RunState{Task: s.Task, Run: s.Run}
	}
	urgent := *h.core.jobs["j0"].Job
	urgent.ID, urgent.Account, urgent.Priority = "urgent", "a0", 0
	h.now += 2 * preemptionDelay
	listedAt := h.now
	stopped := map[RunRef]bool{}
	pass := func(ev Event) {
		for _, s := range stopsOf(h.step(ev)) {
			stopped[RunRef{s.Task, s.Run}] = true
		}
	}
	report := func(listAge time.Duration) {
		for _, id := range []string{"w0", "w1"} {
			pass(WorkerReport{Worker: h.core.workers[id].info, Session: "s", Running: []graph.RunState{running[id]}, ListAge: listAge, Number: 1, WorkerResponsive: true})
		}
	}
	report(0)
	pass(JobSubmitted{Job: &urgent})
	for end := h.now + 4*h.core.claimTimeout(); h.now < end; h.now += 100 * time.Millisecond {
		report(h.now - listedAt)
		pass(Tick{})
	}
	if len(stopped) != 1 {
		t.Errorf("%d runs stopped by lists that are older than the first stop, want 1", len(stopped))
	}
	for end := h.now + 2*h.core.claimTimeout(); h.now < end; h.now += 100 * time.Millisecond {
		report(0)
		pass(Tick{})
	}
	if len(stopped) != 2 {
		t.Errorf("%d runs stopped by lists that show the first stop without effect, want 2", len(stopped))
	}
}
