package graphs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

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
				if !term.handleReport(context.Background(), workerReport(fmt.Sprintf("w%d", i), n), sess, term.clock()) {
					t.Error("report rejected")
					return
				}
				sess.takeOrders()
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // until all reporters wait
	start := time.Now()
	for i := range cancels { // as they come when each call of the feed returns one row
		term.loadJobs([]*storedJob{{id: graph.JobID(fmt.Sprintf("j%d", i)), cancelled: true}})
	}
	took := time.Since(start)
	close(stop)
	reporters.Wait()
	if took > bound {
		t.Errorf("%d cancellations took effect after %v while %d workers report, want at most %v", cancels, took, workers, bound)
	}
}

// TestReportOfEndedConnectionIsDropped guards against an owner that serves connections which its agents have given up before those that wait.
func TestReportOfEndedConnectionIsDropped(t *testing.T) {
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	term.mu.Lock()
	var first sync.WaitGroup
	first.Go(func() { term.handleReport(context.Background(), workerReport("w0", 1), newSession(), term.clock()) })
	for len(term.reportTurn) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	handled := make(chan bool, 1)
	go func() { handled <- term.handleReport(ctx, workerReport("w1", 1), newSession(), term.clock()) }()
	time.Sleep(50 * time.Millisecond) // until the second report waits too
	cancel()
	select {
	case ok := <-handled:
		if ok {
			t.Error("report of an ended connection answered")
		}
	case <-time.After(5 * time.Second):
		t.Error("report of an ended connection waits")
	}
	term.mu.Unlock()
	first.Wait()
	if term.sessions["w0"] == nil || term.sessions["w1"] != nil {
		t.Errorf("sessions %v, want only that of w0", term.sessions)
	}
	if n := term.lag.waiting.Load(); n != 0 {
		t.Errorf("%d events count as waiting", n)
	}
}

// TestWaitOfReportsIsMeasured guards against an owner that is late with its reports and does not show it.
func TestWaitOfReportsIsMeasured(t *testing.T) {
	const reports, checkTime = 10, 20 * time.Millisecond
	start := time.Now()
	o := &fakeOwnership{now: time.Second, ends: time.Hour, checkTime: checkTime}
	term, _, _ := newTestTerm(o)
	term.lag.clock = func() time.Duration { return time.Since(start) }
	var reporters sync.WaitGroup
	for i := range reports {
		reporters.Go(func() {
			term.handleReport(context.Background(), workerReport(fmt.Sprintf("w%d", i), 1), newSession(), term.clock())
		})
	}
	reporters.Wait()
	wait := time.Duration(metrics.GetOrRegisterTimer("plan.event_wait", term.registry).Max())
	if least := (reports - 2) * checkTime; wait < least {
		t.Errorf("longest wait %v with %d reports that take %v each, want at least %v", wait, reports, checkTime, least)
	}
}
