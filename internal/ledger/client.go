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
	// maxCallFactor is how many timeouts a call may take; one that has taken
	// longer tells that this process was paused, and nothing about the store.
	maxCallFactor = 2
	// slowCommit is how many times as long as the last read a transaction may
	// take: a store that is slow has others waiting before it. maxSlowCommit
	// bounds that, in timeouts.
	slowCommit    = 4
	maxSlowCommit = 3
)

// Client is the Ledger over the platform's table.
type Client struct {
	table   external.Table
	cfg     Config
	breaker *breaker
	health  health
	meter   *meter
	tokens  *tokenCache
	graves  *graves
	lanes   map[laneName]*lane
	reads   chan struct{}
	// readTook is how long the last read that was answered has taken.
	readTook atomic.Int64

	mu      sync.Mutex
	stopped bool
	loops   kernel.Loops
}

var _ Ledger = (*Client)(nil)

// New returns a client of the table.
func New(table external.Table, cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		table:   table,
		cfg:     cfg,
		breaker: &breaker{jitter: cfg.Jitter},
		meter:   newMeter(cfg),
		tokens:  newTokenCache(),
		graves:  newGraves(),
		lanes:   map[laneName]*lane{},
		reads:   make(chan struct{}, cfg.MaxReads),
	}
	senders := 1
	if cfg.DisableGroupCommit {
		c.cfg.MaxGroupRows = 1
		senders = defaultUngrouped
	}
	for _, name := range laneNames {
		c.lanes[name] = &lane{client: c, senders: senders}
	}
	return c
}

// Start starts the removal of tombstones.
func (c *Client) Start(context.Context) error {
	c.loops.Begin()
	c.loops.Every(cleanInterval, c.clean)
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
func (c *Client) BreakerOpen() bool { return c.breaker.open() }

// Outage returns for how long the store has answered no call, or 0 when it
// answers or when the outage was not observed without a gap.
func (c *Client) Outage() time.Duration { return c.health.outage(c.cfg.Clock()) }

// Rejected returns for how long the store has rejected every call at once.
func (c *Client) Rejected() time.Duration { return c.health.rejected(c.cfg.Clock()) }

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
	w := &waiter{part: newPart(c.cfg.Token(), writes), ctx: ctx, cause: cause, done: make(chan struct{})}
	c.prepare(w.part)
	if err := c.lanes[laneOf(cause)].add(w); err != nil {
		c.meter.count(cause, countRefused, 1)
		return nil, err
	}
	return c.await(w)
}

// prepare sets the conditions of a part and the tokens to carry on.
func (c *Client) prepare(p *part) {
	for i, w := range p.writes {
		if w.Check {
			continue
		}
		var ok bool
		p.conds[i], p.stamps[i], ok = c.tokens.find(w.Key, w.Version)
		p.blind = p.blind || !ok
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
		if err := w.check(); err != nil {
			return err
		}
	}
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if stopped || c.breaker.open() && !c.probeDue() {
		c.meter.count(cause, countRefused, 1)
		return errors.Trace(ErrDown)
	}
	return nil
}

func (w Write) check() error {
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
	return c.breaker.due(c.cfg.Clock())
}

func (c *Client) await(w *waiter) ([]Row, error) {
	select {
	case <-w.done:
	default:
		select {
		case <-w.done:
		case <-w.ctx.Done():
			return c.giveUp(w)
		}
	}
	return w.rows, w.err
}

// giveUp ends the wait of a caller whose context has ended.
func (c *Client) giveUp(w *waiter) ([]Row, error) {
	if w.state.CompareAndSwap(waiting, withdrawn) {
		c.meter.count(w.cause, countRefused, 1)
		return nil, errors.Annotate(ErrDown, w.ctx.Err().Error())
	}
	select {
	case <-w.done:
		return w.rows, w.err
	default:
		c.meter.count(w.cause, countUnknown, 1)
		return nil, errors.Annotate(ErrOutcomeUnknown, w.ctx.Err().Error())
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
	found, err := c.learn(rows)
	if err != nil {
		return nil, err
	}
	out := make([]Row, len(found))
	for i, s := range found {
		out[i] = s.row()
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
			if !s.absent() {
				out = append(out, s.row())
			}
		}
		if len(page) < want {
			break
		}
	}
	return out, nil
}

func (c *Client) scanPage(ctx context.Context, cause Cause, prefix, after string, limit int) ([]stored, error) {
	var rows []external.Row
	err := c.read(ctx, cause, func(ctx context.Context) (err error) {
		rows, err = c.table.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return c.learn(rows)
}

// learn opens the rows and remembers their tokens and tombstones.
func (c *Client) learn(rows []external.Row) ([]stored, error) {
	found, err := openAll(rows)
	if err != nil {
		return nil, err
	}
	for _, s := range found {
		c.tokens.put(s)
		if s.Deleted {
			c.graves.add(s.key, s.version, c.cfg.Clock())
		}
	}
	return found, nil
}

// read runs one read within budget, breaker and bounds.
func (c *Client) read(ctx context.Context, cause Cause, call func(context.Context) error) error {
	if err := c.spend(ctx, cause, c.meter.readLimit(cause)); err != nil {
		return err
	}
	select {
	case c.reads <- struct{}{}:
		defer func() { <-c.reads }()
	default:
		c.meter.count(cause, countRefused, 1)
		return errors.Annotatef(ErrOverloaded, "%d reads in progress", c.cfg.MaxReads)
	}
	if !c.breaker.allow(c.cfg.Clock()) {
		c.meter.count(cause, countRefused, 1)
		return errors.Trace(ErrDown)
	}
	c.meter.count(cause, countReads, 1)
	return c.call(ctx, call)
}

// call makes one allowed read of the store and notes how it went.
func (c *Client) call(ctx context.Context, call func(context.Context) error) error {
	start := c.cfg.Clock()
	err := c.callWithin(ctx, c.cfg.OpTimeout, call)
	if err == nil {
		c.readTook.Store(int64(c.cfg.Clock() - start))
	}
	return err
}

// commitTimeout bounds one transaction: a transaction that is given up while it
// waits in a slow store is sent again and makes the others wait longer.
func (c *Client) commitTimeout() time.Duration {
	slow := slowCommit * time.Duration(c.readTook.Load())
	return max(c.cfg.OpTimeout, min(slow, maxSlowCommit*c.cfg.OpTimeout))
}

// callWithin makes one allowed call to the store and notes how it went.
func (c *Client) callWithin(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	opCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := c.cfg.Clock()
	err := call(opCtx)
	now := c.cfg.Clock()
	switch {
	case err == nil:
		c.health.answer(start, now)
		if c.breaker.succeeded() {
			c.cfg.Log.Info().Msg("store answers again")
		}
	case ctx.Err() != nil || now-start > maxCallFactor*timeout:
		c.breaker.abandoned()
	default:
		c.health.failure(start, now)
		if c.breaker.failed(now) {
			c.cfg.Log.Warn().Err(err).Msg("store does not answer")
		}
	}
	return err
}

// spend takes one operation from the budget, waiting up to maxBudgetWait.
func (c *Client) spend(ctx context.Context, cause Cause, l *rate.Limiter) error {
	r := l.Reserve()
	d := r.Delay()
	if d == 0 {
		return nil
	}
	c.meter.count(cause, countOverBudget, 1)
	if d > maxBudgetWait {
		r.Cancel()
		return errors.Annotatef(ErrOverloaded, "budget of cause %q is used up", cause)
	}
	c.cfg.Sleep(ctx, d)
	return nil
}
