package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
)

// printLost prints what tasks spent their time on, for each group and the jobs whose lost
// runs cost most.
func (e *env) printLost(flags *logsFlags, report logsReport) error {
	fmt.Fprintf(e.stdout, "%s; task-seconds and core-seconds (an accelerator counts as 8 cores)\n", describeLines(report.Lines, report.Skipped))
	for _, g := range report.Groups {
		if err := e.printSpent(flags.by, g); err != nil {
			return err
		}
	}
	if flags.job != "" {
		return e.printRuns(report.Jobs[0])
	}
	return e.printLosers(report.Jobs)
}

func (e *env) printSpent(by string, g joblog.GroupTime) error {
	fmt.Fprintf(e.stdout, "\n%s, %d jobs, %d starts, %d of them from a checkpoint\n", groupTitle(by, g.Key), g.Jobs, g.Starts, g.Resumed)
	rows := [][]string{{"state", "runs", "hit itself", "task-s", "core-s", "with checkpoint", "accelerator-s", "runs without needs"}}
	for _, s := range g.StatesInUse() {
		rows = append(rows, usageRow(string(s), g.States[s]))
	}
	rows = append(rows, usageRow("all lost", g.Lost()))
	if g.CostOthers.Runs > 0 && by != string(joblog.ByAll) {
		rows = append(rows, usageRow("lost by others for these", g.CostOthers))
	}
	return e.printTable(rows)
}

func groupTitle(by, key string) string {
	if by == string(joblog.ByAll) {
		return "all jobs"
	}
	return by + " " + orDash(key)
}

func usageRow(name string, u joblog.Usage) []string {
	return []string{name, numberOrDash(u.Runs), numberOrDash(u.Direct), seconds(u.TaskMS), seconds(u.CoreMS), seconds(u.CheckpointedMS), seconds(u.AcceleratorMS), numberOrDash(u.Unsized)}
}

func seconds(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(ms)/1000)
}

// byLoss sorts jobs by what their lost runs cost, the most first.
func byLoss(jobs []joblog.JobTime) {
	slices.SortStableFunc(jobs, func(a, b joblog.JobTime) int {
		x, y := a.Lost(), b.Lost()
		return cmp.Or(cmp.Compare(y.CoreMS, x.CoreMS), cmp.Compare(y.TaskMS, x.TaskMS))
	})
}

// printLosers prints the jobs that have lost runs.
func (e *env) printLosers(jobs []joblog.JobTime) error {
	rows := [][]string{{"job", "queue", "account", "outcome", "took ms", "kept runs", "lost runs", "lost task-s", "lost core-s", "cost others core-s", "causes"}}
	for _, t := range jobs {
		lost := t.Lost()
		if lost.Runs == 0 {
			continue
		}
		rows = append(rows, []string{t.Job, orDash(t.Queue), orDash(t.Account), orDash(t.Outcome), fmt.Sprint(t.TookMS),
			numberOrDash(t.States[joblog.Kept].Runs), fmt.Sprint(lost.Runs), seconds(lost.TaskMS), seconds(lost.CoreMS), seconds(t.CostOthers.CoreMS), describeCauses(t.Spent)})
	}
	if len(rows) == 1 {
		return nil
	}
	fmt.Fprintln(e.stdout)
	return e.printTable(rows)
}

// describeCauses returns the causes of lost runs with their numbers.
func describeCauses(s joblog.Spent) string {
	var out []string
	for _, c := range s.LostCauses() {
		out = append(out, fmt.Sprintf("%s %d", c, s.States[joblog.LostBy(c)].Runs))
	}
	return strings.Join(out, ", ")
}
