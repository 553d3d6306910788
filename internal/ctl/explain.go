package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/explain"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Output formats of explain.
const (
	formatText = "text"
	formatJSON = "json"
)

// explainFlags describe the job to explain.
type explainFlags struct {
	request explain.Request
	job     string
	step    graph.Step
	spec    string
	format  string
}

func explainCommand(e *env) *command {
	var flags explainFlags
	return &command{
		env: e, path: "explain", name: "explain",
		synopsis: "tell where a job would be placed now and why, without submitting it",
		// The flag -entry takes the address of the debug pages here, as for dump.
		arguments: "-entry ADDRESS_OF_DEBUG_PAGES",
		example: "  coltsfootctl explain -entry 10.0.1.7:9100 -queue quotes -account bureau-3 -tasks 4 -accelerators 8 -estimate 2s -gang\n" +
			"  coltsfootctl explain -entry 10.0.1.7:9100 -job 163823fafb624476 -o json",
		flags: flags.register,
		run:   func(ctx context.Context, _ []string) error { return e.explain(ctx, &flags) },
	}
}

func (x *explainFlags) register(f *flag.FlagSet) {
	f.StringVar(&x.job, "job", "", "`ID` of a job that waits or runs; excludes the flags below except -o")
	f.StringVar(&x.request.Queue, "queue", "", "`NAME` of the queue")
	f.StringVar(&x.request.Account, "account", "", "`NAME` of the account; not needed for a public queue")
	f.IntVar(&x.step.Count, "tasks", 1, "`N` tasks of the job's only step")
	f.IntVar(&x.step.Needs.Accelerators, "accelerators", 0, "`N` accelerators for each task")
	f.IntVar(&x.step.Needs.MilliCPU, "milli-cpu", 1000, "`N` thousandths of a core for each task")
	f.IntVar(&x.step.Needs.MemoryMB, "memory-mb", 1024, "`N` megabytes for each task")
	f.DurationVar(&x.step.Estimate, "estimate", time.Second, "`DURATION` that a task is expected to run")
	f.BoolVar(&x.step.Gang, "gang", false, "the tasks run together or not at all")
	f.BoolVar(&x.step.SameRack, "same-rack", false, "the tasks belong in one rack")
	f.StringVar(&x.spec, "spec", "", "`FILE` with queue, account and steps in JSON, instead of the flags above; - for the standard input")
	f.StringVar(&x.format, "o", formatText, "`FORMAT` of the output: text or json")
}

// resolve returns the request that the flags describe.
func (x *explainFlags) resolve(e *env) (explain.Request, error) {
	r := x.request
	var err error
	switch {
	case x.format != formatText && x.format != formatJSON:
		return r, usagef("-o %q: want text or json", x.format)
	case x.job != "" && (x.spec != "" || r.Queue != "" || r.Account != ""):
		return r, usagef("-job excludes -spec, -queue and -account")
	case x.spec != "" && (r.Queue != "" || r.Account != ""):
		return r, usagef("-spec excludes -queue and -account")
	case x.spec != "":
		r, err = readJSONFile[explain.Request](e, x.spec)
	case x.job != "":
		r = explain.Request{Job: graph.JobID(x.job)}
	default:
		r.Steps = []graph.Step{x.step}
	}
	if err != nil {
		return r, err
	}
	if err := r.Validate(); err != nil {
		return r, usagef("%v", err)
	}
	return r, nil
}

// explain prints the report on a job.
func (e *env) explain(ctx context.Context, flags *explainFlags) error {
	r, err := flags.resolve(e)
	if err != nil {
		return err
	}
	report, owner, err := e.client().Explain(ctx, r)
	if err == nil && report == nil {
		report, owner, err = client.New(owner, e.timeout).Explain(ctx, r)
	}
	if err != nil {
		return err
	}
	if report == nil {
		return errors.Annotatef(client.ErrUnreachable, "the owner of scheduling has just changed to %s", owner)
	}
	if e.json || flags.format == formatJSON {
		err = e.printJSON(report)
	} else {
		_, err = fmt.Fprint(e.stdout, reportText(report))
	}
	if err != nil {
		return errors.Trace(err)
	}
	return verdictError(report.Verdict)
}

// verdictError returns nil if the job would start now or runs.
func verdictError(v explain.Verdict) error {
	switch v {
	case explain.StartsNow, explain.Running:
		return nil
	case explain.Waits:
		return &exitError{ExitWouldWait}
	default:
		return &exitError{ExitWouldNotRun}
	}
}

