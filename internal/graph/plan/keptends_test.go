package plan

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// endOfUnreadable returns an owner with an end of the given kind of job "odd" on w0, and the ends that it saves.
func endOfUnreadable(t *testing.T, kind graph.EndKind) (*harness, SaveEnds) {
	t.Helper()
	h := newHarness(t)
	h.step(JobUnreadable{Job: "odd"})
	h.report("w0", nil)
	saved, ok := first[SaveEnds](h.report("w0", nil, graph.RunEnd{Number: 1, Task: graph.TaskID{Job: "odd"}, Run: 5, Kind: kind}))
	if !ok || len(saved.Ends) != 1 {
		t.Fatalf("saved %+v", saved)
	}
	return h, saved
}

// TestStoredEndOfUnreadableJobIsAcknowledged guards against ends that hold back others although they are stored, and against ones that are acknowledged while the table rejects them.
func TestStoredEndOfUnreadableJobIsAcknowledged(t *testing.T) {
	for _, rejected := range []bool{true, false} {
		h, saved := endOfUnreadable(t, graph.EndDone)
		a, ok := first[AcknowledgeEnds](h.step(EndsSaved{Job: "odd", Number: saved.Number, Rejected: rejected}))
		if ok == rejected || ok && a.Number != 1 {
			t.Errorf("rejected %v: acknowledged %v, %+v", rejected, ok, a)
		}
	}
}

// TestNextOwnerKnowsEndsOfUnreadableJob guards against a done task that starts again under an owner after the one that acknowledged its end.
func TestNextOwnerKnowsEndsOfUnreadableJob(t *testing.T) {
	for _, repairedFirst := range []bool{true, false} {
		_, saved := endOfUnreadable(t, graph.EndDone)
		next := newHarness(t)
		odd := unreadableJob()
		if repairedFirst {
			odd.Ends = saved.Ends
		} else {
			next.step(JobUnreadable{Job: "odd", Ends: saved.Ends})
		}
		next.report("w0", nil)
		s := starts(append(next.step(odd), next.report("w0", nil)...))
		if status, _ := next.core.JobStatus("odd"); len(s) > 0 || status.State != graph.Completed {
			t.Errorf("repaired first %v: %s, %d starts", repairedFirst, status.State, len(s))
		}
	}
}

// TestEndOfUnreadableJobOutlivesItsWorker guards against an end that the owner has seen and forgets as the worker starts again.
func TestEndOfUnreadableJobOutlivesItsWorker(t *testing.T) {
	h, _ := endOfUnreadable(t, graph.EndDone)
	info := h.core.workers["w0"].info
	info.StartUnixMillis++
	h.step(WorkerReport{Worker: info, Session: "s2", Number: 1, WorkerResponsive: true})
	h.step(unreadableJob())
	if status, _ := h.core.JobStatus("odd"); status.State != graph.Completed {
		t.Errorf("the job is %s", status.State)
	}
}

// TestKeptEndsAreBounded guards against ends of one job that do not fit into a row.
func TestKeptEndsAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 2000 {
		h.core.keepEnd(graph.RunEnd{Task: graph.TaskID{Job: "odd", Index: i}, Run: uint64(i), Kind: graph.EndStopped, Checkpoint: strings.Repeat("c", 1+i%(2*graph.MaxCheckpointBytes))})
	}
	k := h.core.keptEnds["odd"]
	if k.bytes > maxKeptBytes || len(k.ends) < maxKeptBytes/(keptEndBytes+graph.MaxCheckpointBytes) {
		t.Errorf("%d ends of %d bytes", len(k.ends), k.bytes)
	}
}

// endQueue plays a worker with ends in a row, of which it lists the oldest ones, against a table that takes nothing of job "bad" but perhaps the ends beside it.
type endQueue struct {
	*harness
	ends      []graph.RunEnd
	takesEnds bool
	takesNone bool           // of good either
	stored    []graph.RunEnd // beside the progress of bad
}

const listedEnds = 500

// newEndQueue returns a worker on which the tasks of bad and good have ended, those of bad first.
func newEndQueue(t *testing.T, bad, good int, takesEnds bool) *endQueue {
	q := &endQueue{harness: newHarness(t), takesEnds: takesEnds}
	q.report("w0", nil)
	for id, count := range map[graph.JobID]int{"bad": bad, "good": good} {
		q.step(placedJob(id, count))
	}
	for i := range bad + good {
		id, index := graph.JobID("bad"), i
		if i >= bad {
			id, index = "good", i-bad
		}
		q.ends = append(q.ends, graph.RunEnd{Number: uint64(i + 1), Task: graph.TaskID{Job: id, Index: index}, Run: uint64(index + 1), Kind: graph.EndDone})
	}
	return q
}

// placedJob returns a job with the given number of tasks, which are all on w0.
func placedJob(id graph.JobID, count int) JobSubmitted {
	e := unreadableJob()
	e.Job.ID, e.Job.Steps[0].Count = id, count
	e.Progress = &graph.Progress{Job: id, State: graph.Running}
	for i := range count {
		e.Progress.Tasks = append(e.Progress.Tasks, graph.TaskProgress{Index: i, Run: uint64(i + 1), Worker: "w0", Incarnation: "i-w0@1"})
	}
	return e
}

