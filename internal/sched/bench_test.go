package sched

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// bench drives a core with agents and a table that answer immediately.
type bench struct {
	core        *Core
	now         time.Duration
	workers     []WorkerUp
	config      *api.Config
	rows        map[string]api.JobRecord
	events      []Event
	actionCount int
	rnd         *rand.Rand
	next        int
	tasks       int
}

// newBench fills a fleet with seven tasks per worker: 31,000 on 4,400 workers.
func newBench(workers int) *bench {
	b := &bench{rows: map[string]api.JobRecord{}, rnd: rand.New(rand.NewSource(1))}
	zones, rack := 9, 40
	if workers < 1000 {
		zones, rack = 3, 10
	}
	for i := range workers {
		accelerators := 1
		if i%22 == 0 {
			accelerators = 2
		}
		b.workers = append(b.workers, WorkerUp{
			Worker: fmt.Sprintf("w%04d", i), Zone: fmt.Sprintf("z%d", i/rack%zones), Rack: fmt.Sprintf("r%03d", i/rack),
			Capacity: api.Resources{Accelerators: accelerators, MilliCPU: 64000, MemoryMB: 256000},
		})
	}
	b.config = &api.Config{Version: 1, Zones: map[string]api.AvailabilityZone{}, Profiles: map[string]api.Profile{}}
	for i := range 52 {
		p := api.Profile{Name: fmt.Sprintf("p%02d", i), ClientAccount: fmt.Sprintf("a%02d", i), Preemptible: i%2 == 0}
		if i%4 == 1 {
			shape := api.Shape{Tasks: max(1, workers/200), PerTask: api.Resources{Accelerators: 1, MilliCPU: 4000}, Adjacency: api.AdjacentZone}
			p.Guarantee = &api.Guarantee{Gangs: 1, Shape: shape}
		}
		b.config.Profiles[p.Name] = p
	}
	b.takeOwnership()
	for b.tasks < 7*workers {
		b.submit(b.newJob(min(128, 1<<b.rnd.Intn(8), max(1, workers/8))))
	}
	return b
}

// takeOwnership starts a new term from the rows and the agents' reports.
func (b *bench) takeOwnership() {
	b.core = New(Config{TermStart: time.Unix(0, 0)})
	b.now = 0
	b.apply(ConfigUpdate{b.config})
	for _, w := range b.workers {
		b.apply(w)
	}
	for _, id := range sortedKeys(b.rows) {
		rec := b.rows[id]
		b.apply(Submit{rec})
		for _, p := range rec.Placements {
			b.apply(GroupReport{Worker: p.Worker, JobID: id, Attempt: rec.Attempt, State: GroupRunning})
		}
	}
	b.apply(OwnerStatus{Owner: true, Epoch: 1})
}

func (b *bench) newJob(tasks int) api.Job {
	b.next++
	accelerators := 0
	if b.rnd.Intn(5) == 0 {
		accelerators = 1
	}
	return api.Job{
		ID: fmt.Sprintf("j%06d", b.next), Profile: fmt.Sprintf("p%02d", b.rnd.Intn(52)), Idempotent: true, Checkpointable: true,
		Gang: api.Shape{Tasks: tasks, PerTask: api.Resources{Accelerators: accelerators, MilliCPU: 4000, MemoryMB: 8000}, Adjacency: api.AdjacentZone},
	}
}

func (b *bench) submit(job api.Job) {
	rec := api.JobRecord{Job: job, State: api.JobQueued}
	b.rows[job.ID] = rec
	b.tasks += job.Gang.Tasks
	b.apply(Submit{rec})
}

// finish reports the end of all groups of a running job.
func (b *bench) finish(id string) {
	rec := b.rows[id]
	for _, p := range rec.Placements {
		b.apply(GroupReport{Worker: p.Worker, JobID: id, Attempt: rec.Attempt, State: GroupDone})
	}
	b.tasks -= rec.Job.Gang.Tasks
}

// apply passes an event, and then the answers to its actions, to the core.
func (b *bench) apply(ev Event) {
	b.events = append(b.events[:0], ev)
	for i := 0; i < len(b.events); i++ {
		acts := b.core.Step(b.now, b.events[i])
		b.actionCount += len(acts)
		for _, a := range acts {
			b.answer(a)
		}
	}
}

func (b *bench) answer(a Action) {
	switch a := a.(type) {
	case Hold:
		b.events = append(b.events, GroupReport{Worker: a.Worker, JobID: a.JobID, Attempt: a.Attempt, State: GroupHeld})
	case Start:
		b.events = append(b.events, GroupReport{Worker: a.Worker, JobID: a.JobID, Attempt: a.Attempt, State: GroupRunning})
	case Stop:
		state := GroupStopped
		if a.Grace > 0 {
			state = GroupCheckpointed
		}
		b.events = append(b.events, GroupReport{Worker: a.Worker, JobID: a.JobID, Attempt: a.Attempt, State: state, Checkpoint: "1s"})
	case Save:
		rec := a.Record
		b.rows[rec.Job.ID] = rec
		if rec.State == api.JobFinal {
			delete(b.rows, rec.Job.ID)
		}
		b.events = append(b.events, SaveResult{JobID: rec.Job.ID, Attempt: rec.Attempt, State: rec.State})
	}
}

func (b *bench) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		b.apply(Tick{})
	}
}

// running returns the IDs of the running jobs, sorted.
func (b *bench) running() []string {
	var ids []string
	for _, id := range sortedKeys(b.rows) {
		if b.rows[id].State == api.JobRunning {
			ids = append(ids, id)
		}
	}
	return ids
}

func (b *bench) disconnect(workers []WorkerUp) {
	for _, w := range workers {
		b.apply(WorkerDown{w.Worker})
	}
	b.advance(GroupLease + 2*time.Second)
}

