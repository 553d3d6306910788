package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// muteLedger is one row whose writes take effect and are not answered.
type muteLedger struct {
	ledger.Ledger

	mu  sync.Mutex
	row ledger.Row
}

func (m *muteLedger) Commit(ctx context.Context, _ ledger.Cause, writes ...ledger.Write) ([]ledger.Row, error) {
	m.mu.Lock()
	if m.row.Version == writes[0].Version {
		m.row = ledger.Row{Key: writes[0].Key, Version: m.row.Version + 1, Data: writes[0].Data}
	}
	m.mu.Unlock()
	<-ctx.Done()
	return nil, ledger.ErrOutcomeUnknown
}

func (m *muteLedger) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []ledger.Row{m.row}, nil
}

func (m *muteLedger) BreakerOpen() bool { return false }

// TestUnansweredWriteIsLookedFor shows that a write whose answer is lost counts
// once the row is as written, long before the write is given up.
func TestUnansweredWriteIsLookedFor(t *testing.T) {
	s := New(&muteLedger{}, "all", Self{ID: "a"}, ledger.NewMonotonicClock(), Config{Log: zerolog.Nop()})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.loops.End)
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout/2)
	defer cancel()
	if !kernel.PollUntil(ctx, 10*time.Millisecond, func() bool { return s.Current().Owner }) {
		t.Fatalf("no owner within %v", opTimeout/2)
	}
}
