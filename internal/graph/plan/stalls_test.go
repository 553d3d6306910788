package plan

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// listingFleet is a fleet that lists its runs at an interval. In place of the sim's
// steps it can play a day.
type listingFleet struct {
	core     *Core
	now      time.Duration
	interval time.Duration
	workers  []*listingWorker
	work     map[graph.JobID]time.Duration
	stuckAt  map[graph.JobID]time.Duration // work done after which its runs stand still everywhere
	starts   map[graph.JobID]int
	stops    map[graph.JobID]int
	notices  []Notice
	jobs     map[graph.JobID]*graph.Job
	saved    map[graph.JobID][]byte // progress of each job, as it is stored
	token    uint64
}

type listingWorker struct {
	info  WorkerInfo
	speed float64
	runs  []*listedRun
	ended []graph.RunEnd
	ends  uint64
}

type listedRun struct {
	StartRun
	done, work time.Duration
}

var deployedFeatures = []feature.Feature{feature.ClaimHeadroom, feature.LearnedRunTimes, feature.SavedLearning, feature.WorkerSpeeds}

func newListingFleet(workers int, interval time.Duration, features ...feature.Feature) *listingFleet {
	f := &listingFleet{core: New(Config{FencingToken: 3, LeaseBound: simLeaseBound, TermStart: time.Unix(0, 0), Features: feature.NewSet(features...)}),
		interval: interval, work: map[graph.JobID]time.Duration{}, stuckAt: map[graph.JobID]time.Duration{}, starts: map[graph.JobID]int{}, stops: map[graph.JobID]int{},
		jobs: map[graph.JobID]*graph.Job{}, saved: map[graph.JobID][]byte{}, token: 3}
	f.core.skipStartupDelays()
	f.step(PolicyChanged{loadPolicy()})
	for i := range workers {
		f.workers = append(f.workers, &listingWorker{speed: 1, info: WorkerInfo{ID: fmt.Sprintf("w%d", i), Instance: fmt.Sprintf("i%d", i), StartUnixMillis: 1,
			Pool: "pool", Zone: "z0", Rack: fmt.Sprintf("r%d", i), Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}})
	}
	f.pass(2 * interval)
	return f
}

func (f *listingFleet) submit(id graph.JobID, s graph.Step, work time.Duration) *job {
	f.work[id] = work
	s.Needs.MilliCPU = 1000
	f.jobs[id] = &graph.Job{ID: id, Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2,
		SubmittedAt: time.Unix(0, 0).Add(f.now), Steps: []graph.Step{s}}
	f.step(JobSubmitted{Job: f.jobs[id]})
	return f.core.jobs[id]
}

func (f *listingFleet) step(ev Event) {
	for _, a := range f.core.Step(f.now, ev) {
		switch a := a.(type) {
		case Notice:
			f.notices = append(f.notices, a)
		case SaveProgress:
			f.saved[a.Job], _ = json.Marshal(a.Progress)
			f.step(ProgressSaved{Job: a.Job, Number: a.Number})
		case StartRun:
			f.starts[a.Task.Job]++
			w := f.worker(a.Worker)
			w.runs = append(w.runs, &listedRun{StartRun: a, work: f.work[a.Task.Job]})
		case StopRun:
			f.stops[a.Task.Job]++
			f.worker(a.Worker).end(graph.EndStopped, func(r *listedRun) bool { return r.Task == a.Task && r.Run == a.Run })
		case AcknowledgeEnds:
			w := f.worker(a.Worker)
			w.ended = slices.DeleteFunc(w.ended, func(e graph.RunEnd) bool { return e.Number <= a.Number })
		}
	}
}

func (f *listingFleet) worker(id string) *listingWorker {
	return f.workers[slices.IndexFunc(f.workers, func(w *listingWorker) bool { return w.info.ID == id })]
}

func (w *listingWorker) end(kind graph.EndKind, which func(*listedRun) bool) {
	for _, r := range w.runs {
		if which(r) {
			w.ends++
			w.ended = append(w.ended, graph.RunEnd{Number: w.ends, Task: r.Task, Run: r.Run, Kind: kind})
		}
	}
	w.runs = slices.DeleteFunc(w.runs, which)
}

// ends reports whether a run is done. Members of a gang end together.
func (f *listingFleet) ends(r *listedRun) bool {
	if !f.core.jobs[r.Task.Job].Steps[r.Task.Step].Gang {
		return r.done >= r.work
	}
	for _, w := range f.workers {
		if slices.ContainsFunc(w.runs, func(o *listedRun) bool { return o.Task.Job == r.Task.Job && o.done < o.work }) {
			return false
		}
	}
	return true
}

