package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

const (
	// tickInterval is the time between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// opTimeout bounds one read or write of the row.
	opTimeout = 1500 * time.Millisecond
	// lookAfter is how long a write may go unanswered before the row is read: an
	// answer that was lost is made up for before others take the row for
	// abandoned, while a slow one is still waited for.
	lookAfter = 300 * time.Millisecond
)

// Peers tells what the other entries report. The service asks for the outage
// first and for the epoch after it, so that a report of an outage never hides
// the epoch that came with it.
type Peers interface {
	StoreDownEverywhere() bool
	HighestOwnerEpoch() uint64
}

// Config sets up a service. Zero values take the defaults.
type Config struct {
	Times   Times
	Peers   Peers
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Service keeps or watches the ownership of one cell.
type Service struct {
	ledger ledger.Ledger
	key    string
	clock  func() time.Duration
	cfg    Config

	mu   sync.Mutex
	core *Core
	subs []func(Authority)

	last    Authority // as last told to subscribers
	results chan Event
	loops   kernel.Loops
	running bool
}

// RowKey is the key of the row of a cell's ownership.
func RowKey(cell string) string { return "owner/" + cell }

// New returns a service that is not running yet. The clock is monotonic.
func New(l ledger.Ledger, cell string, self Self, clock func() time.Duration, cfg Config) *Service {
	if self.Incarnation == "" {
		self.Incarnation = uuid.NewString()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Service{
		ledger:  l,
		key:     RowKey(cell),
		clock:   clock,
		cfg:     cfg,
		core:    NewCore(self, cfg.Times),
		results: make(chan Event, 1),
	}
}

// Start starts to watch the row and claims it when it is free.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Go(s.run)
	s.running = true
	return nil
}

// Stop gives the ownership up, so that another entry takes it at once, and
// ends the service. Whatever acts for the cell must have ended before: the
// next owner does not wait.
func (s *Service) Stop(ctx context.Context) error {
	if !s.running {
		return nil
	}
	s.step(Release{})
	err := s.awaitRelease(ctx)
	s.loops.End()
	return err
}

// Resign ends the term with the epoch at once, if it is the present one.
func (s *Service) Resign(epoch uint64) {
	if s.Current().Epoch != epoch {
		return
	}
	s.step(Resign{})
	s.cfg.Log.Warn().Uint64("epoch", epoch).Msg("ownership resigned")
}

// ObserveResignation takes the news that the owner of an epoch has resigned.
func (s *Service) ObserveResignation(epoch uint64) { s.step(PeerResigned{epoch}) }

func (s *Service) awaitRelease(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !s.released() {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "releasing %q", s.key)
		case <-t.C:
		}
	}
	return nil
}

func (s *Service) released() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Released()
}

func (s *Service) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var ops sync.WaitGroup
	defer ops.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-s.results:
			s.step(ev)
		case <-t.C:
		}
		s.hearPeers()
		s.start(ctx, &ops, s.step(Tick{}))
		s.publish()
	}
}

func (s *Service) step(ev Event) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Step(s.clock(), ev)
}

func (s *Service) hearPeers() {
	if s.cfg.Peers != nil {
		s.step(PeerEpoch{s.cfg.Peers.HighestOwnerEpoch()})
	}
}

// start carries out actions; the core has at most one in progress.
func (s *Service) start(ctx context.Context, ops *sync.WaitGroup, actions []Action) {
	for _, a := range actions {
		ops.Add(1)
		go func() {
			defer ops.Done()
			s.results <- s.perform(ctx, a)
		}()
	}
}

func (s *Service) perform(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	if w, ok := a.(Write); ok {
		return s.writeOrLook(ctx, w)
	}
	return s.read(ctx)
}

// writeOrLook writes the row and, once that is overdue, reads it beside: a row
// that is as written answers for the write.
func (s *Service) writeOrLook(ctx context.Context, w Write) Event {
	written := make(chan Event, 1)
	go func() { written <- s.write(ctx, w) }()
	overdue := time.NewTimer(lookAfter)
	defer overdue.Stop()
	select {
	case ev := <-written:
		return ev
	case <-overdue.C:
	}
	if r, ok := s.read(ctx).(ReadDone); ok && r.Row == w.Row {
		return WriteDone{r.Version}
	}
	return <-written
}

// Overlap is for how long an earlier owner may still act after a claim.
func (s *Service) Overlap() time.Duration { return s.cfg.Times.withDefaults().Overlap() }

func (s *Service) read(ctx context.Context) Event {
	rows, err := s.ledger.Get(ctx, ledger.CauseOwner, s.key)
	if err != nil {
		return ReadFailed{}
	}
	row, err := decodeRow(rows[0])
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("ownership cannot be read")
		return ReadFailed{}
	}
	return ReadDone{rows[0].Version, row}
}

func (s *Service) write(ctx context.Context, w Write) Event {
	data, err := json.Marshal(w.Row)
	if err != nil {
		return WriteFailed{}
	}
	rows, err := s.ledger.Commit(ctx, ledger.CauseOwner, ledger.Write{Key: s.key, Version: w.Version, Data: data})
	switch {
	case err == nil:
		return WriteDone{rows[0].Version}
	case errors.Is(err, ledger.ErrConflict):
		return conflictEvent(rows[0])
	case errors.Is(err, ledger.ErrDown), errors.Is(err, ledger.ErrOverloaded):
		return WriteFailed{}
	default:
		return WriteUnknown{}
	}
}

func conflictEvent(r ledger.Row) Event {
	row, err := decodeRow(r)
	if err != nil {
		return WriteUnknown{}
	}
	return WriteConflict{r.Version, row}
}

func decodeRow(r ledger.Row) (Row, error) {
	var row Row
	if r.Version == 0 {
		return row, nil
	}
	err := json.Unmarshal(r.Data, &row)
	return row, errors.Annotatef(err, "row %q", r.Key)
}

// Current returns this process's rights at this moment. Callers ask again
// before each effect.
func (s *Service) Current() Authority {
	o := Outage{Down: s.ledger.BreakerOpen()}
	if s.cfg.Peers != nil {
		o.Everywhere = s.cfg.Peers.StoreDownEverywhere()
		s.hearPeers()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Authority(s.clock(), o)
}

// Subscribe calls fn after each change of the rights, in order, from one goroutine.
func (s *Service) Subscribe(fn func(Authority)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, fn)
}

// publish tells the subscribers of a change.
func (s *Service) publish() {
	a := s.Current()
	if a == s.last {
		return
	}
	s.record(a)
	s.last = a
	s.mu.Lock()
	subs := append(([]func(Authority))(nil), s.subs...)
	s.mu.Unlock()
	for _, fn := range subs {
		fn(a)
	}
}

func (s *Service) record(a Authority) {
	if a.Owner != s.last.Owner {
		metrics.GetOrRegisterCounter("owner.changes", s.cfg.Metrics).Inc(1)
	}
	metrics.GetOrRegisterGauge("owner.epoch", s.cfg.Metrics).Update(int64(a.Epoch))
	s.cfg.Log.Info().Bool("owner", a.Owner).Uint64("epoch", a.Epoch).
		Str("owner_id", a.OwnerID).Bool("store_down", a.StoreDown).Msg("ownership changed")
}

// State is the dump of a service.
type State struct {
	Key       string    `json:"key"`
	Authority Authority `json:"authority"`
	Row       Row       `json:"row"`
	Version   uint64    `json:"version"`
}

// DumpState returns the service's state.
func (s *Service) DumpState() any {
	a := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{s.key, a, s.core.row, s.core.version}
}
