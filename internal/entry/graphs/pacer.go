package graphs

import "time"

const (
	// passInterval is the shortest time between two scheduling passes. The ends of a
	// wide gang arrive one by one within a few milliseconds and share a pass.
	passInterval = 5 * time.Millisecond
	// maxPassDelay bounds the time between two passes, for a process that was suspended
	// during the first one. A job within a guarantee may wait for three passes and has to
	// begin within 2.9 s.
	maxPassDelay = 200 * time.Millisecond
)

// passPacer decides when scheduling passes run. A pass serves all events before it, and a
// late owner would otherwise run one for each event. Passes of up to maxPassDelay take at
// most half of the time. It does no I/O and reads no clock.
type passPacer struct {
	endedAt, took time.Duration // of the last pass
}

// wait returns the time until the next pass may start.
func (p *passPacer) wait(now time.Duration, urgent bool) time.Duration {
	delay := min(p.took, maxPassDelay)
	if !urgent {
		delay = max(delay, passInterval)
	}
	return max(0, p.endedAt+delay-now)
}

// record records a pass.
func (p *passPacer) record(startedAt, endedAt time.Duration) {
	p.endedAt, p.took = endedAt, endedAt-startedAt
}
