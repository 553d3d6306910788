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
	out     []Action
	allowed bool
	leaving bool
	links   map[string]bool

	records map[Ref]*record
	seq     uint64
	queue   []*record
	running int
	bytes   int64
	// ackedBodies lists acknowledged attempts whose body is kept, oldest first.
	ackedBodies []Ref
	lastSweep   time.Duration
	lastFull    time.Duration
	floors      floors
}

// New returns a core without executions. Work may start once a Permission
// allows it.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg.withDefaults(),
		links:   map[string]bool{},
		records: map[Ref]*record{},
		floors:  newFloors(),
	}
}

// Step handles one event at the given time of the agent's monotonic clock and
// returns the actions to carry out, in order.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.out = nil
	c.handle(ev)
	c.refuseLapsed()
	c.startQueued()
	if c.now-c.lastSweep >= sweepInterval {
		c.lastSweep = c.now
		c.sweep(false)
		c.resendUnacked()
	}
	return c.out
}

// InFlight returns the number of executions that run or wait for a slot.
func (c *Core) InFlight() int { return c.running + len(c.queue) }

// Idle reports whether the agent can stop without cutting off a request: no
// execution runs or waits, and no result waits for an entry that is linked or
// was so shortly before.
func (c *Core) Idle() bool {
	if c.InFlight() > 0 {
		return false
	}
	for _, r := range c.records {
		for _, w := range r.waiters {
			if !w.acked && (c.links[w.entry] || c.now-r.ended < linkGrace) {
				return false
			}
		}
	}
	return true
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Execute:
		c.execute(e)
	case Void:
		c.void(e)
	case Ack:
		c.ack(e)
	case CallEnded:
		c.called(e)
	case LinkUp:
		c.links[e.Entry] = true
		c.resend(e.Entry)
	case LinkDown:
		delete(c.links, e.Entry)
		c.refuseQueued("the link with the entry is lost", func(r *record) bool { return r.waiters[0].entry == e.Entry })
	case Permission:
		c.allowed = e.Allowed
	case Leave:
		c.leaving = true
	case Tick:
	}
}

func (c *Core) execute(e Execute) {
	if e.Incarnation != c.cfg.Incarnation {
		c.sendUnknown(e.Entry, e.Ref, "the execution was meant for another incarnation of the agent")
		return
	}
	if r := c.records[e.Ref]; r != nil {
		c.tell(r, e.Entry)
		return
	}
	if c.floors.mayHaveRun(e.Stamp, e.Idempotent) {
		c.sendUnknown(e.Entry, e.Ref, "the agent may have forgotten the execution")
		return
	}
	r := c.newRecord(e)
	if !c.makeRoom() {
		c.refuseUnrecorded(r)
		return
	}
	c.records[r.ref] = r
	reason := c.refusal(r)
	switch {
	case e.Corrupt:
		reason = "the body is not complete"
	case c.floors.refused(e.Stamp):
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
	c.seq++
	return &record{
		ref:        e.Ref,
		seq:        c.seq,
		idempotent: e.Idempotent,
		stamp:      e.Stamp,
		permitEnd:  e.Stamp + min(e.Permit, MaxPermit),
		deadline:   c.now + e.Timeout,
		waiters:    []waiter{{entry: e.Entry}},
	}
}

// refusal returns why the attempt may not start now, or "".
func (c *Core) refusal(r *record) string {
	switch {
	case c.leaving:
		return "the endpoint is leaving"
	case !c.allowed:
		return "the agent has no permission to start work"
	case r.stamp > c.now || c.now >= r.permitEnd:
		return "the permission to start has lapsed"
	case c.now >= r.deadline:
		return "the timeout has passed"
	case c.bytes >= c.cfg.MaxTotalBodyBytes:
		return "too many results wait for their acknowledgement"
	}
	return ""
}

// startQueued calls the endpoint for the oldest executions while slots are free.
func (c *Core) startQueued() {
	for c.running < c.cfg.Slots && len(c.queue) > 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		if reason := c.refusal(r); reason != "" {
			c.refuse(r, reason)
			continue
		}
		r.state = stateRunning
		c.running++
		c.out = append(c.out, CallEndpoint{Ref: r.ref, Timeout: r.deadline - c.now})
	}
}

// refuseLapsed answers queued executions that may not start any more.
func (c *Core) refuseLapsed() { c.filterQueue(c.refusal) }

// refuseQueued refuses the queued executions that match.
func (c *Core) refuseQueued(reason string, match func(*record) bool) {
	c.filterQueue(func(r *record) string {
		if match(r) {
			return reason
		}
		return ""
	})
}

