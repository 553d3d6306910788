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

// inForceLimit is the bound for a configuration change to be in force everywhere.
const inForceLimit = 3 * time.Second

// leaveLimit is the bound after which a leaving endpoint gets nothing new.
const leaveLimit = 2 * time.Second

// putZone changes zone z3 and returns its new version.
func putZone(t *testing.T, e *harness.Entry, h *harness.Harness, state api.ZoneState) uint64 {
	t.Helper()
	zone, err := h.ClientOf(e).PutZone(context.Background(), "z3", state, client.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
	return zone.Version
}

// executionCount returns how many calls a minion has started.
func executionCount(m *harness.Minion) int {
	sum := 0
	for _, n := range m.Stats().Executions {
		sum += n
	}
	return sum
}

// checkNoStarts fails if the minion starts anything during the given time.
func checkNoStarts(t *testing.T, m *harness.Minion, d time.Duration) {
	t.Helper()
	before := executionCount(m)
	time.Sleep(d)
	if n := executionCount(m) - before; n > 0 {
		t.Errorf("%s started %d calls that it must not start", m.ID, n)
	}
}

// A zone is taken out through one entry while the other is cut from the table;
// load goes through both.
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

// The zone is out when the table fails and every entry and agent is killed:
// what starts again runs nothing without a configuration, and the zone is
// still out when the table is back.
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

// The process that applied the change is frozen over it: it wakes with the old
// version and a full queue, and starts nothing in the zone.
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

// A minion's agent is told to stop under load: it gets nothing new after the
// bound and cuts nothing off.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	t.Parallel()
	h, _, minions := requestSystem(t)
	// The calls last longer than the notice that a stopping agent gives.
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
