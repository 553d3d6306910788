package exec

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// floors stand for the attempts that are no longer remembered. Each is the
// highest stamp of such an attempt, so that an unknown attempt with a later
// stamp is known to be new.
type floors struct {
	// ran covers attempts whose outcome an entry may still ask for.
	ran time.Duration
	// acked covers idempotent attempts whose result was acknowledged.
	acked time.Duration
	// void covers attempts that were answered OutcomeNotRun.
	void time.Duration
}

func newFloors() floors {
	const none = -1
	return floors{ran: none, acked: none, void: none}
}

func (f *floors) mayHaveRun(stamp time.Duration, idempotent bool) bool {
	return stamp <= f.ran || idempotent && stamp <= f.acked
}

func (f *floors) refused(stamp time.Duration) bool { return stamp <= f.void }

func (f *floors) add(r *record) {
	switch {
	case r.state == stateRefused:
		f.void = max(f.void, r.stamp)
	case r.idempotent && r.acked():
		f.acked = max(f.acked, r.stamp)
	default:
		f.ran = max(f.ran, r.stamp)
	}
}

// makeRoom reports whether one more attempt can be remembered.
func (c *Core) makeRoom() bool {
	if len(c.records) < c.cfg.MaxRecords {
		return true
	}
	if c.lastFull == 0 || c.now-c.lastFull >= pressureInterval {
		c.lastFull = c.now
		c.sweep(true)
	}
	return len(c.records) < c.cfg.MaxRecords
}

// refuseUnrecorded answers OutcomeNotRun without remembering the attempt;
// everything up to its stamp is refused from now on.
func (c *Core) refuseUnrecorded(r *record) {
	r.state = stateRefused
	c.floors.add(r)
	c.out = append(c.out, SendResult{
		Entry:   r.waiters[0].entry,
		Ref:     r.ref,
		Outcome: api.OutcomeNotRun,
		Detail:  "too many results are kept",
	})
}

// sweep forgets the attempts whose time is over; under pressure earlier.
func (c *Core) sweep(pressure bool) {
	expired := c.sorted(func(r *record) bool {
		return r.over() && c.now > r.keepUntil(c.cfg.ResultTTL, pressure)
	})
	for _, r := range expired {
		c.floors.add(r)
		c.dropBody(r)
		delete(c.records, r.ref)
	}
	c.ackedBodies = slices.DeleteFunc(c.ackedBodies, func(ref Ref) bool {
		r := c.records[ref]
		return r == nil || !r.hasBody
	})
}

// trimBodies drops bodies of acknowledged results while there are too many bytes.
func (c *Core) trimBodies() {
	for c.bytes > c.cfg.MaxTotalBodyBytes && len(c.ackedBodies) > 0 {
		r := c.records[c.ackedBodies[0]]
		c.ackedBodies = c.ackedBodies[1:]
		if r == nil {
			continue
		}
		r.listed = false
		if r.acked() {
			c.dropBody(r)
		}
	}
}

func (c *Core) dropBody(r *record) {
	if !r.hasBody {
		return
	}
	r.hasBody = false
	c.bytes -= r.size
	c.out = append(c.out, DropBodies{Ref: r.ref})
}
