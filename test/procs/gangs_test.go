package procs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// urgentStartLimit bounds the time until a gang runs on urgent or reclaimed capacity.
const urgentStartLimit = 3600 * time.Millisecond

// waitRunning waits until the job runs with the given number of tasks and
// returns its record.
func waitRunning(t *testing.T, h *harness.Harness, id string, tasks int) api.JobRecord {
	t.Helper()
	var record api.JobRecord
	h.Eventually("job "+id+" runs", 15*time.Second, func() bool {
		var err error
		record, err = h.Client().Job(context.Background(), id, 0)
		return err == nil && record.State == api.JobRunning && h.RunningTasks(id) == tasks
	})
	return record
}

// Guards against an agent restart that ends its running tasks: the agents of
// all workers are stopped or killed, one after the other, and restarted while a
// gang runs. The tasks must continue in the same attempt.
func TestWorkerAgentsRestartedUnderAGang(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	id := submit(t, h, "long", harness.Gang(2, accelerators, 9*time.Second, false), h.Owner())
	before := waitRunning(t, h, id, 2)
	for i, w := range h.Workers() {
		if i%2 == 0 {
			w.Agent.Kill()
		} else if err := w.Agent.Terminate(); err != nil {
			t.Errorf("stopped agent: %v", err)
		}
		h.StartWorkerAgent(w)
		h.WaitReady()
	}
	record := h.AwaitJob(id, jobLimit)
	h.CheckJobOutcome(record)
	if record.Outcome != api.OutcomeDone || record.Attempt != before.Attempt {
		t.Errorf("job ended %q in attempt %d, it ran in attempt %d: %s", record.Outcome, record.Attempt, before.Attempt, record.Detail)
	}
}

// Guards against overlapping attempts: the agent of one worker of a gang is
// frozen until after the gang's lease has expired. The gang must run again
// without overlap, and the agent must start nothing when it resumes.
func TestWorkerAgentFrozenPastTheGangsLease(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	id := submit(t, h, "moved", harness.Gang(2, accelerators, 14*time.Second, true), h.Owner())
	before := waitRunning(t, h, id, 2)
	frozen := h.Worker(before.Placements[0].Worker)
	frozen.Agent.Freeze()
	h.Eventually("another attempt", 30*time.Second, func() bool {
		record, err := h.Client().Job(context.Background(), id, 0)
		return err == nil && record.State == api.JobRunning && record.Attempt > before.Attempt
	})
	frozen.Agent.Thaw()
	record := h.AwaitJob(id, jobLimit)
	h.CheckJobOutcome(record)
	if record.Outcome != api.OutcomeDone {
		t.Errorf("job ended %q: %s", record.Outcome, record.Detail)
	}
}

// Guards against slow reclaims of guaranteed capacity: preemptible jobs use all
// accelerators, and the account with the guarantee repeatedly submits a gang of
// its guaranteed shape.
func TestGuaranteedShapeIsReclaimedInTime(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	shape := harness.Gang(2, accelerators, 300*time.Millisecond, true)
	h.SetProfile(api.Profile{Name: "lent", ClientAccount: "other", Preemptible: true})
	h.SetProfile(api.Profile{
		Name: "guaranteed", ClientAccount: "clinic", Urgent: true,
		Guarantee: &api.Guarantee{Gangs: 1, Shape: shape.Gang},
	})
	for n := range 32 {
		filler := harness.Gang(1, 1, time.Hour, true)
		filler.Profile, filler.Checkpointable = "lent", true
		submit(t, h, fmt.Sprintf("fill-%d", n), filler, h.Owner())
	}
	h.Eventually("all accelerators in use", 15*time.Second, func() bool { return h.AllRunningTasks() == 32 })
	shape.Profile = "guaranteed"
	for n := range 5 {
		began := time.Now()
		id := submit(t, h, fmt.Sprintf("claim-%d", n), shape, h.Owner())
		h.Eventually("the guaranteed gang runs", urgentStartLimit, func() bool { return h.RunningTasks(id) == 2 })
		t.Logf("claim %d runs after %v", n, time.Since(began).Round(time.Millisecond))
		record := h.AwaitJob(id, jobLimit)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("claim %d ended %q: %s", n, record.Outcome, record.Detail)
		}
		h.Eventually("lent again", 15*time.Second, func() bool { return h.AllRunningTasks() == 32 })
	}
}

