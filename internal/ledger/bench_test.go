package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Parameters of the benchmarks.
const (
	benchLatency  = 2 * time.Millisecond
	benchBurst    = 2000
	benchJobBytes = 700
	benchJobs     = 8000
)

var benchData = json.RawMessage(`"` + strings.Repeat("x", benchJobBytes) + `"`)

// burst commits one row for each of benchBurst jobs concurrently, each from its own
// goroutine.
func burst(b *testing.B, c *Client, round int) {
	var wg sync.WaitGroup
	for i := range benchBurst {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := Write{Key: fmt.Sprintf("job/%d-%d", round, i), Data: benchData}
			if _, err := c.Commit(context.Background(), CauseJob, w); err != nil {
				b.Error(err)
			}
		}()
	}
	wg.Wait()
}

// BenchmarkJobBurst measures the store operations of a burst of job writes with and
// without group commit, on a table with a fixed latency.
func BenchmarkJobBurst(b *testing.B) {
	for _, ungrouped := range []bool{false, true} {
		b.Run(fmt.Sprintf("grouped=%v", !ungrouped), func(b *testing.B) {
			table := newFakeTable()
			table.latency = benchLatency
			c := New(table, Config{Budgets: map[Cause]Budget{}, DisableGroupCommit: ungrouped})
			for round := range b.N {
				burst(b, c, round)
			}
			writes := float64(b.N * benchBurst)
			b.ReportMetric(float64(table.commits+table.reads)/writes, "store-ops/write")
			b.ReportMetric(writes/b.Elapsed().Seconds(), "writes/s")
		})
	}
}

// BenchmarkSteadyJobs measures the store operations of jobs that run one after the
// other, where group commit has no effect.
func BenchmarkSteadyJobs(b *testing.B) {
	table := newFakeTable()
	c := New(table, Config{Budgets: map[Cause]Budget{}})
	for i := range b.N {
		w := Write{Key: fmt.Sprintf("job/%d", i), Data: benchData}
		for range 3 { // accepted, running, final
			rows, err := c.Commit(context.Background(), CauseJob, w)
			if err != nil {
				b.Fatal(err)
			}
			w.Version = rows[0].Version
		}
	}
	b.ReportMetric(float64(table.commits+table.reads)/float64(b.N), "store-ops/job")
}

// BenchmarkRecoveryScan measures reading all job rows after a takeover, at the
// target number of jobs.
func BenchmarkRecoveryScan(b *testing.B) {
	const page = 500
	table := newFakeTable()
	c := New(table, Config{Budgets: map[Cause]Budget{}})
	for i := range benchJobs {
		w := Write{Key: fmt.Sprintf("job/%05d", i), Data: benchData}
		if _, err := c.Commit(context.Background(), CauseRecovery, w); err != nil {
			b.Fatal(err)
		}
	}
	table.latency = benchLatency
	table.reads = 0
	b.ResetTimer()
	for range b.N {
		after, n := "", 0
		for {
			rows, err := c.Scan(context.Background(), CauseRecovery, "job/", after, page)
			if err != nil {
				b.Fatal(err)
			}
			n += len(rows)
			if len(rows) < page {
				break
			}
			after = rows[len(rows)-1].Key
		}
		if n != benchJobs {
			b.Fatalf("%d rows", n)
		}
	}
	b.ReportMetric(float64(table.reads)/float64(b.N), "store-ops/recovery")
}
