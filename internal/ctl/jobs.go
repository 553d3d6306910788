package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/juju/errors"
)

// jobsPageSize is the largest number of jobs that one call requests.
const jobsPageSize = 200

func jobCommands(e *env) []*command {
	return []*command{
		submitCommand(e),
		listJobsCommand(e),
		{
			name: "get", arguments: "ID", synopsis: "show one job", minArgs: 1, maxArgs: 1,
			example: "  coltsfootctl jobs get 7d0c3a52",
			run: func(ctx context.Context, args []string) error {
				record, err := e.client().Job(ctx, args[0], 0)
				if err != nil {
					return err
				}
				return e.printJob(record)
			},
		},
		waitCommand(e),
		{
			name: "cancel", arguments: "ID", synopsis: "ask for the end of a job", minArgs: 1, maxArgs: 1,
			example: "  coltsfootctl jobs cancel 7d0c3a52",
			run: func(ctx context.Context, args []string) error {
				record, err := e.client().CancelJob(ctx, args[0])
				if err != nil {
					return err
				}
				return e.printJob(record)
			},
		},
	}
}

func listJobsCommand(e *env) *command {
	var state string
	var limit int
	return &command{
		name: "list", synopsis: "list jobs",
		example: "  coltsfootctl jobs list --state running",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&state, "state", "", "only jobs in this `STATE`: queued, running or final")
			f.IntVar(&limit, "limit", 0, "at most `N` jobs; 0 stands for all")
		},
		run: func(ctx context.Context, _ []string) error {
			jobs, err := e.collectJobs(ctx, api.JobState(state), limit)
			if err != nil {
				return err
			}
			return e.printJobs(jobs)
		},
	}
}

func (e *env) collectJobs(ctx context.Context, state api.JobState, limit int) ([]api.JobRecord, error) {
	c := e.client()
	jobs := []api.JobRecord{}
	query := client.JobsQuery{State: state, Limit: jobsPageSize}
	for {
		if limit > 0 {
			query.Limit = min(jobsPageSize, limit-len(jobs))
		}
		page, err := c.Jobs(ctx, query)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, page.Jobs...)
		if page.Next == "" || (limit > 0 && len(jobs) >= limit) {
			return jobs, nil
		}
		query.After = page.Next
	}
}

func (e *env) printJobs(jobs []api.JobRecord) error {
	if e.json {
		return e.printJSON(jobs)
	}
	rows := [][]string{{"JOB", "PROFILE", "GANG", "STATE", "OUTCOME", "ATTEMPT", "SUBMITTED", "DETAIL"}}
	for _, r := range jobs {
		rows = append(rows, []string{
			r.Job.ID, r.Job.Profile, formatShape(r.Job.Gang), string(r.State), orDash(string(r.Outcome)),
			fmt.Sprint(r.Attempt), r.Job.Submitted.Format(time.RFC3339), orDash(r.Detail),
		})
	}
	return e.printTable(rows)
}

func (e *env) printJob(r api.JobRecord) error {
	if e.json {
		return e.printJSON(r)
	}
	rows := [][]string{
		{"job", r.Job.ID},
		{"profile", r.Job.Profile},
		{"gang", formatShape(r.Job.Gang)},
		{"state", string(r.State)},
		{"outcome", orDash(string(r.Outcome))},
		{"detail", orDash(r.Detail)},
		{"attempt", fmt.Sprint(r.Attempt)},
		{"placement", formatPlacements(r.Placements)},
		{"submitted", r.Job.Submitted.Format(time.RFC3339)},
	}
	if r.CancelAsked {
		rows = append(rows, []string{"cancel", "asked for"})
	}
	if !r.Finished.IsZero() {
		rows = append(rows, []string{"finished", r.Finished.Format(time.RFC3339)})
	}
	for _, result := range r.Results {
		rows = append(rows, []string{"output of " + formatTaskRange(result.FirstTask, result.Tasks), compactJSON(result.Output)})
	}
	return e.printTable(rows)
}

func formatPlacements(placements []api.Placement) string {
	parts := make([]string, len(placements))
	for i, p := range placements {
		parts[i] = fmt.Sprintf("%s on %s (%s)", formatTaskRange(p.FirstTask, p.Tasks), p.Worker, p.Zone)
	}
	return orDash(strings.Join(parts, ", "))
}

func formatTaskRange(first, n int) string {
	if n <= 1 {
		return fmt.Sprintf("task %d", first)
	}
	return fmt.Sprintf("tasks %d-%d", first, first+n-1)
}

// compactJSON returns a JSON document without whitespace, or the document itself if it is invalid.
func compactJSON(document json.RawMessage) string {
	var b bytes.Buffer
	if err := json.Compact(&b, document); err != nil {
		return string(document)
	}
	return b.String()
}

// Bounds of waiting for a job.
const (
	// maxWaitPerCall bounds the time that the entry holds one call open.
	maxWaitPerCall = 20 * time.Second
	// maxTimeWithoutResponse ends a wait in which every call fails for this long.
	maxTimeWithoutResponse = time.Minute
	waitRetryInterval      = 500 * time.Millisecond
)

func waitCommand(e *env) *command {
	var maxWait time.Duration
	return &command{
		name: "wait", arguments: "ID", minArgs: 1, maxArgs: 1,
		synopsis: "wait for the end of a job; the exit code tells its outcome",
		example:  "  coltsfootctl jobs wait 7d0c3a52 --for 2h",
		flags:    func(f *flag.FlagSet) { addMaxWaitFlag(f, &maxWait) },
		run: func(ctx context.Context, args []string) error {
			return e.waitForJob(ctx, args[0], maxWait)
		},
	}
}

func addMaxWaitFlag(f *flag.FlagSet, maxWait *time.Duration) {
	f.DurationVar(maxWait, "for", 0, "wait at most `DURATION`; 0 stands for no bound")
}

func (e *env) waitForJob(ctx context.Context, id string, maxWait time.Duration) error {
	record, err := e.awaitFinalJob(ctx, id, maxWait)
	if err != nil {
		return err
	}
	if err := e.printJob(record); err != nil {
		return err
	}
	if record.State != api.JobFinal {
		return errors.Annotatef(errWaitTimeout, "job %q is %s after %v", id, record.State, maxWait)
	}
	return checkOutcome("job "+id, record.Outcome, record.Detail)
}

// awaitFinalJob returns the job once it is final or maxWait has passed. It retries
// transient errors, for example while entries are replaced: reading a job has no
// effect. A maxWait of 0 means no bound.
func (e *env) awaitFinalJob(ctx context.Context, id string, maxWait time.Duration) (api.JobRecord, error) {
	c := e.client()
	start := time.Now()
	lastResponse := start
	for {
		callWait := maxWaitPerCall
		if maxWait > 0 {
			callWait = min(callWait, max(0, maxWait-time.Since(start)))
		}
		record, err := c.Job(ctx, id, callWait)
		switch {
		case err == nil:
			lastResponse = time.Now()
			if record.State == api.JobFinal || (maxWait > 0 && time.Since(start) >= maxWait) {
				return record, nil
			}
		case !isTransient(err) || ctx.Err() != nil || time.Since(lastResponse) > maxTimeWithoutResponse:
			return record, err
		case maxWait > 0 && time.Since(start) >= maxWait:
			return record, err
		}
		if err := sleep(ctx, waitRetryInterval); err != nil {
			return record, err
		}
	}
}

// isTransient reports whether the same call may succeed later.
func isTransient(err error) bool {
	code := exitCode(err)
	return code == ExitUnreachable || code == ExitOutcomeUnknown || code == ExitNotRun
}
