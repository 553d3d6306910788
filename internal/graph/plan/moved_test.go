package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	formerPool = "pool"
	nextPool   = "next"
)

// queueIn returns a configuration in which the queues named q are those with the given pools.
func queueIn(version uint64, pools ...string) *policy.Snapshot {
	p := loadPolicy()
	p.Version = version
	for _, pool := range pools {
		p.Queues = append(p.Queues, policy.Queue{Name: "q", Pool: pool})
	}
	return p
}

// reportIn is report for a worker of a pool.
func (h *harness) reportIn(pool, id string, running []graph.RunState, ended ...graph.RunEnd) []Action {
	return h.step(WorkerReport{Worker: WorkerInfo{ID: id, Instance: "i-" + id, StartUnixMillis: 1, Pool: pool, Zone: "z0", Rack: "r0",
		Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}, Session: "s", Running: running, Ended: ended, Number: 1, WorkerResponsive: true})
}

// newMoveHarness returns a harness with a worker of either pool, w0 and n0, and the queue on the former.
func newMoveHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.step(PolicyChanged{queueIn(1, formerPool)})
	h.reportIn(formerPool, "w0", nil)
	h.reportIn(nextPool, "n0", nil)
	return h
}

// storedRow returns the progress of a job as the next owner reads it.
func (h *harness) storedRow(id graph.JobID) *graph.Progress {
	data, err := json.Marshal(h.core.jobs[id].progress())
	if err != nil {
		h.t.Fatal(err)
	}
	var p graph.Progress
	if err := json.Unmarshal(data, &p); err != nil {
		h.t.Fatal(err)
	}
	return &p
}

func (h *harness) mustStartOn(what string, actions []Action, worker string) StartRun {
	h.t.Helper()
	s := starts(actions)
	if len(s) != 1 || s[0].Worker != worker {
		h.t.Fatalf("%s: started %+v, want one start on %s", what, s, worker)
	}
	return s[0]
}

// TestWaitingJobsFollowTheirQueue guards against jobs that wait for workers of a service that their queue does not name any more, and against runs there that are stopped.
func TestWaitingJobsFollowTheirQueue(t *testing.T) {
	h := newMoveHarness(t)
	run := h.mustStartOn("first job", h.submit("j0", 8), "w0")
	running := []graph.RunState{{Task: run.Task, Run: run.Run}}
	h.reportIn(formerPool, "w0", running)
	if s := starts(h.submit("j1", 8)); len(s) > 0 {
		t.Fatalf("no room: %+v", s)
	}
	actions := h.step(PolicyChanged{queueIn(2, nextPool)})
	h.mustStartOn("after the change", actions, "n0")
	actions = append(actions, h.reportIn(formerPool, "w0", running)...)
	if slices.ContainsFunc(actions, func(a Action) bool { _, stop := a.(StopRun); return stop }) {
		t.Errorf("the run on the former service is stopped: %+v", actions)
	}
	h.reportIn(formerPool, "w0", nil, runEnd(run, graph.EndDone))
	if s, _ := h.core.JobStatus("j0"); s.State != graph.Completed {
		t.Errorf("job on the former service: %s", s.State)
	}
}

// TestRunsAfterTheChangeFollowTheQueue guards against steps, and runs after a failure, that go to the former service, and against attempts and
// order by settings that are not those of the acceptance.
func TestRunsAfterTheChangeFollowTheQueue(t *testing.T) {
	h := newMoveHarness(t)
	task := graph.Step{Count: 1, Needs: graph.Resources{Accelerators: 1}, Estimate: time.Second}
	next := task
	next.After = []int{0}
	job := &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: formerPool, Priority: 1, MaxAttempts: 2, Stretch: 2, Allowance: time.Second, Steps: []graph.Step{task, next}}
	first := h.mustStartOn("first step", h.step(JobSubmitted{Job: job}), "w0")
	before := *job
	changed := queueIn(2, nextPool)
	changed.Queues[0].Priority, changed.Queues[0].MaxAttempts, changed.Queues[0].Stretch, changed.Queues[0].Allowance = 0, 1, 9, time.Hour
	h.step(PolicyChanged{changed})
	again := h.mustStartOn("after the failure", h.reportIn(formerPool, "w0", nil, runEnd(first, graph.EndFailed)), "n0")
	h.mustStartOn("next step", h.reportIn(nextPool, "n0", nil, runEnd(again, graph.EndDone)), "n0")
	if !reflect.DeepEqual(before, *job) || h.core.jobs["j0"].objective() != before.ObjectiveFor([]time.Duration{time.Second, time.Second}) {
		t.Errorf("settings of the acceptance have changed: %+v", job)
	}
}

