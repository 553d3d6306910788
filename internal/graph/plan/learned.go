package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/learned"
)

// Learned returns what the core has learned, for the next owner. Parts of features that
// are off are missing.
func (c *Core) Learned() learned.State {
	var s learned.State
	if c.learnsRunTimes() {
		times := c.RunTimes()
		s.RunTimes = &times
	}
	if c.speeds.on {
		speeds := c.SaveSpeeds()
		s.Speeds = &speeds
	}
	if c.hasHeadroom() {
		demand := c.HeadroomSnapshot()
		s.Demand = &demand
	}
	for _, priority := range slices.Sorted(maps.Keys(c.requeueWaits)) {
		s.Waits = append(s.Waits, learned.Wait{Priority: priority, Millis: c.requeueWaits[priority].Milliseconds()})
	}
	return s
}

// Restore restores what an earlier owner has learned, saved age ago, and returns the
// parts that were not restored because they are malformed. It is called before the jobs
// of a term are added. Parts of features that are off are ignored.
func (c *Core) Restore(s learned.State, age time.Duration) []learned.Finding {
	var findings []learned.Finding
	check := func(part learned.Part, err error) {
		if err != nil {
			findings = append(findings, learned.Finding{Part: part, Err: err})
		}
	}
	if s.RunTimes != nil && c.learnsRunTimes() {
		check(learned.PartRunTimes, c.RestoreRunTimes(*s.RunTimes))
	}
	if s.Speeds != nil && c.speeds.on {
		check(learned.PartSpeeds, c.RestoreSpeeds(*s.Speeds, age))
	}
	if s.Demand != nil && c.hasHeadroom() {
		check(learned.PartDemand, c.RestoreHeadroom(*s.Demand, age))
	}
	check(learned.PartWaits, c.restoreWaits(s.Waits))
	return findings
}

func (c *Core) restoreWaits(waits []learned.Wait) error {
	if err := learned.ValidateWaits(waits); err != nil {
		return err
	}
	for _, w := range waits {
		c.requeueWaits[w.Priority] = w.Duration()
	}
	return nil
}
