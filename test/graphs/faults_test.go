package graphs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// putRow writes a row to the table as another program would.
func (f *fleet) putRow(key, value string) {
	f.t.Helper()
	txn := external.Txn{Conds: []external.Cond{{Key: key}}, Puts: []external.Row{{Key: key, Value: json.RawMessage(value)}}}
	if r, err := f.table.Commit(context.Background(), txn); err != nil || !r.Committed {
		f.t.Fatalf("row %q: %+v, %v", key, r, err)
	}
}

// TestUnreadableRowsStopNoOtherJob checks that rows which cannot be decoded neither
// hold back the jobs that follow them in the feed nor keep a term from beginning.
func TestUnreadableRowsStopNoOtherJob(t *testing.T) {
	f := newFleet(t, 2, 2)
	for i, value := range []string{`7`, `{"stamps":[],"data":"text"}`, `{"stamps":[],"data":{"steps":7}}`} {
		for _, kind := range []string{"job", "progress"} {
			f.putRow(fmt.Sprintf("graph/j/bad%d/%s", i, kind), value)
		}
	}
	id := f.submit(f.entries[0], 2)
	f.awaitJobState(f.entries[0], id, graph.Completed)
	f.stopEntry(f.ownerEntry(), true)
	f.await("another owner", func() bool { return f.ownerEntry() != nil })
	e := f.ownerEntry()
	id = f.submit(e, 2)
	f.awaitJobState(e, id, graph.Completed)
}

// TestRestartBringsNoWithdrawnKeyBack checks that an entry which starts while the
// store fails accepts nothing, and that it then knows that a key is withdrawn.
func TestRestartBringsNoWithdrawnKeyBack(t *testing.T) {
	f := newFleet(t, 2, 1)
	withdrawn := snapshot(2)
	withdrawn.Accounts = []policy.ClientAccount{{Name: "a", Keys: []string{"key-2"}}}
	for _, e := range f.entries {
		e.config.set(withdrawn)
	}
	for _, e := range f.entries {
		f.await("the key to be withdrawn", func() bool {
			return e.front.SubmitLocal(f.callFor(f.newID()), jobWithTasks(1)).Outcome == graphs.Unauthorized
		})
	}
	f.stopEntry(f.entries[0], true)
	restarted := f.prepareEntry("e0", f.entries[0].address, f.entryAddresses())
	restarted.config.set(withdrawn)
	restarted.table.refuse.Store(true)
	f.startServices(restarted)
	f.entries[0] = restarted
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := restarted.front.SubmitLocal(f.callFor(f.newID()), jobWithTasks(1)); a.Outcome != graphs.Refused {
			t.Fatalf("submit without a configuration: %+v", a)
		}
	}
	restarted.table.refuse.Store(false)
	f.await("an answer by the configuration", func() bool {
		a := restarted.front.SubmitLocal(f.callFor(f.newID()), jobWithTasks(1))
		if a.Outcome != graphs.Refused && a.Outcome != graphs.Unauthorized {
			t.Fatalf("submit with a withdrawn key: %+v", a)
		}
		return a.Outcome == graphs.Unauthorized
	})
}

// TestRestartBringsNoWorkerBack checks that the next owner starts nothing on a worker
// that has left, although rows still name it.
func TestRestartBringsNoWorkerBack(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.setTaskDuration(time.Minute)
	id := f.submit(f.entries[0], 12)
	f.await("twelve starts", func() bool { return len(f.startCounts(id)) == 12 })
	left := f.agents[0]
	left.keeper.HandleWorkerLeft(left.instance())
	left.stop()
	if err := left.keeper.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	started := len(left.runner.StartedTasks())
	f.agents = f.agents[1:]
	f.stopEntry(f.ownerEntry(), true)
	f.await("another owner", func() bool { return f.ownerEntry() != nil })
	f.submit(f.ownerEntry(), 12)
	time.Sleep(time.Second)
	if n := len(left.runner.StartedTasks()); n != started {
		t.Errorf("%d tasks started on a worker that has left", n-started)
	}
}

// TestUnreadableProgressRunsNothingAgain checks that the next owner does not start a
// job again whose progress it cannot read.
func TestUnreadableProgressRunsNothingAgain(t *testing.T) {
	for _, value := range []string{`7`, `{"stamps":[],"data":7}`} {
		f := newFleet(t, 2, 2)
		id := f.submit(f.entries[0], 2)
		f.awaitJobState(f.entries[0], id, graph.Completed)
		f.await("the progress to be replaced", func() bool {
			key := "graph/j/" + string(id) + "/progress"
			rows, err := f.table.Get(context.Background(), key)
			if err != nil {
				t.Fatal(err)
			}
			r, err := f.table.Commit(context.Background(), external.Txn{Conds: []external.Cond{{Key: key, Version: rows[0].Version}},
				Puts: []external.Row{{Key: key, Value: json.RawMessage(value)}}})
			return err == nil && r.Committed
		})
		f.stopEntry(f.ownerEntry(), true)
		f.await("another owner", func() bool { return f.ownerEntry() != nil })
		next := f.submit(f.ownerEntry(), 2)
		f.awaitJobState(f.ownerEntry(), next, graph.Completed)
		if _, known := f.ownerEntry().scheduler.JobState(context.Background(), id); known {
			t.Errorf("progress %s: the next owner schedules the job", value)
		}
		for task, n := range f.startCounts(id) {
			if n != 1 {
				t.Errorf("progress %s: %v started %d times", value, task, n)
			}
		}
	}
}

// overwriteRow replaces a row of the table as another program would.
func (f *fleet) overwriteRow(key, value string) {
	f.t.Helper()
	f.await("the row to be overwritten", func() bool {
		rows, err := f.table.Get(context.Background(), key)
		if err != nil || rows[0].Version == 0 {
			return false
		}
		r, err := f.table.Commit(context.Background(), external.Txn{
			Conds: []external.Cond{{Key: key, Version: rows[0].Version}},
			Puts:  []external.Row{{Key: key, Value: json.RawMessage(value)}},
		})
		return err == nil && r.Committed
	})
}

// TestOverwrittenOwnershipStopsNoJob guards against a row of another writer in place of the ownership or the fence, after which no job runs.
func TestOverwrittenOwnershipStopsNoJob(t *testing.T) {
	f := newFleet(t, 2, 2)
	for _, value := range []string{`7`, `{"stamps":[],"data":{"epoch":1e400}}`} {
		for _, key := range []string{"owner/" + cell, "graph/fence"} {
			id := f.submit(f.entries[0], 2)
			f.awaitJobState(f.entries[0], id, graph.Completed)
			f.overwriteRow(key, value)
			id = f.submit(f.entries[1], 2)
			f.awaitJobState(f.entries[1], id, graph.Completed)
		}
	}
}
