package procs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// Guards against a false not-run: the table goes down after a request has been
// executed through one entry, and the caller, which has lost that entry, repeats
// the key at the other one. The other entry can't know of the execution, so it
// must not answer not-run.
func TestSameKeyWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	first := &harness.Request{Tag: "consent", Body: standin.MinionCall{SleepMS: 300}}
	done := startRequest(t, first, h, entries[0])
	waitExecuting(h, minions, first.Tag)
	waitForEnd(t, "the first call", done)
	h.Table.Set(standin.FaultSettings{Down: true})
	again := &harness.Request{Tag: first.Tag, Body: first.Body}
	waitForEnd(t, "the second call", startRequest(t, again, h, entries[1]))
	t.Logf("first %q, again %q: %v", first.Outcome, again.Outcome, again.Err)
	if again.Outcome == api.OutcomeNotRun {
		t.Errorf("%s is answered not-run although it has run", again.Tag)
	}
	h.Table.Set(standin.FaultSettings{})
	h.Eventually("the answer, once the table is back", 20*time.Second, func() bool {
		last := &harness.Request{Tag: first.Tag, Body: first.Body}
		waitForEnd(t, "a further call", startRequest(t, last, h, entries[1]))
		return last.Outcome == api.OutcomeDone && last.Answer.RequestID == first.Answer.RequestID
	})
	h.CheckOutcomes([]*harness.Request{first})
}

// Guards against a false not-run: an entry with a full queue refuses a key whose
// request has been executed through another entry. The refusal must not be
// not-run.
func TestSameKeyAtAFullEntry(t *testing.T) {
	t.Parallel()
	h, entries, minions := requestSystem(t)
	h.SetProfile(api.Profile{Name: harness.Profile, ClientAccount: "county", MaxQueue: 1})
	first := &harness.Request{Tag: "consent", Body: standin.MinionCall{SleepMS: 100}}
	waitForEnd(t, "the first call", startRequest(t, first, h, entries[0]))
	var done sync.WaitGroup
	stop := make(chan struct{})
	for n := range 40 {
		done.Go(func() { flood(t, h, entries[1], n, stop) })
	}
	h.Eventually("all slots in use", 15*time.Second, func() bool {
		sum := 0
		for _, m := range minions {
			sum += m.Stats().InUse
		}
		return sum == 12
	})
	for range 20 {
		again := &harness.Request{Tag: first.Tag, Body: first.Body}
		waitForEnd(t, "the second call", startRequest(t, again, h, entries[1]))
		if again.Outcome == api.OutcomeNotRun {
			t.Errorf("%s is answered not-run although it has run: %v", again.Tag, again.Err)
		}
	}
	close(stop)
	done.Wait()
}

// flood sends requests to an entry until stop is closed.
func flood(t *testing.T, h *harness.Harness, e *harness.Entry, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		r := &harness.Request{Tag: fmt.Sprintf("flood-%d-%d", caller, n), Idempotent: true, Body: standin.MinionCall{SleepMS: 1000}}
		r.Do(t.Context(), h.ClientOf(e))
		if r.Took > 12*time.Second {
			t.Errorf("%s took %v: %q %v", r.Tag, r.Took, r.Outcome, r.Err)
		}
		if r.Outcome != api.OutcomeDone {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
