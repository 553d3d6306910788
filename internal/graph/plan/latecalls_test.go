package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// lateLeaseBound is Config.LateLeaseBound of these tests.
const lateLeaseBound = 10500 * time.Millisecond

func newLateHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core.cfg.LateLeaseBound, h.core.cfg.TermStart = lateLeaseBound, time.Unix(1_000_000, 0)
	return h
}

// endsAfter lets the worker of a run stay silent and returns after what time the owner takes the run for ended.
func (h *harness) endsAfter(t *testing.T, id graph.JobID, each func()) time.Duration {
	t.Helper()
	run, from := h.unitOf(id).run, h.now
	for ; h.now < from+time.Minute; h.now += 100 * time.Millisecond {
		each()
		h.step(Tick{})
		if u := h.unitOf(id); u.run != run || len(u.members) == 0 {
			return h.now - from
		}
	}
	t.Fatal("the run does not end")
	return 0
}

// after returns what an agent reports a time later.
func (l LateCalls) after(d time.Duration) LateCalls {
	l.AgentAge += d
	l.LeaseAge += d
	l.Starts = slices.Clone(l.Starts)
	for i := range l.Starts {
		l.Starts[i].Age += d
	}
	return l
}

func within(got, want time.Duration) bool { return got >= want && got <= want+200*time.Millisecond }

// TestLateLeaseOfSilentWorkerIsAwaited guards against starting a task elsewhere while a lease goes on that a call for an earlier incarnation has given its worker.
func TestLateLeaseOfSilentWorkerIsAwaited(t *testing.T) {
	for _, c := range []struct {
		name string
		late LateCalls
		want time.Duration
	}{
		{"no late lease", LateCalls{AgentAge: time.Hour}, simLeaseBound},
		{"possible until now", LateCalls{AgentAge: time.Hour, Lease: true}, lateLeaseBound},
		{"over for 2 s", LateCalls{AgentAge: time.Hour, Lease: true, LeaseAge: 2 * time.Second}, lateLeaseBound - 2*time.Second},
		{"shorter than the granted one", LateCalls{AgentAge: time.Hour, Lease: true, LeaseAge: 8 * time.Second}, simLeaseBound},
	} {
		for _, agentStays := range []bool{true, false} {
			h := newLateHarness(t)
			h.report("w0", nil)
			run := starts(h.submit("j0", 8))[0]
			report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Number: 2, WorkerResponsive: true, Late: c.late,
				Running: []graph.RunState{{Task: run.Task, Run: run.Run}}}
			h.step(report)
			report.WorkerResponsive = false
			got := h.endsAfter(t, "j0", func() {
				if agentStays {
					report.Number++
					report.Late = c.late.after(h.now)
					h.step(report)
				}
			})
			if !within(got, c.want) {
				t.Errorf("%s, agent stays %v: ended after %v, want %v", c.name, agentStays, got, c.want)
			}
		}
	}
}

