package graphs

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// repairTerm returns a term that has read a job's rows, and a function that writes a row of it and passes the change on as the feed does.
func repairTerm(t *testing.T, rows ...ledger.Row) (*term, func(key string, data string)) {
	t.Helper()
	ctx := context.Background()
	s := NewStore(ledger.New(standin.NewFeedTable(), ledger.Config{Budgets: map[ledger.Cause]ledger.Budget{}}))
	versions := map[string]uint64{}
	commit := func(key, data string) ledger.Row {
		w := ledger.Write{Key: key, Version: versions[key], Data: json.RawMessage(data), Delete: data == ""}
		written, err := s.table.Commit(ctx, ledger.CauseJob, w)
		if err != nil {
			t.Fatal(err)
		}
		versions[key] = written[0].Version
		return written[0]
	}
	for _, r := range rows {
		commit(r.Key, string(r.Data))
	}
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	term.store = s
	jobs, err := s.LoadJobs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	term.loadJobs(jobs)
	return term, func(key, data string) {
		after, err := s.table.Newest(ctx)
		if err != nil {
			t.Fatal(err)
		}
		commit(key, data)
		changed, _, err := s.table.Feed(ctx, jobsPrefix, after, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if err := term.applyRows(ctx, changed); err != nil {
			t.Fatal(err)
		}
	}
}

const doneProgress = `{"id":"00000000000000aa","state":"completed","tasks":[{"s":0,"i":0,"d":true},{"s":0,"i":1,"d":true}],"end":"2026-02-07T15:23:55Z"}`

// TestRepairedJobKeepsItsProgress guards against tasks that were done and run again, or a job that stands still, once an unreadable row of the job was repaired.
func TestRepairedJobKeepsItsProgress(t *testing.T) {
	const id = graph.JobID("00000000000000aa")
	for name, rows := range map[string][2]string{"job": {`{"steps":7}`, doneProgress}, "progress": {soundJob, `{"state":7}`}} {
		term, write := repairTerm(t, rowsOf(string(id), rows[0], rows[1])...)
		if _, known := term.core.JobStatus(id); known || !term.core.Unreadable(id) {
			t.Fatalf("%s row: the job is taken for readable", name)
		}
		if name == "job" {
			write(jobKey(id), soundJob)
		} else {
			write(progressKey(id), doneProgress)
		}
		if status, known := term.core.JobStatus(id); !known || status.State != graph.Completed {
			t.Errorf("%s row repaired: known %v, %q, want completed", name, known, status.State)
		}
	}
}

// TestRemovedUnreadableJobIsForgotten guards against ends that wait for a job that an operator has removed.
func TestRemovedUnreadableJobIsForgotten(t *testing.T) {
	const id = graph.JobID("00000000000000aa")
	term, write := repairTerm(t, rowsOf(string(id), `{"steps":7}`, "")...)
	if !term.core.Unreadable(id) {
		t.Fatal("the job is taken for readable")
	}
	write(jobKey(id), "")
	if term.core.Unreadable(id) {
		t.Error("still unreadable after its removal")
	}
}
