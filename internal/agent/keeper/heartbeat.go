package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

const (
	// confirmTimeout bounds the call that confirms a new incarnation. A heartbeat has to
	// be answered within a second.
	confirmTimeout = 600 * time.Millisecond
	// heartbeatSilence is the time without a heartbeat in the known order after which one
	// with a lower number, or from another host, is accepted again. A number far ahead
	// that another program has sent therefore shuts out the worker only for this time.
	heartbeatSilence = 3 * time.Second
	// announceTime is the longest time for which a start waits for the first heartbeat of a
	// worker that has restarted. It is sent at once.
	announceTime = time.Second
)

// HandleHeartbeat records the state that the worker reports of itself. Heartbeats
// older than the last one are ignored. A heartbeat of another incarnation has an effect
// only after the worker on this host has confirmed that it is this incarnation. The
// error is external.ErrForeignWorker if it denies that, and another one if it does not
// answer while an earlier incarnation is known to be its own.
func (k *Keeper) HandleHeartbeat(info plan.WorkerInfo, number uint64) error {
	if known, err := k.updateIfKnown(info, number); known {
		return err
	}
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	select {
	case k.confirmSlot <- struct{}{}:
		defer func() { <-k.confirmSlot }()
	case <-timeout.C:
		return errors.Timeoutf("heartbeat of %q: confirmation of another one", info.Instance)
	}
	if known, err := k.updateIfKnown(info, number); known {
		return err
	}
	if err := k.confirmIncarnation(info); err != nil {
		return err
	}
	return k.adoptIncarnation(info, number)
}

// updateIfKnown records a heartbeat of the current incarnation. known is false if it is
// of another one.
func (k *Keeper) updateIfKnown(info plan.WorkerInfo, number uint64) (known bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != info.Incarnation() {
		return false, nil
	}
	return true, k.updateWorker(info, number)
}

// confirmIncarnation asks the worker whether it is an incarnation. The call acknowledges
// no end and extends no lease. Without an answer, the incarnation is taken for the
// worker's as long as no other has proved to be.
func (k *Keeper) confirmIncarnation(info plan.WorkerInfo) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	epoch, proved := k.confirmationState()
	list, err := k.runner.Hold(ctx, info.Instance, external.HoldRuns{Epoch: epoch})
	switch {
	case errors.Is(err, external.ErrRunWrongInstance):
		return errors.Annotatef(external.ErrForeignWorker, "heartbeat of %q: %v", info.Instance, err)
	case err != nil && proved:
		return errors.Annotatef(err, "heartbeat of %q: not confirmed by the worker", info.Instance)
	case err == nil && list.StartUnixMillis != 0 && list.StartUnixMillis != info.StartUnixMillis:
		return errors.Annotatef(external.ErrForeignWorker, "heartbeat of %q: start at %d ms, the worker's is at %d ms", info.Instance, info.StartUnixMillis, list.StartUnixMillis)
	}
	return nil
}

// confirmationState returns the highest known epoch, and whether the worker has answered
// a call as the current incarnation.
func (k *Keeper) confirmationState() (epoch uint64, proved bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.epoch, k.listedEpoch > 0 || len(k.accepted) > 0
}

// adoptIncarnation replaces the worker by another incarnation. One of the same instance name
// is on the same host: the worker can't be asked for its host.
func (k *Keeper) adoptIncarnation(info plan.WorkerInfo, number uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker != nil && k.worker.Instance == info.Instance {
		if err := k.checkHost(info); err != nil {
			return err
		}
	}
	k.log.Info().Str("worker", info.ID).Str("instance", info.Incarnation()).Str("rack", info.Rack).Msg("worker announced")
	k.changeWorker(info)
	k.unannounced, k.heartbeatNumber, k.heartbeatAt = false, number, k.clock()
	wake(k.wakeHold)
	wake(k.wakeSend)
	return nil
}

// checkHost returns an error if a heartbeat names another host than the last one, unless that
// is heartbeatSilence ago. The caller holds the lock.
func (k *Keeper) checkHost(info plan.WorkerInfo) error {
	same := sameHost
	if k.unannounced || info.Incarnation() != k.worker.Incarnation() {
		same = samePlace
	}
	if !k.heartbeatsCurrent() || same(info, *k.worker) {
		return nil
	}
	return errors.Annotatef(external.ErrForeignWorker, "heartbeat of %q: host %q in %q with labels %q, known is %q in %q with %q",
		info.Instance, info.ID, info.Zone, info.Labels, k.worker.ID, k.worker.Zone, k.worker.Labels)
}

// heartbeatsCurrent reports whether a heartbeat was accepted lately. The caller holds the
// lock.
func (k *Keeper) heartbeatsCurrent() bool { return k.clock()-k.heartbeatAt <= heartbeatSilence }

// updateWorker records a heartbeat of the current incarnation. The caller holds the lock.
func (k *Keeper) updateWorker(info plan.WorkerInfo, number uint64) error {
	if err := k.checkHost(info); err != nil {
		return err
	}
	// An incarnation that drains does not become ready again.
	late := number < k.heartbeatNumber && (k.heartbeatsCurrent() || k.worker.Draining && !info.Draining)
	if info.Draining && !k.worker.Draining {
		k.log.Info().Str("worker", info.ID).Dur("remaining_ms", info.DrainRemaining).Msg("worker is draining")
		wake(k.wakeSend)
		if late {
			drained := *k.worker
			drained.Draining, drained.DrainRemaining = true, info.DrainRemaining
			k.worker = &drained
		}
	}
	if late {
		return nil
	}
	if k.unannounced {
		k.log.Info().Str("worker", info.ID).Str("instance", info.Incarnation()).Strs("labels", info.Labels).Strs("before", k.worker.Labels).Msg("restarted worker announced")
		wake(k.wakeSend)
	}
	if info.Capacity != k.worker.Capacity {
		k.log.Info().Str("worker", info.ID).Interface("capacity", info.Capacity).Interface("before", k.worker.Capacity).Msg("worker capacity changed")
		wake(k.wakeSend)
	}
	k.worker, k.unannounced, k.heartbeatNumber, k.heartbeatAt = &info, false, number, k.clock()
	return nil
}

// awaitAnnouncement waits for the first heartbeat of the incarnation of t.
func (k *Keeper) awaitAnnouncement(ctx context.Context, t callTarget) {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	kernel.PollUntil(ctx, minReportSpacing, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return !k.unannounced || !k.current(t)
	})
}

// sameHost reports whether two heartbeats name the same host. An incarnation stays on its
// host, in its pool and zone.
func sameHost(a, b plan.WorkerInfo) bool {
	return a.ID == b.ID && a.Pool == b.Pool && a.Zone == b.Zone && slices.Equal(a.Labels, b.Labels)
}

// samePlace reports whether a heartbeat names the host and the rack of a known worker, as those of
// its next incarnation do. Their kinds may differ.
func samePlace(a, known plan.WorkerInfo) bool {
	keepsRackLabel := slices.Contains(a.Labels, known.Rack) || !slices.Contains(known.Labels, known.Rack)
	return a.ID == known.ID && a.Pool == known.Pool && a.Zone == known.Zone && a.Rack == known.Rack && keepsRackLabel
}
