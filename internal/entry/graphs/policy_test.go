package graphs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// changingSource is a configuration that changes whenever it has been read, up to a
// version.
type changingSource struct{ version, last atomic.Uint64 }

const changeInterval = 10 * time.Millisecond

func (s *changingSource) Read(context.Context) (*policy.Snapshot, uint64, error) {
	v := s.version.Add(1)
	return &policy.Snapshot{Version: v}, v, nil
}

func (s *changingSource) WaitForChange(context.Context, uint64, time.Duration) (bool, error) {
	time.Sleep(changeInterval)
	return s.version.Load() < s.last.Load(), nil
}

// startServices starts services that are stopped when the test ends.
func startServices(t *testing.T, services ...interface {
	Start(context.Context) error
	Stop(context.Context) error
}) {
	t.Helper()
	for _, service := range services {
		if err := service.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := service.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}

func awaitVersion(t *testing.T, w *policy.Watcher, version uint64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(changeInterval) {
		latest := w.LatestSnapshot()
		if latest != nil && latest.Version == version {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("newest configuration after 2 s: %+v, want version %d", latest, version)
		}
	}
}

// TestLateTermDoesNotDelayConfiguration guards against an entry that reads no configuration while its term is late.
func TestLateTermDoesNotDelayConfiguration(t *testing.T) {
	const changes = 5
	source := &changingSource{}
	source.last.Store(changes)
	s := newConfiguredScheduler(&fakeOwnership{now: time.Second}, source) // not the owner: it begins no term itself
	term, _, _ := newTermOf(s)
	s.setTerm(term)
	startServices(t, s, s.policies)
	term.mu.Lock() // as a long scheduling pass does
	defer term.mu.Unlock()
	awaitVersion(t, s.policies, changes)
}

// TestTermAppliesNewestConfiguration guards against a term that stays at an earlier configuration, also one that changed before the term was in progress.
func TestTermAppliesNewestConfiguration(t *testing.T) {
	source := &changingSource{}
	s := newConfiguredScheduler(&fakeOwnership{now: time.Second, ends: time.Hour}, source)
	term, _, _ := newTermOf(s)
	startServices(t, s.policies)
	for version := uint64(1); version <= 3; version++ {
		source.last.Store(version)
		awaitVersion(t, s.policies, version)
		term.step(plan.Tick{})
		if term.policy == nil || term.policy.Version != version {
			t.Errorf("configuration in force %+v, want version %d", term.policy, version)
		}
	}
}
