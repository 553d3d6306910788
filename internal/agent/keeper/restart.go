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
)

// A worker may start again under its instance name, so that an order that was meant for
// the earlier incarnation is executed by the next one. Three rules keep that from harm:
//
//   - Each order is bound to the incarnation that its owner named. No call of it begins
//     after another incarnation is known.
//   - After a list without an answer, the next one carries no lease and no
//     acknowledgements, until the worker has answered. An unanswered start is sent again
//     after a list, if the worker answers that.
//   - A new incarnation is reported once the runs with unanswered starts are settled on
//     it: stopped there, and absent from a list that was requested afterwards. The
//     owner counts the runs of the earlier incarnation as lost with that report. A worker
//     that answers neither is lost to the owner when its lease expires.

// changeWorker replaces the worker's incarnation. The caller holds the lock.
func (k *Keeper) changeWorker(info plan.WorkerInfo) {
	sameName := k.worker != nil && k.worker.Instance == info.Instance
	k.resetWorkerState()
	// The process before may have called an earlier incarnation of the first one's name.
	k.lateLease.begin(sameName || k.worker == nil)
	k.unsettled = map[runRef]bool{}
	if !sameName {
		k.startCalls.reset()
		k.unansweredAcks.reset()
	}
	for _, ref := range k.startCalls.runs(k.clock()) {
		k.unsettled[ref] = true
	}
	k.worker = &info
	wake(k.wakeSettle)
}

// settleLoop lists the runs of each new incarnation of the worker and settles those with
// unanswered starts for an earlier one.
func (k *Keeper) settleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakeSettle:
			k.settleEarlierStarts(ctx)
		}
	}
}

// settleEarlierStarts returns once no start for an earlier incarnation can take effect on
// the current one.
func (k *Keeper) settleEarlierStarts(ctx context.Context) {
	begunAt := k.clock()
	runs := len(k.unsettledRuns())
	var last callTarget
	var stopped map[runRef]bool // for last
	tries := map[runRef]int{}
	for ctx.Err() == nil && k.canHold() {
		t := k.target()
		if t.incarnation != last.incarnation || !k.isCurrent(last) {
			last, stopped = t, map[runRef]bool{}
		}
		k.stopUnsettled(ctx, t, stopped, tries)
		if k.hold(ctx, 0) == nil {
			k.recordSettled(t, stopped)
		}
		if len(k.unsettledRuns()) == 0 {
			break
		}
		kernel.Sleep(ctx, holdRetryInterval)
	}
	if runs == 0 || len(k.unsettledRuns()) > 0 {
		return
	}
	took := k.clock() - begunAt
	metrics.GetOrRegisterTimer("keeper.restart_settled", k.registry).Update(took)
	k.log.Info().Int("runs", runs).Dur("took_ms", took).Msg("unanswered starts of the earlier incarnation are settled")
}

// stopUnsettled stops the unsettled runs that are not stopped yet, and adds those whose stop
// was answered. tries counts the calls.
func (k *Keeper) stopUnsettled(ctx context.Context, t callTarget, stopped map[runRef]bool, tries map[runRef]int) {
	for _, ref := range k.unsettledRuns() {
		if stopped[ref] {
			continue
		}
		if !k.isCurrent(t) {
			return
		}
		timeout := callTimeout(tries[ref])
		tries[ref]++
		switch err := k.callStop(ctx, t, ref, timeout); {
		case errors.Is(err, external.ErrRunStaleEpoch), errors.Is(err, external.ErrRunWrongInstance):
			return // tried again with the next target
		case errors.Is(err, external.ErrUnavailable), errors.Is(err, external.ErrRunWorkerUnhealthy):
		default:
			stopped[ref] = true
		}
	}
}

// recordSettled records that runs were stopped before the last list was requested.
func (k *Keeper) recordSettled(t callTarget, stopped map[runRef]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.current(t) || k.listedEpoch < k.validFrom {
		return
	}
	for ref := range stopped {
		if !k.listedRunning(ref) {
			delete(k.unsettled, ref)
		}
	}
	wake(k.wakeSend)
}

