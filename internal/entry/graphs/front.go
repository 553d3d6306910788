package graphs

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// defaultWait is the assumed caller timeout when the request gives none.
	defaultWait = 2500 * time.Millisecond
	// answerMargin is the part of the caller's timeout that is reserved for the
	// answer to reach it.
	answerMargin = 150 * time.Millisecond
	// retryAfterUnsupported is the retry delay for features that this version of
	// the program does not support.
	retryAfterUnsupported = time.Hour
	// jobIDDigits is the number of hexadecimal digits of a job's ID.
	jobIDDigits = 16
)

// Call holds the parameters common to all caller requests.
type Call struct {
	Host string
	Path string
	Key  string
	Wait time.Duration // how long the caller waits; 0 if unknown
	// MinConfigVersion is the oldest configuration version that may be used.
	MinConfigVersion uint64

	answerBy time.Time // set once the call has begun to be served
}

// Outcome classifies an answer.
type Outcome int

// The outcomes. Refused, Overloaded, NoQueue, Unauthorized and Invalid guarantee
// that no job was accepted and that none will run because of this request.
const (
	OK           Outcome = iota
	Refused              // temporarily; RetryAfter gives the delay before a retry
	Overloaded           // temporarily, as for Refused
	NoQueue              // no such queue
	Unauthorized         // the key belongs to no account
	Invalid              // the request can never be served
	Unknown              // the request may or may not have taken effect
	NoJob                // no such job
)

var outcomeNames = [...]string{"ok", "refused", "overloaded", "no-queue", "unauthorized", "invalid", "unknown", "no-job"}

func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the answer to a caller.
type Answer struct {
	Outcome    Outcome
	RetryAfter time.Duration
	Detail     string
	State      graph.State
	Pending    *int
	// ConfigVersion is the configuration version by which the call was admitted
	// or rejected; 0 if there was none.
	ConfigVersion uint64
}

// Policies provides the configuration to the front.
type Policies interface {
	FreshSnapshot() (*policy.Snapshot, time.Duration)
	StoreOutage() time.Duration
	// MaxConfirmationAge is the highest age that the last confirmation reaches
	// in normal operation.
	MaxConfirmationAge() time.Duration
}

// Relay forwards requests to other entries.
type Relay interface {
	// Forward returns false if no other entry has answered; the request may have
	// taken effect nevertheless.
	Forward(ctx context.Context, verb string, call Call, job *graph.Job, minConfigVersion uint64) (Answer, bool)
}

// OwnerQuerier queries state that only the owner of scheduling has, in whichever
// process the owner runs.
type OwnerQuerier interface {
	// JobState returns a job's state; known is false if the owner cannot be
	// reached or does not know the job.
	JobState(ctx context.Context, id graph.JobID) (state graph.State, known bool)
	// PendingJobs returns the number of the queue's jobs that have not started
	// any task.
	PendingJobs(ctx context.Context, queue string) (n int, known bool)
}

// Front serves caller requests.
type Front struct {
	policies Policies
	store    *Store
	owner    OwnerQuerier
	relay    Relay
	now      func() time.Time
	// configVersionFloor is the newest configuration version that any answer of
	// this entry was based on, including relayed answers. Callers never get an
	// answer based on an older one afterwards.
	configVersionFloor atomic.Uint64
	log                zerolog.Logger
	registry           metrics.Registry
	// admission is nil while it is off; open serves it.
	admission Admission
	open      openWrites
}

// NewFront returns a front. now returns the time of day.
func NewFront(p Policies, s *Store, o OwnerQuerier, r Relay, now func() time.Time, registry metrics.Registry, log zerolog.Logger) *Front {
	return &Front{policies: p, store: s, owner: o, relay: r, now: now, log: log, registry: registry}
}

// readyOutageLimit is how long the store may fail to confirm the configuration,
// beyond MaxConfirmationAge, before this entry reports itself not ready. The
// balancer takes two more seconds to send callers to other entries.
const readyOutageLimit = 300 * time.Millisecond

// Ready returns nil while this entry can serve callers.
func (f *Front) Ready() error {
	if outage := f.policies.StoreOutage(); outage > f.policies.MaxConfirmationAge()+readyOutageLimit {
		return errors.Errorf("the store has not answered for %v", outage)
	}
	if s, age := f.policies.FreshSnapshot(); s == nil {
		return errors.Errorf("configuration was confirmed %v ago", age)
	}
	return nil
}

