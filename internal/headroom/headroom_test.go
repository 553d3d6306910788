package headroom

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTargetFollowsDemand guards against a target that ignores the demand or the spread,
// or stays when the callers have left.
func TestTargetFollowsDemand(t *testing.T) {
	var l Learner
	if got := l.Target(time.Second, time.Second, 0.4, 8); got != (Target{}) {
		t.Errorf("target %+v without any job", got)
	}
	for i := range 40 {
		now := time.Duration(i) * time.Second
		l.Observe(now, "a", Size{Accelerators: 16, Workers: 2})
		l.Observe(now, "b", Size{Accelerators: 4})
	}
	now := 40 * time.Second
	got := l.Target(now, time.Second, 0.4, 8)
	if got.Accelerators < 20 || got.Accelerators > 35 || got.Workers < 2 {
		t.Errorf("target %+v for 16 and 4 accelerators each second", got)
	}
	if less := l.Target(now, time.Second, -maxSpread, 8); less.Accelerators >= 20 || less.Accelerators < 0 {
		t.Errorf("target %+v with the least spread", less)
	}
	if got := l.Target(now+10*Memory, time.Second, 0.4, 8); got != (Target{}) {
		t.Errorf("target %+v long after the last job", got)
	}
}

// TestSpreadFollowsLosses guards against headroom that grows where a wait for it costs
// nobody anything, or shrinks where nobody waits for the room that is kept open.
func TestSpreadFollowsLosses(t *testing.T) {
	if Spread(0, 0) != -maxSpread || Spread(1, 0) != maxSpread || Spread(1, -5) != maxSpread {
		t.Errorf("spread %v without losses, %v and %v without a loss by idle room", Spread(0, 0), Spread(1, 0), Spread(1, -5))
	}
	if even := Spread(3, 3); even != 0 {
		t.Errorf("spread %v with even losses, want the mean", even)
	}
	for idle := 0.5; idle < 8; idle *= 2 {
		if Spread(1, 2*idle) > Spread(1, idle) || Spread(2, idle) < Spread(1, idle) {
			t.Errorf("spread is not monotonic at a loss of %v by idle room", idle)
		}
	}
}

// TestLearnedStateIsBounded guards against memory that grows with the number of names
// that callers use.
func TestLearnedStateIsBounded(t *testing.T) {
	var l Learner
	for i := range 3 * MaxAccounts {
		l.Observe(time.Duration(i)*time.Millisecond, fmt.Sprint("account", i), Size{Accelerators: 1 + i%7})
	}
	if n := len(l.accounts); n != MaxAccounts {
		t.Errorf("%d accounts, want %d", n, MaxAccounts)
	}
	if n := testing.AllocsPerRun(100, func() { l.Observe(time.Second, l.accounts[3].name, Size{Accelerators: 2}) }); n > 0 {
		t.Errorf("%v allocations for a job of a known account", n)
	}
}

// TestSnapshotRestores guards against learned state that a takeover changes.
func TestSnapshotRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Learner
		now := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "jobs") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			l.Observe(now, fmt.Sprint("a", rapid.IntRange(0, 2).Draw(t, "account")), Size{Accelerators: rapid.IntRange(1, 40).Draw(t, "size")})
		}
		var restored Learner
		if err := restored.Restore(0, time.Second, l.Snapshot(now)); err != nil {
			t.Fatal(err)
		}
		want, got := l.Target(now+time.Second, time.Second, 0.4, 8), restored.Target(0, time.Second, 0.4, 8)
		if want.Accelerators-got.Accelerators > 1 || got.Accelerators-want.Accelerators > 1 {
			t.Fatalf("target %+v, want %+v", got, want)
		}
	})
}

// TestMalformedSnapshotIsRefused guards against a saved row that makes the target
// meaningless, and against one that replaces what was learned.
func TestMalformedSnapshotIsRefused(t *testing.T) {
	var l Learner
	l.Observe(0, "a", Size{Accelerators: 3})
	before := l.Snapshot(0)
	for _, s := range []Snapshot{
		{Accounts: []AccountSnapshot{{Name: "a", Jobs: -1}}},
		{Accounts: []AccountSnapshot{{Jobs: 1}}},
		{Accounts: []AccountSnapshot{{Name: "a", Jobs: 1}, {Name: "a", Jobs: 1}}},
		{Accounts: make([]AccountSnapshot, MaxAccounts+1)},
		{LearnedMillis: -1},
	} {
		if err := l.Restore(0, 0, s); err == nil {
			t.Errorf("restored %+v", s)
		}
	}
	if after := l.Snapshot(0); !reflect.DeepEqual(before, after) {
		t.Errorf("state %+v, was %+v", after, before)
	}
}

// drawWorkers draws a fleet of workers with 8 accelerators.
func drawWorkers(t *rapid.T) []Worker {
	workers := make([]Worker, rapid.IntRange(0, 40).Draw(t, "workers"))
	for i := range workers {
		workers[i] = Worker{Rack: fmt.Sprint(i / 8), Accelerators: 8, Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 0,
			Marked: rapid.IntRange(0, 5).Draw(t, "marked") == 0, Open: rapid.IntRange(0, 8).Draw(t, "open"),
			OpenIn: time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second}
	}
	return workers
}

// TestMarksMeetTargetAndStay guards against headroom on workers that cannot be used or
// beyond the limit, a target that is missed although workers are open, and marks that
// change although nothing else has.
func TestMarksMeetTargetAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		before, canAdd := 0, false
		for _, w := range workers {
			if w.Marked {
				before++
			}
		}
		target := Target{Accelerators: rapid.IntRange(0, 80).Draw(t, "target")}
		Mark(workers, target)
		count, open := 0, 0
		for i, w := range workers {
			if w.Marked && !w.Usable {
				t.Fatalf("worker %d is marked and not usable", i)
			}
			if w.Marked {
				count++
				open += w.Open
			}
			canAdd = canAdd || !w.Marked && w.Usable && w.Open > 0
		}
		if count > max(before, len(workers)/maxFleetDivisor) {
			t.Fatalf("%d of %d workers are marked", count, len(workers))
		}
		if open < target.Accelerators && canAdd && count < len(workers)/maxFleetDivisor {
			t.Fatalf("%d accelerators open, target %d", open, target.Accelerators)
		}
		if Mark(workers, target) {
			t.Fatal("a second choice changed the marks")
		}
	})
}

// TestMarksAreInFewRacks guards against headroom that is scattered, where gangs within
// one rack find no room.
func TestMarksAreInFewRacks(t *testing.T) {
	var workers []Worker
	for i := range 48 {
		workers = append(workers, Worker{Rack: fmt.Sprint(i % 6), Accelerators: 8, Usable: true, Open: 8, OpenIn: time.Duration(i%4) * 100 * time.Millisecond})
	}
	Mark(workers, Target{Accelerators: 48})
	racks := map[string]bool{}
	for _, w := range workers {
		if w.Marked {
			racks[w.Rack] = true
		}
	}
	if len(racks) != 1 {
		t.Errorf("headroom in racks %v", racks)
	}
}

// TestCostGrowsWithStops guards against the same unit being the cheapest victim again
// because it has little unsaved work after each restart.
func TestCostGrowsWithStops(t *testing.T) {
	fresh := Victim{Loss: 30, Cores: 14, Runs: 1}
	stopped := Victim{Loss: 10, Cores: 14, Runs: 1, Stops: 1}
	if fresh.Cost(time.Second) >= stopped.Cost(time.Second) {
		t.Errorf("cost %v of a fresh unit, %v of one that was stopped", fresh.Cost(time.Second), stopped.Cost(time.Second))
	}
}
