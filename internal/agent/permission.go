package agent

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// startPermission derives from the entries' heartbeats whether work may start.
//
// Invariant: version never goes back, so a heartbeat that was delayed or comes
// from an entry that lags behind cannot undo a zone that was taken out.
type startPermission struct {
	version uint64
	zoneOut bool
	// validUntil is the time on the agent's clock up to which some entry permits
	// starts. It counts from the agent's own stamp that the entry echoed, so
	// that time spent in transit or in a paused process is not added to it.
	validUntil time.Duration
}

func (p *startPermission) update(heartbeat *rpc.EntryHeartbeat) {
	if heartbeat.ConfigVersion > p.version {
		p.version = heartbeat.ConfigVersion
		p.zoneOut = heartbeat.ZoneOut
	}
	if !heartbeat.Permit {
		return
	}
	validUntil := time.Duration(heartbeat.EchoClockMs)*time.Millisecond + route.PermitTTL
	p.validUntil = max(p.validUntil, validUntil)
}

func (p *startPermission) mayStart(now time.Duration) bool {
	return p.version > 0 && !p.zoneOut && now <= p.validUntil
}
