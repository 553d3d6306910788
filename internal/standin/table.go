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
	// maxHistory is the number of changes that the feed can tell of.
	maxHistory = 10_000
)

// Table is an in-memory transactional table.
type Table struct {
	Faults

	// shared counts the versions of all rows together, as a feed needs.
	shared bool

	mu      sync.Mutex
	rows    *btree.BTreeG[external.Row]
	version uint64         // of the last write
	history []external.Row // without values, in order of versions
	oldest  uint64         // changes up to this version have left the history
	changed chan struct{}  // closed by the next write
	stats   TableStats
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

// NewFeedTable returns an empty table whose rows share one counter of versions,
// so that it can tell what has changed.
func NewFeedTable() *Table {
	t := NewTable()
	t.shared = true
	return t
}

// Get returns a row for each key.
func (t *Table) Get(_ context.Context, keys ...string) ([]external.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Gets++
	t.stats.RowsRead += uint64(len(keys))
	return t.read(keys), nil
}

// Scan returns up to limit rows with the prefix and keys above after.
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

// Commit applies a transaction.
func (t *Table) Commit(_ context.Context, txn external.Txn) (external.TxnResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Commits++
	if !t.holds(txn.Conds) {
		t.stats.Conflicts++
		return external.TxnResult{Rows: t.current(txn.Conds)}, nil
	}
	result := external.TxnResult{Committed: true, Rows: []external.Row{}}
	for _, put := range txn.Puts {
		result.Rows = append(result.Rows, t.put(put))
	}
	for _, key := range txn.Deletes {
		t.rows.Delete(external.Row{Key: key})
		t.note(key)
	}
	t.wake()
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

func (t *Table) holds(conds []external.Cond) bool {
	for _, cond := range conds {
		row, _ := t.rows.Get(external.Row{Key: cond.Key})
		if row.Version != cond.Version {
			return false
		}
	}
	return true
}

func (t *Table) current(conds []external.Cond) []external.Row {
	keys := make([]string, len(conds))
	for i, cond := range conds {
		keys[i] = cond.Key
	}
	return t.read(keys)
}

func (t *Table) read(keys []string) []external.Row {
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
	row.Version = t.note(row.Key)
	if !t.shared {
		row.Version = old.Version + 1
	}
	t.rows.ReplaceOrInsert(row)
	return external.Row{Key: row.Key, Version: row.Version}
}

// note enters a change into the history and returns its version.
func (t *Table) note(key string) uint64 {
	t.version++
	t.history = append(t.history, external.Row{Key: key, Version: t.version})
	if n := len(t.history) - maxHistory; n > 0 {
		t.oldest = t.history[n-1].Version
		t.history = t.history[n:]
	}
	return t.version
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Feed returns the rows that were written after a version.
func (t *Table) Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]external.Row, uint64, error) {
	if !t.shared {
		return nil, 0, errors.NotSupportedf("feed of a table whose rows count their own versions")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, upTo, changed, err := t.since(prefix, after)
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

func (t *Table) since(prefix string, after uint64) (rows []external.Row, upTo uint64, changed <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.oldest {
		return nil, 0, nil, external.ErrHistoryGone
	}
	seen := map[string]bool{}
	for _, h := range t.history {
		if h.Version <= after || !strings.HasPrefix(h.Key, prefix) || seen[h.Key] {
			continue
		}
		seen[h.Key] = true
		rows = append(rows, t.read([]string{h.Key})...)
	}
	return rows, t.version, t.changed, nil
}

// Newest returns the version that the table has reached.
func (t *Table) Newest(context.Context) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, nil
}

// Forget drops the history, as the service may at any time.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.oldest = nil, t.version
}

func (t *Table) faults() *Faults { return &t.Faults }

func (t *Table) observe() any { return t.Stats() }

func (t *Table) routes(r *router.Router) {
	ctx := context.Background()
	r.GET(external.PathHealth, healthy)
	r.POST(external.PathTableGet, post(func(in external.GetRequest) (external.RowsReply, error) {
		rows, err := t.Get(ctx, in.Keys...)
		return external.RowsReply{Rows: rows}, err
	}))
	r.POST(external.PathTableScan, post(func(in external.ScanRequest) (external.RowsReply, error) {
		rows, err := t.Scan(ctx, in.Prefix, in.After, in.Limit)
		return external.RowsReply{Rows: rows}, err
	}))
	r.POST(external.PathTableCommit, post(func(in external.Txn) (external.TxnResult, error) {
		return t.Commit(ctx, in)
	}))
}
