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
	// locateTimeout bounds one round of Locate calls to all known entries.
	locateTimeout = 400 * time.Millisecond
	// lateReplyTimeout is how long to wait for the other replies once one entry
	// has named an owner: a dead host never replies.
	lateReplyTimeout = 30 * time.Millisecond
	// rowReadTimeout bounds one read of the ownership row.
	rowReadTimeout = 600 * time.Millisecond
	// rowReadInterval is the minimum time between two reads of the ownership row.
	rowReadInterval = time.Second
	// maxEntries is the maximum number of remembered entries.
	maxEntries = 16
)

// RowReader reads rows of the table.
type RowReader interface {
	Get(ctx context.Context, cause ledger.Cause, keys ...string) ([]ledger.Row, error)
}

// clientPool returns the client of the entry at an address.
type clientPool interface {
	Fleet(address string) (rpc.FleetClient, error)
}

// OwnerFinder finds the entry that owns scheduling. It asks the known entries and,
// if none of them names an owner, reads the ownership row from the table.
type OwnerFinder struct {
	pool   clientPool
	rows   RowReader
	rowKey string
	clock  func() time.Duration
	log    zerolog.Logger

	mu        sync.Mutex
	entries   []string // addresses, starting with the last owner
	lastEpoch uint64   // epoch of the owner found last
	rowReadAt time.Duration
	rowRead   bool
}

// NewOwnerFinder returns a finder with the initial addresses of entries.
func NewOwnerFinder(rows RowReader, cell string, entries []string, clock func() time.Duration, log zerolog.Logger) *OwnerFinder {
	return &OwnerFinder{pool: &rpc.Pool{}, rows: rows, rowKey: owner.RowKey(cell), entries: entries, clock: clock, log: log}
}

// Find returns a client of the owner and its address, nil if no owner is known.
func (f *OwnerFinder) Find(ctx context.Context) (rpc.FleetClient, string) {
	located := f.locateAll(ctx, "")
	if located == nil {
		located = f.readOwnerRow(ctx)
	}
	if located == nil {
		return nil, ""
	}
	f.rememberOwner(located)
	return f.client(located.OwnerAddress), located.OwnerAddress
}

// Successor returns the address of an owner with a higher epoch than the one found
// last. It asks the entries other than currentOwner; the result is empty if none of
// them knows such an owner.
func (f *OwnerFinder) Successor(ctx context.Context, currentOwner string) string {
	located := f.locateAll(ctx, currentOwner)
	f.mu.Lock()
	defer f.mu.Unlock()
	if located == nil || located.OwnerAddress == currentOwner || located.Epoch <= f.lastEpoch {
		return ""
	}
	return located.OwnerAddress
}

// locateAll asks all known entries except one concurrently and returns the reply
// with the highest epoch, nil if no reply names an owner.
func (f *OwnerFinder) locateAll(ctx context.Context, except string) *rpc.LocateReply {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	f.mu.Lock()
	entries := slices.DeleteFunc(slices.Clone(f.entries), func(e string) bool { return e == except })
	f.mu.Unlock()
	replies := make(chan *rpc.LocateReply, len(entries))
	for _, e := range entries {
		go func() { replies <- f.locate(ctx, e) }()
	}
	return highestEpochReply(replies, len(entries))
}

// highestEpochReply returns the reply with the highest epoch among up to n. Once
// one reply names an owner, the outstanding ones have lateReplyTimeout to arrive.
func highestEpochReply(replies <-chan *rpc.LocateReply, n int) (best *rpc.LocateReply) {
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
				late = time.After(lateReplyTimeout)
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
		return nil // asked again in the next round
	}
	return reply
}

func (f *OwnerFinder) client(address string) rpc.FleetClient {
	client, err := f.pool.Fleet(address)
	if err != nil {
		f.log.Error().Err(err).Str("entry", address).Msg("failed to create gRPC client for entry address")
		return nil
	}
	return client
}

func (f *OwnerFinder) rememberOwner(located *rpc.LocateReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastEpoch = located.Epoch
	entries := []string{located.OwnerAddress}
	for _, e := range f.entries {
		if e != located.OwnerAddress && len(entries) < maxEntries {
			entries = append(entries, e)
		}
	}
	f.entries = entries
}

// readOwnerRow reads the owner from the table. It returns nil if the row names no
// owner, cannot be read or was read less than rowReadInterval ago.
func (f *OwnerFinder) readOwnerRow(ctx context.Context) *rpc.LocateReply {
	f.mu.Lock()
	due := !f.rowRead || f.clock()-f.rowReadAt >= rowReadInterval
	if due {
		f.rowRead, f.rowReadAt = true, f.clock()
	}
	f.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rowReadTimeout)
	defer cancel()
	rows, err := f.rows.Get(ctx, ledger.CauseOwner, f.rowKey)
	if err != nil || rows[0].Version == 0 {
		f.log.Info().Err(err).Msg("no owner found: no entry names one and the ownership row is missing or unreadable")
		return nil
	}
	var row owner.Row
	if err := json.Unmarshal(rows[0].Data, &row); err != nil {
		f.log.Error().Err(err).Str("row", f.rowKey).Msg("failed to decode ownership row")
		return nil
	}
	if row.Addr == "" {
		return nil
	}
	return &rpc.LocateReply{OwnerAddress: row.Addr, Epoch: row.Epoch}
}
