package keeper

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

// An acknowledgement that the next incarnation under the same instance name executes makes
// it forget ends that nobody has seen, as it numbers them anew; nothing can take it back.
// That incarnation refuses it from the first call under a higher epoch on. Its owner gives it a
// higher one before the first start. A start that was meant for the incarnation before may be
// executed sooner, so each start carries a higher epoch than the acknowledgements before it that
// have no answer: the agent asks its owner for one. Where the owner names none, it helps that an
// acknowledgement is sent only until it is answered, in calls that do not wait: few are under way
// when a worker ends.

// slowAck is the time after which an acknowledgement counts as unanswered. A sound worker
// answers sooner, and none starts again within it.
const slowAck = 20 * time.Millisecond

// epochPollInterval is the interval at which a start looks for a higher epoch.
const epochPollInterval = 2 * time.Millisecond

// errAckUnanswered means that an acknowledgement under the present epoch has no answer.
const errAckUnanswered = errors.ConstError("an acknowledgement has no answer")

// unansweredAcks holds the calls with acknowledgements that have no answer, also those whose
// repetition was answered. Such a call may be executed late, by the next incarnation under the
// same instance name. Times are on the agent's clock.
type unansweredAcks struct{ calls []*ackCall }

type ackCall struct {
	epoch uint64
	at    time.Duration
}

func (u *unansweredAcks) begin(epoch uint64, now time.Duration) *ackCall {
	u.dropOld(now)
	c := &ackCall{epoch, now}
	u.calls = append(u.calls, c)
	return c
}

func (u *unansweredAcks) answered(c *ackCall) {
	u.calls = slices.DeleteFunc(u.calls, func(o *ackCall) bool { return o == c })
}

// under returns the time of the first call that was made under an epoch or a higher one.
func (u *unansweredAcks) under(epoch uint64, now time.Duration) (at time.Duration, found bool) {
	u.dropOld(now)
	for _, c := range u.calls {
		if c.epoch >= epoch {
			return c.at, true
		}
	}
	return 0, false
}

func (u *unansweredAcks) dropOld(now time.Duration) {
	u.calls = slices.DeleteFunc(u.calls, func(c *ackCall) bool { return now-c.at > lateCallBound })
}

// reset forgets all calls: a worker with another instance name refuses them.
func (u *unansweredAcks) reset() { u.calls = nil }

// beginHold records that a Hold call is about to be sent; ack is nil if it acknowledges nothing.
// It returns an error if the worker's incarnation has changed since t: the call must not be sent.
func (k *Keeper) beginHold(t callTarget) (ack *ackCall, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != t.incarnation {
		return nil, errors.Annotate(external.ErrRunWrongInstance, "the worker has changed meanwhile")
	}
	if t.acknowledged == 0 {
		return nil, nil
	}
	now := k.clock()
	if k.ackUnansweredAt == 0 {
		k.ackUnansweredAt = now
	}
	return k.unansweredAcks.begin(t.epoch, now), nil
}

// endHold records the outcome of a Hold call.
func (k *Keeper) endHold(ack *ackCall, err error) {
	if ack == nil || errors.Is(err, external.ErrUnavailable) && !errors.Is(err, external.ErrNotSent) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unansweredAcks.answered(ack)
}

// needsHigherEpoch reports whether no start may be sent yet, as an acknowledgement under the
// present epoch has no answer, and has the owner asked for a higher epoch once it counts as
// unanswered. An owner that has named none before does not delay the start. The caller holds the
// lock.
func (k *Keeper) needsHigherEpoch() bool {
	now := k.clock()
	at, found := k.unansweredAcks.under(k.epoch, now)
	if !found || k.epochDenied == k.epoch {
		return false
	}
	if now-at > slowAck && k.epochAbove != k.epoch {
		k.epochAbove = k.epoch
		metrics.GetOrRegisterCounter("keeper.epoch_requests", k.registry).Inc(1)
		wake(k.wakeSend)
	}
	return true
}

// awaitHigherEpoch waits until a start of t may be sent or t is no longer current. It returns
// false if neither is so by latest.
func (k *Keeper) awaitHigherEpoch(ctx context.Context, t callTarget, latest time.Duration) bool {
	begun := k.clock()
	ctx, cancel := context.WithTimeout(ctx, latest-begun)
	defer cancel()
	waited := false
	ok := kernel.PollUntil(ctx, epochPollInterval, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		wait := k.current(t) && k.needsHigherEpoch()
		waited = waited || wait
		return !wait
	})
	if took := k.clock() - begun; waited {
		metrics.GetOrRegisterTimer("keeper.epoch_wait", k.registry).Update(took)
		if took > slowAck {
			k.log.Info().Dur("took_ms", took).Bool("ok", ok).Msg("a start has waited for an epoch above unanswered acknowledgements")
		}
	}
	return ok
}

// askEpoch returns the epoch above which the next report asks for one, 0 for none. The caller
// holds the lock.
func (k *Keeper) askEpoch(l *ownerLink) uint64 {
	switch {
	case k.epoch == 0:
		return math.MaxUint64 // an earlier process may have made calls
	case k.epochAbove == k.epoch && k.epochDenied != k.epoch:
		l.epochAsked = k.epoch
		return k.epoch
	}
	return 0
}

// recordEpochAnswer records that orders of the owner were applied.
func (k *Keeper) recordEpochAnswer(l *ownerLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.epochAsked == 0 || l.answers.pending() {
		return
	}
	if k.epoch == l.epochAsked {
		k.epochDenied = k.epoch // an earlier version, or the numbers of its term are used up
		k.log.Warn().Uint64("epoch", k.epoch).Msg("the owner names no higher epoch")
	}
	l.epochAsked = 0
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

// pendingAck returns the acknowledgement that the worker has not answered and that may be sent
// now, or 0. The caller holds the lock.
func (k *Keeper) pendingAck() uint64 {
	if k.acknowledged > k.ackAnswered && !k.holdsAcksBack() {
		return k.acknowledged
	}
	return 0
}

// holdsAcksBack reports whether a start call has no answer. If the next incarnation executed that
// call and then an acknowledgement which was sent later, it would forget the end of the run.
// Where ever more calls have none, an acknowledgement is sent all the same in the end, and ends
// behind a cut list wait for the listed ones. The caller holds the lock.
func (k *Keeper) holdsAcksBack() bool {
	now := k.clock()
	return !k.runs.MoreEnds && now-k.ackOwedAt <= plan.LateCallTime && k.startCalls.anyWithin(plan.LateCallTime, now)
}

func (k *Keeper) hasPendingAck() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acknowledged > k.ackAnswered
}
