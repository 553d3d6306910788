package policy

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

const (
	// watchPart is the part of the time in which a change has to be in force that
	// one call waits for a change, and slackPart the part that its answer may take
	// beyond that: a silent connection is found after both, and the change has to
	// be read then.
	watchPart = 0.35
	slackPart = 0.25
	// maxWatch bounds the wait, so that an entry without the store is known soon.
	maxWatch = 700 * time.Millisecond
	// usualKeyEnd and usualApply are the limits where none are set.
	usualKeyEnd = 5 * time.Second
	usualApply  = 2 * time.Second
	// keyMargin is the part of the time in which a key has to end that a snapshot
	// is not used in, for calls on their way and a clock's rate.
	keyMargin = 0.06
	// readTimeout bounds one read of the whole configuration.
	readTimeout = 1200 * time.Millisecond
	// retryWait is the time between two calls after a failure.
	retryWait = 100 * time.Millisecond
)

// Limits are the times in which operators' changes have to take effect. Zero
// values take the usual ones.
type Limits struct {
	// RevocationTime is within which a key has to end after its removal, also at an entry
	// that does not reach the store.
	RevocationTime time.Duration
	// ApplyTime is within which any change has to be in force.
	ApplyTime time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.RevocationTime == 0 {
		l.RevocationTime = usualKeyEnd
	}
	if l.ApplyTime == 0 {
		l.ApplyTime = usualApply
	}
	return l
}

// wait is how long one call waits for a change.
func (l Limits) wait() time.Duration {
	return min(maxWatch, part(watchPart, min(l.ApplyTime, l.RevocationTime/2)))
}

// slack is how long the answer may take beyond that.
func (l Limits) slack() time.Duration { return part(slackPart, min(l.ApplyTime, l.RevocationTime/2)) }

// watch is the age that a confirmation reaches while all is well.
func (l Limits) watch() time.Duration { return l.wait() + l.slack() }

// fresh is the age of the last confirmation up to which a snapshot may be used
// for callers. A watch may have missed a change for as long as one call lasts.
func (l Limits) fresh() time.Duration {
	return l.RevocationTime - l.watch() - part(keyMargin, l.RevocationTime)
}

func part(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// ErrHistoryGone says that the store no longer tells what has changed since a
// revision; the configuration has to be read anew.
const ErrHistoryGone = errors.ConstError("history is gone")

// Source is where operators keep the configuration.
type Source interface {
	// Read returns the configuration as of one moment and its revision.
	Read(ctx context.Context) (*Snapshot, uint64, error)
	// WaitForChange returns once something has changed after a revision, or after wait.
	WaitForChange(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error)
}

// Watcher keeps the newest configuration. A process never goes back to a lower
// version.
type Watcher struct {
	source Source
	limits Limits
	clock  func() time.Duration
	log    zerolog.Logger
	reads  metrics.Counter
	fails  metrics.Counter

	mu        sync.Mutex
	current   *Snapshot
	confirmed time.Duration // start of the last call that confirmed current
	lost      bool
	subs      []func(*Snapshot)
	loops     kernel.Loops
}

// NewWatcher returns a watcher that is not running yet.
func NewWatcher(source Source, limits Limits, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Watcher {
	return &Watcher{
		source: source,
		limits: limits.withDefaults(),
		clock:  clock,
		log:    log,
		reads:  metrics.GetOrRegisterCounter("policy.reads", registry),
		fails:  metrics.GetOrRegisterCounter("policy.failures", registry),
	}
}

// Start starts to follow the configuration.
func (w *Watcher) Start(context.Context) error {
	w.loops.Begin()
	w.loops.Go(w.follow)
	return nil
}

// Stop ends the watch.
func (w *Watcher) Stop(context.Context) error {
	w.loops.End()
	return nil
}

// Subscribe calls fn after each change, in order, from one goroutine.
func (w *Watcher) Subscribe(fn func(*Snapshot)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subs = append(w.subs, fn)
}

// LatestSnapshot returns the newest snapshot, however old its confirmation is; nil
// before the first one.
func (w *Watcher) LatestSnapshot() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// MaxConfirmationAge is the age that a confirmation reaches while all is well.
func (w *Watcher) MaxConfirmationAge() time.Duration { return w.limits.watch() }

// FreshSnapshot returns the newest snapshot if it has been confirmed lately, else nil.
func (w *Watcher) FreshSnapshot() (s *Snapshot, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age = w.clock() - w.confirmed
	if w.current == nil || age > w.limits.fresh() {
		return nil, age
	}
	return w.current, age
}

// StoreOutage returns for how long the store has failed to confirm the configuration,
// 0 while it does.
func (w *Watcher) StoreOutage() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil && !w.lost {
		return 0
	}
	return w.clock() - w.confirmed
}

func (w *Watcher) follow(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := w.read(ctx)
		for err == nil && ctx.Err() == nil {
			var changed bool
			changed, err = w.wait(ctx, revision)
			if changed {
				break
			}
		}
		if err != nil && ctx.Err() == nil {
			w.failed(err)
			kernel.Sleep(ctx, retryWait)
		}
	}
}

func (w *Watcher) read(ctx context.Context) (uint64, error) {
	start := w.clock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	w.reads.Inc(1)
	next, revision, err := w.source.Read(ctx)
	if err != nil {
		return 0, errors.Annotate(err, "reading the configuration")
	}
	w.apply(start, next)
	return revision, nil
}

func (w *Watcher) wait(ctx context.Context, revision uint64) (bool, error) {
	start := w.clock()
	ctx, cancel := context.WithTimeout(ctx, w.limits.watch())
	defer cancel()
	changed, err := w.source.WaitForChange(ctx, revision, w.limits.wait())
	if err != nil {
		return false, errors.Annotatef(err, "watching the configuration after revision %d", revision)
	}
	if !changed {
		w.confirm(start)
	}
	return changed, nil
}

func (w *Watcher) confirm(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = max(w.confirmed, at)
	w.regained()
}

func (w *Watcher) regained() {
	if w.lost {
		w.lost = false
		w.log.Info().Msg("configuration store regained")
	}
}

func (w *Watcher) failed(err error) {
	w.fails.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost && !errors.Is(err, ErrHistoryGone) {
		w.lost = true
		w.log.Warn().Err(err).Dur("confirmed_ago", w.clock()-w.confirmed).Msg("configuration store lost")
	}
}

// apply takes over what was read in a call that began at start.
func (w *Watcher) apply(start time.Duration, next *Snapshot) {
	w.mu.Lock()
	w.regained()
	if next == nil || w.current != nil && next.Version < w.current.Version {
		w.mu.Unlock()
		return
	}
	next.index()
	w.current = next
	w.confirmed = max(w.confirmed, start)
	subs := append(([]func(*Snapshot))(nil), w.subs...)
	w.mu.Unlock()
	w.log.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).
		Int("accounts", len(next.Accounts)).Int("zones_out", len(next.ZonesOut)).Msg("configuration in force")
	for _, fn := range subs {
		fn(next)
	}
}
