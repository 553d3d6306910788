package graphs_test

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// loadClass describes the jobs of one queue of the load.
type loadClass struct {
	queue         policy.Queue
	ratePerWorker float64 // jobs per second and worker
	meanTasks     float64
	maxTasks      int
	work          time.Duration
	gang          bool
	needs         graph.Resources
	accelerators  []int
}

// loadClasses returns the classes of a heavy day: short gangs of the first priority,
// wide gangs of the second and very wide bundles of single tasks of the third.
func loadClasses() []loadClass {
	all := []int{1, 2, 4, 8, 8}
	return []loadClass{
		{policy.Queue{Name: "conflict", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Allowance: 250 * time.Millisecond}, 0.030, 5.3, 32, 2500 * time.Millisecond, true, graph.Resources{MilliCPU: 15000, MemoryMB: 44000}, all},
		{policy.Queue{Name: "survey", Priority: 1, MaxAttempts: 3, Stretch: 3, Allowance: time.Second}, 0.0048, 13, 76, 11 * time.Second, true, graph.Resources{MilliCPU: 52000, MemoryMB: 210000}, all},
		{policy.Queue{Name: "evidence", Priority: 2, MaxAttempts: 2, Stretch: 3, Allowance: 3 * time.Second}, 0.0073, 38, 230, 6100 * time.Millisecond, false, graph.Resources{MilliCPU: 11000, MemoryMB: 46000}, []int{1}},
	}
}

const (
	loadAccounts     = 24
	loadWorkerCPU    = 128000
	loadWorkerMemory = 524288
	// loadFactor scales the load to more than the fleet can run.
	loadFactor = 1.4
)

// loadSnapshot returns the configuration of the load: a queue for each class, and
// accounts to which half of the accelerators are guaranteed.
func loadSnapshot(workers int) *policy.Snapshot {
	p := &policy.Snapshot{Version: 1, ZonesOut: map[string]bool{}}
	for _, c := range loadClasses() {
		q := c.queue
		q.Host, q.PathPrefix, q.Pool = queueHost, "/"+q.Name+"/", "pool"
		p.Queues = append(p.Queues, q)
	}
	for i := range loadAccounts {
		p.Accounts = append(p.Accounts, policy.ClientAccount{Name: fmt.Sprint("a", i), Keys: []string{fmt.Sprint("key-", i)}, GuaranteedAccelerators: workers * 8 / 2 / loadAccounts})
	}
	return p
}

func (c *loadClass) draw(r *rand.Rand) *graph.Job {
	tasks := math.Exp(r.NormFloat64()*0.8-0.32) * c.meanTasks
	s := graph.Step{Count: max(1, min(c.maxTasks, int(tasks+0.5))), Needs: c.needs, Gang: c.gang, SameRack: c.gang && r.Intn(2) == 0, Estimate: c.work}
	s.Needs.Accelerators = c.accelerators[r.Intn(len(c.accelerators))]
	return &graph.Job{Spec: "spec", Steps: []graph.Step{s}}
}

// BenchmarkOwner plays a load above the fleet's capacity against one entry that owns
// scheduling, with real agents over gRPC. Profile it with -cpuprofile and select the
// entry's part with go tool pprof -tagfocus=role=entry.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{160} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				playLoad(b, workers, 15*time.Second)
			}
		})
	}
}

func playLoad(b *testing.B, workers int, length time.Duration) {
	f := startFleet(b, 1, workers, fleetTimes(defaultTerm), zerolog.New(discard{}).With().Timestamp().Logger())
	e := f.entries[0]
	e.config.set(loadSnapshot(workers))
	f.await("configuration", func() bool {
		return e.front.Lookup(graphs.Call{Host: queueHost, Path: "/survey/", Key: "key-1"}).Outcome == graphs.OK
	})
	for _, a := range f.agents {
		a.runner.RunDuration = func(t graph.TaskID) time.Duration { return loadClasses()[t.Job[0]-'0'].work }
	}
	r := rand.New(rand.NewSource(1))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	jobs := 0
	const step = 20 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(step) {
		for i, c := range loadClasses() {
			if r.Float64() > c.ratePerWorker*float64(workers)*loadFactor*step.Seconds() {
				continue
			}
			jobs++
			call := graphs.Call{Host: queueHost, Path: fmt.Sprintf("/%s/%d%015x", c.queue.Name, i, jobs), Key: fmt.Sprint("key-", r.Intn(loadAccounts)), Wait: 2 * time.Second}
			job := c.draw(r)
			if a := e.front.Submit(call, func() (*graph.Job, error) { return job, nil }); a.Outcome != graphs.OK {
				b.Fatalf("submit: %+v", a)
			}
		}
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(jobs)/length.Seconds(), "jobs/s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/length.Seconds()/1e6, "MB/s")
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
