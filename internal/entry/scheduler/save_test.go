package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// doubtfulLedger applies the first commit after arm but loses its answer, and
// is down for the given number of reads after that.
type doubtfulLedger struct {
	ledger.Ledger
	armed bool
	down  int
}

func (l *doubtfulLedger) Commit(ctx context.Context, cause ledger.Cause, writes ...ledger.Write) ([]ledger.Row, error) {
	rows, err := l.Ledger.Commit(ctx, cause, writes...)
	if l.armed {
		l.armed = false
		return nil, ledger.ErrOutcomeUnknown
	}
	return rows, err
}

func (l *doubtfulLedger) Get(ctx context.Context, cause ledger.Cause, keys ...string) ([]ledger.Row, error) {
	if !l.armed && l.down > 0 {
		l.down--
		return nil, ledger.ErrDown
	}
	return l.Ledger.Get(ctx, cause, keys...)
}

func TestSaveInDoubtIsNotReportedAsNotWritten(t *testing.T) {
	table := &doubtfulLedger{Ledger: ledger.New(standin.NewTable(), ledger.Config{})}
	store := jobs.NewStore(table, "cell")
	job := api.Job{ID: "j", Profile: "p", Submitted: time.Now().UTC()}
	record, _, err := store.Create(context.Background(), job)
	if err != nil {
		t.Fatal(err)
	}
	table.armed, table.down = true, 2
	s := &Service{store: store, registry: metrics.NewRegistry(), log: zerolog.Nop()}
	tm := newTerm(s, 1, 0)
	defer tm.end()
	record.State, record.Attempt = api.JobRunning, 1
	if _, err := tm.write(record); err != nil {
		t.Errorf("the save ends with %v, although the row was written", err)
	}
	if got, err := store.One(context.Background(), "j"); err != nil || got.Attempt != 1 {
		t.Fatalf("row %+v, error %v", got, err)
	}
}

func TestSaveThatNothingCameOfFails(t *testing.T) {
	table := &doubtfulLedger{Ledger: ledger.New(standin.NewTable(), ledger.Config{}), down: 1}
	s := &Service{store: jobs.NewStore(table, "cell"), registry: metrics.NewRegistry(), log: zerolog.Nop()}
	tm := newTerm(s, 1, 0)
	defer tm.end()
	if _, err := tm.write(api.JobRecord{Job: api.Job{ID: "j"}, State: api.JobRunning}); !nothingWritten(err) {
		t.Errorf("error %v of a save that was refused", err)
	}
}
