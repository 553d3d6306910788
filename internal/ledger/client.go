package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

const (
	// maxBudgetWait is how long a read waits for its cause's budget.
	maxBudgetWait = time.Second
	// maxCallTimeouts is how many timeouts a call may take; one that has taken
	// longer tells that this process was paused, and nothing about the store.
	maxCallTimeouts = 2
	// commitReadFactor is how many times as long as the last read a transaction may
	// take: a store that is slow has others waiting before it. maxSlowCommit
	// bounds that, in timeouts.
	commitReadFactor  = 4
	maxCommitTimeouts = 3
)

// Client is the Ledger over the platform's table.
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
	// lastReadDuration is how long the last read that was answered has taken.
	lastReadDuration atomic.Int64

	mu      sync.Mutex
	stopped bool
	loops   kernel.Loops
}

var _ Ledger = (*Client)(nil)

// New returns a client of the table.
func New(table external.Table, cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		table:        table,
		cfg:          cfg,
		breaker:      &breaker{jitter: cfg.Jitter},
		meter:        newMeter(cfg),
		historyCache: newHistoryCache(),
		tombstones:   newTombstoneSet(),
		lanes:        map[laneName]*lane{},
		readSlots:    make(chan struct{}, cfg.MaxReads),
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

// Start starts the removal of tombstones.
func (c *Client) Start(context.Context) error {
	c.loops.Begin()
	c.loops.Every(cleanupInterval, c.removeTombstones)
	return nil
}

// Stop refuses new commits and waits until those in progress have ended.
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

// BreakerOpen reports whether the breaker is open.
func (c *Client) BreakerOpen() bool { return c.breaker.isOpen() }

// Outage returns for how long the store has answered no call, or 0 when it
// answers or when the outage was not observed without a gap.
func (c *Client) Outage() time.Duration { return c.health.outage(c.cfg.Clock()) }

// Rejected returns for how long the store has rejected every call at once.
func (c *Client) Rejected() time.Duration { return c.health.rejectionTime(c.cfg.Clock()) }

func (c *Client) idle() bool {
	for _, l := range c.lanes {
		if !l.idle() {
			return false
		}
	}
	return true
}

// Commit applies all writes or none.
func (c *Client) Commit(ctx context.Context, cause Cause, writes ...Write) ([]Row, error) {
	if err := c.admit(cause, writes); err != nil {
		return nil, err
	}
	qc := &queuedCommit{commitRequest: newCommitRequest(c.cfg.Token(), writes), ctx: ctx, cause: cause, done: make(chan struct{})}
	c.loadHistories(qc.commitRequest)
	if err := c.lanes[laneOf(cause)].enqueue(qc); err != nil {
		c.meter.count(cause, counterRefused, 1)
		return nil, err
	}
	return c.awaitOutcome(qc)
}

// loadHistories sets the conditions of a part and the tokens to carry on.
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

// giveUp ends the wait of a caller whose context has ended.
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

// Get returns a row for each key, in order.
func (c *Client) Get(ctx context.Context, cause Cause, keys ...string) ([]Row, error) {
	var rows []external.Row
	err := c.read(ctx, cause, func(ctx context.Context) (err error) {
		rows, err = c.table.Get(ctx, keys...)
		return err
	})
	if err != nil {
		return nil, errors.Annotatef(err, "reading row %q", keys[0])
	}
	found, err := c.decodeAndCache(rows)
	if err != nil {
		return nil, err
	}
	out := make([]Row, len(found))
	for i, s := range found {
		out[i] = s.visibleRow()
	}
	return out, nil
}

// Scan returns up to limit rows with the prefix and keys above after.
func (c *Client) Scan(ctx context.Context, cause Cause, prefix, after string, limit int) ([]Row, error) {
	var out []Row
	for len(out) < limit {
		want := limit - len(out)
		page, err := c.scanPage(ctx, cause, prefix, after, want)
		if err != nil {
			return nil, errors.Annotatef(err, "scanning rows %q", prefix)
		}
		for _, s := range page {
			after = s.key
			if !s.isAbsent() {
				out = append(out, s.visibleRow())
			}
		}
		if len(page) < want {
			break
		}
	}
	return out, nil
}

func (c *Client) scanPage(ctx context.Context, cause Cause, prefix, after string, limit int) ([]storedRow, error) {
	var rows []external.Row
	err := c.read(ctx, cause, func(ctx context.Context) (err error) {
		rows, err = c.table.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return c.decodeAndCache(rows)
}

// decodeAndCache opens the rows and remembers their tokens and tombstones.
func (c *Client) decodeAndCache(rows []external.Row) ([]storedRow, error) {
	found, err := decodeRows(rows)
	if err != nil {
		return nil, err
	}
	for _, s := range found {
		c.historyCache.put(s)
		if s.Deleted {
			c.tombstones.add(s.key, s.version, c.cfg.Clock())
		}
	}
	return found, nil
}

// read runs one read within budget, breaker and bounds.
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

// callStore makes one allowed read of the store and notes how it went.
func (c *Client) callStore(ctx context.Context, call func(context.Context) error) error {
	start := c.cfg.Clock()
	err := c.callStoreWithin(ctx, c.cfg.OpTimeout, call)
	if err == nil {
		c.lastReadDuration.Store(int64(c.cfg.Clock() - start))
	}
	return err
}

// commitTimeout bounds one transaction: a transaction that is given up while it
// waits in a slow store is sent again and makes the others wait longer.
func (c *Client) commitTimeout() time.Duration {
	slow := commitReadFactor * time.Duration(c.lastReadDuration.Load())
	return max(c.cfg.OpTimeout, min(slow, maxCommitTimeouts*c.cfg.OpTimeout))
}

// callStoreWithin makes one allowed call to the store and notes how it went.
func (c *Client) callStoreWithin(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	opCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := c.cfg.Clock()
	err := call(opCtx)
	now := c.cfg.Clock()
	switch {
	case err == nil:
		c.health.recordAnswer(start, now)
		if c.breaker.recordSuccess() {
			c.cfg.Log.Info().Msg("store answers again")
		}
	case ctx.Err() != nil || now-start > maxCallTimeouts*timeout:
		c.breaker.recordInconclusive()
	default:
		c.health.recordFailure(start, now)
		if c.breaker.recordFailure(now) {
			c.cfg.Log.Warn().Err(err).Msg("store does not answer")
		}
	}
	return err
}

// spendBudget takes one operation from the budget, waiting up to maxBudgetWait.
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
