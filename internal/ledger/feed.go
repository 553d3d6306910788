package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// feedTimeoutMargin is the time that a feed may take beyond the wait that was
// requested from the table.
const feedTimeoutMargin = 600 * time.Millisecond

// Feed returns the rows with the prefix that were written after version after, and
// the version up to which they are complete. It waits up to wait for such a row.
// Deleted rows have version 0. The table must implement external.ChangeFeed.
func (c *Client) Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	feeder, ok := c.table.(external.ChangeFeed)
	if !ok {
		return nil, 0, errors.NotSupportedf("feed of table %T", c.table)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	rows, upTo, err := feeder.Feed(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, errors.Annotatef(err, "feed of rows %q after %d", prefix, after)
	}
	return c.visibleRows(rows), upTo, nil
}

// Newest returns the latest version of the table. A feed continues from it if the
// history that the feed needs is gone.
func (c *Client) Newest(ctx context.Context) (uint64, error) {
	feeder, ok := c.table.(external.ChangeFeed)
	if !ok {
		return 0, errors.NotSupportedf("feed of table %T", c.table)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.OpTimeout)
	defer cancel()
	return feeder.Newest(ctx)
}
