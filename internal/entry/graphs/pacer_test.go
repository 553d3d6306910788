package graphs

import (
	"fmt"
	"testing"
	"time"
)

// TestPassesLeaveTimeForEvents guards against an owner whose inputs wait ever longer, as each of them costs a scheduling pass.
func TestPassesLeaveTimeForEvents(t *testing.T) {
	const (
		eventTime     = 500 * time.Microsecond
		eventInterval = 2 * time.Millisecond // a quarter of the time without passes
		duration      = 30 * time.Second
		bound         = time.Second // half of the age at which the core ignores a report
	)
	for _, passTime := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, urgentEvery := range []int{0, 50, 1} {
			t.Run(fmt.Sprintf("pass of %v, urgent event %d", passTime, urgentEvery), func(t *testing.T) {
				var pacer passPacer
				now, arrival, longest := time.Duration(0), time.Duration(0), time.Duration(0)
				for n := 1; now < duration; n++ {
					now = max(now, arrival)
					longest = max(longest, now-arrival)
					now += eventTime
					arrival += eventInterval
					if pacer.wait(now, urgentEvery > 0 && n%urgentEvery == 0) <= 0 {
						pacer.record(now, now+passTime)
						now += passTime
					}
				}
				if longest > bound {
					t.Errorf("an event waits for %v, want at most %v", longest, bound)
				}
			})
		}
	}
}

// TestPassFollowsSoon guards against a pace that delays passes of an owner that is not busy.
func TestPassFollowsSoon(t *testing.T) {
	var pacer passPacer
	const end = 10*time.Second + time.Millisecond
	pacer.record(10*time.Second, end)
	if wait := pacer.wait(end, false); wait > passInterval {
		t.Errorf("next pass after %v, want at most %v", wait, passInterval)
	}
	if wait := pacer.wait(end, true); wait > time.Millisecond {
		t.Errorf("next urgent pass after %v, want no more than the last pass took", wait)
	}
	if wait := pacer.wait(end+passInterval, false); wait != 0 {
		t.Errorf("next pass after %v, want at once", wait)
	}
}
