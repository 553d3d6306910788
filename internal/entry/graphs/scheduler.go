package graphs

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// LeaseDuration is how long a worker continues to run without a lease grant
	// of the owner: long enough for a takeover and a short outage of the table.
	LeaseDuration = 6 * time.Second
	// maxClockDrift is the maximum relative rate by which a worker's clock may
	// be slow.
	maxClockDrift = 0.02
	// leaseSlack covers the resolution of the workers' clocks.
	leaseSlack = 300 * time.Millisecond
	// tickInterval is the time between two Tick events of the core.
	tickInterval = 200 * time.Millisecond
	// termRetryInterval is the delay before the next attempt to begin a term or
	// to read the feed after a failure.
	termRetryInterval = 150 * time.Millisecond
	// termWait is how long an agent's connection waits for the term of an owner to begin.
	// Agents take an owner that does not answer within 1.2 s for dead.
	termWait = time.Second
	// feedPollTimeout is how long one call of the feed waits for a row.
	feedPollTimeout = 2 * time.Second
	// saveRetryInterval is the delay before the next attempt to save a job's
	// progress.
	saveRetryInterval = 150 * time.Millisecond
	// loadTimeout bounds the fencing and the reading of all jobs when a term
	// begins.
	loadTimeout = 8 * time.Second
)

// Limits are deployment-specific limits of the workers.
type Limits struct {
	// MaxLease is the longest lease that a worker accepts; 0 if unlimited.
	MaxLease time.Duration
	// StopTime is how long a worker may take to stop a run; 0 for the default.
	StopTime time.Duration
}

// leaseDuration is how long a worker continues to run without a grant.
func (l Limits) leaseDuration() time.Duration {
	if l.MaxLease == 0 {
		return LeaseDuration
	}
	return min(LeaseDuration, l.MaxLease)
}

// leaseBound is the time after a worker's last report by which its lease has
// expired, for any clock drift up to maxClockDrift.
func (l Limits) leaseBound() time.Duration {
	return time.Duration(float64(l.leaseDuration())*(1+2*maxClockDrift)) + leaseSlack
}

// lateLeaseBound is the time after a worker has taken a lease of any length by which that has
// expired; 0 if the length is not limited.
func (l Limits) lateLeaseBound() time.Duration {
	if l.MaxLease == 0 {
		return 0
	}
	return time.Duration(float64(l.MaxLease)*(1+2*maxClockDrift)) + leaseSlack
}

// Ownership reports whether this process owns scheduling.
type Ownership interface {
	Current() owner.Authority
	Subscribe(fn func(owner.Authority))
	// Overlap is how long a previous owner may still act after this process
	// has become the owner.
	Overlap() time.Duration
}

// Scheduler runs a term whenever this process owns scheduling.
type Scheduler struct {
	owner    Ownership
	store    *Store
	policies *policy.Watcher
	limits   Limits
	features feature.Set
	clock    func() time.Duration
	now      func() time.Time // time of day
	registry metrics.Registry
	log      zerolog.Logger
	// followers is the number of entries that follow the outlook.
	followers atomic.Int32

	mu          sync.Mutex
	term        *term
	termChanged chan struct{} // closed when term changes
	wake        chan struct{}
	loops       kernel.Loops
}

