// Package bench measures the real processes on loopback. Each benchmark runs
// once, whatever b.N is, and reports its figures as metrics.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

const callTimeout = 10 * time.Second

// firstRun stops the benchmark timer and reports whether this is the first round.
// The benchmarks take their own times and run only in that round.
func firstRun(b *testing.B) bool {
	b.StopTimer()
	return b.N == 1
}

// latencies is a histogram of durations in microseconds, safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Durations above the range of a minute are dropped; no call takes that long.
	_ = l.histogram.RecordValue(max(1, d.Microseconds()))
}

// report reports the median, the 99th percentile and the maximum in milliseconds.
func (l *latencies) report(b *testing.B, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ReportMetric(float64(l.histogram.ValueAtQuantile(50))/1000, name+"-p50-ms")
	b.ReportMetric(float64(l.histogram.ValueAtQuantile(99))/1000, name+"-p99-ms")
	b.ReportMetric(float64(l.histogram.Max())/1000, name+"-max-ms")
}

// shape returns the shape of a gang whose tasks need one accelerator each.
func shape(tasks int, adjacency api.Adjacency) api.Shape {
	return api.Shape{
		Tasks:     tasks,
		PerTask:   api.Resources{Accelerators: 1, MilliCPU: 1000, MemoryMB: 1000},
		Adjacency: adjacency,
	}
}

func job(profile string, s api.Shape, run time.Duration) api.JobRequest {
	return api.JobRequest{
		Profile:        profile,
		Gang:           s,
		Payload:        json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"result":"ok"}`, run.Milliseconds())),
		Idempotent:     true,
		Checkpointable: true,
		DeclaredRun:    api.Duration(run),
	}
}

// awaitJobState polls a job until it reaches the state or is final.
func awaitJobState(b *testing.B, c *client.Client, id string, state api.JobState, limit time.Duration) {
	b.Helper()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		record, err := c.Job(context.Background(), id, 0)
		if err == nil && (record.State == state || record.State == api.JobFinal) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("job %s is not %s after %v", id, state, limit)
}

// startWorkers starts n workers with 8 accelerators each, spread over three zones
// with three workers per rack.
func startWorkers(h *harness.Harness, n int) {
	for i := range n {
		zone := fmt.Sprintf("z%d", i%3+1)
		h.StartWorker(fmt.Sprintf("w%d", i), zone, fmt.Sprintf("%s-r%d", zone, i/9), 8)
	}
}

func profile(name, account string) api.Profile {
	return api.Profile{Name: name, ClientAccount: account}
}
