package plan

import (
	"testing"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestEndUnderAnotherHostNameEndsItsRun guards against a task that runs again although its end was acknowledged, as the worker was reported under another host name.
func TestEndUnderAnotherHostNameEndsItsRun(t *testing.T) {
	for _, kind := range []graph.EndKind{graph.EndDone, graph.EndStopped} {
		h := newHarness(t)
		h.report("w0", nil)
		run := starts(h.submit("j0", 8))[0]
		h.report("w0", []graph.RunState{{Task: run.Task, Run: run.Run}})
		renamed := h.core.workers["w0"].info
		renamed.ID = "other"
		h.step(WorkerReport{Worker: renamed, Session: "s2", Number: 1, WorkerResponsive: true, Ended: []graph.RunEnd{runEnd(run, kind)}})
		j := h.core.jobs["j0"]
		if done := j.state == graph.Completed; done != (kind == graph.EndDone) {
			t.Errorf("end %s: the job is %s", kind, j.state)
		}
		if used := h.core.workers["w0"].used.Accelerators; used != 0 {
			t.Errorf("end %s: %d accelerators of the earlier host are in use", kind, used)
		}
	}
}
