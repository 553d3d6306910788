package standin

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestAcknowledgementForgetsNoLaterEnd guards against a stand-in that forgets ends which the platform's workers list.
func TestAcknowledgementForgetsNoLaterEnd(t *testing.T) {
	r := NewRunner()
	r.RunDuration = func(graph.TaskID) time.Duration { return time.Millisecond }
	hold := func(seen uint64) []graph.RunEnd {
		t.Helper()
		list, err := r.Hold(t.Context(), r.Instance(), external.HoldRuns{Epoch: 1, Seen: seen})
		if err != nil {
			t.Fatal(err)
		}
		return list.Ended
	}
	hold(100)
	for run := uint64(1); run <= 2; run++ {
		if _, err := r.Start(t.Context(), r.Instance(), external.StartRun{Task: graph.TaskID{Job: "j"}, Run: run, Epoch: 1, Deadline: time.Hour}); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the end", func() bool { return r.Running() == 0 })
	}
	if ends := hold(0); len(ends) != 2 {
		t.Errorf("ends %v of two runs after an acknowledgement of earlier numbers", ends)
	}
	if ends := hold(1); len(ends) != 1 || ends[0].Number != 2 {
		t.Errorf("ends %v after the first was acknowledged", ends)
	}
	if ends := hold(0); len(ends) != 1 {
		t.Errorf("ends %v, the acknowledged one is back or the other is lost", ends)
	}
}
