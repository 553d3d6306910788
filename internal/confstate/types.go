// Package confstate keeps the versioned configuration: compare-and-set over
// the ledger, spread between entries, and the rule that tells when work may
// start.
package confstate

import (
	"context"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

// ErrVersionConflict says that the item's version is not the expected one.
const ErrVersionConflict = errors.ConstError("item has another version")

// ErrStoreDown says that the change was not accepted and has not been made.
const ErrStoreDown = errors.ConstError("configuration store unavailable")

// AnyVersion as an expected version skips the comparison.
const AnyVersion = ^uint64(0)

// MaxConfigAge is the age up to which a confirmed configuration allows starts.
const MaxConfigAge = 1500 * time.Millisecond

// PollInterval is the time between two reads of the configuration's head.
const PollInterval = 400 * time.Millisecond

// Store is the configuration as the entry's services see it. Put and Delete
// return the resulting configuration; expect is the item's version (0: must
// not exist). On ErrLostRace the current configuration is returned.
type Store interface {
	Current() *api.Config
	PutProfile(ctx context.Context, p api.Profile, expect uint64) (*api.Config, error)
	DeleteProfile(ctx context.Context, name string, expect uint64) (*api.Config, error)
	PutZone(ctx context.Context, name string, state api.ZoneState, expect uint64) (*api.Config, error)
	// Permit reports whether work may start now.
	Permit() bool
	// StoreDownEverywhere reports whether this entry and all peers that it
	// knows fail to reach the store, all heard lately.
	StoreDownEverywhere() bool
	// Offer brings a configuration relayed by a peer, confirmed age ago.
	Offer(c *api.Config, age time.Duration)
	// Subscribe calls fn with the present configuration and with each newer one,
	// in order, from one goroutine. A version that has been replaced before its
	// turn is left out.
	Subscribe(fn func(*api.Config))
}
