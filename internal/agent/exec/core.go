package exec

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Core decides which executions run on the endpoint's slots. It is not safe
// for concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	actions []Action
	allowed bool
	leaving bool
	links   map[string]bool

	records   map[Ref]*record
	lastSeq   uint64
	queue     []*record
	running   int
	bodyBytes int64
	// ackedBodies lists acknowledged attempts whose body is kept, oldest first.
	ackedBodies       []Ref
	lastSweep         time.Duration
	lastPressureSweep time.Duration
	watermarks        watermarks
}

// New returns a core without executions. Work may start once a Permission event
// allows it.
func New(cfg Config) *Core {
	return &Core{
		cfg:        cfg.withDefaults(),
		links:      map[string]bool{},
		records:    map[Ref]*record{},
		watermarks: newWatermarks(),
	}
}

// Step applies one event at the given time of the agent's monotonic clock and
// returns the resulting actions in order.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.handleEvent(ev)
	c.refuseUnstartable()
	c.startQueued()
	if c.now-c.lastSweep >= sweepInterval {
		c.lastSweep = c.now
		c.sweep(false)
		c.resendUnacked()
	}
	return c.actions
}

// InFlight returns the number of executions that run or wait for a slot.
func (c *Core) InFlight() int { return c.running + len(c.queue) }

// Idle reports whether the agent can stop without interrupting a request: no
// execution is running or queued, and no result is unacknowledged by an entry
// that is linked, or by any entry within linkGrace of the end of the attempt.
func (c *Core) Idle() bool {
	if c.InFlight() > 0 {
		return false
	}
	for _, r := range c.records {
		for _, w := range r.waiters {
			if !w.acked && (c.links[w.entry] || c.now-r.endedAt < linkGrace) {
				return false
			}
		}
	}
	return true
}

func (c *Core) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Execute:
		c.handleExecute(e)
	case Void:
		c.handleVoid(e)
	case Ack:
		c.handleAck(e)
	case CallEnded:
		c.handleCallEnded(e)
	case LinkUp:
		c.links[e.Entry] = true
		c.resendTo(e.Entry)
	case LinkDown:
		delete(c.links, e.Entry)
		c.refuseMatching("the link with the entry is lost", func(r *record) bool { return r.waiters[0].entry == e.Entry })
	case Permission:
		c.allowed = e.Allowed
	case Leave:
		c.leaving = true
	case Tick:
	}
}

func (c *Core) handleExecute(e Execute) {
	if e.Incarnation != c.cfg.Incarnation {
		c.sendUnknown(e.Entry, e.Ref, "the execution was meant for another incarnation of the agent")
		return
	}
	if r := c.records[e.Ref]; r != nil {
		c.sendWhenEnded(r, e.Entry)
		return
	}
	if c.watermarks.mayHaveRun(e.Stamp, e.Idempotent) {
		c.sendUnknown(e.Entry, e.Ref, "the agent may have forgotten the execution")
		return
	}
	r := c.newRecord(e)
	if !c.makeRoom() {
		c.refuseUnrecorded(r)
		return
	}
	c.records[r.ref] = r
	reason := c.refusalReason(r)
	switch {
	case e.Corrupt:
		reason = "the body is not complete"
	case c.watermarks.mayHaveBeenRefused(e.Stamp):
		reason = "the permission to start was withdrawn"
	case reason == "" && c.running >= c.cfg.Slots && len(c.queue) >= c.cfg.MaxQueued:
		reason = "all slots are in use"
	}
	if reason != "" {
		c.refuse(r, reason)
		return
	}
	r.state = stateQueued
	c.queue = append(c.queue, r)
}

func (c *Core) newRecord(e Execute) *record {
	c.lastSeq++
	return &record{
		ref:        e.Ref,
		seq:        c.lastSeq,
		idempotent: e.Idempotent,
		stamp:      e.Stamp,
		permitEnd:  e.Stamp + min(e.Permit, MaxPermit),
		deadline:   c.now + e.Timeout,
		waiters:    []waiter{{entry: e.Entry}},
	}
}

// refusalReason returns the reason why an attempt may not start now, or "".
func (c *Core) refusalReason(r *record) string {
	switch {
	case c.leaving:
		return "the endpoint is leaving"
	case !c.allowed:
		return "the agent has no permission to start work"
	case r.stamp > c.now || c.now >= r.permitEnd:
		return "the permission to start has lapsed"
	case c.now >= r.deadline:
		return "the timeout has passed"
	case c.bodyBytes >= c.cfg.MaxTotalBodyBytes:
		return "too many results wait for their acknowledgement"
	}
	return ""
}

// startQueued starts queued executions, oldest first, while slots are free.
func (c *Core) startQueued() {
	for c.running < c.cfg.Slots && len(c.queue) > 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		if reason := c.refusalReason(r); reason != "" {
			c.refuse(r, reason)
			continue
		}
		r.state = stateRunning
		c.running++
		c.actions = append(c.actions, CallEndpoint{Ref: r.ref, Timeout: r.deadline - c.now})
	}
}

// refuseUnstartable refuses the queued executions that may no longer start.
func (c *Core) refuseUnstartable() { c.filterQueue(c.refusalReason) }

// refuseMatching refuses the queued executions that match.
func (c *Core) refuseMatching(reason string, match func(*record) bool) {
	c.filterQueue(func(r *record) string {
		if match(r) {
			return reason
		}
		return ""
	})
}

// filterQueue refuses the queued executions for which refusalReason returns a
// reason.
func (c *Core) filterQueue(refusalReason func(*record) string) {
	kept := c.queue[:0]
	for _, r := range c.queue {
		if reason := refusalReason(r); reason != "" {
			c.refuse(r, reason)
			continue
		}
		kept = append(kept, r)
	}
	c.queue = kept
}

