package requests

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/juju/errors"
)

// claimRetention is how long the idempotency key of a request is remembered.
const claimRetention = 24 * time.Hour

// Retention returns the rule that removes claims and their recorded answers after
// claimRetention.
func Retention(objects external.Objects) retention.Rule {
	return retention.Rule{
		Name:   "claims",
		Prefix: claimPrefix,
		Expired: func(data json.RawMessage, now time.Time) bool {
			var row claimRow
			return json.Unmarshal(data, &row) == nil && now.Sub(row.Created) > claimRetention
		},
		BeforeDelete: func(ctx context.Context, _ string, data json.RawMessage) error {
			var row claimRow
			if json.Unmarshal(data, &row) != nil || row.Object == "" {
				return nil
			}
			err := objects.Delete(ctx, row.Object)
			if errors.Is(err, external.ErrNotFound) {
				return nil
			}
			return err
		},
	}
}
