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

// Config sets up a service. Zero values take the defaults.
type Config struct {
	PollInterval time.Duration
	// Sleep waits for a duration or the end of ctx.
	Sleep   func(ctx context.Context, d time.Duration)
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Service is the Store over the ledger.
type Service struct {
	ledger ledger.Ledger
	peers  PeerView
	clock  func() time.Duration
	cfg    Config

	mu     sync.Mutex
	view   *view
	stored *storedConfig // rows as last seen, nil if unknown

	editSlot chan struct{} // holds one token while an edit is in progress
	notifier *notifier
	loops    kernel.Loops
}

var _ Store = (*Service)(nil)

// New returns a service that is not polling yet. The clock is monotonic.
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
	}
}

// Start starts the polling.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(s.cfg.PollInterval, s.Poll)
	s.loops.Go(func(ctx context.Context) { s.notifier.run(ctx, s.Current) })
	return nil
}

// Stop ends the polling.
func (s *Service) Stop(context.Context) error {
	s.loops.End()
	return nil
}

// Poll reads the head and, if it is newer, the document.
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
		s.cfg.Log.Error().Err(err).Msg("configuration cannot be read")
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

// readStored reads head and document and applies what is newer.
func (s *Service) readStored(ctx context.Context) (*storedConfig, error) {
	start := s.clock()
	have := s.Current().Version
	rows, err := s.ledger.Get(ctx, ledger.CauseConfig, headKey, docKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b, err := decodeStoredConfig(rows)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("configuration cannot be read")
		return nil, err
	}
	s.applyStored(b, start, b.config.Version >= have)
	return b, nil
}

// applyStored takes over rows that were read by a call that began at start.
func (s *Service) applyStored(b *storedConfig, start time.Duration, confirms bool) {
	s.mu.Lock()
	s.stored = b
	applied := s.view.apply(b.config)
	if confirms {
		s.view.confirm(b.config.Version, start)
	}
	s.mu.Unlock()
	s.notifyApplied(applied, b.config)
}

func (s *Service) confirm(version uint64, start time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.confirm(version, start)
}

// notifyApplied tells the subscribers of an applied configuration.
func (s *Service) notifyApplied(applied bool, c *api.Config) {
	if !applied {
		return
	}
	metrics.GetOrRegisterGauge("config.version", s.cfg.Metrics).Update(int64(c.Version))
	s.cfg.Log.Info().Uint64("version", c.Version).Msg("configuration in force")
	s.notifier.wake()
}

// Current returns the configuration in force. It must not be changed.
func (s *Service) Current() *api.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.current
}

// Snapshot returns the configuration in force and, as one, how long ago it was
// confirmed; ok is false before the first confirmation.
func (s *Service) Snapshot() (c *api.Config, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.current, s.clock() - s.view.confirmedAt, s.view.everConfirmed
}

// StoreFailing reports whether the store has answered no call of this entry
// for longer than FreshLimit.
func (s *Service) StoreFailing() bool { return s.ledger.Outage() > MaxConfigAge }

// StoreDownEverywhere reports whether this entry and all its peers fail to
// reach the store.
func (s *Service) StoreDownEverywhere() bool {
	return downEverywhere(s.clock(), s.ledger.Outage(), s.peers)
}

// Permit reports whether work may start now: the configuration was confirmed
// within FreshLimit, or the store is down for every entry.
func (s *Service) Permit() bool {
	s.mu.Lock()
	fresh := s.view.isFresh(s.clock())
	known := s.view.everConfirmed
	s.mu.Unlock()
	return fresh || known && s.StoreDownEverywhere()
}

// Offer brings a configuration relayed by a peer, confirmed age ago.
func (s *Service) Offer(c *api.Config, age time.Duration) {
	s.mu.Lock()
	applied := s.view.apply(c)
	s.view.confirm(c.Version, s.clock()-age)
	s.mu.Unlock()
	s.notifyApplied(applied, c)
}

// Confirm says that the store's version was the given one age ago, according
// to a peer.
func (s *Service) Confirm(version uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.confirm(version, s.clock()-age)
}

// Subscribe calls fn with the present and each newer configuration.
func (s *Service) Subscribe(fn func(*api.Config)) { s.notifier.add(fn) }

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(name, s.cfg.Metrics).Inc(1)
}

// State is the dump of a service.
type State struct {
	Version             uint64 `json:"version"`
	Confirmed           bool   `json:"confirmed"`
	AgeMS               int64  `json:"age_ms"`
	StoreFailing        bool   `json:"store_failing"`
	StoreDownEverywhere bool   `json:"store_down_everywhere"`
	Permit              bool   `json:"permit"`
}

// DumpState returns the service's state.
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
