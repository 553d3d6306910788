package plan

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// crashSim returns a fleet of workers with 8 accelerators and 16 cores.
func crashSim(t *testing.T, workers int) *sim {
	return newSim(workers, graph.Resources{MilliCPU: 16000, Accelerators: 8}, loadPolicy(), t.Fatalf)
}

// crashJob returns a job of one step whose tasks need the given accelerators and take a
// second. The tasks with the given indexes crash their workers.
func crashJob(id graph.JobID, tasks, accelerators int, gang bool, deadly ...int) *simJob {
	j := &simJob{Job: &graph.Job{ID: id, Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 3},
		units: map[int][]*simUnit{}}
	j.Steps = []graph.Step{{Count: tasks, Needs: graph.Resources{MilliCPU: 1000, Accelerators: accelerators}, Estimate: time.Second, Gang: gang}}
	units, members := tasks, 1
	if gang {
		units, members = 1, tasks
	}
	for range units {
		j.units[0] = append(j.units[0], &simUnit{job: j, startedTasks: map[int]bool{}, work: time.Second, memberCount: members, deadly: map[int]bool{}})
	}
	for _, i := range deadly {
		j.units[0][min(i, units-1)].deadly[i] = true
	}
	j.linkSteps()
	return j
}

func (s *sim) mustEnd(t *testing.T, j *simJob, state graph.State, within time.Duration) {
	t.Helper()
	for limit := s.now + within; j.final == "" && s.now < limit; {
		s.runUntil(s.now + 100*time.Millisecond)
	}
	if j.final != state {
		t.Fatalf("%s is %q after %v, not %q: %+v", j.ID, j.final, within, state, s.core.Dump())
	}
}

func (u *simUnit) mustHaveCrashed(t *testing.T, most int) {
	t.Helper()
	if n := len(u.crashedRuns); n > most {
		t.Fatalf("%d workers crashed under %s, more than %d", n, u.job.ID, most)
	}
}

// TestTaskThatCrashesWorkersIsGivenUp guards against starting such a task for ever.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, workers := range []int{1, 2, 8} {
		s := crashSim(t, workers)
		var notices []Notice
		s.observe = func(a Action) {
			if n, ok := a.(Notice); ok && n.Reason == ReasonJobCrashesWorkers {
				notices = append(notices, n)
			}
		}
		s.runUntil(time.Second)
		j := crashJob("deadly", 1, 8, false, 0)
		s.submit(j)
		s.mustEnd(t, j, graph.Failed, 20*time.Second)
		j.units[0][0].mustHaveCrashed(t, 3)
		if len(notices) != 1 || notices[0].Task != "deadly.0.0.0" || !strings.Contains(notices[0].Detail, "3 crashes") {
			t.Fatalf("%+v", notices)
		}
	}
}

// TestCrashesAreCountedAcrossTakeovers guards against a count that a new owner forgets.
func TestCrashesAreCountedAcrossTakeovers(t *testing.T) {
	s := crashSim(t, 2)
	s.runUntil(time.Second)
	j := crashJob("deadly", 1, 8, false, 0)
	s.submit(j)
	u := j.units[0][0]
	s.runUntil(s.now + simRestartTime + 900*time.Millisecond)
	if k := s.rows["deadly"].Tasks[0].Crashes; k != 1 {
		t.Fatalf("%d crashes are saved: %+v", k, s.rows["deadly"])
	}
	s.takeOver()
	if n := s.core.jobs["deadly"].units[0].crashes.most(); n != 1 {
		t.Fatalf("%d crashes are restored", n)
	}
	s.mustEnd(t, j, graph.Failed, 30*time.Second)
	u.mustHaveCrashed(t, 3)
}

