package membership

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// ExchangeInterval is the time between two exchanges with each peer.
	ExchangeInterval = 300 * time.Millisecond
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout = time.Second

	// incarnationLength is the length of a drawn incarnation.
	incarnationLength = 8

	rowKeyPrefix = "presence/"
	scanPageSize = 256
	// seedQueryInterval is the time between two questions to the seeds while the
	// list of entries is not known from the store.
	seedQueryInterval = time.Second
)

// Transport reaches other entries.
type Transport interface {
	Exchange(ctx context.Context, addr string, s *rpc.PeerState) (*rpc.PeerState, error)
	Entries(ctx context.Context, addr string) ([]*rpc.EntryAddress, error)
	// RetainConnections tells which addresses are still in use.
	RetainConnections(addrs map[string]bool)
}

// Configuration is the part of the configuration's service that exchanges need.
type Configuration interface {
	Snapshot() (c *api.Config, age time.Duration, ok bool)
	StoreFailing() bool
	Offer(c *api.Config, age time.Duration)
	Confirm(version uint64, age time.Duration)
}

// Self describes this entry. Incarnation differs for each start of the process
// and is drawn if empty.
type Self struct {
	ID          string
	Addr        string
	Zone        string
	Incarnation string
}

// Config sets up a service.
type Config struct {
	// Seeds are addresses at which some entry answers, such as the balancer's.
	// They are asked while the store cannot be read.
	Seeds []string
	// Spawn runs one exchange, in a goroutine of its own by default.
	Spawn   func(func())
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Service keeps this entry's presence and the list of the others.
type Service struct {
	ledger    ledger.Ledger
	self      Self
	transport Transport
	clock     func() time.Duration
	cfg       Config

	conf         Configuration
	stateFillers []func(*rpc.PeerState)

	mu         sync.Mutex
	roster     *roster
	announced  announceHistory
	exchanging map[string]bool // addresses with an exchange in progress
	leaving    bool

	presence   Presence
	rowVersion uint64 // of the own row; used by the presence loop only
	loops      kernel.Loops
	exchanges  sync.WaitGroup
	running    bool
}

var _ confstate.PeerView = (*Service)(nil)

// New returns a service that is not running yet. The clock is monotonic.
func New(l ledger.Ledger, self Self, t Transport, clock func() time.Duration, cfg Config) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if self.Incarnation == "" {
		self.Incarnation = uuid.NewString()[:incarnationLength]
	}
	if cfg.Spawn == nil {
		cfg.Spawn = func(fn func()) { go fn() }
	}
	return &Service{
		ledger:     l,
		self:       self,
		transport:  t,
		clock:      clock,
		cfg:        cfg,
		roster:     newRoster(processName(self.ID, self.Incarnation)),
		exchanging: map[string]bool{},
		presence: Presence{
			ID:          self.ID,
			Addr:        self.Addr,
			Zone:        self.Zone,
			Incarnation: self.Incarnation,
			Started:     time.Now().UTC(),
		},
	}
}

// Bind sets the configuration that exchanges carry and functions that add to
// each state sent. It must be called before Start.
func (s *Service) Bind(conf Configuration, fill ...func(*rpc.PeerState)) {
	s.conf = conf
	s.stateFillers = fill
}

// Start starts to announce this entry and to exchange states.
func (s *Service) Start(context.Context) error {
	if s.conf == nil {
		return errors.NotValidf("membership without configuration")
	}
	s.loops.Begin()
	s.loops.Every(PresenceInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, PresenceInterval)
		defer cancel()
		s.Announce(ctx)
	})
	s.loops.Every(ScanInterval, s.Scan)
	s.loops.Every(ExchangeInterval, s.ExchangeAll)
	s.loops.Every(seedQueryInterval, s.QuerySeeds)
	s.running = true
	return nil
}

// Stop tells the peers that this entry leaves and removes its row.
func (s *Service) Stop(ctx context.Context) error {
	if !s.running {
		return nil
	}
	s.loops.End()
	s.exchanges.Wait()
	s.Leave(ctx)
	return nil
}

// Leave tells the peers that this entry leaves, with the configuration that it
// has, and removes its row.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range s.targets() {
		wg.Add(1)
		s.cfg.Spawn(func() {
			defer wg.Done()
			s.exchangeWith(ctx, p)
		})
	}
	wg.Wait()
	s.transport.RetainConnections(nil)
	s.removeRow(ctx)
}

func (s *Service) removeRow(ctx context.Context) {
	if s.rowVersion == 0 {
		return
	}
	w := ledger.Write{Key: rowKeyPrefix + s.presence.name(), Version: s.rowVersion, Delete: true}
	_, err := s.ledger.Commit(ctx, ledger.CausePresence, w)
	if err != nil {
		// The other entries drop the row when its lease is over.
		s.cfg.Log.Warn().Err(err).Msg("presence not removed")
	}
}

// Announce writes the next beat of the own row.
func (s *Service) Announce(ctx context.Context) {
	s.presence.Beat++
	data, err := json.Marshal(s.presence)
	if err != nil {
		return
	}
	sent := s.clock()
	w := ledger.Write{Key: rowKeyPrefix + s.presence.name(), Version: s.rowVersion, Data: data}
	rows, err := s.ledger.Commit(ctx, ledger.CausePresence, w)
	switch {
	case err == nil:
		s.rowVersion = rows[0].Version
		s.mu.Lock()
		s.announced.recordWrite(sent)
		s.mu.Unlock()
	case errors.Is(err, ledger.ErrConflict):
		// The next beat goes over the row as it is.
		s.incCounter("membership.own_row_changed")
		s.rowVersion = rows[0].Version
	default:
		s.incCounter("membership.announce_failures")
	}
}

