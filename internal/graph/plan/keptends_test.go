package plan

import (
	"strings"
	"testing"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// endOfUnreadable returns an owner with an end of the given kind of job "odd" on w0, and the ends that it saves.
func endOfUnreadable(t *testing.T, kind graph.EndKind) (*harness, SaveEnds) {
	t.Helper()
	h := newHarness(t)
	h.step(JobUnreadable{Job: "odd"})
	h.report("w0", nil)
	saved, ok := first[SaveEnds](h.report("w0", nil, graph.RunEnd{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: kind}))
	if !ok || len(saved.Ends) != 1 {
		t.Fatalf("saved %+v", saved)
	}
	return h, saved
}

// TestStoredEndOfUnreadableJobIsAcknowledged guards against ends that hold back others although they are stored, and against ones that are acknowledged while the table rejects them.
func TestStoredEndOfUnreadableJobIsAcknowledged(t *testing.T) {
	for _, rejected := range []bool{true, false} {
		h, saved := endOfUnreadable(t, graph.EndDone)
		a, ok := first[AcknowledgeEnds](h.step(EndsSaved{Job: "odd", Number: saved.Number, Rejected: rejected}))
		if ok == rejected || ok && a.Number != 1 {
			t.Errorf("rejected %v: acknowledged %v, %+v", rejected, ok, a)
		}
	}
}

// TestNextOwnerKnowsEndsOfUnreadableJob guards against a done task that starts again under an owner after the one that acknowledged its end.
func TestNextOwnerKnowsEndsOfUnreadableJob(t *testing.T) {
	for _, repairedFirst := range []bool{true, false} {
		_, saved := endOfUnreadable(t, graph.EndDone)
		next := newHarness(t)
		odd := unreadableJob()
		if repairedFirst {
			odd.Ends = saved.Ends
		} else {
			next.step(JobUnreadable{Job: "odd", Ends: saved.Ends})
		}
		next.report("w0", nil)
		s := starts(append(next.step(odd), next.report("w0", nil)...))
		if status, _ := next.core.JobStatus("odd"); len(s) > 0 || status.State != graph.Completed {
			t.Errorf("repaired first %v: %s, %d starts", repairedFirst, status.State, len(s))
		}
	}
}

// TestEndOfUnreadableJobOutlivesItsWorker guards against an end that the owner has seen and forgets as the worker starts again.
func TestEndOfUnreadableJobOutlivesItsWorker(t *testing.T) {
	h, _ := endOfUnreadable(t, graph.EndDone)
	info := h.core.workers["w0"].info
	info.StartUnixMillis++
	h.step(WorkerReport{Worker: info, Session: "s2", Number: 1, WorkerResponsive: true})
	h.step(unreadableJob())
	if status, _ := h.core.JobStatus("odd"); status.State != graph.Completed {
		t.Errorf("the job is %s", status.State)
	}
}

// TestKeptEndsAreBounded guards against ends of one job that do not fit into a row.
func TestKeptEndsAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 2000 {
		h.core.keepEnd(graph.RunEnd{Task: graph.TaskID{Job: "odd", Index: i}, Run: uint64(i), Kind: graph.EndStopped, Checkpoint: strings.Repeat("c", 1+i%(2*graph.MaxCheckpointBytes))})
	}
	k := h.core.keptEnds["odd"]
	if k.bytes > maxKeptBytes || len(k.ends) < maxKeptBytes/(keptEndBytes+graph.MaxCheckpointBytes) {
		t.Errorf("%d ends of %d bytes", len(k.ends), k.bytes)
	}
}
