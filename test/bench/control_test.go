package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/test/process"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

const (
	fleetWorkers  = 60
	zoneChanges   = 40
	takeovers     = 5
	urgentJobs    = 40
	idleDuration  = 10 * time.Second
	inForceTarget = 3 * time.Second
)

// BenchmarkInForce measures the time from the acceptance of a configuration change
// until three entries and sixty agents report that it is in force.
func BenchmarkInForce(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h := harness.New(b)
	for i := range 3 {
		h.StartEntry(fmt.Sprintf("e%d", i+1), fmt.Sprintf("z%d", i+1))
	}
	startWorkers(h, fleetWorkers)
	h.WaitReady()
	h.SetProfile(profile(harness.Profile, "county"))
	l := newLatencies()
	states := []api.ZoneState{api.ZoneOut, api.ZoneIn}
	for n := range zoneChanges {
		zone, err := h.Client().PutZone(context.Background(), "z2", states[n%2], client.AnyVersion)
		if err != nil {
			b.Fatal(err)
		}
		l.record(h.WaitInForce(zone.Version, 2*inForceTarget))
	}
	l.report(b, "in-force")
}

// BenchmarkTakeover measures the time from the kill of the owner until the next
// owner has started a gang.
func BenchmarkTakeover(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h := harness.New(b)
	h.StartEntry("e0", "z1")
	h.StartEntry("e1", "z2")
	startWorkers(h, 9)
	h.WaitReady()
	h.SetProfile(profile("batch", "clinic"))
	l := newLatencies()
	for n := range takeovers {
		warmUp, err := h.Client().SubmitJob(context.Background(), job("batch", shape(4, api.AdjacentRack), time.Millisecond), "")
		if err != nil {
			b.Fatal(err)
		}
		awaitJobState(b, h.Client(), warmUp.Job.ID, api.JobFinal, 20*time.Second)
		h.Owner().Kill()
		began := time.Now()
		submitted := submitUntilAccepted(b, h, n)
		awaitJobState(b, h.Client(), submitted, api.JobRunning, 60*time.Second)
		l.record(time.Since(began))
		h.StartEntry(fmt.Sprintf("e%d", n+2), "z1")
		h.WaitReady()
	}
	l.report(b, "takeover")
}

// submitUntilAccepted retries a submission under one idempotency key until an entry
// accepts it and returns the job's ID.
func submitUntilAccepted(b *testing.B, h *harness.Harness, n int) string {
	b.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		r, err := h.Client().SubmitJob(context.Background(), job("batch", shape(4, api.AdjacentRack), time.Second), fmt.Sprintf("takeover-%d", n))
		if err == nil {
			return r.Job.ID
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("no entry accepts a job")
	return ""
}

// BenchmarkUrgentStart measures the time from the submission of an urgent gang
// until it runs while preemptible jobs occupy all accelerators.
func BenchmarkUrgentStart(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h := harness.New(b)
	h.StartEntry("e1", "z1")
	h.StartEntry("e2", "z2")
	startWorkers(h, 9)
	h.WaitReady()
	h.SetProfile(api.Profile{Name: "fill", ClientAccount: "other", Preemptible: true})
	h.SetProfile(api.Profile{
		Name: "urgent", ClientAccount: "clinic", Urgent: true,
		Guarantee: &api.Guarantee{Gangs: 1, Shape: shape(16, api.AdjacentRack)},
	})
	c := h.Client()
	for n := range 72 {
		if _, err := c.SubmitJob(context.Background(), job("fill", shape(1, api.AdjacentWorker), time.Hour), fmt.Sprintf("fill-%d", n)); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	l := newLatencies()
	for n := range urgentJobs {
		began := time.Now()
		r, err := c.SubmitJob(context.Background(), job("urgent", shape(16, api.AdjacentRack), 50*time.Millisecond), fmt.Sprintf("urgent-%d", n))
		if err != nil {
			b.Fatal(err)
		}
		awaitJobState(b, c, r.Job.ID, api.JobRunning, 30*time.Second)
		l.record(time.Since(began))
		awaitJobState(b, c, r.Job.ID, api.JobFinal, 30*time.Second)
	}
	l.report(b, "urgent-start")
}

// BenchmarkNodeCost measures the CPU, memory and network use of a worker's agent
// and of three entries, without work and with tasks running.
func BenchmarkNodeCost(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h := harness.New(b)
	var entries []*harness.Entry
	for i := range 3 {
		entries = append(entries, h.StartEntry(fmt.Sprintf("e%d", i+1), fmt.Sprintf("z%d", i+1)))
	}
	startWorkers(h, fleetWorkers)
	h.WaitReady()
	h.SetProfile(profile("batch", "clinic"))
	measureNodes(b, h, entries, "rest")
	c := h.Client()
	for n := range fleetWorkers {
		if _, err := c.SubmitJob(context.Background(), job("batch", shape(7, api.AdjacentWorker), time.Hour), fmt.Sprintf("run-%d", n)); err != nil {
			b.Fatal(err)
		}
	}
	h.Eventually("all tasks run", 30*time.Second, func() bool { return len(h.Tasks()) >= 7*fleetWorkers })
	measureNodes(b, h, entries, "tasks")
}

// measureNodes measures the processes for idleDuration and reports the mean CPU and
// traffic of an agent, the CPU of the busiest entry and the maximum memory of both.
func measureNodes(b *testing.B, h *harness.Harness, entries []*harness.Entry, name string) {
	before := processUsages(b, h)
	bytes := relayedBytes(entries)
	time.Sleep(idleDuration)
	after := processUsages(b, h)
	perNode := float64(relayedBytes(entries)-bytes) / fleetWorkers / idleDuration.Seconds()
	var agentCPU, entryCPU, agentRSS, entryRSS float64
	for p, u := range after {
		cpu := (u.CPU - before[p].CPU).Seconds() / idleDuration.Seconds() * 100
		if harness.IsEntry(p) {
			entryCPU = max(entryCPU, cpu)
			entryRSS = max(entryRSS, float64(u.RSSBytes)/1e6)
			continue
		}
		agentCPU += cpu / fleetWorkers
		agentRSS = max(agentRSS, float64(u.RSSBytes)/1e6)
	}
	b.ReportMetric(agentCPU, name+"-agent-core%")
	b.ReportMetric(agentRSS, name+"-agent-max-MB")
	b.ReportMetric(perNode, name+"-agent-B/s")
	b.ReportMetric(entryCPU, name+"-entry-core%")
	b.ReportMetric(entryRSS, name+"-entry-MB")
}

// processUsages returns the resource usage of each running process.
func processUsages(b *testing.B, h *harness.Harness) map[*harness.Process]process.Usage {
	b.Helper()
	out := map[*harness.Process]process.Usage{}
	for _, p := range h.Running() {
		u, err := p.Usage()
		if err != nil {
			b.Fatal(err)
		}
		out[p] = u
	}
	return out
}

// relayedBytes returns the number of bytes that passed the relays of the entries.
func relayedBytes(entries []*harness.Entry) int64 {
	var sum int64
	for _, e := range entries {
		sum += e.Relay.Bytes()
	}
	return sum
}
