package policy

import (
	"context"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// TestLimits checks the derived times for any limits: a change that is made just
// after a call on a connection that goes silent is read within ApplyTime, an entry
// that never learns of a removed key stops accepting it within RevocationTime, and a
// snapshot stays fresh in normal operation.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			RevocationTime: time.Duration(rapid.IntRange(500, 20000).Draw(t, "key end")) * time.Millisecond,
			ApplyTime:      time.Duration(rapid.IntRange(300, 20000).Draw(t, "apply")) * time.Millisecond,
		}
		if age := l.maxConfirmationAge(); age > l.ApplyTime*3/4 {
			t.Errorf("%+v: a change is read after %v", l, age)
		}
		if end := l.maxConfirmationAge() + l.maxSnapshotAge(); end >= l.RevocationTime {
			t.Errorf("%+v: a key ends after %v", l, end)
		}
		if l.maxSnapshotAge() <= l.maxConfirmationAge() {
			t.Errorf("%+v: fresh for %v, confirmed each %v", l, l.maxSnapshotAge(), l.maxConfirmationAge())
		}
	})
}

// TestDefaultLimits pins the times of the known deployments, which use the defaults.
func TestDefaultLimits(t *testing.T) {
	l := Limits{}.withDefaults()
	if l.wait() != 700*time.Millisecond || l.maxConfirmationAge() != 1200*time.Millisecond || l.maxSnapshotAge() != 3500*time.Millisecond {
		t.Errorf("wait %v, watch %v, fresh %v", l.wait(), l.maxConfirmationAge(), l.maxSnapshotAge())
	}
}

// silentSource answers one read and then no further call.
type silentSource struct{ reads int }

func (s *silentSource) Read(ctx context.Context) (*Snapshot, uint64, error) {
	s.reads++
	if s.reads > 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return &Snapshot{Version: 1}, 1, nil
}

func (s *silentSource) WaitForChange(ctx context.Context, _ uint64, _ time.Duration) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}

// TestSnapshotExpiresBeforeRevocationTime checks that a snapshot that is no longer
// confirmed is discarded before a removed key that it holds must be rejected.
func TestSnapshotExpiresBeforeRevocationTime(t *testing.T) {
	var now time.Duration
	w := NewWatcher(&silentSource{}, Limits{RevocationTime: 2 * time.Second, ApplyTime: time.Second}, func() time.Duration { return now }, metrics.NewRegistry(), zerolog.Nop())
	if _, err := w.read(context.Background()); err != nil {
		t.Fatal(err)
	}
	for ; now < 2*time.Second; now += 10 * time.Millisecond {
		s, _ := w.FreshSnapshot()
		if usable := s != nil; usable != (now <= w.limits.maxSnapshotAge()) {
			t.Fatalf("at %v: usable %v", now, usable)
		}
	}
	if limit := w.limits.maxSnapshotAge() + w.MaxConfirmationAge(); limit >= 2*time.Second {
		t.Errorf("a key is used for %v", limit)
	}
}
