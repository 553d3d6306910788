// Package scheduler runs the scheduling core in the entry that owns the cell.
// Each term of ownership has its own core, which is rebuilt from the job rows
// in the table and the reports of the worker agents.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// scanInterval is the time between two scans for active jobs whose change
	// notice was lost.
	scanInterval = 2 * time.Second
	scanTimeout  = 10 * time.Second
	drainTimeout = 5 * time.Second
	// maxReportsPerWorker bounds the group reports stored for each worker.
	maxReportsPerWorker = 256
)

// OwnershipSource reports whether this entry owns the cell.
type OwnershipSource interface {
	// Authority returns the current ownership, without StartAfter, and how long
	// a term that starts now must wait before it starts jobs.
	Authority() (sched.OwnerStatus, time.Duration)
}

// ConfigSource returns the current configuration.
type ConfigSource interface {
	Current() *api.Config
}

// Service runs the scheduler of an entry: a term while the entry owns the cell,
// and the latest reports of the linked workers at all times.
type Service struct {
	owner    OwnershipSource
	config   ConfigSource
	store    *jobs.Store
	waiters  *jobs.Waiters
	links    *links.Server
	registry metrics.Registry
	log      zerolog.Logger
	created  time.Time

	mu       sync.Mutex
	term     *term // nil while this entry does not own the cell
	workers  map[string]*worker
	draining bool

	changedJobs chan string
	loops       kernel.Loops
}

// worker is a linked worker agent with the latest report of each group.
type worker struct {
	agent   links.Agent
	status  sched.WorkerStatus
	reports map[sched.GroupRef]sched.GroupReport
}

// New returns a service and registers it as a listener of srv.
func New(owner OwnershipSource, config ConfigSource, store *jobs.Store, waiters *jobs.Waiters, srv *links.Server, registry metrics.Registry, log zerolog.Logger) *Service {
	s := &Service{
		owner:       owner,
		config:      config,
		store:       store,
		waiters:     waiters,
		links:       srv,
		registry:    registry,
		log:         log,
		created:     time.Now(),
		workers:     map[string]*worker{},
		changedJobs: make(chan string, 4096),
	}
	srv.AddListener(s)
	return s
}

// Start starts the loops that follow the ownership of the cell and scan for jobs.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(sched.TickInterval, func(context.Context) { s.tick() })
	s.loops.Every(scanInterval, s.scanActiveJobs)
	s.loops.Go(s.changedJobsLoop)
	return nil
}

// Stop stops starting attempts, waits up to drainTimeout for pending saves and
// ends the term. Running gangs continue under the next owner.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	s.mu.Lock()
	s.draining = true
	t := s.term
	if t != nil {
		t.step(sched.Drain{})
	}
	s.mu.Unlock()
	if t != nil {
		t.waitForSaves(ctx)
	}
	s.loops.End()
	s.mu.Lock()
	s.endTerm("planned stop")
	s.mu.Unlock()
	return nil
}

// tick begins or ends a term as ownership changes and advances the core's time.
func (s *Service) tick() {
	authority, wait := s.owner.Authority()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil && (s.term.invalidated || authority.Epoch != s.term.epoch || !authority.Owner && !authority.StoreDown) {
		s.endTerm("ownership lost")
	}
	if s.term == nil && authority.Owner && !s.draining {
		s.beginTerm(authority, wait)
	}
	if s.term == nil || !s.term.loaded {
		return
	}
	authority.StartAfter = s.term.startAfter
	s.term.step(authority, sched.ConfigUpdate{Config: s.config.Current()}, sched.Tick{})
}

// beginTerm is called with mu held. The job rows are read in the background,
// without mu.
func (s *Service) beginTerm(a sched.OwnerStatus, wait time.Duration) {
	t := newTerm(s, a.Epoch, wait)
	s.term = t
	s.log.Info().Uint64("epoch", a.Epoch).Dur("start_after", wait).Msg("term began")
	metrics.GetOrRegisterCounter("scheduler.terms", s.registry).Inc(1)
	s.loops.Go(func(ctx context.Context) { s.loadTerm(ctx, t) })
}

func (s *Service) endTerm(reason string) {
	if s.term == nil {
		return
	}
	s.log.Info().Uint64("epoch", s.term.epoch).Str("reason", reason).Msg("term ended")
	s.term.end()
	s.term = nil
}

