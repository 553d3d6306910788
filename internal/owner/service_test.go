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

// noReplyLedger holds one row. Its writes take effect but are never answered.
type noReplyLedger struct {
	ledger.Ledger

	mu  sync.Mutex
	row ledger.Row
}

func (m *noReplyLedger) Commit(ctx context.Context, _ ledger.Cause, writes ...ledger.Write) ([]ledger.Row, error) {
	m.mu.Lock()
	if m.row.Version == writes[0].Version {
		m.row = ledger.Row{Key: writes[0].Key, Version: m.row.Version + 1, Data: writes[0].Data}
	}
	m.mu.Unlock()
	<-ctx.Done()
	return nil, ledger.ErrOutcomeUnknown
}

func (m *noReplyLedger) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []ledger.Row{m.row}, nil
}

func (m *noReplyLedger) BreakerOpen() bool { return false }

// TestUnansweredWriteIsReadBack checks that a write whose reply is lost is
// confirmed by reading the row back, well before the write times out.
func TestUnansweredWriteIsReadBack(t *testing.T) {
	s := New(&noReplyLedger{}, "all", Self{ID: "a"}, ledger.NewMonotonicClock(), Config{Log: zerolog.Nop()})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.loops.End)
	ctx, cancel := context.WithTimeout(context.Background(), rowOpTimeout/2)
	defer cancel()
	if !kernel.PollUntil(ctx, 10*time.Millisecond, func() bool { return s.Current().Owner }) {
		t.Fatalf("no owner within %v", rowOpTimeout/2)
	}
}
