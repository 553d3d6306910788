// Package ledger stores durable state in the platform's table. Every write is
// conditional on the row's version and carries a unique token, so that the
// outcome of a write whose answer was lost can be determined by reading the row
// back. Commits are grouped into shared transactions. A circuit breaker with
// jittered backoff and operation budgets per cause protect the store.
package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Errors of the ledger. ErrOutcomeUnknown is returned only if ctx ends before the
// outcome of a commit that may have been sent is known, or if the commit's answer
// was lost and later writes have pushed its token out of the row's history.
// ErrOverloaded, ErrDown and ErrRejected guarantee that nothing was written. After
// ErrRejected the same commit would be rejected again: it is too large, or the store
// rejects its content for another reason.
const (
	ErrConflict       = errors.ConstError("row has changed")
	ErrOutcomeUnknown = errors.ConstError("write may have taken effect")
	ErrDown           = errors.ConstError("store is down; nothing was written")
	ErrRejected       = errors.ConstError("store rejects the content of the write; nothing was written")
	ErrOverloaded     = errors.ConstError("too many writes wait for the store; nothing was written")
)

// Cause is the purpose of a store operation. Budgets and counters are kept per
// cause.
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

// Row is a row as callers see it, without the envelope that is stored around
// its data.
type Row struct {
	Key     string
	Version uint64 // 0 if the row does not exist
	Data    json.RawMessage
	// Unreadable is set, and Data empty, if what is stored cannot be decoded.
	Unreadable bool
}

// Write is one conditional write. It takes effect only if the row with Key has
// Version (0: does not exist). Delete removes the row. Check only adds the
// condition and leaves the row unchanged.
type Write struct {
	Key     string
	Version uint64
	Data    json.RawMessage
	Delete  bool
	Check   bool
}

// Ledger is the interface through which services access durable state.
type Ledger interface {
	// Get returns a row for each key, in the order of keys.
	Get(ctx context.Context, cause Cause, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and keys greater than after,
	// in key order.
	Scan(ctx context.Context, cause Cause, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none and returns the new rows without data.
	// On ErrConflict it returns the current rows of all keys with their data.
	Commit(ctx context.Context, cause Cause, writes ...Write) ([]Row, error)
	// BreakerOpen reports whether the circuit breaker is open.
	BreakerOpen() bool
	// Outage returns the time since the start of the last call that the store
	// answered. It is 0 if no call has failed since, before the first answer, and
	// if the calls since then had a gap in which the store's state was not
	// observed.
	Outage() time.Duration
}
