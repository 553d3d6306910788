package keeper

import (
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
)

// An acknowledgement that the next incarnation under the same instance name executes makes
// it forget ends that nobody has seen, as it numbers them anew; nothing can take it back.
// An acknowledgement is therefore sent until it is answered, in calls that do not wait, so
// that few are under way when a worker ends. A next incarnation under the name gets work
// lateCallBound after the last one without an answer: until then it is reported without
// capacity, and its starts are refused.

// beginHold records that a call is about to be sent, and returns the time. It returns an error
// if the worker's incarnation has changed since t: the call must not be sent.
func (k *Keeper) beginHold(t callTarget) (sentAt time.Duration, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != t.incarnation {
		return 0, errors.Annotate(external.ErrRunWrongInstance, "the worker has changed meanwhile")
	}
	sentAt = k.clock()
	if t.acknowledged > 0 {
		k.unansweredAcks.begin(sentAt)
	}
	return sentAt, nil
}

// endHold records the outcome of a call. An acknowledgement that its own list belies has not
// been answered.
func (k *Keeper) endHold(t callTarget, sentAt time.Duration, list external.RunList, err error) {
	if t.acknowledged == 0 || errors.Is(err, external.ErrUnavailable) && !errors.Is(err, external.ErrNotSent) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unansweredAcks.answered(sentAt)
	belied := len(list.Ended) > 0 && list.Ended[0].Number <= t.acknowledged
	if err == nil && !belied && k.worker.Incarnation() == t.incarnation {
		k.ackAnswered = max(k.ackAnswered, t.acknowledged)
	}
}

// pendingAck returns the acknowledgement that the worker has not answered, or 0. The caller
// holds the lock.
func (k *Keeper) pendingAck() uint64 {
	if k.acknowledged > k.ackAnswered {
		return k.acknowledged
	}
	return 0
}

func (k *Keeper) hasPendingAck() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pendingAck() > 0
}

// awaitLateAcks keeps work from a new incarnation while an acknowledgement may reach it. One
// under another instance name refuses such a call. The caller holds the lock.
func (k *Keeper) awaitLateAcks(sameName bool) {
	if !sameName {
		k.unansweredAcks = nil
	}
	k.workFrom = 0
	if wait := k.unansweredAcks.lastUntil() - k.clock(); wait > 0 {
		k.workFrom = k.clock() + wait
		k.log.Info().Dur("wait_ms", wait).Msg("restarted worker gets no work while an unanswered acknowledgement may reach it")
		return
	}
	k.unansweredAcks = nil
}

// lateAcksPossible reports whether an acknowledgement for an earlier incarnation may reach
// the current one. The caller holds the lock.
func (k *Keeper) lateAcksPossible() bool { return k.clock() < k.workFrom }

// offeredWorker returns the worker as it is reported. The caller holds the lock.
func (k *Keeper) offeredWorker() plan.WorkerInfo {
	info := *k.worker
	if k.lateAcksPossible() {
		info.Capacity = graph.Resources{}
	}
	return info
}