func (b *bench) reconnect(workers []WorkerUp) {
	for _, w := range workers {
		b.apply(w)
	}
	b.advance(15 * time.Second)
}

func (b *bench) setZone(state api.ZoneState) {
	b.config = b.config.Clone()
	b.config.Version++
	b.config.Zones["z1"] = api.AvailabilityZone{Name: "z1", State: state}
	b.apply(ConfigUpdate{b.config})
	b.advance(40 * time.Second)
}

var benchSizes = []int{10, 100, 1000, 4400}

// perSize runs a benchmark on a filled fleet of each size.
func perSize(t *testing.B, run func(t *testing.B, b *bench)) {
	for _, n := range benchSizes {
		t.Run(fmt.Sprintf("workers=%d", n), func(t *testing.B) {
			b := newBench(n)
			t.ReportAllocs()
			b.actionCount = 0
			t.ResetTimer()
			run(t, b)
			t.ReportMetric(float64(b.actionCount)/float64(t.N), "actions/op")
		})
	}
}

// submitAndFinish measures either the submission or the end of a job; the other
// one runs with the timer stopped.
func submitAndFinish(t *testing.B, tasks int, measureSubmit bool) {
	perSize(t, func(t *testing.B, b *bench) {
		for range t.N {
			t.StopTimer()
			job := b.newJob(min(tasks, len(b.workers)/2))
			job.Gang.PerTask.Accelerators = 0
			if measureSubmit {
				t.StartTimer()
			}
			b.submit(job)
			t.StopTimer()
			if !measureSubmit {
				t.StartTimer()
			}
			b.finish(job.ID)
			t.StartTimer()
		}
	})
}

func BenchmarkSubmit(b *testing.B)        { submitAndFinish(b, 4, true) }
func BenchmarkSubmitGang128(b *testing.B) { submitAndFinish(b, 128, true) }
func BenchmarkFinish(b *testing.B)        { submitAndFinish(b, 4, false) }

// BenchmarkFinishWithQueue measures the end of a job while gangs of 50 profiles
// wait.
func BenchmarkFinishWithQueue(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		t.StopTimer()
		for range 200 {
			job := b.newJob(64)
			job.Gang.PerTask.Accelerators = 2
			b.submit(job)
		}
		for range t.N {
			job := b.newJob(4)
			job.Gang.PerTask.Accelerators = 0
			b.submit(job)
			t.StartTimer()
			b.finish(job.ID)
			t.StopTimer()
		}
	})
}

// BenchmarkWorkerLoss measures the loss of a worker, including 12 s of ticks until
// its gangs run elsewhere.
func BenchmarkWorkerLoss(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		for i := range t.N {
			lost := b.workers[i%len(b.workers) : i%len(b.workers)+1]
			b.disconnect(lost)
			t.StopTimer()
			b.reconnect(lost)
			t.StartTimer()
		}
	})
}

func BenchmarkRackLoss(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		rack := b.workers[:min(40, len(b.workers)/3)]
		for range t.N {
			b.disconnect(rack)
			t.StopTimer()
			b.reconnect(rack)
			t.StartTimer()
		}
	})
}

// BenchmarkZoneOut measures the first 40 s after a zone is taken out, in which all
// of its gangs are moved.
func BenchmarkZoneOut(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		for range t.N {
			b.setZone(api.ZoneOut)
			t.StopTimer()
			b.setZone(api.ZoneIn)
			t.StartTimer()
		}
	})
}

// BenchmarkConfigure measures a configuration update that changes no zone and no
// guarantee.
func BenchmarkConfigure(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		for range t.N {
			b.config = b.config.Clone()
			b.config.Version++
			b.apply(ConfigUpdate{b.config})
		}
	})
}

func BenchmarkTakeover(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		for range t.N {
			b.takeOwnership()
		}
	})
}

// BenchmarkReport measures a progress report of a running group.
func BenchmarkReport(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		var reports []GroupReport
		for _, id := range b.running() {
			for _, p := range b.rows[id].Placements {
				reports = append(reports, GroupReport{Worker: p.Worker, JobID: id, Attempt: b.rows[id].Attempt, State: GroupRunning, Progress: time.Minute})
			}
		}
		t.ResetTimer()
		for i := range t.N {
			b.apply(reports[i%len(reports)])
		}
		t.ReportMetric(float64(len(reports))/float64(len(b.workers)), "groups/worker")
	})
}

// BenchmarkSecond measures one second of ticks, with renewals and reviews.
func BenchmarkSecond(t *testing.B) {
	perSize(t, func(t *testing.B, b *bench) {
		for range t.N {
			b.advance(time.Second)
		}
	})
}

// BenchmarkState reports the memory of the core's state per worker and per job.
func BenchmarkState(t *testing.B) {
	for _, n := range benchSizes {
		t.Run(fmt.Sprintf("workers=%d", n), func(t *testing.B) {
			for range t.N {
				before := heapInUse()
				empty := &bench{core: New(Config{})}
				full := newBench(n)
				full.rows = nil
				total := heapInUse() - before
				for _, w := range full.workers {
					empty.apply(w)
				}
				withWorkers := heapInUse() - before - total
				t.ReportMetric(float64(withWorkers)/float64(n), "B/worker")
				t.ReportMetric((float64(total)-float64(withWorkers))/float64(max(1, len(full.core.jobs))), "B/job")
				t.ReportMetric(float64(total)/1e6, "MB/total")
				t.ReportMetric(float64(len(full.core.jobs)), "jobs")
				t.ReportMetric(float64(full.tasks), "tasks")
				runtime.KeepAlive(empty)
				runtime.KeepAlive(full)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
