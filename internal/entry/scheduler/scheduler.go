// Package scheduler runs the scheduling core in the entry that owns the cell.
// Each term of ownership has a core of its own, rebuilt from the table's rows
// and the agents' reports.
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
	// scanInterval is the time between two looks for active jobs that no
	// notice has told of.
	scanInterval = 2 * time.Second
	scanTimeout  = 10 * time.Second
	drainTimeout = 5 * time.Second
	// maxReports bounds the reports kept for each worker.
	maxReports = 256
)

// Ownership tells whether this entry owns the cell now.
type Ownership interface {
	// Authority returns the present standing; see sched.Authority. StartAfter
	// is the wait that the term begins with.
	Authority() (sched.OwnerStatus, time.Duration)
}

// Configuration is what the scheduler reads of the configuration.
type Configuration interface {
	Current() *api.Config
}

// Service is the scheduling side of an entry.
type Service struct {
	owner    Ownership
	config   Configuration
	store    *jobs.Store
	waiters  *jobs.Waiters
	links    *links.Server
	registry metrics.Registry
	log      zerolog.Logger
	created  time.Time

	mu      sync.Mutex
	term    *term // nil while another entry owns the cell
	workers map[string]*worker
	drained bool

	poke  chan string
	loops kernel.Loops
}

// worker is a linked worker agent with the newest report of each group.
type worker struct {
	agent   links.Agent
	status  sched.WorkerStatus
	reports map[sched.GroupRef]sched.GroupReport
}

// New returns the service; it listens to srv from now on.
func New(owner Ownership, config Configuration, store *jobs.Store, waiters *jobs.Waiters, srv *links.Server, registry metrics.Registry, log zerolog.Logger) *Service {
	s := &Service{
		owner:    owner,
		config:   config,
		store:    store,
		waiters:  waiters,
		links:    srv,
		registry: registry,
		log:      log,
		created:  time.Now(),
		workers:  map[string]*worker{},
		poke:     make(chan string, 4096),
	}
	srv.Listen(s)
	return s
}

// Start begins to watch the ownership of the cell.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(sched.TickInterval, func(context.Context) { s.tick() })
	s.loops.Every(scanInterval, s.scan)
	s.loops.Go(s.pokeLoop)
	return nil
}

// Stop starts no more attempts and waits for the writes in progress. Running
// gangs go on under the next owner.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	s.mu.Lock()
	s.drained = true
	t := s.term
	if t != nil {
		t.step(sched.Drain{})
	}
	s.mu.Unlock()
	if t != nil {
		t.waitSaved(ctx)
	}
	s.loops.End()
	s.mu.Lock()
	s.endTerm("planned stop")
	s.mu.Unlock()
	return nil
}

// tick begins and ends terms and lets time pass in the core.
func (s *Service) tick() {
	authority, wait := s.owner.Authority()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil && (s.term.broken || authority.Epoch != s.term.epoch || !authority.Owner && !authority.StoreDown) {
		s.endTerm("ownership lost")
	}
	if s.term == nil && authority.Owner && !s.drained {
		s.beginTerm(authority, wait)
	}
	if s.term == nil || !s.term.loaded {
		return
	}
	authority.StartAfter = s.term.startAfter
	s.term.step(authority, sched.ConfigUpdate{Config: s.config.Current()}, sched.Tick{})
}

// beginTerm is called with mu held; the rows are read without it.
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

// loadTerm reads the active jobs, then replays them and the workers' newest
// reports into the core.
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
		s.log.Warn().Err(err).Msg("recovery reads failed")
		kernel.Sleep(ctx, scanInterval/4)
	}
}

// readActive returns the rows of active jobs that are new or have changed.
func (s *Service) readActive(ctx context.Context, t *term, cause ledger.Cause) ([]jobs.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	actives, err := s.store.Actives(ctx, cause)
	if err != nil {
		return nil, err
	}
	ids := t.changed(actives)
	if len(ids) == 0 {
		return nil, nil
	}
	rows, err := s.store.Get(ctx, cause, ids...)
	if err != nil {
		return nil, err
	}
	t.seen(actives)
	var out []jobs.Row
	for _, id := range ids {
		if row, ok := rows[id]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

// replay is called with mu held. The standing comes first, since it decides
// what becomes of the attempts that are found. Jobs come before the workers'
// reports, so that no report names a job that the core does not know.
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

func (s *Service) scan(ctx context.Context) {
	t := s.loadedTerm()
	if t == nil {
		return
	}
	rows, err := s.readActive(ctx, t, ledger.CauseJob)
	if err != nil {
		return
	}
	s.take(t, rows)
}

func (s *Service) take(t *term, rows []jobs.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != t {
		return
	}
	for _, row := range rows {
		t.submit(row.Record)
	}
}

// Notify tells the service that a job's row has changed. It returns false
// when this entry does not own the cell.
func (s *Service) Notify(id string) bool {
	if s.loadedTerm() == nil {
		return false
	}
	select {
	case s.poke <- id:
	default: // the next scan finds the job
	}
	return true
}

func (s *Service) pokeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-s.poke:
			s.readNoticed(ctx, s.noticed(id))
		}
	}
}

// noticed returns id and all others that wait behind it.
func (s *Service) noticed(id string) []string {
	ids := []string{id}
	for {
		select {
		case next := <-s.poke:
			ids = append(ids, next)
		default:
			return ids
		}
	}
}

func (s *Service) readNoticed(ctx context.Context, ids []string) {
	t := s.loadedTerm()
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	rows, err := s.store.Get(ctx, ledger.CauseJob, ids...)
	if err != nil {
		return
	}
	list := make([]jobs.Row, 0, len(rows))
	for _, id := range sortedKeys(rows) {
		list = append(list, rows[id])
	}
	s.take(t, list)
}

// Submitted takes in a job that this entry has just kept, without a read.
func (s *Service) Submitted(record api.JobRecord) bool {
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

// NeverFits returns the reason why no worker could ever hold the job. An
// entry that does not own the cell does not know and returns false.
func (s *Service) NeverFits(job api.Job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || !s.term.loaded {
		return "", false
	}
	return s.term.core.NeverFits(job)
}

// DumpState returns the core's state while this entry owns the cell.
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

// isSettled reports whether an error of a save means that trying again cannot help.
func isSettled(err error) bool {
	return errors.Is(err, jobs.ErrEpoch) || errors.Is(err, jobs.ErrFinal) || errors.Is(err, jobs.ErrNoJob)
}
