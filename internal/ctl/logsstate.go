package ctl

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
)

// standingReport is the output of "logs state".
type standingReport struct {
	Lines   int                  `json:"lines"`
	Skipped joblog.Skipped       `json:"skipped"`
	Jobs    []joblog.JobStanding `json:"jobs"`
}

func (e *env) logsState(flags *logsFlags, files []string) error {
	if flags.most < 0 {
		return usagef("-most must not be negative")
	}
	journal, err := e.readLogs(flags, files)
	if err != nil {
		return err
	}
	jobs := slices.DeleteFunc(journal.Standings(), func(s joblog.JobStanding) bool {
		return flags.job != "" && s.Job != flags.job || flags.queue != "" && s.Queue != flags.queue
	})
	if flags.job != "" && len(jobs) == 0 {
		return errors.NotFoundf("job %q, not ended, in the log lines", flags.job)
	}
	report := standingReport{journal.Lines, journal.Skipped, jobs}
	if flags.most > 0 && len(jobs) > flags.most {
		report.Jobs = jobs[:flags.most]
	}
	if e.json {
		return e.printJSON(report)
	}
	return e.printStandings(flags, report)
}

func (e *env) printStandings(flags *logsFlags, report standingReport) error {
	fmt.Fprintf(e.stdout, "%s; times in milliseconds\n\n", describeLines(report.Lines, report.Skipped))
	rows := [][]string{{"job", "queue", "account", "state", "idle for", "tasks", "done", "running", "stopping", "unsaved", "last lost by", "reason"}}
	for _, s := range report.Jobs {
		reason := s.Reason
		if flags.job == "" {
			reason = shorten(reason, 60)
		}
		rows = append(rows, []string{s.Job, orDash(s.Queue), orDash(s.Account), string(s.Standing), fmt.Sprint(s.ForMS), numberOrDash(s.Tasks), numberOrDash(s.Done),
			numberOrDash(s.Running), numberOrDash(s.Stopping), numberOrDash(s.Unsaved), orDash(string(s.LastLost)), orDash(reason)})
	}
	if err := e.printTable(rows); err != nil {
		return err
	}
	if flags.job == "" || len(report.Jobs[0].Missing) == 0 {
		return nil
	}
	fmt.Fprintf(e.stdout, "\nmembers without an end, at most %d:\n", joblog.MaxMissing)
	rows = [][]string{{"run", "task", "worker", "placed", "start ordered", "stop ordered", "stopped by"}}
	for _, m := range report.Jobs[0].Missing {
		rows = append(rows, []string{fmt.Sprint(m.Run), m.Task, orDash(m.Worker), clock(m.Placed), clock(m.Started), clock(m.StopOrdered), orDash(string(m.Cause))})
	}
	return e.printTable(rows)
}

// clock returns the time of day, as other tools show it beside the lines.
func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}

// shorten cuts a text to a number of bytes.
func shorten(s string, most int) string {
	if len(s) <= most {
		return s
	}
	return s[:most] + "…"
}
