package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// orderTimeout is the longest bound on one call with an order.
	orderTimeout = 600 * time.Millisecond
	// startListTimeout bounds the list before a start is sent again, or to a worker that is
	// unresponsive. A sound worker answers within milliseconds.
	startListTimeout = 150 * time.Millisecond
	// settleRetryInterval is the delay between two attempts to settle an order.
	settleRetryInterval = 150 * time.Millisecond
	// slowSettling is the time after which an order that is not settled is reported. The
	// owner repeats it after 5 s.
	slowSettling = 3 * time.Second
)

// longestStart is the longest time that the calls to start a run take. A gang waits three
// seconds for its members.
const longestStart = 2750 * time.Millisecond

// errStartNotSent means that no call to start a run was made, as the worker answered no list.
const errStartNotSent = errors.ConstError("the worker answers no list before the start")

// freshAnswer is the age of the last list up to which a run's first start call is made without
// another one. A worker that is lost meanwhile leaves that call unanswered.
const freshAnswer = 100 * time.Millisecond

// refusingCalls is the number of unanswered start calls of a run from which on its worker counts
// as having refused it.
const refusingCalls = 3

// callTimeouts bound the calls with one order, in turn. A sound worker answers within
// milliseconds, so a call whose answer is lost is repeated soon, and one that is slow gets
// more time later. A gang waits three seconds for its members; a start call for each bound
// and the lists before them fit into that time.
var callTimeouts = [...]time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 450 * time.Millisecond, orderTimeout}

// callTimeout returns the bound on a call with an order after the given number of calls.
func callTimeout(earlier int) time.Duration { return callTimeouts[min(earlier, len(callTimeouts)-1)] }

// order is a start or stop order in progress.
type order struct {
	// stopEpoch is the epoch of the last owner that ordered the run to stop, 0 if
	// none. The stop is executed after the order in progress.
	stopEpoch uint64
}

// beginOrder registers an order as in progress. It returns nil if the run already
// has an order in progress, which then executes the stop as well.
func (k *Keeper) beginOrder(ref runRef, stopEpoch uint64) *order {
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

// finishUnlessStopOrdered ends an order unless an owner with an epoch above
// settledEpoch has ordered the run to stop. It reports whether the order ended.
func (k *Keeper) finishUnlessStopOrdered(ref runRef, o *order, settledEpoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.orders[ref] == o && o.stopEpoch > settledEpoch {
		return false
	}
	k.removeOrder(ref, o)
	return true
}

// removeOrder removes an order. The caller holds the lock.
func (k *Keeper) removeOrder(ref runRef, o *order) {
	if k.orders[ref] == o {
		delete(k.orders, ref)
	}
}

// finishOrder ends an order whose run was never sent to the worker.
func (k *Keeper) finishOrder(ref runRef, o *order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeOrder(ref, o)
}

// settleOrder settles a run for the owner of t and again for each later owner that
// orders the run to stop meanwhile.
func (k *Keeper) settleOrder(ctx context.Context, t callTarget, ref runRef, o *order, reason string) {
	for {
		k.settleRun(ctx, t, ref, reason)
		if ctx.Err() != nil || k.finishUnlessStopOrdered(ref, o, t.epoch) {
			return
		}
		t = k.target()
	}
}

// executeStart starts a run on the incarnation of the worker that the owner of an epoch
// has named, unless another term of the lease has begun since the order. If the call fails
// or its outcome is unknown, it settles the run, so that the owner learns what became of it.
func (k *Keeper) executeStart(ctx context.Context, incarnation string, epoch, leaseTerm uint64, o *rpc.StartTask) {
	task, run := rpc.TaskOf(o.Ref)
	ref := runRef{task, run}
	t := k.target()
	t.leaseTerm = leaseTerm
	if !k.isCurrent(callTarget{incarnation: incarnation, epoch: epoch}) {
		return // settled by the next owner, or reported with the new incarnation
	}
	inProgress := k.beginOrder(ref, 0)
	if inProgress == nil {
		return
	}
	k.awaitAnnouncement(ctx, t)
	if reason := k.refusal(o); reason != "" {
		k.reportAbsent(ref, reason)
		k.finishOrder(ref, inProgress)
		return
	}
	err := k.startWithRetries(ctx, t, o, ref)
	if err == nil {
		k.recordAccepted(ref, t.incarnation)
	}
	if err == nil && k.finishUnlessStopOrdered(ref, inProgress, 0) {
		return
	}
	if err == nil {
		k.settleOrder(ctx, t, ref, inProgress, plan.AbsentStopped)
		return
	}
	k.log.Info().Err(err).Str("job", string(task.Job)).Str("task", task.String()).Uint64("run", run).Msg("start order failed or has unknown outcome")
	reason := err.Error()
	if errors.Is(err, errStartNotSent) {
		k.reportAbsent(ref, reason) // no other process of the agent gets this order
		if k.finishUnlessStopOrdered(ref, inProgress, 0) {
			return
		}
	}
	if errors.Is(err, errStopOrdered) {
		reason = plan.AbsentStopped
	}
	k.settleOrder(ctx, t, ref, inProgress, reason)
}

// recordAccepted records that an incarnation of the worker has accepted a run.
func (k *Keeper) recordAccepted(ref runRef, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.worker.Incarnation() != incarnation:
		k.lost.add(k.clock(), nil, map[runRef]bool{ref: true})
	case k.runs.Presence(ref.task, ref.run) != graph.PresenceListed:
		k.accepted[ref] = true
	}
}

