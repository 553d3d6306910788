// Package node connects the services of an entry: the content of its heartbeats,
// the gRPC services that agents and other entries call, its readiness, and the
// configuration status of all processes.
package node

import (
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Members lists the live entries, this one included.
type Members interface {
	Entries() []*rpc.EntryAddress
}

// HeartbeatFiller fills in the heartbeats that the entry sends to agents.
type HeartbeatFiller struct {
	EntryID string
	Config  confstate.Store
	Members Members
	Owner   *owner.Service
}

// Fill implements links.HeartbeatFiller.
func (f *HeartbeatFiller) Fill(hb *rpc.EntryHeartbeat, zone string, withEntries bool) {
	// The permit is computed before the configuration is read, so that it is
	// never sent with a version older than the one it was computed from.
	hb.Permit = f.Config.Permit()
	config := f.Config.Current()
	hb.EntryId = f.EntryID
	hb.ConfigVersion = config.Version
	hb.ZoneOut = config.ZoneOut(zone)
	hb.StoreDownEverywhere = f.Config.StoreDownEverywhere()
	hb.OwnerEpoch = f.Owner.Current().Epoch
	if withEntries {
		hb.Entries = f.Members.Entries()
	}
}
