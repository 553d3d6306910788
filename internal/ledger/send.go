package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// send carries a group of commits through to the end of each.
func (c *Client) send(l *lane, ws []*waiter) {
	ws = c.begin(ws)
	if len(ws) == 0 {
		return
	}
	g := newGroup(partsOf(ws))
	for {
		c.dropAbandoned(ws)
		ws = c.release(ws)
		next := g.step()
		if next == stepDone {
			return
		}
		if !c.breaker.allow(c.cfg.Clock()) {
			c.whileDown(l, g)
			continue
		}
		// A store that has failed is probed by reading, so that commits which
		// have not been sent do not come into doubt.
		if next == stepRead || c.breaker.open() {
			c.readBack(l, g)
			continue
		}
		c.sendTxn(g, ws)
	}
}

// begin marks the commits as taken and leaves out those that were withdrawn.
func (c *Client) begin(ws []*waiter) []*waiter {
	var out []*waiter
	for _, w := range ws {
		if w.state.CompareAndSwap(waiting, taken) {
			out = append(out, w)
		}
	}
	return out
}

func partsOf(ws []*waiter) []*part {
	out := make([]*part, len(ws))
	for i, w := range ws {
		out[i] = w.part
	}
	return out
}

// dropAbandoned ends the commits whose caller waits no longer.
func (c *Client) dropAbandoned(ws []*waiter) {
	for _, w := range ws {
		if w.ended || w.ctx.Err() == nil {
			continue
		}
		if w.doubt {
			w.end(nil, errors.Annotate(ErrOutcomeUnknown, w.ctx.Err().Error()))
			continue
		}
		w.end(nil, errors.Annotate(ErrDown, w.ctx.Err().Error()))
	}
}

// release answers the callers of commits that have ended and returns the others.
func (c *Client) release(ws []*waiter) []*waiter {
	var open []*waiter
	for _, w := range ws {
		if !w.ended {
			open = append(open, w)
			continue
		}
		c.countEnd(w)
		close(w.done)
	}
	return open
}

func (c *Client) countEnd(w *waiter) {
	switch {
	case w.err == nil:
		c.meter.count(w.cause, countWrites, len(w.writes))
		c.remember(w)
	case errors.Is(w.err, ErrConflict):
		c.meter.count(w.cause, countConflicts, 1)
	case errors.Is(w.err, ErrOutcomeUnknown):
		c.meter.count(w.cause, countUnknown, 1)
	default:
		c.meter.count(w.cause, countRefused, 1)
	}
}

// remember keeps the tokens of the rows that a commit has written.
func (c *Client) remember(w *waiter) {
	for i, wr := range w.writes {
		if wr.Check {
			continue
		}
		s := stored{key: wr.Key, version: w.versions[i]}
		s.Stamps = appendStamp(w.stamps[i], stamp{w.token, w.conds[i]})
		s.Deleted = wr.Delete
		c.tokens.put(s)
		if wr.Delete {
			c.graves.add(wr.Key, s.version, c.cfg.Clock())
		}
	}
}

// whileDown refuses what has not been sent; commits in doubt wait on.
func (c *Client) whileDown(l *lane, g *group) {
	l.refuse(errors.Trace(ErrDown))
	for _, p := range g.open() {
		if !p.doubt {
			p.end(nil, errors.Trace(ErrDown))
		}
	}
	if g.step() != stepDone {
		c.cfg.Sleep(context.Background(), c.breaker.delay(c.cfg.Clock()))
	}
}

// sendTxn sends the group's transaction once. The breaker has allowed it.
func (c *Client) sendTxn(g *group, ws []*waiter) {
	c.spendWrites(ws)
	txn := g.txn()
	var res external.TxnResult
	err := c.callWithin(context.Background(), c.commitTimeout(), func(ctx context.Context) (err error) {
		res, err = c.table.Commit(ctx, txn)
		return err
	})
	if errors.Is(err, external.ErrRefused) {
		return // not in doubt; sent again until the breaker opens
	}
	if err != nil {
		g.lost()
		c.countLost(ws)
		return
	}
	if res.Committed {
		g.committed(res.Rows)
		return
	}
	c.judge(g, res.Rows)
}

func (c *Client) judge(g *group, rows []external.Row) {
	found, err := c.learn(rows)
	if err != nil {
		for _, p := range g.open() {
			p.end(nil, errors.Trace(err))
		}
		return
	}
	g.current(found)
}

// readBack reads the group's rows as they are now, which settles a lost answer.
// The breaker has allowed it.
func (c *Client) readBack(l *lane, g *group) {
	var rows []external.Row
	err := c.call(context.Background(), func(ctx context.Context) (err error) {
		rows, err = c.table.Get(ctx, g.keys()...)
		return err
	})
	switch {
	case err == nil:
		c.judge(g, rows)
	case c.breaker.open():
		c.whileDown(l, g)
	default:
		c.cfg.Sleep(context.Background(), c.breaker.delay(c.cfg.Clock()))
	}
}

// causesOf returns the causes in a group, each once, in order of appearance.
func causesOf(ws []*waiter) []Cause {
	seen := map[Cause]bool{}
	var out []Cause
	for _, w := range ws {
		if !seen[w.cause] {
			seen[w.cause] = true
			out = append(out, w.cause)
		}
	}
	return out
}

// spendWrites takes one write from the budget of each cause in the group and
// waits as long as the budgets ask for.
func (c *Client) spendWrites(ws []*waiter) {
	var wait time.Duration
	for _, cause := range causesOf(ws) {
		c.meter.count(cause, countTxns, 1)
		d := c.meter.writeLimit(cause).Reserve().Delay()
		if d > 0 {
			c.meter.count(cause, countOverBudget, 1)
		}
		wait = max(wait, d)
	}
	if wait > 0 {
		c.cfg.Sleep(context.Background(), wait)
	}
}

func (c *Client) countLost(ws []*waiter) {
	for _, cause := range causesOf(ws) {
		c.meter.count(cause, countLost, 1)
	}
}