// startWithRetries returns nil once the worker has accepted or listed the run. It makes no
// further attempt after the worker's incarnation or its owner has changed. A worker that has left
// several calls unanswered has not started the run, though its stop was ordered meanwhile.
func (k *Keeper) startWithRetries(ctx context.Context, t callTarget, o *rpc.StartTask, ref runRef) (err error) {
	startRun := external.StartRun{Task: ref.task, Run: ref.run, Spec: o.Spec, Checkpoint: o.Checkpoint}
	begun := k.clock()
	if !k.awaitHigherEpoch(ctx, t, begun+longestStart) {
		return errors.Annotate(errStartNotSent, "an acknowledgement has no answer, and the owner names no epoch")
	}
	if k.listUntilAnswered(ctx, t, ref) {
		return nil
	}
	if !k.answeredLately() {
		return errors.Trace(errStartNotSent)
	}
	for attempt := range callTimeouts {
		if attempt > 0 && k.clock()-begun+callTimeout(attempt) > longestStart {
			return err
		}
		if (attempt > 0 || !k.extendsLease() || k.ackOverdue()) && k.listBeforeStart(ctx, t, ref) {
			return nil
		}
		called := k.callStart(ctx, t, startRun, rpc.CapacityOf(o), callTimeout(attempt), begun+longestStart)
		if errors.Is(called, errStartNotSent) && attempt > 0 {
			return err
		}
		if errors.Is(called, errStopOrdered) && attempt >= refusingCalls {
			return err
		}
		if err = called; !errors.Is(err, external.ErrUnavailable) {
			return err
		}
	}
	return err
}

// callStart makes one call to start a run, whose placement rests on the given capacity of the
// worker. It fails without a call if that may not be made by latest.
func (k *Keeper) callStart(ctx context.Context, t callTarget, o external.StartRun, capacity graph.Resources, timeout, latest time.Duration) (err error) {
	ref := runRef{o.Task, o.Run}
	for {
		o.Epoch, o.Deadline, err = k.beginStart(t, ref, capacity)
		if errors.Is(err, errAckUnanswered) {
			if !k.awaitHigherEpoch(ctx, t, latest) {
				return errors.Annotate(errStartNotSent, err.Error())
			}
			continue
		}
		if err != nil {
			return err
		}
		t.epoch = o.Epoch
		if err = k.sendStart(ctx, t, o, timeout); !k.raisedMeanwhile(t, err) {
			break
		}
	}
	if err == nil {
		k.recordCallUnder(t)
	}
	if !errors.Is(err, external.ErrUnavailable) {
		metrics.GetOrRegisterCounter("keeper.starts", k.registry).Inc(1)
	}
	return err
}

