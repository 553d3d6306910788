package agent

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// permission derives from the entries' heartbeats whether work may start.
//
// Invariant: version never goes back, so a heartbeat that was delayed or comes
// from an entry that lags behind cannot undo a zone that was taken out.
type permission struct {
	version uint64
	zoneOut bool
	// until is the time on the agent's clock up to which some entry permits
	// starts. It counts from the agent's own stamp that the entry echoed, so
	// that time spent in transit or in a paused process is not added to it.
	until time.Duration
}

func (p *permission) update(hb *rpc.EntryHeartbeat) {
	if hb.ConfigVersion > p.version {
		p.version = hb.ConfigVersion
		p.zoneOut = hb.ZoneOut
	}
	if !hb.Permit {
		return
	}
	until := time.Duration(hb.EchoClockMs)*time.Millisecond + route.PermitTTL
	p.until = max(p.until, until)
}

func (p *permission) allowed(now time.Duration) bool {
	return p.version > 0 && !p.zoneOut && now <= p.until
}