// pass lets time pass in steps of the interval.
func (f *listingFleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += f.interval
		for _, w := range f.workers {
			for _, r := range w.runs {
				if stuck := f.stuckAt[r.Task.Job]; stuck == 0 || r.done < stuck {
					r.done += scale(f.interval, w.speed)
				}
			}
			w.end(graph.EndDone, f.ends)
			var running []graph.RunState
			for _, r := range w.runs {
				running = append(running, graph.RunState{Task: r.Task, Run: r.Run, Percent: min(99, int(100*r.done/r.work))})
			}
			f.step(WorkerReport{Worker: w.info, Session: "s", Running: running, Ended: slices.Clone(w.ended), Number: 1, WorkerResponsive: true})
		}
		f.step(Tick{})
	}
}

func (f *listingFleet) noticesOf(reasons ...Reason) (out []Notice) {
	for _, n := range f.notices {
		if slices.Contains(reasons, n.Reason) {
			out = append(out, n)
		}
	}
	return out
}

// TestLongRunsRunOnce guards against stopping runs of which each percent takes long, whatever the estimate and beside short jobs of the queue.
func TestLongRunsRunOnce(t *testing.T) {
	const tasks = 3
	for _, work := range []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour} {
		for name, estimate := range map[string]time.Duration{"none": 0, "true": work, "100 times too high": 100 * work, "20 times too low": work / 20, "100 times too low": work / 100} {
			for _, features := range [][]feature.Feature{nil, deployedFeatures} {
				t.Run(fmt.Sprintf("%v, estimate %s, features %d", work, name, len(features)), func(t *testing.T) {
					t.Parallel()
					f := newListingFleet(4, max(time.Second, work/43200), features...)
					short := func() {
						f.submit(graph.JobID(fmt.Sprint("short", f.now)), graph.Step{Count: 2, Estimate: f.interval}, f.interval)
						f.pass(10 * f.interval)
					}
					for range 10 {
						short()
					}
					long := f.submit("long", graph.Step{Count: tasks, Estimate: estimate}, work)
					for limit := f.now + 2*work; !long.state.Final() && f.now < limit; {
						short()
					}
					if f.starts["long"] != tasks || long.state != graph.Completed {
						t.Errorf("%d runs of %d tasks, the job is %q", f.starts["long"], tasks, long.state)
					}
					if bad := f.noticesOf(ReasonNoProgress, ReasonRunLagging, ReasonWorkerQuarantined); len(bad) > 0 {
						t.Errorf("%d notices, the first is %+v", len(bad), bad[0])
					}
				})
			}
		}
	}
}

// TestGangWaitsForItsSlowestMember guards against stopping a gang because its faster members wait at 99 %, or its slowest one takes long for the last percent.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	for _, features := range [][]feature.Feature{nil, deployedFeatures} {
		f := newListingFleet(2, time.Second, features...)
		f.workers[1].speed = 0.3
		gang := f.submit("gang", graph.Step{Count: 2, Gang: true, Estimate: time.Minute, Needs: graph.Resources{Accelerators: 8}}, time.Hour)
		f.pass(4 * time.Hour)
		if f.starts["gang"] != 2 || gang.state != graph.Completed {
			t.Errorf("features %v: %d runs of 2 members, the job is %q, %+v", features, f.starts["gang"], gang.state, f.noticesOf(ReasonNoProgress, ReasonRunLagging))
		}
	}
}

// foundAfter returns the time after which a run of a job was stopped for lack of progress.
func (f *listingFleet) foundAfter(t *testing.T, id graph.JobID, since, limit time.Duration) time.Duration {
	t.Helper()
	for before := f.stops[id]; f.stops[id] == before; f.pass(f.interval) {
		if f.now > since+limit {
			t.Fatalf("%s still stands still after %v", id, f.now-since)
		}
	}
	return f.now - since
}

// TestHungWorkerIsFound guards against runs that wait for a hung worker longer than the rules say: 3 s or 12 steps of the run or of its siblings, 3 s beside one
// that is known to stand still, else 3 s and the estimate.
func TestHungWorkerIsFound(t *testing.T) {
	const reaction = time.Second // two lists
	for _, work := range []time.Duration{10 * time.Second, 10 * time.Minute, time.Hour} {
		for _, features := range [][]feature.Feature{nil, deployedFeatures} {
			limit := max(minStallTime, stepSlack*work/100) + work/100 + reaction
			play := func(name string, bound time.Duration, hang func(f *listingFleet) graph.JobID) {
				f := newListingFleet(3, 500*time.Millisecond, features...)
				id := hang(f)
				took := f.foundAfter(t, id, f.now, bound)
				t.Logf("%v, %d features, %s: %v of %v", work, len(features), name, took, bound)
			}
			one := graph.Step{Count: 1, Estimate: 100 * work}
			hangWorkerOf := func(f *listingFleet, id graph.JobID) *listingWorker {
				w := f.worker(f.core.jobs[id].units[0].members[0].worker.info.ID)
				w.speed = 0
				return w
			}
			play("run that has shown steps", limit, func(f *listingFleet) graph.JobID {
				f.submit("a", one, work)
				f.pass(work / 2)
				hangWorkerOf(f, "a")
				return "a"
			})
			play("run that starts beside it", limit+minStallTime+reaction, func(f *listingFleet) graph.JobID {
				for i := range 3 {
					s := one
					s.Needs.Accelerators = 5
					f.submit(graph.JobID(fmt.Sprint("a", i)), s, work)
				}
				f.pass(work / 2)
				hangWorkerOf(f, "a0")
				s := one
				s.Needs.Accelerators = 3
				for i := range 3 {
					f.submit(graph.JobID(fmt.Sprint("b", i)), s, work)
				}
				f.pass(f.interval)
				for i := range 3 {
					if id := graph.JobID(fmt.Sprint("b", i)); f.worker(f.core.jobs[id].units[0].members[0].worker.info.ID).speed == 0 {
						return id
					}
				}
				t.Fatal("no run beside it")
				return ""
			})
			play("run beside its siblings", limit+work/100, func(f *listingFleet) graph.JobID {
				f.workers[0].speed = 0
				f.submit("a", graph.Step{Count: 3, MaxPerWorker: 1, Estimate: 100 * work}, work)
				return "a"
			})
			play("run alone", minStallTime+work+reaction, func(f *listingFleet) graph.JobID {
				for _, w := range f.workers {
					w.speed = 0
				}
				f.submit("a", graph.Step{Count: 1, Estimate: work}, work)
				return "a"
			})
		}
	}
}

