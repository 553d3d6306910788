package requests

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	claimPrefix  = "claim/"
	claimTimeout = 3 * time.Second
	// recordTimeout bounds how long an answer waits to be recorded; until then
	// the agent keeps it.
	recordTimeout = 5 * time.Minute
	recordRetry   = 500 * time.Millisecond
	maxClaimOps   = 1024 // at once
	maxClaimTries = 4
	// keyRetryAfter is when to come back with a key whose row cannot be read.
	keyRetryAfter = 2 * time.Second
	// maxInlineBody is the largest answer kept in the table's row itself.
	maxInlineBody = 4 << 10
)

// claimRow is the table's row of one idempotency key: it names the one
// execution that the key belongs to and, later, its answer.
type claimRow struct {
	Holder      route.ClaimHolder `json:"holder"`
	Digest      uint64            `json:"digest"` // of the request's body
	Created     time.Time         `json:"created"`
	Outcome     api.Outcome       `json:"outcome,omitempty"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	Object      string            `json:"object,omitempty"` // of a body too large for the row
}

// claims keeps the rows of idempotency keys. It is called with the service's
// lock held and does its I/O in goroutines of bounded number.
type claims struct {
	service *Service
	ledger  ledger.Ledger
	objects external.Objects
	lookups lookups
	slots   chan struct{}
	running sync.WaitGroup

	// recording holds executions whose answer is being recorded, with the
	// acknowledgements that wait for it. Guarded by Service.mu.
	recording map[route.ClaimHolder][]route.Ack
}

func newClaims(s *Service, l ledger.Ledger, objects external.Objects) *claims {
	return &claims{
		service:   s,
		ledger:    l,
		objects:   objects,
		lookups:   lookups{ledger: l},
		slots:     make(chan struct{}, maxClaimOps),
		recording: map[route.ClaimHolder][]route.Ack{},
	}
}

// claimKey returns the row of a key; keys of different accounts and services
// are different.
func claimKey(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return claimPrefix + hex.EncodeToString(sum[:])
}

// standing tells what is known of a call's key before the call is admitted.
type standing struct {
	reply *Reply // the call's answer, when there is one already
	// mayHaveRun is set when an earlier call with the key may have run; a
	// refusal of this one must not say not-run then.
	mayHaveRun bool
}

// standing reads the row of a key. Invariant: a call with a key is refused as
// not-run only after its row was read and named no execution, so that the
// refusal is true of all earlier calls with the key.
func (c *claims) standing(call Call) standing {
	row, err := c.lookups.get(claimKey(call.Profile.ClientAccount, call.Service, call.Key), call.Timeout)
	if err != nil {
		return standing{reply: &Reply{
			Outcome:    api.OutcomeUnknown,
			Reason:     route.ReasonStoreUnavailable,
			Detail:     "this call has not run; whether an earlier one with the same key has cannot be read now; repeat it with the same key",
			RetryAfter: keyRetryAfter,
		}}
	}
	if row.Version == 0 {
		return standing{}
	}
	var claimed claimRow
	if err := json.Unmarshal(row.Data, &claimed); err != nil {
		return standing{mayHaveRun: true}
	}
	return standing{mayHaveRun: claimed.Outcome != api.OutcomeNotRun}
}

func (c *claims) spawn(fn func()) bool {
	select {
	case c.slots <- struct{}{}:
	default:
		return false
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		fn()
		<-c.slots
	}()
	return true
}

func (c *claims) claim(act route.Claim) {
	w := c.service.waiters[act.ID]
	if w == nil {
		return
	}
	ok := c.spawn(func() {
		reply := c.tryClaim(act, w)
		c.service.step(reply)
	})
	if !ok {
		metrics.GetOrRegisterCounter("claims.overloaded", c.service.registry).Inc(1)
		c.later(route.ClaimReply{ID: act.ID, Failed: true})
	}
}

// later steps the core outside of the current step.
func (c *claims) later(ev route.Event) {
	go c.service.step(ev)
}

func (c *claims) tryClaim(act route.Claim, w *waiter) route.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	key := claimKey(w.call.Profile.ClientAccount, w.call.Service, act.Key)
	row := claimRow{Holder: act.Holder, Digest: rpc.Digest(w.call.Body), Created: time.Now().UTC()}
	failed := route.ClaimReply{ID: act.ID, Failed: true}
	version := uint64(0)
	for range maxClaimTries {
		rows, err := c.ledger.Commit(ctx, ledger.CauseClaim, ledger.Write{Key: key, Version: version, Data: ledger.Encode(row)})
		if err == nil {
			return route.ClaimReply{ID: act.ID, Won: true, Holder: act.Holder}
		}
		if !errors.Is(err, ledger.ErrConflict) {
			return failed
		}
		version = rows[0].Version
		if version == 0 {
			continue // the row has expired meanwhile
		}
		var old claimRow
		if err := json.Unmarshal(rows[0].Data, &old); err != nil {
			return failed
		}
		if !replaceable(old, act.Replaces) {
			return c.existing(ctx, act, w, old)
		}
	}
	return failed
}

// replaceable reports whether a claim may take the row over: the execution
// that it names has certainly not run.
func replaceable(old claimRow, from *route.ClaimHolder) bool {
	if old.Outcome == api.OutcomeNotRun {
		return true
	}
	return old.Outcome == "" && from != nil && old.Holder == *from
}

// existing answers a claim with the row of an earlier one.
func (c *claims) existing(ctx context.Context, act route.Claim, w *waiter, row claimRow) route.ClaimReply {
	if row.Digest != rpc.Digest(w.call.Body) {
		c.mismatch(act.ID, w)
		return route.ClaimReply{ID: act.ID, Failed: true}
	}
	if row.Outcome == "" {
		return route.ClaimReply{ID: act.ID, Won: row.Holder == act.Holder, Holder: row.Holder}
	}
	if row.Object != "" {
		body, err := c.objects.Get(ctx, row.Object)
		if err != nil {
			c.unreadable(act.ID, w)
			return route.ClaimReply{ID: act.ID, Failed: true}
		}
		row.Body = body
	}
	c.service.mu.Lock()
	w.stored = &row
	c.service.mu.Unlock()
	return route.ClaimReply{ID: act.ID, Final: row.Outcome, Holder: row.Holder}
}

// mismatch answers a call whose key was used with another body.
func (c *claims) mismatch(id string, w *waiter) {
	c.end(id, w, Reply{
		Outcome: api.OutcomeNotRun,
		Reason:  ReasonKeyReused,
		Detail:  "the idempotency key belongs to a request with another body",
	})
}

// unreadable answers a call whose recorded answer the object store does not give.
func (c *claims) unreadable(id string, w *waiter) {
	c.end(id, w, Reply{
		Outcome:    api.OutcomeUnknown,
		Reason:     route.ReasonStoreUnavailable,
		Detail:     "the recorded answer cannot be read now; repeat the call with the same key",
		RetryAfter: keyRetryAfter,
	})
}

// end answers a call before the core does, which then takes the caller for gone
// and a failed claim not for a failure of the table.
func (c *claims) end(id string, w *waiter, reply Reply) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.service.waiters[id] != w {
		return
	}
	delete(c.service.waiters, id)
	w.reply <- reply
	c.service.stepLocked(route.CallerGone{ID: id})
}

// ReasonKeyReused says that a key came with another body than the first time.
const ReasonKeyReused route.Reason = "key-reused"

// record keeps the answer of a claimed key, so that it outlives its agent.
func (c *claims) record(act route.Record, result *rpc.RequestResult) {
	w := c.service.waiters[act.ID]
	if w == nil {
		return
	}
	row := claimRow{
		Holder:  act.Holder,
		Digest:  rpc.Digest(w.call.Body),
		Created: time.Now().UTC(),
		Outcome: act.Outcome,
	}
	if result != nil {
		row.Status = int(result.Status)
		row.ContentType = result.ContentType
		row.Body = result.Body
	}
	key := claimKey(w.call.Profile.ClientAccount, w.call.Service, act.Key)
	if _, ok := c.recording[act.Holder]; ok {
		return
	}
	if c.spawn(func() { c.keep(key, row) }) {
		c.recording[act.Holder] = nil
	}
}

func (c *claims) keep(key string, row claimRow) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	kept := false
	for ctx.Err() == nil && !kept {
		kept = c.tryKeep(ctx, key, row)
		if !kept {
			metrics.GetOrRegisterCounter("claims.record_retries", c.service.registry).Inc(1)
			kernel.Sleep(ctx, recordRetry)
		}
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	acks := c.recording[row.Holder]
	delete(c.recording, row.Holder)
	if !kept {
		return // the agent keeps the answer until it expires there
	}
	for _, a := range acks {
		c.sendAck(a)
	}
}

func (c *claims) tryKeep(ctx context.Context, key string, row claimRow) bool {
	if len(row.Body) > maxInlineBody {
		row.Object = "answers/" + key
		if err := c.objects.Put(ctx, row.Object, row.Body); err != nil {
			return false
		}
		row.Body = nil
	}
	current, err := c.ledger.Get(ctx, ledger.CauseClaim, key)
	if err != nil {
		return false
	}
	var old claimRow
	if current[0].Version == 0 || json.Unmarshal(current[0].Data, &old) != nil {
		return true // the row has expired
	}
	if old.Outcome != "" || old.Holder != row.Holder {
		return true // recorded by another entry
	}
	_, err = c.ledger.Commit(ctx, ledger.CauseClaim, ledger.Write{Key: key, Version: current[0].Version, Data: ledger.Encode(row)})
	return err == nil
}

// ack sends an acknowledgement, or keeps it until the answer is recorded.
func (c *claims) ack(act route.Ack) {
	for holder, acks := range c.recording {
		if holder.RequestID == act.ID && holder.Attempt == act.Attempt {
			c.recording[holder] = append(acks, act)
			return
		}
	}
	c.sendAck(act)
}

func (c *claims) sendAck(act route.Ack) {
	c.service.send(act.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Ack{Ack: &rpc.Ack{
		Requests: []*rpc.RequestRef{{RequestId: act.ID, Attempt: act.Attempt}},
	}}})
}

// wait returns when no claim operation is in progress or ctx has ended.
func (c *claims) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
