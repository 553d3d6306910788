package httpapi

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
)

func TestPlannedStopEndsJobWait(t *testing.T) {
	serving, stop := context.WithCancel(context.Background())
	a := &API{Waiters: jobs.NewWaiters(nil), Serving: func() context.Context { return serving }}
	result := make(chan api.JobRecord, 1)
	go func() {
		result <- a.awaitJob("j", maxWait, api.JobRecord{State: api.JobRunning})
	}()
	stop()
	select {
	case record := <-result:
		if record.State != api.JobRunning {
			t.Fatalf("state %q, want the state before the wait", record.State)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the caller still waits 10s after the stop began")
	}
}
