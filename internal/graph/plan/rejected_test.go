package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestRejectedSaveHoldsNoRoom guards against a job that cannot be stored and keeps the
// room of its tasks, or is saved again unchanged.
func TestRejectedSaveHoldsNoRoom(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	submitted := JobSubmitted{Job: &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2, SubmittedAt: time.Unix(0, 0),
		Steps: []graph.Step{{Count: 4, Needs: graph.Resources{MilliCPU: 1000, Accelerators: 2}, Estimate: time.Second}}}}
	pause := time.Duration(0)
	for round := range 3 {
		var save SaveProgress
		var ok bool
		if round == 0 {
			save, ok = first[SaveProgress](h.core.Step(h.now, submitted))
		} else {
			h.now += pause - time.Millisecond
			h.report("w0", nil)
			if save, early := first[SaveProgress](h.core.Step(h.now, Tick{})); early {
				t.Fatalf("round %d: placed within the pause: %+v", round, save)
			}
			h.now += time.Millisecond
			save, ok = first[SaveProgress](h.core.Step(h.now, Tick{}))
		}
		if !ok || len(save.Progress.Tasks) != 4 {
			t.Fatalf("round %d: not placed: %+v", round, save)
		}
		actions := h.core.Step(h.now, SaveRejected{Job: "j0", Number: save.Number})
		next, ok := first[SaveProgress](actions)
		if !ok || len(next.Progress.Tasks) != 0 || len(starts(actions)) != 0 {
			t.Fatalf("round %d: after the rejection: %+v", round, actions)
		}
		h.step(ProgressSaved{Job: "j0", Number: next.Number})
		pause = rejectionPause(round + 1)
	}
	if s := starts(h.submit("j1", 8)); len(s) != 1 {
		t.Errorf("the room is kept: %+v", s)
	}
}

// TestEndWaitsForTheSaveAfterARejectedOne guards against an end that is acknowledged
// although its effect was not stored, or never.
func TestEndWaitsForTheSaveAfterARejectedOne(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	started := starts(h.submit("j0", 2))
	if len(started) != 1 {
		t.Fatalf("%+v", started)
	}
	end := graph.RunEnd{Number: 1, Task: started[0].Task, Run: started[0].Run, Kind: graph.EndFailed}
	report := WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Ended: []graph.RunEnd{end}, Number: 2, WorkerResponsive: true}
	save, ok := first[SaveProgress](h.core.Step(h.now, report))
	if !ok {
		t.Fatal("the end is not saved")
	}
	actions := h.core.Step(h.now, SaveRejected{Job: "j0", Number: save.Number})
	if a, ok := first[AcknowledgeEnds](actions); ok {
		t.Fatalf("acknowledged without a save: %+v", a)
	}
	var acknowledged bool
	for _, a := range append(actions, h.step(JobCancelled{Job: "j0"})...) {
		if s, ok := a.(SaveProgress); ok {
			_, ok := first[AcknowledgeEnds](h.step(ProgressSaved{Job: "j0", Number: s.Number}))
			acknowledged = acknowledged || ok
		}
		_, ok := a.(AcknowledgeEnds)
		acknowledged = acknowledged || ok
	}
	if !acknowledged {
		t.Error("never acknowledged")
	}
}

