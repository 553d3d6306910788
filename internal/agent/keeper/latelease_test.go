package keeper

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestLateLeaseExtendsNoNextIncarnation guards against runs that outlive the lease which the owner knows, as a lease meant for the earlier incarnation is executed on the next one.
func TestLateLeaseExtendsNoNextIncarnation(t *testing.T) {
	const late, short, long, epoch = 700 * time.Millisecond, 6 * time.Second, 60 * time.Second, 2 // the owner gives each incarnation a higher epoch
	k, runner, worker, _ := lateAckKeeper(t, 0)
	k.mu.Lock()
	k.lease.recordReport(1, k.clock())
	k.mu.Unlock()
	runner.SetFaults(standin.RunnerFaults{HoldDelay: late})
	k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: 1, LeaseMs: long.Milliseconds()})
	pollUntil(t, "a call with the lease", func() bool { return runner.latest.Load() > int64(long/2) })
	runner.SetFaults(standin.RunnerFaults{})
	worker = runner.restartUnder(k, worker)
	k.awaitList(t)
	k.mu.Lock()
	k.lease.recordReport(2, k.clock())
	k.mu.Unlock()
	k.order(t, &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation(), GrantedBeat: 2, LeaseMs: short.Milliseconds()})
	pollUntil(t, "the lease of the next incarnation", func() bool { return runner.LeaseLeft() > 0 })
	time.Sleep(late)
	if left := runner.LeaseLeft(); left > short {
		t.Errorf("its lease ends in %v, granted were %v", left, short)
	}
}
