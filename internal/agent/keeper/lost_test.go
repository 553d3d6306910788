package keeper

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestOnlyBegunRunsOfACrashAreLost guards against blaming a run that never began, or a planned end of the worker, for a crash.
func TestOnlyBegunRunsOfACrashAreLost(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	k := New(standin.NewRunner(), nil, clock, metrics.NewRegistry(), zerolog.Nop())
	beat := func(born int64, draining bool) {
		k.HandleHeartbeat(plan.WorkerInfo{ID: "w", Instance: "i", StartUnixMillis: born, Draining: draining}, uint64(born))
	}
	list := func(running ...graph.RunState) {
		k.applyList(k.target(), external.RunList{Clock: clock(), Running: running})
	}
	ref := func(index int) runRef { return runRef{graph.TaskID{Job: "j", Index: index}, 1} }
	wantLost := func(when string, n int) {
		t.Helper()
		if got := k.lost.recent(clock()); len(got) != n {
			t.Errorf("%s: lost %v, want %d runs", when, got, n)
		}
	}
	beat(1, false)
	list(graph.RunState{Task: ref(0).task, Run: 1})
	k.recordAccepted(ref(1), "i@1")
	k.recordAccepted(ref(0), "i@1")
	beat(2, false)
	wantLost("after a crash", 2)
	k.recordAccepted(ref(2), "i@1")
	wantLost("after the answer to a start that the crashed worker had accepted", 3)
	k.lost = lostRuns{}
	k.recordAccepted(ref(3), "i@2")
	beat(2, true)
	beat(3, false)
	wantLost("after a drain", 0)
	k.recordAccepted(ref(4), "i@3")
	k.HandleWorkerLeft("i")
	beat(4, false)
	wantLost("after an exit", 0)
	beat(5, false)
	wantLost("after a crash without runs", 0)
}
