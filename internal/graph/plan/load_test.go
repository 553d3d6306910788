package plan

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// class is a kind of job of a load.
type class struct {
	name     string
	priority int
	perSec   float64
	work     time.Duration
	spread   float64
	most     time.Duration
	width    float64 // tasks, mean
	maxWidth int
	needs    graph.Resources
	gpus     []int
	gang     float64 // share of the steps
	sameRack float64 // share of the gangs
	saves    float64
	off      float64 // of the estimates
	stretch  float64
	aim      time.Duration
	attempts int
	failing  float64
	worth    float64
	late     float64
	cancel   float64
}

// assessments is the load of the tree assessments on a busy day: long surveys,
// short conflict reports that come first, and wide bundles of evidence.
func assessments() []class {
	return []class{
		{"survey", 1, 0.36, 8500 * time.Millisecond, 0.3, 11 * time.Second, 1.5, 9, graph.Resources{MilliCPU: 52000, MemoryMB: 110000}, []int{1, 2, 4, 8, 8}, 0.5, 0.6, 0.45, 0.9, 3, time.Second, 2, 0.02, 3, 0.3, 0.05},
		{"conflict", 0, 0.264, 2500 * time.Millisecond, 0.5, 8 * time.Second, 3.4, 21, graph.Resources{MilliCPU: 15000, MemoryMB: 31000}, []int{1, 2, 4, 8, 8}, 0.5, 0.8, 0, 0.2, 1.5, 250 * time.Millisecond, 3, 0.02, 4, 0.2, 0},
		{"evidence", 2, 0.217, 6100 * time.Millisecond, 0.3, 11 * time.Second, 9.2, 55, graph.Resources{MilliCPU: 11000, MemoryMB: 23000}, []int{1}, 0, 0, 0.45, 0.2, 3, 3 * time.Second, 4, 0.05, 1, 0.3, 0.15},
	}
}

func loadPolicy() *policy.Snapshot {
	p := &policy.Snapshot{Version: 1, ZonesOut: map[string]bool{}}
	for i, g := range []int{18, 15, 12, 10} {
		p.Accounts = append(p.Accounts, policy.ClientAccount{Name: fmt.Sprintf("a%d", i), GuaranteedAccelerators: g})
	}
	return p
}

func lognormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(r.NormFloat64()*spread-spread*spread/2)
}

// draw draws a job of a class.
func (c *class) draw(r *rand.Rand, n int) *simJob {
	j := &simJob{Job: &graph.Job{ID: graph.JobID(fmt.Sprintf("j%04d", n)), Queue: c.name, Account: fmt.Sprintf("a%d", int(r.Float64()*r.Float64()*4)),
		Pool: "pool", Spec: fmt.Sprint("spec", n), Priority: c.priority, MaxAttempts: c.attempts, Stretch: c.stretch, Allowance: c.aim}, units: map[int][]*simUnit{}}
	steps := 1
	if c.priority == 2 && r.Float64() < 0.3 {
		steps = 2
	}
	size := 0.0
	for i := range steps {
		size += c.drawStep(r, j, i)
	}
	mean := c.work.Seconds() * c.width * (c.needs.Cores() + acceleratorMean(c.gpus)*8)
	j.worth, j.late = c.worth*min(4, 0.3+0.7*size/mean), c.late
	return j
}

func acceleratorMean(gpus []int) float64 {
	sum := 0
	for _, g := range gpus {
		sum += g
	}
	return float64(sum) / float64(len(gpus))
}

func (c *class) drawStep(r *rand.Rand, j *simJob, i int) float64 {
	work := min(time.Duration(lognormal(r, float64(c.work), c.spread)), c.most)
	s := graph.Step{Count: max(1, min(c.maxWidth, int(lognormal(r, c.width, 0.8)+0.5))), Needs: c.needs}
	s.Needs.Accelerators = c.gpus[r.Intn(len(c.gpus))]
	s.Estimate = time.Duration(float64(work) * math.Exp(r.NormFloat64()*c.off))
	s.Checkpointable = r.Float64() < c.saves
	if s.Count > 1 && r.Float64() < c.gang && s.Count*s.Needs.Accelerators <= 16 {
		s.Gang = true
		s.SameRack = r.Float64() < c.sameRack
	}
	if i > 0 {
		s.After = []int{i - 1}
	}
	j.Steps = append(j.Steps, s)
	step := &j.Job.Steps[i]
	units, members := s.Count, 1
	if s.Gang {
		units, members = 1, s.Count
	}
	for range units {
		u := &simUnit{job: j, begun: map[int]bool{}, work: time.Duration(float64(work) * (1 + 0.15*(2*r.Float64()-1))), members: members}
		if r.Float64() < c.failing {
			u.fails = 1
		}
		j.units[i] = append(j.units[i], u)
	}
	// A wide step runs in waves where it takes more than a quarter of the fleet.
	waves := math.Max(1, float64(s.Count*max(s.Needs.Accelerators, 1))/22)
	j.truth += time.Duration(float64(work) * waves)
	_ = step
	return work.Seconds() * float64(s.Count) * s.Needs.Cores()
}

// fix points the units at the steps once no more are appended.
func (j *simJob) fix() {
	for i, units := range j.units {
		for _, u := range units {
			u.step = &j.Steps[i]
		}
	}
}

// arrival is a job with its time.
type arrival struct {
	at  time.Duration
	job *simJob
}

