package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	testJob  = "0000000000000001"
	testTask = testJob + ".0.0.0"
	second   = time.Second
)

// goodRun is the record of one job with a gang of two that was accepted, ran once
// and is known at both entries.
func goodRun() *Record {
	member := func(kind Kind, at time.Duration, index string, end string) Event {
		return Event{Kind: kind, At: at, Job: testJob, Task: testJob + ".0.0." + index, Run: 1<<runNumberBits + 1, Token: 1, Worker: "w" + index, Zone: "z" + index, End: end}
	}
	return &Record{
		Entries:    []string{"e0", "e1"},
		Guarantees: map[string]int{accountGuaranteed: 8},
		Jobs:       map[string]Job{testJob: {ID: testJob, Account: accountGuaranteed, Steps: []standin.TaskStep{{Count: 2, Gang: true, Accelerators: 1}}}},
		Events: []Event{
			{Kind: KindFence, Entry: "e0"},
			{Kind: KindSubmit, Job: testJob, Entry: "e0", Status: 200, At: second, Sent: second},
			member(KindStart, 2*second, "0", ""), member(KindStart, 2*second, "1", ""),
			member(KindEnd, 3*second, "0", "done"), member(KindEnd, 3*second, "1", "done"),
			member(KindNoted, 3*second, "0", "done"), member(KindNoted, 3*second, "1", "done"),
			{Kind: KindHealed, At: 4 * second},
			{Kind: KindServed, Entry: "e0", At: 5 * second}, {Kind: KindServed, Entry: "e1", At: 5 * second},
			{Kind: KindFinal, Job: testJob, Entry: "e0", Status: 200, State: stateCompleted, At: 6 * second},
			{Kind: KindFinal, Job: testJob, Entry: "e1", Status: 200, State: stateCompleted, At: 6 * second},
		},
	}
}

// change returns a copy of the good run with changed events.
func change(edit func(r *Record)) *Record {
	r := goodRun()
	edit(r)
	r.sort()
	return r
}

func (r *Record) with(e ...Event) { r.Events = append(r.Events, e...) }

func (r *Record) drop(match func(Event) bool) { r.Events = slices.DeleteFunc(r.Events, match) }

// giveUpAfterCrashes makes a record of drawn rounds whose job is failed after crashes under a run.
func (r *Record) giveUpAfterCrashes(n int) {
	r.GivenUpAfter = crashesOfGivenUpTask
	r.drop(func(e Event) bool { return e.Kind == KindEnd || e.Kind == KindNoted })
	for i := range n {
		r.with(Event{Kind: KindEnd, At: 3 * second, Job: testJob, Task: testTask, Run: uint64(i), End: "crashed"})
	}
	for i := range r.Events {
		if r.Events[i].Kind == KindFinal {
			r.Events[i].State = stateFailed
		}
	}
}

func start(at time.Duration) Event {
	return Event{Kind: KindStart, At: at, Job: testJob, Task: testTask, Run: 1<<runNumberBits + 2, Token: 1, Worker: "w1", Zone: "z1"}
}

// TestChecksFindViolations guards against a check that never fails: each finds a
// record that breaks its rule.
func TestChecksFindViolations(t *testing.T) {
	cases := []struct {
		check, name string
		record      *Record
	}{
		{"task-once", "twice at once", change(func(r *Record) { r.with(start(2500 * time.Millisecond)) })},
		{"task-once", "after its noted end", change(func(r *Record) { r.with(start(4 * second)) })},
		{"task-once", "after the end of its job", change(func(r *Record) {
			r.drop(func(e Event) bool { return e.Kind == KindNoted })
			r.with(start(7 * second))
		})},
		{"refused-never-runs", "refused", change(func(r *Record) { r.Events[1].Status = 503 })},
		{"one-end", "unknown at an entry", change(func(r *Record) { r.Events[12].Status, r.Events[12].State = statusNoJob, "" })},
		{"one-end", "not asked at an entry", change(func(r *Record) { r.Events = r.Events[:12] })},
		{"one-end", "two ends", change(func(r *Record) { r.Events[12].State = stateCancelled })},
		{"one-end", "completed without a task", change(func(r *Record) { r.Events[5].End = "lapsed" })},
		{"one-end", "failed", change(func(r *Record) { r.Events[11].State, r.Events[12].State = stateFailed, stateFailed })},
		{"one-end", "given up after two crashes", change(func(r *Record) { r.giveUpAfterCrashes(2) })},
		{"gangs-whole", "members of two runs", change(func(r *Record) { r.Events[3].Run++ })},
		{"gangs-whole", "part of the members", change(func(r *Record) { r.Events[5].End = "lapsed" })},
		{"cancel-bound", "start after the bound", change(func(r *Record) {
			r.with(Event{Kind: KindCancel, Job: testJob, Entry: "e0", Status: 200, At: 4 * second}, start(7100*time.Millisecond))
		})},
		{"guarantees-begun", "late start", change(func(r *Record) { r.Events[3].At = 4 * second })},
		{"key-bound", "accepted after the bound", change(func(r *Record) {
			r.with(Event{Kind: KindKeyRemoved, Key: "k", At: second}, Event{Kind: KindPoll, Key: "k", Entry: "e0", Status: 200, Sent: 6100 * time.Millisecond, At: 7 * second})
		})},
		{"versions", "accepted after rejected", change(func(r *Record) {
			r.with(Event{Kind: KindKeyRemoved, Key: "k", At: second}, Event{Kind: KindPoll, Key: "k", Entry: "e0", Status: statusUnauthorized, At: 2 * second},
				Event{Kind: KindPoll, Key: "k", Entry: "e0", Status: 200, Sent: 3 * second, At: 3 * second})
		})},
		{"versions", "rejected after accepted", change(func(r *Record) {
			r.with(Event{Kind: KindPoll, Key: "k", Entry: "e0", Status: 200, At: 2 * second}, Event{Kind: KindPoll, Key: "k", Entry: "e0", Status: statusUnauthorized, Sent: 3 * second, At: 3 * second})
		})},
		{"zone-bound", "start in a zone that is out", change(func(r *Record) { r.with(Event{Kind: KindZoneOut, Zone: "z1"}, start(5100*time.Millisecond)) })},
		{"drain-bound", "start on a draining worker", change(func(r *Record) { r.with(Event{Kind: KindDrain, Worker: "w1"}, start(2100*time.Millisecond)) })},
		{"tokens", "epoch of no term", change(func(r *Record) { r.Events[2].Token = rpc.EpochsPerTerm + 1 })},
		{"tokens", "no epoch", change(func(r *Record) { r.Events[2].Token = 0 })},
		{"tokens", "run of a later epoch of its term", change(func(r *Record) {
			r.with(func() Event { e := start(second); e.Run = 2 << runNumberBits; return e }())
		})},
		{"tokens", "run of no term", change(func(r *Record) {
			r.with(func() Event { e := start(second); e.Run = (rpc.EpochsPerTerm + 1) << runNumberBits; return e }())
		})},
		{"tokens", "token of an earlier term", change(func(r *Record) { r.with(Event{Kind: KindFence, At: second}, start(second+standin.MaxLease+1)) })},
		{"served-again", "not served", change(func(r *Record) { r.drop(func(e Event) bool { return e.Kind == KindServed && e.Entry == "e1" }) })},
		{"at-work", "start after the bound", change(func(r *Record) { r.with(start(31 * second)) })},
		{"served-again", "served late", change(func(r *Record) { r.Events[10].At = 17 * second })},
	}
	for _, c := range cases {
		t.Run(c.check+"/"+c.name, func(t *testing.T) {
			if !slices.ContainsFunc(Check(c.record), func(v Violation) bool { return v.Check == c.check }) {
				t.Errorf("not found; found %v", Check(c.record))
			}
		})
	}
	for _, good := range []*Record{goodRun(), change(func(r *Record) { r.giveUpAfterCrashes(crashesOfGivenUpTask) })} {
		if found := Check(good); len(found) > 0 {
			t.Errorf("good run: %v", found)
		}
	}
}

