package graphs_test

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

func TestJobRunsThroughAnyEntry(t *testing.T) {
	f := newFleet(t, 3, 3)
	for _, e := range f.entries {
		id := f.submit(e, 4)
		for _, other := range f.entries {
			f.awaitState(other, id, graph.Completed)
		}
		for task, n := range f.starts(id) {
			if n != 1 {
				t.Errorf("%v began %d times", task, n)
			}
		}
	}
}

func TestSameIDIsOneJob(t *testing.T) {
	f := newFleet(t, 2, 2)
	id := f.submit(f.entries[0], 2)
	f.awaitState(f.entries[0], id, graph.Completed)
	for _, e := range f.entries {
		if a := e.front.Submit(f.call(id), aJob(2)); a.Outcome != graphs.OK {
			t.Fatalf("second submit: %+v", a)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if n := len(f.starts(id)); n != 2 {
		t.Fatalf("%d tasks began, want 2", n)
	}
	for task, n := range f.starts(id) {
		if n != 1 {
			t.Errorf("%v began %d times", task, n)
		}
	}
}

// TestRunningWorkOutlivesItsOwner shows that a task goes on, and is not started
// again, when the owner is killed.
func TestRunningWorkOutlivesItsOwner(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.setWork(4 * time.Second)
	id := f.submit(f.entries[0], 3)
	f.await("three starts", func() bool { return len(f.starts(id)) == 3 })
	f.stopEntry(f.ownerEntry(), true)
	var left *entry
	f.await("another owner", func() bool { left = f.ownerEntry(); return left != nil })
	f.awaitState(left, id, graph.Completed)
	for task, n := range f.starts(id) {
		if n != 1 {
			t.Errorf("%v began %d times", task, n)
		}
	}
}

// TestTakeoverBeforeTheTermIsOver shows that an owner without the table is
// followed long before its term is over, and that no task runs twice while both
// serve workers.
func TestTakeoverBeforeTheTermIsOver(t *testing.T) {
	const term, takeOver = 6 * time.Second, 700 * time.Millisecond
	f := newFleetWithTimes(t, 3, 4, owner.Timing{Lease: term, TakeoverDelay: takeOver})
	f.setWork(3 * time.Second)
	id := f.submit(f.entries[0], 12)
	f.await("twelve starts", func() bool { return len(f.starts(id)) == 12 })
	first := f.ownerEntry()
	first.path.silent.Store(true)
	var next *entry
	f.awaitWithin(term/2, "another owner", func() bool {
		for _, e := range f.entries {
			if e != first && e.owner.Current().Owner {
				next = e
			}
		}
		return next != nil
	})
	more := f.submit(next, 8)
	f.awaitState(next, id, graph.Completed)
	f.awaitState(next, more, graph.Completed)
	for _, job := range []graph.JobID{id, more} {
		for task, n := range f.starts(job) {
			if n != 1 {
				t.Errorf("%v began %d times", task, n)
			}
		}
	}
}

// TestOwnershipLostForAMoment shows that an owner whose term has lapsed in an
// outage, and which nobody has followed, goes on afterwards.
func TestOwnershipLostForAMoment(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.setWork(300 * time.Millisecond)
	e := f.entries[0]
	epoch := e.owner.Current().Epoch
	e.path.refuse.Store(true)
	f.await("a lapsed term", func() bool { return !e.owner.Current().Owner })
	e.path.refuse.Store(false)
	f.await("an owner", func() bool { return e.owner.Current().Owner })
	if now := e.owner.Current().Epoch; now != epoch {
		t.Skipf("ownership was claimed anew: epoch %d after %d", now, epoch)
	}
	var id graph.JobID
	f.await("an accepted job", func() bool {
		id = f.newID()
		return e.front.Submit(f.call(id), aJob(2)).Outcome == graphs.OK
	})
	f.awaitState(e, id, graph.Completed)
}

// TestRestartedWorkerIsNotWaitedFor shows that work which a worker's restart has
// ended begins again long before the lease of the old life would be over.
func TestRestartedWorkerIsNotWaitedFor(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.setWork(1500 * time.Millisecond)
	id := f.submit(f.entries[0], 16)
	f.await("sixteen starts", func() bool { return len(f.starts(id)) == 16 })
	f.agents[0].runner.Restart()
	f.awaitWithin(graphs.LeaseDuration/2, "second starts", func() bool {
		again := 0
		for _, n := range f.starts(id) {
			again += n - 1
		}
		return again == 8
	})
	f.awaitState(f.entries[0], id, graph.Completed)
}

// TestLateOrdersRunNothingTwice shows that starts which a worker carries out
// long after they were sent do not let a task run twice.
func TestLateOrdersRunNothingTwice(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.setWork(200 * time.Millisecond)
	f.agents[0].runner.SetFaults(standin.RunnerFaults{LateBy: 2500 * time.Millisecond})
	id := f.submit(f.entries[0], 12)
	time.Sleep(4 * time.Second)
	f.agents[0].runner.SetFaults(standin.RunnerFaults{})
	f.awaitState(f.entries[0], id, graph.Completed)
	time.Sleep(3 * time.Second)
	for task, n := range f.starts(id) {
		if n != 1 {
			t.Errorf("%v began %d times", task, n)
		}
	}
}

// TestEntryWithoutTableRelays shows that an entry which the table turns away
// serves its callers through another one.
func TestEntryWithoutTableRelays(t *testing.T) {
	f := newFleet(t, 3, 2)
	var cut *entry
	for _, e := range f.entries {
		if e != f.ownerEntry() {
			cut = e
		}
	}
	cut.path.refuse.Store(true)
	f.await("an entry that is not ready", func() bool { return cut.front.Ready() != nil })
	id := f.submit(cut, 2)
	f.awaitState(cut, id, graph.Completed)
}

// TestRefusedJobNeverRuns shows that a refusal while no entry reaches the table
// is true: the job is not there afterwards.
func TestRefusedJobNeverRuns(t *testing.T) {
	f := newFleet(t, 2, 2)
	for _, e := range f.entries {
		e.path.refuse.Store(true)
	}
	id := f.newID()
	a := f.entries[0].front.Submit(f.call(id), aJob(1))
	if a.Outcome != graphs.Refused || a.RetryAfter <= 0 {
		t.Fatalf("submit without table: %+v", a)
	}
	for _, e := range f.entries {
		e.path.refuse.Store(false)
	}
	f.await("a served queue", func() bool { return f.entries[0].front.Lookup(f.call("")).Outcome == graphs.OK })
	time.Sleep(time.Second)
	if a := f.entries[0].front.Lookup(f.call(id)); a.Outcome != graphs.NoJob {
		t.Fatalf("refused job: %+v", a)
	}
	if n := len(f.starts(id)); n > 0 {
		t.Fatalf("%d tasks of a refused job began", n)
	}
}

// TestSilentTableLeavesDoubt shows that nobody is told of a refusal while a
// write may still take effect.
func TestSilentTableLeavesDoubt(t *testing.T) {
	f := newFleet(t, 1, 1)
	e := f.entries[0]
	e.path.silent.Store(true)
	a := e.front.SubmitLocal(f.call(f.newID()), aJob(1))
	if a.Outcome != graphs.Unknown {
		t.Fatalf("submit to a silent table: %+v", a)
	}
}

func TestCancelStopsRunningTasks(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.setWork(time.Minute)
	id := f.submit(f.entries[0], 4)
	f.await("four starts", func() bool { return len(f.starts(id)) == 4 })
	if a := f.entries[1].front.Cancel(f.call(id)); a.Outcome != graphs.OK {
		t.Fatalf("cancel: %+v", a)
	}
	f.awaitState(f.entries[0], id, graph.Cancelled)
	f.awaitWithin(3*time.Second, "idle workers", func() bool {
		return f.agents[0].runner.Running()+f.agents[1].runner.Running() == 0
	})
	if a := f.entries[0].front.Cancel(f.call(f.newID())); a.Outcome != graphs.NoJob {
		t.Fatalf("cancel of a job that does not exist: %+v", a)
	}
}

func TestKeysAndQueues(t *testing.T) {
	f := newFleet(t, 1, 1)
	e := f.entries[0]
	call := f.call(f.newID())
	call.Key = "stolen"
	if a := e.front.Submit(call, aJob(1)); a.Outcome != graphs.Unauthorized {
		t.Errorf("unknown key: %+v", a)
	}
	call = f.call(f.newID())
	call.Path = "/elsewhere/" + string(f.newID())
	if a := e.front.Submit(call, aJob(1)); a.Outcome != graphs.NoQueue {
		t.Errorf("unknown queue: %+v", a)
	}
	if a := e.front.Submit(f.call("xyz"), aJob(1)); a.Outcome != graphs.Invalid {
		t.Errorf("malformed ID: %+v", a)
	}
	next := snapshot(2)
	next.Accounts[0].Keys = nil
	e.operator.set(next)
	f.await("a key without effect", func() bool {
		return e.front.Lookup(f.call(f.newID())).Outcome == graphs.Unauthorized
	})
	// A version that is lower again must not bring the key back.
	e.operator.set(snapshot(1))
	time.Sleep(time.Second)
	if a := e.front.Lookup(f.call(f.newID())); a.Outcome != graphs.Unauthorized {
		t.Fatalf("removed key after a lower version: %+v", a)
	}
}

// TestFailingTaskFailsItsJob shows that attempts are counted, across a change of
// the owner too, and then the job is answered failed.
func TestFailingTaskFailsItsJob(t *testing.T) {
	f := newFleet(t, 2, 3)
	for _, a := range f.agents {
		a.runner.Fails = func(graph.TaskID, uint64) bool { return true }
	}
	f.setWork(700 * time.Millisecond)
	id := f.submit(f.entries[0], 1)
	f.await("a start", func() bool { return len(f.starts(id)) == 1 })
	f.stopEntry(f.ownerEntry(), true)
	var left *entry
	f.await("another owner", func() bool { left = f.ownerEntry(); return left != nil })
	f.awaitState(left, id, graph.Failed)
	for task, n := range f.starts(id) {
		if n != 3 {
			t.Errorf("%v began %d times, want 3 attempts", task, n)
		}
	}
}

// TestFeedHistoryGone shows that jobs are found although the table no longer
// tells what has changed.
func TestFeedHistoryGone(t *testing.T) {
	f := newFleet(t, 1, 1)
	for range 5 {
		id := f.submit(f.entries[0], 1)
		f.table.Forget()
		f.awaitState(f.entries[0], id, graph.Completed)
	}
}

// TestDrainingWorkerGetsNothing shows that nothing starts on a worker that has
// said that it leaves.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.agents[0].drains.Store(true)
	time.Sleep(500 * time.Millisecond)
	id := f.submit(f.entries[0], 6)
	f.awaitState(f.entries[0], id, graph.Completed)
	if n := len(f.agents[0].runner.Starts()); n > 0 {
		t.Fatalf("%d tasks began on a draining worker", n)
	}
}

// TestRelayedVersionIsNotForgotten shows that an entry whose callers have seen a
// newer configuration through another entry does not answer by its own older
// one afterwards.
func TestRelayedVersionIsNotForgotten(t *testing.T) {
	f := newFleet(t, 3, 1)
	var cut *entry
	for _, e := range f.entries {
		if e != f.ownerEntry() {
			cut = e
		}
	}
	cut.path.refuse.Store(true)
	f.await("an entry without its store", func() bool { return cut.front.Ready() != nil })
	for _, e := range f.entries {
		if e == cut {
			continue
		}
		next := snapshot(2)
		next.Queues = append(next.Queues, next.Queues[0])
		next.Queues[1].Name, next.Queues[1].PathPrefix = "added", "/added/"
		e.operator.set(next)
	}
	call := graphs.Call{Host: queueHost, Path: "/added/", Key: callerKey, Wait: 2 * time.Second}
	f.await("an added queue", func() bool { return cut.front.Lookup(call).Outcome == graphs.OK })
	cut.path.refuse.Store(false)
	f.await("an entry with its store", func() bool { return cut.front.Ready() == nil })
	for range 20 {
		if a := cut.front.Lookup(call); a.Outcome == graphs.NoQueue {
			t.Fatalf("queue that was there is gone: %+v", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOwnerWithoutTableHandsOver shows that an owner which alone is turned away
// by the table is followed long before its term would have ended.
func TestOwnerWithoutTableHandsOver(t *testing.T) {
	const term = 6 * time.Second
	f := newFleetWithTerm(t, 3, 2, term)
	old := f.ownerEntry()
	old.path.refuse.Store(true)
	f.awaitWithin(term/3, "another owner", func() bool {
		e := f.ownerEntry()
		return e != nil && e != old
	})
	if old.owner.Current().Owner {
		t.Fatal("two entries own scheduling")
	}
	id := f.submit(old, 2)
	f.awaitState(old, id, graph.Completed)
}

// TestOwnerStaysWithoutTableEverywhere shows that the ownership is not given up
// in an outage that all entries see.
func TestOwnerStaysWithoutTableEverywhere(t *testing.T) {
	f := newFleetWithTerm(t, 2, 1, 4*time.Second)
	old := f.ownerEntry()
	for _, e := range f.entries {
		e.path.refuse.Store(true)
	}
	time.Sleep(2 * time.Second)
	if f.ownerEntry() != old {
		t.Fatal("the owner has given its term up")
	}
}

// TestOwnerStaysWhileTableIsSlow shows that the ownership is not given to an
// entry that would be slow to begin its term, as the table is slow for it too.
func TestOwnerStaysWhileTableIsSlow(t *testing.T) {
	f := newFleetWithTerm(t, 3, 1, 4*time.Second)
	old := f.ownerEntry()
	for _, e := range f.entries {
		e.path.delay.Store(int64(200 * time.Millisecond))
	}
	old.path.silent.Store(true)
	time.Sleep(2500 * time.Millisecond)
	if f.ownerEntry() != old {
		t.Fatal("the owner has given its term up")
	}
}