// TestMovedPlacementIsNotStarted guards against starts on the former service of runs whose placement was being saved when the queue moved, as a whole gang.
func TestMovedPlacementIsNotStarted(t *testing.T) {
	h := newMoveHarness(t)
	h.reportIn(formerPool, "w1", nil)
	h.reportIn(nextPool, "n1", nil)
	var saves []SaveProgress
	for _, a := range h.core.Step(h.now, JobSubmitted{Job: gangOfTwo()}) {
		if s, ok := a.(SaveProgress); ok {
			saves = append(saves, s)
		}
	}
	if len(saves) != 1 || len(saves[0].Progress.Tasks) != 2 {
		t.Fatalf("placement saved as %+v", saves)
	}
	var late []Action // of the silent store
	for _, ev := range []Event{PolicyChanged{queueIn(2, nextPool)}, ProgressSaved{Job: "j0", Number: saves[0].Number}} {
		h.now += time.Second
		for _, id := range []string{"n0", "n1"} {
			late = append(late, h.reportIn(nextPool, id, nil)...)
		}
		late = append(late, h.step(ev)...)
	}
	late = append(late, h.step(Tick{})...)
	s := starts(late)
	if len(s) != 2 || s[0].Worker[0] != 'n' || s[1].Worker[0] != 'n' {
		t.Fatalf("started %+v, want two starts on the next service", s)
	}
}

// TestMoveSplitsNoGang guards against a gang that is in part on the former service: one that has begun there goes on, and one of which a
// start is refused after the move starts anew on the next service, with all members.
func TestMoveSplitsNoGang(t *testing.T) {
	for _, refused := range []bool{false, true} {
		h := newMoveHarness(t)
		h.reportIn(nextPool, "n1", nil)
		h.reportIn(formerPool, "w1", nil)
		gang := starts(h.step(JobSubmitted{Job: gangOfTwo()}))
		if len(gang) != 2 {
			t.Fatalf("started %+v", gang)
		}
		begun, open := gang[0], gang[1]
		h.reportIn(formerPool, begun.Worker, []graph.RunState{{Task: begun.Task, Run: begun.Run}})
		if s := starts(h.step(PolicyChanged{queueIn(2, nextPool)})); len(s) > 0 {
			t.Fatalf("started by the move: %+v", s)
		}
		if !refused {
			h.reportIn(formerPool, open.Worker, []graph.RunState{{Task: open.Task, Run: open.Run}})
			h.reportIn(formerPool, open.Worker, nil, runEnd(open, graph.EndDone))
			h.reportIn(formerPool, begun.Worker, nil, runEnd(begun, graph.EndDone))
			if s, _ := h.core.JobStatus("j0"); s.State != graph.Completed {
				t.Errorf("gang that has begun: %s", s.State)
			}
			continue
		}
		r := WorkerReport{Worker: h.core.workers[open.Worker].info, Session: "s", Number: 2, WorkerResponsive: true, Absent: []RunAbsent{{open.Task, open.Run, "room"}}}
		if s := starts(h.step(r)); len(s) > 0 {
			t.Errorf("started while a member is at work: %+v", s)
		}
		s := starts(h.reportIn(formerPool, begun.Worker, nil, runEnd(begun, graph.EndStopped)))
		if len(s) != 2 || s[0].Worker[0] != 'n' || s[1].Worker[0] != 'n' || s[0].Run != s[1].Run {
			t.Errorf("after a refused start: %+v, want one run of both members on the next service", s)
		}
	}
}

