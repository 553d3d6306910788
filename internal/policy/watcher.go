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
	// waitFraction is the part of the time in which a change has to be in force that
	// one call waits for a change, and slackPart the part that its answer may take
	// beyond that: a silent connection is found after both, and the change has to
	// be read then.
	waitFraction  = 0.35
	slackFraction = 0.25
	// maxWait bounds the wait, so that an entry without the store is known soon.
	maxWait = 700 * time.Millisecond
	// defaultRevocationTime and usualApply are the limits where none are set.
	defaultRevocationTime = 5 * time.Second
	defaultApplyTime      = 2 * time.Second
	// revocationMargin is the part of the time in which a key has to end that a snapshot
	// is not used in, for calls on their way and a clock's rate.
	revocationMargin = 0.06
	// readTimeout bounds one read of the whole configuration.
	readTimeout = 1200 * time.Millisecond
	// retryDelay is the time between two calls after a failure.
	retryDelay = 100 * time.Millisecond
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
		l.RevocationTime = defaultRevocationTime
	}
	if l.ApplyTime == 0 {
		l.ApplyTime = defaultApplyTime
	}
	return l
}

// wait is how long one call waits for a change.
func (l Limits) wait() time.Duration {
	return min(maxWait, fractionOf(waitFraction, min(l.ApplyTime, l.RevocationTime/2)))
}

// slack is how long the answer may take beyond that.
func (l Limits) slack() time.Duration {
	return fractionOf(slackFraction, min(l.ApplyTime, l.RevocationTime/2))
}

// maxConfirmationAge is the age that a confirmation reaches while all is well.
func (l Limits) maxConfirmationAge() time.Duration { return l.wait() + l.slack() }

// maxSnapshotAge is the age of the last confirmation up to which a snapshot may be used
// for callers. A watch may have missed a change for as long as one call lasts.
func (l Limits) maxSnapshotAge() time.Duration {
	return l.RevocationTime - l.maxConfirmationAge() - fractionOf(revocationMargin, l.RevocationTime)
}

func fractionOf(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

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
	source   Source
	limits   Limits
	clock    func() time.Duration
	log      zerolog.Logger
	reads    metrics.Counter
	failures metrics.Counter

	mu          sync.Mutex
	current     *Snapshot
	confirmedAt time.Duration // start of the last call that confirmed current
	storeLost   bool
	subscribers []func(*Snapshot)
	loops       kernel.Loops
}

// NewWatcher returns a watcher that is not running yet.
func NewWatcher(source Source, limits Limits, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Watcher {
	return &Watcher{
		source:   source,
		limits:   limits.withDefaults(),
		clock:    clock,
		log:      log,
		reads:    metrics.GetOrRegisterCounter("policy.reads", registry),
		failures: metrics.GetOrRegisterCounter("policy.failures", registry),
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
	w.subscribers = append(w.subscribers, fn)
}

// LatestSnapshot returns the newest snapshot, however old its confirmation is; nil
// before the first one.
func (w *Watcher) LatestSnapshot() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// MaxConfirmationAge is the age that a confirmation reaches while all is well.
func (w *Watcher) MaxConfirmationAge() time.Duration { return w.limits.maxConfirmationAge() }

// FreshSnapshot returns the newest snapshot if it has been confirmed lately, else nil.
func (w *Watcher) FreshSnapshot() (s *Snapshot, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age = w.clock() - w.confirmedAt
	if w.current == nil || age > w.limits.maxSnapshotAge() {
		return nil, age
	}
	return w.current, age
}

// StoreOutage returns for how long the store has failed to confirm the configuration,
// 0 while it does.
func (w *Watcher) StoreOutage() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil && !w.storeLost {
		return 0
	}
	return w.clock() - w.confirmedAt
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
			w.handleFailure(err)
			kernel.Sleep(ctx, retryDelay)
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
	ctx, cancel := context.WithTimeout(ctx, w.limits.maxConfirmationAge())
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
	w.confirmedAt = max(w.confirmedAt, at)
	w.markRegained()
}

func (w *Watcher) markRegained() {
	if w.storeLost {
		w.storeLost = false
		w.log.Info().Msg("configuration store regained")
	}
}

func (w *Watcher) handleFailure(err error) {
	w.failures.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.storeLost && !errors.Is(err, ErrHistoryGone) {
		w.storeLost = true
		w.log.Warn().Err(err).Dur("confirmed_ago", w.clock()-w.confirmedAt).Msg("configuration store lost")
	}
}

// apply takes over what was read in a call that began at start.
func (w *Watcher) apply(start time.Duration, next *Snapshot) {
	w.mu.Lock()
	w.markRegained()
	if next == nil || w.current != nil && next.Version < w.current.Version {
		w.mu.Unlock()
		return
	}
	next.buildIndex()
	w.current = next
	w.confirmedAt = max(w.confirmedAt, start)
	subscribers := append(([]func(*Snapshot))(nil), w.subscribers...)
	w.mu.Unlock()
	w.log.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).
		Int("accounts", len(next.Accounts)).Int("zones_out", len(next.ZonesOut)).Msg("configuration in force")
	for _, fn := range subscribers {
		fn(next)
	}
}
