// Package ledger keeps lasting state in the platform's table: conditional
// updates with a token each, lost answers settled by reading back, group
// commit, a breaker with jittered backoff, and budgets of operations for each
// cause.
package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Errors of the ledger. ErrOutcomeUnknown is returned only when ctx ends before a
// lost answer could be settled, or when so many other writes came between that
// the row no longer tells; ErrOverloaded and ErrDown mean that nothing has been
// written.
const (
	ErrConflict       = errors.ConstError("row has changed")
	ErrOutcomeUnknown = errors.ConstError("write may have taken effect")
	ErrDown           = errors.ConstError("store is down; nothing was written")
	ErrOverloaded     = errors.ConstError("too many writes wait for the store; nothing was written")
)

// Cause names what an operation is for; budgets and counters are kept by cause.
type Cause string

// The causes of store operations.
const (
	CauseConfig   Cause = "config"
	CauseOwner    Cause = "owner"
	CausePresence Cause = "presence"
	CauseJob      Cause = "job"
	CauseClaim    Cause = "claim"
	CauseRecovery Cause = "recovery"
	// CauseCleanup is the removal of tombstones.
	CauseCleanup Cause = "cleanup"
)

// Row is a row of the ledger without its envelope.
type Row struct {
	Key     string
	Version uint64 // 0 for an absent row
	Data    json.RawMessage
}

// Write is one conditional write: Key must have Version (0: be absent).
// Delete removes the row. Check leaves the row as it is: the others are written
// only while it has Version.
type Write struct {
	Key     string
	Version uint64
	Data    json.RawMessage
	Delete  bool
	Check   bool
}

// Ledger is the interface to lasting state that the services use.
type Ledger interface {
	Get(ctx context.Context, cause Cause, keys ...string) ([]Row, error)
	Scan(ctx context.Context, cause Cause, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none and returns the new rows, without data.
	// On ErrConflict the current rows of all keys are returned with their data.
	Commit(ctx context.Context, cause Cause, writes ...Write) ([]Row, error)
	// BreakerOpen reports whether the breaker is open.
	BreakerOpen() bool
	// Outage returns for how long the store has answered no call, or 0 when it
	// answers or when the outage was not observed without a gap.
	Outage() time.Duration
}
