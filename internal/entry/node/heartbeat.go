// Package node joins the services of an entry: what its heartbeats say, the
// gRPC services that agents and other entries call, and the status over all
// processes.
package node

import (
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Members is what an entry knows of all entries, itself included.
type Members interface {
	Entries() []*rpc.EntryAddress
}

// HeartbeatFiller fills in the entry's heartbeats.
type HeartbeatFiller struct {
	EntryID string
	Config  confstate.Store
	Members Members
	Owner   *owner.Service
}

// Fill sets what the entry knows of its configuration, peers and owner.
func (f *HeartbeatFiller) Fill(hb *rpc.EntryHeartbeat, zone string, withEntries bool) {
	// The permit is judged before the version is read, so that a permit never
	// comes with a version older than the one it was judged on.
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
