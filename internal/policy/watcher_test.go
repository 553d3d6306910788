package policy

import (
	"context"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// TestLimits shows, for any bounds, that a change which comes just after a watch
// has begun on a connection that goes silent is read in time, that a key ends in
// time at an entry that never hears of its removal, and that a snapshot stays
// fresh while all is well.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			RevocationTime: time.Duration(rapid.IntRange(500, 20000).Draw(t, "key end")) * time.Millisecond,
			ApplyTime:      time.Duration(rapid.IntRange(300, 20000).Draw(t, "apply")) * time.Millisecond,
		}
		if in := l.watch(); in > l.ApplyTime*3/4 {
			t.Errorf("%+v: a change is read after %v", l, in)
		}
		if end := l.watch() + l.fresh(); end >= l.RevocationTime {
			t.Errorf("%+v: a key ends after %v", l, end)
		}
		if l.fresh() <= l.watch() {
			t.Errorf("%+v: fresh for %v, confirmed each %v", l, l.fresh(), l.watch())
		}
	})
}

// TestUsualLimits locks the times of the deployments known so far.
func TestUsualLimits(t *testing.T) {
	l := Limits{}.withDefaults()
	if l.wait() != 700*time.Millisecond || l.watch() != 1200*time.Millisecond || l.fresh() != 3500*time.Millisecond {
		t.Errorf("wait %v, watch %v, fresh %v", l.wait(), l.watch(), l.fresh())
	}
}

// silentSource answers one read and no watch.
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

// TestSnapshotIsUsedUntilKeysMayHaveEnded shows that a snapshot which nothing
// confirms any more is given up before a key that it holds has to end.
func TestSnapshotIsUsedUntilKeysMayHaveEnded(t *testing.T) {
	var now time.Duration
	w := NewWatcher(&silentSource{}, Limits{RevocationTime: 2 * time.Second, ApplyTime: time.Second}, func() time.Duration { return now }, metrics.NewRegistry(), zerolog.Nop())
	if _, err := w.read(context.Background()); err != nil {
		t.Fatal(err)
	}
	for ; now < 2*time.Second; now += 10 * time.Millisecond {
		s, _ := w.FreshSnapshot()
		if usable := s != nil; usable != (now <= w.limits.fresh()) {
			t.Fatalf("at %v: usable %v", now, usable)
		}
	}
	if limit := w.limits.fresh() + w.MaxConfirmationAge(); limit >= 2*time.Second {
		t.Errorf("a key is used for %v", limit)
	}
}
