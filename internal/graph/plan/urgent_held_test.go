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
