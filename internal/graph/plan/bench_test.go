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

func newFilled(workers int) *filled {
	f := &filled{core: New(Config{FencingToken: 1, LeaseBound: simLease, TermStart: time.Unix(0, 0)}), runs: map[string][]graph.RunState{}}
	f.core.hasListened()
	f.step(PolicyChanged{loadPolicy()})
	for i := range workers {
		f.infos = append(f.infos, WorkerInfo{ID: fmt.Sprintf("w%05d", i), Instance: "i", StartUnixMillis: 1, Pool: "pool", Zone: fmt.Sprint("z", i%9),
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
		case SaveProgress:
			pending = append(pending, f.core.Step(f.now, ProgressSaved{Job: a.Job, Number: a.Number})...)
		case StartRun:
			f.runs[a.Worker] = append(f.runs[a.Worker], graph.RunState{Task: a.Task, Run: a.Run, Percent: 1})
		}
	}
}

func (f *filled) beat(i int) {
	w := f.infos[i]
	f.step(WorkerReport{Worker: w, Session: "s", Running: f.runs[w.ID], WorkerResponsive: true})
}

func (f *filled) submit(tasks int) graph.JobID {
	f.next++
	id := graph.JobID(fmt.Sprintf("%016x", f.next))
	f.step(JobSubmitted{Job: &graph.Job{ID: id, Queue: "q", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 3, SubmittedAt: time.Unix(0, 0),
		Steps: []graph.Step{{Count: tasks, Needs: graph.Resources{MilliCPU: 2000, Accelerators: 1}, Estimate: time.Hour}}}})
	return id
}

func benchSizes(b *testing.B, run func(b *testing.B, f *filled)) {
	for _, workers := range []int{10, 100, 1000, 4400} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFilled(workers)
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
			f.step(JobCancelled{f.submit(4)})
		}
	})
}

// overloadGang is the size of the gangs that wait within a guarantee, and
// overloadAccount the account that it belongs to.
const (
	overloadGang    = 4
	overloadAccount = "a0"
)

// overloaded is a full fleet of 52 workers, as at a burst of the larger sites:
// jobs of 30 tasks wait, single tasks and gangs by turns, and a gang within a
// guarantee waits for room to be reclaimed.
func overloaded(waiting int) *filled {
	f := newFilled(52)
	for range waiting / 30 {
		f.submit(30)
		f.submitGang(3, "", 1)
	}
	f.submitGang(overloadGang, overloadAccount, 0)
	for i := range f.infos {
		f.beat(i)
	}
	return f
}

// pass lets so much time go by that a claim is given up and made anew.
func (f *filled) pass() {
	f.now += f.core.claimTimeout()
	for _, w := range f.core.ordered {
		w.heardAt, w.leaseFrom = f.now, f.now
	}
	f.step(Tick{})
}

func BenchmarkOverload(b *testing.B) {
	for _, waiting := range []int{30, 300, 900} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f := overloaded(waiting)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.pass()
			}
		})
	}
}

// TestPassDoesNotGrowWithWaitingTasks shows that a pass over a full fleet costs
// about the same for three times as many waiting tasks of as many more jobs, by
// its allocations, which do not depend on the machine.
func TestPassDoesNotGrowWithWaitingTasks(t *testing.T) {
	allocations := func(waiting int) float64 { return testing.AllocsPerRun(20, overloaded(waiting).pass) }
	few, many := allocations(300), allocations(900)
	if many > 1.5*few {
		t.Errorf("%v allocations with 300 waiting tasks, %v with 900", few, many)
	}
}

// BenchmarkClaim measures how a gang within a guarantee picks its victims among
// hundreds of running tasks.
func BenchmarkClaim(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := newFilled(52)
		f.now = time.Second
		for i := range f.infos {
			f.beat(i)
		}
		b.StartTimer()
		f.submitGang(overloadGang, overloadAccount, 0)
	}
}

// submitGang submits a gang of whole workers.
func (f *filled) submitGang(tasks int, account string, priority int) {
	f.next++
	f.step(JobSubmitted{Job: &graph.Job{ID: graph.JobID(fmt.Sprintf("%016x", f.next)), Queue: "q", Account: account, Pool: "pool", Priority: priority,
		MaxAttempts: 3, Stretch: 3, SubmittedAt: time.Unix(0, 0),
		Steps: []graph.Step{{Count: tasks, Gang: true, SameRack: account == "", Needs: graph.Resources{MilliCPU: 2000, Accelerators: 8}, Estimate: time.Hour}}}})
}
