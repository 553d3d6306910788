package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestLaterPlacementSettlesNoEarlierRun guards against a recovered run that counts as settled by an agent younger than its start, as another task of its job was placed in this term.
func TestLaterPlacementSettlesNoEarlierRun(t *testing.T) {
	h := newLateHarness(t)
	j := crashJob("j0", 2, 8, false).Job
	task := graph.TaskID{Job: "j0"}
	const run = 1<<24 + 1
	p := &graph.Progress{Job: j.ID, State: graph.Running, PlacedAt: h.core.cfg.TermStart.Add(-time.Second).UnixMilli(), LateFrom: run,
		Tasks: []graph.TaskProgress{{Run: run, Worker: "w0", Incarnation: "i-w0@1"}}}
	h.step(JobSubmitted{Job: j, Progress: p})
	running := []graph.RunState{{Task: task, Run: run}}
	report := func() []Action { // of an agent that has begun with the term, after the placement
		return h.step(WorkerReport{Worker: WorkerInfo{ID: "w0", Instance: "i-w0", StartUnixMillis: 1, Pool: "pool", Zone: "z0", Rack: "r0",
			Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}, Session: "s", Running: running, Number: 1, WorkerResponsive: true, Late: LateCalls{AgentAge: h.now}})
	}
	for ; h.now < 4*time.Second; h.now += 500 * time.Millisecond {
		report()
	}
	if m := h.core.workers["w0"].findMember(task, run); m.callsUntil <= h.now {
		t.Fatalf("calls until %v before the second placement", m.callsUntil)
	}
	if s := starts(h.report("w1", nil)); len(s) != 1 {
		t.Fatalf("starts %+v", s)
	}
	h.now += 500 * time.Millisecond
	report()
	if m := h.core.workers["w0"].findMember(task, run); m.callsUntil <= h.now {
		t.Errorf("calls until %v after the second placement", m.callsUntil)
	}
	lost := h.now
	for again := []StartRun(nil); len(again) == 0 && h.now < lost+time.Minute; h.now += 100 * time.Millisecond {
		again = starts(h.step(Tick{}))
		again = append(again, starts(h.report("w2", nil))...)
		if len(again) > 0 && h.now-lost < LateCallTime {
			t.Errorf("started %+v %v after the last report of w0", again[0].Task, h.now-lost)
		}
	}
}

// TestCallsOfAnOrderAreAwaitedBeyondTheLastReport guards against calls that an agent makes after its last report.
func TestCallsOfAnOrderAreAwaitedBeyondTheLastReport(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	ref := RunRef{run.Task, run.Run}
	h.now += 200 * time.Millisecond
	h.step(WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{ref, 150 * time.Millisecond}}}})
	m := h.core.workers["w0"].findMember(run.Task, run.Run)
	if want := 2750*time.Millisecond + LateCallTime; m.callsUntil < want {
		t.Errorf("calls until %v, the agent makes calls until 2.75 s", m.callsUntil)
	}
}

// TestListedLateRunIsNoTimeOver guards against a task that is placed again while its worker, which answers no stop, lists the run that a late call has begun.
func TestListedLateRunIsNoTimeOver(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: AbsentStopped}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, 0}}}}
	h.step(report)
	report.Worker.StartUnixMillis, report.Absent, report.Late.Starts = 2, nil, nil
	report.Running = []graph.RunState{{Task: run.Task, Run: run.Run}}
	for ; h.now < 40*time.Second; h.now += 100 * time.Millisecond {
		again := append(starts(h.step(report)), starts(h.report("w1", nil))...)
		if again = append(again, starts(h.step(Tick{}))...); len(again) > 0 {
			t.Fatalf("started on %s after %v, beside the listed run", again[0].Worker, h.now)
		}
	}
}

func (h *harness) acknowledgedAfter(each func() []Action) time.Duration {
	from := h.now
	for ; h.now < from+time.Minute; h.now += 100 * time.Millisecond {
		if _, ok := first[AcknowledgeEnds](append(each(), h.step(Tick{})...)); ok {
			break
		}
	}
	return h.now - from
}

// TestNextOwnerAcknowledgesDoneEndOnceItsCallsAreTooOld guards against the end of a done run that the next owner acknowledges at once.
func TestNextOwnerAcknowledgesDoneEndOnceItsCallsAreTooOld(t *testing.T) {
	const age = 2 * time.Second
	h := newLateHarness(t)
	h.report("w0", nil)
	submitted := crashJob("j0", 1, 8, false).Job
	run := starts(h.step(JobSubmitted{Job: submitted}))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true,
		Late:  LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, age}}},
		Ended: []graph.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Kind: graph.EndDone}}}
	h.step(report)
	p := h.core.jobs["j0"].progress()
	next := newLateHarness(t)
	next.step(JobSubmitted{Job: crashJob("j0", 1, 8, false).Job, Progress: &p})
	if got := next.acknowledgedAfter(func() []Action { return next.step(report) }); !within(got, LateCallTime-age) {
		t.Errorf("acknowledged after %v by the next owner", got)
	}
}

