package keeper

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// locateTimeout bounds one round of questions to all known entries.
	locateTimeout = 400 * time.Millisecond
	// lateReplies is how long the others may take once one entry has named an
	// owner: a host that is gone answers nothing.
	lateReplies = 30 * time.Millisecond
	// rowTimeout bounds one read of the ownership's row.
	rowTimeout = 600 * time.Millisecond
	// rowInterval is the least time between two reads of it.
	rowInterval = time.Second
	// maxEntries bounds the entries that are remembered.
	maxEntries = 16
)

// RowReader reads rows of the table.
type RowReader interface {
	Get(ctx context.Context, cause ledger.Cause, keys ...string) ([]ledger.Row, error)
}

// OwnerFinder finds the entry that owns scheduling: it asks the entries that it
// knows and, if none of them tells, reads the row of the ownership.
type OwnerFinder struct {
	pool  rpc.Pool
	rows  RowReader
	key   string
	clock func() time.Duration
	log   zerolog.Logger

	mu      sync.Mutex
	entries []string // addresses, the last owner first
	epoch   uint64   // of the ownership that was found last
	readAt  time.Duration
	read    bool
}

// NewOwnerFinder returns a finder that knows some addresses to begin with.
func NewOwnerFinder(rows RowReader, cell string, entries []string, clock func() time.Duration, log zerolog.Logger) *OwnerFinder {
	return &OwnerFinder{rows: rows, key: owner.RowKey(cell), entries: entries, clock: clock, log: log}
}

// Find returns a client of the owner and its address, nil if there is none now.
func (f *OwnerFinder) Find(ctx context.Context) (rpc.FleetClient, string) {
	owner := f.ask(ctx, "")
	if owner == nil {
		owner = f.readRow(ctx)
	}
	if owner == nil {
		return nil, ""
	}
	f.remember(owner)
	return f.client(owner.OwnerAddress), owner.OwnerAddress
}

// Successor returns the address of an owner with a higher epoch than the one that
// was found last, as the entries besides it know; empty if they know of none.
func (f *OwnerFinder) Successor(ctx context.Context, present string) string {
	owner := f.ask(ctx, present)
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner == nil || owner.OwnerAddress == present || owner.Epoch <= f.epoch {
		return ""
	}
	return owner.OwnerAddress
}

// ask asks all known entries but one at once and takes the answer with the
// highest epoch, nil if none names an owner.
func (f *OwnerFinder) ask(ctx context.Context, except string) *rpc.LocateReply {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	f.mu.Lock()
	entries := slices.DeleteFunc(slices.Clone(f.entries), func(e string) bool { return e == except })
	f.mu.Unlock()
	replies := make(chan *rpc.LocateReply, len(entries))
	for _, e := range entries {
		go func() { replies <- f.locate(ctx, e) }()
	}
	return newest(replies, len(entries))
}

// newest returns the answer with the highest epoch among up to n. Once one
// names an owner, those that are still missing have lateReplies.
func newest(replies <-chan *rpc.LocateReply, n int) (best *rpc.LocateReply) {
	var late <-chan time.Time
	for range n {
		select {
		case r := <-replies:
			if r.GetOwnerAddress() == "" {
				continue
			}
			if best == nil || r.Epoch > best.Epoch {
				best = r
			}
			if late == nil {
				late = time.After(lateReplies)
			}
		case <-late:
			return best
		}
	}
	return best
}

func (f *OwnerFinder) locate(ctx context.Context, address string) *rpc.LocateReply {
	client := f.client(address)
	if client == nil {
		return nil
	}
	reply, err := client.Locate(ctx, &rpc.LocateRequest{})
	if err != nil {
		return nil // it is asked again in the next round
	}
	return reply
}

func (f *OwnerFinder) client(address string) rpc.FleetClient {
	client, err := f.pool.Fleet(address)
	if err != nil {
		f.log.Error().Err(err).Str("entry", address).Msg("address cannot be dialled")
		return nil
	}
	return client
}

func (f *OwnerFinder) remember(owner *rpc.LocateReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = owner.Epoch
	entries := []string{owner.OwnerAddress}
	for _, e := range f.entries {
		if e != owner.OwnerAddress && len(entries) < maxEntries {
			entries = append(entries, e)
		}
	}
	f.entries = entries
}

// readRow reads the owner from the table, nil if it names none.
func (f *OwnerFinder) readRow(ctx context.Context) *rpc.LocateReply {
	f.mu.Lock()
	due := !f.read || f.clock()-f.readAt >= rowInterval
	if due {
		f.read, f.readAt = true, f.clock()
	}
	f.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := f.rows.Get(ctx, ledger.CauseOwner, f.key)
	if err != nil || rows[0].Version == 0 {
		f.log.Info().Err(err).Msg("no entry tells who owns scheduling, nor does the table")
		return nil
	}
	var row owner.Row
	if err := json.Unmarshal(rows[0].Data, &row); err != nil {
		f.log.Error().Err(err).Str("row", f.key).Msg("row cannot be read")
		return nil
	}
	if row.Addr == "" {
		return nil
	}
	return &rpc.LocateReply{OwnerAddress: row.Addr, Epoch: row.Epoch}
}
