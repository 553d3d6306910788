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

// TestNextOwnersStopOfAStartInDoubtIsSettled shows that the stop which the next
// owner orders, while an earlier owner's start gets no answer, is settled under
// the next owner's epoch: it would wait for the outcome for ever.
func TestNextOwnersStopOfAStartInDoubtIsSettled(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	runner := standin.NewRunner()
	k := New(runner, NewFinder(noRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.Incarnation()}
	k.Heartbeat(worker, 1)
	ctx := context.Background()
	orders := func(epoch uint64, change func(*rpc.WorkerOrders)) {
		o := &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation()}
		change(o)
		if err := k.obey(ctx, o); err != nil {
			t.Fatal(err)
		}
	}
	ref := rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)
	runner.SetFaults(standin.RunnerFaults{DropCalls: true})
	orders(1, func(o *rpc.WorkerOrders) { o.Starts = []*rpc.StartTask{{Ref: ref}} })
	kernel.Sleep(ctx, orderTimeout/2)
	orders(2, func(o *rpc.WorkerOrders) { o.Stops = []*rpc.TaskRef{ref} })
	kernel.Sleep(ctx, orderTimeout)
	runner.SetFaults(standin.RunnerFaults{})

	bound, cancel := context.WithTimeout(ctx, (startTries+1)*orderTimeout+10*settleRetry)
	defer cancel()
	settled := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.absent) > 0 && k.absent[0].Ref.Run == ref.Run && len(k.orders) == 0
	}
	if !kernel.Until(bound, 10*time.Millisecond, settled) {
		t.Fatalf("not settled: absent %v, orders %v", k.absent, k.orders)
	}
}
