package plan

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// The load of guest reply drafting: urgent gangs of whole workers among long and short
// work of lower priorities. Estimates are off by a log-normal factor, workers differ in
// speed, and a stop takes up to 0.9 s.
const (
	draftWorkers        = 51
	draftWorkersPerRack = 8
	draftZones          = 3
	draftAccounts       = 10
	draftGuaranteed     = 0.62
	draftSeconds        = 34
	draftStopTime       = 900 * time.Millisecond
	draftStopSpread     = 600 * time.Millisecond // by which a stop may be shorter
	draftCheckpoints    = 2 * time.Second
	draftRestoreTime    = 600 * time.Millisecond
)

var draftWorker = graph.Resources{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 8}

// draftClasses returns the queues: complaints of priority 0, bulk gangs and tone checks.
func draftClasses() []class {
	return []class{
		{"bulk", 1, 0.67, 8500 * time.Millisecond, 0.3, 11 * time.Second, 5.3, 32, graph.Resources{MilliCPU: 26000, MemoryMB: 140000}, []int{1, 2, 4, 8, 8}, 1, 0.6, 0.45, 0.5, 3, time.Second, 3, 0.02, 3, 0.3, 0.05},
		{"complaint", 0, 0.92, 2500 * time.Millisecond, 0.5, 8 * time.Second, 5.4, 32, graph.Resources{MilliCPU: 7500, MemoryMB: 22000}, []int{1, 2, 4, 8, 8}, 1, 0.8, 0, 0.9, 1.5, 250 * time.Millisecond, 2, 0.02, 4, 0.2, 0},
		{"tone", 2, 0.33, 6100 * time.Millisecond, 0.3, 11 * time.Second, 39, 230, graph.Resources{MilliCPU: 5600, MemoryMB: 16000}, []int{1}, 0, 0, 0.45, 0.5, 3, 3 * time.Second, 4, 0.05, 1, 0.3, 0.15},
	}
}

// draftSpeeds are the speeds of the workers.
var draftSpeeds = []float64{0.8, 1, 1.25}

// draftFault is what happens to the fleet during a load.
type draftFault string

const (
	draftCalm    draftFault = "calm"
	draftZoneOut draftFault = "a zone out and workers withdrawn"
	draftPower   draftFault = "everything lost"
	draftBroken  draftFault = "members that fail"
)

// draftFaultAt is when the fault strikes, after the start of the load.
const draftFaultAt = 14 * time.Second

func draftPolicy() *policy.Snapshot {
	p := &policy.Snapshot{Version: 1, ZonesOut: map[string]bool{}}
	for i := range draftAccounts {
		p.Accounts = append(p.Accounts, policy.ClientAccount{Name: fmt.Sprintf("a%d", i),
			GuaranteedAccelerators: int(draftGuaranteed * draftWorkers * float64(draftWorker.Accelerators) / draftAccounts)})
	}
	return p
}

func newDraftSim(t testing.TB, features ...feature.Feature) *sim {
	s := newSim(draftWorkers, draftWorker, draftPolicy(), func(f string, args ...any) { t.Helper(); t.Errorf(f, args...) }, features...)
	s.joinPasses = true
	s.stopTime, s.checkpointInterval, s.restoreTime = draftStopTime, draftCheckpoints, draftRestoreTime
	s.stopSpread, s.stopDraws = draftStopSpread, rand.New(rand.NewSource(1))
	s.coreStopTime, s.core.cfg.StopTime = draftStopTime, draftStopTime
	for i, w := range s.workers {
		zone, n := i%draftZones, i/draftZones
		w.info.Zone, w.info.Rack = fmt.Sprintf("z%d", zone), fmt.Sprintf("r%d-%d", zone, n/draftWorkersPerRack)
		w.speed = draftSpeeds[n%len(draftSpeeds)]
	}
	return s
}

// draftArrivals draws a load, at a multiple of the usual one.
func draftArrivals(r *rand.Rand, load float64, fault draftFault) []arrival {
	jobs := arrivals(r, draftClasses(), draftSeconds, load)
	for _, a := range jobs {
		fitDraft(r, a.job, fault)
	}
	return jobs
}

// fitDraft adapts a drawn job: gangs are as wide as a rack allows or spread, and tasks
// of one step differ by 15 %.
func fitDraft(r *rand.Rand, j *simJob, fault draftFault) {
	j.Account = fmt.Sprintf("a%d", r.Intn(draftAccounts))
	j.trueDuration = 0
	for i := range j.Steps {
		s := &j.Steps[i]
		work := j.units[i][0].work
		if j.Priority < 2 && s.Count > 1 && !s.Gang {
			s.Count = max(2, min(s.Count, draftWorkers*draftWorker.Accelerators/4/s.Needs.Accelerators))
			s.Gang, s.SameRack = true, s.Count*s.Needs.Accelerators <= draftWorkersPerRack*draftWorker.Accelerators && r.Float64() < 0.7
			j.units[i] = []*simUnit{{job: j, startedTasks: map[int]bool{}, memberCount: s.Count, failuresLeft: j.units[i][0].failuresLeft}}
		}
		if fault == draftBroken && j.Priority == 0 && r.Float64() < 0.2 {
			j.units[i][0].failuresLeft = 1
		}
		for _, u := range j.units[i] {
			u.work = work
			if !s.Gang {
				u.work = time.Duration(float64(work) * (0.85 + 0.3*r.Float64()))
			}
		}
		waves := max(1, float64(s.Count*s.Needs.Accelerators)/float64(draftWorkers*draftWorker.Accelerators/4))
		// A run that fails by the job's own fault belongs to its chain of work.
		j.trueDuration += time.Duration(float64(work) * waves * float64(1+j.units[i][0].failuresLeft))
	}
	j.linkSteps()
}

