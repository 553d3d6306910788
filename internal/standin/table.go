package standin

import (
	"context"
	"strings"
	"sync"

	"github.com/coltsfootlug/coltsfootlug/internal/platform"
	"github.com/fasthttp/router"
	"github.com/google/btree"
)

const (
	btreeDegree  = 32
	maxScanLimit = 10_000
)

// Table is an in-memory transactional table.
type Table struct {
	Faults

	mu    sync.Mutex
	rows  *btree.BTreeG[platform.Row]
	stats TableStats
}

// TableStats counts the operations of a table.
type TableStats struct {
	Gets        uint64 `json:"gets"`
	Scans       uint64 `json:"scans"`
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	RowsRead    uint64 `json:"rows_read"`
	RowsWritten uint64 `json:"rows_written"`
	Rows        int    `json:"rows"`
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	byKey := func(a, b platform.Row) bool { return a.Key < b.Key }
	return &Table{rows: btree.NewG(btreeDegree, byKey)}
}

// Get returns a row for each key.
func (t *Table) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Gets++
	t.stats.RowsRead += uint64(len(keys))
	return t.read(keys), nil
}

// Scan returns up to limit rows with the prefix and keys above after.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit <= 0 || limit > maxScanLimit {
		limit = maxScanLimit
	}
	rows := []platform.Row{}
	t.rows.AscendGreaterOrEqual(platform.Row{Key: max(prefix, after)}, func(r platform.Row) bool {
		if !strings.HasPrefix(r.Key, prefix) || len(rows) == limit {
			return false
		}
		if r.Key > after {
			rows = append(rows, r)
		}
		return true
	})
	t.stats.Scans++
	t.stats.RowsRead += uint64(len(rows))
	return rows, nil
}

// Commit applies a transaction.
func (t *Table) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Commits++
	if !t.holds(txn.Conds) {
		t.stats.Conflicts++
		return platform.TxnResult{Rows: t.current(txn.Conds)}, nil
	}
	result := platform.TxnResult{Committed: true, Rows: []platform.Row{}}
	for _, put := range txn.Puts {
		result.Rows = append(result.Rows, t.put(put))
	}
	for _, key := range txn.Deletes {
		t.rows.Delete(platform.Row{Key: key})
	}
	t.stats.RowsWritten += uint64(len(txn.Puts) + len(txn.Deletes))
	return result, nil
}

// Stats returns the counts of operations.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Rows = t.rows.Len()
	return stats
}

func (t *Table) holds(conds []platform.Cond) bool {
	for _, cond := range conds {
		row, _ := t.rows.Get(platform.Row{Key: cond.Key})
		if row.Version != cond.Version {
			return false
		}
	}
	return true
}

func (t *Table) current(conds []platform.Cond) []platform.Row {
	keys := make([]string, len(conds))
	for i, cond := range conds {
		keys[i] = cond.Key
	}
	return t.read(keys)
}

func (t *Table) read(keys []string) []platform.Row {
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		row, _ := t.rows.Get(platform.Row{Key: key})
		row.Key = key
		rows[i] = row
	}
	return rows
}

// put writes one row and returns it with its new version, without its value.
func (t *Table) put(row platform.Row) platform.Row {
	old, _ := t.rows.Get(platform.Row{Key: row.Key})
	row.Version = old.Version + 1
	t.rows.ReplaceOrInsert(row)
	return platform.Row{Key: row.Key, Version: row.Version}
}

func (t *Table) faults() *Faults { return &t.Faults }

func (t *Table) observe() any { return t.Stats() }

func (t *Table) routes(r *router.Router) {
	ctx := context.Background()
	r.GET(platform.PathHealth, healthy)
	r.POST(platform.PathTableGet, post(func(in platform.GetRequest) (platform.RowsReply, error) {
		rows, err := t.Get(ctx, in.Keys...)
		return platform.RowsReply{Rows: rows}, err
	}))
	r.POST(platform.PathTableScan, post(func(in platform.ScanRequest) (platform.RowsReply, error) {
		rows, err := t.Scan(ctx, in.Prefix, in.After, in.Limit)
		return platform.RowsReply{Rows: rows}, err
	}))
	r.POST(platform.PathTableCommit, post(func(in platform.Txn) (platform.TxnResult, error) {
		return t.Commit(ctx, in)
	}))
}
