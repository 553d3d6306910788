package plan

import "time"

// promptStart is the longest time from the order of a start to the first news of its run by
// which the run counts as begun at once. Sound workers answer within milliseconds, and agents
// report each 600 ms.
const promptStart = time.Second

// noteBegun handles the first news that a member has begun. If a start took long, as calls got
// no answer, the work began at an unknown time: that of a gang with the last of its members.
// The progress of the run then counts from now on only.
func (c *Core) noteBegun(m *member) {
	if m.begun || m.recovered {
		return
	}
	m.begun = true
	if c.now-m.startedAt <= promptStart {
		return
	}
	for _, o := range m.unit.members {
		o.startedAfresh = false
		o.firstPercent, o.firstListedAt, o.lastProgressAt = o.percent, c.now, c.now
	}
}
