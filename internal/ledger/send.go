package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// sendGroup carries out the steps of a group until all its commits have ended.
func (c *Client) sendGroup(l *lane, commits []*queuedCommit) {
	commits = c.takeQueued(commits)
	if len(commits) == 0 {
		return
	}
	g := newGroup(requestsOf(commits))
	for {
		c.endAbandoned(commits)
		commits = c.releaseEnded(commits)
		next := g.nextStep()
		if next == stepDone {
			return
		}
		if !c.breaker.allow(c.cfg.Clock()) {
			c.waitWhileDown(l, g)
			continue
		}
		// While the breaker is open the store is probed with a read, so that a
		// failed probe leaves no unsent commit in doubt.
		if next == stepRead || c.breaker.isOpen() {
			c.readBack(l, g)
			continue
		}
		c.sendTxn(g, commits)
	}
}

// takeQueued marks commits as taken and returns those that were not withdrawn.
func (c *Client) takeQueued(commits []*queuedCommit) []*queuedCommit {
	var out []*queuedCommit
	for _, qc := range commits {
		if qc.state.CompareAndSwap(stateQueued, stateTaken) {
			out = append(out, qc)
		}
	}
	return out
}

func requestsOf(commits []*queuedCommit) []*commitRequest {
	out := make([]*commitRequest, len(commits))
	for i, qc := range commits {
		out[i] = qc.commitRequest
	}
	return out
}

// endAbandoned ends the commits whose callers no longer wait.
func (c *Client) endAbandoned(commits []*queuedCommit) {
	for _, qc := range commits {
		if qc.ended || qc.ctx.Err() == nil {
			continue
		}
		if qc.inDoubt {
			qc.end(nil, errors.Annotate(ErrOutcomeUnknown, qc.ctx.Err().Error()))
			continue
		}
		qc.end(nil, errors.Annotate(ErrDown, qc.ctx.Err().Error()))
	}
}

// releaseEnded wakes the callers of commits that have ended and returns the others.
func (c *Client) releaseEnded(commits []*queuedCommit) []*queuedCommit {
	var remaining []*queuedCommit
	for _, qc := range commits {
		if !qc.ended {
			remaining = append(remaining, qc)
			continue
		}
		c.recordOutcome(qc)
		close(qc.done)
	}
	return remaining
}

func (c *Client) recordOutcome(qc *queuedCommit) {
	switch {
	case qc.err == nil:
		c.meter.count(qc.cause, counterWrites, len(qc.writes))
		c.cacheWritten(qc)
	case errors.Is(qc.err, ErrConflict):
		c.meter.count(qc.cause, counterConflicts, 1)
	case errors.Is(qc.err, ErrOutcomeUnknown):
		c.meter.count(qc.cause, counterUnknown, 1)
	default:
		c.meter.count(qc.cause, counterRefused, 1)
	}
}

// cacheWritten caches the histories of the rows that a commit has written.
func (c *Client) cacheWritten(qc *queuedCommit) {
	for i, write := range qc.writes {
		if write.Check {
			continue
		}
		s := storedRow{key: write.Key, version: qc.newVersions[i]}
		s.History = appendRecord(qc.histories[i], writeRecord{qc.token, qc.conds[i]})
		s.Deleted = write.Delete
		c.historyCache.put(s)
		if write.Delete {
			c.tombstones.add(write.Key, s.version, c.cfg.Clock())
		}
	}
}

// waitWhileDown fails the commits that have not been sent. If some are in doubt, it
// waits before the next attempt to determine their outcome.
func (c *Client) waitWhileDown(l *lane, g *group) {
	l.refuseQueued(errors.Trace(ErrDown))
	for _, req := range g.pending() {
		if !req.inDoubt {
			req.end(nil, errors.Trace(ErrDown))
		}
	}
	if g.nextStep() != stepDone {
		c.cfg.Sleep(context.Background(), c.breaker.retryDelay(c.cfg.Clock()))
	}
}

// sendTxn sends the group's transaction once. The breaker must have allowed it.
func (c *Client) sendTxn(g *group, commits []*queuedCommit) {
	c.spendWriteBudgets(commits)
	txn := g.txn()
	var res external.TxnResult
	err := c.callStoreWithin(context.Background(), c.commitTimeout(), func(ctx context.Context) (err error) {
		res, err = c.table.Commit(ctx, txn)
		return err
	})
	if errors.Is(err, external.ErrRefused) {
		return // nothing was done, so nothing is in doubt; sent again until the breaker opens
	}
	if err != nil {
		g.recordLostAnswer()
		c.countLostAnswers(commits)
		return
	}
	if res.Committed {
		g.recordCommitted(res.Rows)
		return
	}
	c.reconcile(g, res.Rows)
}

func (c *Client) reconcile(g *group, rows []external.Row) {
	found, err := c.decodeAndCache(rows)
	if err != nil {
		for _, req := range g.pending() {
			req.end(nil, errors.Trace(err))
		}
		return
	}
	g.reconcile(found)
}

// readBack reads the current rows of the group, which shows the outcome of a
// transaction whose answer was lost. The breaker must have allowed it.
func (c *Client) readBack(l *lane, g *group) {
	var rows []external.Row
	err := c.callStore(context.Background(), func(ctx context.Context) (err error) {
		rows, err = c.table.Get(ctx, g.keys()...)
		return err
	})
	switch {
	case err == nil:
		c.reconcile(g, rows)
	case c.breaker.isOpen():
		c.waitWhileDown(l, g)
	default:
		c.cfg.Sleep(context.Background(), c.breaker.retryDelay(c.cfg.Clock()))
	}
}

// causesOf returns the distinct causes of commits in order of first appearance.
func causesOf(commits []*queuedCommit) []Cause {
	seen := map[Cause]bool{}
	var out []Cause
	for _, qc := range commits {
		if !seen[qc.cause] {
			seen[qc.cause] = true
			out = append(out, qc.cause)
		}
	}
	return out
}

// spendWriteBudgets takes one write from the budget of each cause and waits until
// all budgets permit it.
func (c *Client) spendWriteBudgets(commits []*queuedCommit) {
	var wait time.Duration
	for _, cause := range causesOf(commits) {
		c.meter.count(cause, counterTxns, 1)
		d := c.meter.writeLimiter(cause).Reserve().Delay()
		if d > 0 {
			c.meter.count(cause, counterOverBudget, 1)
		}
		wait = max(wait, d)
	}
	if wait > 0 {
		c.cfg.Sleep(context.Background(), wait)
	}
}

func (c *Client) countLostAnswers(commits []*queuedCommit) {
	for _, cause := range causesOf(commits) {
		c.meter.count(cause, counterLostAnswers, 1)
	}
}
