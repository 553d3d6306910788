package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
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
	at     string
}

// logsReport is the output of "logs time" and "logs lost".
type logsReport struct {
	Lines     int                `json:"lines"`
	Malformed int                `json:"malformed"`
	Skipped   joblog.Skipped     `json:"skipped"`
	Groups    []joblog.GroupTime `json:"groups"`
	Jobs      []joblog.JobTime   `json:"jobs"`
}

func logsCommands(e *env) []*command {
	var times, lost, state logsFlags
	var timeline timelineFlags
	return []*command{{
		name: "time", arguments: "[FILE...]", maxArgs: -1,
		synopsis: "tell where the time of jobs went, from the log lines of all entries, the worst first",
		example: "  coltsfootctl logs time -queue quotes entry-*.log\n" +
			"  collect-logs entry | coltsfootctl logs time -job 163823fafb624476",
		flags: func(f *flag.FlagSet) { times.register(f, joblog.ByQueue) },
		run:   func(_ context.Context, args []string) error { return e.logsTime(&times, args, asFound, e.printLogs) },
	}, {
		name: "lost", arguments: "[FILE...]", maxArgs: -1,
		synopsis: "tell which runs were kept and which lost, and by what, from the log lines of all processes",
		example: "  coltsfootctl logs lost entry-*.log agent-*.log\n" +
			"  collect-logs | coltsfootctl logs lost -job 163823fafb624476",
		flags: func(f *flag.FlagSet) { lost.register(f, joblog.ByAll) },
		run:   func(_ context.Context, args []string) error { return e.logsTime(&lost, args, byLoss, e.printLost) },
	}, {
		name: "state", arguments: "[FILE...]", maxArgs: -1,
		synopsis: "tell what jobs that have not ended wait for, from the log lines of all processes",
		example: "  coltsfootctl logs state entry-*.log agent-*.log\n" +
			"  collect-logs | coltsfootctl logs state -job 163823fafb624476 -at 2026-02-22T14:53:30Z",
		flags: func(f *flag.FlagSet) {
			f.IntVar(&state.most, "most", 20, "show `N` jobs at most; 0 for all")
			state.registerSelection(f)
		},
		run: func(_ context.Context, args []string) error { return e.logsState(&state, args) },
	}, {
		name: "timeline", arguments: "[FILE...]", maxArgs: -1,
		synopsis: "show what the tasks of all jobs or one did, step by step, as a table or a picture",
		example: "  coltsfootctl logs timeline -plot day.png entry-*.log agent-*.log\n" +
			"  collect-logs | coltsfootctl logs timeline -job 163823fafb624476 -step 500ms",
		flags: timeline.register,
		run:   func(_ context.Context, args []string) error { return e.logsTimeline(&timeline, args) },
	}}
}

func (l *logsFlags) register(f *flag.FlagSet, by joblog.Grouping) {
	f.StringVar(&l.by, "by", string(by), "add jobs up by `KEY`: queue, account, zone (of the entry), window or all")
	f.DurationVar(&l.window, "window", 10*time.Second, "`DURATION` of the windows of -by window")
	f.IntVar(&l.most, "most", 20, "show `N` jobs at most; 0 for all")
	l.registerSelection(f)
}

// registerSelection adds the flags that say which lines and jobs are read.
func (l *logsFlags) registerSelection(f *flag.FlagSet) {
	f.StringVar(&l.queue, "queue", "", "only jobs of the queue `NAME`")
	f.StringVar(&l.job, "job", "", "only the job `ID`, with its runs and the reasons of its waits")
	f.StringVar(&l.at, "at", "", "leave out lines after `TIME` (RFC 3339)")
}

// check returns an error for flags that are out of range.
func (l *logsFlags) check() error {
	if !slices.Contains(joblog.Groupings, joblog.Grouping(l.by)) {
		return usagef("-by %q: want one of %v", l.by, joblog.Groupings)
	}
	if l.window <= 0 || l.most < 0 {
		return usagef("-window must be positive and -most not negative")
	}
	return nil
}

// leavesOut reports whether a job is not selected.
func (l *logsFlags) leavesOut(t joblog.JobTime) bool {
	return l.job != "" && t.Job != l.job || l.queue != "" && t.Queue != l.queue
}

// asFound keeps the order of jobs.
func asFound([]joblog.JobTime) {}

