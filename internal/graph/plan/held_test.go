package plan

import (
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// heldNotices steps the clock and returns the details of the units reported as held.
func heldNotices(h *harness, d time.Duration, running ...graph.RunState) []string {
	var out []string
	for end := h.now + d; h.now < end; {
		h.now += 500 * time.Millisecond
		h.report("w0", running)
		for _, a := range h.core.Step(h.now, Tick{}) {
			if n, ok := a.(Notice); ok && n.Reason == ReasonUnitHeld {
				out = append(out, n.Detail)
			}
		}
	}
	return out
}

// TestHeldUnitIsReportedOnce guards against a unit that stands still without a line that
// tells why, and against a line for each tick.
func TestHeldUnitIsReportedOnce(t *testing.T) {
	t.Run("unsaved", func(t *testing.T) {
		h := newHarness(t)
		h.report("w0", nil)
		h.core.Step(h.now, JobSubmitted{Job: &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2,
			Steps: []graph.Step{{Count: 1, Needs: graph.Resources{Accelerators: 2}, Estimate: time.Second}}}})
		want(t, heldNotices(h, 3*heldAfter), "placed for 4.5s; save 1 has no answer; no end of 1 of 1 members: ", " on w0 (start not sent)")
	})
	t.Run("stopping", func(t *testing.T) {
		h := newHarness(t)
		h.report("w0", nil)
		started := starts(h.submit("j0", 2))
		u := h.unitOf("j0")
		u.history.stopFor(string(ReasonPreempted) + " for j1")
		h.core.stopRun(u)
		running := graph.RunState{Task: started[0].Task, Run: started[0].Run}
		want(t, heldNotices(h, 3*heldAfter, running), "stopping for 4.5s (preempted for j1); no end of 1 of 1 members: "+started[0].Task.String(), "stop sent")
	})
	t.Run("paused", func(t *testing.T) {
		h := newHarness(t)
		h.report("w0", nil)
		h.core.handle(JobSubmitted{Job: &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: "other", Priority: 1, MaxAttempts: 2, Stretch: 2,
			Steps: []graph.Step{{Count: 1, Needs: graph.Resources{Accelerators: 2}, Estimate: time.Second}}}})
		u := h.unitOf("j0")
		u.notBefore = time.Minute
		want(t, heldNotices(h, 3*heldAfter), "waiting for 4.5s; not placed for 55")
	})
	t.Run("running", func(t *testing.T) {
		h := newHarness(t)
		h.report("w0", nil)
		s := starts(h.submit("j0", 8))[0]
		h.submit("j1", 8) // waits while the fleet is in use
		want(t, heldNotices(h, 2*heldAfter, graph.RunState{Task: s.Task, Run: s.Run}))
	})
}

// want checks that there is one text, with all parts, or none without parts.
func want(t *testing.T, got []string, parts ...string) {
	t.Helper()
	if len(got) != min(1, len(parts)) {
		t.Fatalf("got %q, want %q", got, parts)
	}
	for _, p := range parts {
		if !strings.Contains(got[0], p) {
			t.Errorf("%q lacks %q", got[0], p)
		}
	}
}
