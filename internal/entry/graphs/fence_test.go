package graphs

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// fenceTable holds the fence row, and a job whose run was ordered in term 7.
type fenceTable struct {
	Table
	fence ledger.Row
}

func (f *fenceTable) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	return []ledger.Row{f.fence}, nil
}

func (f *fenceTable) Scan(context.Context, ledger.Cause, string, string, int) ([]ledger.Row, error) {
	progress := fmt.Sprintf(`{"id":"5c0e7a21d94b36f8","state":"running","tasks":[{"s":0,"i":0,"r":%d,"w":"w"}]}`, 7<<24+5)
	odd := `{"state":"running","tasks":[{"s":0,"i":0,"r":18446744073709551615,"w":"w"}]}`
	return append(rowsOf("5c0e7a21d94b36f8", soundJob, progress), rowsOf("00000000000000ff", soundJob, odd)...), nil
}

func (f *fenceTable) Commit(_ context.Context, _ ledger.Cause, writes ...ledger.Write) ([]ledger.Row, error) {
	if writes[0].Version != f.fence.Version {
		return []ledger.Row{f.fence}, ledger.ErrConflict
	}
	f.fence = ledger.Row{Key: fenceKey, Version: f.fence.Version + 1, Data: writes[0].Data}
	return []ledger.Row{f.fence}, nil
}

// TestOddFenceRowIsReplaced guards against a row of another writer after which no term begins, or begins under a token that workers refuse.
func TestOddFenceRowIsReplaced(t *testing.T) {
	ctx := context.Background()
	for _, data := range []string{``, `7`, `null`, `{}`, `{`, "\xff", `{"epoch":"5"}`, `{"epoch":5,"token":-1}`, `{"epoch":5,"token":1e400}`, `{"epoch":18446744073709551615,"token":9}`, `{"epoch":5,"token":18446744073709551615}`} {
		table := &fenceTable{fence: ledger.Row{Key: fenceKey, Version: 4, Data: json.RawMessage(data), Unreadable: data == ""}}
		s := NewStore(table)
		if epoch, err := FenceEpoch(ctx, table); err == nil {
			t.Errorf("%q: epoch %d", data, epoch)
		}
		token, _, err := s.AdvanceFence(ctx, 5)
		if err != nil || token <= 7 || token > maxToken {
			t.Errorf("%q: token %d, %v", data, token, err)
			continue
		}
		next, _, err := s.AdvanceFence(ctx, 6)
		if epoch, _ := FenceEpoch(ctx, table); err != nil || next != token+rpc.EpochsPerTerm || epoch != 6 {
			t.Errorf("%q: next token %d after %d, epoch %d, %v", data, next, token, epoch, err)
		}
		if _, _, err := s.AdvanceFence(ctx, 5); !errors.Is(err, ledger.ErrConflict) {
			t.Errorf("%q: an earlier owner has begun a term: %v", data, err)
		}
	}
}

// TestRecoveredTokenIsAboveAllUsed guards against a recovered token below those of terms whose runs are not kept.
func TestRecoveredTokenIsAboveAllUsed(t *testing.T) {
	ctx := context.Background()
	table := &fenceTable{fence: ledger.Row{Key: fenceKey, Version: 4, Data: json.RawMessage(`{"epoch":5,"token":50000}`)}}
	s := NewStore(table)
	if token, _, err := s.AdvanceFence(ctx, 5); err != nil || token != 50001 {
		t.Fatalf("token %d, %v", token, err)
	}
	for _, tc := range []struct {
		name  string
		store *Store
		now   time.Time
		want  uint64
	}{
		{"the runs of unfinished jobs", NewStore(table), tokenRecoveryStart.Add(-time.Hour), 7 + tokenRecoveryStep},
		{"the terms of this process", s, tokenRecoveryStart, 50000 + rpc.EpochsPerTerm + tokenRecoveryStep},
		{"the clock", NewStore(table), tokenRecoveryStart.Add(1000 * time.Hour), 3_600_000},
		{"a clock far ahead", NewStore(table), tokenRecoveryStart.Add(100 * 8760 * time.Hour), maxToken / 2},
	} {
		if f, err := tc.store.recoverFence(ctx, tc.now); err != nil || f.Token != tc.want {
			t.Errorf("%s: token %d, want %d, %v", tc.name, f.Token, tc.want, err)
		}
	}
}

// TestEarlierVersionBeginsAboveAllEpochs guards against an owner of an earlier version, whose token is the next after the stored one, that workers refuse after a term of this version.
func TestEarlierVersionBeginsAboveAllEpochs(t *testing.T) {
	table := &fenceTable{fence: ledger.Row{Key: fenceKey, Version: 4, Data: json.RawMessage(`{"epoch":5,"token":9}`)}}
	token, _, err := NewStore(table).AdvanceFence(context.Background(), 6)
	if err != nil || token != 10 {
		t.Fatalf("token %d after 9, %v", token, err)
	}
	e := newWorkerEpochs(token)
	highest := uint64(0)
	for born := range int64(2 * rpc.EpochsPerTerm) {
		highest = max(highest, e.of(plan.WorkerInfo{Instance: "w", StartUnixMillis: born}))
	}
	stored, err := decodeFence(table.fence)
	if next := stored.Token + 1; err != nil || next <= highest {
		t.Errorf("the next owner's token is %d, workers have seen epoch %d, %v", next, highest, err)
	}
}