// filterQueue refuses the queued executions for which check gives a reason.
func (c *Core) filterQueue(check func(*record) string) {
	kept := c.queue[:0]
	for _, r := range c.queue {
		if reason := check(r); reason != "" {
			c.refuse(r, reason)
			continue
		}
		kept = append(kept, r)
	}
	c.queue = kept
}

func (c *Core) void(e Void) {
	if e.Incarnation != c.cfg.Incarnation {
		c.sendUnknown(e.Entry, e.Ref, "the execution belonged to another incarnation of the agent")
		return
	}
	r := c.records[e.Ref]
	if r == nil {
		c.voidUnseen(e)
		return
	}
	if r.state == stateQueued {
		r.await(e.Entry)
		c.refuseQueued("withdrawn before its start", func(q *record) bool { return q == r })
		return
	}
	c.tell(r, e.Entry)
}

// voidUnseen leaves a refused record, so that the attempt does not run when
// its Execute arrives later.
func (c *Core) voidUnseen(e Void) {
	if c.floors.mayHaveRun(e.Stamp, false) {
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

func (c *Core) called(e CallEnded) {
	r := c.records[e.Ref]
	if r == nil || r.state != stateRunning {
		return
	}
	c.running--
	r.ended = c.now
	r.outcome = e.Outcome
	r.detail = e.Detail
	r.state = stateRan
	if e.Outcome == api.OutcomeNotRun {
		r.state = stateRefused
	}
	if e.Outcome == api.OutcomeDone || e.Outcome == api.OutcomeFailed {
		r.hasBody = true
		r.size = e.Size
		c.bytes += e.Size
	}
	c.trimBodies()
	for _, w := range r.waiters {
		c.send(r, w.entry)
	}
}

func (c *Core) ack(e Ack) {
	r := c.records[e.Ref]
	if r == nil || !r.over() {
		return
	}
	before := r.acked()
	r.ack(e.Entry)
	if before || !r.acked() || !r.hasBody || r.listed {
		return
	}
	if r.idempotent {
		c.dropBody(r)
		return
	}
	r.listed = true
	c.ackedBodies = append(c.ackedBodies, r.ref)
	c.trimBodies()
}

// refuse ends an attempt that has not started, for good.
func (c *Core) refuse(r *record, reason string) {
	r.state = stateRefused
	r.ended = c.now
	r.outcome = api.OutcomeNotRun
	r.detail = reason
	for _, w := range r.waiters {
		c.send(r, w.entry)
	}
}

// tell sends the result to an entry, now or once it is there.
func (c *Core) tell(r *record, entry string) {
	r.await(entry)
	if r.over() {
		c.send(r, entry)
	}
}

func (c *Core) send(r *record, entry string) {
	s := SendResult{Entry: entry, Ref: r.ref, Outcome: r.outcome, Detail: r.detail, WithReply: r.hasBody}
	ran := r.outcome == api.OutcomeDone || r.outcome == api.OutcomeFailed
	if ran && !r.hasBody {
		s.Outcome = api.OutcomeUnknown
		s.Detail = "the execution has ended; its answer was delivered and is no longer kept"
	}
	c.out = append(c.out, s)
	r.interval = max(r.interval, resendInterval)
	r.resendAt = c.now + r.interval
}

func (c *Core) sendUnknown(entry string, ref Ref, detail string) {
	c.out = append(c.out, SendResult{Entry: entry, Ref: ref, Outcome: api.OutcomeUnknown, Detail: detail})
}

// resendUnacked repeats results that linked entries have not acknowledged for
// some time.
func (c *Core) resendUnacked() {
	due := c.sorted(func(r *record) bool { return r.over() && c.now >= r.resendAt && c.awaited(r) })
	for _, r := range due {
		r.interval = min(2*r.interval, maxResendInterval)
		for _, w := range r.waiters {
			if !w.acked && c.links[w.entry] {
				c.send(r, w.entry)
			}
		}
	}
}

// awaited reports whether a linked entry has not acknowledged the result.
func (c *Core) awaited(r *record) bool {
	return slices.ContainsFunc(r.waiters, func(w waiter) bool { return !w.acked && c.links[w.entry] })
}

// resend repeats the results that an entry has not acknowledged, oldest first.
func (c *Core) resend(entry string) {
	for _, r := range c.sorted(func(r *record) bool { return r.over() && r.waiting(entry) }) {
		c.send(r, entry)
	}
}

// sorted returns the matching records in order of arrival.
func (c *Core) sorted(match func(*record) bool) []*record {
	var out []*record
	for _, r := range c.records {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return cmp.Compare(a.seq, b.seq) })
	return out
}
