package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

const (
	// maxBudgetWait bounds the time that a read waits for the budget of its cause.
	maxBudgetWait = time.Second
	// maxCallTimeouts is the duration of a call, in multiples of its timeout, above
	// which a failure is ignored: the process was paused, so the failure does not
	// show that the store is down.
	maxCallTimeouts = 2
	// commitReadFactor is the timeout of a transaction in multiples of the duration
	// of the last read: a slow store has other transactions queued ahead.
	// maxCommitTimeouts bounds that timeout, in multiples of OpTimeout.
	commitReadFactor  = 4
	maxCommitTimeouts = 3
	// unreadableLogInterval is the least time between two log lines on unreadable rows.
	unreadableLogInterval = time.Second
)

// Client implements Ledger over the platform's table.
type Client struct {
	table        external.Table
	cfg          Config
	breaker      *breaker
	health       health
	meter        *meter
	historyCache *historyCache
	tombstones   *tombstoneSet
	lanes        map[laneName]*lane
	readSlots    chan struct{}
	unreadable   *kernel.LogLimiter // bounds the lines on unreadable rows
	// lastReadDuration is the duration, in nanoseconds, of the last successful call
	// made through callStore.
	lastReadDuration atomic.Int64

	mu      sync.Mutex
	stopped bool
	loops   kernel.Loops
}

var _ Ledger = (*Client)(nil)

// New returns a client of the table. Tombstones are removed only after Start.
func New(table external.Table, cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		table:        table,
		cfg:          cfg,
		breaker:      newBreaker(cfg.Jitter),
		meter:        newMeter(cfg),
		historyCache: newHistoryCache(),
		tombstones:   newTombstoneSet(),
		lanes:        map[laneName]*lane{},
		readSlots:    make(chan struct{}, cfg.MaxReads),
		unreadable:   kernel.NewLogLimiter(unreadableLogInterval),
	}
	senders := 1
	if cfg.DisableGroupCommit {
		c.cfg.MaxGroupRows = 1
		senders = ungroupedSenders
	}
	for _, name := range laneNames {
		c.lanes[name] = &lane{client: c, senders: senders}
	}
	return c
}

// Start starts the periodic removal of tombstones.
func (c *Client) Start(context.Context) error {
	c.loops.Begin()
	c.loops.Every(cleanupInterval, c.removeTombstones)
	return nil
}

// Stop rejects new commits and waits until those in progress have ended.
func (c *Client) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.loops.End()
	for !c.idle() {
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "commits are still in progress")
		}
		c.cfg.Sleep(ctx, backoffMin/10)
	}
	return nil
}

// BreakerOpen reports whether the circuit breaker is open.
func (c *Client) BreakerOpen() bool { return c.breaker.isOpen() }

// Outage returns the time since the start of the last call that the store
// answered. It is 0 if no call has failed since, before the first answer, and if
// the calls since then had a gap in which the store's state was not observed.
func (c *Client) Outage() time.Duration { return c.health.outage(c.cfg.Clock()) }

// Rejected returns the duration of an outage in which the store has rejected
// every call immediately. It is 0 in any other state.
func (c *Client) Rejected() time.Duration { return c.health.rejectionTime(c.cfg.Clock()) }

// Silence returns for how long calls have waited for the store without any call being
// answered, including calls that are still in progress. It detects a store that
// accepts connections and answers nothing before the first call times out.
func (c *Client) Silence() time.Duration { return c.health.silence(c.cfg.Clock()) }

// ReadTime returns the duration of the last read that the store answered, 0 before
// the first.
func (c *Client) ReadTime() time.Duration { return time.Duration(c.lastReadDuration.Load()) }

func (c *Client) idle() bool {
	for _, l := range c.lanes {
		if !l.idle() {
			return false
		}
	}
	return true
}

// Commit applies all writes or none. See Ledger for the results.
func (c *Client) Commit(ctx context.Context, cause Cause, writes ...Write) ([]Row, error) {
	if err := c.admit(cause, writes); err != nil {
		return nil, err
	}
	qc := &queuedCommit{commitRequest: newCommitRequest(c.cfg.Token(), writes), ctx: ctx, cause: cause, done: make(chan struct{})}
	qc.sendBy, _ = external.StartBy(ctx)
	c.loadHistories(qc.commitRequest)
	if err := c.checkSize(qc.commitRequest); err != nil {
		c.logRejected(qc.commitRequest, err)
		c.meter.count(cause, counterRejected, 1)
		return nil, err
	}
	if err := c.lanes[laneOf(cause)].enqueue(qc); err != nil {
		c.meter.count(cause, counterRefused, 1)
		return nil, err
	}
	return c.awaitOutcome(qc)
}

