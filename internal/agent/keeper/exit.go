package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// A worker announces its exit under its instance name alone. The announcement may come late,
// after another incarnation of that name has begun. It therefore counts only once a call that
// was begun exitDelay later fails because nothing listens at the worker's address. The runs of
// a worker that falls silent instead end with its lease.

// HandleWorkerLeft records that a worker of the given instance name has announced its exit.
func (k *Keeper) HandleWorkerLeft(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Instance != id {
		return
	}
	if k.leftAt > 0 {
		return // it is being checked
	}
	k.leftAt = k.clock()
	if k.leaving() {
		k.log.Info().Str("worker", k.worker.ID).Str("instance", id).Msg("worker left")
	}
	time.AfterFunc(exitDelay, k.checkExit)
}

// leaving reports whether the worker gets no starts because its exit was announced. The
// announcement does not count beside one that the worker has just belied: another program may
// repeat it. The caller holds the lock.
func (k *Keeper) leaving() bool {
	return k.leftAt > 0 && (k.exitDeniedAt == 0 || k.leftAt-k.exitDeniedAt > heartbeatSilence)
}

// checkExit calls the worker, beside the Hold call that may be waiting for ends.
func (k *Keeper) checkExit() {
	if k.canHold() {
		_ = k.hold(context.Background(), 0) // hold records the outcome
	}
}

// workerGone reports whether the worker has ended. The caller holds the lock.
func (k *Keeper) workerGone() bool { return k.gone }

// begunAfterExit reports whether a call to the current incarnation was begun exitDelay after
// the announcement of its exit. The caller holds the lock.
func (k *Keeper) begunAfterExit(t callTarget) bool {
	return k.leftAt > 0 && t.begunAt-k.leftAt >= exitDelay && k.worker.Incarnation() == t.incarnation
}

// recordFailureAfterExit records that a call has failed. The caller holds the lock.
func (k *Keeper) recordFailureAfterExit(t callTarget, err error) {
	if !k.begunAfterExit(t) || k.gone || !errors.Is(err, external.ErrRunNotListening) {
		return
	}
	k.gone = true
	k.log.Info().Str("worker", k.worker.ID).Str("instance", k.worker.Instance).Msg("worker has ended")
	wake(k.wakeSend)
}

// recordAnswerAfterExit records that a call was answered. A draining worker may still be
// about to end; any other one was announced by an earlier incarnation. The caller holds the
// lock.
func (k *Keeper) recordAnswerAfterExit(t callTarget) {
	if !k.begunAfterExit(t) {
		return
	}
	k.gone = false
	if k.worker.Draining {
		return
	}
	if k.leaving() {
		k.log.Info().Str("worker", k.worker.ID).Str("instance", k.worker.Instance).Msg("worker answers after its exit was announced")
	}
	k.leftAt, k.exitDeniedAt = 0, k.clock()
	wake(k.wakeSend)
}