// TestStopsForNoProgressBecomeRare guards against a task that is stopped again and again because it stands still on each worker.
func TestStopsForNoProgressBecomeRare(t *testing.T) {
	for _, features := range [][]feature.Feature{nil, deployedFeatures} {
		f := newListingFleet(4, time.Second, features...)
		f.stuckAt["stuck"] = 5 * time.Second
		f.submit("stuck", graph.Step{Count: 1, Estimate: 10 * time.Second}, 10*time.Second)
		f.pass(time.Hour)
		// 3 s doubled eleven times are longer than an hour.
		if n := f.stops["stuck"]; n < 5 || n > maxMoves+11 {
			t.Errorf("features %v: %d stops in an hour", features, n)
		}
	}
}

// takeOver begins the term of the next owner, with what is stored.
func (f *listingFleet) takeOver(t *testing.T) {
	f.token++
	f.core = New(Config{FencingToken: f.token, LeaseBound: simLeaseBound, TermStart: time.Unix(0, 0), Features: f.core.cfg.Features})
	f.core.now = f.now
	f.core.skipStartupDelays()
	f.step(PolicyChanged{loadPolicy()})
	for id, j := range f.jobs {
		var p graph.Progress
		if err := json.Unmarshal(f.saved[id], &p); err != nil {
			t.Fatal(err)
		}
		f.step(JobSubmitted{Job: j, Progress: &p})
	}
}

// TestStopsForNoProgressStayRareAcrossTakeovers guards against a slow run that each owner stops anew.
func TestStopsForNoProgressStayRareAcrossTakeovers(t *testing.T) {
	f := newListingFleet(4, time.Second)
	f.stuckAt["stuck"] = 5 * time.Second
	f.submit("stuck", graph.Step{Count: 1, Estimate: 10 * time.Second}, 10*time.Second)
	for range 60 {
		f.pass(time.Minute)
		f.takeOver(t)
	}
	if n := f.stops["stuck"]; n > maxMoves+11 {
		t.Errorf("%d stops in an hour with a takeover each minute", n)
	}
}

// TestStoredStallsAreBounded guards against a row that grows with the number of slow tasks, and against counts of another writer.
func TestStoredStallsAreBounded(t *testing.T) {
	steps := []graph.Step{{Count: graph.MaxTasks - 4}, {Count: 4, Gang: true}}
	j := newJob(&graph.Job{Steps: steps})
	for i, u := range j.units {
		u.stalls = i % 60
	}
	j.units[59].phase = unitDone
	stored := j.progress().Stalls
	if len(stored) != graph.MaxStalledUnits || stored[0].Count != maxStallDoublings || slices.ContainsFunc(stored, func(s graph.UnitStalls) bool { return s.Index == 59 }) {
		t.Errorf("%d units: %+v", len(stored), stored)
	}
	next := newJob(&graph.Job{Steps: steps})
	next.restoreStalls(append(stored, graph.UnitStalls{Step: 1, Count: 5}, graph.UnitStalls{Step: -1, Count: 1}, graph.UnitStalls{Index: graph.MaxTasks, Count: 1},
		graph.UnitStalls{Index: 1, Count: 1 << 62}, graph.UnitStalls{Index: 2, Count: -1 << 62}))
	if u := next.unitsByStep[1][0]; u.stalls != 5 || next.units[1].stalls != maxStallDoublings || next.units[2].stalls != 0 || next.units[stored[0].Index].stalls != stored[0].Count {
		t.Errorf("restored %d, %d, %d", u.stalls, next.units[1].stalls, next.units[2].stalls)
	}
	j.state = graph.Completed
	if s := j.progress().Stalls; len(s) > 0 {
		t.Errorf("%d units of a final job", len(s))
	}
}
