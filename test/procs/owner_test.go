package procs

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

const (
	accelerators = 8
	// jobLimit bounds the time to the end of a job. After a change of the owner,
	// a second attempt starts only when the old owner's leases have expired.
	jobLimit = 45 * time.Second
)

// gangSystem starts two entries and two zones, each with one rack of two workers.
func gangSystem(t *testing.T) *harness.Harness {
	t.Helper()
	h := harness.New(t)
	h.StartEntry("e1", "z1")
	h.StartEntry("e2", "z2")
	for _, zone := range []string{"z1", "z2"} {
		for i := range 2 {
			h.StartWorker(fmt.Sprintf("w-%s-%d", zone, i), zone, "rack-"+zone, accelerators)
		}
	}
	h.WaitReady()
	h.SetProfile(api.Profile{Name: harness.Profile, ClientAccount: "clinic"})
	h.Owner()
	return h
}

// submit submits a job, repeatedly until it is accepted, and returns its ID.
func submit(t *testing.T, h *harness.Harness, key string, job api.JobRequest, entry *harness.Entry) string {
	t.Helper()
	var record api.JobRecord
	var err error
	h.Eventually(key+" is accepted", 10*time.Second, func() bool {
		record, err = h.Submit(t.Context(), key, job, h.ClientOf(entry))
		return err == nil
	})
	return record.Job.ID
}

// rowContains reports whether a row of the job contains the text.
func rowContains(h *harness.Harness, jobID, text string) bool {
	rows, err := h.Table.Scan(context.Background(), "", "", 0)
	if err != nil {
		return false
	}
	for _, row := range rows {
		if strings.Contains(row.Key, jobID) && strings.Contains(string(row.Value), text) {
			return true
		}
	}
	return false
}

// startStep is a step in the start of a gang. A delay of the table's answers
// leaves time between a write to the table and the moment the owner learns of it.
type startStep struct {
	name        string
	tableFaults standin.FaultSettings
	reached     func(h *harness.Harness, jobID string) bool
}

var startSteps = []startStep{
	{"accepted", standin.FaultSettings{}, func(*harness.Harness, string) bool { return true }},
	{"held", standin.FaultSettings{}, func(h *harness.Harness, _ string) bool { return h.CountAgentGroups("held") > 0 }},
	{"all-held", standin.FaultSettings{}, func(h *harness.Harness, _ string) bool { return h.CountAgentGroups("held") == 2 }},
	{"durable", standin.FaultSettings{AnswerDelayMS: 250}, func(h *harness.Harness, id string) bool {
		return rowContains(h, id, `"state":"running"`)
	}},
	{"started", standin.FaultSettings{}, func(h *harness.Harness, _ string) bool { return len(h.Tasks()) > 0 }},
	{"running", standin.FaultSettings{}, func(h *harness.Harness, _ string) bool { return len(h.Tasks()) == 2 }},
}

// Guards against lost or duplicate work when the owner is killed at any step of
// a gang's start. Messages to the agents are delayed to separate the steps.
func TestOwnerKilledDuringGangStart(t *testing.T) {
	t.Parallel()
	for _, step := range startSteps {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s-%v", step.name, idempotent), func(t *testing.T) {
				t.Parallel()
				checkKilledOwner(t, step, idempotent)
			})
		}
	}
}

func checkKilledOwner(t *testing.T, step startStep, idempotent bool) {
	h := gangSystem(t)
	id := killOwnerAt(t, h, step, idempotent)
	killed := time.Now()
	h.StartEntry("e3", "z1")
	record := h.AwaitJob(id, jobLimit)
	t.Logf("%q at attempt %d, %v after the kill", record.Outcome, record.Attempt, time.Since(killed).Round(10*time.Millisecond))
	h.CheckJobOutcome(record)
	if record.Outcome != api.OutcomeDone && (idempotent || step.name == "running") {
		t.Errorf("job ended %q: %s", record.Outcome, record.Detail)
	}
}

// Guards against a needless unknown outcome: the owner is killed after it has
// stored the attempt's row and before the start. All agents run and can report
// that they started nothing, so the outcome must not be unknown, even if their
// holds expire before there is another owner.
func TestAttemptThatNeverStartedIsNotUnknown(t *testing.T) {
	for name, pause := range map[string]time.Duration{"hold-lives": 0, "hold-lapses": 3500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := gangSystem(t)
			id := killOwnerAt(t, h, startStepNamed(t, "durable"), false)
			if pause > 0 {
				h.OtherEntry(nil).Kill()
				time.Sleep(pause)
			}
			h.StartEntry("e3", "z1")
			record := h.AwaitJob(id, jobLimit)
			t.Logf("%q at attempt %d", record.Outcome, record.Attempt)
			h.CheckJobOutcome(record)
			if record.Outcome == api.OutcomeUnknown && len(h.Tasks()) == 0 {
				t.Errorf("job that no worker has run ended %q: %s", record.Outcome, record.Detail)
			}
		})
	}
}

func startStepNamed(t *testing.T, name string) startStep {
	t.Helper()
	for _, step := range startSteps {
		if step.name == name {
			return step
		}
	}
	t.Fatalf("step %q does not exist", name)
	return startStep{}
}

// killOwnerAt submits a job, kills the owner when the step is reached and
// returns the job's ID.
func killOwnerAt(t *testing.T, h *harness.Harness, step startStep, idempotent bool) string {
	t.Helper()
	owner := h.Owner()
	owner.Relay.SetDelay(60 * time.Millisecond)
	h.Table.Set(step.tableFaults)
	id := submit(t, h, step.name, harness.Gang(2, accelerators, 2*time.Second, idempotent), h.OtherEntry(owner))
	h.Eventually("step "+step.name, 10*time.Second, func() bool { return step.reached(h, id) })
	owner.Kill()
	h.Table.Set(standin.FaultSettings{})
	return id
}

