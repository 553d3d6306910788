package keeper

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestStartIsNotRepeatedUnderALaterLease guards against a run that begins after its owner has given it up, as an agent that was paused repeats the start under a lease granted since.
func TestStartIsNotRepeatedUnderALaterLease(t *testing.T) {
	for _, lapses := range []bool{false, true} {
		k, runner, worker := orderedKeeper(t)
		k.awaitList(t)
		grant := func(report uint64, length time.Duration, starts ...*rpc.StartTask) {
			k.mu.Lock()
			k.lease.recordReport(report, k.clock())
			k.mu.Unlock()
			k.order(t, &rpc.WorkerOrders{Epoch: 1, Incarnation: worker.Incarnation(), GrantedBeat: report, LeaseMs: length.Milliseconds(), Starts: starts})
		}
		dropCalls(t, runner)
		length := time.Minute
		if lapses {
			length = 200 * time.Millisecond
		}
		grant(1, length, &rpc.StartTask{Ref: rpc.TaskRefOf(graph.TaskID{Job: "j"}, 7)})
		time.Sleep(300 * time.Millisecond)
		runner.SetFaults(standin.RunnerFaults{})
		grant(2, time.Minute)
		time.Sleep(3 * orderTimeout)
		if started := len(runner.StartedTasks()) > 0; started == lapses {
			t.Errorf("lease over in between %v: started %v", lapses, started)
		}
	}
}