func (k *Keeper) sendStart(ctx context.Context, t callTarget, o external.StartRun, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := k.runner.Start(ctx, t.instance, o)
	k.endStart(runRef{o.Task, o.Run}, err)
	return err
}

// callStop makes one call to stop a run.
func (k *Keeper) callStop(ctx context.Context, t callTarget, ref runRef, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		t = k.underNewestEpoch(t)
		_, err := k.runner.Stop(ctx, t.instance, external.StopRun{Task: ref.task, Run: ref.run, Epoch: t.epoch})
		if !k.raisedMeanwhile(t, err) {
			return err
		}
	}
}

// underNewestEpoch returns t with the newest epoch of its incarnation, while t is current.
func (k *Keeper) underNewestEpoch(t callTarget) callTarget {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current(t) {
		t.epoch = k.epoch
	}
	return t
}

// raisedMeanwhile reports whether the worker has refused a call as it has executed one under
// the epoch to which its incarnation was raised meanwhile.
func (k *Keeper) raisedMeanwhile(t callTarget, err error) bool {
	return errors.Is(err, external.ErrRunStaleEpoch) && k.underNewestEpoch(t).epoch > t.epoch
}

// refusal returns the reason to refuse a start by what the worker has said of itself since
// the owner decided, or "". Workers need not check their capacity themselves.
func (k *Keeper) refusal(o *rpc.StartTask) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refusalOf(rpc.CapacityOf(o))
}

// refusalOf is refusal for a placement that rests on the given capacity of the worker. The
// caller holds the lock.
func (k *Keeper) refusalOf(capacity graph.Resources) string {
	switch {
	case k.worker == nil || k.worker.Draining || k.leaving():
		return "worker drains"
	case k.unannounced:
		return "worker has restarted and not told its kind"
	case !capacity.Fits(k.worker.Capacity):
		return "capacity has shrunk"
	}
	return ""
}

// reportAbsent queues a report that the worker does not have the run and will not
// start it.
func (k *Keeper) reportAbsent(ref runRef, reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.addAbsent(ref, reason)
}

// addAbsent is reportAbsent for a caller that holds the lock.
func (k *Keeper) addAbsent(ref runRef, reason string) {
	k.absent = append(k.absent, &rpc.AbsentTask{Ref: rpc.TaskRefOf(ref.task, ref.run), Reason: reason})
	wake(k.wakeSend)
}

// executeStop stops a run and settles it. If the run has an order in progress, the
// stop is left to that order.
func (k *Keeper) executeStop(ctx context.Context, epoch uint64, r *rpc.TaskRef) {
	task, run := rpc.TaskOf(r)
	ref := runRef{task, run}
	inProgress := k.beginOrder(ref, epoch)
	if inProgress == nil {
		return
	}
	k.settleOrder(ctx, k.target(), ref, inProgress, plan.AbsentStopped)
}

