package graphs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

const (
	// LeaseDuration is how long a worker runs on without a grant of the owner: long
	// enough for a takeover and a short outage of the table.
	LeaseDuration = 6 * time.Second
	// clockRate is by how much a worker's clock may be slow.
	clockRate = 0.02
	// leaseSlack is added for the grain of the workers' clocks.
	leaseSlack = 300 * time.Millisecond
	// tickInterval is the time between two looks of the core at the clock.
	tickInterval = 200 * time.Millisecond
	// loadRetry is the time between two tries to begin a term.
	loadRetry = 150 * time.Millisecond
	// feedWait is how long one call of the feed waits for a row.
	feedWait = 2 * time.Second
	// saveRetry is the time between two tries to save a job's progress.
	saveRetry = 150 * time.Millisecond
	// loadTimeout bounds the reading of all jobs.
	loadTimeout = 8 * time.Second
)

// Limits are the bounds that a deployment sets to what its workers do.
type Limits struct {
	// MaxLease is the longest lease that a worker grants; 0 for any.
	MaxLease time.Duration
	// StopTime is how long a worker may take to stop a run; 0 for the usual time.
	StopTime time.Duration
}

// lease is how long a worker runs on without a grant.
func (l Limits) lease() time.Duration {
	if l.MaxLease == 0 {
		return LeaseDuration
	}
	return min(LeaseDuration, l.MaxLease)
}

// leaseBound is how long after a worker's last report its lease has ended on
// any clock.
func (l Limits) leaseBound() time.Duration {
	return time.Duration(float64(l.lease())*(1+2*clockRate)) + leaseSlack
}

// Ownership tells whether this process owns scheduling.
type Ownership interface {
	Current() owner.Authority
	Subscribe(fn func(owner.Authority))
	// Overlap is for how long an earlier owner may still act after this process
	// has become the owner.
	Overlap() time.Duration
}

// Scheduler runs a term whenever this process owns scheduling.
type Scheduler struct {
	owner    Ownership
	store    *Store
	policies *policy.Watcher
	limits   Limits
	clock    func() time.Duration
	now      func() time.Time // time of day
	registry metrics.Registry
	log      zerolog.Logger

	mu    sync.Mutex
	term  *term
	wake  chan struct{}
	loops kernel.Loops
}

// NewScheduler returns a scheduler that is not running yet.
func NewScheduler(o Ownership, s *Store, p *policy.Watcher, limits Limits, clock func() time.Duration, now func() time.Time, registry metrics.Registry, log zerolog.Logger) *Scheduler {
	return &Scheduler{owner: o, store: s, policies: p, limits: limits, clock: clock, now: now, registry: registry, log: log, wake: make(chan struct{}, 1)}
}

// Start starts to follow the ownership.
func (s *Scheduler) Start(context.Context) error {
	s.loops.Begin()
	s.owner.Subscribe(func(owner.Authority) { s.poke() })
	s.policies.Subscribe(func(p *policy.Snapshot) {
		if t := s.current(); t != nil {
			t.step(plan.PolicyChanged{Policy: p})
		}
	})
	s.loops.Go(s.run)
	return nil
}

// Stop ends the term. Workers run on until the next owner is there.
func (s *Scheduler) Stop(context.Context) error {
	s.loops.End()
	return nil
}

func (s *Scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// current returns the term in progress, nil without one.
func (s *Scheduler) current() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Scheduler) set(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
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
		if err := s.serve(ctx, a.Epoch); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Uint64("epoch", a.Epoch).Msg("term ended")
			kernel.Sleep(ctx, loadRetry)
		}
	}
}

// serve begins a term, runs it until it ends and returns why.
func (s *Scheduler) serve(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t, err := s.begin(ctx, epoch, cancel)
	if err != nil {
		return err
	}
	s.set(t)
	defer func() {
		s.set(nil)
		t.close()
	}()
	go t.follow(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		case <-ticker.C:
		}
		if !t.valid() {
			return errors.New("ownership is over")
		}
		t.step(plan.Tick{})
	}
}

// begin fences earlier owners off and loads all jobs.
func (s *Scheduler) begin(ctx context.Context, epoch uint64, end context.CancelCauseFunc) (*term, error) {
	start := s.clock()
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	token, version, err := s.store.AdvanceFence(loadCtx, epoch)
	if err != nil {
		return nil, errors.Trace(err)
	}
	jobs, err := s.store.LoadJobs(loadCtx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := newTerm(s, epoch, token, version, end)
	t.ctx = ctx
	if p := s.policies.LatestSnapshot(); p != nil {
		t.step(plan.PolicyChanged{Policy: p})
	}
	t.load(jobs)
	t.log.Info().Int("jobs", len(jobs)).Dur("took_ms", s.clock()-start).Msg("term began")
	return t, nil
}

// Owns reports whether this process runs a term.
func (s *Scheduler) Owns() bool {
	t := s.current()
	return t != nil && t.valid()
}

// JobState returns a job's state if this process is the owner and knows it.
func (s *Scheduler) JobState(id graph.JobID) (graph.State, bool) {
	t := s.current()
	if t == nil || !t.valid() {
		return "", false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.core.JobStatus(id)
	return v.State, ok
}

// PendingJobs returns a queue's length if this process is the owner.
func (s *Scheduler) PendingJobs(queue string) (int, bool) {
	t := s.current()
	if t == nil || !t.valid() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.PendingJobs(queue), true
}

// DumpState returns the state for the dump on request.
func (s *Scheduler) DumpState() any {
	t := s.current()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Dump()
}

// follow takes in what callers have stored since the term began.
func (t *term) follow(ctx context.Context) {
	after := t.fence
	lost := false
	for ctx.Err() == nil {
		rows, upTo, err := t.store.table.Feed(ctx, jobsPrefix, after, feedWait)
		if err == nil {
			t.take(rows)
			after = upTo
			if lost {
				lost = false
				t.log.Info().Msg("feed of jobs regained")
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			lost = true
			t.log.Warn().Err(err).Uint64("after", after).Msg("feed of jobs lost")
		}
		after = t.catchUp(ctx, after, err)
	}
}

// catchUp waits after a failure of the feed and, where its history is gone,
// reads all jobs. It returns the version to go on from.
func (t *term) catchUp(ctx context.Context, after uint64, cause error) uint64 {
	kernel.Sleep(ctx, loadRetry)
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
	t.load(jobs)
	return newest
}

func (t *term) take(rows []ledger.Row) {
	found, err := decode(rows)
	if err != nil {
		t.log.Error().Err(err).Msg("row of the feed cannot be read")
		return
	}
	t.load(found)
}