func (k *Keeper) unsettledRuns() []runRef {
	k.mu.Lock()
	defer k.mu.Unlock()
	refs := make([]runRef, 0, len(k.unsettled))
	for ref := range k.unsettled {
		refs = append(refs, ref)
	}
	return refs
}

// listBeforeStart lists the runs before an unanswered start is sent again, so that a restart
// of the worker is noticed, and before a start on an unresponsive worker, which gets no lease
// until it has answered. It reports whether the worker lists the run. No answer within
// startListTimeout does not hold an unanswered start back: one that reaches the next incarnation
// is settled there.
func (k *Keeper) listBeforeStart(ctx context.Context, t callTarget, ref runRef) bool {
	ctx, cancel := context.WithTimeout(ctx, startListTimeout)
	defer cancel()
	_ = k.holdAs(ctx, k.listTarget(), 0) // another list may have shown the run meanwhile
	return k.listsRun(t, ref)
}

// listUntilAnswered lists the runs before the first start call of a run until the worker answers,
// for no longer than start calls are made. Of a start that was not sent nothing is in doubt, while
// one without an answer may be executed by an incarnation that nobody has heard of. It reports
// whether the worker lists the run.
func (k *Keeper) listUntilAnswered(ctx context.Context, t callTarget, ref runRef) (listed bool) {
	for begun := k.clock(); !listed && !k.answeredLately() && k.isCurrent(t) && ctx.Err() == nil && k.clock()-begun < longestStart; {
		listed = k.listBeforeStart(ctx, t, ref)
		if !listed && !k.answeredLately() {
			kernel.Sleep(ctx, minReportSpacing) // a worker may refuse at once
		}
	}
	return listed
}

// answeredLately reports whether the worker has answered a list within freshAnswer.
func (k *Keeper) answeredLately() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listedEpoch > 0 && k.clock()-k.listedAt <= freshAnswer
}

func (k *Keeper) listRequired() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mustList
}

// errStartRevoked means that a start must not be sent any more, as the worker no longer takes
// it; errStopOrdered, as its run was ordered to stop.
const (
	errStartRevoked = errors.ConstError("start revoked")
	errStopOrdered  = errors.ConstError("the run was ordered to stop")
)

// beginStart records that a start call is about to be sent, and returns its epoch and deadline.
// It fails if t is no longer current, with an ErrUnavailable if the worker gets no lease now, or
// with errStartRevoked, errStopOrdered or errAckUnanswered: the call must not be sent.
func (k *Keeper) beginStart(t callTarget, ref runRef, capacity graph.Resources) (epoch uint64, deadline time.Duration, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.current(t) || k.leaving() || k.leaseTerm != t.leaseTerm {
		return 0, 0, errors.Annotate(external.ErrRunWrongInstance, "the worker or its owner has changed, or its lease was over meanwhile")
	}
	if o := k.orders[ref]; o != nil && o.stopEpoch > 0 {
		return 0, 0, errors.Trace(errStopOrdered)
	}
	if reason := k.refusalOf(capacity); reason != "" {
		return 0, 0, errors.Annotate(errStartRevoked, reason)
	}
	if k.needsHigherEpoch() {
		return 0, 0, errors.Trace(errAckUnanswered)
	}
	if !k.mayExtendLease() {
		return 0, 0, errors.Annotate(external.ErrUnavailable, "the worker has not answered lately and gets no lease")
	}
	deadline = k.nextDeadline()
	if !k.sent.begin(ref, k.epoch, deadline, k.clock()) {
		return 0, 0, errors.Annotate(errStartRevoked, "the run was reported absent")
	}
	k.startCalls.begin(ref, k.clock())
	return k.epoch, deadline, nil
}

// endStart records the outcome of a start call.
func (k *Keeper) endStart(ref runRef, err error) {
	unanswered := errors.Is(err, external.ErrUnavailable) && !errors.Is(err, external.ErrNotSent)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startCalls.end(ref, !unanswered, err == nil)
}
