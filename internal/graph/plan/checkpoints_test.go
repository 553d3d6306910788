package plan

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// checkpointJob returns a job of one step with checkpoints.
func checkpointJob(id graph.JobID, tasks int, gang bool) *graph.Job {
	j := crashJob(id, tasks, 8, gang).Job
	j.Steps[0].Checkpointable = true
	return j
}

// list passes a worker's list of runs to the core, as of some time ago.
func (h *harness) list(id, instance string, age time.Duration, running ...graph.RunState) []Action {
	return h.step(WorkerReport{Worker: WorkerInfo{ID: id, Instance: instance, StartUnixMillis: 1, Pool: "pool", Zone: "z0", Rack: "r0",
		Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}, Session: "s", Running: running, ListAge: age, Number: 2, WorkerResponsive: true})
}

// runningAt returns what a worker lists of a started run.
func runningAt(s StartRun, checkpoint string) graph.RunState {
	return graph.RunState{Task: s.Task, Run: s.Run, Checkpoint: checkpoint, Percent: 10}
}

// TestLateListBringsBackNoEarlierCheckpoint guards against a gang that resumes from an earlier
// checkpoint than a worker has listed, as an older list of another worker arrived later.
func TestLateListBringsBackNoEarlierCheckpoint(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	s := starts(h.step(JobSubmitted{Job: checkpointJob("gang", 2, true)}))
	h.now = 300 * time.Millisecond
	h.list(s[0].Worker, "i-"+s[0].Worker, time.Second, runningAt(s[0], "before the term"))
	if got := h.unitOf("gang").checkpoint; got != "before the term" {
		t.Errorf("checkpoint %q, although none was listed before", got)
	}
	h.now = 5 * time.Second
	h.list(s[0].Worker, "i-"+s[0].Worker, 0, runningAt(s[0], "second"))
	h.now += 100 * time.Millisecond
	h.list(s[1].Worker, "i-"+s[1].Worker, 800*time.Millisecond, runningAt(s[1], "first"))
	if got := h.unitOf("gang").checkpoint; got != "second" {
		t.Errorf("the gang resumes from checkpoint %q", got)
	}
	h.now += time.Second
	h.list(s[1].Worker, "i-"+s[1].Worker, 0, runningAt(s[1], "third"))
	if got := h.unitOf("gang").checkpoint; got != "third" {
		t.Errorf("after a later list the gang resumes from checkpoint %q", got)
	}
}

// TestCheckpointOutlivesOwnerAndWorker guards against a task that loses its checkpoints as its
// worker and the owner crash together while nothing else of its job has changed.
func TestCheckpointOutlivesOwnerAndWorker(t *testing.T) {
	h := newHarness(t)
	var saves []*graph.Progress
	step := func(ev Event) []StartRun {
		var out []Action
		actions := h.core.Step(h.now, ev)
		for ; len(actions) > 0; actions = actions[1:] {
			out = append(out, actions[0])
			if s, ok := actions[0].(SaveProgress); ok {
				saves = append(saves, &s.Progress)
				actions = append(actions, h.core.Step(h.now, ProgressSaved{Job: s.Job, Number: s.Number})...)
			}
		}
		return starts(out)
	}
	h.report("w0", nil)
	job := checkpointJob("long", 1, false)
	s := step(JobSubmitted{Job: job})[0]
	placed := len(saves)
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Number: 2, WorkerResponsive: true}
	const seconds = 20
	for i := range 10 * seconds {
		h.now += 100 * time.Millisecond
		report.Running = []graph.RunState{runningAt(s, fmt.Sprint(i/5))}
		step(report)
		step(Tick{})
	}
	if n := time.Duration(len(saves) - placed); n > seconds*time.Second/checkpointSaveDelay {
		t.Errorf("%d saves in %d s", n, seconds)
	}

	next := newHarness(t)
	next.step(JobSubmitted{Job: job, Progress: saves[len(saves)-1]})
	report.Worker.StartUnixMillis, report.Running = 2, nil
	report.Lost = []RunRef{{s.Task, s.Run}}
	again := starts(next.step(report))
	for end := next.now + 2*simLeaseBound; len(again) == 0 && next.now < end; next.now += time.Second {
		again = append(starts(next.step(report)), starts(next.step(Tick{}))...)
	}
	if len(again) != 1 {
		t.Fatalf("%d starts by the next owner", len(again))
	}
	if n, err := strconv.Atoi(again[0].Checkpoint); err != nil || n < 2*seconds-5 {
		t.Errorf("the task resumes from checkpoint %q of %d", again[0].Checkpoint, 2*seconds)
	}
}

// TestDelayedReportHidesNoLaterCheckpoint guards against a run that resumes from an earlier checkpoint than the last list of its own worker shows, as the report of the list before was delayed.
func TestDelayedReportHidesNoLaterCheckpoint(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	s := starts(h.step(JobSubmitted{Job: checkpointJob("j", 1, false)}))[0]
	h.now = 5 * time.Second
	h.list(s.Worker, "i-"+s.Worker, 10*time.Millisecond, runningAt(s, "first"))
	h.list(s.Worker, "i-"+s.Worker, 300*time.Millisecond, runningAt(s, "second"))
	if got := h.unitOf("j").checkpoint; got != "second" {
		t.Errorf("checkpoint %q after the later list", got)
	}
	h.now += time.Second
	h.list(s.Worker, "i-"+s.Worker, 0, runningAt(s, "second"))
	if got := h.unitOf("j").checkpoint; got != "second" {
		t.Errorf("a second later the run resumes from checkpoint %q", got)
	}
}
