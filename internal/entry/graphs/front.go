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
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// defaultWait is how long a caller is taken to wait if it does not say.
	defaultWait = 2500 * time.Millisecond
	// answerMargin is the part of the caller's time that is left for the answer
	// to reach it.
	answerMargin = 150 * time.Millisecond
	// retryAfterStoreFailure is when a caller may come back after the table was not
	// reachable, retryNoPolicy when the configuration is not known.
	retryAfterStoreFailure = time.Second
	retryAfterStaleConfig  = time.Second
	// retryAfterUnsupported is for what this version of the program does not serve.
	retryAfterUnsupported = time.Hour
	// jobIDDigits is the number of hexadecimal digits of a job's ID.
	jobIDDigits = 16
)

// Call is what all requests of callers have in common.
type Call struct {
	Host string
	Path string
	Key  string
	Wait time.Duration // how long the caller waits; 0 if it does not say
	// MinConfigVersion is the oldest version of the configuration that may be used.
	MinConfigVersion uint64
}

// Outcome is the kind of an answer.
type Outcome int

// The outcomes. Refused, Overloaded, NoQueue, Unauthorized and Invalid promise that
// a job was not accepted and never runs because of this request.
const (
	OK           Outcome = iota
	Refused              // for now; RetryAfter tells when to come back
	Overloaded           // likewise
	NoQueue              // no such queue
	Unauthorized         // no account has the key
	Invalid              // the request can never be served
	Unknown              // it may or may not have taken effect
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
	// ConfigVersion is that of the configuration by which the call was let in or
	// turned away; 0 if there was none.
	ConfigVersion uint64
}

// Policies is where the front finds the configuration.
type Policies interface {
	FreshSnapshot() (*policy.Snapshot, time.Duration)
	StoreOutage() time.Duration
	// MaxConfirmationAge is the age that the last confirmation reaches while all is well.
	MaxConfirmationAge() time.Duration
}

// Relay serves requests through another entry.
type Relay interface {
	// Forward returns false if no other entry has answered; the request may have
	// taken effect all the same.
	Forward(ctx context.Context, verb string, call Call, job *graph.Job, minConfigVersion uint64) (Answer, bool)
}

// OwnerQuerier answers what only the owner of scheduling knows, wherever it runs.
type OwnerQuerier interface {
	// JobState returns a job's state; known is false if the owner cannot be
	// asked or does not know the job.
	JobState(ctx context.Context, id graph.JobID) (state graph.State, known bool)
	// PendingJobs returns the number of a queue's jobs of which no task has started.
	PendingJobs(ctx context.Context, queue string) (n int, known bool)
}

// Front serves the requests of callers.
type Front struct {
	policies Policies
	store    *Store
	owner    OwnerQuerier
	relay    Relay
	now      func() time.Time
	// configVersionFloor is the newest version that any answer of this entry has rested on,
	// through another entry too: callers never see an older one again.
	configVersionFloor atomic.Uint64
	log                zerolog.Logger
	registry           metrics.Registry
}

// NewFront returns a front. now is the time of day.
func NewFront(p Policies, s *Store, o OwnerQuerier, r Relay, now func() time.Time, registry metrics.Registry, log zerolog.Logger) *Front {
	return &Front{policies: p, store: s, owner: o, relay: r, now: now, log: log, registry: registry}
}

// readyOutageLimit is how long the store may fail to confirm the configuration before
// callers are sent to other entries: the balancer takes two more seconds.
const readyOutageLimit = 300 * time.Millisecond

// Ready returns nil while callers can be served from here.
func (f *Front) Ready() error {
	if outage := f.policies.StoreOutage(); outage > f.policies.MaxConfirmationAge()+readyOutageLimit {
		return errors.Errorf("the store has not answered for %v", outage)
	}
	if s, age := f.policies.FreshSnapshot(); s == nil {
		return errors.Errorf("configuration was confirmed %v ago", age)
	}
	return nil
}

// target is what a call is about, once it has been let in.
type target struct {
	queue         *policy.Queue
	account       string
	id            graph.JobID // empty for the queue itself
	configVersion uint64
	configAge     time.Duration
}