// NewScheduler returns a scheduler that is not running yet.
func NewScheduler(o Ownership, s *Store, p *policy.Watcher, limits Limits, features feature.Set, clock func() time.Duration, now func() time.Time, registry metrics.Registry, log zerolog.Logger) *Scheduler {
	return &Scheduler{owner: o, store: s, policies: p, limits: limits, features: features, clock: clock, now: now, registry: registry, log: log, termChanged: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Start begins to follow changes of ownership and policy.
func (s *Scheduler) Start(context.Context) error {
	s.loops.Begin()
	s.owner.Subscribe(func(owner.Authority) { s.wakeUp() })
	s.policies.Subscribe(func(*policy.Snapshot) { s.wakeUp() })
	s.loops.Go(s.run)
	return nil
}

// Stop ends the term. Workers continue to run until the next owner takes over or
// their lease expires.
func (s *Scheduler) Stop(context.Context) error {
	s.loops.End()
	return nil
}

func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// currentTerm returns the term in progress, or nil.
func (s *Scheduler) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Scheduler) setTerm(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
	close(s.termChanged)
	s.termChanged = make(chan struct{})
}

// owningTerm returns the term in progress if this process owns scheduling under its
// epoch, nil otherwise, and a channel that is closed when the term changes.
func (s *Scheduler) owningTerm() (*term, <-chan struct{}) {
	s.mu.Lock()
	t, changed := s.term, s.termChanged
	s.mu.Unlock()
	if t == nil || !t.ownsScheduling() {
		return nil, changed
	}
	return t, changed
}

// awaitTerm returns the term in progress. If this process owns scheduling but its term
// has not begun, it waits for the term until termWait has passed or ctx is done. The
// result is nil without a term.
func (s *Scheduler) awaitTerm(ctx context.Context) *term {
	ctx, cancel := context.WithTimeout(ctx, termWait)
	defer cancel()
	for {
		t, changed := s.owningTerm()
		if t != nil || !s.owner.Current().Owner {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Scheduler) run(ctx context.Context) {
	for ctx.Err() == nil {
		a := s.owner.Current()
		if !a.Owner {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		if err := s.runTerm(ctx, a.Epoch); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Uint64("epoch", a.Epoch).Msg("scheduling term ended")
			kernel.Sleep(ctx, termRetryInterval)
		}
	}
}

// runTerm begins a term, runs it until it ends and returns the reason for its
// end.
func (s *Scheduler) runTerm(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t, err := s.beginTerm(ctx, epoch, cancel)
	if err != nil {
		return err
	}
	s.setTerm(t)
	defer func() {
		s.setTerm(nil)
		t.close()
	}()
	go t.followFeed(ctx)
	if s.features.Has(feature.Admission) {
		go t.publishOutlook(ctx)
	}
	if t.learned != nil {
		go t.learned.run(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		case <-ticker.C:
		}
		if !t.ownsScheduling() {
			return errors.New("ownership is over")
		}
		t.step(plan.Tick{})
	}
}

// beginTerm fences off earlier owners, loads all jobs and restores what the earlier
// owner has learned.
func (s *Scheduler) beginTerm(ctx context.Context, epoch uint64, cancelTerm context.CancelCauseFunc) (*term, error) {
	start := s.clock()
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	token, version, err := s.store.AdvanceFence(loadCtx, epoch)
	if err != nil {
		return nil, errors.Trace(err)
	}
	jobs, learnedRow, err := s.loadRows(loadCtx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := newTerm(s, epoch, token, version, cancelTerm)
	t.ctx = ctx
	if s.features.Has(feature.SavedLearning) {
		t.restoreLearned(s, learnedRow)
	}
	t.loadJobs(jobs)
	t.log.Info().Int("jobs", len(jobs)).Dur("took_ms", s.clock()-start).Msg("scheduling term began")
	return t, nil
}

// loadRows loads all jobs and, if the feature is on, the row of the learned state.
func (s *Scheduler) loadRows(ctx context.Context) ([]*storedJob, ledger.Row, error) {
	if s.features.Has(feature.SavedLearning) {
		return s.store.LoadJobsAndLearned(ctx)
	}
	jobs, err := s.store.LoadJobs(ctx)
	return jobs, ledger.Row{}, err
}

// Owns reports whether this process has a term in progress and still owns
// scheduling.
func (s *Scheduler) Owns() bool {
	t, _ := s.owningTerm()
	return t != nil
}

// JobState returns a job's state; the result is false if this process is not the
// owner, does not know the job or ctx ends before the query's turn.
func (s *Scheduler) JobState(ctx context.Context, id graph.JobID) (state graph.State, known bool) {
	s.query(ctx, func(c *plan.Core) {
		var status plan.JobStatus
		status, known = c.JobStatus(id)
		state = status.State
	})
	return state, known
}

// PendingJobs returns the number of a queue's pending jobs; the result is false if
// this process is not the owner or ctx ends before the query's turn.
func (s *Scheduler) PendingJobs(ctx context.Context, queue string) (n int, known bool) {
	known = s.query(ctx, func(c *plan.Core) { n = c.PendingJobs(queue) })
	return n, known
}

// query passes the core to read, which must not change it. It returns false if this
// process is not the owner or ctx ends before the query's turn.
func (s *Scheduler) query(ctx context.Context, read func(*plan.Core)) bool {
	t, _ := s.owningTerm()
	return t != nil && t.query(ctx, read)
}

// DumpState returns the core's state for the state dump, nil without a term.
func (s *Scheduler) DumpState() any {
	t := s.currentTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Dump()
}

// followFeed applies the rows that entries have written since the term began.
func (t *term) followFeed(ctx context.Context) {
	after := t.fenceVersion
	failing := false
	for ctx.Err() == nil {
		rows, upTo, err := t.store.table.Feed(ctx, jobsPrefix, after, feedPollTimeout)
		if err == nil {
			err = t.applyRows(ctx, rows)
		}
		if err == nil {
			after = upTo
			if failing {
				failing = false
				t.log.Info().Msg("job feed recovered")
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !failing {
			failing = true
			t.log.Warn().Err(err).Uint64("after", after).Msg("job feed failed; retrying")
		}
		after = t.recoverFeed(ctx, after, err)
	}
}

// recoverFeed waits after a failure of the feed and reloads all jobs if the
// history after the given version is no longer available. It returns the version
// from which to continue.
func (t *term) recoverFeed(ctx context.Context, after uint64, cause error) uint64 {
	kernel.Sleep(ctx, termRetryInterval)
	if !errors.Is(cause, external.ErrHistoryGone) {
		return after
	}
	newest, err := t.store.table.Newest(ctx)
	if err != nil {
		return after
	}
	jobs, err := t.store.LoadJobs(ctx)
	if err != nil {
		return after
	}
	t.loadJobs(jobs)
	return newest
}

// applyRows applies changed rows. Jobs of which a row could not be read are read again as a
// whole: the change may be that row alone, without the progress of the job.
func (t *term) applyRows(ctx context.Context, rows []ledger.Row) error {
	again := t.unreadableJobs(rows)
	jobs := slices.DeleteFunc(decodeJobs(rows), func(j *storedJob) bool { return again[j.id] })
	var removed []graph.JobID
	for _, id := range slices.Sorted(maps.Keys(again)) {
		j, err := t.store.LoadJob(ctx, id)
		switch {
		case err != nil:
			return errors.Trace(err)
		case j == nil || j.job == nil && j.err == nil:
			removed = append(removed, id)
			if err := t.store.removeEnds(ctx, j); err != nil {
				return errors.Trace(err)
			}
		default:
			jobs = append(jobs, j)
		}
	}
	t.loadJobs(jobs)
	for _, id := range removed {
		t.step(plan.JobRemoved{Job: id})
	}
	return nil
}

// unreadableJobs returns the jobs of rows of which an earlier row could not be read.
func (t *term) unreadableJobs(rows []ledger.Row) map[graph.JobID]bool {
	out := map[graph.JobID]bool{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		if id, _, ok := splitKey(r.Key); ok && t.core.Unreadable(id) {
			out[id] = true
		}
	}
	return out
}