// TestCrashDuringTakeoverIsCounted guards against starting a deadly task without bound while the owner changes whenever a worker is down.
func TestCrashDuringTakeoverIsCounted(t *testing.T) {
	s := crashSim(t, 3)
	s.runUntil(time.Second)
	j := crashJob("deadly", 1, 8, false, 0)
	s.submit(j)
	u := j.units[0][0]
	for n := 1; n <= 5 && j.final == ""; n++ {
		for limit := s.now + 20*time.Second; j.final == "" && len(u.crashedRuns) < n && s.now < limit; {
			s.runUntil(s.now + simStep)
		}
		s.runUntil(s.now + simRestartTime/2)
		s.takeOver()
	}
	s.mustEnd(t, j, graph.Failed, 20*time.Second)
	u.mustHaveCrashed(t, 3)
}

// TestCrashOfPartOfGangSurvivesTakeover guards against losing or doubling the crash of a run whose other members have not ended yet.
func TestCrashOfPartOfGangSurvivesTakeover(t *testing.T) {
	j := crashJob("gang", 2, 8, true, 0)
	p := graph.Progress{Job: "gang", State: graph.Running, Tasks: []graph.TaskProgress{
		{Step: 0, Index: 0, Crashes: 1, RunCrashed: true},
		{Step: 0, Index: 1, Run: 1<<24 + 1, Worker: "w1", Incarnation: "i-w1@1"}}}
	h := newHarness(t)
	h.step(JobSubmitted{Job: j.Job, Progress: &p})
	u := h.core.jobs["gang"].units[0]
	if got := u.progress()[0]; got.Crashes != 1 || !got.RunCrashed {
		t.Fatalf("restored as %+v", got)
	}
	h.report("w1", nil, graph.RunEnd{Number: 1, Task: u.taskID(1), Run: 1<<24 + 1, Kind: graph.EndStopped})
	if u.crashes.most() != 2 || u.crashes.inRun() {
		t.Fatalf("%+v", u.crashes)
	}
}

// TestCrashesOfGangTasksSurviveTakeover guards against a new owner that blames one task of a gang for the crashes under another.
func TestCrashesOfGangTasksSurviveTakeover(t *testing.T) {
	s := crashSim(t, 4)
	s.runUntil(time.Second)
	j := crashJob("gang", 3, 8, true)
	j.units[0][0].work = 3 * time.Second
	s.submit(j)
	s.crash(s.waitForTask(t, j, 2))
	s.runUntil(s.now + time.Second)
	s.takeOver()
	if c := s.core.jobs["gang"].units[0].crashes; c.of(0).count != 0 || c.of(1).count != 0 || c.of(2).count != 1 {
		t.Fatalf("restored as %+v", c)
	}
	s.mustEnd(t, j, graph.Completed, 30*time.Second)
}

// TestGangWithDeadlyMemberIsGivenUp guards against counting a gang's crash once for each of its members, and against starting it for ever.
func TestGangWithDeadlyMemberIsGivenUp(t *testing.T) {
	s := crashSim(t, 4)
	s.runUntil(time.Second)
	j := crashJob("gang", 4, 4, true, 2)
	s.submit(j)
	s.mustEnd(t, j, graph.Failed, 30*time.Second)
	if n := len(j.units[0][0].crashedRuns); n != 3 {
		t.Fatalf("%d runs crashed", n)
	}
}

// TestInnocentTaskBesideDeadlyOneCompletes guards against failing a job for the crashes that another one on the same worker causes.
func TestInnocentTaskBesideDeadlyOneCompletes(t *testing.T) {
	for _, workers := range []int{1, 2, 3} {
		s := crashSim(t, workers)
		s.runUntil(time.Second)
		deadly, innocent := crashJob("deadly", 1, 2, false, 0), crashJob("innocent", 1, 2, false)
		s.submit(innocent)
		s.submit(deadly)
		s.mustEnd(t, deadly, graph.Failed, 40*time.Second)
		s.mustEnd(t, innocent, graph.Completed, 40*time.Second)
		deadly.units[0][0].mustHaveCrashed(t, 3)
		innocent.units[0][0].mustHaveCrashed(t, 2)
	}
}