// settleRun stops a run, which also prevents a delayed start call from starting it, and then
// awaits what a later list shows of it. A list without an answer does not make it stop the run
// again: both calls would have to be answered in turn, by a worker that answers few. A worker
// may answer no stop at all: a run is settled too once it has ended, or can't begin any more.
func (k *Keeper) settleRun(ctx context.Context, t callTarget, ref runRef, reason string) {
	s := settling{ref: ref, since: k.clock()}
	attempt, stopped := 0, false
	for ; ctx.Err() == nil && k.isCurrent(t); kernel.Sleep(ctx, settleRetryInterval) {
		var err error
		if !stopped {
			err = k.callStop(ctx, t, ref, callTimeout(attempt))
			if errors.Is(err, external.ErrRunStaleEpoch) || errors.Is(err, external.ErrRunWrongInstance) {
				return // left to the next owner or the new incarnation
			}
			stopped = err == nil
			attempt++
		}
		if !stopped && k.recordWithoutStop(t, ref, reason) {
			return
		}
		if stopped {
			if err = k.hold(ctx, 0); err == nil {
				k.awaitPresence(ctx, t, &s, reason)
				return
			}
		}
		k.reportSlow(&s, err)
	}
}

// awaitPresence waits until a list shows a run that was stopped, or a complete list does
// not, in which case the run is reported absent. The loop of Hold calls makes the lists:
// one that is cut is followed by others as the owner acknowledges ends.
func (k *Keeper) awaitPresence(ctx context.Context, t callTarget, s *settling, reason string) {
	for ctx.Err() == nil && !k.recordPresence(t, s.ref, reason) {
		k.reportSlow(s, errListCut)
		kernel.Sleep(ctx, settleRetryInterval)
	}
}

// errListCut means that the worker's lists do not tell of a run.
const errListCut = errors.ConstError("the worker's lists are cut and do not show the run")

// settling is an order that is being settled.
type settling struct {
	ref      runRef
	since    time.Duration
	reported bool
}

// reportSlow reports once that an order is not settled after slowSettling.
func (k *Keeper) reportSlow(s *settling, err error) {
	if s.reported || k.clock()-s.since < slowSettling {
		return
	}
	s.reported = true
	k.log.Warn().Err(err).Str("job", string(s.ref.task.Job)).Str("task", s.ref.task.String()).Uint64("run", s.ref.run).
		Dur("after_ms", k.clock()-s.since).Msg("order of a run is not settled")
}

// recordPresence reports a run absent if the last list under t shows that. It returns false
// if that list does not tell.
func (k *Keeper) recordPresence(t callTarget, ref runRef, reason string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.current(t) {
		return true // left to the next owner or the new incarnation
	}
	switch k.runs.Presence(ref.task, ref.run) {
	case graph.PresenceUnknown:
		return false
	case graph.PresenceAbsent:
		k.addAbsent(ref, reason)
	}
	return true
}

// recordWithoutStop reports whether the last list under t settles a run whose stop was not
// answered: the run has ended, or is neither there nor can begin any more. It reports the latter
// absent.
func (k *Keeper) recordWithoutStop(t callTarget, ref runRef, reason string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.current(t) || k.listedEpoch < k.validFrom {
		return false
	}
	switch k.runs.Presence(ref.task, ref.run) {
	case graph.PresenceListed:
		return !k.listedRunning(ref)
	case graph.PresenceAbsent:
		if k.sent.closeIfOver(ref, k.runs, k.listedEpoch) {
			k.addAbsent(ref, reason)
			return true
		}
	}
	return false
}

// isCurrent reports whether the worker's incarnation is still that of t, and the epoch of t one
// that its owner has named for it.
func (k *Keeper) isCurrent(t callTarget) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current(t)
}

// current is isCurrent for a caller that holds the lock.
func (k *Keeper) current(t callTarget) bool {
	return k.worker != nil && k.worker.Incarnation() == t.incarnation && t.epoch >= k.validFrom
}

// listsRun reports whether the current list under t shows a run.
func (k *Keeper) listsRun(t callTarget, ref runRef) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current(t) && k.runs.Presence(ref.task, ref.run) == graph.PresenceListed
}

// listedRunning reports whether the worker lists a run as running. The caller holds the
// lock.
func (k *Keeper) listedRunning(ref runRef) bool {
	for _, r := range k.runs.Running {
		if r.Task == ref.task && r.Run == ref.run {
			return true
		}
	}
	return false
}
