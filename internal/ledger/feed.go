package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// feedTimeoutMargin is how long the answer of a feed may take beyond the time that the
// table was asked to wait.
const feedTimeoutMargin = 600 * time.Millisecond

// Feed returns the rows with a prefix that were written after a version, and
// the version up to which that is all; deleted ones have version 0. The table
// has to be an external.Feeder.
func (c *Client) Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	feeder, ok := c.table.(external.Feeder)
	if !ok {
		return nil, 0, errors.NotSupportedf("feed of table %T", c.table)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	rows, upTo, err := feeder.Feed(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, errors.Annotatef(err, "feed of rows %q after %d", prefix, after)
	}
	found, err := c.decodeAndCache(rows)
	if err != nil {
		return nil, 0, err
	}
	out := make([]Row, len(found))
	for i, s := range found {
		out[i] = s.visibleRow()
	}
	return out, upTo, nil
}

// Newest returns the version that the table has reached, from which a feed can
// go on after its history is gone.
func (c *Client) Newest(ctx context.Context) (uint64, error) {
	feeder, ok := c.table.(external.Feeder)
	if !ok {
		return 0, errors.NotSupportedf("feed of table %T", c.table)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.OpTimeout)
	defer cancel()
	return feeder.Newest(ctx)
}