// TestOtherTasksAvoidSuspectsWorker guards against placing work beside a task that has crashed workers while there is room elsewhere.
func TestOtherTasksAvoidSuspectsWorker(t *testing.T) {
	s := crashSim(t, 3)
	s.runUntil(time.Second)
	placedOn := map[graph.JobID]string{}
	s.observe = func(a Action) {
		if n, ok := a.(Notice); ok && n.Reason == ReasonPlaced {
			placedOn[n.Job] = n.Worker
		}
	}
	deadly := crashJob("deadly", 1, 2, false, 0)
	s.submit(deadly)
	for len(deadly.units[0][0].crashedRuns) == 0 || len(deadly.units[0][0].runs) == 0 {
		s.runUntil(s.now + simStep)
	}
	bystander := crashJob("bystander", 1, 2, false)
	s.submit(bystander)
	if placedOn["bystander"] == "" || placedOn["bystander"] == placedOn["deadly"] {
		t.Fatalf("%+v", placedOn)
	}
	s.mustEnd(t, bystander, graph.Completed, 10*time.Second)
}

// TestWorkerThatWasCutOffHasNotCrashed guards against counting a loss of the connection to a worker, whose runs the lease ended, against the task.
func TestWorkerThatWasCutOffHasNotCrashed(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	j := crashJob("j", 1, 8, false)
	j.units[0][0].work = 5 * time.Second
	s.submit(j)
	for range 3 {
		s.runUntil(s.now + 2*time.Second)
		s.workers[0].partitioned = true
		s.runUntil(s.now + 8*time.Second)
		s.workers[0].reconnect()
	}
	s.mustEnd(t, j, graph.Completed, 20*time.Second)
	if u := s.core.jobs["j"].units[0]; u.crashes.most() != 0 {
		t.Fatalf("%+v", u.crashes)
	}
}

// TestCrashIsTakenBackWhenIncarnationReturns guards against counting a worker that hung for longer than its lease as crashed.
func TestCrashIsTakenBackWhenIncarnationReturns(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	run := starts(h.submit("j0", 8))[0]
	u := h.core.jobs["j0"].units[0]
	silent := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Number: 2, Accepted: []RunRef{{run.Task, run.Run}}}
	for u.crashes.most() == 0 && h.now < 2*simLeaseBound {
		h.now += 500 * time.Millisecond
		h.step(silent)
		h.step(Tick{})
	}
	if u.crashes.most() != 1 {
		t.Fatalf("not counted when the lease had expired: %+v", u.crashes)
	}
	h.report("w0", nil)
	if u.crashes.most() != 0 || len(h.core.workers["w0"].crashedJobs) != 0 {
		t.Fatalf("%+v", u.crashes)
	}
}

// TestDeadlyTaskWhoseWorkersStayDownIsGivenUp guards against losing one worker after the other to a task.
func TestDeadlyTaskWhoseWorkersStayDownIsGivenUp(t *testing.T) {
	s := crashSim(t, 8)
	for _, w := range s.workers {
		w.staysDown = true
	}
	s.runUntil(time.Second)
	j := crashJob("deadly", 1, 8, false, 0)
	s.submit(j)
	s.mustEnd(t, j, graph.Failed, 40*time.Second)
	if n := len(j.units[0][0].crashedRuns); n != 3 {
		t.Fatalf("%d workers crashed; the end of a lease is not conclusive", n)
	}
}

