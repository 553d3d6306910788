package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

const (
	// maxGraves bounds the tombstones that a client remembers.
	maxGraves = 8192
	// cleanInterval is the time between two removals of tombstones.
	cleanInterval = 15 * time.Second
)

// graves remembers tombstones and since when each has been seen unchanged.
type graves struct {
	mu   sync.Mutex
	rows map[string]grave
}

type grave struct {
	key     string
	version uint64
	since   time.Duration
}

func newGraves() *graves { return &graves{rows: map[string]grave{}} }

func (g *graves) add(key string, version uint64, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.rows[key]
	if known && old.version >= version || !known && len(g.rows) >= maxGraves {
		return
	}
	g.rows[key] = grave{key, version, now}
}

// takeOlder removes and returns up to limit tombstones seen at or before a time.
func (g *graves) takeOlder(than time.Duration, limit int) []grave {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []grave
	for _, v := range g.rows {
		if v.since <= than {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	out = out[:min(len(out), limit)]
	for _, v := range out {
		delete(g.rows, v.key)
	}
	return out
}

func (g *graves) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.rows)
}

// clean removes the rows of tombstones that are old enough that no late write
// can still refer to them. A tombstone that has been written again is left; a
// scan finds what a failed removal leaves.
func (c *Client) clean(ctx context.Context) {
	now := c.cfg.Clock()
	if now < c.cfg.TombstoneTTL || c.breaker.open() {
		return
	}
	old := c.graves.takeOlder(now-c.cfg.TombstoneTTL, defaultMaxGroupRows)
	if len(old) == 0 || c.spend(ctx, CauseCleanup, c.meter.writeLimit(CauseCleanup)) != nil {
		return
	}
	for _, v := range c.remove(ctx, old) {
		c.graves.add(v.key, v.version, v.since)
	}
}

// remove deletes rows in one transaction. If some of them have changed, nothing
// is deleted and the others are returned.
func (c *Client) remove(ctx context.Context, old []grave) []grave {
	var txn external.Txn
	for _, v := range old {
		txn.Conds = append(txn.Conds, external.Cond{Key: v.key, Version: v.version})
		txn.Deletes = append(txn.Deletes, v.key)
	}
	c.meter.count(CauseCleanup, countTxns, 1)
	var res external.TxnResult
	err := c.call(ctx, func(ctx context.Context) (err error) {
		res, err = c.table.Commit(ctx, txn)
		return err
	})
	if err != nil || res.Committed {
		return nil
	}
	var left []grave
	for i, r := range res.Rows {
		if i < len(old) && r.Version == old[i].version {
			left = append(left, old[i])
		}
	}
	return left
}