// loadHistories takes the table versions and the histories of the rows that a
// request writes from the cache, as far as they are cached.
func (c *Client) loadHistories(req *commitRequest) {
	for i, w := range req.writes {
		if w.Check {
			continue
		}
		var ok bool
		req.conds[i], req.histories[i], ok = c.historyCache.lookup(w.Key, w.Version)
		req.historyMissing = req.historyMissing || !ok
	}
}

// admit validates the writes of a commit. It returns ErrDown if the client is
// stopped, or if the breaker is open and no probe is due.
func (c *Client) admit(cause Cause, writes []Write) error {
	if len(writes) == 0 {
		return errors.NotValidf("commit without writes")
	}
	keys := make(map[string]bool, len(writes))
	for _, w := range writes {
		if keys[w.Key] {
			return errors.NotValidf("commit with two writes of row %q", w.Key)
		}
		keys[w.Key] = true
		if err := w.validate(); err != nil {
			return err
		}
	}
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if stopped || c.breaker.isOpen() && !c.probeDue() {
		c.meter.count(cause, counterRefused, 1)
		return errors.Trace(ErrDown)
	}
	return nil
}

func (w Write) validate() error {
	if w.Key == "" {
		return errors.NotValidf("write without key")
	}
	if w.Delete && w.Version == 0 {
		return errors.NotValidf("delete of absent row %q", w.Key)
	}
	if !w.Delete && !w.Check && !json.Valid(w.Data) {
		return errors.NotValidf("data of row %q (want JSON)", w.Key)
	}
	return nil
}

func (c *Client) probeDue() bool {
	return c.breaker.probeDue(c.cfg.Clock())
}

func (c *Client) awaitOutcome(qc *queuedCommit) ([]Row, error) {
	select {
	case <-qc.done:
	default:
		select {
		case <-qc.done:
		case <-qc.ctx.Done():
			return c.giveUp(qc)
		}
	}
	return qc.rows, qc.err
}

// giveUp returns the result for a caller whose context has ended. A commit that
// has not been sent is withdrawn, so that it is certainly not written.
func (c *Client) giveUp(qc *queuedCommit) ([]Row, error) {
	if qc.state.CompareAndSwap(stateQueued, stateWithdrawn) {
		c.meter.count(qc.cause, counterRefused, 1)
		return nil, errors.Annotate(ErrDown, qc.ctx.Err().Error())
	}
	select {
	case <-qc.done:
		return qc.rows, qc.err
	default:
		c.meter.count(qc.cause, counterUnknown, 1)
		return nil, errors.Annotate(ErrOutcomeUnknown, qc.ctx.Err().Error())
	}
}

// Get returns a row for each key, in the order of keys.
func (c *Client) Get(ctx context.Context, cause Cause, keys ...string) ([]Row, error) {
	var rows []external.Row
	err := c.read(ctx, cause, func(ctx context.Context) (err error) {
		rows, err = c.table.Get(ctx, keys...)
		return err
	})
	if err != nil {
		return nil, errors.Annotatef(err, "reading row %q", keys[0])
	}
	return c.visibleRows(rows), nil
}

// Scan returns up to limit rows with the prefix and keys greater than after.
// Tombstones are skipped and do not count.
func (c *Client) Scan(ctx context.Context, cause Cause, prefix, after string, limit int) ([]Row, error) {
	var out []Row
	for len(out) < limit {
		want := limit - len(out)
		page, err := c.scanPage(ctx, cause, prefix, after, want)
		if err != nil {
			return nil, errors.Annotatef(err, "scanning rows %q", prefix)
		}
		for _, row := range c.visibleRows(page) {
			if row.Version > 0 {
				out = append(out, row)
			}
		}
		if len(page) < want {
			break
		}
		after = page[len(page)-1].Key
	}
	return out, nil
}

