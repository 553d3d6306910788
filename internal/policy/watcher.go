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
	// watchWait is how long one call waits for a change. A silent connection is
	// found after it and watchSlack, within the time in which a change has to
	// be in force.
	watchWait  = 700 * time.Millisecond
	watchSlack = 500 * time.Millisecond
	// WatchLimit is the age that a confirmation reaches while all is well.
	WatchLimit = watchWait + watchSlack
	// readTimeout bounds one read of the whole configuration.
	readTimeout = 1200 * time.Millisecond
	// retryWait is the time between two calls after a failure.
	retryWait = 100 * time.Millisecond
	// FreshLimit is the age of the last confirmation up to which a snapshot may
	// be used for callers: keys have to end 5 s after their removal, and a watch
	// may miss a change for a second.
	FreshLimit = 3500 * time.Millisecond
)

// ErrHistoryGone says that the store no longer tells what has changed since a
// revision; the configuration has to be read anew.
const ErrHistoryGone = errors.ConstError("history is gone")

// Source is where operators keep the configuration.
type Source interface {
	// Read returns the configuration as of one moment and its revision.
	Read(ctx context.Context) (*Snapshot, uint64, error)
	// Wait returns once something has changed after a revision, or after wait.
	Wait(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error)
}

// Watcher keeps the newest configuration. A process never goes back to a lower
// version.
type Watcher struct {
	source Source
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
func NewWatcher(source Source, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Watcher {
	return &Watcher{
		source: source,
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

// Latest returns the newest snapshot, however old its confirmation is; nil
// before the first one.
func (w *Watcher) Latest() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Fresh returns the newest snapshot if it has been confirmed lately, else nil.
func (w *Watcher) Fresh() (s *Snapshot, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age = w.clock() - w.confirmed
	if w.current == nil || age > FreshLimit {
		return nil, age
	}
	return w.current, age
}

// Lost returns for how long the store has failed to confirm the configuration,
// 0 while it does.
func (w *Watcher) Lost() time.Duration {
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
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changed, err := w.source.Wait(ctx, revision, watchWait)
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
