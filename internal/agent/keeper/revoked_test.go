package keeper

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestNoStartIsRepeatedToDrainingWorker guards against a start that is sent again after the worker's draining was acknowledged (DRAIN).
func TestNoStartIsRepeatedToDrainingWorker(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true}) // neither starts nor lists are answered
	k.startAt(t, runner, worker)
	worker.Draining, worker.DrainRemaining = true, 5*time.Second
	k.HandleHeartbeat(worker, 2)
	at, before := time.Now(), runner.starts.Load()
	last := time.Duration(0)
	n := before
	for time.Since(at) < 3*time.Second {
		if now := runner.starts.Load(); now > n {
			n, last = now, time.Since(at)
		}
		time.Sleep(time.Millisecond)
	}
	if n > before {
		t.Errorf("%d start calls after the heartbeat that says draining, the last %v after it (drain_ms is 2000)", n-before, last)
	}
}

// TestStartIsNotRepeatedAfterItsStopIsOrdered guards against a task that starts although its stop was ordered before the call (UNASKED).
func TestStartIsNotRepeatedAfterItsStopIsOrdered(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.dropStarts.Store(5)
	k.startAt(t, runner, worker)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Stops: []*rpc.TaskRef{ref}})
	stoppedAt, before := time.Now(), runner.starts.Load()
	ran := time.Duration(0)
	for time.Since(stoppedAt) < 3*time.Second {
		if ran == 0 && runner.Running() > 0 {
			ran = time.Since(stoppedAt)
		}
		time.Sleep(time.Millisecond)
	}
	for _, s := range runner.Spans() {
		ran = max(ran, s.Begin.Sub(stoppedAt))
	}
	if n := runner.starts.Load() - before; n > 0 || ran > 0 {
		t.Errorf("%d start calls after the stop was ordered; the task began %v after it", n, ran)
	}
}

// TestStopIsSentSoonThoughItsStartIsUnanswered guards against room that is held for a run whose stop waits for all attempts to start it (LOST).
func TestStopIsSentSoonThoughItsStartIsUnanswered(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	runner.dropStarts.Store(100)
	k.startAt(t, runner, worker)
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Stops: []*rpc.TaskRef{ref}})
	at := time.Now()
	pollUntil(t, "a stop", func() bool { return runner.stoppedAt.Load() > 0 })
	if took := time.Since(at); took > 300*time.Millisecond {
		t.Errorf("the first stop call is made %v after its order, after %d start calls", took, runner.starts.Load())
	}
}

// TestCapacityIsCheckedBeforeEachStartCall guards against a start that is sent again after the worker's capacity has shrunk below it (LIMIT).
func TestCapacityIsCheckedBeforeEachStartCall(t *testing.T) {
	k, runner, worker := orderedKeeper(t)
	worker.Capacity = graph.Resources{MilliCPU: 1000}
	k.HandleHeartbeat(worker, 2)
	runner.dropStarts.Store(3)
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	st := &rpc.StartTask{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)}
	st.MilliCpu = 1000
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000, Starts: []*rpc.StartTask{st}})
	pollUntil(t, "a start", func() bool { return runner.starts.Load() > 0 })
	worker.Capacity = graph.Resources{MilliCPU: 500}
	k.HandleHeartbeat(worker, 3)
	at, before := time.Now(), runner.starts.Load()
	for time.Since(at) < 2*time.Second && runner.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if runner.Running() > 0 {
		t.Errorf("started %v and %d calls after the heartbeat with the smaller capacity", time.Since(at), runner.starts.Load()-before)
	}
}
