package requests

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/juju/errors"
)

const (
	lookupTimeout  = 1500 * time.Millisecond
	maxLookupBatch = 200 // keys in one read
	// maxLookups bounds the calls that wait for the next read.
	maxLookups = 8192
)

// Errors of lookups.
const (
	errTooManyLookups = errors.ConstError("too many calls wait for the table")
	errLookupTimeout  = errors.ConstError("the call's timeout has passed before its row was read")
)

// lookups batches the reads of rows for many callers. One read is in progress at a
// time; lookups that arrive during it go into the next one.
type lookups struct {
	ledger ledger.Ledger

	mu      sync.Mutex
	waiting []lookup
	reading bool
}

type lookup struct {
	key    string
	result chan lookupResult
}

type lookupResult struct {
	row ledger.Row
	err error
}

// get returns the row of a key, or errLookupTimeout after the timeout.
func (l *lookups) get(key string, timeout time.Duration) (ledger.Row, error) {
	pending := lookup{key, make(chan lookupResult, 1)}
	l.mu.Lock()
	if len(l.waiting) >= maxLookups {
		l.mu.Unlock()
		return ledger.Row{}, errors.Trace(errTooManyLookups)
	}
	l.waiting = append(l.waiting, pending)
	if !l.reading {
		l.reading = true
		go l.readBatches()
	}
	l.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-pending.result:
		return r.row, r.err
	case <-timer.C:
		return ledger.Row{}, errors.Trace(errLookupTimeout)
	}
}

func (l *lookups) readBatches() {
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		l.readBatch(batch)
	}
}

// nextBatch removes and returns the lookups of the next read. If there are none,
// it clears reading, and readBatches returns.
func (l *lookups) nextBatch() []lookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.waiting), maxLookupBatch)
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	l.reading = n > 0
	return batch
}

func (l *lookups) readBatch(batch []lookup) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	keys := make([]string, len(batch))
	for i, one := range batch {
		keys[i] = one.key
	}
	rows, err := l.ledger.Get(ctx, ledger.CauseClaim, keys...)
	for i, one := range batch {
		if err != nil {
			one.result <- lookupResult{err: err}
			continue
		}
		one.result <- lookupResult{row: rows[i]}
	}
}
