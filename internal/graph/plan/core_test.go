package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// bed is a core with one or more workers of 8 accelerators, stepped by hand.
type bed struct {
	t    *testing.T
	core *Core
	now  time.Duration
}

// newBed returns a bed whose term has lasted for long enough to place and stop
// work at once.
func newBed(t *testing.T) *bed {
	b := newTermBed(t)
	b.core.hasListened()
	return b
}

// hasListened makes a core that has heard of its fleet long ago.
func (c *Core) hasListened() { c.heard, c.firstHeard = true, -settleTime }

// newTermBed returns a bed at the begin of a term.
func newTermBed(t *testing.T) *bed {
	b := &bed{t: t, core: New(Config{FencingToken: 3, LeaseBound: simLease, TermStart: time.Unix(0, 0)})}
	b.step(PolicyChanged{loadPolicy()})
	return b
}

// step gives an event, answers the saves that follow at once and returns the
// other actions but notices.
func (b *bed) step(ev Event) []Action {
	var out []Action
	for _, a := range b.core.Step(b.now, ev) {
		switch a := a.(type) {
		case Notice:
		case SaveProgress:
			out = append(out, b.step(ProgressSaved{Job: a.Job, Number: a.Number})...)
		default:
			out = append(out, a)
		}
	}
	return out
}

func (b *bed) report(id string, running []graph.RunState, ended ...graph.RunEnd) []Action {
	return b.step(WorkerReport{Worker: WorkerInfo{ID: id, Instance: "i-" + id, StartUnixMillis: 1, Pool: "pool", Zone: "z0", Rack: "r0",
		Capacity: graph.Resources{MilliCPU: 16000, Accelerators: 8}}, Session: "s", Running: running, Ended: ended, Number: 1, WorkerResponsive: true})
}

func (b *bed) submit(id graph.JobID, accelerators int) []Action {
	return b.step(JobSubmitted{Job: &graph.Job{ID: id, Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2,
		SubmittedAt: time.Unix(0, 0).Add(b.now),
		Steps:       []graph.Step{{Count: 1, Needs: graph.Resources{MilliCPU: 1000, Accelerators: accelerators}, Estimate: time.Second}}}})
}

func starts(actions []Action) []StartRun {
	var out []StartRun
	for _, a := range actions {
		if s, ok := a.(StartRun); ok {
			out = append(out, s)
		}
	}
	return out
}

// TestStrayRunsTakeRoom shows that a run which the owner has not placed counts
// against its worker's capacity until it is gone: workers need not refuse what
// does not fit.
func TestStrayRunsTakeRoom(t *testing.T) {
	b := newBed(t)
	b.report("w0", nil)
	b.submit("j0", 6)
	first := starts(b.step(Tick{}))
	if len(first) != 0 {
		t.Fatalf("placed twice: %+v", first)
	}
	b.step(JobCancelled{"j0"})
	// The worker runs another run of the job's task, which nobody knows any more.
	stray := graph.RunState{Task: graph.TaskID{Job: "j0"}, Run: 1}
	ended := graph.RunEnd{Number: 1, Task: graph.TaskID{Job: "j0"}, Run: 3*runsPerTerm + 1, Kind: graph.EndStopped}
	b.report("w0", []graph.RunState{stray}, ended)
	if s := starts(b.submit("j1", 4)); len(s) > 0 {
		t.Fatalf("started beside a stray run: %+v", s)
	}
	if s := starts(b.report("w0", nil)); len(s) != 1 || s[0].Task.Job != "j1" {
		t.Fatalf("after the stray run is gone: %+v", s)
	}
}

