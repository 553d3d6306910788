package jobs

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
)

// finalJobRetention is how long a final job, with its answer and its idempotency key,
// is remembered.
const finalJobRetention = 7 * 24 * time.Hour

// Retention removes final jobs after finalKeep.
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