// loadTerm reads the active jobs, then replays them and the workers' latest
// reports into the core. It retries failed reads until the term ends.
func (s *Service) loadTerm(ctx context.Context, t *term) {
	for ctx.Err() == nil {
		rows, err := s.readActive(ctx, t, ledger.CauseRecovery)
		authority, _ := s.owner.Authority()
		authority.StartAfter = t.startAfter
		s.mu.Lock()
		if s.term != t || authority.Epoch != t.epoch {
			s.mu.Unlock()
			return
		}
		if err == nil {
			s.replay(t, authority, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.log.Warn().Err(err).Msg("could not read the active jobs for recovery; retrying")
		kernel.Sleep(ctx, scanInterval/4)
	}
}

// readActive returns the rows of the active jobs that are new or have changed
// since the previous call for this term.
func (s *Service) readActive(ctx context.Context, t *term, cause ledger.Cause) ([]jobs.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	active, err := s.store.ListActive(ctx, cause)
	if err != nil {
		return nil, err
	}
	ids := t.changedJobIDs(active)
	if len(ids) == 0 {
		return nil, nil
	}
	rows, odd, err := s.store.GetSoundRows(ctx, cause, ids...)
	if err != nil {
		return nil, err
	}
	s.reportOddRows(odd)
	t.setActiveVersions(active)
	var out []jobs.Row
	for _, id := range ids {
		if row, ok := rows[id]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

// reportOddRows counts jobs that are left out because of their rows, and logs the first.
func (s *Service) reportOddRows(odd []error) {
	if len(odd) == 0 {
		return
	}
	metrics.GetOrRegisterCounter("scheduler.jobs_skipped", s.registry).Inc(int64(len(odd)))
	s.log.Error().Err(odd[0]).Int("jobs", len(odd)).Msg("jobs skipped: their rows cannot be decoded or are out of range")
}

// replay is called with mu held. Ownership is passed to the core first, since it
// decides how the attempts found in the rows are handled. Jobs precede the
// workers' reports, so that no report names a job unknown to the core.
func (s *Service) replay(t *term, authority sched.OwnerStatus, rows []jobs.Row) {
	t.step(authority, sched.ConfigUpdate{Config: s.config.Current()})
	for _, row := range rows {
		t.submit(row.Record)
	}
	for _, id := range sortedKeys(s.workers) {
		s.replayWorker(t, s.workers[id])
	}
	t.loaded = true
	s.log.Info().Uint64("epoch", t.epoch).Int("jobs", len(rows)).Int("workers", len(s.workers)).Msg("term recovered")
}

func (s *Service) replayWorker(t *term, w *worker) {
	t.step(sched.WorkerUp{Worker: w.agent.ID, Zone: w.agent.Zone, Rack: w.agent.Rack, Capacity: w.agent.Capacity})
	t.step(w.status)
	for _, ref := range sortedRefs(w.reports) {
		t.step(w.reports[ref])
	}
}

func (s *Service) loadedTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || !s.term.loaded {
		return nil
	}
	return s.term
}

func (s *Service) scanActiveJobs(ctx context.Context) {
	t := s.loadedTerm()
	if t == nil {
		return
	}
	rows, err := s.readActive(ctx, t, ledger.CauseJob)
	if err != nil {
		return
	}
	s.submitRows(t, rows)
}

func (s *Service) submitRows(t *term, rows []jobs.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != t {
		return
	}
	for _, row := range rows {
		t.submit(row.Record)
	}
}

// Notify tells the service that a job's row has changed. It returns false if
// this entry does not own the cell or has not recovered its term yet.
func (s *Service) Notify(id string) bool {
	if s.loadedTerm() == nil {
		return false
	}
	select {
	case s.changedJobs <- id:
	default: // queue full; the next scan finds the job
	}
	return true
}

func (s *Service) changedJobsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-s.changedJobs:
			s.readChangedJobs(ctx, s.collectChangedJobs(id))
		}
	}
}

// collectChangedJobs returns id and all ids queued behind it, so that one read
// serves all of them.
func (s *Service) collectChangedJobs(id string) []string {
	ids := []string{id}
	for {
		select {
		case next := <-s.changedJobs:
			ids = append(ids, next)
		default:
			return ids
		}
	}
}

func (s *Service) readChangedJobs(ctx context.Context, ids []string) {
	t := s.loadedTerm()
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	rows, odd, err := s.store.GetSoundRows(ctx, ledger.CauseJob, ids...)
	if err != nil {
		return
	}
	s.reportOddRows(odd)
	list := make([]jobs.Row, 0, len(rows))
	for _, id := range sortedKeys(rows) {
		list = append(list, rows[id])
	}
	s.submitRows(t, list)
}

// AddSubmitted passes a job that this entry has just stored to the core without
// reading its row again. It returns false if this entry does not own the cell
// or has not recovered its term yet.
func (s *Service) AddSubmitted(record api.JobRecord) bool {
	t := s.loadedTerm()
	if t == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != t {
		return false
	}
	t.submit(record)
	return true
}

// NeverFits reports whether no known worker, rack or zone could ever hold the
// job, and the reason. It returns false on an entry that does not own the cell,
// since only the owner knows.
func (s *Service) NeverFits(job api.Job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || !s.term.loaded {
		return "", false
	}
	return s.term.core.NeverFits(job)
}

// DumpState returns the state of the core if this entry owns the cell.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil {
		return struct{ Owner bool }{false}
	}
	return struct {
		Owner  bool
		Epoch  uint64
		Loaded bool
		Core   any
	}{true, s.term.epoch, s.term.loaded, s.term.core.Dump()}
}

// isPermanent reports whether a save failed with an error that a retry cannot fix.
func isPermanent(err error) bool {
	return errors.Is(err, jobs.ErrStaleEpoch) || errors.Is(err, jobs.ErrJobFinal) || errors.Is(err, jobs.ErrJobNotFound)
}
