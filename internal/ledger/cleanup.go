package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

const (
	// maxTombstones bounds the tombstones that a client tracks.
	maxTombstones = 8192
	// cleanupInterval is the time between two removals of expired tombstones.
	cleanupInterval = 15 * time.Second
)

// tombstoneSet tracks tombstones and when this client first saw each of them at
// its present version.
type tombstoneSet struct {
	mu   sync.Mutex
	rows map[string]tombstone
}

type tombstone struct {
	key     string
	version uint64
	seenAt  time.Duration
}

func newTombstoneSet() *tombstoneSet { return &tombstoneSet{rows: map[string]tombstone{}} }

func (t *tombstoneSet) add(key string, version uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[key]
	if known && old.version >= version || !known && len(t.rows) >= maxTombstones {
		return
	}
	t.rows[key] = tombstone{key, version, now}
}

// takeExpired removes and returns up to limit tombstones, in key order, that were
// first seen at or before seenBy.
func (t *tombstoneSet) takeExpired(seenBy time.Duration, limit int) []tombstone {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tombstone
	for _, v := range t.rows {
		if v.seenAt <= seenBy {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	out = out[:min(len(out), limit)]
	for _, v := range out {
		delete(t.rows, v.key)
	}
	return out
}

func (t *tombstoneSet) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// removeTombstones deletes the rows of tombstones that are older than
// TombstoneTTL; by then no late write can refer to them. A tombstone whose row has
// been written again is left in place. Tombstones that a failed removal leaves
// behind are found again by a scan.
func (c *Client) removeTombstones(ctx context.Context) {
	now := c.cfg.Clock()
	if now < c.cfg.TombstoneTTL || c.breaker.isOpen() {
		return
	}
	expired := c.tombstones.takeExpired(now-c.cfg.TombstoneTTL, c.maxRemovals())
	if len(expired) == 0 || c.spendBudget(ctx, CauseCleanup, c.meter.writeLimiter(CauseCleanup)) != nil {
		return
	}
	for _, v := range c.deleteTombstones(ctx, expired) {
		c.tombstones.add(v.key, v.version, v.seenAt)
	}
}

// maxRemovals returns the number of tombstones that one transaction removes. Each takes
// a condition and a delete.
func (c *Client) maxRemovals() int {
	if c.cfg.MaxGroupEntries == 0 {
		return defaultMaxGroupRows
	}
	return min(defaultMaxGroupRows, c.cfg.MaxGroupEntries/2)
}

// deleteTombstones deletes rows in one transaction. If some of them have changed,
// it deletes nothing and returns the unchanged ones.
func (c *Client) deleteTombstones(ctx context.Context, expired []tombstone) []tombstone {
	var txn external.Txn
	for _, v := range expired {
		txn.Conds = append(txn.Conds, external.Cond{Key: v.key, Version: v.version})
		txn.Deletes = append(txn.Deletes, v.key)
	}
	c.meter.count(CauseCleanup, counterTxns, 1)
	var res external.TxnResult
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		res, err = c.table.Commit(ctx, txn)
		return err
	})
	if err != nil || res.Committed {
		return nil
	}
	var left []tombstone
	for i, r := range res.Rows {
		if i < len(expired) && r.Version == expired[i].version {
			left = append(left, expired[i])
		}
	}
	return left
}
