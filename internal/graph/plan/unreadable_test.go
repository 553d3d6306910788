package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// reportEnds reports ends of the worker's current incarnation and returns the last acknowledged one.
func (h *harness) reportEnds(ends ...graph.RunEnd) (acknowledged uint64) {
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Ended: ends, Number: 2, WorkerResponsive: true}
	for _, a := range h.step(report) {
		if a, ok := a.(AcknowledgeEnds); ok {
			acknowledged = a.Number
		}
	}
	return acknowledged
}

// unreadableJob returns a job of one task with its progress, by which run 5 is on w0.
func unreadableJob() JobSubmitted {
	return JobSubmitted{
		Job: &graph.Job{ID: "odd", Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2, SubmittedAt: time.Unix(0, 0),
			Steps: []graph.Step{{Count: 1, Needs: graph.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
		Progress: &graph.Progress{Job: "odd", State: graph.Running, Tasks: []graph.TaskProgress{{Run: 5, Worker: "w0", Incarnation: "i-w0@1"}}},
	}
}

// TestEndOfUnreadableJobIsKept guards against a task that was done and runs again after its job's row was repaired, as its end was acknowledged and lost.
func TestEndOfUnreadableJobIsKept(t *testing.T) {
	h := newHarness(t)
	h.step(JobUnreadable{Job: "odd"})
	h.report("w0", nil)
	end := graph.RunEnd{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: graph.EndDone}
	if n := h.reportEnds(end); n > 0 {
		t.Fatalf("the end is acknowledged, its effect is stored nowhere")
	}
	acknowledged := false
	for _, a := range h.step(unreadableJob()) {
		if a, ok := a.(AcknowledgeEnds); ok && a.Number == 1 {
			acknowledged = true
		}
	}
	status, _ := h.core.JobStatus("odd")
	if !acknowledged || status.State != graph.Completed {
		t.Errorf("after the repair: acknowledged %v, the job is %s", acknowledged, status.State)
	}
}

// TestEndOfRemovedJobIsAcknowledged guards against ends that a worker keeps for a job that no longer exists.
func TestEndOfRemovedJobIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.step(JobUnreadable{Job: "odd"})
	h.report("w0", nil)
	end := graph.RunEnd{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: graph.EndDone}
	h.reportEnds(end)
	a, ok := first[AcknowledgeEnds](h.step(JobRemoved{Job: "odd"}))
	if !ok || a.Number != 1 {
		t.Errorf("acknowledged %+v after the removal", a)
	}
	if n := h.reportEnds(end, graph.RunEnd{Number: 2, Task: graph.TaskID{Job: "odd"}, Run: 6, Kind: graph.EndDone}); n != 2 {
		t.Errorf("later ends of it are acknowledged up to %d", n)
	}
}

// TestUnreadableJobHoldsBackOthersForATime guards against a worker whose ends are never acknowledged again because of one row.
func TestUnreadableJobHoldsBackOthersForATime(t *testing.T) {
	for _, others := range []bool{true, false} {
		h := newHarness(t)
		h.report("w0", nil)
		good := starts(h.submit("good", 2))
		h.step(JobUnreadable{Job: "odd"})
		ends := []graph.RunEnd{{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: graph.EndDone}}
		if others {
			ends = append(ends, graph.RunEnd{Number: 2, Task: good[0].Task, Run: good[0].Run, Kind: graph.EndDone})
		}
		var at time.Duration
		for ; h.now < 2*maxUnreadableHold && at == 0; h.now += 10 * time.Second {
			acknowledged := h.reportEnds(ends...)
			if _, ok := first[AcknowledgeEnds](h.step(Tick{})); ok || acknowledged > 0 {
				at = h.now
			}
		}
		if others && at < maxUnreadableHold || !others && at > 0 {
			t.Errorf("other ends %v: acknowledged at %v", others, at)
		}
	}
}

// TestGivenUpEndOfUnreadableJobStartsNoDoneTask guards against a task that starts again after its done end was acknowledged (TWICE).
func TestGivenUpEndOfUnreadableJobStartsNoDoneTask(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	good := starts(h.submit("good", 2))
	h.step(JobUnreadable{Job: "odd"})
	ends := []graph.RunEnd{{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: graph.EndDone},
		{Number: 2, Task: good[0].Task, Run: good[0].Run, Kind: graph.EndDone}}
	acked := uint64(0)
	for ; h.now < 2*maxUnreadableHold && acked < 1; h.now += 10 * time.Second {
		acked = max(acked, h.reportEnds(ends...))
		if a, ok := first[AcknowledgeEnds](h.step(Tick{})); ok {
			acked = max(acked, a.Number)
		}
	}
	t.Logf("acknowledged up to %d at %v", acked, h.now)
	h.step(unreadableJob()) // the row is repaired
	for range 40 {
		h.now += 500 * time.Millisecond
		w := h.core.workers["w0"].info
		actions := h.step(WorkerReport{Worker: w, Session: "s", Number: 3, WorkerResponsive: true})
		var absent []RunAbsent
		for _, a := range actions {
			if s, ok := a.(StopRun); ok && s.Task.Job == "odd" {
				absent = append(absent, RunAbsent{Task: s.Task, Run: s.Run, Reason: "stopped"})
			}
		}
		if absent != nil {
			actions = append(actions, h.step(WorkerReport{Worker: w, Session: "s", Number: 4, WorkerResponsive: true, Absent: absent})...)
		}
		actions = append(actions, h.step(Tick{})...)
		for _, s := range starts(actions) {
			if s.Task.Job == "odd" {
				t.Fatalf("%v starts again as run %d, its end as done was acknowledged", s.Task, s.Run)
			}
		}
	}
}
