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
	recordTimeout       = 5 * time.Minute
	recordRetryInterval = 500 * time.Millisecond
	maxConcurrentOps    = 1024 // at once
	maxClaimTries       = 4
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
	service    *Service
	ledger     ledger.Ledger
	objects    external.Objects
	lookups    lookups
	opSlots    chan struct{}
	runningOps sync.WaitGroup

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
		opSlots:   make(chan struct{}, maxConcurrentOps),
		recording: map[route.ClaimHolder][]route.Ack{},
	}
}

// claimRowKey returns the row of a key; keys of different accounts and services
// are different.
func claimRowKey(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return claimPrefix + hex.EncodeToString(sum[:])
}

// keyStatus tells what is known of a call's key before the call is admitted.
type keyStatus struct {
	reply *Reply // the call's answer, when there is one already
	// mayHaveRun is set when an earlier call with the key may have run; a
	// refusal of this one must not say not-run then.
	mayHaveRun bool
}

// lookUpKey reads the row of a key. Invariant: a call with a key is refused as
// not-run only after its row was read and named no execution, so that the
// refusal is true of all earlier calls with the key.
func (c *claims) lookUpKey(call Call) keyStatus {
	row, err := c.lookups.get(claimRowKey(call.Profile.ClientAccount, call.Service, call.Key), call.Timeout)
	if err != nil {
		return keyStatus{reply: &Reply{
			Outcome:    api.OutcomeUnknown,
			Reason:     route.ReasonStoreUnavailable,
			Detail:     "this call has not run; whether an earlier one with the same key has cannot be read now; repeat it with the same key",
			RetryAfter: keyRetryAfter,
		}}
	}
	if row.Version == 0 {
		return keyStatus{}
	}
	var claimed claimRow
	if err := json.Unmarshal(row.Data, &claimed); err != nil {
		return keyStatus{mayHaveRun: true}
	}
	return keyStatus{mayHaveRun: claimed.Outcome != api.OutcomeNotRun}
}

func (c *claims) spawn(fn func()) bool {
	select {
	case c.opSlots <- struct{}{}:
	default:
		return false
	}
	c.runningOps.Add(1)
	go func() {
		defer c.runningOps.Done()
		fn()
		<-c.opSlots
	}()
	return true
}

func (c *claims) startClaim(action route.Claim) {
	w := c.service.waiters[action.ID]
	if w == nil {
		return
	}
	ok := c.spawn(func() {
		reply := c.tryClaim(action, w)
		c.service.step(reply)
	})
	if !ok {
		metrics.GetOrRegisterCounter("claims.overloaded", c.service.registry).Inc(1)
		c.stepAsync(route.ClaimReply{ID: action.ID, Failed: true})
	}
}

// stepAsync steps the core outside of the current step.
func (c *claims) stepAsync(ev route.Event) {
	go c.service.step(ev)
}

func (c *claims) tryClaim(action route.Claim, w *waiter) route.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	key := claimRowKey(w.call.Profile.ClientAccount, w.call.Service, action.Key)
	row := claimRow{Holder: action.Holder, Digest: rpc.Digest(w.call.Body), Created: time.Now().UTC()}
	failed := route.ClaimReply{ID: action.ID, Failed: true}
	version := uint64(0)
	for range maxClaimTries {
		rows, err := c.ledger.Commit(ctx, ledger.CauseClaim, ledger.Write{Key: key, Version: version, Data: ledger.Encode(row)})
		if err == nil {
			return route.ClaimReply{ID: action.ID, Won: true, Holder: action.Holder}
		}
		if !errors.Is(err, ledger.ErrConflict) {
			return failed
		}
		version = rows[0].Version
		if version == 0 {
			continue // the row has expired meanwhile
		}
		var current claimRow
		if err := json.Unmarshal(rows[0].Data, &current); err != nil {
			return failed
		}
		if !replaceable(current, action.Replaces) {
			return c.replyFromRow(ctx, action, w, current)
		}
	}
	return failed
}

// replaceable reports whether a claim may take the row over: the execution
// that it names has certainly not run.
func replaceable(current claimRow, replaces *route.ClaimHolder) bool {
	if current.Outcome == api.OutcomeNotRun {
		return true
	}
	return current.Outcome == "" && replaces != nil && current.Holder == *replaces
}

