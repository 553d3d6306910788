package ledger

import (
	"github.com/juju/errors"
)

// checkSize returns ErrRejected for a commit that exceeds a limit of the table.
func (c *Client) checkSize(req *commitRequest) error {
	for _, w := range req.writes {
		if limit := c.cfg.MaxRowBytes; limit > 0 && w.valueBytes() > limit {
			return errors.Annotatef(ErrRejected, "row %q of %d bytes (at most %d)", w.Key, w.valueBytes(), limit)
		}
	}
	if limit := c.cfg.MaxCommitBytes; limit > 0 && req.bytes > limit {
		return errors.Annotatef(ErrRejected, "commit of row %q with %d bytes (at most %d)", req.writes[0].Key, req.bytes, limit)
	}
	entries := groupSize{}.with(&queuedCommit{commitRequest: req}, nil).entries
	if limit := c.cfg.MaxGroupEntries; limit > 0 && entries > limit {
		return errors.Annotatef(ErrRejected, "commit of row %q with %d entries (at most %d)", req.writes[0].Key, entries, limit)
	}
	return nil
}

// valueBytes returns an upper bound of the size of the row's value, 0 for a check.
func (w Write) valueBytes() int {
	if w.Check {
		return 0
	}
	return len(w.Data) + MaxEnvelopeBytes
}

// reject ends a commit whose transaction, which had no other commit, was rejected by the
// store for its content. If an earlier transaction with the commit got no answer, that
// one may still take effect.
func (c *Client) reject(qc *queuedCommit, cause error) {
	err := errors.WithType(cause, ErrRejected)
	c.logRejected(qc.commitRequest, err)
	if qc.inDoubt {
		err = errors.WithType(err, ErrOutcomeUnknown)
	}
	qc.end(nil, err)
}

// logRejected logs a rejected commit with its largest row.
func (c *Client) logRejected(req *commitRequest, err error) {
	largest := req.writes[0]
	for _, w := range req.writes {
		if w.valueBytes() > largest.valueBytes() {
			largest = w
		}
	}
	c.cfg.Log.Error().Err(err).Str("row", largest.Key).Int("row_bytes", largest.valueBytes()).Int("max_row_bytes", c.cfg.MaxRowBytes).
		Int("rows", len(req.writes)).Int("bytes", req.bytes).Int("max_bytes", c.cfg.MaxCommitBytes).
		Msg("store cannot take a commit; it is not sent again")
}