// Guards against tasks that start in a zone that is out: the zone is taken out
// while gangs run and wait. After inForceLimit no task may start there, and its
// gangs must continue in the other zone.
func TestZoneOutMovesGangs(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	first := harness.Gang(2, 4, 4*time.Second, true)
	first.Checkpointable = true
	var ids []string
	for n := range 6 {
		ids = append(ids, submit(t, h, fmt.Sprintf("gang-%d", n), first, h.Owner()))
	}
	h.Eventually("work in both zones", 15*time.Second, func() bool { return h.AllRunningTasks() == 8 })
	if _, err := h.Client().PutZone(context.Background(), "z2", api.ZoneOut, client.AnyVersion); err != nil {
		t.Fatal(err)
	}
	out := time.Now()
	for _, id := range ids {
		record := h.AwaitJob(id, jobLimit)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("job %s ended %q: %s", id, record.Outcome, record.Detail)
		}
	}
	for _, task := range h.Tasks() {
		if h.Worker(task.Worker).Zone == "z2" && task.Started.After(out.Add(inForceLimit)) {
			t.Errorf("task %s started in z2 %v after it was taken out", task.ID, task.Started.Sub(out))
		}
	}
}

// Guards against cancelled jobs that delay others: one account cancels many
// jobs, most of them queued. The job of another account behind them in the
// queue must end within 10 s.
func TestCancellationWave(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	h.SetProfile(api.Profile{Name: "other", ClientAccount: "other"})
	var wave []string
	for n := range 60 {
		wave = append(wave, submit(t, h, fmt.Sprintf("wave-%d", n), harness.Gang(2, accelerators, time.Minute, true), h.Owner()))
	}
	h.Eventually("the first gangs run", 15*time.Second, func() bool { return h.AllRunningTasks() == 4 })
	behind := harness.Gang(2, accelerators, 100*time.Millisecond, true)
	behind.Profile = "other"
	id := submit(t, h, "behind", behind, h.Owner())
	for _, job := range wave {
		if _, err := h.Client().CancelJob(context.Background(), job); err != nil {
			t.Errorf("cancel of %s: %v", job, err)
		}
	}
	record := h.AwaitJob(id, 10*time.Second)
	h.CheckJobOutcome(record)
	if record.Outcome != api.OutcomeDone {
		t.Errorf("job behind the wave ended %q: %s", record.Outcome, record.Detail)
	}
	for _, job := range wave {
		record := h.AwaitJob(job, jobLimit)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeCancelled {
			t.Errorf("cancelled job %s ended %q: %s", job, record.Outcome, record.Detail)
		}
	}
}

// Guards against jobs that fail because of a faulty worker: one worker fails
// every task that it starts. All jobs must end done on the other workers.
func TestWorkerThatFailsEveryTask(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	broken := h.Workers()[0]
	broken.Set(standin.FaultSettings{FailTasks: "accelerator fell off the bus"})
	var ids []string
	for n := range 12 {
		ids = append(ids, submit(t, h, fmt.Sprintf("job-%d", n), harness.Gang(1, accelerators, 200*time.Millisecond, true), h.Owner()))
	}
	for _, id := range ids {
		record := h.AwaitJob(id, jobLimit)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("job %s ended %q: %s", id, record.Outcome, record.Detail)
		}
	}
	t.Logf("%s started %d tasks", broken.ID, len(broken.Executions()))
}