// target is the queue or job that an admitted call refers to.
type target struct {
	queue         *policy.Queue
	account       string
	id            graph.JobID // empty if the call refers to the queue itself
	configVersion uint64
	configAge     time.Duration
	guaranteed    int // accelerators of the account's guarantee
}

// admit finds the queue of a call and checks the caller's key. If the target is
// nil, the call is rejected with the returned answer.
func (f *Front) admit(call Call) (*target, Answer) {
	snapshot, age := f.policies.FreshSnapshot()
	if snapshot == nil {
		return nil, f.refused(call, "configuration is not known to be current")
	}
	if minVersion := max(call.MinConfigVersion, f.configVersionFloor.Load()); snapshot.Version < minVersion {
		return nil, f.refused(call, fmt.Sprintf("configuration %d is older than %d, which has been used", snapshot.Version, minVersion))
	}
	f.raiseConfigVersionFloor(snapshot.Version)
	queue, rest := snapshot.MatchQueue(call.Host, call.Path)
	if queue == nil {
		return nil, Answer{Outcome: NoQueue, Detail: "no such queue", ConfigVersion: snapshot.Version}
	}
	t := &target{queue: queue, id: graph.JobID(rest), configVersion: snapshot.Version, configAge: age}
	if queue.Public {
		return t, Answer{}
	}
	account := snapshot.AccountByKey(call.Key)
	if account == nil {
		return nil, Answer{Outcome: Unauthorized, Detail: "key is not known", ConfigVersion: snapshot.Version}
	}
	t.account, t.guaranteed = account.Name, account.GuaranteedAccelerators
	return t, Answer{}
}

// raiseConfigVersionFloor records that an answer is based on a version.
func (f *Front) raiseConfigVersionFloor(version uint64) {
	for {
		old := f.configVersionFloor.Load()
		if version <= old || f.configVersionFloor.CompareAndSwap(old, version) {
			return
		}
	}
}

// Submit accepts a job. While the store is not reachable from here, it first
// tries to relay the request to another entry.
func (f *Front) Submit(call Call, decode func() (*graph.Job, error)) Answer {
	return f.relayOrServe(verbSubmit, call, decode, func(call Call) Answer { return f.SubmitLocal(call, decode) })
}

// SubmitLocal accepts a job using only this entry's connection to the store.
func (f *Front) SubmitLocal(call Call, decode func() (*graph.Job, error)) Answer {
	start := time.Now()
	call = call.begin()
	t, a := f.admit(call)
	if t != nil {
		a = f.acceptJob(call, t, decode)
		a.ConfigVersion = t.configVersion
	}
	f.recordAnswer(verbSubmit, call, t, a, start)
	return a
}

func (f *Front) acceptJob(call Call, t *target, decode func() (*graph.Job, error)) Answer {
	if !validJobID(t.id) {
		return Answer{Outcome: Invalid, Detail: "job ID is not 16 hexadecimal digits"}
	}
	if t.queue.Advised {
		return Answer{Outcome: Refused, RetryAfter: retryAfterUnsupported, Detail: "queues with an adviser are not served"}
	}
	job, err := decode()
	if errors.Is(err, errors.NotSupported) {
		return Answer{Outcome: Refused, RetryAfter: retryAfterUnsupported, Detail: err.Error()}
	}
	if err != nil {
		return Answer{Outcome: Invalid, Detail: err.Error()}
	}
	job.ID, job.Account = t.id, t.account
	applyQueue(job, t.queue, t.configVersion)
	if err := job.ValidateStored(); err != nil {
		return Answer{Outcome: Invalid, Detail: err.Error()}
	}
	job.SubmittedAt = f.now()
	if err := f.store.CheckSize(job); err != nil {
		// An earlier version may have accepted it.
		return f.okIfKnown(verbSubmit, call, Answer{Outcome: Invalid, Detail: err.Error()})
	}
	ctx, cancel := f.callContext(call)
	defer cancel()
	if a, done := f.refuse(ctx, call, t, job); done {
		return a
	}
	return f.insertJob(call, job)
}

// noJob is the decoder of calls without a job.
func noJob() (*graph.Job, error) { return nil, nil }

// Lookup returns a job's state or a queue's number of pending jobs.
func (f *Front) Lookup(call Call) Answer {
	return f.relayOrServe(verbLookup, call, noJob, f.LookupLocal)
}

