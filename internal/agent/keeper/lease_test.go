package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeaseMachine checks that a worker's lease ends before the owner assumes its
// end, which the owner counts from its receipt of the last granted report. Delays,
// suspensions of the agent and the rate of the worker's clock vary.
func TestLeaseMachine(t *testing.T) {
	const length = 6 * time.Second
	bound := time.Duration(float64(length)*(1+2*maxClockDrift)) + 300*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		// True time, the agent's clock (which may be suspended) and the worker's.
		var now, agent, worker time.Duration
		rate := 1 - rapid.Float64Range(0, maxClockDrift).Draw(t, "rate")
		pass := func(d time.Duration, suspended bool) {
			now += d
			worker += time.Duration(float64(d) * rate)
			if !suspended {
				agent += d
			}
		}
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		var l lease
		l.reset(0)
		var deadline, granted time.Duration
		for number := uint64(1); number <= 30; number++ {
			pass(ms("rest", 1500), rapid.IntRange(0, 9).Draw(t, "suspended") == 0)
			if rapid.Bool().Draw(t, "answer") {
				clock := worker
				pass(ms("way back", 400), false)
				l.observeClock(agent, clock)
			}
			l.recordReport(number, agent)
			pass(ms("to the owner", 400), false)
			if rapid.IntRange(0, 3).Draw(t, "granted") > 0 {
				granted = now
				pass(ms("from the owner", 400), false)
				l.applyGrant(number, length)
			}
			deadline = max(deadline, l.takeDeadline())
			// True time at which the worker's clock reaches the deadline.
			end := now + time.Duration(float64(deadline-worker)/rate)
			if deadline > 0 && end > granted+bound {
				t.Fatalf("lease ends at %v, the owner counts until %v", end, granted+bound)
			}
		}
	})
}
