package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// tasksPerWorker fills a fleet as at the target: 31,000 tasks on 4,400 workers.
const tasksPerWorker = 7

// filled is a core whose workers all run tasks of jobs with 33 tasks each.
type filled struct {
	core  *Core
	infos []WorkerInfo
	runs  map[string][]graph.RunState
	now   time.Duration
	next  int
}

func newFilled(b *testing.B, workers int) *filled {
	b.Helper()
	f := &filled{core: New(Config{Token: 1, LeaseBound: simLease, TermStart: time.Unix(0, 0)}), runs: map[string][]graph.RunState{}}
	f.step(Configured{loadPolicy()})
	for i := range workers {
		f.infos = append(f.infos, WorkerInfo{ID: fmt.Sprintf("w%05d", i), Instance: "i", Born: 1, Pool: "pool", Zone: fmt.Sprint("z", i%9),
			Rack: fmt.Sprint("r", i/40), Capacity: graph.Resources{MilliCPU: 16000, MemoryMB: 64000, Accelerators: 8}})
		f.beat(i)
	}
	for range workers*tasksPerWorker/33 + 1 {
		f.submit(33)
	}
	for i := range f.infos {
		f.beat(i)
	}
	return f
}

// step gives the core an event and answers its saves and starts at once.
func (f *filled) step(ev Event) {
	pending := f.core.Step(f.now, ev)
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		switch a := a.(type) {
		case Save:
			pending = append(pending, f.core.Step(f.now, Saved{Job: a.Job, Number: a.Number})...)
		case Start:
			f.runs[a.Worker] = append(f.runs[a.Worker], graph.RunState{Task: a.Task, Run: a.Run, Percent: 1})
		}
	}
}

func (f *filled) beat(i int) {
	w := f.infos[i]
	f.step(WorkerReport{Worker: w, Session: "s", Running: f.runs[w.ID], Answering: true})
}

func (f *filled) submit(tasks int) graph.JobID {
	f.next++
	id := graph.JobID(fmt.Sprintf("%016x", f.next))
	f.step(Submitted{Job: &graph.Job{ID: id, Queue: "q", Pool: "pool", Priority: 1, Attempts: 3, Stretch: 3, Submitted: time.Unix(0, 0),
		Steps: []graph.Step{{Count: tasks, Needs: graph.Resources{MilliCPU: 2000, Accelerators: 1}, Estimate: time.Hour}}}})
	return id
}

func benchSizes(b *testing.B, run func(b *testing.B, f *filled)) {
	for _, workers := range []int{10, 100, 1000, 4400} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFilled(b, workers)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, f)
		})
	}
}

// BenchmarkBeat is one report of a worker without news.
func BenchmarkBeat(b *testing.B) {
	benchSizes(b, func(b *testing.B, f *filled) {
		for i := range b.N {
			f.beat(i % len(f.infos))
		}
	})
}

// BenchmarkTick is one look at the clock; there are five a second.
func BenchmarkTick(b *testing.B) {
	benchSizes(b, func(b *testing.B, f *filled) {
		for range b.N {
			f.step(Tick{})
		}
	})
}

// BenchmarkSubmit is a job of 4 tasks, from its submission to its cancelling.
func BenchmarkSubmit(b *testing.B) {
	benchSizes(b, func(b *testing.B, f *filled) {
		for range b.N {
			f.step(Cancel{f.submit(4)})
		}
	})
}
