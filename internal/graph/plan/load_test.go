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

// class describes the distribution of one kind of job in a load.
type class struct {
	name            string
	priority        int
	ratePerSec      float64
	meanWork        time.Duration
	workSpread      float64
	maxWork         time.Duration
	meanTasks       float64
	maxTasks        int
	needs           graph.Resources
	accelerators    []int
	gangShare       float64 // fraction of the steps
	sameRackShare   float64 // fraction of the gangs
	checkpointShare float64
	estimateSpread  float64 // log-normal sigma of the estimates' error
	stretch         float64
	allowance       time.Duration
	maxAttempts     int
	failureShare    float64
	value           float64
	lateFraction    float64
	cancelShare     float64
}

// assessments returns the job classes of a busy day of tree assessments: long
// surveys, short conflict reports of priority 0, and wide bundles of evidence.
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

// draw generates a job of a class.
func (c *class) draw(r *rand.Rand, n int) *simJob {
	j := &simJob{Job: &graph.Job{ID: graph.JobID(fmt.Sprintf("j%04d", n)), Queue: c.name, Account: fmt.Sprintf("a%d", int(r.Float64()*r.Float64()*4)),
		Pool: "pool", Spec: fmt.Sprint("spec", n), Priority: c.priority, MaxAttempts: c.maxAttempts, Stretch: c.stretch, Allowance: c.allowance}, units: map[int][]*simUnit{}}
	steps := 1
	if c.priority == 2 && r.Float64() < 0.3 {
		steps = 2
	}
	size := 0.0
	for i := range steps {
		size += c.drawStep(r, j, i)
	}
	mean := c.meanWork.Seconds() * c.meanTasks * (c.needs.Cores() + meanAccelerators(c.accelerators)*8)
	j.value, j.lateFraction = c.value*min(4, 0.3+0.7*size/mean), c.lateFraction
	return j
}

func meanAccelerators(choices []int) float64 {
	sum := 0
	for _, g := range choices {
		sum += g
	}
	return float64(sum) / float64(len(choices))
}

func (c *class) drawStep(r *rand.Rand, j *simJob, i int) float64 {
	work := min(time.Duration(lognormal(r, float64(c.meanWork), c.workSpread)), c.maxWork)
	s := graph.Step{Count: max(1, min(c.maxTasks, int(lognormal(r, c.meanTasks, 0.8)+0.5))), Needs: c.needs}
	s.Needs.Accelerators = c.accelerators[r.Intn(len(c.accelerators))]
	s.Estimate = time.Duration(float64(work) * math.Exp(r.NormFloat64()*c.estimateSpread))
	s.Checkpointable = r.Float64() < c.checkpointShare
	if s.Count > 1 && r.Float64() < c.gangShare && s.Count*s.Needs.Accelerators <= 16 {
		s.Gang = true
		s.SameRack = r.Float64() < c.sameRackShare
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
		u := &simUnit{job: j, startedTasks: map[int]bool{}, work: time.Duration(float64(work) * (1 + 0.15*(2*r.Float64()-1))), memberCount: members}
		if r.Float64() < c.failureShare {
			u.failuresLeft = 1
		}
		j.units[i] = append(j.units[i], u)
	}
	// A step that needs more than a quarter of the fleet runs in several waves.
	waves := math.Max(1, float64(s.Count*max(s.Needs.Accelerators, 1))/22)
	j.trueDuration += time.Duration(float64(work) * waves)
	_ = step
	return work.Seconds() * float64(s.Count) * s.Needs.Cores()
}

// linkSteps sets the step pointers of the units. It is called after the last append
// to Steps, which may move the slice.
func (j *simJob) linkSteps() {
	for i, units := range j.units {
		for _, u := range units {
			u.step = &j.Steps[i]
		}
	}
}

// arrival is a job with its submission time.
type arrival struct {
	at  time.Duration
	job *simJob
}

// arrivals generates a load of the given seconds with a burst of jobs of priority 0.
func arrivals(r *rand.Rand, classes []class, seconds int, factor float64) []arrival {
	var out []arrival
	n := 0
	for ms := 0; ms < seconds*1000; ms += 10 {
		for i := range classes {
			c := &classes[i]
			rate := c.ratePerSec * factor
			if c.priority == 0 && ms > 4000 && ms < 10000 {
				rate *= 2.3
			}
			if r.Float64() < rate/100 {
				j := c.draw(r, n)
				j.linkSteps()
				n++
				out = append(out, arrival{time.Duration(ms) * time.Millisecond, j})
			}
		}
	}
	return out
}

