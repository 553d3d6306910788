package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// racedRunner answers a list late while delay is set.
type racedRunner struct {
	*standin.Runner
	delay   atomic.Bool
	listed  atomic.Int32
	release chan struct{}
}

func (r *racedRunner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	if !r.delay.Load() {
		return r.Runner.Hold(ctx, instance, o)
	}
	o.Wait = 0
	l, err := r.Runner.Hold(ctx, instance, o)
	r.listed.Add(1)
	<-r.release
	return l, err
}

// TestRunOfNextIncarnationIsNotReportedLost guards against a run that is reported lost with the earlier incarnation while it runs on the next one (TWICE).
func TestRunOfNextIncarnationIsNotReportedLost(t *testing.T) {
	clock := ledger.NewMonotonicClock()
	runner := &racedRunner{Runner: standin.NewRunner(), release: make(chan struct{})}
	runner.RunDuration = func(graph.TaskID) time.Duration { return time.Minute }
	k := New(runner, NewOwnerFinder(unavailableRows{}, "all", nil, clock, zerolog.Nop()), clock, metrics.NewRegistry(), zerolog.Nop())
	ctx := context.Background()
	worker := plan.WorkerInfo{ID: "w", Instance: runner.Instance(), StartUnixMillis: runner.StartCount()}
	k.HandleHeartbeat(worker, 1)
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation()})
	if err := k.hold(ctx, 0); err != nil {
		t.Fatal(err)
	}
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: 60000})
	runner.Restart() // the agent does not know yet
	runner.delay.Store(true)
	done := make(chan error)
	go func() { done <- k.hold(ctx, 0) }()
	pollUntil(t, "list", func() bool { return runner.listed.Load() > 0 })
	runner.delay.Store(false)
	k.executeStart(ctx, worker.Incarnation(), 1, 0, &rpc.StartTask{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)})
	close(runner.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if !k.listIsCurrent() {
		t.Skip("nothing is reported yet")
	}
	l := &ownerLink{keeper: k, answers: answerMonitor{clock: k.clock}}
	r := k.nextReport(l, true)
	if runner.Running() > 0 && len(r.Lost) > 0 && len(r.Running) == 0 {
		t.Errorf("reported lost %v and running %v, while %d runs on the worker, incarnation %d", r.Lost, r.Running, runner.Running(), k.worker.StartUnixMillis)
	}
}
