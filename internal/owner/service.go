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
	// tickInterval is the time between two ticks of Core.
	tickInterval = 50 * time.Millisecond
	// rowOpTimeout bounds one read or write of the row.
	rowOpTimeout = 1500 * time.Millisecond
	// readBackDelay is how long a write may be unanswered before the row is read
	// back. This makes up for a lost reply before the other entries take the row
	// for abandoned; a slow reply is still awaited.
	readBackDelay = 300 * time.Millisecond
	// unreadableLogInterval is the least time between two log lines on a row that cannot be
	// decoded.
	unreadableLogInterval = time.Second
)

// Peers provides the reports of the other entries. The service asks for the
// outage first and for the epoch after it, so that an epoch which arrived
// together with a report of an outage is always taken into account.
type Peers interface {
	StoreDownEverywhere() bool
	HighestOwnerEpoch() uint64
}

// Config configures a Service. Zero values take the defaults.
type Config struct {
	Timing Timing
	Peers  Peers
	// EpochFloor, if not nil, returns an epoch that is at least that of any owner that
	// may still act. It is asked while the row cannot be decoded.
	EpochFloor func(ctx context.Context) (uint64, error)
	Metrics    metrics.Registry
	Log        zerolog.Logger
}

// Service holds or watches the ownership of one cell.
type Service struct {
	ledger ledger.Ledger
	key    string
	clock  func() time.Duration
	cfg    Config

	mu          sync.Mutex
	core        *Core
	subscribers []func(Authority)

	lastPublished Authority // as last passed to the subscribers
	results       chan Event
	loops         kernel.Loops
	running       bool
	unreadable    *kernel.LogLimiter // bounds the lines on a row that cannot be decoded
}

// RowKey returns the ledger key of the row of a cell's ownership.
func RowKey(cell string) string { return "owner/" + cell }

// New returns a Service that is not running yet. The clock must be monotonic.
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
		core:    NewCore(self, cfg.Timing),
		results: make(chan Event, 1),

		unreadable: kernel.NewLogLimiter(unreadableLogInterval),
	}
}

// Start begins to watch the row and claims it when it is available.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Go(s.run)
	s.running = true
	return nil
}

// Stop releases the ownership, so that another entry can claim it at once, and
// ends the service. Everything that acts for the cell must have ended before,
// because the next owner does not wait.
func (s *Service) Stop(ctx context.Context) error {
	if !s.running {
		return nil
	}
	s.step(Release{})
	err := s.awaitRelease(ctx)
	s.loops.End()
	return err
}

// Resign ends the term with the epoch at once. It does nothing if this is not
// the current epoch.
func (s *Service) Resign(epoch uint64) {
	if s.Current().Epoch != epoch {
		return
	}
	s.step(Resign{})
	s.cfg.Log.Warn().Uint64("epoch", epoch).Msg("ownership resigned")
}

// ObserveResignation records that the owner with the epoch has resigned.
func (s *Service) ObserveResignation(epoch uint64) { s.step(PeerResigned{epoch}) }

func (s *Service) awaitRelease(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !s.isReleased() {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "releasing %q", s.key)
		case <-t.C:
		}
	}
	return nil
}

func (s *Service) isReleased() bool {
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
		s.observePeerEpoch()
		s.startActions(ctx, &ops, s.step(Tick{}))
		s.publish()
	}
}

func (s *Service) step(ev Event) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Step(s.clock(), ev)
}

func (s *Service) observePeerEpoch() {
	if s.cfg.Peers != nil {
		s.step(PeerEpoch{s.cfg.Peers.HighestOwnerEpoch()})
	}
}

// startActions executes actions in goroutines; Core has at most one in progress.
func (s *Service) startActions(ctx context.Context, ops *sync.WaitGroup, actions []Action) {
	for _, a := range actions {
		ops.Add(1)
		go func() {
			defer ops.Done()
			s.results <- s.execute(ctx, a)
		}()
	}
}

func (s *Service) execute(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(ctx, rowOpTimeout)
	defer cancel()
	if w, ok := a.(Write); ok {
		return s.writeWithReadBack(ctx, w)
	}
	return s.readRow(ctx)
}

// writeWithReadBack writes the row. If the reply takes longer than
// readBackDelay, it reads the row as well; a stored row equal to the written one
// confirms the write.
func (s *Service) writeWithReadBack(ctx context.Context, w Write) Event {
	written := make(chan Event, 1)
	go func() { written <- s.writeRow(ctx, w) }()
	overdue := time.NewTimer(readBackDelay)
	defer overdue.Stop()
	select {
	case ev := <-written:
		return ev
	case <-overdue.C:
	}
	if r, ok := s.readRow(ctx).(ReadDone); ok && r.Row == w.Row {
		return WriteDone{r.Version}
	}
	return <-written
}

