package keeper

import (
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// An acknowledgement that the next incarnation under the same instance name executes makes
// it forget ends that nobody has seen, as it numbers them anew; nothing can take it back.
// That incarnation refuses it from the first call under its own epoch on, which its owner
// gives it before the first start. Until then, and with an owner that gives it none, it helps
// that an acknowledgement is sent only until it is answered, in calls that do not wait: few are
// under way when a worker ends.

// slowAck is the time after which an acknowledgement counts as unanswered. A sound worker
// answers sooner, and none starts again within it.
const slowAck = 20 * time.Millisecond

// beginHold records that a Hold call is about to be sent. It returns an error if the worker's
// incarnation has changed since t: the call must not be sent.
func (k *Keeper) beginHold(t callTarget) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != t.incarnation {
		return errors.Annotate(external.ErrRunWrongInstance, "the worker has changed meanwhile")
	}
	if t.acknowledged > 0 && k.ackUnansweredAt == 0 {
		k.ackUnansweredAt = k.clock()
	}
	return nil
}

// recordAckAnswer records the list that answers a call. An acknowledgement that its own list
// belies has not been answered.
func (k *Keeper) recordAckAnswer(t callTarget, list external.RunList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	belied := len(list.Ended) > 0 && list.Ended[0].Number <= t.acknowledged
	if !belied && k.worker.Incarnation() == t.incarnation {
		k.ackAnswered = max(k.ackAnswered, t.acknowledged)
		if t.acknowledged > 0 {
			k.ackUnansweredAt = 0
		}
	}
}

// ackOverdue reports whether an acknowledgement has no answer: the worker may have ended. A
// start on its next incarnation, before that has its own epoch, would leave the end of the run
// open to that acknowledgement.
func (k *Keeper) ackOverdue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ackUnansweredAt > 0 && k.clock()-k.ackUnansweredAt > slowAck
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
