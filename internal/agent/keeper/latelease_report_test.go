package keeper

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestOwnerLearnsOfLateLeases guards against an owner that counts on a granted lease where a call for an earlier incarnation may have given a longer one.
func TestOwnerLearnsOfLateLeases(t *testing.T) {
	now := time.Hour
	k := New(standin.NewRunner(), nil, func() time.Duration { return now }, metrics.NewRegistry(), zerolog.Nop())
	began := now
	want := func(when string, possible bool, age time.Duration) {
		t.Helper()
		for _, listed := range []bool{false, true} {
			r := k.nextReport(&ownerLink{keeper: k, answers: answerMonitor{clock: k.clock}}, listed)
			if r.LateLease != possible || r.LateLeaseAgeMs != age.Milliseconds() || r.AgentAgeMs != (now-began).Milliseconds() {
				t.Errorf("%s, listed %v: late lease %v of %d ms, agent of %d ms", when, listed, r.LateLease, r.LateLeaseAgeMs, r.AgentAgeMs)
			}
		}
	}
	worker := plan.WorkerInfo{ID: "w", Instance: "i", StartUnixMillis: 1}
	begin := func(instance string, born int64) {
		worker.Instance, worker.StartUnixMillis = instance, born
		k.mu.Lock()
		k.changeWorker(worker)
		k.mu.Unlock()
	}
	list := func(epoch uint64) {
		k.epoch = epoch
		k.applyList(k.target(), external.RunList{Clock: now})
	}
	named := func(epoch uint64) {
		k.epoch = epoch // otherwise the order lists the runs in the background
		k.order(t, &rpc.WorkerOrders{Epoch: epoch, Incarnation: worker.Incarnation()})
	}

	begin("i", 1)
	want("first worker of this process", true, 0)
	list(1)
	now += time.Second
	want("listed before the owner has named an epoch", true, 0)
	named(1)
	list(1)
	now += 2 * time.Second
	want("listed under its epoch", true, 2*time.Second)

	begin("i", 2)
	list(1)
	now += time.Second
	want("next incarnation, listed under the epoch of the earlier one", true, 0)
	named(2)
	want("its epoch has reached no call", true, 0)
	k.recordCallUnder(callTarget{incarnation: worker.Incarnation(), epoch: 2})
	now += time.Second
	want("a start under its epoch was accepted", true, time.Second)

	begin("j", 3)
	want("another name", false, 0)
}
