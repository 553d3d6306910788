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
	// waitFraction is the fraction of the time to apply a change for which one call
	// waits for a change, and slackFraction the fraction that its response may take
	// beyond that. A silent connection is detected after both, and enough time has
	// to remain to read the change.
	waitFraction  = 0.35
	slackFraction = 0.25
	// maxWait limits the wait, so that an entry that has lost the store is detected
	// soon.
	maxWait               = 700 * time.Millisecond
	defaultRevocationTime = 5 * time.Second
	defaultApplyTime      = 2 * time.Second
	// marginFraction is the fraction of RevocationTime by which a snapshot expires
	// early, to allow for calls in progress and clock drift.
	marginFraction = 0.06
	// readTimeout limits one read of the whole configuration.
	readTimeout = 1200 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 100 * time.Millisecond
)

// Limits are the times within which operators' changes must take effect. Zero
// values select the defaults.
type Limits struct {
	// RevocationTime is the time within which a removed key must be rejected, also at
	// an entry that cannot reach the store.
	RevocationTime time.Duration
	// ApplyTime is the time within which any change must be in effect.
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

// wait returns the time one call to the source waits for a change.
func (l Limits) wait() time.Duration {
	return min(maxWait, fractionOf(waitFraction, min(l.ApplyTime, l.RevocationTime/2)))
}

// slack returns the time that the response may take beyond wait.
func (l Limits) slack() time.Duration {
	return fractionOf(slackFraction, min(l.ApplyTime, l.RevocationTime/2))
}

// maxConfirmationAge returns the age that the last confirmation may reach in normal
// operation.
func (l Limits) maxConfirmationAge() time.Duration { return l.wait() + l.slack() }

// maxSnapshotAge returns the age of the last confirmation up to which a snapshot may
// be used for callers. A change may go unnoticed for the duration of one call, hence
// maxConfirmationAge is subtracted.
func (l Limits) maxSnapshotAge() time.Duration {
	return l.RevocationTime - l.maxConfirmationAge() - fractionOf(marginFraction, l.RevocationTime)
}

func fractionOf(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// ErrHistoryGone reports that the store no longer has the changes since a revision.
// The whole configuration has to be read again.
const ErrHistoryGone = errors.ConstError("history is gone")

// Source is the store in which operators keep the configuration.
type Source interface {
	// Read returns a consistent snapshot of the configuration and its revision.
	Read(ctx context.Context) (*Snapshot, uint64, error)
	// WaitForChange returns once something has changed since the revision after, or
	// once wait has elapsed.
	WaitForChange(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error)
}

// Watcher keeps the newest configuration. It never goes back to a lower version
// within a process.
type Watcher struct {
	source   Source
	limits   Limits
	clock    func() time.Duration
	log      zerolog.Logger
	reads    metrics.Counter
	failures metrics.Counter
	skipped  metrics.Counter

	mu          sync.Mutex
	current     *Snapshot
	confirmedAt time.Duration // start of the last call that confirmed current
	storeLost   bool
	subscribers []func(*Snapshot)
	loops       kernel.Loops
}

// NewWatcher returns a watcher. Start has to be called to run it.
func NewWatcher(source Source, limits Limits, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Watcher {
	return &Watcher{
		source:   source,
		limits:   limits.withDefaults(),
		clock:    clock,
		log:      log,
		reads:    metrics.GetOrRegisterCounter("policy.reads", registry),
		failures: metrics.GetOrRegisterCounter("policy.failures", registry),
		skipped:  metrics.GetOrRegisterCounter("policy.entries_skipped", registry),
	}
}

// Start starts watching the configuration.
func (w *Watcher) Start(context.Context) error {
	w.loops.Begin()
	w.loops.Go(w.follow)
	return nil
}

// Stop stops watching.
func (w *Watcher) Stop(context.Context) error {
	w.loops.End()
	return nil
}

// Subscribe registers fn to be called after each change, in order, from a single
// goroutine.
func (w *Watcher) Subscribe(fn func(*Snapshot)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, fn)
}

// LatestSnapshot returns the newest snapshot regardless of the age of its
// confirmation, or nil if none has been read.
func (w *Watcher) LatestSnapshot() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// MaxConfirmationAge returns the age that the last confirmation may reach in normal
// operation.
func (w *Watcher) MaxConfirmationAge() time.Duration { return w.limits.maxConfirmationAge() }

// FreshSnapshot returns the newest snapshot and the age of its last confirmation.
// The snapshot is nil if the confirmation is too old for it to be used for callers.
func (w *Watcher) FreshSnapshot() (s *Snapshot, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age = w.clock() - w.confirmedAt
	if w.current == nil || age > w.limits.maxSnapshotAge() {
		return nil, age
	}
	return w.current, age
}

// StoreOutage returns the time since the last confirmation if the store fails to
// confirm the configuration, and 0 otherwise.
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
		w.log.Info().Msg("configuration store reachable again")
	}
}

func (w *Watcher) handleFailure(err error) {
	w.failures.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.storeLost && !errors.Is(err, ErrHistoryGone) {
		w.storeLost = true
		w.log.Warn().Err(err).Dur("confirmed_ago", w.clock()-w.confirmedAt).Msg("configuration store unreachable")
	}
}

// apply publishes a snapshot that was read by a call started at start, unless its
// version is lower than the current one, and notifies the subscribers.
func (w *Watcher) apply(start time.Duration, next *Snapshot) {
	w.mu.Lock()
	w.markRegained()
	if next == nil || w.current != nil && next.Version < w.current.Version {
		w.mu.Unlock()
		return
	}
	known := w.current != nil && w.current.Version == next.Version
	next.buildIndex()
	w.current = next
	w.confirmedAt = max(w.confirmedAt, start)
	subscribers := append(([]func(*Snapshot))(nil), w.subscribers...)
	w.mu.Unlock()
	w.log.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).
		Int("accounts", len(next.Accounts)).Int("zones_out", len(next.ZonesOut)).Msg("configuration in force")
	if !known {
		w.reportSkipped(next)
	}
	for _, fn := range subscribers {
		fn(next)
	}
}

// reportSkipped counts the entries of a new version that were left out and logs the
// first one.
func (w *Watcher) reportSkipped(s *Snapshot) {
	if len(s.Skipped) == 0 {
		return
	}
	w.skipped.Inc(int64(len(s.Skipped)))
	w.log.Error().Uint64("version", s.Version).Int("entries", len(s.Skipped)).Str("first", s.Skipped[0]).Msg("configuration has entries that are left out")
}
