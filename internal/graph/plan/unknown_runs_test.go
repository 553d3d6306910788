package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestRunOfJobThatIsNotLoadedHoldsItsWorker guards against a start beside a run whose size is not known, which takes a worker that does not guard its capacity over it (LIMIT).
func TestRunOfJobThatIsNotLoadedHoldsItsWorker(t *testing.T) {
	for _, unreadable := range []bool{false, true} {
		h := newHarness(t)
		if unreadable {
			h.step(JobUnreadable{Job: "odd"})
		}
		odd := graph.RunState{Task: graph.TaskID{Job: "odd"}, Run: 5}
		h.report("w0", []graph.RunState{odd})
		if s := starts(h.submit("j0", 1)); len(s) != 0 {
			t.Errorf("unreadable %v: started beside %v, which may use all of the worker: %+v", unreadable, odd.Task, s)
		}
		h.now += time.Second
		if s := starts(h.report("w0", nil)); len(s) != 1 {
			t.Errorf("unreadable %v: not started after %v has gone", unreadable, odd.Task)
		}
	}
}