func (c *Client) scanPage(ctx context.Context, cause Cause, prefix, after string, limit int) ([]external.Row, error) {
	var rows []external.Row
	err := c.read(ctx, cause, func(ctx context.Context) (err error) {
		rows, err = c.table.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// visibleRows decodes rows as callers see them. Deleted rows have version 0.
func (c *Client) visibleRows(rows []external.Row) []Row {
	out := make([]Row, len(rows))
	for i, s := range c.decodeAndCache(rows) {
		out[i] = s.visibleRow()
	}
	return out
}

// decodeAndCache decodes rows and records their histories and tombstones. Rows are
// decoded one by one: one that another program has written must not hide the others.
func (c *Client) decodeAndCache(rows []external.Row) []storedRow {
	out := make([]storedRow, len(rows))
	for i, r := range rows {
		s, err := decodeRow(r)
		if err != nil {
			c.reportUnreadable(err)
		}
		out[i] = s
		c.historyCache.put(s)
		if s.Deleted {
			c.tombstones.add(s.key, s.version, c.cfg.Clock())
		}
	}
	return out
}

// reportUnreadable counts a row that cannot be decoded, and logs it unless others were
// logged just before.
func (c *Client) reportUnreadable(err error) {
	metrics.GetOrRegisterCounter("ledger.unreadable_rows", c.cfg.Metrics).Inc(1)
	if suppressed, ok := c.unreadable.Allow(time.Now()); ok {
		c.cfg.Log.Error().Err(err).Int("suppressed", suppressed).Msg("row cannot be decoded")
	}
}

// read makes one read if the budget, the bound on concurrent reads and the
// breaker permit it.
func (c *Client) read(ctx context.Context, cause Cause, call func(context.Context) error) error {
	if err := c.spendBudget(ctx, cause, c.meter.readLimiter(cause)); err != nil {
		return err
	}
	select {
	case c.readSlots <- struct{}{}:
		defer func() { <-c.readSlots }()
	default:
		c.meter.count(cause, counterRefused, 1)
		return errors.Annotatef(ErrOverloaded, "%d reads in progress", c.cfg.MaxReads)
	}
	if !c.breaker.allow(c.cfg.Clock()) {
		c.meter.count(cause, counterRefused, 1)
		return errors.Trace(ErrDown)
	}
	c.meter.count(cause, counterReads, 1)
	return c.callStore(ctx, call)
}

// callStore makes one call within OpTimeout and records its duration if it
// succeeds. The breaker must have allowed the call.
func (c *Client) callStore(ctx context.Context, call func(context.Context) error) error {
	start := c.cfg.Clock()
	err := c.callStoreWithin(ctx, c.cfg.OpTimeout, call)
	if err == nil {
		c.lastReadDuration.Store(int64(c.cfg.Clock() - start))
	}
	return err
}

// commitTimeout returns the timeout of one transaction. It grows with the
// duration of reads, because a transaction that times out while it is queued in
// a slow store is sent again and delays the others further.
func (c *Client) commitTimeout() time.Duration {
	slow := commitReadFactor * time.Duration(c.lastReadDuration.Load())
	return max(c.cfg.OpTimeout, min(slow, maxCommitTimeouts*c.cfg.OpTimeout))
}

// callStoreWithin makes one call within a timeout and reports the result to the
// breaker and to the outage detection. The breaker must have allowed the call.
func (c *Client) callStoreWithin(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	opCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := c.cfg.Clock()
	c.health.recordStart(start)
	err := call(opCtx)
	now := c.cfg.Clock()
	answered := err == nil || errors.Is(err, external.ErrInvalid)
	c.health.recordEnd(now, answered)
	switch {
	case errors.Is(err, errGateClosed):
		c.breaker.recordInconclusive()
	case answered:
		c.health.recordAnswer(start, now)
		if c.breaker.recordSuccess() {
			c.cfg.Log.Info().Msg("store calls succeed again; circuit breaker closed")
		}
	case ctx.Err() != nil || now-start > maxCallTimeouts*timeout:
		c.breaker.recordInconclusive()
	default:
		c.health.recordFailure(start, now)
		if c.breaker.recordFailure(now) {
			c.cfg.Log.Warn().Err(err).Msg("store calls fail; circuit breaker opened")
		}
	}
	return err
}

// spendBudget takes one operation from the budget of a cause. It waits up to
// maxBudgetWait and returns ErrOverloaded if that is not enough.
func (c *Client) spendBudget(ctx context.Context, cause Cause, limiter *rate.Limiter) error {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	c.meter.count(cause, counterOverBudget, 1)
	if delay > maxBudgetWait {
		reservation.Cancel()
		return errors.Annotatef(ErrOverloaded, "budget of cause %q is used up", cause)
	}
	c.cfg.Sleep(ctx, delay)
	return nil
}
