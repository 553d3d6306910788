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

// jobsPageSize is the number of jobs that one call asks for.
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
			r.Job.ID, r.Job.Profile, shapeText(r.Job.Gang), string(r.State), orDash(string(r.Outcome)),
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
		{"gang", shapeText(r.Job.Gang)},
		{"state", string(r.State)},
		{"outcome", orDash(string(r.Outcome))},
		{"detail", orDash(r.Detail)},
		{"attempt", fmt.Sprint(r.Attempt)},
		{"placement", placementText(r.Placements)},
		{"submitted", r.Job.Submitted.Format(time.RFC3339)},
	}
	if r.CancelAsked {
		rows = append(rows, []string{"cancel", "asked for"})
	}
	if !r.Finished.IsZero() {
		rows = append(rows, []string{"finished", r.Finished.Format(time.RFC3339)})
	}
	for _, result := range r.Results {
		rows = append(rows, []string{"output of " + taskRange(result.FirstTask, result.Tasks), compact(result.Output)})
	}
	return e.printTable(rows)
}

func placementText(placements []api.Placement) string {
	parts := make([]string, len(placements))
	for i, p := range placements {
		parts[i] = fmt.Sprintf("%s on %s (%s)", taskRange(p.FirstTask, p.Tasks), p.Worker, p.Zone)
	}
	return orDash(strings.Join(parts, ", "))
}

func taskRange(first, n int) string {
	if n <= 1 {
		return fmt.Sprintf("task %d", first)
	}
	return fmt.Sprintf("tasks %d-%d", first, first+n-1)
}

// compact returns a JSON document on one line.
func compact(document json.RawMessage) string {
	var b bytes.Buffer
	if err := json.Compact(&b, document); err != nil {
		return string(document)
	}
	return b.String()
}

// Times of waiting for a job.
const (
	// waitStep is how long one call waits at the entry.
	waitStep = 20 * time.Second
	// waitPatience is how long a wait goes on without any answer.
	waitPatience = time.Minute
	waitPause    = 500 * time.Millisecond
)

func waitCommand(e *env) *command {
	var bound time.Duration
	return &command{
		name: "wait", arguments: "ID", minArgs: 1, maxArgs: 1,
		synopsis: "wait for the end of a job; the exit code tells its outcome",
		example:  "  coltsfootctl jobs wait 7d0c3a52 --for 2h",
		flags:    func(f *flag.FlagSet) { addBound(f, &bound) },
		run: func(ctx context.Context, args []string) error {
			return e.waitForJob(ctx, args[0], bound)
		},
	}
}

func addBound(f *flag.FlagSet, bound *time.Duration) {
	f.DurationVar(bound, "for", 0, "wait at most `DURATION`; 0 stands for no bound")
}

func (e *env) waitForJob(ctx context.Context, id string, bound time.Duration) error {
	record, err := e.awaitFinal(ctx, id, bound)
	if err != nil {
		return err
	}
	if err := e.printJob(record); err != nil {
		return err
	}
	if record.State != api.JobFinal {
		return errors.Annotatef(errNotYet, "job %q is %s after %v", id, record.State, bound)
	}
	return checkOutcome("job "+id, record.Outcome, record.Detail)
}

// awaitFinal returns the job once it is final or bound has passed. It goes on
// while entries are replaced, as reading a job has no effect.
func (e *env) awaitFinal(ctx context.Context, id string, bound time.Duration) (api.JobRecord, error) {
	c := e.client()
	start := time.Now()
	answered := start
	for {
		step := waitStep
		if bound > 0 {
			step = min(step, max(0, bound-time.Since(start)))
		}
		record, err := c.Job(ctx, id, step)
		switch {
		case err == nil:
			answered = time.Now()
			if record.State == api.JobFinal || (bound > 0 && time.Since(start) >= bound) {
				return record, nil
			}
		case !transient(err) || ctx.Err() != nil || time.Since(answered) > waitPatience:
			return record, err
		case bound > 0 && time.Since(start) >= bound:
			return record, err
		}
		if err := sleep(ctx, waitPause); err != nil {
			return record, err
		}
	}
}

// transient reports whether the same call may succeed later.
func transient(err error) bool {
	code := exitCode(err)
	return code == ExitUnreachable || code == ExitOutcomeUnknown || code == ExitNotRun
}
