package exec

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// watermarks stand for the attempts that are no longer remembered. Each is the
// highest stamp of such an attempt, so that an unknown attempt with a later
// stamp is known to be new.
type watermarks struct {
	// ranStamp covers attempts whose outcome an entry may still ask for.
	ranStamp time.Duration
	// ackedStamp covers idempotent attempts whose result was acknowledged.
	ackedStamp time.Duration
	// refusedStamp covers attempts that were answered OutcomeNotRun.
	refusedStamp time.Duration
}

func newWatermarks() watermarks {
	const none = -1
	return watermarks{ranStamp: none, ackedStamp: none, refusedStamp: none}
}

func (w *watermarks) mayHaveRun(stamp time.Duration, idempotent bool) bool {
	return stamp <= w.ranStamp || idempotent && stamp <= w.ackedStamp
}

func (w *watermarks) mayHaveBeenRefused(stamp time.Duration) bool { return stamp <= w.refusedStamp }

func (w *watermarks) raise(r *record) {
	switch {
	case r.state == stateRefused:
		w.refusedStamp = max(w.refusedStamp, r.stamp)
	case r.idempotent && r.firstWaiterAcked():
		w.ackedStamp = max(w.ackedStamp, r.stamp)
	default:
		w.ranStamp = max(w.ranStamp, r.stamp)
	}
}

// makeRoom reports whether one more attempt can be remembered.
func (c *Core) makeRoom() bool {
	if len(c.records) < c.cfg.MaxRecords {
		return true
	}
	if c.lastPressureSweep == 0 || c.now-c.lastPressureSweep >= pressureInterval {
		c.lastPressureSweep = c.now
		c.sweep(true)
	}
	return len(c.records) < c.cfg.MaxRecords
}

// refuseUnrecorded answers OutcomeNotRun without remembering the attempt;
// everything up to its stamp is refused from now on.
func (c *Core) refuseUnrecorded(r *record) {
	r.state = stateRefused
	c.watermarks.raise(r)
	c.actions = append(c.actions, SendResult{
		Entry:   r.waiters[0].entry,
		Ref:     r.ref,
		Outcome: api.OutcomeNotRun,
		Detail:  "too many results are kept",
	})
}

// sweep forgets the attempts whose time is over; under pressure earlier.
func (c *Core) sweep(underPressure bool) {
	expired := c.sortedRecords(func(r *record) bool {
		return r.ended() && c.now > r.keepUntil(c.cfg.ResultTTL, underPressure)
	})
	for _, r := range expired {
		c.watermarks.raise(r)
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
	for c.bodyBytes > c.cfg.MaxTotalBodyBytes && len(c.ackedBodies) > 0 {
		r := c.records[c.ackedBodies[0]]
		c.ackedBodies = c.ackedBodies[1:]
		if r == nil {
			continue
		}
		r.inAckedBodies = false
		if r.firstWaiterAcked() {
			c.dropBody(r)
		}
	}
}

func (c *Core) dropBody(r *record) {
	if !r.hasBody {
		return
	}
	r.hasBody = false
	c.bodyBytes -= r.bodySize
	c.actions = append(c.actions, DropBodies{Ref: r.ref})
}