// playDraft simulates a load with a fault.
func playDraft(t testing.TB, seed int64, load float64, fault draftFault, features ...feature.Feature) *sim {
	r := rand.New(rand.NewSource(seed))
	s := newDraftSim(t, features...)
	jobs := draftArrivals(r, load, fault)
	struck := false
	for i, a := range jobs {
		if !struck && a.at >= draftFaultAt {
			struck = true
			s.playDraftPart(r, jobs[:i], 0)
			s.strike(r, fault)
			s.playDraftPart(r, jobs[i:], draftFaultAt)
		}
	}
	for limit := s.now + 3*time.Minute; s.now < limit && !s.finished(); {
		s.runUntil(s.now + time.Second)
	}
	return s
}

// playDraftPart submits a part of a load that begins at the given time of the load.
func (s *sim) playDraftPart(r *rand.Rand, jobs []arrival, from time.Duration) {
	if from == 0 {
		s.runUntil(simStart)
	}
	for _, a := range jobs {
		s.runUntil(max(s.now, simStart+a.at))
		s.submit(a.job)
		if a.job.Queue == "tone" && r.Float64() < 0.15 {
			s.cancel(a.job)
		}
	}
}

// strike applies a fault.
func (s *sim) strike(r *rand.Rand, fault draftFault) {
	s.runUntil(max(s.now, simStart+draftFaultAt))
	switch fault {
	case draftZoneOut:
		out := &policy.Snapshot{Version: 2, Accounts: s.policy.Accounts, ZonesOut: map[string]bool{"z0": true}}
		s.step(PolicyChanged{out})
		s.runUntil(s.now + 2*simStep) // starts in transit
		s.policy = out
		for _, w := range s.workers {
			if w.info.Zone != "z0" && r.Float64() < 0.14 {
				w.info.Draining, w.info.DrainRemaining, w.reportNow = true, 5*time.Second, true
			}
		}
	case draftPower:
		for _, w := range s.workers {
			s.loseRuns(w)
			s.restart(w)
			w.partitioned = true
		}
		s.runUntil(s.now + 1200*time.Millisecond)
		s.takeOver()
		for _, w := range s.workers {
			w.partitioned = false
			w.nextReportAt = s.now + 300*time.Millisecond + time.Duration(r.Intn(1500))*time.Millisecond
		}
	}
}

// draftLoad is the multiple of the usual load that is played.
const draftLoad = 0.9

// draftSeeds is the number of simulated days for each fault. Thirty take a minute.
var draftSeeds = flag.Int64("draft-seeds", 4, "simulated days for each fault of TestUrgentGangs")

// draftDays plays the days of a fault and adds up what callers got, by queue, and the
// core-seconds that were discarded a day.
func draftDays(t *testing.T, fault draftFault, features ...feature.Feature) (queues map[string]queueResult, discarded float64) {
	queues = map[string]queueResult{}
	for seed := range *draftSeeds {
		s := playDraft(t, 9000+seed, draftLoad, fault, features...)
		for _, j := range s.jobs {
			if j.cancelled == 0 {
				q := queues[j.Queue]
				q.add(j)
				queues[j.Queue] = q
			}
		}
		discarded += s.wasted / float64(*draftSeeds)
	}
	for _, c := range draftClasses() {
		q := queues[c.name]
		t.Logf("features %v: %s %.4f of the value; %d jobs, %d in time, %d late, %d missed", features, c.name, q.share(), q.all, q.inTime, q.late, q.missed)
	}
	t.Logf("features %v: %.0f core-s discarded a day", features, discarded)
	return queues, discarded
}

// TestUrgentGangs guards against urgent gangs that are late because all room is taken by
// work that can wait. It compares what callers get with and without headroom and learned
// run times: urgent ones must get more, and all together not less.
func TestUrgentGangs(t *testing.T) {
	for _, fault := range []draftFault{draftCalm, draftZoneOut, draftPower, draftBroken} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			before, _ := draftDays(t, fault, feature.WorkerSpeeds)
			after, _ := draftDays(t, fault, feature.WorkerSpeeds, feature.LearnedRunTimes, feature.ClaimHeadroom)
			if urgent := "complaint"; after[urgent].share() <= before[urgent].share() {
				t.Errorf("complaints get %.4f of their value, %.4f without", after[urgent].share(), before[urgent].share())
			}
			if got, want := allShare(after), allShare(before); got < want-classTolerance {
				t.Errorf("all callers get %.4f of their value, %.4f without", got, want)
			}
		})
	}
}

// allShare returns the share of the value that the callers of all queues got together.
func allShare(queues map[string]queueResult) float64 {
	var all queueResult
	for _, q := range queues {
		all.owed += q.owed
		all.earned += q.earned
	}
	return all.share()
}