// replyFromRow answers a claim with the row of an earlier one.
func (c *claims) replyFromRow(ctx context.Context, action route.Claim, w *waiter, row claimRow) route.ClaimReply {
	if row.Digest != rpc.Digest(w.call.Body) {
		c.answerKeyReused(action.ID, w)
		return route.ClaimReply{ID: action.ID, Failed: true}
	}
	if row.Outcome == "" {
		return route.ClaimReply{ID: action.ID, Won: row.Holder == action.Holder, Holder: row.Holder}
	}
	if row.Object != "" {
		body, err := c.objects.Get(ctx, row.Object)
		if err != nil {
			c.answerUnreadable(action.ID, w)
			return route.ClaimReply{ID: action.ID, Failed: true}
		}
		row.Body = body
	}
	c.service.mu.Lock()
	w.recordedRow = &row
	c.service.mu.Unlock()
	return route.ClaimReply{ID: action.ID, Final: row.Outcome, Holder: row.Holder}
}

// answerKeyReused answers a call whose key was used with another body.
func (c *claims) answerKeyReused(id string, w *waiter) {
	c.answerNow(id, w, Reply{
		Outcome: api.OutcomeNotRun,
		Reason:  ReasonKeyReused,
		Detail:  "the idempotency key belongs to a request with another body",
	})
}

// answerUnreadable answers a call whose recorded answer the object store does not give.
func (c *claims) answerUnreadable(id string, w *waiter) {
	c.answerNow(id, w, Reply{
		Outcome:    api.OutcomeUnknown,
		Reason:     route.ReasonStoreUnavailable,
		Detail:     "the recorded answer cannot be read now; repeat the call with the same key",
		RetryAfter: keyRetryAfter,
	})
}

// answerNow answers a call before the core does, which then takes the caller for gone
// and a failed claim not for a failure of the table.
func (c *claims) answerNow(id string, w *waiter, reply Reply) {
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

// startRecord keeps the answer of a claimed key, so that it outlives its agent.
func (c *claims) startRecord(action route.Record, result *rpc.RequestResult) {
	w := c.service.waiters[action.ID]
	if w == nil {
		return
	}
	row := claimRow{
		Holder:  action.Holder,
		Digest:  rpc.Digest(w.call.Body),
		Created: time.Now().UTC(),
		Outcome: action.Outcome,
	}
	if result != nil {
		row.Status = int(result.Status)
		row.ContentType = result.ContentType
		row.Body = result.Body
	}
	key := claimRowKey(w.call.Profile.ClientAccount, w.call.Service, action.Key)
	if _, ok := c.recording[action.Holder]; ok {
		return
	}
	if c.spawn(func() { c.recordWithRetry(key, row) }) {
		c.recording[action.Holder] = nil
	}
}

func (c *claims) recordWithRetry(key string, row claimRow) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	recorded := false
	for ctx.Err() == nil && !recorded {
		recorded = c.tryRecord(ctx, key, row)
		if !recorded {
			metrics.GetOrRegisterCounter("claims.record_retries", c.service.registry).Inc(1)
			kernel.Sleep(ctx, recordRetryInterval)
		}
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	acks := c.recording[row.Holder]
	delete(c.recording, row.Holder)
	if !recorded {
		return // the agent keeps the answer until it expires there
	}
	for _, a := range acks {
		c.sendAck(a)
	}
}

func (c *claims) tryRecord(ctx context.Context, key string, row claimRow) bool {
	if len(row.Body) > maxInlineBody {
		row.Object = "answers/" + key
		if err := c.objects.Put(ctx, row.Object, row.Body); err != nil {
			return false
		}
		row.Body = nil
	}
	rows, err := c.ledger.Get(ctx, ledger.CauseClaim, key)
	if err != nil {
		return false
	}
	var current claimRow
	if rows[0].Version == 0 || json.Unmarshal(rows[0].Data, &current) != nil {
		return true // the row has expired
	}
	if current.Outcome != "" || current.Holder != row.Holder {
		return true // recorded by another entry
	}
	_, err = c.ledger.Commit(ctx, ledger.CauseClaim, ledger.Write{Key: key, Version: rows[0].Version, Data: ledger.Encode(row)})
	return err == nil
}

// ackOrDefer sends an acknowledgement, or keeps it until the answer is recorded.
func (c *claims) ackOrDefer(action route.Ack) {
	for holder, acks := range c.recording {
		if holder.RequestID == action.ID && holder.Attempt == action.Attempt {
			c.recording[holder] = append(acks, action)
			return
		}
	}
	c.sendAck(action)
}

func (c *claims) sendAck(action route.Ack) {
	c.service.send(action.Agent, &rpc.EntryMessage{Body: &rpc.EntryMessage_Ack{Ack: &rpc.Ack{
		Requests: []*rpc.RequestRef{{RequestId: action.ID, Attempt: action.Attempt}},
	}}})
}

// waitIdle returns when no claim operation is in progress or ctx has ended.
func (c *claims) waitIdle(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.runningOps.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
