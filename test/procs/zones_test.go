package procs

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// inForceLimit bounds the time until a configuration change is in force in all
// processes.
const inForceLimit = 3 * time.Second

// leaveLimit bounds the time for which a leaving endpoint still gets new calls.
const leaveLimit = 2 * time.Second

// putZone sets the state of zone z3 and returns its new version.
func putZone(t *testing.T, e *harness.Entry, h *harness.Harness, state api.ZoneState) uint64 {
	t.Helper()
	zone, err := h.ClientOf(e).PutZone(context.Background(), "z3", state, client.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
	return zone.Version
}

// executionCount returns the number of calls that a minion has started.
func executionCount(m *harness.Minion) int {
	sum := 0
	for _, n := range m.Stats().Executions {
		sum += n
	}
	return sum
}

// checkNoStarts fails the test if the minion starts a call within d.
func checkNoStarts(t *testing.T, m *harness.Minion, d time.Duration) {
	t.Helper()
	before := executionCount(m)
	time.Sleep(d)
	if n := executionCount(m) - before; n > 0 {
		t.Errorf("%s started %d calls that it must not start", m.ID, n)
	}
}

// Guards against starts in a zone that is out: the zone is taken out through one
// entry while the other is cut from the table, under load through both.
func TestZoneOutWhileAnEntryIsCutFromTheTable(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	load := h.StartLoad(8, standin.MinionCall{SleepMS: 5})
	h.Eventually("work in z3", 10*time.Second, func() bool { return executionCount(minions[2]) > 0 })
	entries[0].CutTable(true)
	time.Sleep(time.Second)
	putZone(t, entries[1], h, api.ZoneOut)
	time.Sleep(inForceLimit)
	checkNoStarts(t, minions[2], 2*time.Second)
	entries[0].CutTable(false)
	h.Eventually("the entry that was cut accepts changes", 10*time.Second, func() bool {
		_, err := h.ClientOf(entries[0]).PutZone(context.Background(), "z3", api.ZoneIn, client.AnyVersion)
		return err == nil
	})
	before := executionCount(minions[2])
	h.Eventually("work in z3 again", 10*time.Second, func() bool { return executionCount(minions[2]) > before })
	requests := load.Stop()
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
}

// Guards against a restart that forgets the zone's state: the zone is out when
// the table fails and every entry and agent is killed. Restarted processes must
// run nothing without a configuration, and the zone must still be out when the
// table is back.
func TestZoneStaysOutOverARestartOfEverything(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	h.WaitInForce(putZone(t, entries[0], h, api.ZoneOut), inForceLimit)
	h.Table.Set(standin.FaultSettings{Down: true})
	for _, p := range h.Running() {
		p.Kill()
	}
	before := []int{executionCount(minions[0]), executionCount(minions[1]), executionCount(minions[2])}
	entry := h.StartEntry("e3", "z1")
	for _, m := range minions {
		h.StartMinionAgent(m)
	}
	r := &harness.Request{Tag: "blind", Idempotent: true}
	h.Eventually("an answer without configuration", 20*time.Second, func() bool {
		r = &harness.Request{Tag: "blind", Idempotent: true}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r.Do(ctx, h.ClientOf(entry))
		return r.Outcome != ""
	})
	if r.Outcome != api.OutcomeNotRun {
		t.Errorf("outcome %q without a configuration, want not-run", r.Outcome)
	}
	for i, m := range minions {
		if executionCount(m) != before[i] {
			t.Errorf("%s started calls without a configuration", m.ID)
		}
	}
	h.Table.Set(standin.FaultSettings{})
	h.WaitReady()
	load := h.StartLoad(4, standin.MinionCall{SleepMS: 5})
	h.Eventually("work goes on", 20*time.Second, func() bool { return executionCount(minions[0]) > before[0] })
	checkNoStarts(t, minions[2], 2*time.Second)
	h.CheckOutcomes(load.Stop())
	if executionCount(minions[2]) != before[2] {
		t.Errorf("%s started calls although its zone is out", minions[2].ID)
	}
}

// Guards against starts on an old configuration: the agent of a minion in the
// zone is frozen while the zone is taken out. It resumes with the old version and
// a full queue, and must start nothing.
func TestAgentFrozenOverAZoneChange(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	load := h.StartLoad(8, standin.MinionCall{SleepMS: 5})
	h.Eventually("work in z3", 10*time.Second, func() bool { return executionCount(minions[2]) > 0 })
	minions[2].Agent.Freeze()
	putZone(t, entries[0], h, api.ZoneOut)
	time.Sleep(inForceLimit)
	before := executionCount(minions[2])
	minions[2].Agent.Thaw()
	time.Sleep(2 * time.Second)
	if n := executionCount(minions[2]) - before; n > 0 {
		t.Errorf("%s started %d calls after its agent woke, although its zone is out", minions[2].ID, n)
	}
	requests := load.Stop()
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
}

// Guards against lost calls in a planned stop: a minion's agent is stopped under
// load. After leaveLimit it must get no new calls, and calls in progress must
// finish.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	t.Parallel()
	h, _, minions := requestSystem(t)
	// The calls take longer than the notice that an agent gives before it stops.
	load := h.StartLoad(12, standin.MinionCall{SleepMS: 1500})
	h.Eventually("work in z3", 10*time.Second, func() bool { return executionCount(minions[2]) > 2 })
	exit := make(chan error, 1)
	go func() { exit <- minions[2].Agent.Terminate() }()
	time.Sleep(leaveLimit)
	checkNoStarts(t, minions[2], 2*time.Second)
	if err := <-exit; err != nil {
		t.Errorf("stopped agent: %v", err)
	}
	requests := load.Stop()
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
	h.CheckAllDone(requests)
}