// TestNextOwnerAwaitsLateLeases guards against the same where the owner has changed, so that it never hears of the worker.
func TestNextOwnerAwaitsLateLeases(t *testing.T) {
	const inDoubt = startWindow + maxClockOffset + LateCallTime + lateLeaseBound
	known := LateCalls{AgentAge: time.Hour}
	late := LateCalls{AgentAge: time.Hour, Lease: true, LeaseAge: time.Second}
	fresh := LateCalls{AgentAge: time.Second}
	unanswered := LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef: RunRef{graph.TaskID{Job: "j0"}, 1<<24 + 1}, Age: 4 * time.Second}}}
	for _, c := range []struct {
		name   string
		placed time.Duration // before the term
		agent  *LateCalls    // nil if it is gone too
		want   time.Duration
		from   uint64 // that the progress names, if not the run itself
	}{
		{"agent gone", 3 * time.Second, nil, inDoubt - 3*time.Second, 0},
		{"agent gone, only a later run of the job in doubt", 3 * time.Second, nil, simLeaseBound, 1<<24 + 2},
		{"agent gone, clock of the earlier owner ahead", -time.Minute, nil, inDoubt - maxClockOffset, 0},
		{"agent gone, placed long ago", time.Minute, nil, simLeaseBound, 0},
		{"placed by an earlier version", 0, nil, simLeaseBound, 0},
		{"agent is another process", 3 * time.Second, &fresh, leaseCallTime + LateCallTime + lateLeaseBound, 0},
		{"agent knows of no late lease", 3 * time.Second, &known, simLeaseBound, 0},
		{"agent knows of a late lease", 3 * time.Second, &late, lateLeaseBound - time.Second, 0},
		{"agent knows of an unanswered start", 3 * time.Second, &unanswered, leaseCallTime + LateCallTime + lateLeaseBound, 0},
	} {
		h := newLateHarness(t)
		j := crashJob("j0", 1, 8, false).Job
		p := &graph.Progress{Job: j.ID, State: graph.Running, Tasks: []graph.TaskProgress{{Run: 1<<24 + 1, Worker: "w0", Incarnation: "i-w0@1"}}}
		if c.placed != 0 {
			p.PlacedAt, p.LateFrom = h.core.cfg.TermStart.Add(-c.placed).UnixMilli(), max(c.from, 1<<24+1)
		}
		h.step(JobSubmitted{Job: j, Progress: p})
		connect := func() { // agents connect again and again while their workers are silent
			if c.agent != nil {
				h.step(AgentConnected{Worker: "w0", Late: c.agent.after(h.now)})
			}
		}
		if got := h.endsAfter(t, "j0", connect); !within(got, c.want) {
			t.Errorf("%s: ended after %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStartFollowsARecentPlacement guards against a start whose stored placement is so old that the next owner would not wait for its lease.
func TestStartFollowsARecentPlacement(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	save, ok := first[SaveProgress](h.core.Step(h.now, JobSubmitted{Job: crashJob("j0", 1, 8, false).Job}))
	if !ok {
		t.Fatal("no save")
	}
	h.now += maxPlacementAge + time.Millisecond
	h.report("w0", nil)
	late := h.core.Step(h.now, ProgressSaved{Job: "j0", Number: save.Number})
	again, ok := first[SaveProgress](late)
	if want := h.core.cfg.TermStart.Add(h.now).UnixMilli(); len(starts(late)) > 0 || !ok || again.Progress.PlacedAt != want {
		t.Fatalf("after a save of %v: starts %+v, placement of %d (want %d)", h.now, starts(late), again.Progress.PlacedAt, want)
	}
	if s := starts(h.core.Step(h.now, ProgressSaved{Job: "j0", Number: again.Number})); len(s) != 1 {
		t.Errorf("starts %+v", s)
	}
}

// TestRunWithUnansweredStartIsAwaited guards against starting a task elsewhere while a start without an answer may be executed by an incarnation that nobody has heard of.
func TestRunWithUnansweredStartIsAwaited(t *testing.T) {
	const agent = time.Hour
	for _, c := range []struct {
		name     string
		starts   func(RunRef) []LateStart // that the agent reports
		age      time.Duration            // of the agent
		accepted bool
		want     time.Duration
	}{
		{"no start call", func(RunRef) []LateStart { return nil }, agent, false, simLeaseBound},
		{"unanswered for 1 s", func(r RunRef) []LateStart { return []LateStart{{r, time.Second}} }, agent, false, LateCallTime + leaseCallTime + lateLeaseBound},
		{"another run unanswered", func(r RunRef) []LateStart { return []LateStart{{RunRef{r.Task, r.Run - 1}, 0}} }, agent, false, simLeaseBound},
		{"accepted", func(RunRef) []LateStart { return nil }, agent, true, simLeaseBound},
		{"accepted by a later call", func(r RunRef) []LateStart { return []LateStart{{r, time.Second}} }, agent, true, LateCallTime + leaseCallTime + lateLeaseBound},
		{"another agent, not accepted", func(RunRef) []LateStart { return nil }, time.Millisecond, false, orderTimeout + LateCallTime + lateLeaseBound},
	} {
		h := newLateHarness(t)
		h.report("w0", nil)
		run := starts(h.submit("j0", 8))[0]
		ref := RunRef{run.Task, run.Run}
		h.now += 100 * time.Millisecond
		late := LateCalls{AgentAge: c.age, Starts: c.starts(ref)}
		report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Number: 2, WorkerResponsive: true, Late: late}
		if c.accepted {
			report.Accepted = []RunRef{ref}
		}
		h.step(report)
		report.WorkerResponsive = false
		from := h.now
		got := h.endsAfter(t, "j0", func() {
			report.Late = late.after(h.now - from)
			if c.age < agent {
				report.Late.AgentAge = c.age
			}
			h.step(report)
		})
		if c.age < agent {
			got += from // its bound counts from the order
		}
		if !within(got, c.want) {
			t.Errorf("%s: ended after %v, want %v", c.name, got, c.want)
		}
	}
}

// TestUnreportedStartIsAwaited guards against the same where the agent is lost right after a start was ordered.
func TestUnreportedStartIsAwaited(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	if s := starts(h.submit("j0", 8)); len(s) != 1 {
		t.Fatalf("%+v", s)
	}
	h.step(SessionClosed{Worker: "w0", Session: "s"})
	if got, want := h.endsAfter(t, "j0", func() {}), orderTimeout+LateCallTime+lateLeaseBound; !within(got, want) {
		t.Errorf("ended after %v, want %v", got, want)
	}
}

// TestConfirmedRunsAreNotInDoubt guards against runs that wait for long on lost hosts, as another run of their job was placed right before the owner changed.
func TestConfirmedRunsAreNotInDoubt(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	j := crashJob("j0", 2, 8, false).Job
	first := starts(h.step(JobSubmitted{Job: j}))[0]
	progress := func() graph.Progress { return h.core.jobs["j0"].progress() }
	if p := progress(); p.LateFrom != first.Run || p.PlacedAt == 0 {
		t.Errorf("start without an answer: late from %d, placed at %d", p.LateFrom, p.PlacedAt)
	}
	running := []graph.RunState{{Task: first.Task, Run: first.Run}}
	known := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Running: running, WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour}}
	h.step(known)
	if p := progress(); p.LateFrom != 0 || p.PlacedAt != 0 {
		t.Errorf("listed: late from %d, placed at %d", p.LateFrom, p.PlacedAt)
	}
	second := starts(h.report("w1", nil))[0]
	if p := progress(); p.LateFrom != second.Run || second.Run <= first.Run {
		t.Errorf("late from %d after starts of %d and %d", p.LateFrom, first.Run, second.Run)
	}
	known.Late.Lease = true
	h.step(known)
	if p := progress(); p.LateFrom != first.Run {
		t.Errorf("late lease of the first worker: late from %d, its run is %d", p.LateFrom, first.Run)
	}
}