// admit finds the queue of a call and checks its key. A nil target comes with
// the answer.
func (f *Front) admit(call Call) (*target, Answer) {
	snapshot, age := f.policies.FreshSnapshot()
	if snapshot == nil {
		return nil, Answer{Outcome: Refused, RetryAfter: retryAfterStaleConfig, Detail: "configuration is not known to be current"}
	}
	if minVersion := max(call.MinConfigVersion, f.configVersionFloor.Load()); snapshot.Version < minVersion {
		return nil, Answer{Outcome: Refused, RetryAfter: retryAfterStaleConfig, Detail: fmt.Sprintf("configuration %d is older than %d, which has been used", snapshot.Version, minVersion)}
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
	t.account = account.Name
	return t, Answer{}
}

// raiseConfigVersionFloor notes that an answer rests on a version.
func (f *Front) raiseConfigVersionFloor(version uint64) {
	for {
		old := f.configVersionFloor.Load()
		if version <= old || f.configVersionFloor.CompareAndSwap(old, version) {
			return
		}
	}
}

// Submit accepts a job.
func (f *Front) Submit(call Call, decode func() (*graph.Job, error)) Answer {
	start := time.Now()
	if f.policies.StoreOutage() > 0 {
		if a, served := f.relaySubmit(call, decode); served {
			f.recordAnswer(verbSubmit, call, nil, a, start)
			return a
		}
	}
	return f.SubmitLocal(call, decode)
}

// relaySubmit submits through another entry.
func (f *Front) relaySubmit(call Call, decode func() (*graph.Job, error)) (Answer, bool) {
	job, err := decode()
	if err != nil {
		return Answer{}, false // refused here as well, once the caller is known
	}
	return f.relayCall(verbSubmit, call, job)
}

func (f *Front) relayCall(verb string, call Call, job *graph.Job) (Answer, bool) {
	ctx, cancel := f.callContext(call)
	defer cancel()
	a, served := f.relay.Forward(ctx, verb, call, job, f.configVersionFloor.Load())
	f.raiseConfigVersionFloor(a.ConfigVersion)
	if served && a.Outcome == Refused {
		return a, false // this entry may still do better
	}
	if served {
		metrics.GetOrRegisterCounter("front.relayed", f.registry).Inc(1)
	}
	return a, served
}

// SubmitLocal accepts a job with this entry's own view of the store.
func (f *Front) SubmitLocal(call Call, decode func() (*graph.Job, error)) Answer {
	start := time.Now()
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
	job.ID = t.id
	job.Queue, job.Account, job.Pool = t.queue.Name, t.account, t.queue.Pool
	job.Priority, job.MaxAttempts = t.queue.Priority, t.queue.MaxAttempts
	job.Stretch, job.Allowance = t.queue.Stretch, t.queue.Allowance
	job.SubmittedAt = f.now()
	ctx, cancel := f.callContext(call)
	defer cancel()
	return answerForWrite(f.store.InsertJob(ctx, job))
}

// answerForWrite is the answer to a request that had to be made durable.
func answerForWrite(err error) Answer {
	switch {
	case err == nil:
		return Answer{Outcome: OK}
	case errors.Is(err, ledger.ErrOutcomeUnknown):
		return Answer{Outcome: Unknown, Detail: err.Error()}
	default:
		return Answer{Outcome: Refused, RetryAfter: retryAfterStoreFailure, Detail: err.Error()}
	}
}

// Lookup answers for a job's state, or for a queue's length.
func (f *Front) Lookup(call Call) Answer {
	if f.policies.StoreOutage() > 0 {
		if a, served := f.relayCall(verbLookup, call, nil); served {
			return a
		}
	}
	return f.LookupLocal(call)
}

// LookupLocal is Lookup with this entry's own view of the store.
func (f *Front) LookupLocal(call Call) Answer {
	start := time.Now()
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
		return Answer{Outcome: Refused, RetryAfter: retryAfterStoreFailure, Detail: "no entry owns scheduling"}
	}
	return Answer{Outcome: OK, Pending: &n}
}

func (f *Front) jobState(call Call, t *target) Answer {
	ctx, cancel := f.callContext(call)
	defer cancel()
	if state, known := f.owner.JobState(ctx, t.id); known {
		return Answer{Outcome: OK, State: state}
	}
	state, found, err := f.store.JobState(ctx, t.id)
	switch {
	case err != nil:
		return Answer{Outcome: Refused, RetryAfter: retryAfterStoreFailure, Detail: err.Error()}
	case !found:
		return Answer{Outcome: NoJob}
	default:
		return Answer{Outcome: OK, State: state}
	}
}

// Cancel ends a job.
func (f *Front) Cancel(call Call) Answer {
	if f.policies.StoreOutage() > 0 {
		if a, served := f.relayCall(verbCancel, call, nil); served {
			return a
		}
	}
	return f.CancelLocal(call)
}

// CancelLocal is Cancel with this entry's own view of the store.
func (f *Front) CancelLocal(call Call) Answer {
	start := time.Now()
	t, a := f.admit(call)
	if t != nil {
		a = f.cancelJob(call, t)
		a.ConfigVersion = t.configVersion
	}
	f.recordAnswer(verbCancel, call, t, a, start)
	return a
}

func (f *Front) cancelJob(call Call, t *target) Answer {
	ctx, cancel := f.callContext(call)
	defer cancel()
	found, err := f.store.CancelJob(ctx, t.id)
	if err == nil && !found {
		return Answer{Outcome: NoJob}
	}
	return answerForWrite(err)
}

// callContext ends shortly before the caller stops waiting.
func (f *Front) callContext(call Call) (context.Context, context.CancelFunc) {
	wait := call.Wait
	if wait == 0 {
		wait = defaultWait
	}
	return context.WithTimeout(context.Background(), max(wait-answerMargin, wait/2))
}

// recordAnswer counts and logs one answer.
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
