package graphs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestFeedDoesNotWaitBehindReports guards against cancellations that take effect late because the reports of all workers go first.
func TestFeedDoesNotWaitBehindReports(t *testing.T) {
	const (
		workers = 200
		cancels = 60
		bound   = 3 * time.Second // callers are promised 5 s, of which the table and the agent take a part
	)
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour, checkTime: time.Millisecond})
	stop := make(chan struct{})
	var reporters sync.WaitGroup
	for i := range workers {
		reporters.Go(func() {
			sess := newSession()
			for n := uint64(1); ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if !term.handleReport(workerReport(fmt.Sprintf("w%d", i), n), sess, term.clock()) {
					t.Error("report rejected")
					return
				}
				sess.takeOrders()
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // until all reporters wait
	var rows []*storedJob
	for i := range cancels {
		rows = append(rows, &storedJob{id: graph.JobID(fmt.Sprintf("j%d", i)), cancelled: true})
	}
	start := time.Now()
	term.loadJobs(rows)
	took := time.Since(start)
	close(stop)
	reporters.Wait()
	if took > bound {
		t.Errorf("%d cancellations took effect after %v while %d workers report, want at most %v", cancels, took, workers, bound)
	}
}