// TestLeavingWorkersHaveNotCrashed guards against counting announced ends of workers.
func TestLeavingWorkersHaveNotCrashed(t *testing.T) {
	for name, leave := range map[string]func(s *sim, w *simWorker){
		"drains": func(s *sim, w *simWorker) {
			w.info.Draining, w.info.DrainRemaining, w.reportNow = true, time.Second, true
			s.runUntil(s.now + 100*time.Millisecond)
			w.info.Draining = false
			s.crash(w)
		},
		"leaves": func(s *sim, w *simWorker) {
			s.step(WorkerReport{Worker: w.info, Session: s.core.workers[w.info.ID].session, Number: 1, WorkerLeft: true})
			s.crash(w)
		},
	} {
		s := crashSim(t, 1)
		s.runUntil(time.Second)
		j := crashJob("j", 1, 8, false)
		j.units[0][0].work = 4 * time.Second
		s.submit(j)
		for range 3 {
			s.runUntil(s.now + time.Second)
			leave(s, s.workers[0])
		}
		s.mustEnd(t, j, graph.Completed, 20*time.Second)
		if u := s.core.jobs["j"].units[0]; u.crashes.most() != 0 {
			t.Fatalf("%s: %+v", name, u.crashes)
		}
	}
}

// TestPowerFailureFailsNoJob guards against counting the loss of whole hosts, whose agents restart too.
func TestPowerFailureFailsNoJob(t *testing.T) {
	s := crashSim(t, 4)
	s.runUntil(time.Second)
	j := crashJob("j", 4, 8, false)
	s.submit(j)
	for _, u := range j.units[0] {
		u.work = 4 * time.Second
	}
	for range 4 {
		s.runUntil(s.now + 2*time.Second)
		for _, w := range s.workers {
			w.session++
			s.crash(w)
			w.lost = nil
		}
	}
	s.mustEnd(t, j, graph.Completed, 20*time.Second)
}

// TestBadWorkerFailsNoJob guards against failing jobs for a worker that crashes under whatever it starts while others are well.
func TestBadWorkerFailsNoJob(t *testing.T) {
	s := crashSim(t, 3)
	s.runUntil(time.Second)
	var jobs []*simJob
	for i := range 12 {
		j := crashJob(graph.JobID("j"+string(rune('a'+i))), 1, 8, false)
		jobs = append(jobs, j)
		s.submit(j)
		for range 150 {
			s.runUntil(s.now + simStep)
			if bad := s.workers[0]; len(bad.runs) > 0 && bad.crashesAt == 0 {
				bad.crashesAt = s.now + simCrashDelay
			}
		}
	}
	for _, j := range jobs {
		s.mustEnd(t, j, graph.Completed, 30*time.Second)
	}
}

// TestCrashesLateInLongRunsAreNotCounted guards against failing long gangs for the usual losses of workers.
func TestCrashesLateInLongRunsAreNotCounted(t *testing.T) {
	s := crashSim(t, 2)
	s.runUntil(time.Second)
	j := crashJob("long", 2, 8, true)
	j.units[0][0].work = 20 * time.Second
	s.submit(j)
	for range 4 {
		s.runUntil(s.now + 15*time.Second)
		s.crash(s.workers[0])
	}
	s.mustEnd(t, j, graph.Completed, 60*time.Second)
}

// TestCrashIsNoFailureOfWorker guards against quarantining workers for the tasks that crash them.
func TestCrashIsNoFailureOfWorker(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	for _, id := range []graph.JobID{"d0", "d1", "d2"} {
		s.submit(crashJob(id, 1, 8, false, 0))
	}
	for _, j := range slices.Clone(s.jobs) {
		s.mustEnd(t, j, graph.Failed, 60*time.Second)
	}
	if w := s.core.workers["w00"]; w.failures.Count() != 0 || w.failures.Quarantined(s.core.now) {
		t.Fatalf("%+v", w.failures)
	}
}

// TestLostHostsFailNoJob guards against counting hosts that fall silent for good together with their agents.
func TestLostHostsFailNoJob(t *testing.T) {
	s := crashSim(t, 6)
	s.runUntil(time.Second)
	j := crashJob("j", 1, 8, false)
	j.units[0][0].work = 3 * time.Second
	s.submit(j)
	for range 4 {
		s.runUntil(s.now + 500*time.Millisecond)
		for _, w := range s.workers {
			if len(w.runs) > 0 {
				s.loseRuns(w)
				w.partitioned = true
			}
		}
		s.runUntil(s.now + 7*time.Second)
	}
	s.mustEnd(t, j, graph.Completed, 20*time.Second)
}