// Guards against a former owner that still acts: the owner is frozen until after
// its lease has expired, while one gang runs and it starts another. It resumes
// when the next owner has started work.
func TestOwnerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	owner := h.Owner()
	other := h.OtherEntry(owner)
	running := submit(t, h, "running", harness.Gang(2, accelerators, 12*time.Second, false), other)
	h.Eventually("the first gang runs", 10*time.Second, func() bool { return len(h.Tasks()) == 2 })
	owner.Relay.SetDelay(40 * time.Millisecond)
	starting := submit(t, h, "starting", harness.Gang(2, accelerators, time.Second, true), other)
	h.Eventually("the second gang is held", 10*time.Second, func() bool { return h.CountAgentGroups("held") > 0 })
	owner.Freeze()
	frozen := time.Now()
	next := h.NewOwner(owner)
	t.Logf("next owner %s after %v", next.Name, time.Since(frozen).Round(10*time.Millisecond))
	queued := submit(t, h, "queued", harness.Gang(1, 2, 200*time.Millisecond, true), next)
	h.Eventually("the next owner starts work", jobLimit, func() bool { return len(h.Tasks()) > 2 })
	owner.Thaw()
	for _, id := range []string{starting, queued, running} {
		record := h.AwaitJob(id, jobLimit)
		t.Logf("%s: %q at attempt %d", record.Job.IdempotencyKey, record.Outcome, record.Attempt)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("%s ended %q: %s", record.Job.IdempotencyKey, record.Outcome, record.Detail)
		}
	}
}

// Guards against state that only entries hold: all entries are killed at once
// and replaced on new addresses, while one gang runs, another waits and a zone
// is out.
func TestEveryEntryReplacedAtOnce(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	entry := h.Owner()
	zone, err := h.ClientOf(entry).PutZone(t.Context(), "z2", api.ZoneOut, client.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
	h.WaitInForce(zone.Version, 5*time.Second)
	running := submit(t, h, "running", harness.Gang(2, accelerators, 6*time.Second, false), entry)
	h.Eventually("the gang runs", 10*time.Second, func() bool { return len(h.Tasks()) == 2 })
	waiting := submit(t, h, "waiting", harness.Gang(2, accelerators, 200*time.Millisecond, true), entry)
	h.OtherEntry(entry).Kill()
	entry.Kill()
	killed := time.Now()
	h.StartEntry("n1", "z1")
	h.StartEntry("n2", "z2")
	h.Owner()
	t.Logf("an owner again after %v", time.Since(killed).Round(10*time.Millisecond))
	for _, id := range []string{running, waiting} {
		record := h.AwaitJob(id, jobLimit)
		t.Logf("%s: %q at attempt %d", record.Job.IdempotencyKey, record.Outcome, record.Attempt)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("%s ended %q: %s", record.Job.IdempotencyKey, record.Outcome, record.Detail)
		}
	}
	h.WaitInForce(zone.Version, 5*time.Second)
	after, err := h.Client().ConfigStatus(t.Context())
	if err != nil || after.Version != zone.Version {
		t.Errorf("configuration version %d became %d: %v", zone.Version, after.Version, err)
	}
	for _, task := range h.Tasks() {
		if strings.HasPrefix(task.Worker, "w-z2") {
			t.Errorf("task %s ran in the zone that is out", task.ID)
		}
	}
}

// Guards against a false outcome when the store goes down and then the owner is
// killed. Whether the running gang survives depends on what the remaining entry
// knows, but its outcome must be correct.
func TestOwnerKilledWhileStoreDown(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	owner := h.Owner()
	id := submit(t, h, "running", harness.Gang(2, 4, outageDuration+4*time.Second, false), owner)
	h.Eventually("the gang runs", 10*time.Second, func() bool { return len(h.Tasks()) == 2 })
	h.Table.Set(standin.FaultSettings{Down: true})
	time.Sleep(time.Second)
	owner.Kill()
	time.Sleep(outageDuration)
	h.Table.Set(standin.FaultSettings{})
	later := submit(t, h, "later", harness.Gang(2, 8, 100*time.Millisecond, true), h.Owner())
	for _, id := range []string{id, later} {
		record := h.AwaitJob(id, jobLimit)
		t.Logf("%s: %q at attempt %d", record.Job.IdempotencyKey, record.Outcome, record.Attempt)
		h.CheckJobOutcome(record)
		if id == later && record.Outcome != api.OutcomeDone {
			t.Errorf("idempotent job ended %q: %s", record.Outcome, record.Detail)
		}
	}
}

// Guards against tasks that are lost with their agent: a worker's agent is
// killed while its gang runs. The next agent process must adopt the tasks before
// their leases expire.
func TestWorkerAgentKilledAndReplaced(t *testing.T) {
	t.Parallel()
	h := gangSystem(t)
	id := submit(t, h, "running", harness.Gang(2, accelerators, 12*time.Second, false), h.Owner())
	h.Eventually("the gang runs", 10*time.Second, func() bool { return len(h.Tasks()) == 2 })
	w := h.WorkerOf(h.Tasks()[0])
	w.Agent.Kill()
	h.StartWorkerAgent(w)
	record := h.AwaitJob(id, jobLimit)
	t.Logf("%q at attempt %d", record.Outcome, record.Attempt)
	h.CheckJobOutcome(record)
	if record.Outcome != api.OutcomeDone {
		t.Errorf("job ended %q: %s", record.Outcome, record.Detail)
	}
}
