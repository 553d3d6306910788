package exec

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// watermarks cover the attempts whose records were dropped. Each is the highest
// stamp among such attempts, so that an attempt without a record and with a
// later stamp is known to be new.
type watermarks struct {
	// ranStamp covers attempts that may have run and whose outcome an entry may
	// still ask for.
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

// makeRoom reports whether one more attempt can be recorded. At MaxRecords it
// first drops the records that can be dropped early.
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

// refuseUnrecorded answers OutcomeNotRun without recording the attempt. Attempts
// without a record are refused up to its stamp from then on.
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

// sweep drops the records that need not be kept any longer. Under pressure some
// are dropped earlier.
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

// trimBodies drops bodies of acknowledged results, oldest first, while the total
// exceeds MaxTotalBodyBytes.
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
