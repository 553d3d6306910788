package agent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

type renewCall struct {
	ids []string
	end time.Time // of the lease, if the worker receives the call now
}

// heldWorker hands each renewal over to the test and answers it once release is
// written to.
type heldWorker struct {
	external.Worker
	calls   chan renewCall
	release chan struct{}
}

func (w *heldWorker) Renew(_ context.Context, ids []string, leaseMS int64) error {
	w.calls <- renewCall{ids, time.Now().Add(time.Duration(leaseMS) * time.Millisecond)}
	<-w.release
	return nil
}

func newHeldWorker() (*taskHost, *heldWorker) {
	w := &heldWorker{calls: make(chan renewCall), release: make(chan struct{})}
	a := New(Config{ID: "a", Kind: KindWorker}, nil, w, metrics.NewRegistry(), zerolog.Nop())
	return a.tasks, w
}

func (h *taskHost) renewUntil(leaseEnd time.Duration, ids ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(groups.RenewTasks{IDs: ids, Lease: leaseEnd - h.agent.now(), LeaseEnd: leaseEnd})
}

func (w *heldWorker) next(t *testing.T) renewCall {
	t.Helper()
	select {
	case c := <-w.calls:
		return c
	case <-time.After(20 * time.Second):
		t.Fatal("no renewal within 20s")
		return renewCall{}
	}
}

// Guards against a slow worker that is sent renewals whose leases are almost over, and so stops tasks.
func TestSlowWorkerIsSentTheNewestRenewal(t *testing.T) {
	h, w := newHeldWorker()
	h.renewUntil(10*time.Second, "t")
	w.next(t)
	const newest = 30 * time.Second
	for end := 11 * time.Second; end <= newest; end += time.Second {
		h.renewUntil(end, "t")
	}
	w.release <- struct{}{}
	got := w.next(t)
	if want := h.agent.started.Add(newest - pauseLimit); want.Sub(got.end) > time.Second {
		t.Errorf("the next renewal ends %v before the newest lease", want.Sub(got.end))
	}
	w.release <- struct{}{}
	for deadline := time.Now().Add(20 * time.Second); !h.ops.idle(); time.Sleep(time.Millisecond) {
		select {
		case <-w.calls:
			t.Fatal("a replaced renewal was sent")
		default:
		}
		if time.Now().After(deadline) {
			t.Fatal("renewals are pending after the newest was sent")
		}
	}
}

// Guards against tasks that outlive their group's lease since another group was renewed while the worker was slow.
func TestPendingRenewalsKeepTheLeaseOfEachGroup(t *testing.T) {
	h, w := newHeldWorker()
	h.renewUntil(10*time.Second, "first")
	w.next(t)
	h.renewUntil(20*time.Second, "a", "b")
	h.renewUntil(40*time.Second, "b", "c")
	leases := map[string]time.Duration{"a": 20 * time.Second, "b": 40 * time.Second, "c": 40 * time.Second}
	var seen []string
	for range 2 {
		w.release <- struct{}{}
		c := w.next(t)
		for _, id := range c.ids {
			if end := h.agent.started.Add(leases[id]); c.end.After(end) || end.Sub(c.end) > time.Second {
				t.Errorf("%s is renewed until %v from the end of its lease", id, c.end.Sub(end))
			}
		}
		seen = append(seen, c.ids...)
	}
	w.release <- struct{}{}
	if slices.Sort(seen); !slices.Equal(seen, []string{"a", "b", "c"}) {
		t.Errorf("renewed %q, want each task once", seen)
	}
}

// Guards against a group that is never renewed on a slow worker, because others are renewed again before it.
func TestRenewedAgainDoesNotOvertake(t *testing.T) {
	h, w := newHeldWorker()
	h.renewUntil(10*time.Second, "first")
	w.next(t)
	renewed := map[string]int{}
	for i := range 6 {
		for j := range 3 {
			h.renewUntil(time.Duration(20+3*i+j)*time.Second, fmt.Sprint("group ", j))
		}
		w.release <- struct{}{}
		for _, id := range w.next(t).ids {
			renewed[id]++
		}
	}
	for j := range 3 {
		if id := fmt.Sprint("group ", j); renewed[id] != 2 {
			t.Errorf("%s was renewed %d times of 6, want 2", id, renewed[id])
		}
	}
}