// TestGrantsFollowAnswers shows that a worker which does not answer its agent
// gets no grants, and that its lease counts from the last report with one.
func TestGrantsFollowAnswers(t *testing.T) {
	b := newBed(t)
	granted := func(actions []Action) bool {
		for _, a := range actions {
			if _, ok := a.(GrantLease); ok {
				return true
			}
		}
		return false
	}
	if !granted(b.report("w0", nil)) {
		t.Fatal("no grant for a worker that answers")
	}
	if s := starts(b.submit("j0", 8)); len(s) != 1 {
		t.Fatalf("%+v", s)
	}
	silent := WorkerReport{Worker: b.core.workers["w0"].info, Session: "s", Number: 2}
	for b.now < simLease {
		b.now += time.Second
		if granted(b.step(silent)) {
			t.Fatalf("grant at %v for a worker that does not answer", b.now)
		}
		b.step(Tick{})
		if lost := b.core.workers["w0"].lost; lost != (b.now > simLease) {
			t.Fatalf("at %v: lost %v", b.now, lost)
		}
	}
}

// TestFailedRunCountsAcrossTerms shows that the failure of one member of a gang
// counts as an attempt, once, if the owner changes before the other members
// have ended: the end may have been acknowledged by then.
func TestFailedRunCountsAcrossTerms(t *testing.T) {
	for _, other := range []graph.EndKind{graph.EndGangBroken, graph.EndFailed} {
		t.Run(string(other), func(t *testing.T) {
			b := newBed(t)
			job := gangOfTwo()
			first := b.startGang(job)
			b.report(first[0].Worker, nil, ended(first[0], graph.EndFailed))

			row := b.core.jobs[job.ID].progress()
			next := newBed(t)
			next.step(JobSubmitted{Job: job, Progress: &row})
			next.report(first[0].Worker, nil)
			next.report(first[1].Worker, nil, ended(first[1], other))
			if got := next.core.jobs[job.ID].units[0].failures; got != 1 {
				t.Fatalf("%d failures of one run", got)
			}
			next.now += suspectFor + time.Millisecond
			next.report(first[0].Worker, nil)
			next.report(first[1].Worker, nil)
			next.step(Tick{})
			u := next.core.jobs[job.ID].units[0]
			if len(u.members) != 2 {
				t.Fatalf("second attempt has %d members", len(u.members))
			}
			for _, m := range u.members {
				next.report(m.worker.info.ID, nil, graph.RunEnd{Number: 2, Task: m.task, Run: m.run, Kind: graph.EndFailed})
			}
			if v, _ := next.core.JobStatus(job.ID); v.State != graph.Failed {
				t.Fatalf("after two failed runs: %+v", v)
			}
		})
	}
}

// gangOfTwo is a job of one gang that fills two workers and has two attempts.
func gangOfTwo() *graph.Job {
	return &graph.Job{ID: "j0", Queue: "q", Account: "a0", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2, SubmittedAt: time.Unix(0, 0),
		Steps: []graph.Step{{Count: 2, Gang: true, Needs: graph.Resources{MilliCPU: 1000, Accelerators: 8}, Estimate: time.Second}}}
}

// startGang starts a gang on two workers, which list it as running.
func (b *bed) startGang(job *graph.Job) []StartRun {
	b.report("w0", nil)
	b.report("w1", nil)
	out := starts(b.step(JobSubmitted{Job: job}))
	if len(out) != 2 {
		b.t.Fatalf("started %+v", out)
	}
	for _, s := range out {
		b.report(s.Worker, []graph.RunState{{Task: s.Task, Run: s.Run}})
	}
	return out
}

func ended(s StartRun, how graph.EndKind) graph.RunEnd {
	return graph.RunEnd{Number: 1, Task: s.Task, Run: s.Run, Kind: how}
}

// TestOverlappingTermKeepsLeases shows that work on a worker that has not
// reported is taken for running as long as the earlier owner may have granted
// it a lease after this term began.
func TestOverlappingTermKeepsLeases(t *testing.T) {
	const overlap = time.Second
	job := gangOfTwo()
	b := newBed(t)
	b.startGang(job)
	row := b.core.jobs[job.ID].progress()

	next := newBed(t)
	next.core.cfg.TakeoverOverlap = overlap
	next.step(JobSubmitted{Job: job, Progress: &row})
	for _, at := range []time.Duration{simLease + overlap, simLease + overlap + time.Millisecond} {
		next.now = at
		next.step(Tick{})
		running := next.core.jobs[job.ID].units[0].phase == unitPlaced
		if want := at <= simLease+overlap; running != want {
			t.Errorf("at %v: still placed %v, want %v", at, running, want)
		}
	}
}

