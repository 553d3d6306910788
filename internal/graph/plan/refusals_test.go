package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestGangLeavesWorkersThatIgnoreItsStarts guards against a gang that is placed by turns on the few workers that answer no start, while the others are idle.
func TestGangLeavesWorkersThatIgnoreItsStarts(t *testing.T) {
	for silent := range 9 {
		s := crashSim(t, 24)
		for _, w := range s.workers[:silent] {
			w.ignoresStarts = true
		}
		s.runUntil(time.Second)
		j := crashJob("gang", 4, 8, true)
		s.submit(j)
		s.mustEnd(t, j, graph.Completed, 30*time.Second)
	}
}

// TestGangLeavesAllWorkersThatRefuseOneRun guards against a gang that leaves one of the workers that refuse it with each of its runs.
func TestGangLeavesAllWorkersThatRefuseOneRun(t *testing.T) {
	const tasks, bound = 4, 8 * time.Second
	for _, spoil := range []func(*simWorker){func(w *simWorker) { w.ignoresStarts = true }, func(w *simWorker) { w.refuses = true }} {
		s := crashSim(t, 24)
		for _, w := range s.workers[:2*tasks] {
			spoil(w)
		}
		s.runUntil(time.Second)
		j := crashJob("gang", tasks, 8, true)
		s.submit(j)
		s.mustEnd(t, j, graph.Completed, bound)
		t.Logf("done after %v", j.finishedAt-j.submitted)
	}
}

// TestStoppedMemberLeavesNoWorker guards against a gang that leaves the sound workers of a run that another worker has refused.
func TestStoppedMemberLeavesNoWorker(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	started := starts(h.step(JobSubmitted{Job: crashJob("gang", 2, 8, true).Job}))
	for i, reason := range []string{"no answer", AbsentStopped} {
		r := capacityReport(graph.Resources{MilliCPU: 16000, Accelerators: 8}, nil)
		r.Worker.ID, r.Worker.Instance = started[i].Worker, "i-"+started[i].Worker
		r.Absent = []RunAbsent{{started[i].Task, started[i].Run, reason}}
		h.step(r)
	}
	left := h.unitOf("gang").refusedUntil
	if _, refused := left[started[0].Worker]; !refused || len(left) != 1 {
		t.Errorf("%v have refused it, want only %s", left, started[0].Worker)
	}
}

// TestOldRefusalDrivesNoUnitBesideSuspects guards against a unit that is placed beside a task that has crashed workers, as a sound worker refused it an hour ago.
func TestOldRefusalDrivesNoUnitBesideSuspects(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	sound, suspected := h.core.workers["w0"], h.core.workers["w1"]
	suspected.suspects = 1
	u := &unit{job: &job{Job: &graph.Job{ID: "j"}}, step: &graph.Step{}, taskCount: 1}
	u.refusedBy(sound, time.Second)
	h.now = time.Hour
	h.step(Tick{})
	sets := h.core.candidateSets(u, []candidate{{worker: sound}, {worker: suspected}})
	if len(sets[0]) != 1 || sets[0][0].worker != sound {
		t.Errorf("the first choice an hour after the refusal is %d workers, first %s (%d suspects there)", len(sets[0]), sets[0][0].worker.info.ID, sets[0][0].worker.suspects)
	}
}

// TestOldRefusalDrivesNoSuspectBesideOthers guards against a task that has crashed a worker and is placed beside other runs, as an empty worker refused it an hour ago.
func TestOldRefusalDrivesNoSuspectBesideOthers(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	empty, busy := h.core.workers["w0"], h.core.workers["w1"]
	busy.members = []*member{{}}
	u := &unit{job: &job{Job: &graph.Job{ID: "j"}}, step: &graph.Step{}, taskCount: 1}
	u.crashesOf(0).count = 1
	u.refusedBy(empty, time.Second)
	sets := h.core.candidateSets(u, []candidate{{worker: empty}, {worker: busy}})
	if len(sets[0]) != 1 || sets[0][0].worker != empty {
		t.Errorf("the first choice is %s with %d runs, an empty worker is left for later", sets[0][0].worker.info.ID, len(sets[0][0].worker.members))
	}
}
