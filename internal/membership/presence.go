package membership

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
)

// announced follows the writes of the own row. Times are those before the
// write was sent.
type announced struct {
	ever  bool
	since time.Duration // first write of a series without a gap
	last  time.Duration
}

// wrote notes a write that was sent at a time and has taken effect.
func (a *announced) wrote(sent time.Duration) {
	if !a.ever || sent-a.last > announceGap {
		a.since = sent
	}
	a.ever = true
	a.last = sent
}

// settled reports whether every entry that reads the store has this one in its
// list.
func (a *announced) settled(now time.Duration) bool {
	return a.ever && now-a.last <= announceGap && now-a.since >= confstate.SettleTime
}
