package keeper

import (
	"context"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestStartOverShrunkCapacityIsRefused guards against a start that was on its way when the worker's capacity shrank.
func TestStartOverShrunkCapacityIsRefused(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	runner := standin.NewRunner()
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount(), Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}
	order := func(run uint64) *rpc.WorkerOrders {
		start := plan.StartRun{Task: graph.TaskID{Job: "j"}, Run: run, Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}
		return &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), Starts: []*rpc.StartTask{rpc.StartTaskOf(start)}}
	}
	k.HandleHeartbeat(worker, 1)
	worker.Capacity.Accelerators = 4
	<-k.wakeSend
	k.HandleHeartbeat(worker, 2)
	select {
	case <-k.wakeSend:
	default:
		t.Error("the change of the capacity is not reported at once")
	}
	if err := k.applyOrders(context.Background(), order(1)); err != nil {
		t.Fatal(err)
	}
	bound, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	refused := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.absent) == 1 && k.absent[0].Reason == "capacity has shrunk" && len(k.orders) == 0
	}
	if !kernel.PollUntil(bound, 10*time.Millisecond, refused) || len(runner.StartedTasks()) != 0 {
		t.Fatalf("not refused: absent %v, started %v", k.absent, runner.StartedTasks())
	}
	worker.Capacity.Accelerators = 8
	k.HandleHeartbeat(worker, 3)
	if reason := k.refusal(order(2).Starts[0]); reason != "" {
		t.Fatalf("refused although the capacity has grown again: %s", reason)
	}
}
