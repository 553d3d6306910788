package groups

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// TestScenarios runs the scripts in testdata. Each command except new, reports
// and dump is one event. "at" is the time of the step; other arguments are the
// fields of the event.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var core *Core
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				core = New(Config{Capacity: api.Resources{Accelerators: argInt(t, d, "accelerators", 8)}})
				return ""
			case "reports":
				return formatReports(core.Reports())
			case "dump":
				out, err := json.MarshalIndent(core.Dump(), "", " ")
				if err != nil {
					t.Fatal(err)
				}
				return string(out) + "\n"
			default:
				return formatActions(core.Step(argDuration(t, d, "at", 0), scenarioEvent(t, d)))
			}
		})
	})
}

func scenarioEvent(t *testing.T, d *datadriven.TestData) Event {
	epoch := uint64(argInt(t, d, "epoch", 1))
	ref := Ref{argString(t, d, "job", "j"), uint32(argInt(t, d, "attempt", 1))}
	stamp := argDuration(t, d, "stamp", argDuration(t, d, "at", 0))
	permit := argDuration(t, d, "permit", 1200*time.Millisecond)
	switch d.Cmd {
	case "hold":
		perTask := api.Resources{Accelerators: argInt(t, d, "accelerators", 1)}
		lease := argDuration(t, d, "lease", 3*time.Second)
		return Hold{epoch, ref, argInt(t, d, "tasks", 1), perTask, stamp, permit, lease}
	case "start":
		return Start{
			Epoch: epoch, Ref: ref, Stamp: stamp, Permit: permit,
			Lease:      argDuration(t, d, "lease", 10*time.Second),
			FirstTask:  argInt(t, d, "first", 0),
			Checkpoint: argString(t, d, "checkpoint", ""),
		}
	case "stop":
		return Stop{epoch, ref, argDuration(t, d, "grace", 0), argString(t, d, "reason", "asked")}
	case "renew":
		return Renew{epoch, stamp, argDuration(t, d, "lease", 10*time.Second), []Ref{ref}}
	case "caretaker":
		return StoreDown{stamp, argDuration(t, d, "lease", 10*time.Second)}
	case "owner-seen":
		return EpochObserved{epoch}
	case "allow", "forbid":
		return Permission{d.Cmd == "allow"}
	case "task":
		return TaskUpdate{scenarioStatuses(t, d)[0]}
	case "lost":
		return TaskLost{argString(t, d, "id", ""), "no answer", d.HasArg("not-sent")}
	case "adopt":
		return Adopt{scenarioStatuses(t, d)}
	case "leave":
		return Leave{}
	case "tick":
		return Tick{}
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return nil
}

// scenarioStatuses parses lines of the form "ID STATE [progress in ms] [output]".
func scenarioStatuses(t *testing.T, d *datadriven.TestData) []external.TaskStatus {
	var list []external.TaskStatus
	for _, line := range strings.Split(d.Input, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			d.Fatalf(t, "line %q (want ID STATE)", line)
		}
		s := external.TaskStatus{ID: fields[0], State: external.TaskState(fields[1])}
		s.Resources.Accelerators = 1
		if len(fields) > 2 {
			if _, err := fmt.Sscan(fields[2], &s.ProgressMS); err != nil {
				d.Fatalf(t, "%v", err)
			}
		}
		if len(fields) > 3 {
			s.Output = json.RawMessage(fields[3])
		}
		list = append(list, s)
	}
	return list
}

func argInt(t *testing.T, d *datadriven.TestData, key string, fallback int) int {
	d.MaybeScanArgs(t, key, &fallback)
	return fallback
}

func argString(t *testing.T, d *datadriven.TestData, key, fallback string) string {
	d.MaybeScanArgs(t, key, &fallback)
	return fallback
}

func argDuration(t *testing.T, d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	text := argString(t, d, key, "")
	if text == "" {
		return fallback
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

func formatActions(actions []Action) string {
	var out strings.Builder
	for _, a := range actions {
		switch a := a.(type) {
		case StartTask:
			fmt.Fprintf(&out, "start %s lease=%dms by=%s", a.Task.ID, a.Task.LeaseMS, a.StartBy)
			if a.Task.Checkpoint != "" {
				fmt.Fprintf(&out, " from=%s", a.Task.Checkpoint)
			}
			out.WriteString("\n")
		case StopTask:
			fmt.Fprintf(&out, "stop %s\n", a.ID)
		case CheckpointTask:
			fmt.Fprintf(&out, "checkpoint %s\n", a.ID)
		case RenewTasks:
			fmt.Fprintf(&out, "renew %s lease=%s by=%s\n", strings.Join(a.IDs, " "), a.Lease, a.LeaseEnd)
		case Report:
			out.WriteString(formatReports([]Report{a}))
		}
	}
	return out.String()
}

func formatReports(reports []Report) string {
	var out strings.Builder
	for _, r := range reports {
		fmt.Fprintf(&out, "report %s/%d %s tasks=%d", r.Ref.JobID, r.Ref.Attempt, r.State, r.Tasks)
		if r.Progress > 0 {
			fmt.Fprintf(&out, " progress=%s", r.Progress)
		}
		if r.Result != nil {
			fmt.Fprintf(&out, " result=%s", r.Result)
		}
		if r.Checkpoint != "" {
			fmt.Fprintf(&out, " checkpoint=%s", r.Checkpoint)
		}
		if r.WorkerFault {
			out.WriteString(" worker-fault")
		}
		if r.Detail != "" {
			fmt.Fprintf(&out, " (%s)", r.Detail)
		}
		out.WriteString("\n")
	}
	return out.String()
}