// Overlap returns the longest time for which the previous owner may still act
// after a claim.
func (s *Service) Overlap() time.Duration { return s.cfg.Timing.withDefaults().Overlap() }

func (s *Service) readRow(ctx context.Context) Event {
	rows, err := s.ledger.Get(ctx, ledger.CauseOwner, s.key)
	if err != nil {
		return ReadFailed{}
	}
	return s.rowEvent(ctx, rows[0], func(row Row) Event { return ReadDone{rows[0].Version, row} })
}

// rowEvent returns the event of a stored row: that of a decoded one, or RowUnreadable.
func (s *Service) rowEvent(ctx context.Context, r ledger.Row, decoded func(Row) Event) Event {
	row, err := decodeRow(r)
	if err == nil {
		return decoded(row)
	}
	metrics.GetOrRegisterCounter("owner.unreadable_rows", s.cfg.Metrics).Inc(1)
	if suppressed, ok := s.unreadable.Allow(time.Now()); ok {
		s.cfg.Log.Error().Err(err).Int("suppressed", suppressed).Msg("failed to decode ownership row")
	}
	ev := RowUnreadable{Version: r.Version}
	if s.cfg.EpochFloor != nil {
		ev.Floor, err = s.cfg.EpochFloor(ctx)
		ev.FloorKnown = err == nil
	}
	return ev
}

func (s *Service) writeRow(ctx context.Context, w Write) Event {
	data, err := json.Marshal(w.Row)
	if err != nil {
		return WriteFailed{}
	}
	rows, err := s.ledger.Commit(ctx, ledger.CauseOwner, ledger.Write{Key: s.key, Version: w.Version, Data: data})
	switch {
	case err == nil:
		return WriteDone{rows[0].Version}
	case errors.Is(err, ledger.ErrConflict):
		return s.rowEvent(ctx, rows[0], func(row Row) Event { return WriteConflict{rows[0].Version, row} })
	case errors.Is(err, ledger.ErrDown), errors.Is(err, ledger.ErrOverloaded):
		return WriteFailed{}
	default:
		return WriteUnknown{}
	}
}

func decodeRow(r ledger.Row) (Row, error) {
	var row Row
	if r.Version == 0 {
		return row, nil
	}
	if r.Unreadable {
		return row, errors.NotValidf("row %q", r.Key)
	}
	if err := json.Unmarshal(r.Data, &row); err != nil {
		return row, errors.Annotatef(err, "row %q", r.Key)
	}
	if row.Epoch == 0 || row.Epoch > MaxEpoch {
		return row, errors.NotValidf("row %q: epoch %d", r.Key, row.Epoch)
	}
	return row, nil
}

// Current returns the present rights of this process. Callers must call it again
// before each effect.
func (s *Service) Current() Authority {
	outage := StoreOutage{ThisEntry: s.ledger.BreakerOpen()}
	if s.cfg.Peers != nil {
		outage.AllEntries = s.cfg.Peers.StoreDownEverywhere()
		s.observePeerEpoch()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Authority(s.clock(), outage)
}

// Subscribe registers fn, which is called after each change of the rights, in
// order, from one goroutine.
func (s *Service) Subscribe(fn func(Authority)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
}

// publish notifies the subscribers if the rights have changed.
func (s *Service) publish() {
	a := s.Current()
	if a == s.lastPublished {
		return
	}
	s.reportChange(a)
	s.lastPublished = a
	s.mu.Lock()
	subs := append(([]func(Authority))(nil), s.subscribers...)
	s.mu.Unlock()
	for _, fn := range subs {
		fn(a)
	}
}

func (s *Service) reportChange(a Authority) {
	if a.Owner != s.lastPublished.Owner {
		metrics.GetOrRegisterCounter("owner.changes", s.cfg.Metrics).Inc(1)
	}
	metrics.GetOrRegisterGauge("owner.epoch", s.cfg.Metrics).Update(int64(a.Epoch))
	s.cfg.Log.Info().Bool("owner", a.Owner).Uint64("epoch", a.Epoch).
		Str("owner_id", a.OwnerID).Bool("store_down", a.StoreDown).Msg("ownership changed")
}

// State is the state dump of a Service.
type State struct {
	Key       string    `json:"key"`
	Authority Authority `json:"authority"`
	Row       Row       `json:"row"`
	Version   uint64    `json:"version"`
}

// DumpState returns the service's state for a state dump.
func (s *Service) DumpState() any {
	a := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{s.key, a, s.core.row, s.core.version}
}