// TestClaimOnFormerServiceIsDropped guards against a claim that holds room on the former service for a job that has moved.
func TestClaimOnFormerServiceIsDropped(t *testing.T) {
	h := newMoveHarness(t)
	h.submit("j0", 8)
	urgent := &graph.Job{ID: "j1", Queue: "q", Account: "a0", Pool: formerPool, MaxAttempts: 1, Stretch: 2,
		Steps: []graph.Step{{Count: 1, Needs: graph.Resources{Accelerators: 8}, Estimate: time.Second}}}
	h.step(JobSubmitted{Job: urgent})
	if h.core.workers["w0"].claimed.Accelerators != 8 {
		t.Fatal("no claim was made")
	}
	h.mustStartOn("after the change", h.step(PolicyChanged{queueIn(2, nextPool)}), "n0")
	if claimed := h.core.workers["w0"].claimed; claimed != (graph.Resources{}) {
		t.Errorf("%+v is still claimed", claimed)
	}
}

// TestEarlierConfigurationMovesNoJob guards against an owner that has not read the configuration by which another entry has accepted a job, or
// an earlier owner has moved it.
func TestEarlierConfigurationMovesNoJob(t *testing.T) {
	h := newMoveHarness(t)
	accepted := &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: nextPool, ConfigVersion: 2, Priority: 1, MaxAttempts: 1, Stretch: 2,
		Steps: []graph.Step{{Count: 1, Needs: graph.Resources{Accelerators: 8}, Estimate: time.Minute}}}
	h.mustStartOn("accepted by a later configuration", h.step(JobSubmitted{Job: accepted}), "n0")
	for _, id := range []graph.JobID{"j1", "j2"} {
		h.submit(id, 8)
	}
	h.step(PolicyChanged{queueIn(3, nextPool)})
	next := newHarness(t)
	next.step(PolicyChanged{queueIn(1, formerPool)})
	next.step(JobSubmitted{Job: h.core.jobs["j2"].Job, Progress: h.storedRow("j2")})
	if s := starts(next.reportIn(formerPool, "w0", nil)); len(s) > 0 {
		t.Errorf("the next owner starts %+v", s)
	}
	next.mustStartOn("after a later change", next.step(PolicyChanged{queueIn(4, formerPool)}), "w0")
}

// TestRemovedQueueKeepsItsLastService guards against jobs that fall back to a service without workers when their queue is removed and the
// owner changes, and that do not follow it when it returns.
func TestRemovedQueueKeepsItsLastService(t *testing.T) {
	h := newMoveHarness(t)
	h.submit("j0", 8)
	h.submit("j1", 8)
	h.step(PolicyChanged{queueIn(2, "none")})
	for _, removed := range []*policy.Snapshot{queueIn(3), queueIn(3, ""), queueIn(3, formerPool, nextPool)} {
		next := newHarness(t)
		next.step(JobSubmitted{Job: h.core.jobs["j1"].Job, Progress: h.storedRow("j1")})
		next.step(PolicyChanged{removed})
		if s := starts(next.reportIn(formerPool, "w0", nil)); len(s) > 0 {
			t.Errorf("queues %+v: started %+v", removed.Queues, s)
		}
		next.step(PolicyChanged{queueIn(4, nextPool)})
		next.mustStartOn("queue is back", next.reportIn(nextPool, "n0", nil), "n0")
	}
	for _, removed := range []*policy.Snapshot{queueIn(3), queueIn(3, ""), queueIn(3, formerPool, nextPool)} {
		next := newHarness(t)
		next.step(PolicyChanged{removed})
		next.step(JobSubmitted{Job: h.core.jobs["j1"].Job, Progress: h.storedRow("j1")})
		next.mustStartOn("last service of a removed queue", next.reportIn("none", "w0", nil), "w0")
	}
}