// TestSecondCrashOnWorkerThatCrashedUnderOthersIsInconclusive guards against failing a job early where the only worker may be at fault.
func TestSecondCrashOnWorkerThatCrashedUnderOthersIsInconclusive(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	bad := s.workers[0]
	crashNextRun := func() {
		for len(bad.runs) == 0 {
			s.runUntil(s.now + simStep)
		}
		bad.crashesAt = s.now + simCrashDelay
		s.runUntil(s.now + time.Second)
	}
	first, urgent := crashJob("first", 1, 8, false), crashJob("urgent", 1, 8, false)
	urgent.Priority = 0
	s.submit(first)
	crashNextRun()
	s.submit(urgent)
	crashNextRun()
	crashNextRun()
	s.mustEnd(t, urgent, graph.Completed, 20*time.Second)
	s.mustEnd(t, first, graph.Completed, 20*time.Second)
	if len(first.units[0][0].crashedRuns) != 1 || len(urgent.units[0][0].crashedRuns) != 2 {
		t.Fatalf("%+v %+v", first.units[0][0].crashedRuns, urgent.units[0][0].crashedRuns)
	}
}

// TestSecondCrashBesideAnotherTaskIsInconclusive guards against failing a job early for a task that was placed beside its own.
func TestSecondCrashBesideAnotherTaskIsInconclusive(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	innocent, deadly := crashJob("innocent", 1, 2, false), crashJob("deadly", 1, 2, false, 0)
	innocent.units[0][0].work = 2 * time.Second
	s.submit(innocent)
	s.runUntil(s.now + time.Second)
	s.crash(s.workers[0])
	s.runUntil(s.now + time.Second)
	s.submit(deadly)
	s.mustEnd(t, innocent, graph.Completed, 30*time.Second)
	s.mustEnd(t, deadly, graph.Failed, 30*time.Second)
	if n := len(innocent.units[0][0].crashedRuns); n != 2 {
		t.Fatalf("%d workers crashed under the innocent job", n)
	}
}

// TestStallOfCrashedWorkerIsNoFailure guards against quarantining a worker for the runs that stood still while it was down.
func TestStallOfCrashedWorkerIsNoFailure(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	for _, id := range []graph.JobID{"j0", "j1"} {
		j := crashJob(id, 1, 4, false)
		j.units[0][0].work = 10 * time.Second
		s.submit(j)
	}
	s.runUntil(s.now + time.Second)
	w := s.workers[0]
	w.staysDown, w.crashesAt = true, s.now+simCrashDelay
	s.observe = func(a Action) {
		if n, ok := a.(Notice); ok && (n.Reason == ReasonNoProgress || n.Reason == ReasonWorkerQuarantined) {
			t.Errorf("%+v", n)
		}
	}
	s.runUntil(s.now + 5*time.Second)
}

// TestBystanderOfSeveralDeadlyTasksCompletes guards against failing a job for the crashes of several others that were placed beside it in turn.
func TestBystanderOfSeveralDeadlyTasksCompletes(t *testing.T) {
	s := crashSim(t, 1)
	s.runUntil(time.Second)
	bystander := crashJob("bystander", 1, 2, false)
	bystander.units[0][0].work = 8 * time.Second
	s.submit(bystander)
	u := bystander.units[0][0]
	var deadly []*simJob
	for _, id := range []graph.JobID{"d0", "d1"} {
		for len(u.runs) == 0 {
			s.runUntil(s.now + simStep)
		}
		s.runUntil(s.now + 500*time.Millisecond)
		j := crashJob(id, 1, 2, false, 0)
		deadly = append(deadly, j)
		s.submit(j)
		for len(u.crashedRuns) < 1+len(deadly) {
			s.runUntil(s.now + simStep)
		}
	}
	s.mustEnd(t, bystander, graph.Completed, 60*time.Second)
	for _, j := range deadly {
		s.mustEnd(t, j, graph.Failed, 60*time.Second)
	}
	if n := len(u.crashedRuns); n != 3 {
		t.Fatalf("%d workers crashed under the bystander", n)
	}
}

