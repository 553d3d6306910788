package jobs

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
)

// finalJobRetention is how long a final job is kept, with its result and its
// idempotency key.
const finalJobRetention = 7 * 24 * time.Hour

// Retention returns the rule that deletes final jobs after finalJobRetention.
func Retention() retention.Rule {
	return retention.Rule{
		Name:   "jobs",
		Prefix: jobPrefix,
		Expired: func(data json.RawMessage, now time.Time) bool {
			var row Row
			if json.Unmarshal(data, &row) != nil || row.Record.State != api.JobFinal {
				return false
			}
			return now.Sub(row.Record.Finished) > finalJobRetention
		},
	}
}
