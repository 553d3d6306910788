package confstate

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// Config configures a service. Zero values take the defaults.
type Config struct {
	PollInterval time.Duration
	// Sleep waits for d or until ctx ends.
	Sleep   func(ctx context.Context, d time.Duration)
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Service implements Store over the ledger.
type Service struct {
	ledger ledger.Ledger
	peers  PeerView
	clock  func() time.Duration
	cfg    Config

	mu     sync.Mutex
	view   *view
	stored *storedConfig // rows as last seen, nil if not known

	editSlot chan struct{} // holds one token while an edit is in progress
	notifier *notifier
	loops    kernel.Loops

	unreadable *kernel.LogLimiter // bounds the lines on rows that cannot be decoded
}

// unreadableLogInterval is the least time between two log lines on rows that cannot be
// decoded.
const unreadableLogInterval = time.Second

var _ Store = (*Service)(nil)

// New returns a service that polls the store only after Start. The clock is
// monotonic.
func New(l ledger.Ledger, peers PeerView, clock func() time.Duration, cfg Config) *Service {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = PollInterval
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Sleep == nil {
		cfg.Sleep = kernel.Sleep
	}
	return &Service{
		ledger:   l,
		peers:    peers,
		clock:    clock,
		cfg:      cfg,
		view:     newView(),
		editSlot: make(chan struct{}, 1),
		notifier: newNotifier(),

		unreadable: kernel.NewLogLimiter(unreadableLogInterval),
	}
}

// Start starts polling and the delivery to subscribers.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(s.cfg.PollInterval, s.Poll)
	s.loops.Go(func(ctx context.Context) { s.notifier.run(ctx, s.Current) })
	return nil
}

// Stop ends polling and the delivery to subscribers.
func (s *Service) Stop(context.Context) error {
	s.loops.End()
	return nil
}

// Poll reads the head and, if its version is newer, the document.
func (s *Service) Poll(ctx context.Context) {
	start := s.clock()
	have := s.Current().Version
	rows, err := s.ledger.Get(ctx, ledger.CauseConfig, headKey)
	if err != nil {
		s.count("config.poll_failures")
		return
	}
	version, err := decodeHead(rows[0])
	if err != nil {
		s.reportUnreadable(err)
		return
	}
	switch {
	case version > have:
		// An error leaves the version unconfirmed; the next poll tries again.
		_, _ = s.readStored(ctx)
	case version < have:
		s.count("config.store_behind")
	default:
		s.confirm(version, start)
	}
}

// readStored reads head and document and applies the configuration if it is newer. Rows
// that cannot be decoded are returned with the current configuration for an edit.
func (s *Service) readStored(ctx context.Context) (*storedConfig, error) {
	start := s.clock()
	have := s.Current().Version
	rows, err := s.ledger.Get(ctx, ledger.CauseConfig, headKey, docKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := decodeStoredConfig(rows)
	if err != nil {
		s.reportUnreadable(err)
		return replaceUnreadable(rows, s.Current())
	}
	s.applyStored(stored, start, stored.config.Version >= have)
	return stored, nil
}

// reportUnreadable counts rows that cannot be decoded, and logs them unless others were
// logged just before.
func (s *Service) reportUnreadable(err error) {
	s.count("config.unreadable_rows")
	if suppressed, ok := s.unreadable.Allow(time.Now()); ok {
		s.cfg.Log.Error().Err(err).Int("suppressed", suppressed).Msg("failed to decode configuration rows")
	}
}

// applyStored applies the configuration of rows that were read or written by a call
// that began at start. If confirms is set, it also confirms the version as of start.
func (s *Service) applyStored(stored *storedConfig, start time.Duration, confirms bool) {
	s.mu.Lock()
	s.stored = stored
	applied := s.view.apply(stored.config)
	if confirms {
		s.view.confirm(stored.config.Version, start)
	}
	s.mu.Unlock()
	s.notifyApplied(applied, stored.config)
}

func (s *Service) confirm(version uint64, start time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.confirm(version, start)
}

// notifyApplied records and announces a configuration if it has been applied.
func (s *Service) notifyApplied(applied bool, c *api.Config) {
	if !applied {
		return
	}
	metrics.GetOrRegisterGauge("config.version", s.cfg.Metrics).Update(int64(c.Version))
	s.cfg.Log.Info().Uint64("version", c.Version).Msg("configuration in force")
	s.notifier.wake()
}

// Current returns the configuration in force. Callers must not modify it.
func (s *Service) Current() *api.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.current
}

// Snapshot returns the configuration in force together with the time since it was
// last confirmed; ok is false before the first confirmation.
func (s *Service) Snapshot() (c *api.Config, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.current, s.clock() - s.view.confirmedAt, s.view.everConfirmed
}

// StoreFailing reports whether the store has answered none of this entry's calls
// for longer than MaxConfigAge.
func (s *Service) StoreFailing() bool { return s.ledger.Outage() > MaxConfigAge }

// StoreDownEverywhere reports whether neither this entry nor any of its peers
// reaches the store.
func (s *Service) StoreDownEverywhere() bool {
	return downEverywhere(s.clock(), s.ledger.Outage(), s.peers)
}

// Permit reports whether work may start now: either the configuration was confirmed
// within MaxConfigAge, or it was confirmed at some time and the store is down for
// every entry.
func (s *Service) Permit() bool {
	s.mu.Lock()
	fresh := s.view.isFresh(s.clock())
	known := s.view.everConfirmed
	s.mu.Unlock()
	return fresh || known && s.StoreDownEverywhere()
}

// Offer applies a configuration that a peer relayed and that was confirmed age ago.
func (s *Service) Offer(c *api.Config, age time.Duration) {
	if c.Version > MaxVersion {
		s.reportUnreadable(errors.NotValidf("relayed configuration: version %d", c.Version))
		return
	}
	s.mu.Lock()
	applied := s.view.apply(c)
	s.view.confirm(c.Version, s.clock()-age)
	s.mu.Unlock()
	s.notifyApplied(applied, c)
}

// Confirm records that, according to a peer, the store had the given version age
// ago.
func (s *Service) Confirm(version uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.confirm(version, s.clock()-age)
}

// Subscribe calls fn with the current configuration and each newer one.
func (s *Service) Subscribe(fn func(*api.Config)) { s.notifier.add(fn) }

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(name, s.cfg.Metrics).Inc(1)
}

// State is the state dump of a service.
type State struct {
	Version             uint64 `json:"version"`
	Confirmed           bool   `json:"confirmed"`
	AgeMS               int64  `json:"age_ms"`
	StoreFailing        bool   `json:"store_failing"`
	StoreDownEverywhere bool   `json:"store_down_everywhere"`
	Permit              bool   `json:"permit"`
}

// DumpState returns the state dump of the service.
func (s *Service) DumpState() any {
	c, age, ok := s.Snapshot()
	return State{
		Version:             c.Version,
		Confirmed:           ok,
		AgeMS:               age.Milliseconds(),
		StoreFailing:        s.StoreFailing(),
		StoreDownEverywhere: s.StoreDownEverywhere(),
		Permit:              s.Permit(),
	}
}
