package graphs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// TestQueriesEndWithTheirCallers guards against queries that pile up at an owner that is late, as their callers ask again.
func TestQueriesEndWithTheirCallers(t *testing.T) {
	const rounds, callers = 4, 25
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	s := newTestScheduler(term.owner.(*fakeOwnership))
	s.setTerm(term)
	server := &Server{scheduler: s}
	queries := map[string]func(context.Context){
		"JobStatus": func(ctx context.Context) {
			if r, err := server.JobStatus(ctx, &rpc.JobStatusRequest{Job: "j"}); err == nil && r.Known {
				t.Error("an unknown job is known")
			}
		},
		"PendingJobs": func(ctx context.Context) {
			if r, err := server.PendingJobs(ctx, &rpc.PendingJobsRequest{Queue: "q"}); err == nil && r.Pending != 0 {
				t.Errorf("%d pending jobs of no job", r.Pending)
			}
		},
	}
	var waiting atomic.Int32
	term.mu.Lock() // as a long scheduling pass does
	for range rounds {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		for _, query := range queries {
			for range callers {
				waiting.Add(1)
				go func() {
					defer waiting.Add(-1)
					query(ctx)
				}()
			}
		}
		<-ctx.Done()
		cancel()
	}
	time.Sleep(100 * time.Millisecond)
	if n := waiting.Load(); n > 1 {
		t.Errorf("%d queries wait for the lock after their callers have given up, want at most 1", n)
	}
	term.mu.Unlock()
	for name, query := range queries {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		query(ctx)
		if ctx.Err() != nil {
			t.Errorf("%s: no answer once the lock is free", name)
		}
		cancel()
	}
	for end := time.Now().Add(5 * time.Second); waiting.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d queries still wait", waiting.Load())
		}
	}
}
