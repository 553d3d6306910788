package graphs_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
)

// slowOwnership is an ownership at which each look takes time on a processor. The term
// looks at it under its lock, for each report and for the orders of each event and pass.
type slowOwnership struct {
	*owner.Service
	processor *processor
}

func (o slowOwnership) Current() owner.Authority {
	o.processor.work()
	return o.Service.Current()
}

// processor models the processor of an owner. Each piece of work takes cost.
type processor struct {
	cost atomic.Int64 // nanoseconds; 0 for a processor that takes no time

	mu     sync.Mutex
	freeAt time.Time
	used   time.Duration
}

// maxProcessorCredit is how much unused time later work may use. It makes up for
// sleeps that end late.
const maxProcessorCredit = 5 * time.Millisecond

// work takes cost.
func (p *processor) work() {
	if cost := time.Duration(p.cost.Load()); cost > 0 {
		time.Sleep(time.Until(p.reserve(cost)))
	}
}

// reserve returns the time at which work that takes cost is done.
func (p *processor) reserve(cost time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := time.Now().Add(-maxProcessorCredit); p.freeAt.Before(earliest) {
		p.freeAt = earliest
	}
	p.freeAt = p.freeAt.Add(cost)
	p.used += cost
	return p.freeAt
}

// usedTime returns the processor time used so far.
func (p *processor) usedTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

const (
	overloadWorkers = 48
	// overloadCost makes the steady load take about half of the processor.
	overloadCost     = 1300 * time.Microsecond
	overloadSlowdown = 4
	// Times of the steady load before the slowness, and of the slowness.
	overloadWarmUp = 2 * time.Second
	overloadTime   = 9 * time.Second
	// overloadCheckTime is the time after maxRecoveryTime in which the bounds have to hold.
	overloadCheckTime = 2 * time.Second

	// The steady load is a job of overloadTasks tasks every overloadInterval. Their
	// ends come one by one, overloadTaskStep apart.
	overloadInterval = 100 * time.Millisecond
	overloadTasks    = 5
	overloadTaskStep = 200 * time.Millisecond
	// One in overloadCancelShare jobs is cancelled overloadCancelDelay after its submission.
	overloadCancelShare = 2
	overloadCancelDelay = 300 * time.Millisecond
	// backgroundNeeds is the number of accelerators of a long run on each worker, which
	// the worker lists in addition. Two remain.
	backgroundNeeds = 6

	// maxCancelTime is the users' bound for the time from the answer to a cancel until
	// no task of the job starts any more.
	maxCancelTime = 5 * time.Second
	// maxRecoveryTime is the users' bound for the time after the slowness until tasks
	// with free room start, and for the wait of each such task from then on.
	maxRecoveryTime = 3 * time.Second
	// maxHandledAge is plan.maxReportAge.
	maxHandledAge = 2500 * time.Millisecond
)

// overloadFleet is a fleet with a steady load that records starts.
type overloadFleet struct {
	*fleet

	mu         sync.Mutex
	background graph.JobID
	submitted  map[graph.JobID]time.Time // time of the answer
	cancelled  map[graph.JobID]time.Time // time of the answer
	starts     map[graph.JobID][]time.Time
}

func startOverloadFleet(t *testing.T) *overloadFleet {
	f := &overloadFleet{
		fleet:     startFleet(t, 1, overloadWorkers, fleetTimes(defaultTerm), zerolog.New(discard{})),
		submitted: map[graph.JobID]time.Time{}, cancelled: map[graph.JobID]time.Time{}, starts: map[graph.JobID][]time.Time{},
	}
	f.background = f.newID()
	for _, a := range f.agents {
		a.runner.RunDuration = f.recordStart
	}
	background := graph.Step{Count: overloadWorkers, Needs: graph.Resources{MilliCPU: 1000, Accelerators: backgroundNeeds}, Estimate: time.Minute}
	a := f.entries[0].front.Submit(f.callFor(f.background), func() (*graph.Job, error) {
		return &graph.Job{Spec: "spec", Steps: []graph.Step{background}}, nil
	})
	if a.Outcome != graphs.OK {
		t.Fatalf("submit: %+v", a)
	}
	f.await("a long run on each worker", func() bool { return len(f.startTimes(f.background)) == overloadWorkers })
	return f
}

// recordStart records the start of a run and returns its run time.
func (f *overloadFleet) recordStart(task graph.TaskID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task.Job] = append(f.starts[task.Job], time.Now())
	if task.Job == f.background {
		return time.Minute
	}
	return time.Duration(task.Index+1) * overloadTaskStep
}

func (f *overloadFleet) startTimes(id graph.JobID) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.starts[id])
}

