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
	// recordTimeout bounds the attempts to record an answer; until the answer is
	// recorded the agent keeps it.
	recordTimeout       = 5 * time.Minute
	recordRetryInterval = 500 * time.Millisecond
	maxConcurrentOps    = 1024
	maxClaimTries       = 4
	// keyRetryAfter is the RetryAfter of a call whose key's row cannot be read.
	keyRetryAfter = 2 * time.Second
	// maxInlineBody is the size in bytes of the largest answer stored in the row
	// itself; larger ones are stored as objects.
	maxInlineBody = 4 << 10
)

// claimRow is the table's row of one idempotency key. It names the one execution
// that the key belongs to and, once recorded, the answer of that execution.
type claimRow struct {
	Holder      route.ClaimHolder `json:"holder"`
	Digest      uint64            `json:"digest"` // of the request's body
	Created     time.Time         `json:"created"`
	Outcome     api.Outcome       `json:"outcome,omitempty"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	Object      string            `json:"object,omitempty"` // name of the object of a body larger than maxInlineBody
}

// claims maintains the rows of idempotency keys. It is called with Service.mu held
// and does its I/O in at most maxConcurrentOps goroutines.
type claims struct {
	service    *Service
	ledger     ledger.Ledger
	objects    external.Objects
	lookups    lookups
	opSlots    chan struct{}
	runningOps sync.WaitGroup

	// recording holds the executions whose answers are being recorded, with the
	// acknowledgements to send afterwards. Guarded by Service.mu.
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

// claimRowKey returns the key of the row of an idempotency key. Equal idempotency
// keys of different accounts or services have different rows.
func claimRowKey(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return claimPrefix + hex.EncodeToString(sum[:])
}

// keyStatus is what is known of a call's idempotency key before admission.
type keyStatus struct {
	reply *Reply // the final reply if the row could not be read, else nil
	// mayHaveRun is set if an earlier call with the key may have run. A refusal
	// of this call must then not report OutcomeNotRun.
	mayHaveRun bool
}

// lookUpKey reads the row of a call's idempotency key. Invariant: a call with a
// key is refused with OutcomeNotRun only after its row was read and named no
// execution that may have run, so that the outcome holds for all earlier calls
// with the key.
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

// spawn runs fn in a goroutine, or returns false if maxConcurrentOps are running.
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

// stepAsync passes the event to the core after the current step, which holds the
// lock.
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
			continue // the row has expired in the meantime
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

// replaceable reports whether a claim may replace the row: it is certain that the
// execution that the row names has not run.
func replaceable(current claimRow, replaces *route.ClaimHolder) bool {
	if current.Outcome == api.OutcomeNotRun {
		return true
	}
	return current.Outcome == "" && replaces != nil && current.Holder == *replaces
}

// replyFromRow returns the reply to a claim whose key has the row of an earlier
// claim.
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

// answerKeyReused answers a call whose key was first used with another body.
func (c *claims) answerKeyReused(id string, w *waiter) {
	c.answerNow(id, w, Reply{
		Outcome: api.OutcomeNotRun,
		Reason:  ReasonKeyReused,
		Detail:  "the idempotency key belongs to a request with another body",
	})
}

// answerUnreadable answers a call whose recorded answer cannot be read from the
// object store.
func (c *claims) answerUnreadable(id string, w *waiter) {
	c.answerNow(id, w, Reply{
		Outcome:    api.OutcomeUnknown,
		Reason:     route.ReasonStoreUnavailable,
		Detail:     "the recorded answer cannot be read now; repeat the call with the same key",
		RetryAfter: keyRetryAfter,
	})
}

// answerNow answers a call before the core does. The core is told that the caller
// has gone, so that it does not count the failed claim as a failure of the table.
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

// ReasonKeyReused says that the key was first used with another body.
const ReasonKeyReused route.Reason = "key-reused"

// startRecord begins to record the answer of a claimed key in the table, so that
// the answer survives the loss of its agent.
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

// recordWithRetry records an answer, within recordTimeout, and then sends the
// deferred acknowledgements.
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

// tryRecord reports whether the row needs no further attempt: the answer is
// recorded, the row has expired, another entry has recorded an outcome, or the key
// belongs to another execution.
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

// ackOrDefer sends an acknowledgement, or defers it while the answer is being
// recorded.
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