// TestRowsOfEarlierVersionsFollowTheQueue guards against jobs of an earlier version of the program, or that its owner has saved, that stay on
// the service of their submission.
func TestRowsOfEarlierVersionsFollowTheQueue(t *testing.T) {
	var job graph.Job
	row := `{"queue":"q","account":"a0","pool":"pool","steps":[{"n":1,"needs":{"a":1}}],"prio":1,"attempts":2,"stretch":2,"allow":0,"at":"2026-12-01T00:00:00Z"}`
	if err := json.Unmarshal([]byte(row), &job); err != nil {
		t.Fatal(err)
	}
	job.ID = "j0"
	for _, p := range []*graph.Progress{nil, {Job: "j0", State: graph.Queued}} {
		h := newHarness(t)
		h.step(PolicyChanged{queueIn(7, nextPool)})
		h.step(JobSubmitted{Job: &job, Progress: p})
		h.mustStartOn("job of an earlier version", h.reportIn(nextPool, "n0", nil), "n0")
	}
}

// TestMoveIsStoredOnce guards against a move that is not stored, and against saves at configurations that move nothing.
func TestMoveIsStoredOnce(t *testing.T) {
	h := newMoveHarness(t)
	h.submit("j0", 8)
	h.submit("j1", 8)
	saves := func(p *policy.Snapshot) (saved []movedJob) {
		for _, a := range h.core.Step(h.now, PolicyChanged{p}) {
			if s, ok := a.(SaveProgress); ok {
				saved = append(saved, movedJob{s.Job, s.Progress.Pool})
				h.step(ProgressSaved{Job: s.Job, Number: s.Number})
			}
		}
		return saved
	}
	if got := saves(queueIn(2, formerPool)); len(got) != 0 {
		t.Errorf("saved without a move: %+v", got)
	}
	want := []movedJob{{"j0", graph.QueuePool{Name: "none", Version: 3}}, {"j1", graph.QueuePool{Name: "none", Version: 3}}}
	if got := saves(queueIn(3, "none")); !reflect.DeepEqual(got, want) {
		t.Errorf("saved %+v, want %+v", got, want)
	}
	if got := saves(queueIn(4, "none")); len(got) != 0 {
		t.Errorf("saved again: %+v", got)
	}
	if got := saves(queueIn(5, strings.Repeat("n", graph.MaxPoolBytes+1))); len(got) != 2 || got[0].pool != (graph.QueuePool{}) {
		t.Errorf("a name that does not fit: %+v", got)
	}
}

// movedJob is the stored service of a job.
type movedJob struct {
	job  graph.JobID
	pool graph.QueuePool
}

// TestRunTimesBelongToTheirService guards against refusals of jobs by the run times of a service that their queue does not name any more.
func TestRunTimesBelongToTheirService(t *testing.T) {
	h := newMoveHarness(t)
	h.core.cfg.Features = feature.NewSet(feature.Admission)
	h.now = time.Second // a run that starts at 0 is not observed
	runFor := func(pool, worker string, d time.Duration, jobs ...string) {
		for _, id := range jobs {
			run := h.mustStartOn(id, h.submit(graph.JobID(id), 8), worker)
			h.reportIn(pool, worker, []graph.RunState{{Task: run.Task, Run: run.Run}})
			h.now += d
			end := runEnd(run, graph.EndDone)
			end.Number = h.core.workers[worker].lastEndSeen + 1
			h.reportIn(pool, worker, nil, end)
		}
	}
	ids := func(prefix string, n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprint(prefix, i))
		}
		return out
	}
	runFor(formerPool, "w0", time.Second, ids("f", minRunsObserved)...)
	if got := h.core.longestRuns(); len(got) != 1 || h.core.leastRunTime("q", formerPool) == 0 {
		t.Fatalf("before the change: %+v", got)
	}
	last := h.mustStartOn("last on the former service", h.submit("l0", 8), "w0")
	h.reportIn(formerPool, "w0", []graph.RunState{{Task: last.Task, Run: last.Run}})
	h.step(PolicyChanged{queueIn(2, nextPool)})
	if got := h.core.longestRuns(); len(got) != 0 || h.core.leastRunTime("q", nextPool) != 0 {
		t.Errorf("after the change: %+v, at least %v", got, h.core.leastRunTime("q", nextPool))
	}
	h.reportIn(nextPool, "n0", nil)
	runFor(nextPool, "n0", 100*time.Millisecond, ids("n", minRunsObserved)...)
	for _, what := range []string{"while one is at work on the former service", "after its end"} {
		if got := h.core.longestRuns(); len(got) != 1 || got[0].Longest > 200*time.Millisecond {
			t.Errorf("on the next service, %s: %+v", what, got)
		}
		h.reportIn(formerPool, "w0", nil, graph.RunEnd{Number: h.core.workers["w0"].lastEndSeen + 1, Task: last.Task, Run: last.Run, Kind: graph.EndDone})
	}
}

