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
	// lateReplyTimeout is how long the others may take once one entry has named an
	// owner: a host that is gone answers nothing.
	lateReplyTimeout = 30 * time.Millisecond
	// rowReadTimeout bounds one read of the ownership's row.
	rowReadTimeout = 600 * time.Millisecond
	// rowReadInterval is the least time between two reads of it.
	rowReadInterval = time.Second
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
	pool   rpc.Pool
	rows   RowReader
	rowKey string
	clock  func() time.Duration
	log    zerolog.Logger

	mu        sync.Mutex
	entries   []string // addresses, the last owner first
	lastEpoch uint64   // of the ownership that was found last
	rowReadAt time.Duration
	rowRead   bool
}

// NewOwnerFinder returns a finder that knows some addresses to begin with.
func NewOwnerFinder(rows RowReader, cell string, entries []string, clock func() time.Duration, log zerolog.Logger) *OwnerFinder {
	return &OwnerFinder{rows: rows, rowKey: owner.RowKey(cell), entries: entries, clock: clock, log: log}
}

// Find returns a client of the owner and its address, nil if there is none now.
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

// Successor returns the address of an owner with a higher epoch than the one that
// was found last, as the entries besides it know; empty if they know of none.
func (f *OwnerFinder) Successor(ctx context.Context, currentOwner string) string {
	located := f.locateAll(ctx, currentOwner)
	f.mu.Lock()
	defer f.mu.Unlock()
	if located == nil || located.OwnerAddress == currentOwner || located.Epoch <= f.lastEpoch {
		return ""
	}
	return located.OwnerAddress
}

// locateAll asks all known entries but one at once and takes the answer with the
// highest epoch, nil if none names an owner.
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

// highestEpochReply returns the answer with the highest epoch among up to n. Once one
// names an owner, those that are still missing have lateReplies.
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

// readOwnerRow reads the owner from the table, nil if it names none.
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
		f.log.Info().Err(err).Msg("no entry tells who owns scheduling, nor does the table")
		return nil
	}
	var row owner.Row
	if err := json.Unmarshal(rows[0].Data, &row); err != nil {
		f.log.Error().Err(err).Str("row", f.rowKey).Msg("row cannot be read")
		return nil
	}
	if row.Addr == "" {
		return nil
	}
	return &rpc.LocateReply{OwnerAddress: row.Addr, Epoch: row.Epoch}
}
