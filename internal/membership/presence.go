package membership

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
)

// announceHistory records the writes of the own row. Times are those before the
// write was sent.
type announceHistory struct {
	hasWritten  bool
	seriesStart time.Duration // first write of the present series without a gap
	lastWrite   time.Duration
}

// recordWrite records a write that was sent at the given time and took effect.
func (a *announceHistory) recordWrite(sent time.Duration) {
	if !a.hasWritten || sent-a.lastWrite > maxAnnounceGap {
		a.seriesStart = sent
	}
	a.hasWritten = true
	a.lastWrite = sent
}

// settled reports whether every entry that reads the store has this one in its
// list.
func (a *announceHistory) settled(now time.Duration) bool {
	return a.hasWritten && now-a.lastWrite <= maxAnnounceGap && now-a.seriesStart >= confstate.SettleTime
}
