package procs

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// Environment variables with the folders of the binaries of two builds. The
// default is the current build.
const (
	buildBefore = "COLTSFOOT_BUILD_BEFORE"
	buildAfter  = "COLTSFOOT_BUILD_AFTER"
)

// Guards against incompatible builds: every process is replaced, one after the
// other, by one of another build while gangs run, one gang waits and requests
// are executed. Both builds share rows, messages, settings and leases. No work
// may be lost, run twice or restarted.
func TestBuildReplacedUnderWork(t *testing.T) {
	t.Parallel()
	h := harness.New(t)
	h.UseBinaries(os.Getenv(buildBefore))
	entries := []*harness.Entry{h.StartEntry("e1", "z1"), h.StartEntry("e2", "z2")}
	var minions []*harness.Minion
	for _, zone := range []string{"z1", "z2"} {
		minions = append(minions, h.StartMinion("m-"+zone, zone, 4))
		for i := range 2 {
			h.StartWorker(fmt.Sprintf("w-%s-%d", zone, i), zone, "rack-"+zone, accelerators)
		}
	}
	h.WaitReady()
	h.SetProfile(api.Profile{Name: harness.Profile, ClientAccount: "county"})
	gang := harness.Gang(2, accelerators, 16*time.Second, false)
	guaranteed := gang
	guaranteed.Profile = "guaranteed"
	h.SetProfile(api.Profile{Name: "guaranteed", ClientAccount: "clinic", Guarantee: &api.Guarantee{Gangs: 1, Shape: gang.Gang}})
	profiles, err := h.Client().Profiles(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	first := &harness.Request{Tag: "consent", Body: standin.MinionCall{SleepMS: 100}}
	waitForEnd(t, "the first call", startRequest(t, first, h, entries[0]))
	running := submit(t, h, "running", gang, h.Owner())
	promised := submit(t, h, "promised", guaranteed, h.Owner())
	attempts := map[string]uint32{}
	for _, id := range []string{running, promised} {
		attempts[id] = waitRunning(t, h, id, 2).Attempt
	}
	waiting := submit(t, h, "waiting", harness.Gang(2, accelerators, 200*time.Millisecond, true), h.Owner())
	load := h.StartLoad(4, standin.MinionCall{SleepMS: 100, Size: 2000})

	h.UseBinaries(os.Getenv(buildAfter))
	for i, e := range entries {
		entries[i] = h.StartEntry("next-"+e.Name, e.Zone)
		h.WaitReady()
		if err := e.Terminate(); err != nil {
			t.Errorf("stopped entry: %v", err)
		}
	}
	for _, w := range h.Workers() {
		if err := w.Agent.Terminate(); err != nil {
			t.Errorf("stopped agent: %v", err)
		}
		h.StartWorkerAgent(w)
		h.WaitReady()
	}
	for _, m := range minions {
		if err := m.Agent.Terminate(); err != nil {
			t.Errorf("stopped agent: %v", err)
		}
		h.StartMinionAgent(m)
		h.WaitReady()
	}

	again := &harness.Request{Tag: first.Tag, Body: first.Body}
	waitForEnd(t, "the repeated call", startRequest(t, again, h, entries[0]))
	if again.Outcome != api.OutcomeDone || again.Answer.RequestID != first.Answer.RequestID {
		t.Errorf("key %s was answered by execution %q, then %q by %q: %v", first.Tag, first.Answer.RequestID, again.Outcome, again.Answer.RequestID, again.Err)
	}
	if id := submit(t, h, "running", gang, h.Owner()); id != running {
		t.Errorf("the key of job %s was given to job %s", running, id)
	}
	for _, id := range []string{running, promised, waiting} {
		record := h.AwaitJob(id, jobLimit)
		h.CheckJobOutcome(record)
		if record.Outcome != api.OutcomeDone {
			t.Errorf("%s ended %q: %s", record.Job.IdempotencyKey, record.Outcome, record.Detail)
		}
		if before, ran := attempts[id]; ran && record.Attempt != before {
			t.Errorf("%s ran in attempt %d and ended in attempt %d", record.Job.IdempotencyKey, before, record.Attempt)
		}
	}
	requests := load.Stop()
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
	h.CheckAllDone(requests)
	after, err := h.Client().Profiles(t.Context())
	if err != nil || !reflect.DeepEqual(profiles, after) {
		t.Errorf("profiles were %+v and are %+v: %v", profiles, after, err)
	}
}
