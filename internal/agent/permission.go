package agent

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// startPermission is the permission to start work, derived from the heartbeats of
// the entries.
//
// Invariant: version never decreases, so that a delayed heartbeat or one from an
// entry with an older configuration cannot put a zone back in that was taken out.
type startPermission struct {
	version uint64
	zoneOut bool
	// validUntil is the time on the agent's clock until which an entry permits
	// starts. It is computed from the agent's own clock reading echoed by the
	// entry, so that time in transit or in a paused process does not extend it.
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
