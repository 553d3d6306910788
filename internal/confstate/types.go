// Package confstate manages the versioned configuration: it changes it by
// compare-and-set over the ledger, distributes it between entries, and decides when
// work may start.
package confstate

import (
	"context"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

// ErrVersionConflict means that the item's version is not the expected one.
const ErrVersionConflict = errors.ConstError("item has another version")

// ErrStoreDown means that the change was rejected and has not been written.
const ErrStoreDown = errors.ConstError("configuration store unavailable")

// AnyVersion, given as the expected version, skips the comparison.
const AnyVersion = ^uint64(0)

// MaxConfigAge is the time since the last confirmation up to which a configuration
// permits starts. An outage of the store counts only if it lasts longer.
const MaxConfigAge = 1500 * time.Millisecond

// PollInterval is the time between two reads of the configuration's head.
const PollInterval = 400 * time.Millisecond

// Store gives the entry's services access to the configuration. Put and Delete
// methods return the resulting configuration. Their argument expect is the item's
// current version (0: the item must not exist). On ErrVersionConflict they return
// the current configuration.
type Store interface {
	Current() *api.Config
	PutProfile(ctx context.Context, p api.Profile, expect uint64) (*api.Config, error)
	DeleteProfile(ctx context.Context, name string, expect uint64) (*api.Config, error)
	PutZone(ctx context.Context, name string, state api.ZoneState, expect uint64) (*api.Config, error)
	// Permit reports whether work may start now.
	Permit() bool
	// StoreDownEverywhere reports whether neither this entry nor any known peer
	// reaches the store. It is false if a peer has not reported recently.
	StoreDownEverywhere() bool
	// Offer applies a configuration that a peer relayed and that was confirmed age
	// ago.
	Offer(c *api.Config, age time.Duration)
	// Subscribe calls fn with the current configuration and with each newer one, in
	// order, from one goroutine. A version that is replaced before its delivery is
	// skipped.
	Subscribe(fn func(*api.Config))
}