// TestHeldEndIsAcknowledgedOnceItsCallsAreTooOld guards against the same for a job whose rows cannot be read.
func TestHeldEndIsAcknowledgedOnceItsCallsAreTooOld(t *testing.T) {
	const age = 2 * time.Second
	h := newLateHarness(t)
	task := graph.TaskID{Job: "j0"}
	h.step(JobUnreadable{Job: "j0"})
	h.report("w0", nil)
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true,
		Late:  LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{task, 1<<24 + 1}, age}}},
		Ended: []graph.RunEnd{{Number: 1, Task: task, Run: 1<<24 + 1, Kind: graph.EndDone}}}
	got := h.acknowledgedAfter(func() []Action {
		out := h.step(report)
		if s, ok := first[SaveEnds](out); ok {
			out = append(out, h.step(EndsSaved{Job: "j0", Number: s.Number})...)
		}
		return out
	})
	if !within(got, LateCallTime-age) {
		t.Errorf("acknowledged after %v", got)
	}
}

// TestLastFailedEndIsAcknowledgedOnceItsCallsAreTooOld guards against a run that begins again after the last allowed failure was taken note of (BUDGET).
func TestLastFailedEndIsAcknowledgedOnceItsCallsAreTooOld(t *testing.T) {
	const age = 2 * time.Second
	h := newLateHarness(t)
	h.report("w0", nil)
	j := crashJob("j0", 1, 8, false).Job
	j.MaxAttempts = 1
	run := starts(h.step(JobSubmitted{Job: j}))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true,
		Late:  LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, age}}},
		Ended: []graph.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Kind: graph.EndFailed}}}
	if got := h.acknowledgedAfter(func() []Action { return h.step(report) }); !within(got, LateCallTime-age) {
		t.Errorf("acknowledged after %v", got)
	}
}

// TestGangEndWaitsForCallsOfAllMembers guards against a gang's end that is taken note of while a start call of another member may be executed.
func TestGangEndWaitsForCallsOfAllMembers(t *testing.T) {
	const age = 2 * time.Second
	h := newLateHarness(t)
	s := h.startGang(crashJob("j0", 2, 8, true).Job)
	report := func(i int, e ...graph.RunEnd) WorkerReport {
		r := WorkerReport{Worker: h.core.workers[s[i].Worker].info, Session: "s", WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour}, Ended: e}
		if i == 1 {
			r.Late.Starts = []LateStart{{RunRef{s[1].Task, s[1].Run}, age}}
		}
		return r
	}
	second := report(1)
	second.Running = []graph.RunState{{Task: s[1].Task, Run: s[1].Run}}
	h.step(second)
	if got := h.acknowledgedAfter(func() []Action { return h.step(report(0, runEnd(s[0], graph.EndDone))) }); !within(got, LateCallTime-age) {
		t.Errorf("acknowledged after %v", got)
	}
}

// TestLateFailedEndCounts guards against one start too many after a run that a late call has begun has failed (BUDGET).
func TestLateFailedEndCounts(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	j := crashJob("j0", 1, 8, false).Job
	j.MaxAttempts = 1
	run := starts(h.step(JobSubmitted{Job: j}))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: AbsentStopped}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, 0}}}}
	h.step(report)
	report.Worker.StartUnixMillis, report.Absent, report.Late.Starts = 2, nil, nil
	report.Ended = []graph.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Kind: graph.EndFailed}}
	for ; h.now < 30*time.Second; h.now += 100 * time.Millisecond {
		if again := starts(append(h.step(report), h.step(Tick{})...)); len(again) > 0 {
			t.Fatalf("started again after %v", h.now)
		}
	}
	if status, _ := h.core.JobStatus("j0"); status.State != graph.Failed {
		t.Errorf("job is %s", status.State)
	}
}

// TestAwaitedRunHoldsNoOtherUnitBack guards against a unit that waits on an idle fleet without its waivers, as another one of its job awaits late calls.
func TestAwaitedRunHoldsNoOtherUnitBack(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.step(JobSubmitted{Job: crashJob("j0", 1, 8, false).Job}))[0]
	j := h.core.jobs["j0"]
	if !j.hasRuns() {
		t.Fatal("no run")
	}
	h.step(WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: "no answer"}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, 0}}}})
	if !j.unitOf(0, 0).onlyAwaitsCalls() || j.hasRuns() {
		t.Errorf("awaits calls %v, has runs %v", j.unitOf(0, 0).onlyAwaitsCalls(), j.hasRuns())
	}
}

// TestCallsOfAnEarlierAgentAgeFromItsEnd guards against tasks that wait as if an agent that was replaced went on with its order.
func TestCallsOfAnEarlierAgentAgeFromItsEnd(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	h.now += 1500 * time.Millisecond
	begun := time.Second // of the next agent
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s2", WorkerResponsive: true, Late: LateCalls{AgentAge: h.now - begun},
		Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: AbsentStopped}}}
	h.step(report)
	report.Absent = nil
	var again []StartRun
	for ; len(again) == 0 && h.now < time.Minute; h.now += 100 * time.Millisecond {
		report.Late.AgentAge = h.now - begun
		again = append(starts(h.step(report)), starts(h.step(Tick{}))...)
	}
	if want := begun + LateCallTime; !within(h.now, want) {
		t.Errorf("started again at %v, want %v", h.now, want)
	}
}

// TestDrainedWorkerIsNotAwaited guards against a task that waits for a worker which has left after it had announced that it drains.
func TestDrainedWorkerIsNotAwaited(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: AbsentStopped}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, 0}}}}
	report.Worker.Draining = true
	h.step(report)
	h.step(SessionClosed{Worker: "w0", Session: "s"})
	if got := h.endsAfter(t, "j0", func() {}); !within(got, LateCallTime) {
		t.Errorf("placed again after %v", got)
	}
}
