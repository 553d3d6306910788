package ctl

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
	"github.com/coltsfootlug/coltsfootlug/internal/joblog/chart"
)

// timelineFlags select what "logs timeline" shows.
type timelineFlags struct {
	logsFlags
	step time.Duration
	unit string
	from string
	plot string
}

// timelineReport is the output of "logs timeline".
type timelineReport struct {
	Lines   int            `json:"lines"`
	Skipped joblog.Skipped `json:"skipped"`
	joblog.Timeline
}

func (l *timelineFlags) register(f *flag.FlagSet) {
	f.DurationVar(&l.step, "step", time.Second, "`DURATION` of a step")
	f.StringVar(&l.unit, "unit", string(joblog.InTasks), "count `UNIT`: tasks or cores (of runs whose needs the lines tell)")
	f.StringVar(&l.from, "from", "", "begin at `TIME` (RFC 3339)")
	f.StringVar(&l.plot, "plot", "", "write a picture to `FILE`, .png or .svg, in place of the table")
	l.registerSelection(f)
}

// selection returns the selected part of the journal.
func (l *timelineFlags) selection() (joblog.Selection, error) {
	s := joblog.Selection{Job: l.job, Queue: l.queue, Step: l.step, Unit: joblog.Unit(l.unit)}
	if l.step < time.Millisecond {
		return s, usagef("-step must be a millisecond or more")
	}
	if !slices.Contains(joblog.Units, s.Unit) {
		return s, usagef("-unit %q: want one of %v", l.unit, joblog.Units)
	}
	if l.plot != "" && !slices.Contains(chart.Formats, pictureFormat(l.plot)) {
		return s, usagef("-plot %q: want a name that ends with one of %v", l.plot, chart.Formats)
	}
	if l.from == "" {
		return s, nil
	}
	from, err := time.Parse(time.RFC3339, l.from)
	if err != nil {
		return s, usagef("-from: %v", err)
	}
	s.From = from
	return s, nil
}

func pictureFormat(name string) string { return strings.TrimPrefix(filepath.Ext(name), ".") }

func (e *env) logsTimeline(flags *timelineFlags, files []string) error {
	selection, err := flags.selection()
	if err != nil {
		return err
	}
	journal, err := e.readLogs(&flags.logsFlags, files)
	if err != nil {
		return err
	}
	t, err := journal.Timeline(selection)
	if errors.Is(err, joblog.ErrTimelineTooLong) {
		return usagef("%v; choose a longer -step, or -from and -at", err)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if flags.plot != "" {
		if err := drawTimeline(flags, t); err != nil {
			return errors.Trace(err)
		}
	}
	report := timelineReport{journal.Lines, journal.Skipped, t}
	switch {
	case e.json:
		return e.printJSON(report)
	case flags.plot != "":
		_, err := fmt.Fprintln(e.stdout, describeLines(report.Lines, report.Skipped))
		return errors.Trace(err)
	default:
		return e.printTimeline(report)
	}
}

// drawTimeline writes the picture of a timeline to its file.
func drawTimeline(flags *timelineFlags, t joblog.Timeline) error {
	file, err := os.Create(flags.plot)
	if err != nil {
		return usagef("%v", err)
	}
	title := "All jobs"
	switch {
	case flags.job != "":
		title = "Job " + flags.job
	case flags.queue != "":
		title = "Queue " + flags.queue
	}
	err = chart.Draw(file, t, title, pictureFormat(flags.plot))
	if closed := file.Close(); err == nil {
		err = closed
	}
	return errors.Annotatef(err, "writing %s", flags.plot)
}

// printTimeline prints a row for each step, with the states in use.
func (e *env) printTimeline(report timelineReport) error {
	fmt.Fprintf(e.stdout, "%s; mean number of %s in each step\n\n", describeLines(report.Lines, report.Skipped), report.Unit)
	states := slices.DeleteFunc(slices.Clone(joblog.States), func(s joblog.State) bool { return report.States[s] == nil })
	header := []string{"from"}
	steps := 0
	for _, s := range states {
		header = append(header, string(s))
		steps = len(report.States[s])
	}
	rows := [][]string{append(header, "marks")}
	step := time.Duration(report.StepMS) * time.Millisecond
	for i := range steps {
		from := report.Begin.Add(time.Duration(i) * step)
		row := []string{clock(from)}
		for _, s := range states {
			row = append(row, decimal(report.States[s][i]))
		}
		rows = append(rows, append(row, orDash(describeMarks(report.Marks, from, from.Add(step)))))
	}
	return e.printTable(rows)
}

func decimal(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

// describeMarks returns the marks within a step.
func describeMarks(marks []joblog.Mark, from, to time.Time) string {
	var out []string
	for _, m := range marks {
		switch {
		case m.At.Before(from) || !m.At.Before(to):
		case m.Token > 0:
			out = append(out, fmt.Sprintf("term %d", m.Token))
		default:
			out = append(out, fmt.Sprintf("%d workers lost", m.Workers))
		}
	}
	return strings.Join(out, ", ")
}
