package plan

import (
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
