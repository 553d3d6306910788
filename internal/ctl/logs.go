package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
)

// logsFlags select what is shown of the log lines.
type logsFlags struct {
	by     string
	queue  string
	job    string
	window time.Duration
	most   int
}

// logsReport is the output of "logs time".
type logsReport struct {
	Lines     int                `json:"lines"`
	Malformed int                `json:"malformed"`
	Groups    []joblog.GroupTime `json:"groups"`
	Jobs      []joblog.JobTime   `json:"jobs"`
}

func logsCommands(e *env) []*command {
	var flags logsFlags
	return []*command{{
		name: "time", arguments: "[FILE...]", maxArgs: -1,
		synopsis: "tell where the time of jobs went, from the log lines of all entries, the worst first",
		example: "  coltsfootctl logs time -queue quotes entry-*.log\n" +
			"  collect-logs entry | coltsfootctl logs time -job 163823fafb624476",
		flags: flags.register,
		run:   func(_ context.Context, args []string) error { return e.logsTime(&flags, args) },
	}}
}

func (l *logsFlags) register(f *flag.FlagSet) {
	f.StringVar(&l.by, "by", string(joblog.ByQueue), "add jobs up by `KEY`: queue, account, zone (of the entry) or window")
	f.DurationVar(&l.window, "window", 10*time.Second, "`DURATION` of the windows of -by window")
	f.StringVar(&l.queue, "queue", "", "only jobs of the queue `NAME`")
	f.StringVar(&l.job, "job", "", "only the job `ID`, with its runs and the reasons of its waits")
	f.IntVar(&l.most, "most", 20, "show `N` jobs at most; 0 for all")
}

func (e *env) logsTime(flags *logsFlags, files []string) error {
	if !slices.Contains(joblog.Groupings, joblog.Grouping(flags.by)) {
		return usagef("-by %q: want one of %v", flags.by, joblog.Groupings)
	}
	if flags.window <= 0 || flags.most < 0 {
		return usagef("-window must be positive and -most not negative")
	}
	journal := joblog.New()
	if err := e.readLogs(journal, files); err != nil {
		return err
	}
	jobs := slices.DeleteFunc(journal.Jobs(flags.job != ""), func(t joblog.JobTime) bool {
		return flags.job != "" && t.Job != flags.job || flags.queue != "" && t.Queue != flags.queue
	})
	if flags.job != "" && len(jobs) == 0 {
		return errors.NotFoundf("job %q in the log lines", flags.job)
	}
	report := logsReport{Lines: journal.Lines, Malformed: journal.Malformed,
		Groups: joblog.Group(jobs, joblog.Grouping(flags.by), flags.window), Jobs: jobs}
	if flags.most > 0 && len(jobs) > flags.most {
		report.Jobs = jobs[:flags.most]
	}
	if e.json {
		return e.printJSON(report)
	}
	return e.printLogs(flags, report)
}

// readLogs reads files, or the standard input if there are none.
func (e *env) readLogs(journal *joblog.Journal, files []string) error {
	if len(files) == 0 {
		return journal.Read(e.stdin)
	}
	for _, name := range files {
		if err := readLogFile(journal, name); err != nil {
			return err
		}
	}
	return nil
}

func readLogFile(journal *joblog.Journal, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return usagef("%v", err)
	}
	defer file.Close()
	return errors.Annotatef(journal.Read(file), "reading %s", name)
}

func (e *env) printLogs(flags *logsFlags, report logsReport) error {
	fmt.Fprintf(e.stdout, "%d lines, %d of them malformed and skipped; times in milliseconds\n\n", report.Lines, report.Malformed)
	rows := [][]string{append([]string{flags.by, "jobs", "lost"}, phaseNames()...)}
	for _, g := range report.Groups {
		rows = append(rows, append([]string{orDash(g.Key), fmt.Sprint(g.Jobs), fmt.Sprint(g.LostMS)}, phaseTimes(g.PhaseMS)...))
	}
	if err := e.printTable(rows); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout)
	rows = [][]string{append([]string{"job", "queue", "account", "zone", "outcome", "took", "lost"}, phaseNames()...)}
	for _, t := range report.Jobs {
		rows = append(rows, append([]string{t.Job, orDash(t.Queue), orDash(t.Account), orDash(t.Zone), orDash(t.Outcome),
			fmt.Sprint(t.TookMS), fmt.Sprint(t.LostMS)}, phaseTimes(t.PhaseMS)...))
	}
	if err := e.printTable(rows); err != nil {
		return err
	}
	if flags.job != "" {
		return e.printRuns(report.Jobs[0])
	}
	return nil
}

// printRuns prints the runs of a job and the reasons of its waits, in milliseconds since
// its submission.
func (e *env) printRuns(t joblog.JobTime) error {
	rows := [][]string{{"task", "worker", "placed", "started", "ended", "end"}}
	for _, r := range t.Runs {
		rows = append(rows, []string{r.Task, r.Worker, since(t.Began, r.Placed), since(t.Began, r.Started), since(t.Began, r.Ended), orDash(r.End)})
	}
	io.WriteString(e.stdout, "\n")
	if err := e.printTable(rows); err != nil {
		return err
	}
	for _, w := range t.Waits {
		fmt.Fprintf(e.stdout, "\nat %s: %s", since(t.Began, w.At), w.Reason)
	}
	if t.Detail != "" {
		fmt.Fprintf(e.stdout, "\n%s %s", t.Outcome, t.Detail)
	}
	_, err := io.WriteString(e.stdout, "\n")
	return errors.Trace(err)
}

func since(began, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprint(at.Sub(began).Milliseconds())
}

func phaseNames() []string {
	var names []string
	for _, p := range joblog.Phases {
		names = append(names, string(p))
	}
	return names
}

func phaseTimes(times map[joblog.Phase]int64) []string {
	var out []string
	for _, p := range joblog.Phases {
		out = append(out, numberOrDash(int(times[p])))
	}
	return out
}