// Scan reads all rows of presence and removes those of entries long gone.
func (s *Service) Scan(ctx context.Context) {
	start := s.clock()
	rows, err := s.readRows(ctx)
	if err != nil {
		s.incCounter("membership.scan_failures")
		return
	}
	s.mu.Lock()
	stale := s.roster.applyScan(start, s.clock(), rows)
	s.mu.Unlock()
	for _, w := range stale {
		// Another entry may have removed the row already.
		_, _ = s.ledger.Commit(ctx, ledger.CausePresence, ledger.Write{Key: rowKeyPrefix + w.name(), Version: w.version, Delete: true})
	}
}

func (s *Service) readRows(ctx context.Context) ([]row, error) {
	var out []row
	after := ""
	for {
		page, err := s.ledger.Scan(ctx, ledger.CausePresence, rowKeyPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, r := range page {
			w := row{version: r.Version}
			if err := json.Unmarshal(r.Data, &w.Presence); err != nil {
				return nil, errors.Annotatef(err, "row %q", r.Key)
			}
			out = append(out, w)
			after = r.Key
		}
		if len(page) < scanPageSize {
			return out, nil
		}
	}
}

// QuerySeeds asks the seeds for the entries while the store does not tell. Such a
// list may be short of entries that nobody reached, so it does not count as
// known for the rule on starts.
func (s *Service) QuerySeeds(ctx context.Context) {
	s.mu.Lock()
	needed := !s.roster.isScanning(s.clock())
	s.mu.Unlock()
	if !needed {
		return
	}
	for _, seed := range s.cfg.Seeds {
		s.querySeed(ctx, seed)
	}
}

func (s *Service) querySeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	entries, err := s.transport.Entries(ctx, seed)
	if err != nil {
		s.incCounter("membership.lookup_failures")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.roster.hints[e.RpcAddress] = true
	}
}

// Entries returns the present entries with this one, in order of id.
func (s *Service) Entries() []*rpc.EntryAddress {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []*rpc.EntryAddress{}
	if !s.leaving {
		out = append(out, &rpc.EntryAddress{Id: s.self.ID, RpcAddress: s.self.Addr})
	}
	for _, m := range s.roster.latestProcesses() {
		if entryID(m.name) != s.self.ID {
			out = append(out, &rpc.EntryAddress{Id: entryID(m.name), RpcAddress: m.addr})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// Peers returns the other entries for the rule on starting work.
func (s *Service) Peers() (peers []confstate.Peer, listed time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.peers(), s.roster.lastScan, s.roster.hasScanned
}

// Settled reports whether the other entries know this one and have for a while.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.announced.settled(s.clock()) && s.roster.hasScanned && s.roster.allReplied()
}

// HighestOwnerEpoch returns the highest epoch of an owner that a peer has told.
func (s *Service) HighestOwnerEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.highestOwnerEpoch
}

// PeerReport is a peer's last state and its age.
type PeerReport struct {
	State      *rpc.PeerState
	Zone       string
	Age        time.Duration
	HasReplied bool // false while the peer has not answered yet
}

// Reports returns the last state of each present peer, in order of id.
func (s *Service) Reports() []PeerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var out []PeerReport
	for _, m := range s.roster.latestProcesses() {
		if m.lastReport != nil && entryID(m.name) != s.self.ID {
			out = append(out, PeerReport{m.lastReport, m.zone, now - m.repliedAt, m.hasReplied})
		}
	}
	return out
}

func (s *Service) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, s.cfg.Metrics).Inc(1)
}

// PeerDump is a peer in the dump of a service.
type PeerDump struct {
	Name         string `json:"name"`
	Addr         string `json:"rpc_address"`
	Zone         string `json:"zone,omitempty"`
	RowVersion   uint64 `json:"row_version"`
	HasReplied   bool   `json:"heard"`
	ReplyAgeMS   int64  `json:"heard_age_ms"`
	StoreFailing bool   `json:"store_failing"`
}

// State is the dump of a service.
type State struct {
	Self              Self       `json:"self"`
	ListKnown         bool       `json:"list_known"`
	Settled           bool       `json:"settled"`
	ScanAgeMS         int64      `json:"scan_age_ms"`
	HighestOwnerEpoch uint64     `json:"highest_owner_epoch"`
	Peers             []PeerDump `json:"peers"`
}

// DumpState returns the service's state.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := State{
		Self:              s.self,
		ListKnown:         s.roster.hasScanned,
		Settled:           s.announced.settled(now) && s.roster.allReplied(),
		ScanAgeMS:         (now - s.roster.lastScan).Milliseconds(),
		HighestOwnerEpoch: s.roster.highestOwnerEpoch,
		Peers:             []PeerDump{},
	}
	for _, m := range s.roster.list() {
		st.Peers = append(st.Peers, PeerDump{
			Name: m.name, Addr: m.addr, Zone: m.zone, RowVersion: m.rowVersion,
			HasReplied: m.hasReplied, ReplyAgeMS: (now - m.repliedAt).Milliseconds(),
			StoreFailing: m.lastReport.GetStoreFailing(),
		})
	}
	return st
}