// arrivals draws a load of some seconds with a burst of the first priority.
func arrivals(r *rand.Rand, classes []class, seconds int, factor float64) []arrival {
	var out []arrival
	n := 0
	for ms := 0; ms < seconds*1000; ms += 10 {
		for i := range classes {
			c := &classes[i]
			rate := c.perSec * factor
			if c.priority == 0 && ms > 4000 && ms < 10000 {
				rate *= 2.3
			}
			if r.Float64() < rate/100 {
				j := c.draw(r, n)
				j.fix()
				n++
				out = append(out, arrival{time.Duration(ms) * time.Millisecond, j})
			}
		}
	}
	return out
}

// play plays a load until all jobs are final, or for long enough.
func (s *sim) play(load []arrival, cancels *rand.Rand, share map[string]float64) {
	type leaving struct {
		at time.Duration
		j  *simJob
	}
	var leave []leaving
	s.runUntil(time.Second)
	begin := s.now
	for _, a := range load {
		s.runUntil(begin + a.at)
		for _, l := range leave {
			if l.at <= s.now && l.j.cancelled == 0 && l.j.final == "" {
				s.cancel(l.j)
			}
		}
		s.submit(a.job)
		if cancels.Float64() < share[a.job.Queue] {
			leave = append(leave, leaving{s.now + time.Duration(cancels.Intn(8000))*time.Millisecond, a.job})
		}
	}
	for limit := s.now + 3*time.Minute; s.now < limit && !s.finished(); {
		s.runUntil(s.now + time.Second)
	}
}

func (s *sim) finished() bool {
	for _, j := range s.jobs {
		if j.final == "" {
			return false
		}
	}
	return true
}

var assessmentWorker = graph.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}

// playAssessments plays a busy day of 34 seconds.
func playAssessments(t testing.TB, seed int64, factor float64) *sim {
	r := rand.New(rand.NewSource(seed))
	s := newSim(11, assessmentWorker, loadPolicy(), func(f string, args ...any) { t.Helper(); t.Errorf(f, args...) })
	load := arrivals(r, assessments(), 34, factor)
	s.play(load, r, map[string]float64{"survey": 0.05, "evidence": 0.15})
	return s
}

// TestAssessmentLoad plays busy days without faults. Every job has to get its
// answer, nothing may start against the promises, no start may be refused for
// want of room, and nearly all of the worth has to be earned.
func TestAssessmentLoad(t *testing.T) {
	var sum float64
	const days = 20
	for seed := range int64(days) {
		s := playAssessments(t, seed, 0.8)
		for _, j := range s.jobs {
			if j.final == "" {
				t.Errorf("seed %d: %s has no answer", seed, j.ID)
			}
		}
		if s.rejected > 0 {
			t.Errorf("seed %d: %d starts were refused for want of room", seed, s.rejected)
		}
		res := s.result()
		t.Logf("seed %d: %d jobs, worth %.3f, %d in aim, %d late, %d missed, wasted %.0f core-s, p50 %v p95 %v",
			seed, len(s.jobs), res.worth, res.inAim, res.late, res.missed, res.wasted, res.p50, res.p95)
		sum += res.worth
	}
	t.Logf("mean worth %.4f", sum/days)
	if sum/days < 0.95 {
		t.Errorf("mean worth %.3f is below 0.95", sum/days)
	}
}

// reclaimBound is within which the first step of a job of the first priority
// within its account's guarantee has to have begun, after its acceptance.
const reclaimBound = 2900 * time.Millisecond

// TestReclaimInTime plays overloaded days on which the workers are full of
// other accounts' work, and checks the bound for all jobs within a guarantee.
func TestReclaimInTime(t *testing.T) {
	within := 0
	for seed := range int64(30) {
		s := playAssessments(t, 3000+seed, 2.2)
		for _, j := range s.jobs {
			if !j.claims || j.cancelled > 0 && j.cancelled < j.submitted+reclaimBound {
				continue
			}
			within++
			if j.begunAt == 0 || j.begunAt > j.submitted+reclaimBound {
				t.Errorf("seed %d: %s of %s, %d accelerators, began %v after its submission", seed, j.ID, j.Account, j.widest(), j.begunAt-j.submitted)
			}
		}
	}
	t.Logf("%d jobs within guarantees", within)
	if within < 30 {
		t.Errorf("only %d jobs lay within guarantees", within)
	}
}

// TestHeavyLoad plays days on which more is asked for than fits. Work of the
// first priority has to take room where nothing is lost by it: without that, at
// twice the usual load, a twentieth of the worth is missed.
func TestHeavyLoad(t *testing.T) {
	for _, day := range []struct{ factor, least float64 }{{1.2, 0.95}, {2.2, 0.85}} {
		var worth, net, wasted float64
		late, missed := 0, 0
		const days = 30
		factor := day.factor
		for seed := range int64(days) {
			s := playAssessments(t, 1000+seed, factor)
			r := s.result()
			worth += r.worth / days
			net += r.net / days
			wasted += r.wasted / days
			late += r.late
			missed += r.missed
		}
		t.Logf("load %.1f: worth %.4f, net %.4f, %d late, %d missed, wasted %.0f core-s a day", factor, worth, net, late, missed, wasted)
		if worth < day.least {
			t.Errorf("load %.1f: mean worth %.3f is below %.2f", factor, worth, day.least)
		}
	}
}