// LookupLocal is Lookup using only this entry's connection to the store.
func (f *Front) LookupLocal(call Call) Answer {
	start := time.Now()
	call = call.begin()
	t, a := f.admit(call)
	switch {
	case t == nil:
	case t.id == "":
		a = f.pendingJobs(call, t)
	default:
		a = f.jobState(call, t)
	}
	if t != nil {
		a.ConfigVersion = t.configVersion
	}
	f.recordAnswer(verbLookup, call, t, a, start)
	return a
}

func (f *Front) pendingJobs(call Call, t *target) Answer {
	ctx, cancel := f.callContext(call)
	defer cancel()
	n, known := f.owner.PendingJobs(ctx, t.queue.Name)
	if !known {
		return f.refused(call, "no entry owns scheduling")
	}
	return Answer{Outcome: OK, Pending: &n}
}

func (f *Front) jobState(call Call, t *target) Answer {
	if !validJobID(t.id) {
		return Answer{Outcome: NoJob}
	}
	ctx, cancel := f.callContext(call)
	defer cancel()
	if state, known := f.owner.JobState(ctx, t.id); known {
		return Answer{Outcome: OK, State: state}
	}
	state, found, err := f.store.JobState(ctx, t.id)
	switch {
	case err != nil:
		return f.refused(call, err.Error())
	case !found:
		return Answer{Outcome: NoJob}
	default:
		return Answer{Outcome: OK, State: state}
	}
}

// Cancel requests the cancellation of a job.
func (f *Front) Cancel(call Call) Answer {
	return f.relayOrServe(verbCancel, call, noJob, f.CancelLocal)
}

// CancelLocal is Cancel using only this entry's connection to the store.
func (f *Front) CancelLocal(call Call) Answer {
	start := time.Now()
	call = call.begin()
	t, a := f.admit(call)
	if t != nil {
		a = f.cancelJob(call, t)
		a.ConfigVersion = t.configVersion
	}
	f.recordAnswer(verbCancel, call, t, a, start)
	return a
}

func (f *Front) cancelJob(call Call, t *target) Answer {
	if !validJobID(t.id) {
		return Answer{Outcome: NoJob}
	}
	found := true
	a := f.write(verbCancel, call, func(ctx context.Context) (err error) {
		found, err = f.cancelStored(ctx, t.id)
		return err
	})
	if a.Outcome == OK && !found {
		return Answer{Outcome: NoJob}
	}
	return a
}

// cancelStored cancels a job; found is false if it is not stored and no submission that is
// still under way will store it.
func (f *Front) cancelStored(ctx context.Context, id graph.JobID) (found bool, err error) {
	found, err = f.store.CancelJob(ctx, id)
	if found || err != nil {
		return found, err
	}
	if stored, err := f.store.CancelAhead(ctx, id, f.now()); !stored || err != nil {
		return false, err
	}
	return f.store.CancelJob(ctx, id)
}

// callContext returns a context that ends shortly before the caller stops
// waiting.
func (f *Front) callContext(call Call) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), call.begin().answerBy)
}

// recordAnswer counts and logs an answer.
func (f *Front) recordAnswer(verb string, call Call, t *target, answer Answer, start time.Time) {
	took := time.Since(start)
	metrics.GetOrRegisterCounter("front."+verb+"."+answer.Outcome.String(), f.registry).Inc(1)
	metrics.GetOrRegisterTimer("front."+verb, f.registry).Update(took)
	event := f.log.Info().Str("verb", verb).Str("outcome", answer.Outcome.String()).Dur("took_ms", took)
	if t != nil {
		event = event.Str("job", string(t.id)).Str("queue", t.queue.Name).Str("account", t.account).
			Uint64("policy", t.configVersion).Dur("policy_age_ms", t.configAge)
	} else {
		event = event.Str("path", call.Path)
	}
	if answer.Detail != "" {
		event = event.Str("detail", answer.Detail)
	}
	if answer.RetryAfter > 0 {
		event = event.Dur("retry_after_ms", answer.RetryAfter)
	}
	if answer.State != "" {
		event = event.Str("state", string(answer.State))
	}
	event.Msg("request")
}

func validJobID(id graph.JobID) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, r := range id {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'f' || r >= 'A' && r <= 'F') {
			return false
		}
	}
	return true
}