// play submits a load and runs until all jobs are final or a time limit is reached.
func (s *sim) play(load []arrival, cancels *rand.Rand, cancelShare map[string]float64) {
	type cancellation struct {
		at  time.Duration
		job *simJob
	}
	var cancellations []cancellation
	s.runUntil(time.Second)
	begin := s.now
	for _, a := range load {
		s.runUntil(begin + a.at)
		for _, l := range cancellations {
			if l.at <= s.now && l.job.cancelled == 0 && l.job.final == "" {
				s.cancel(l.job)
			}
		}
		s.submit(a.job)
		if cancels.Float64() < cancelShare[a.job.Queue] {
			cancellations = append(cancellations, cancellation{s.now + time.Duration(cancels.Intn(8000))*time.Millisecond, a.job})
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

// playAssessments simulates a busy day compressed into 34 seconds.
func playAssessments(t testing.TB, seed int64, factor float64) *sim {
	r := rand.New(rand.NewSource(seed))
	s := newSim(11, assessmentWorker, loadPolicy(), func(f string, args ...any) { t.Helper(); t.Errorf(f, args...) })
	load := arrivals(r, assessments(), 34, factor)
	s.play(load, r, map[string]float64{"survey": 0.05, "evidence": 0.15})
	return s
}

// TestAssessmentLoad simulates busy days without faults. Every job must become
// final, no start may violate an invariant or be refused for lack of resources, and
// nearly all of the value must be earned.
func TestAssessmentLoad(t *testing.T) {
	var sum float64
	const days = 20
	for seed := range int64(days) {
		s := playAssessments(t, seed, 0.8)
		for _, j := range s.jobs {
			if j.final == "" {
				t.Errorf("seed %d: %s did not become final", seed, j.ID)
			}
		}
		if s.rejected > 0 {
			t.Errorf("seed %d: %d starts were refused for lack of resources", seed, s.rejected)
		}
		res := s.result()
		t.Logf("seed %d: %d jobs, value %.3f, %d on time, %d late, %d missed, wasted %.0f core-s, p50 %v p95 %v",
			seed, len(s.jobs), res.value, res.onTime, res.late, res.missed, res.wasted, res.p50, res.p95)
		sum += res.value
	}
	t.Logf("mean value %.4f", sum/days)
	if sum/days < 0.95 {
		t.Errorf("mean value %.3f is below 0.95", sum/days)
	}
}

// reclaimLimit is the time from submission within which the first step of a job of
// priority 0 within its account's guarantee must have started.
const reclaimLimit = 2900 * time.Millisecond

// TestGuaranteedJobsStartInTime simulates overloaded days on which the workers are
// full of other accounts' jobs, and checks reclaimLimit for all jobs within a
// guarantee.
func TestGuaranteedJobsStartInTime(t *testing.T) {
	within := 0
	for seed := range int64(30) {
		s := playAssessments(t, 3000+seed, 2.2)
		for _, j := range s.jobs {
			if !j.withinGuarantee || j.cancelled > 0 && j.cancelled < j.submitted+reclaimLimit {
				continue
			}
			within++
			if j.firstStepStartedAt == 0 || j.firstStepStartedAt > j.submitted+reclaimLimit {
				t.Errorf("seed %d: %s of %s, %d accelerators, began %v after its submission", seed, j.ID, j.Account, j.maxAccelerators(), j.firstStepStartedAt-j.submitted)
			}
		}
	}
	t.Logf("%d jobs within guarantees", within)
	if within < 30 {
		t.Errorf("only %d jobs were within guarantees", within)
	}
}

// TestHeavyLoad simulates days with more demand than capacity. Jobs of priority 0
// must preempt others where nothing is lost by it. Without preemption, a twentieth
// of the value is lost at twice the usual load.
func TestHeavyLoad(t *testing.T) {
	for _, day := range []struct{ factor, least float64 }{{1.2, 0.95}, {2.2, 0.85}} {
		var value, net, wasted float64
		late, missed := 0, 0
		const days = 30
		factor := day.factor
		for seed := range int64(days) {
			s := playAssessments(t, 1000+seed, factor)
			r := s.result()
			value += r.value / days
			net += r.net / days
			wasted += r.wasted / days
			late += r.late
			missed += r.missed
		}
		t.Logf("load %.1f: value %.4f, net %.4f, %d late, %d missed, wasted %.0f core-s a day", factor, value, net, late, missed, wasted)
		if value < day.least {
			t.Errorf("load %.1f: mean value %.3f is below %.2f", factor, value, day.least)
		}
	}
}