// handleVoid refuses an attempt that has not started. Any other recorded attempt
// is not changed, and its result is sent to the entry when there is one.
func (c *Core) handleVoid(e Void) {
	if e.Incarnation != c.cfg.Incarnation {
		c.sendUnknown(e.Entry, e.Ref, "the execution belonged to another incarnation of the agent")
		return
	}
	r := c.records[e.Ref]
	if r == nil {
		c.voidUnknown(e)
		return
	}
	if r.state == stateQueued {
		r.addWaiter(e.Entry)
		c.refuseMatching("withdrawn before its start", func(q *record) bool { return q == r })
		return
	}
	c.sendWhenEnded(r, e.Entry)
}

// voidUnknown records an unknown attempt as refused, so that it does not run if
// its Execute arrives later.
func (c *Core) voidUnknown(e Void) {
	if c.watermarks.mayHaveRun(e.Stamp, false) {
		c.sendUnknown(e.Entry, e.Ref, "the agent may have forgotten the execution")
		return
	}
	r := c.newRecord(Execute{Entry: e.Entry, Ref: e.Ref, Stamp: e.Stamp})
	if e.Stamp == 0 {
		r.stamp = c.now
	}
	if !c.makeRoom() {
		c.refuseUnrecorded(r)
		return
	}
	c.records[r.ref] = r
	c.refuse(r, "the execution has not arrived")
}

func (c *Core) handleCallEnded(e CallEnded) {
	r := c.records[e.Ref]
	if r == nil || r.state != stateRunning {
		return
	}
	c.running--
	r.endedAt = c.now
	r.outcome = e.Outcome
	r.detail = e.Detail
	r.state = stateRan
	if e.Outcome == api.OutcomeNotRun {
		r.state = stateRefused
	}
	if e.Outcome == api.OutcomeDone || e.Outcome == api.OutcomeFailed {
		r.hasBody = true
		r.bodySize = e.Size
		c.bodyBytes += e.Size
	}
	c.trimBodies()
	for _, w := range r.waiters {
		c.sendResult(r, w.entry)
	}
}

func (c *Core) handleAck(e Ack) {
	r := c.records[e.Ref]
	if r == nil || !r.ended() {
		return
	}
	wasAcked := r.firstWaiterAcked()
	r.markAcked(e.Entry)
	if wasAcked || !r.firstWaiterAcked() || !r.hasBody || r.inAckedBodies {
		return
	}
	if r.idempotent {
		c.dropBody(r)
		return
	}
	r.inAckedBodies = true
	c.ackedBodies = append(c.ackedBodies, r.ref)
	c.trimBodies()
}

// refuse ends an attempt that has not started. It never starts from then on.
func (c *Core) refuse(r *record, reason string) {
	r.state = stateRefused
	r.endedAt = c.now
	r.outcome = api.OutcomeNotRun
	r.detail = reason
	for _, w := range r.waiters {
		c.sendResult(r, w.entry)
	}
}

// sendWhenEnded sends the result to an entry, now or when the attempt ends.
func (c *Core) sendWhenEnded(r *record, entry string) {
	r.addWaiter(entry)
	if r.ended() {
		c.sendResult(r, entry)
	}
}

// sendResult sends the result of an ended attempt. If the endpoint's reply is no
// longer kept, the outcome is OutcomeUnknown.
func (c *Core) sendResult(r *record, entry string) {
	result := SendResult{Entry: entry, Ref: r.ref, Outcome: r.outcome, Detail: r.detail, WithReply: r.hasBody}
	ran := r.outcome == api.OutcomeDone || r.outcome == api.OutcomeFailed
	if ran && !r.hasBody {
		result.Outcome = api.OutcomeUnknown
		result.Detail = "the execution has ended; its answer was delivered and is no longer kept"
	}
	c.actions = append(c.actions, result)
	r.resendDelay = max(r.resendDelay, resendInterval)
	r.resendAt = c.now + r.resendDelay
}

func (c *Core) sendUnknown(entry string, ref Ref, detail string) {
	c.actions = append(c.actions, SendResult{Entry: entry, Ref: ref, Outcome: api.OutcomeUnknown, Detail: detail})
}

// resendUnacked sends results again that linked entries have not acknowledged
// within the resend delay.
func (c *Core) resendUnacked() {
	due := c.sortedRecords(func(r *record) bool { return r.ended() && c.now >= r.resendAt && c.hasLinkedWaiter(r) })
	for _, r := range due {
		r.resendDelay = min(2*r.resendDelay, maxResendInterval)
		for _, w := range r.waiters {
			if !w.acked && c.links[w.entry] {
				c.sendResult(r, w.entry)
			}
		}
	}
}

// hasLinkedWaiter reports whether a linked entry still awaits the result.
func (c *Core) hasLinkedWaiter(r *record) bool {
	return slices.ContainsFunc(r.waiters, func(w waiter) bool { return !w.acked && c.links[w.entry] })
}

// resendTo sends an entry all results that it has not acknowledged, oldest first.
func (c *Core) resendTo(entry string) {
	for _, r := range c.sortedRecords(func(r *record) bool { return r.ended() && r.awaitedBy(entry) }) {
		c.sendResult(r, entry)
	}
}

// sortedRecords returns the matching records in order of arrival.
func (c *Core) sortedRecords(match func(*record) bool) []*record {
	var matching []*record
	for _, r := range c.records {
		if match(r) {
			matching = append(matching, r)
		}
	}
	slices.SortFunc(matching, func(a, b *record) int { return cmp.Compare(a.seq, b.seq) })
	return matching
}