// TestTaskIsNotPlacedElsewhereWhileALateStartMayBegin guards against two runs of a task, as a later incarnation of its worker executes a start call of an earlier run that was settled.
func TestTaskIsNotPlacedElsewhereWhileALateStartMayBegin(t *testing.T) {
	const age = 2 * time.Second
	type settle func(*WorkerReport, RunRef)
	for name, settle := range map[string]settle{
		"absent": func(r *WorkerReport, ref RunRef) {
			r.Absent = []RunAbsent{{Task: ref.Task, Run: ref.Run, Reason: "no answer"}}
		},
		"failed": func(r *WorkerReport, ref RunRef) {
			r.Ended = []graph.RunEnd{{Number: 1, Task: ref.Task, Run: ref.Run, Kind: graph.EndFailed}}
		},
		"lost with the incarnation": func(r *WorkerReport, ref RunRef) {
			r.Worker.StartUnixMillis, r.Lost = 2, []RunRef{ref}
		},
	} {
		for _, unanswered := range []bool{false, true} {
			h := newLateHarness(t)
			h.report("w0", nil)
			run := starts(h.submit("j0", 8))[0]
			ref := RunRef{run.Task, run.Run}
			h.now += 100 * time.Millisecond
			report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour}}
			if unanswered {
				report.Late.Starts = []LateStart{{ref, age}}
			}
			settle(&report, ref)
			if p := h.core.jobs["j0"].progress(); p.Tasks[0].Worker != "w0" {
				t.Fatalf("progress %+v", p)
			}
			settledAt := h.now
			again := starts(h.step(report))
			if p := h.core.jobs["j0"].progress(); unanswered && (len(p.Tasks) == 0 || p.Tasks[0].Worker != "w0" || p.Tasks[0].Run != ref.Run || p.LateFrom != ref.Run) {
				t.Errorf("%s: progress %+v does not name the run", name, p)
			}
			report = WorkerReport{Worker: report.Worker, Session: "s", WorkerResponsive: true, Late: report.Late}
			for ; len(again) == 0 && h.now < settledAt+time.Minute; h.now += 100 * time.Millisecond {
				again = append(again, starts(h.step(report))...)
				again = append(again, starts(h.report("w1", nil))...)
				again = append(again, starts(h.step(Tick{}))...)
			}
			want := time.Duration(0)
			if unanswered {
				want = LateCallTime - age
			}
			if got := h.now - settledAt; got < want || got > want+refusalBackoff+300*time.Millisecond {
				t.Errorf("%s, unanswered %v: started again after %v, want %v", name, unanswered, got, want)
			}
		}
	}
}

// TestSettledRunIsAwaitedOnSilentWorker guards against the same where nothing is heard of the worker after the calls are too old.
func TestSettledRunIsAwaitedOnSilentWorker(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	ref := RunRef{run.Task, run.Run}
	h.step(WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: ref.Task, Run: ref.Run, Reason: AbsentStopped}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{ref, 0}}}})
	if got, want := h.endsAfter(t, "j0", func() {}), leaseCallTime+LateCallTime+lateLeaseBound; !within(got, want) {
		t.Errorf("placed again after %v, want %v", got, want)
	}
}