// TestRejectedSaveHoldsNoClaim guards against a claim that keeps its room through the pause after a rejected save.
func TestRejectedSaveHoldsNoClaim(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	victim := starts(h.submit("victim", 8))
	h.submit("claiming", 8)
	u := h.unitOf("claiming")
	h.core.makeClaim(u, []allocation{{h.core.workers["w0"], 1}})
	h.core.stopRun(h.unitOf("victim"))
	const rejections = 5
	for range rejections { // of what an earlier step of the job has to save
		h.core.requestSave(u.job, nil)
		h.core.needsScheduling = true
		save, ok := first[SaveProgress](h.core.Schedule(h.now))
		if !ok {
			t.Fatal("no save")
		}
		h.core.Handle(h.now, SaveRejected{Job: "claiming", Number: save.Number})
	}
	h.report("w0", nil, runEnd(victim[0], graph.EndStopped))
	h.submit("other", 8)
	for h.now < rejectionPause(rejections)-time.Second {
		h.now += time.Second
		h.report("w0", nil)
		h.step(Tick{})
	}
	if w := h.core.workers["w0"]; w.claimed != (graph.Resources{}) || len(w.members) == 0 {
		t.Errorf("after %v an idle worker is still claimed: %+v; its claim times out after %v, its unit is placed after %v", h.now, h.core.workers["w0"].claimed, h.core.claimTimeout(), u.notBefore)
	}
}

// TestRejectedSaveHoldsBackNoEndsOfOtherJobs guards against a job that cannot be stored and keeps the ends of all others on its workers unacknowledged.
func TestRejectedSaveHoldsBackNoEndsOfOtherJobs(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	bad, good := starts(h.submit("bad", 2)), starts(h.submit("good", 2))
	if len(bad) != 1 || len(good) != 1 {
		t.Fatal("not started")
	}
	acknowledged := uint64(0)
	var apply func(actions []Action)
	apply = func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SaveProgress:
				if a.Job == "bad" {
					apply(h.core.Step(h.now, SaveRejected{Job: a.Job, Number: a.Number}))
					continue
				}
				apply(h.core.Step(h.now, ProgressSaved{Job: a.Job, Number: a.Number}))
			case AcknowledgeEnds:
				acknowledged = a.Number
			}
		}
	}
	ends := []graph.RunEnd{{Number: 1, Task: bad[0].Task, Run: bad[0].Run, Kind: graph.EndFailed}, {Number: 2, Task: good[0].Task, Run: good[0].Run, Kind: graph.EndDone}}
	for range 120 {
		h.now += time.Second
		apply(h.core.Step(h.now, WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Ended: ends, Number: 2, WorkerResponsive: true}))
		apply(h.core.Step(h.now, Tick{}))
	}
	if acknowledged < 2 {
		t.Errorf("after %v the ends up to %d are acknowledged, 2 is the end of another job that is stored", h.now, acknowledged)
	}
}

// TestRejectedDoneEndHoldsBackNoEndsOfOthers is the landed test with a first end that is done.
func TestRejectedDoneEndHoldsBackNoEndsOfOthers(t *testing.T) {
	h := newHarness(t)
	h.report("w0", nil)
	bad, good := starts(h.submit("bad", 2)), starts(h.submit("good", 2))
	if len(bad) != 1 || len(good) != 1 {
		t.Fatal("not started")
	}
	acknowledged := uint64(0)
	var apply func(actions []Action)
	apply = func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SaveProgress:
				if a.Job == "bad" {
					apply(h.core.Step(h.now, SaveRejected{Job: a.Job, Number: a.Number}))
					continue
				}
				apply(h.core.Step(h.now, ProgressSaved{Job: a.Job, Number: a.Number}))
			case AcknowledgeEnds:
				acknowledged = a.Number
			}
		}
	}
	ends := []graph.RunEnd{{Number: 1, Task: bad[0].Task, Run: bad[0].Run, Kind: graph.EndDone}, {Number: 2, Task: good[0].Task, Run: good[0].Run, Kind: graph.EndDone}}
	for range 3600 {
		h.now += time.Second
		apply(h.core.Step(h.now, WorkerReport{Worker: h.core.workers["w0"].info, Session: "s", Ended: ends, Number: 2, WorkerResponsive: true}))
		apply(h.core.Step(h.now, Tick{}))
	}
	if acknowledged < 2 {
		t.Errorf("after %v the ends up to %d are acknowledged, 2 is the end of another job that is stored", h.now, acknowledged)
	}
}