// submitLoad submits the steady load and cancels a part of it until stop is closed.
func (f *overloadFleet) submitLoad(stop <-chan struct{}) {
	ticker := time.NewTicker(overloadInterval)
	defer ticker.Stop()
	var cancels sync.WaitGroup
	defer cancels.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := f.newID()
		a := f.entries[0].front.Submit(f.callFor(id), jobWithTasks(overloadTasks))
		f.recordAnswer(f.submitted, id, a)
		if n%overloadCancelShare == 0 {
			cancels.Go(func() {
				time.Sleep(overloadCancelDelay)
				f.recordAnswer(f.cancelled, id, f.entries[0].front.Cancel(f.callFor(id)))
			})
		}
	}
}

func (f *overloadFleet) recordAnswer(times map[graph.JobID]time.Time, id graph.JobID, a graphs.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Outcome != graphs.OK {
		f.t.Errorf("job %s: %+v", id, a)
		return
	}
	times[id] = time.Now()
}

// handledAge returns the age of the newest report of which an agent knows that the
// owner has handled it, the highest of all agents.
func (f *overloadFleet) handledAge() time.Duration {
	var highest time.Duration
	for _, a := range f.agents {
		dump := a.keeper.DumpState().(map[string]any)
		highest = max(highest, time.Duration(dump["lease_age_ms"].(int64))*time.Millisecond)
	}
	return highest
}

// highestHandledAge returns the highest handledAge until the given time.
func (f *overloadFleet) highestHandledAge(until time.Time) time.Duration {
	var highest time.Duration
	for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		highest = max(highest, f.handledAge())
	}
	return highest
}

// startsAfterCancel returns the longest time from the answer to a cancel to a start of
// the job, and the number of jobs for which it exceeds maxCancelTime.
func (f *overloadFleet) startsAfterCancel() (longest time.Duration, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, answered := range f.cancelled {
		if len(f.starts[id]) == 0 {
			continue
		}
		d := slices.MaxFunc(f.starts[id], time.Time.Compare).Sub(answered)
		longest = max(longest, d)
		if d > maxCancelTime {
			late++
		}
	}
	return longest, late
}

// lateStarts returns the number of jobs submitted in the given time and not cancelled,
// and how many of them had a task not started maxRecoveryTime after the submission.
func (f *overloadFleet) lateStarts(from, to time.Time) (jobs, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.submitted {
		if _, cancelled := f.cancelled[id]; cancelled || at.Before(from) || at.After(to) {
			continue
		}
		jobs++
		inTime := slices.DeleteFunc(slices.Clone(f.starts[id]), func(s time.Time) bool { return s.Sub(at) > maxRecoveryTime })
		if len(inTime) < overloadTasks {
			late++
		}
	}
	return jobs, late
}

// TestOwnerRecoversFromOverload guards against an owner that stays behind after its processor was slow for some seconds.
func TestOwnerRecoversFromOverload(t *testing.T) {
	f := startOverloadFleet(t)
	defer f.processor.cost.Store(0)
	f.processor.cost.Store(int64(overloadCost))
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { f.submitLoad(stop) })
	time.Sleep(overloadWarmUp / 2)
	used := f.processor.usedTime()
	ageBefore := f.highestHandledAge(time.Now().Add(overloadWarmUp / 2))
	share := float64(f.processor.usedTime()-used) / float64(overloadWarmUp/2)

	f.processor.cost.Store(int64(overloadSlowdown * overloadCost))
	ageDuring := f.highestHandledAge(time.Now().Add(overloadTime))
	f.processor.cost.Store(int64(overloadCost))

	recovered := time.Now().Add(maxRecoveryTime)
	time.Sleep(maxRecoveryTime)
	checked := recovered.Add(overloadCheckTime)
	ageAfter := f.highestHandledAge(checked)
	time.Sleep(maxRecoveryTime)
	close(stop)
	load.Wait()

	t.Logf("processor used %.0f %% by the steady load; age of the newest handled report %v before, %v during and %v after the slowness; %d long runs started again",
		100*share, ageBefore, ageDuring, ageAfter, len(f.startTimes(f.background))-overloadWorkers)
	if ageAfter > maxHandledAge {
		t.Errorf("the newest handled report of an agent is %v old from %v after the slowness on, want at most %v", ageAfter, maxRecoveryTime, maxHandledAge)
	}
	if jobs, late := f.lateStarts(recovered, checked); late > 0 || jobs == 0 {
		t.Errorf("%d of %d jobs submitted after the slowness had not started within %v", late, jobs, maxRecoveryTime)
	}
	if longest, late := f.startsAfterCancel(); late > 0 {
		t.Errorf("%d of %d cancelled jobs had starts later than %v after the answer, the last one %v after it", late, len(f.cancelled), maxCancelTime, longest)
	} else {
		t.Logf("last start of a cancelled job %v after the answer", longest)
	}
}