// TestBoundsDuringFaults guards against a bound that counts the time of a fault as
// usual: only while one is in force may an order be late by a lease.
func TestBoundsDuringFaults(t *testing.T) {
	cancelled := func(extra ...Event) *Record {
		return change(func(r *Record) {
			r.drop(func(e Event) bool { return e.Kind == KindNoted || e.Kind == KindFinal })
			r.with(Event{Kind: KindCancel, Job: testJob, Entry: "e0", Status: 200, At: 4 * second}, start(8*second))
			r.with(extra...)
		})
	}
	broken := func(r *Record) bool {
		return slices.ContainsFunc(Check(r), func(v Violation) bool { return v.Check == "cancel-bound" })
	}
	begin, end := Event{Kind: KindFaultBegin, Fault: "f", At: second}, Event{Kind: KindFaultEnd, Fault: "f", At: 5 * second}
	begin.Planned, end.Planned = true, true
	if !broken(cancelled(begin, end)) {
		t.Error("start after the bound, during a planned fault, is not found")
	}
	begin.Planned, end.Planned = false, false
	if broken(cancelled(begin, end)) {
		t.Error("start within a lease after the bound, during a fault, is taken for a violation")
	}
	end.At = 2 * second
	if !broken(cancelled(begin, end)) {
		t.Error("start after the bound, after the fault, is not found")
	}
	begin.At, end.At = 4*second, 5*second
	if !broken(cancelled(begin, end, start(4*second+standin.CancelBound+standin.MaxLease+1))) {
		t.Error("start more than a lease after the bound is not found")
	}
}

// TestDrainBoundDuringFaultsElsewhere guards against a drain whose bound is longer for
// a fault of another host.
func TestDrainBoundDuringFaultsElsewhere(t *testing.T) {
	for affected, want := range map[string]bool{"worker-1 heartbeats": true, "work of worker-1": true, "worker-2 heartbeats": false, "store": false} {
		r := change(func(r *Record) {
			r.with(Event{Kind: KindDrain, Worker: "worker-1"}, Event{Kind: KindFaultBegin, Fault: "f"}, Event{Kind: KindFaultEnd, Fault: "f", Worker: affected, At: second})
		})
		if got := r.limit(0, standin.DrainBound, ofWorker("worker-1")) > standin.DrainBound; got != want {
			t.Errorf("fault of %q lengthens the bound: %v (want %v)", affected, got, want)
		}
	}
}

// TestPlanDependsOnSeedAlone guards against a schedule that a replay does not repeat.
func TestPlanDependsOnSeedAlone(t *testing.T) {
	a, b, c := planFaults(1, time.Minute), planFaults(1, time.Minute), planFaults(2, time.Minute)
	if !slices.Equal(a, b) || slices.Equal(a, c) {
		t.Errorf("%v\n%v\n%v", a, b, c)
	}
	if a, b, c := drawRounds(1, 2), drawRounds(1, 2), drawRounds(2, 2); !slices.Equal(a, b) || slices.Equal(a, c) {
		t.Errorf("drawn rounds %v\n%v\n%v", a, b, c)
	}
}
