package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// The phases of the outage run: table available, down, slow with lost answers,
// available again.
const (
	steadyPhase    = 5 * time.Second
	downPhase      = 60 * time.Second
	slowPhase      = 5 * time.Second
	recoveredPhase = 10 * time.Second
	loadCallers    = 8
	jobInterval    = 500 * time.Millisecond
)

// BenchmarkStoreOutage compares the work completed in two runs of the same length:
// one without faults and one in which the table is down for a minute and then slow
// with lost answers.
func BenchmarkStoreOutage(b *testing.B) {
	if !firstRun(b) {
		return
	}
	for _, outage := range []bool{false, true} {
		name := "without"
		if outage {
			name = "outage"
		}
		b.Run(name, func(b *testing.B) {
			if firstRun(b) {
				measureOutage(b, outage)
			}
		})
	}
}

func measureOutage(b *testing.B, outage bool) {
	h := harness.New(b)
	h.StartEntry("e1", "z1")
	h.StartEntry("e2", "z2")
	for _, zone := range []string{"z1", "z2"} {
		h.StartMinion("m-"+zone, zone, 8)
	}
	startWorkers(h, 6)
	h.WaitReady()
	h.SetProfile(profile(harness.Profile, "county"))
	long, err := h.Submit(context.Background(), "long", job(harness.Profile, shape(8, api.AdjacentWorker), downPhase+slowPhase+recoveredPhase), h.Client())
	if err != nil {
		b.Fatal(err)
	}
	load := h.StartLoad(loadCallers, standin.MinionCall{SleepMS: 20})
	ctx, cancel := context.WithCancel(context.Background())
	var jobs jobLoad
	var done sync.WaitGroup
	done.Go(func() { jobs.run(ctx, h) })
	runPhases(h, outage)
	cancel()
	done.Wait()
	requests := load.Stop()
	h.CheckOutcomes(requests)
	jobs.checkCompleted(b, h, append(jobs.accepted, long.Job.ID))
	reportOutage(b, requests, &jobs)
}

// runPhases waits through the phases and, with outage, injects their faults into
// the table.
func runPhases(h *harness.Harness, outage bool) {
	set := func(f standin.FaultSettings) {
		if outage {
			h.Table.Set(f)
		}
	}
	time.Sleep(steadyPhase)
	set(standin.FaultSettings{Down: true})
	time.Sleep(downPhase)
	set(standin.FaultSettings{DelayMS: 200, LoseShare: 0.1})
	time.Sleep(slowPhase)
	set(standin.FaultSettings{})
	time.Sleep(recoveredPhase)
}

// jobLoad submits small gangs one after the other, with a pause of jobInterval.
type jobLoad struct {
	accepted []string
	refused  int
}

func (l *jobLoad) run(ctx context.Context, h *harness.Harness) {
	for n := 0; ctx.Err() == nil; n++ {
		r, err := h.Client().SubmitJob(context.Background(), job(harness.Profile, shape(2, api.AdjacentRack), 200*time.Millisecond), fmt.Sprintf("job-%d", n))
		if err == nil {
			l.accepted = append(l.accepted, r.Job.ID)
		} else {
			l.refused++
		}
		time.Sleep(jobInterval)
	}
}

// checkCompleted checks that each job ends with the outcome done.
func (l *jobLoad) checkCompleted(b *testing.B, h *harness.Harness, ids []string) {
	for _, id := range ids {
		record := h.AwaitJob(id, time.Minute)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			b.Errorf("job %s ended %q: %s", id, record.Outcome, record.Detail)
		}
	}
}

// reportOutage reports the requests by kind and outcome, and the jobs.
func reportOutage(b *testing.B, requests []*harness.Request, jobs *jobLoad) {
	counts := map[string]int{}
	for _, r := range requests {
		kind := "keyed"
		if r.Idempotent {
			kind = "idempotent"
		}
		counts[kind+"-"+string(r.Outcome)]++
	}
	for name, n := range counts {
		b.ReportMetric(float64(n), name)
	}
	b.ReportMetric(float64(len(jobs.accepted)), "jobs-done")
	b.ReportMetric(float64(jobs.refused), "jobs-refused")
}