var verdictTexts = map[explain.Verdict]string{
	explain.StartsNow: "would start now",
	explain.Waits:     "would wait",
	explain.Refused:   "would be refused by admission",
	explain.NeverFits: "can never run: a step does not fit on the known workers, even if they were empty",
	explain.Running:   "runs: no step of it waits for a place",
}

// reportText returns a report for people.
func reportText(r *explain.Report) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-11s %s\n", name+":", fmt.Sprintf(format, args...))
	}
	verdict := verdictTexts[r.Verdict]
	if verdict == "" {
		verdict = string(r.Verdict)
	}
	line("verdict", "%s", verdict)
	line("job", "%s, queue %s, account %s, pool %s, priority %d", orDash(string(r.Job)), r.Queue, orDash(r.Account), r.Pool, r.Priority)
	if a := r.Admission; a != nil && a.Refused {
		line("admission", "refuses (%s): can't start within %s, worthless if it starts after %s, retry after %s", a.Reason, duration(a.BoundMS), duration(a.LatestStartMS), duration(a.RetryAfterMS))
	} else if a != nil {
		line("admission", "accepts (%s), outlook %s old", a.Reason, duration(a.OutlookAgeMS))
	}
	line("order", "rank %d, %s, behind %d jobs with %d units%s", r.Order.Rank, r.Order.Urgency, r.Order.Ahead.Jobs, r.Order.Ahead.Units, listAhead(r.Order.Ahead))
	line("guarantee", "%s", guaranteeText(r.Guarantee))
	for i := range r.Steps {
		line(fmt.Sprintf("step %d", r.Steps[i].Step), "%s", stepText(&r.Steps[i]))
	}
	if len(r.NotReady) > 0 {
		line("not ready", "steps %v run already or wait for others", r.NotReady)
	}
	line("expected", "start %s, end %s", relative(r.StartMS), relative(r.EndMS))
	line("objective", "%s, due %s, without value after %s", duration(r.ObjectiveMS), relative(&r.DueMS), relative(&r.WorthlessMS))
	line("based on", "reports up to %s old, configuration %d confirmed %s ago, term %d", duration(r.Basis.OldestReportMS), r.Basis.ConfigVersion, duration(r.Basis.ConfigAgeMS), r.Basis.Token)
	return b.String()
}

func listAhead(a explain.Ahead) string {
	if len(a.First) == 0 {
		return ""
	}
	out := ": "
	for i, id := range a.First {
		if i > 0 {
			out += ", "
		}
		out += string(id)
	}
	if a.Jobs > len(a.First) {
		out += ", ..."
	}
	return out
}

func guaranteeText(g explain.Guarantee) string {
	if g.Guaranteed == 0 {
		return "none"
	}
	within := "this job is not within it"
	if g.Within {
		within = "this job is within it"
	}
	return fmt.Sprintf("%d of %d accelerators in use, %s", g.Used, g.Guaranteed, within)
}

var planTexts = map[explain.Plan]string{
	explain.Place:         "placed now",
	explain.Claim:         "placed once others are stopped",
	explain.Reserve:       "waits with a reservation",
	explain.WaitForFaster: "waits for faster workers",
	explain.Wait:          "waits without a reservation",
}

// stepText returns the lines of a step, the further ones indented.
func stepText(s *explain.Step) string {
	const indent = "\n            "
	plan := planTexts[s.Plan]
	if s.NoPlace != "" {
		plan += ": " + s.NoPlace
	}
	out := fmt.Sprintf("%d units ready, the first with %d tasks: %s, start %s, end %s", s.Units, s.Tasks, plan, relative(s.StartMS), relative(s.EndMS))
	out += indent + fmt.Sprintf("%d of %d workers have room for a task, %d of %d tasks fit there", s.Suitable, s.Workers, s.TasksFit, s.Tasks)
	for _, x := range s.RuledOut {
		out += indent + fmt.Sprintf("%d ruled out: %s", x.Workers, x.Reason)
	}
	for _, a := range s.Placement {
		out += indent + fmt.Sprintf("%d tasks on %s", a.Tasks, a.Worker)
	}
	for _, v := range s.Victims {
		out += indent + "stops " + v.Task
	}
	return out
}

func duration(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// relative returns a time relative to now, "unknown" for nil.
func relative(ms *int64) string {
	switch {
	case ms == nil:
		return "unknown"
	case *ms == 0:
		return "now"
	case *ms < 0:
		return duration(-*ms) + " ago"
	}
	return "in " + duration(*ms)
}
