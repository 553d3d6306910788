package keeper

import "time"

// lateLease tells whether the lease of the worker's incarnation may rest on a call that was meant
// for an earlier one of its name. The incarnation refuses such calls once it has executed one
// under the epoch that its owner has given it.
type lateLease struct {
	possible bool
	epoch    uint64 // of the incarnation, 0 while its owner has named none
	closed   bool   // since closedAt the incarnation refuses such calls
	closedAt time.Duration
}

// begin begins another incarnation.
func (l *lateLease) begin(possible bool) { *l = lateLease{possible: possible} }

// recordEpoch records the epoch that the owner names for the incarnation.
func (l *lateLease) recordEpoch(epoch uint64) { l.epoch = max(l.epoch, epoch) }

// recordAnswer records that the incarnation has answered a call under an epoch.
func (l *lateLease) recordAnswer(now time.Duration, epoch uint64) {
	if !l.closed && l.epoch > 0 && epoch >= l.epoch {
		l.closed, l.closedAt = true, now
	}
}

// age returns the time since the last moment at which such a call may have been executed.
func (l *lateLease) age(now time.Duration) time.Duration {
	if !l.closed {
		return 0
	}
	return now - l.closedAt
}

// recordCallUnder records that the worker has executed a call with t.
func (k *Keeper) recordCallUnder(t callTarget) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker != nil && k.worker.Incarnation() == t.incarnation {
		k.lateLease.recordAnswer(k.clock(), t.epoch)
	}
}