// TestIdleWaitEndsWithTheMove guards against a job that waives its preferences on the next service for a wait on the former one.
func TestIdleWaitEndsWithTheMove(t *testing.T) {
	h := newMoveHarness(t)
	h.submit("j0", 9) // fits no worker
	for range 20 {
		h.now += 200 * time.Millisecond
		h.reportIn(formerPool, "w0", nil)
		h.reportIn(nextPool, "n0", nil)
		h.step(Tick{})
	}
	j := h.core.jobs["j0"]
	if !h.core.idleFor(j, lastResortWait) {
		t.Fatal("no wait on an idle pool")
	}
	h.step(PolicyChanged{queueIn(2, nextPool)})
	if h.core.idleFor(j, maxIdleFleetWait) {
		t.Error("the wait on the former service goes on")
	}
}

// TestExplainNamesTheServiceOfNow guards against explanations by the service of the submission.
func TestExplainNamesTheServiceOfNow(t *testing.T) {
	h := newMoveHarness(t)
	h.submit("j0", 8)
	h.submit("j1", 8)
	h.step(PolicyChanged{queueIn(2, "none")})
	h.now += 2 * simLeaseBound
	h.reportIn(formerPool, "w0", nil)
	r, err := h.core.Explain(h.now, &graph.Job{ID: "j1"})
	if err != nil || r.Pool != "none" || len(r.Steps) != 1 || !r.Steps[0].NeverFits {
		t.Errorf("%+v, %v", r, err)
	}
	if d := h.core.Dump(); d.Jobs[0].Pool != "none" {
		t.Errorf("state dump: %+v", d.Jobs)
	}
}

// TestPlanMachineWithMovingQueues checks the same as TestPlanMachine while queues move between two services, are removed, name no service or one
// without workers, and return. It guards against jobs that never run since.
func TestPlanMachineWithMovingQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine(t)
		for i, w := range m.workers {
			if i%4 >= 2 {
				w.info.Pool = nextPool
			}
		}
		route := func(pools ...string) {
			next := *m.policy
			next.Version++
			next.Queues = nil
			for i, c := range assessments() {
				if pool := pools[i%len(pools)]; pool != "" {
					next.Queues = append(next.Queues, policy.Queue{Name: c.name, Pool: pool})
				}
			}
			m.policy = &next
			m.step(PolicyChanged{m.policy})
		}
		actions := m.actions()
		actions["move"] = func(t *rapid.T) {
			var pools []string
			for range assessments() {
				pools = append(pools, rapid.SampledFrom([]string{formerPool, nextPool, "none", ""}).Draw(t, "pool"))
			}
			route(pools...)
		}
		delete(actions, "zone") // its configurations have no queues
		m.runUntil(time.Second)
		t.Repeat(actions)
		route(rapid.SampledFrom([]string{formerPool, nextPool}).Draw(t, "last pool"))
		m.recoverAndCheck(t)
	})
}
