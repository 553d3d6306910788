package procs

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// requestSystem starts two entries and one minion in each of three zones.
func requestSystem(t *testing.T) (*harness.Harness, []*harness.Entry, []*harness.Minion) {
	t.Helper()
	h := harness.New(t)
	entries := []*harness.Entry{h.StartEntry("e1", "z1"), h.StartEntry("e2", "z2")}
	var minions []*harness.Minion
	for _, zone := range []string{"z1", "z2", "z3"} {
		minions = append(minions, h.StartMinion("m-"+zone, zone, 4))
	}
	h.WaitReady()
	h.SetProfile(api.Profile{Name: harness.Profile, ClientAccount: "county"})
	return h, entries, minions
}

// waitExecuting waits until a minion has started the request with the tag and
// returns that minion.
func waitExecuting(h *harness.Harness, minions []*harness.Minion, tag string) *harness.Minion {
	var found *harness.Minion
	h.Eventually(tag+" is executed", 5*time.Second, func() bool {
		for _, m := range minions {
			if m.Stats().Tags[tag] > 0 {
				found = m
			}
		}
		return found != nil
	})
	return found
}

// startRequest sends a request in the background and returns a channel that is
// closed when the request has ended.
func startRequest(t *testing.T, r *harness.Request, h *harness.Harness, entries ...*harness.Entry) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if len(entries) == 2 {
			r.Do(t.Context(), h.ClientOf(entries[0]), h.ClientOf(entries[1]))
		} else {
			r.Do(t.Context(), h.ClientOf(entries[0]))
		}
	}()
	return done
}

func waitForEnd(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(25 * time.Second):
		t.Fatalf("%s did not end within 25 s", what)
	}
}

// Guards against a lost answer: an entry is killed while its request is executed,
// and the caller repeats the key through the other entry.
func TestEntryKilledInMidRequest(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	r := &harness.Request{Tag: "consent", Body: standin.MinionCall{SleepMS: 1500, Size: 1000}}
	done := startRequest(t, r, h, entries[0], entries[1])
	waitExecuting(h, minions, r.Tag)
	entries[0].Kill()
	waitForEnd(t, "the request", done)
	t.Logf("%q after %d calls and %v: %v", r.Outcome, r.Calls, r.Took, r.Err)
	h.CheckOutcomes([]*harness.Request{r})
	h.CheckAllDone([]*harness.Request{r})
}

// Guards against starts after a permission has expired: an agent is frozen while
// it executes a request, for longer than any permission to start lasts, and
// resumed.
func TestAgentFrozenPastItsPermission(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	running := &harness.Request{Tag: "running", Body: standin.MinionCall{SleepMS: 500}}
	done := startRequest(t, running, h, entries[0])
	minion := waitExecuting(h, minions, running.Tag)
	minion.Agent.Freeze()
	// Some of these go to the frozen agent first, the others to other agents.
	var queued []*harness.Request
	var ends []<-chan struct{}
	for i := range 12 {
		r := &harness.Request{Tag: fmt.Sprintf("queued-%d", i), Idempotent: i%2 == 0, Body: standin.MinionCall{SleepMS: 50}}
		queued = append(queued, r)
		ends = append(ends, startRequest(t, r, h, entries[i%2]))
	}
	time.Sleep(4 * time.Second)
	minion.Agent.Thaw()
	waitForEnd(t, "the running request", done)
	for _, end := range ends {
		waitForEnd(t, "a queued request", end)
	}
	all := append(queued, running)
	t.Log(harness.Summary(all))
	h.CheckOutcomes(all)
	for _, r := range all {
		if r.Idempotent && r.Outcome != api.OutcomeDone {
			t.Errorf("idempotent %s ended %q: %v", r.Tag, r.Outcome, r.Err)
		}
	}
}

// Guards against requests that hang on a stalled connection: the connections
// between the agents and an entry stop forwarding without being closed while a
// request is executed. New connections work.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	r := &harness.Request{Tag: "silent", Body: standin.MinionCall{SleepMS: 1000, Size: 100}}
	done := startRequest(t, r, h, entries[0])
	waitExecuting(h, minions, r.Tag)
	if n := entries[0].Relay.Stall(); n == 0 {
		t.Fatal("no connection to silence")
	}
	waitForEnd(t, "the request", done)
	t.Logf("%q after %v: %v", r.Outcome, r.Took, r.Err)
	h.CheckOutcomes([]*harness.Request{r})
	h.CheckAllDone([]*harness.Request{r})
}

// Guards against requests that fail during a rolling restart: all entries and
// agents are restarted one after the other, under a load of short requests and
// of requests that take longer than the notice of any planned stop.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	load := h.StartLoad(5, standin.MinionCall{SleepMS: 30, Size: 2000})
	long := h.StartLoad(5, standin.MinionCall{SleepMS: 1500, Size: 2000})
	h.Eventually("load", 5*time.Second, func() bool { return load.Count() > 50 && long.Count() > 0 })
	for i, e := range entries {
		next := h.StartEntry(fmt.Sprintf("next-%d", i), e.Zone)
		h.WaitReady()
		if err := e.Terminate(); err != nil {
			t.Error(err)
		}
		entries[i] = next
	}
	for _, m := range minions {
		if err := m.Agent.Terminate(); err != nil {
			t.Error(err)
		}
		h.StartMinionAgent(m)
		h.WaitReady()
	}
	count := load.Count()
	h.Eventually("load goes on", 5*time.Second, func() bool { return load.Count() > count+50 })
	requests := append(load.Stop(), long.Stop()...)
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
	h.CheckAllDone(requests)
}

// Guards against false outcomes when answers are lost: one minion drops a third
// of its answers after it has executed the calls, and the connections between
// agents and entries are cut repeatedly.
func TestLostAnswersAndCutLinks(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	minions[0].Set(standin.FaultSettings{LoseShare: 0.3})
	load := h.StartLoad(6, standin.MinionCall{SleepMS: 40, Size: 5000})
	for i := range 8 {
		time.Sleep(400 * time.Millisecond)
		entries[i%2].Relay.Cut()
	}
	requests := load.Stop()
	t.Log(harness.Summary(requests))
	h.CheckOutcomes(requests)
	for _, r := range requests {
		if r.Idempotent && r.Outcome != api.OutcomeDone {
			t.Errorf("idempotent %s ended %q after %v: %v", r.Tag, r.Outcome, r.Took, r.Err)
		}
	}
}

// Guards against processes that outlive their test: the harness must also end a
// frozen process.
func TestHarnessReapsItsProcesses(t *testing.T) {
	var h *harness.Harness
	var entry *harness.Entry
	t.Run("system", func(t *testing.T) {
		h = harness.New(t)
		entry = h.StartEntry("e1", "z1")
		h.WaitReady()
		entry.Signal(syscall.SIGSTOP)
	})
	if !entry.Exited() {
		t.Fatal("a frozen entry outlived its test")
	}
}