func (q *endQueue) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SaveProgress:
			if a.Job == "bad" || q.takesNone {
				q.apply(q.core.Step(q.now, SaveRejected{Job: a.Job, Number: a.Number}))
				continue
			}
			q.apply(q.core.Step(q.now, ProgressSaved{Job: a.Job, Number: a.Number}))
		case SaveEnds:
			if q.takesEnds {
				q.stored = a.Ends
			}
			q.apply(q.core.Step(q.now, EndsSaved{Job: a.Job, Number: a.Number, Rejected: !q.takesEnds}))
		case AcknowledgeEnds:
			q.ends = slices.DeleteFunc(q.ends, func(e graph.RunEnd) bool { return e.Number <= a.Number })
		}
	}
}

// emptiedAfter returns when the worker has no ends left, or limit.
func (q *endQueue) emptiedAfter(limit time.Duration) time.Duration {
	for ; q.now < limit && len(q.ends) > 0; q.now += time.Second {
		report := WorkerReport{Worker: q.core.workers["w0"].info, Session: "s", Ended: slices.Clone(q.ends), Number: 2, WorkerResponsive: true}
		if len(q.ends) > listedEnds {
			report.Ended, report.MoreEnds = report.Ended[:listedEnds], true
		}
		q.apply(q.core.Step(q.now, report))
		q.apply(q.core.Step(q.now, Tick{}))
	}
	return q.now
}

// TestEndsOfRejectedJobAreStoredBesideIt guards against ends that hold back others although the table takes them, and against a later owner that starts a done task again.
func TestEndsOfRejectedJobAreStoredBesideIt(t *testing.T) {
	q := newEndQueue(t, 1, 1, true)
	if at := q.emptiedAfter(2 * maxUnreadableHold); at < maxHoldBack || at > 3*maxHoldBack {
		t.Errorf("%d ends left at %v", len(q.ends), at)
	}
	next := newHarness(t)
	loaded := placedJob("bad", 1)
	loaded.Ends = q.stored
	next.report("w0", nil)
	s := starts(append(next.step(loaded), next.report("w0", nil)...))
	if status, _ := next.core.JobStatus("bad"); len(s) > 0 || status.State != graph.Completed {
		t.Errorf("next owner: %s, %d starts", status.State, len(s))
	}
}

// TestTableThatRejectsEverythingAcknowledgesNoEnds guards against ends behind a cut list that are acknowledged although nothing of them is stored.
func TestTableThatRejectsEverythingAcknowledgesNoEnds(t *testing.T) {
	q := newEndQueue(t, 1, 2*listedEnds, false)
	q.takesNone = true
	q.emptiedAfter(3 * maxUnreadableHold)
	if status, _ := q.core.JobStatus("bad"); len(q.ends) != 1+2*listedEnds || status.State.Final() {
		t.Errorf("%d ends left, bad is %s", len(q.ends), status.State)
	}
}

// TestRejectedEndsLeaveCutLists guards against a list of ends that stays cut, as rejected ones at its head are never acknowledged.
func TestRejectedEndsLeaveCutLists(t *testing.T) {
	for name, c := range map[string]struct {
		bad, good int
		takesEnds bool
		limit     time.Duration
	}{
		"one rejected end":              {1, 2 * listedEnds, true, 3 * maxHoldBack},
		"one that is stored nowhere":    {1, 2 * listedEnds, false, maxUnreadableHold + maxHoldBack},
		"a list of rejected ends":       {listedEnds, 100, true, 2 * maxHoldBack},
		"more of them than a row takes": {2 * listedEnds, 100, true, 2 * maxUnreadableHold},
	} {
		q := newEndQueue(t, c.bad, c.good, c.takesEnds)
		at := q.emptiedAfter(c.limit)
		t.Logf("%s: %d ends left at %v", name, len(q.ends), at)
		if len(q.ends) > 0 {
			t.Errorf("%s: the list stays as it is", name)
		}
	}
}

// TestLateAnswerStoresNoLaterEnd guards against an end that is acknowledged unstored: the answer is that of a save from before the progress of its job was stored, and with it the ends until then.
func TestLateAnswerStoresNoLaterEnd(t *testing.T) {
	h := newHarness(t)
	const id = "00000000000000aa"
	end := func(index int) graph.RunEnd {
		return graph.RunEnd{Task: graph.TaskID{Job: id, Index: index}, Run: uint64(index + 1), Kind: graph.EndDone}
	}
	h.core.keepEnd(end(0))
	first := h.core.keptEnds[id].saveNumber
	delete(h.core.keptEnds, id) // as with a progress that is stored
	h.core.keepEnd(end(1))
	h.step(EndsSaved{Job: id, Number: first})
	if h.core.keepEnd(end(1)) {
		t.Error("stored, though its save has no answer")
	}
	h.step(EndsSaved{Job: id, Number: h.core.keptEnds[id].saveNumber})
	if !h.core.keepEnd(end(1)) {
		t.Error("not stored after the answer of its save")
	}
}
