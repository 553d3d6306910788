package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// sendGroup carries out the steps of a group until all its commits have ended.
func (c *Client) sendGroup(l *lane, commits []*queuedCommit) {
	commits = notWithdrawn(commits)
	if len(commits) == 0 {
		return
	}
	c.carryOut(l, newGroup(requestsOf(commits)), commits)
}

// carryOut carries out the steps of a group. If the store rejects the content of its
// transaction, each half continues as a group of its own, so that only the commit with
// that content fails.
func (c *Client) carryOut(l *lane, g *group, commits []*queuedCommit) {
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
		rejection := c.sendTxn(g, commits)
		if rejection == nil {
			continue
		}
		if len(commits) == 1 {
			c.reject(commits[0], rejection)
			continue
		}
		half := len(commits) / 2
		for _, part := range [][]*queuedCommit{commits[:half], commits[half:]} {
			c.carryOut(l, &group{requests: requestsOf(part)}, part)
		}
		return
	}
}

// errGateClosed is the error of a transaction that was not sent because a commit in
// it was withdrawn or became too late. It says nothing about the store.
const errGateClosed = errors.ConstError("a commit of the transaction is no longer wanted")

func notWithdrawn(commits []*queuedCommit) []*queuedCommit {
	var out []*queuedCommit
	for _, qc := range commits {
		if qc.state.Load() != stateWithdrawn {
			out = append(out, qc)
		}
	}
	return out
}

// takeAll marks all commits as taken before their transaction is sent. If one was
// withdrawn or is too late, it marks none and returns false.
func takeAll(commits []*queuedCommit) bool {
	for i, qc := range commits {
		if qc.tooLate() || !qc.take() {
			returnUnsent(commits[:i])
			return false
		}
	}
	return true
}

// take marks a commit as taken. A commit in doubt has been taken before.
func (qc *queuedCommit) take() bool {
	return qc.inDoubt || qc.state.CompareAndSwap(stateQueued, stateTaken)
}

// returnUnsent lets the callers withdraw commits again whose transaction was not
// sent or was refused.
func returnUnsent(commits []*queuedCommit) {
	for _, qc := range commits {
		if !qc.inDoubt {
			qc.state.CompareAndSwap(stateTaken, stateQueued)
		}
	}
}

// tooLate reports whether a commit that has not been sent must not be sent any more.
func (qc *queuedCommit) tooLate() bool {
	return !qc.inDoubt && !qc.sendBy.IsZero() && time.Now().After(qc.sendBy)
}

// unwantedReason returns why a commit is no longer wanted, or an empty string.
func (qc *queuedCommit) unwantedReason() string {
	switch {
	case qc.ctx.Err() != nil:
		return qc.ctx.Err().Error()
	case qc.state.Load() == stateWithdrawn:
		return "withdrawn"
	case qc.tooLate():
		return "too little of the caller's time is left"
	default:
		return ""
	}
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
		reason := qc.unwantedReason()
		switch {
		case qc.ended || reason == "":
		case qc.inDoubt:
			qc.end(nil, errors.Annotate(ErrOutcomeUnknown, reason))
		default:
			qc.end(nil, errors.Annotate(ErrDown, reason))
		}
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
		if qc.state.Load() != stateWithdrawn { // giveUp has counted the others
			c.recordOutcome(qc)
		}
		close(qc.done)
	}
	return remaining
}

func (c *Client) recordOutcome(qc *queuedCommit) {
	switch {
	case qc.err == nil:
		c.meter.count(qc.cause, counterWrites, len(qc.writes))
		c.cacheWritten(qc)
	case errors.Is(qc.err, ErrRejected):
		c.meter.count(qc.cause, counterRejected, 1)
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

// sendTxn sends the group's transaction once. It returns the store's answer if that
// rejects the content. The breaker must have allowed it.
func (c *Client) sendTxn(g *group, commits []*queuedCommit) (rejection error) {
	c.spendWriteBudgets(commits)
	txn := g.txn()
	var res external.TxnResult
	err := c.callStoreWithin(context.Background(), c.commitTimeout(), func(ctx context.Context) (err error) {
		res, err = c.commitToTable(ctx, txn, commits)
		return err
	})
	switch {
	case errors.Is(err, external.ErrInvalid):
		returnUnsent(commits)
		return err
	case errors.Is(err, external.ErrRefused), errors.Is(err, external.ErrNotSent):
		// Nothing was done, so nothing is in doubt; sent again until the breaker opens.
		returnUnsent(commits)
	case err != nil:
		g.recordLostAnswer()
		c.countLostAnswers(commits)
	case res.Committed:
		g.recordCommitted(res.Rows)
	default:
		c.reconcile(g, res.Rows)
	}
	return nil
}

// commitToTable sends a transaction and takes its commits directly before. A table
// without a gate may send at any time after the call begins.
func (c *Client) commitToTable(ctx context.Context, txn external.Txn, commits []*queuedCommit) (external.TxnResult, error) {
	closed := false
	gate := func() bool {
		closed = !takeAll(commits)
		return !closed
	}
	var res external.TxnResult
	var err error
	if gated, ok := c.table.(external.GatedTable); ok {
		res, err = gated.CommitGated(ctx, txn, gate)
	} else if gate() {
		res, err = c.table.Commit(ctx, txn)
	}
	if closed {
		return external.TxnResult{}, errors.WithType(errGateClosed, external.ErrNotSent)
	}
	return res, err
}

func (c *Client) reconcile(g *group, rows []external.Row) { g.reconcile(c.decodeAndCache(rows)) }

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