// TestTermBeginsByListening shows that a new owner neither places work on the
// first worker that reports, while what comes first may need it, nor stops work
// there for a job within a guarantee, while a free worker is about to report; and
// that it does both once the time for it is over.
func TestTermBeginsByListening(t *testing.T) {
	for _, second := range []bool{true, false} {
		before := newBed(t)
		before.report("w0", nil)
		s := starts(before.submit("j0", 8))
		row := before.core.jobs["j0"].progress()
		running := []graph.RunState{{Task: s[0].Task, Run: s[0].Run}}

		b := newTermBed(t)
		b.step(JobSubmitted{Job: before.core.jobs["j0"].Job, Progress: &row})
		claim := *before.core.jobs["j0"].Job
		claim.ID, claim.Account, claim.Priority = "j1", "a0", 0
		b.step(JobSubmitted{Job: &claim})
		actions := b.report("w0", running)
		if second {
			actions = append(actions, b.report("w1", nil)...)
		}
		if len(starts(actions)) > 0 {
			t.Errorf("second worker %v: placed with the first reports: %+v", second, actions)
		}
		b.now += placeDelay
		actions = b.step(Tick{})
		if stops(actions) > 0 || second && len(starts(actions)) != 1 {
			t.Errorf("second worker %v: %+v", second, actions)
		}
		b.now += settleTime
		if n := stops(b.step(Tick{})); second && n > 0 || !second && n != 1 {
			t.Errorf("second worker %v: %d stops after the fleet has settled", second, n)
		}
	}
}

func stops(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(StopRun); ok {
			n++
		}
	}
	return n
}

// TestOrderWithoutOutcomeIsStoppedAgain shows that a start or a stop of whose
// outcome the agent never tells is settled by another stop on the same
// connection, and not before an agent may need that long.
func TestOrderWithoutOutcomeIsStoppedAgain(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		b := newBed(t)
		b.report("w0", nil)
		s := starts(b.submit("j0", 8))
		if stopped {
			b.step(JobCancelled{"j0"})
		}
		var at time.Duration
		for b.now < 3*outcomeLimit && at == 0 {
			b.now += 200 * time.Millisecond
			actions := append(b.report("w0", nil), b.step(Tick{})...)
			if stops(actions) > 0 {
				at = b.now
			}
		}
		if at < outcomeLimit || at > outcomeLimit+time.Second {
			t.Errorf("stopped %v: another stop at %v, started %+v", stopped, at, s)
		}
	}
}

// TestClaimWaitsForSlowStops shows that a claim outlasts the time that the
// deployment's workers may take to stop a run, and is given up after it.
func TestClaimWaitsForSlowStops(t *testing.T) {
	for _, stop := range []time.Duration{0, 400 * time.Millisecond, 1500 * time.Millisecond} {
		b := newBed(t)
		b.core = New(Config{FencingToken: 3, LeaseBound: simLease, TermStart: time.Unix(0, 0), StopTime: stop})
		b.core.hasListened()
		b.step(PolicyChanged{loadPolicy()})
		b.report("w0", nil)
		victim := starts(b.submit("j0", 8))[0]
		claim := *b.core.jobs["j0"].Job
		claim.ID, claim.Account, claim.Priority = "j1", "a0", 0
		b.step(JobSubmitted{Job: &claim})
		u := b.core.jobs["j1"].units[0]
		if u.claim == nil {
			t.Fatalf("stop %v: no claim", stop)
		}
		b.now += max(stop, usualStop) + claimSlack/2
		b.step(Tick{})
		if u.claim == nil {
			t.Errorf("stop %v: claim given up before the stop is overdue", stop)
		}
		if s := starts(b.report("w0", nil, ended(victim, graph.EndStopped))); len(s) != 1 || s[0].Task.Job != "j1" {
			t.Errorf("stop %v: started %+v", stop, s)
		}
	}
}
