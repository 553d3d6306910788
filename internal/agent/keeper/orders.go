package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// orderTimeout bounds one call with an order. A gang waits three seconds
	// for its members, within which a start is tried startTries times.
	orderTimeout = 600 * time.Millisecond
	startTries   = 3
	// settleRetry is the time between two tries to settle an order.
	settleRetry = 150 * time.Millisecond
)

// order is a start or a stop that is being carried out.
type order struct {
	// stopEpoch is the epoch of the last owner that has ordered the run's stop,
	// 0 for none: it follows the order that is in progress.
	stopEpoch uint64
}

// begin marks an order as being carried out; nil if one for the run is in
// progress already, which then also carries the stop out.
func (k *Keeper) begin(ref runRef, stopEpoch uint64) *order {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o := k.orders[ref]; o != nil {
		o.stopEpoch = max(o.stopEpoch, stopEpoch)
		return nil
	}
	o := &order{stopEpoch: stopEpoch}
	k.orders[ref] = o
	return o
}

// mayEnd ends an order unless an owner with a higher epoch than settled has
// ordered its run's stop.
func (k *Keeper) mayEnd(ref runRef, o *order, settled uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.orders[ref] == o && o.stopEpoch > settled {
		return false
	}
	k.drop(ref, o)
	return true
}

// drop removes an order; the caller holds the lock.
func (k *Keeper) drop(ref runRef, o *order) {
	if k.orders[ref] == o {
		delete(k.orders, ref)
	}
}

// finish ends an order whose run was never handed to the worker.
func (k *Keeper) finish(ref runRef, o *order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(ref, o)
}

// settleAll settles a run for the owner of t, and anew for each later owner that
// orders its stop meanwhile.
func (k *Keeper) settleAll(ctx context.Context, t target, ref runRef, o *order, reason string) {
	for {
		k.settle(ctx, t, ref, reason)
		if ctx.Err() != nil || k.mayEnd(ref, o, t.epoch) {
			return
		}
		t = k.target()
	}
}

// start carries out a start order.
func (k *Keeper) start(ctx context.Context, o *rpc.StartTask) {
	task, run := rpc.TaskOf(o.Ref)
	ref := runRef{task, run}
	doing := k.begin(ref, 0)
	if doing == nil {
		return
	}
	if k.draining() {
		k.refused(ref, "worker drains")
		k.finish(ref, doing)
		return
	}
	t := k.target()
	err := k.tryStart(ctx, t, o, ref)
	if err == nil && k.mayEnd(ref, doing, 0) {
		return
	}
	if err == nil {
		k.settleAll(ctx, t, ref, doing, "stopped")
		return
	}
	k.log.Info().Err(err).Str("job", string(task.Job)).Str("task", task.String()).Uint64("run", run).Msg("start refused or in doubt")
	k.settleAll(ctx, t, ref, doing, err.Error())
}

// tryStart returns nil once the worker has the run.
func (k *Keeper) tryStart(ctx context.Context, t target, o *rpc.StartTask, ref runRef) (err error) {
	order := external.StartRun{Task: ref.task, Run: ref.run, Spec: o.Spec, Checkpoint: o.Checkpoint, Deadline: t.deadline, Epoch: t.epoch}
	for range startTries {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err = k.runner.Start(callCtx, t.instance, order)
		cancel()
		if err == nil || !errors.Is(err, external.ErrUnavailable) {
			metrics.GetOrRegisterCounter("keeper.starts", k.registry).Inc(1)
			return err
		}
	}
	return err
}

func (k *Keeper) draining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker == nil || k.worker.Draining || k.leftAt > 0
}

// refused reports a run that never began and never will.
func (k *Keeper) refused(ref runRef, reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.absent = append(k.absent, &rpc.AbsentTask{Ref: rpc.TaskRefOf(ref.task, ref.run), Reason: reason})
	wake(k.wakeSend)
}

// stop carries out a stop order.
func (k *Keeper) stop(ctx context.Context, epoch uint64, r *rpc.TaskRef) {
	task, run := rpc.TaskOf(r)
	ref := runRef{task, run}
	doing := k.begin(ref, epoch)
	if doing == nil {
		return
	}
	k.settleAll(ctx, k.target(), ref, doing, "stopped")
}

// settle stops a run, which also keeps one from beginning that is still on its
// way, and reports it absent unless the worker lists it.
func (k *Keeper) settle(ctx context.Context, t target, ref runRef, reason string) {
	for ctx.Err() == nil && k.same(t) {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := k.runner.Stop(callCtx, t.instance, external.StopRun{Task: ref.task, Run: ref.run, Epoch: t.epoch})
		cancel()
		if errors.Is(err, external.ErrRunStaleEpoch) || errors.Is(err, external.ErrRunWrongInstance) {
			return // the next owner, or the new incarnation, settles it
		}
		if err == nil && k.hold(ctx, 0) == nil {
			if !k.lists(ref) {
				k.refused(ref, reason)
			}
			return
		}
		kernel.Sleep(ctx, settleRetry)
	}
}

// same reports whether the worker and the epoch are still those of t.
func (k *Keeper) same(t target) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker != nil && k.worker.Incarnation() == t.incarnation && k.epoch == t.epoch
}

// lists reports whether the worker runs a run or lists its end.
func (k *Keeper) lists(ref runRef) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.runs.Running {
		if r.Task == ref.task && r.Run == ref.run {
			return true
		}
	}
	for _, e := range k.runs.Ended {
		if e.Task == ref.task && e.Run == ref.run {
			return true
		}
	}
	return false
}
