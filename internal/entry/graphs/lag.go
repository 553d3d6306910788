package graphs

import (
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// lagThreshold is the wait of an event at which the term counts as behind. Decisions by
	// reports that old are about runs that have ended.
	lagThreshold = 500 * time.Millisecond
	// lagLogInterval is the least time between two log lines about lag.
	lagLogInterval = time.Second
)

// lagMonitor records how far a term is behind its inputs: how long events wait for
// the core and how long scheduling passes take.
type lagMonitor struct {
	clock    func() time.Duration
	registry metrics.Registry
	log      zerolog.Logger

	waiting atomic.Int64 // events that wait for the core

	// The term's lock guards what follows.
	lastLogAt time.Duration
	longest   lagSample // since the last log line
	passes    int
	events    int
}

// lagSample holds the longest times since the last log line.
type lagSample struct {
	wait time.Duration
	pass time.Duration
}

// arrive records that an event waits for the core from now on. It returns the time.
func (m *lagMonitor) arrive() time.Duration {
	m.waiting.Add(1)
	return m.clock()
}

// leave records that an event waits no longer, without being handled.
func (m *lagMonitor) leave() { m.waiting.Add(-1) }

// admit records that an event that arrived at the given time is being handled.
func (m *lagMonitor) admit(arrivedAt time.Duration) {
	m.waiting.Add(-1)
	wait := m.clock() - arrivedAt
	metrics.GetOrRegisterTimer("plan.event_wait", m.registry).Update(wait)
	m.events++
	m.longest.wait = max(m.longest.wait, wait)
	m.report()
}

// recordPass records a scheduling pass.
func (m *lagMonitor) recordPass(took time.Duration) {
	metrics.GetOrRegisterTimer("plan.pass", m.registry).Update(took)
	m.passes++
	m.longest.pass = max(m.longest.pass, took)
}

// report logs the lag if the term is behind.
func (m *lagMonitor) report() {
	now := m.clock()
	if m.longest.wait < lagThreshold || now-m.lastLogAt < lagLogInterval {
		return
	}
	m.log.Warn().Dur("wait_ms", m.longest.wait).Dur("pass_ms", m.longest.pass).Int("events", m.events).Int("passes", m.passes).
		Int64("waiting", m.waiting.Load()).Dur("since_ms", now-m.lastLogAt).Msg("scheduling is behind its inputs")
	m.lastLogAt, m.longest, m.passes, m.events = now, lagSample{}, 0, 0
}