// TestRunsWithoutCallsInDoubtWaitForNothing guards against tasks that wait for late calls which no incarnation takes, or of which there is none.
func TestRunsWithoutCallsInDoubtWaitForNothing(t *testing.T) {
	type settle func(*WorkerReport, RunRef)
	for name, settle := range map[string]settle{
		"another instance name": func(r *WorkerReport, ref RunRef) {
			r.Worker.Instance, r.Worker.StartUnixMillis, r.Lost = "other", 2, []RunRef{ref}
			r.Late = LateCalls{AgentAge: time.Hour, Starts: []LateStart{{ref, 0}}}
		},
		"worker has left": func(r *WorkerReport, ref RunRef) {
			r.WorkerLeft, r.Late = true, LateCalls{AgentAge: time.Hour, Starts: []LateStart{{ref, 0}}}
		},
		"all calls made by a young agent": func(r *WorkerReport, ref RunRef) {
			r.Absent = []RunAbsent{{Task: ref.Task, Run: ref.Run, Reason: AbsentStopped}}
			r.Late = LateCalls{AgentAge: time.Millisecond, Called: []RunRef{ref}}
		},
	} {
		h := newLateHarness(t)
		h.report("w0", nil)
		run := starts(h.submit("j0", 8))[0]
		h.now += 100 * time.Millisecond
		report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true}
		settle(&report, RunRef{run.Task, run.Run})
		again := starts(h.step(report))
		again = append(again, starts(h.report("w1", nil))...)
		if len(again) != 1 {
			t.Errorf("%s: starts %+v", name, again)
		}
	}
}

// TestSettledCallsAreSaved guards against an owner that waits for late calls of which the owner before knew that there are none.
func TestSettledCallsAreSaved(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	h.now += settledSaveDelay
	h.step(WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour},
		Running: []graph.RunState{{Task: run.Task, Run: run.Run}}})
	save, ok := first[SaveProgress](h.core.Step(h.now, Tick{}))
	if !ok || save.Progress.LateFrom != 0 {
		t.Fatalf("saved %v: %+v", ok, save)
	}
	h.step(ProgressSaved{Job: "j0", Number: save.Number})
	h.now += settledSaveDelay
	if _, ok := first[SaveProgress](h.core.Step(h.now, Tick{})); ok {
		t.Error("saved again")
	}
}

// TestDoneEndIsAcknowledgedOnceItsCallsAreTooOld guards against a task that begins again after its end was taken note of, by a late start on a later incarnation.
func TestDoneEndIsAcknowledgedOnceItsCallsAreTooOld(t *testing.T) {
	const age = 2 * time.Second
	for _, unanswered := range []bool{false, true} {
		h := newLateHarness(t)
		h.report("w0", nil)
		run := starts(h.submit("j0", 8))[0]
		report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Late: LateCalls{AgentAge: time.Hour},
			Ended: []graph.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Kind: graph.EndDone}}}
		want := time.Duration(0)
		if unanswered {
			want, report.Late.Starts = LateCallTime-age, []LateStart{{RunRef{run.Task, run.Run}, age}}
		}
		_, acknowledged := first[AcknowledgeEnds](h.step(report))
		if status, _ := h.core.JobStatus("j0"); status.State != graph.Completed {
			t.Fatalf("job is %s", status.State)
		}
		for ; !acknowledged && h.now < time.Minute; h.now += 100 * time.Millisecond {
			_, acknowledged = first[AcknowledgeEnds](append(h.step(report), h.step(Tick{})...))
		}
		if !within(h.now, want) {
			t.Errorf("unanswered %v: acknowledged after %v, want %v", unanswered, h.now, want)
		}
	}
}

// TestLateDoneEndCompletesItsTask guards against a task that starts again after the end of a run that a late call has begun was taken note of.
func TestLateDoneEndCompletesItsTask(t *testing.T) {
	h := newLateHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", WorkerResponsive: true, Absent: []RunAbsent{{Task: run.Task, Run: run.Run, Reason: AbsentStopped}},
		Late: LateCalls{AgentAge: time.Hour, Starts: []LateStart{{RunRef{run.Task, run.Run}, 0}}}}
	h.step(report)
	report.Worker.StartUnixMillis, report.Absent = 2, nil
	report.Ended = []graph.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Kind: graph.EndDone}}
	again := starts(h.step(report))
	if status, _ := h.core.JobStatus("j0"); status.State != graph.Completed || len(again) > 0 {
		t.Errorf("job is %s, starts %+v", status.State, again)
	}
}
