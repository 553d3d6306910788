package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// TestOutageIsObservedWithoutGaps checks that an outage is reported only if calls
// have failed continuously since the last answer, and not after a pause.
func TestOutageIsObservedWithoutGaps(t *testing.T) {
	sim := &simTime{}
	table := newFakeTable()
	c := New(table, Config{Budgets: map[Cause]Budget{}, Clock: sim.clock, Sleep: sim.sleep})
	read := func() { _, _ = c.Get(context.Background(), CauseConfig, "a") }
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := c.Outage(); got != want {
			t.Errorf("%s: outage of %v, expected %v", what, got, want)
		}
	}
	fail := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; {
			sim.now += time.Second
			read()
		}
	}
	table.down = true
	read()
	expect("before the first answer", 0)
	table.down = false
	sim.now += time.Second
	read()
	expect("after an answer", 0)
	table.down = true
	fail(3 * time.Second)
	expect("after failures", 3*time.Second)
	sim.now += 2 * maxObservationGap
	expect("right after a pause", 0)
	fail(3 * time.Second)
	expect("after failures with a pause between", 0)
	table.down = false
	sim.now += time.Second
	read()
	table.down = true
	fail(2 * time.Second)
	expect("after another answer", 2*time.Second)
}

// pausingTable answers no call and advances the clock by a minute during each call,
// as if the process had been paused.
type pausingTable struct {
	external.Table
	sim *simTime
}

func (s pausingTable) Get(context.Context, ...string) ([]external.Row, error) {
	s.sim.now += time.Minute
	return nil, external.ErrUnavailable
}

// TestPausedCallsTellNothing checks that calls that fail because the process was
// paused do not open the breaker.
func TestPausedCallsTellNothing(t *testing.T) {
	sim := &simTime{}
	c := New(pausingTable{sim: sim}, Config{Budgets: map[Cause]Budget{}, Clock: sim.clock, Sleep: sim.sleep})
	for range 2 * breakerThreshold {
		_, _ = c.Get(context.Background(), CauseConfig, "a")
	}
	if c.BreakerOpen() {
		t.Error("breaker is open")
	}
}