// TestTwoCrashesInMidRunAreInconclusive guards against failing a job early for two losses of workers that had worked on its task for seconds.
func TestTwoCrashesInMidRunAreInconclusive(t *testing.T) {
	s := crashSim(t, 2)
	s.runUntil(time.Second)
	j := crashJob("j", 1, 8, false)
	j.units[0][0].work = 5 * time.Second
	s.submit(j)
	for range 2 {
		s.runUntil(s.now + 3*time.Second)
		for _, w := range s.workers {
			if len(w.runs) > 0 {
				s.crash(w)
			}
		}
	}
	s.mustEnd(t, j, graph.Completed, 20*time.Second)
	if n := len(j.units[0][0].crashedRuns); n != 2 {
		t.Fatalf("%d workers crashed", n)
	}
}

// TestTwoCrashesRightAfterTheStartFailNoJob guards against failing a job that meets workers which go down and up by turns twice.
func TestTwoCrashesRightAfterTheStartFailNoJob(t *testing.T) {
	s := crashSim(t, 2)
	s.runUntil(time.Second)
	j := crashJob("j", 1, 8, false)
	s.submit(j)
	u := j.units[0][0]
	for n := 1; n <= 2; n++ {
		for len(u.runs) == 0 {
			s.runUntil(s.now + simStep)
		}
		for _, w := range s.workers {
			if len(w.runs) > 0 {
				w.crashesAt = s.now + simCrashDelay
			}
		}
		for len(u.crashedRuns) < n {
			s.runUntil(s.now + simStep)
		}
	}
	s.mustEnd(t, j, graph.Completed, 20*time.Second)
}

// TestDeadlyTaskBesideOthersIsGivenUp guards against starting a deadly task for ever where it is never alone.
func TestDeadlyTaskBesideOthersIsGivenUp(t *testing.T) {
	s := crashSim(t, 1)
	s.crashLimit = 4
	s.runUntil(time.Second)
	deadly := crashJob("deadly", 1, 2, false, 0)
	s.submit(deadly)
	for i := 0; deadly.final == "" && i < 8; i++ {
		fresh := crashJob(graph.JobID("b"+string(rune('0'+i))), 1, 2, false)
		fresh.Priority = 0
		s.submit(fresh)
		before := len(deadly.units[0][0].crashedRuns)
		for limit := s.now + 10*time.Second; deadly.final == "" && len(deadly.units[0][0].crashedRuns) == before && s.now < limit; {
			s.runUntil(s.now + simStep)
		}
	}
	s.mustEnd(t, deadly, graph.Failed, 10*time.Second)
	deadly.units[0][0].mustHaveCrashed(t, 4)
}

// TestStartOnWorkerThatWasDownIsNoCrash guards against blaming a task for the crash of a worker that never got its start.
func TestStartOnWorkerThatWasDownIsNoCrash(t *testing.T) {
	for name, lost := range map[string][]RunRef{"restarted": nil, "restarted, lost another run": {{graph.TaskID{Job: "other"}, 1}}} {
		h := newHarness(t)
		h.report("w0", nil)
		info := h.core.workers["w0"].info
		if s := starts(h.submit("j0", 8)); len(s) != 1 {
			t.Fatalf("%+v", s)
		}
		info.StartUnixMillis++
		h.step(WorkerReport{Worker: info, Session: "s", Number: 2, WorkerResponsive: true, Lost: lost})
		if u := h.core.jobs["j0"].units[0]; u.crashes.most() != 0 || u.crashes.inRun() {
			t.Fatalf("%s: %+v", name, u.crashes)
		}
	}
}

