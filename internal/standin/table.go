package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/fasthttp/router"
	"github.com/google/btree"
	"github.com/juju/errors"
)

const (
	btreeDegree  = 32
	maxScanLimit = 10_000
	// maxHistory is the number of changes that Feed can look back.
	maxHistory = 10_000
)

// Table is an in-memory table with conditional transactions.
type Table struct {
	Faults

	// sharedVersions makes all rows take versions from one counter, which Feed
	// requires. Otherwise each row counts its own versions.
	sharedVersions bool

	mu          sync.Mutex
	rows        *btree.BTreeG[external.Row]
	version     uint64         // version of the last change
	history     []external.Row // recent changes without values, ordered by version
	droppedUpTo uint64         // history has no changes up to this version
	changed     chan struct{}  // closed by the next commit
	stats       TableStats
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

var (
	_ external.Table      = (*Table)(nil)
	_ external.ChangeFeed = (*Table)(nil)
)

// NewTable returns an empty table.
func NewTable() *Table {
	byKey := func(a, b external.Row) bool { return a.Key < b.Key }
	return &Table{rows: btree.NewG(btreeDegree, byKey), changed: make(chan struct{})}
}

// NewFeedTable returns an empty table whose rows share one version counter, so
// that Feed is supported.
func NewFeedTable() *Table {
	t := NewTable()
	t.sharedVersions = true
	return t
}

// Get returns one row for each key, in order. A missing row has version 0.
func (t *Table) Get(_ context.Context, keys ...string) ([]external.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Gets++
	t.stats.RowsRead += uint64(len(keys))
	return t.rowsOf(keys), nil
}

// Scan returns up to limit rows whose keys have the prefix and are greater than
// after, sorted by key.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]external.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit <= 0 || limit > maxScanLimit {
		limit = maxScanLimit
	}
	rows := []external.Row{}
	t.rows.AscendGreaterOrEqual(external.Row{Key: max(prefix, after)}, func(r external.Row) bool {
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

// Commit applies a transaction if all its conditions hold; otherwise it returns
// the current rows of the conditions.
func (t *Table) Commit(_ context.Context, txn external.Txn) (external.TxnResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Commits++
	if !t.conditionsHold(txn.Conds) {
		t.stats.Conflicts++
		return external.TxnResult{Rows: t.conditionRows(txn.Conds)}, nil
	}
	result := external.TxnResult{Committed: true, Rows: []external.Row{}}
	for _, put := range txn.Puts {
		result.Rows = append(result.Rows, t.put(put))
	}
	for _, key := range txn.Deletes {
		t.rows.Delete(external.Row{Key: key})
		t.recordChange(key)
	}
	t.notifyWaiters()
	t.stats.RowsWritten += uint64(len(txn.Puts) + len(txn.Deletes))
	return result, nil
}

// Stats returns the counts of operations and of rows.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Rows = t.rows.Len()
	return stats
}

func (t *Table) conditionsHold(conds []external.Cond) bool {
	for _, cond := range conds {
		row, _ := t.rows.Get(external.Row{Key: cond.Key})
		if row.Version != cond.Version {
			return false
		}
	}
	return true
}

func (t *Table) conditionRows(conds []external.Cond) []external.Row {
	keys := make([]string, len(conds))
	for i, cond := range conds {
		keys[i] = cond.Key
	}
	return t.rowsOf(keys)
}

func (t *Table) rowsOf(keys []string) []external.Row {
	rows := make([]external.Row, len(keys))
	for i, key := range keys {
		row, _ := t.rows.Get(external.Row{Key: key})
		row.Key = key
		rows[i] = row
	}
	return rows
}

// put writes one row and returns it with its new version, without its value.
func (t *Table) put(row external.Row) external.Row {
	old, _ := t.rows.Get(external.Row{Key: row.Key})
	row.Version = t.recordChange(row.Key)
	if !t.sharedVersions {
		row.Version = old.Version + 1
	}
	t.rows.ReplaceOrInsert(row)
	return external.Row{Key: row.Key, Version: row.Version}
}

// recordChange appends a change to the history and returns its version.
func (t *Table) recordChange(key string) uint64 {
	t.version++
	t.history = append(t.history, external.Row{Key: key, Version: t.version})
	if n := len(t.history) - maxHistory; n > 0 {
		t.droppedUpTo = t.history[n-1].Version
		t.history = t.history[n:]
	}
	return t.version
}

func (t *Table) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Feed returns the rows with the prefix that changed after a version, and the
// version that they cover. It waits for a change for at most wait.
func (t *Table) Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]external.Row, uint64, error) {
	if !t.sharedVersions {
		return nil, 0, errors.NotSupportedf("feed of a table whose rows count their own versions")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, upTo, changed, err := t.changesSince(prefix, after)
		if err != nil || len(rows) > 0 {
			return rows, upTo, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, upTo, nil
		case <-ctx.Done():
			return nil, 0, external.ErrUnavailable
		}
	}
}

func (t *Table) changesSince(prefix string, after uint64) (rows []external.Row, upTo uint64, changed <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.droppedUpTo {
		return nil, 0, nil, external.ErrHistoryGone
	}
	seen := map[string]bool{}
	for _, h := range t.history {
		if h.Version <= after || !strings.HasPrefix(h.Key, prefix) || seen[h.Key] {
			continue
		}
		seen[h.Key] = true
		rows = append(rows, t.rowsOf([]string{h.Key})...)
	}
	return rows, t.version, t.changed, nil
}

// Newest returns the version of the last change.
func (t *Table) Newest(context.Context) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, nil
}

// DropHistory discards the history, as the real service may do at any time.
func (t *Table) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.droppedUpTo = nil, t.version
}

func (t *Table) faults() *Faults { return &t.Faults }

func (t *Table) observe() any { return t.Stats() }

func (t *Table) routes(r *router.Router) {
	ctx := context.Background()
	r.GET(external.PathHealth, handleHealth)
	r.POST(external.PathTableGet, postHandler(func(in external.GetRequest) (external.RowsReply, error) {
		rows, err := t.Get(ctx, in.Keys...)
		return external.RowsReply{Rows: rows}, err
	}))
	r.POST(external.PathTableScan, postHandler(func(in external.ScanRequest) (external.RowsReply, error) {
		rows, err := t.Scan(ctx, in.Prefix, in.After, in.Limit)
		return external.RowsReply{Rows: rows}, err
	}))
	r.POST(external.PathTableCommit, postHandler(func(in external.Txn) (external.TxnResult, error) {
		return t.Commit(ctx, in)
	}))
}