func (e *env) logsTime(flags *logsFlags, files []string, sort func([]joblog.JobTime), print func(*logsFlags, logsReport) error) error {
	if err := flags.check(); err != nil {
		return err
	}
	journal, err := e.readLogs(flags, files)
	if err != nil {
		return err
	}
	jobs := slices.DeleteFunc(journal.Jobs(flags.job != ""), flags.leavesOut)
	if flags.job != "" && len(jobs) == 0 {
		return errors.NotFoundf("job %q in the log lines", flags.job)
	}
	sort(jobs)
	report := logsReport{Lines: journal.Lines, Malformed: journal.Skipped.Malformed, Skipped: journal.Skipped,
		Groups: joblog.Group(jobs, joblog.Grouping(flags.by), flags.window), Jobs: jobs}
	if flags.most > 0 && len(jobs) > flags.most {
		report.Jobs = jobs[:flags.most]
	}
	if e.json {
		return e.printJSON(report)
	}
	return print(flags, report)
}

// readLogs reads files, or the standard input if there are none.
func (e *env) readLogs(flags *logsFlags, files []string) (*joblog.Journal, error) {
	journal := joblog.New()
	if flags.at != "" {
		at, err := time.Parse(time.RFC3339, flags.at)
		if err != nil {
			return nil, usagef("-at: %v", err)
		}
		journal.EndAt(at)
	}
	if len(files) == 0 {
		return journal, journal.Read(e.stdin)
	}
	for _, name := range files {
		if err := readLogFile(journal, name); err != nil {
			return nil, err
		}
	}
	return journal, nil
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
	fmt.Fprintf(e.stdout, "%s; times in milliseconds\n\n", describeLines(report.Lines, report.Skipped))
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

// describeLines tells how many lines were read and which were left out.
func describeLines(lines int, s joblog.Skipped) string {
	text := fmt.Sprintf("%d lines", lines)
	for _, c := range []struct {
		count int
		what  string
	}{
		{s.Malformed, "malformed"}, {s.TooLong, "too long"}, {s.Repeated, "repeated"}, {s.Later, "later"}, {s.Misdated, "misdated"},
		{s.OfJobs, "of jobs beyond the bound"}, {s.OfRuns, "of runs beyond the bound"}, {s.OfOthers, "of workers, terms and processes beyond the bound"},
		{s.LateEnds, "ends of runs that the owner did not track"}, {s.Unplaced, "ends of runs without a placement"},
	} {
		if c.count > 0 {
			text += fmt.Sprintf(", %d %s", c.count, c.what)
		}
	}
	return text
}

// printRuns prints the runs of a job and the reasons of its waits, in milliseconds since
// its submission.
func (e *env) printRuns(t joblog.JobTime) error {
	rows := [][]string{{"run", "task", "worker", "placed", "started", "ended", "end", "state", "hit", "cause"}}
	for _, r := range t.Runs {
		rows = append(rows, []string{fmt.Sprint(r.Run), r.Task, orDash(r.Worker), since(t.Began, r.Placed), since(t.Began, r.Started), since(t.Began, r.Ended),
			orDash(r.End), string(r.State), hit(r), orDash(describeRun(r))})
	}
	io.WriteString(e.stdout, "\n")
	if err := e.printTable(rows); err != nil {
		return err
	}
	for _, w := range t.Waits {
		fmt.Fprintf(e.stdout, "\nat %s: %s", since(t.Began, w.At), w.Reason)
	}
	for _, w := range t.Held {
		fmt.Fprintf(e.stdout, "\nat %s: held: %s", since(t.Began, w.At), w.Reason)
	}
	if t.Detail != "" {
		fmt.Fprintf(e.stdout, "\n%s %s", t.Outcome, t.Detail)
	}
	_, err := io.WriteString(e.stdout, "\n")
	return errors.Trace(err)
}

// hit tells whether the cause of a lost run came on itself or on its gang.
func hit(r joblog.RunTime) string {
	switch {
	case r.State == joblog.Kept || r.State == joblog.Open:
		return "-"
	case r.Direct:
		return "itself"
	default:
		return "gang"
	}
}

func describeRun(r joblog.RunTime) string {
	if r.Checkpoint == "" {
		return r.Cause
	}
	return strings.TrimSpace(r.Cause + " from checkpoint " + r.Checkpoint)
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