// TestGangIsNotGivenUpForCrashesUnderDifferentTasks guards against failing a wide gang for the crashes of workers that no task of it has in common.
func TestGangIsNotGivenUpForCrashesUnderDifferentTasks(t *testing.T) {
	s := crashSim(t, 8)
	s.runUntil(time.Second)
	j := crashJob("gang", 6, 8, true)
	j.units[0][0].work = 3 * time.Second
	s.submit(j)
	for n := range 5 {
		w := s.waitForTask(t, j, n)
		w.crashesAt = s.now + simCrashDelay
		s.runUntil(s.now + time.Second)
	}
	s.mustEnd(t, j, graph.Completed, 40*time.Second)
}

// waitForTask runs the simulation until a task of the first unit runs, and returns its worker.
func (s *sim) waitForTask(t *testing.T, j *simJob, index int) *simWorker {
	t.Helper()
	for limit := s.now + 30*time.Second; s.now < limit && j.final == ""; s.runUntil(s.now + simStep) {
		for _, w := range s.workers {
			if slices.ContainsFunc(w.runs, func(r *simRun) bool { return r.unit == j.units[0][0] && r.task.Index == index }) {
				return w
			}
		}
	}
	t.Fatalf("task %d of %s does not run, the job is %q", index, j.ID, j.final)
	return nil
}

// TestCrashLimitIsThatOfTheTask guards against a job that is failed for a crash beside others, as one of its other tasks was alone on a worker.
func TestCrashLimitIsThatOfTheTask(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	h.report("w1", nil)
	gang := &graph.Job{ID: "gang", Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2, SubmittedAt: time.Unix(0, 0),
		Steps: []graph.Step{{Count: 2, Gang: true, MaxPerWorker: 1, Needs: graph.Resources{MilliCPU: 1000, Accelerators: 2}, Estimate: time.Minute}}}
	if s := starts(h.step(JobSubmitted{Job: gang})); len(s) != 2 {
		t.Fatalf("%+v", s)
	}
	u := h.unitOf("gang")
	shared, alone := u.members[0].worker, u.members[1].worker
	h.submit("other", 2)
	if len(shared.members) != 2 {
		shared, alone = alone, shared
	}
	if len(shared.members) != 2 {
		t.Fatal("no worker is shared")
	}
	index := shared.members[0].index()
	u.crashesOf(index).count = maxCrashes - 1
	all := func(*member) bool { return true }
	h.core.recordCrashes(shared, all, true)
	h.core.recordCrashes(alone, all, true)
	h.core.countCrash(u)
	if u.job.state.Final() {
		t.Errorf("%s after %d crashes under task %d, the last beside another job; at most %d are allowed there", u.job.state, u.crashes.of(index).count, index, maxSharedCrashes)
	}
}

// TestCrashOfEarlierTermMayHaveBeenBesideOthers guards against failing a gang early, as the owner changes between a crash beside other jobs and the end of the run.
func TestCrashOfEarlierTermMayHaveBeenBesideOthers(t *testing.T) {
	for crashes, fails := range map[int]bool{maxCrashes: false, maxSharedCrashes: true} {
		h := newHarness(t)
		h.step(JobSubmitted{Job: crashJob("gang", 2, 8, true).Job, Progress: &graph.Progress{Job: "gang", State: graph.Running, Tasks: []graph.TaskProgress{
			{Step: 0, Index: 0, Crashes: crashes - 1, RunCrashed: true},
			{Step: 0, Index: 1, Run: 1<<24 + 1, Worker: "w1", Incarnation: "i-w1@1"}}}})
		u := h.unitOf("gang")
		h.report("w1", nil, graph.RunEnd{Number: 1, Task: u.taskID(1), Run: 1<<24 + 1, Kind: graph.EndStopped})
		if failed := u.job.state == graph.Failed; failed != fails {
			t.Errorf("%d crashes: the job is %s", crashes, u.job.state)
		}
	}
}
