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

	// incarnationLength is the length of a generated incarnation.
	incarnationLength = 8

	rowKeyPrefix = "presence/"
	scanPageSize = 256
	// seedQueryInterval is the time between two queries to the seeds while the
	// list of entries cannot be read from the store.
	seedQueryInterval = time.Second
	// oddRowLogInterval is the least time between two log lines on rows left out.
	oddRowLogInterval = time.Second
)

// Transport calls other entries.
type Transport interface {
	Exchange(ctx context.Context, addr string, s *rpc.PeerState) (*rpc.PeerState, error)
	Entries(ctx context.Context, addr string) ([]*rpc.EntryAddress, error)
	// RetainConnections closes connections to addresses that are not in addrs.
	RetainConnections(addrs map[string]bool)
}

// Configuration is the part of the configuration service that exchanges use.
type Configuration interface {
	Snapshot() (c *api.Config, age time.Duration, ok bool)
	StoreFailing() bool
	Offer(c *api.Config, age time.Duration)
	Confirm(version uint64, age time.Duration)
}

// Self describes this entry. Incarnation differs for each start of the process
// and is generated if empty.
type Self struct {
	ID          string
	Addr        string
	Zone        string
	Incarnation string
}

// Config configures a Service.
type Config struct {
	// Seeds are addresses at which some entry replies, such as the balancer's.
	// They are queried while the store cannot be read.
	Seeds []string
	// Spawn runs one exchange, by default in its own goroutine.
	Spawn   func(func())
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Service keeps this entry's presence row and the list of the other entries.
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
	oddRows    *kernel.LogLimiter // bounds the lines on rows that are left out
}

var _ confstate.PeerView = (*Service)(nil)

// New returns a Service that is not running yet. The clock must be monotonic.
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
		oddRows:    kernel.NewLogLimiter(oddRowLogInterval),
		presence: Presence{
			ID:          self.ID,
			Addr:        self.Addr,
			Zone:        self.Zone,
			Incarnation: self.Incarnation,
			Started:     time.Now().UTC(),
		},
	}
}

// Bind sets the configuration that exchanges carry, and functions that add fields
// to each state sent. It must be called before Start.
func (s *Service) Bind(conf Configuration, fill ...func(*rpc.PeerState)) {
	s.conf = conf
	s.stateFillers = fill
}

// Start begins to announce this entry and to exchange states.
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

// Stop ends the service, notifies the peers and removes the own row.
func (s *Service) Stop(ctx context.Context) error {
	if !s.running {
		return nil
	}
	s.loops.End()
	s.exchanges.Wait()
	s.Leave(ctx)
	return nil
}

// Leave notifies the peers that this entry is leaving, passes its configuration on
// to them, and removes its row.
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
		// The other entries drop this one when its lease expires.
		s.cfg.Log.Warn().Err(err).Msg("failed to remove presence row")
	}
}

// Announce writes the next beat to the own row.
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
		// The next beat overwrites the row that is stored now.
		s.incCounter("membership.own_row_changed")
		s.rowVersion = rows[0].Version
	default:
		s.incCounter("membership.announce_failures")
	}
}

// Scan reads all presence rows and removes the stale ones.
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
		// On a failure the next scan retries. Another entry may have removed the
		// row already.
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
			after = r.Key
			w, err := decodePresence(r)
			if err != nil {
				s.reportOddRow(err)
				continue
			}
			out = append(out, w)
		}
		if len(page) < scanPageSize {
			return out, nil
		}
	}
}

// decodePresence decodes and checks a presence row. Rows that another program has
// written may hold anything.
func decodePresence(r ledger.Row) (row, error) {
	w := row{version: r.Version}
	if r.Unreadable {
		return w, errors.NotValidf("row %q", r.Key)
	}
	if err := json.Unmarshal(r.Data, &w.Presence); err != nil {
		return w, errors.Annotatef(err, "row %q", r.Key)
	}
	switch {
	case w.ID == "" || w.Incarnation == "" || r.Key != rowKeyPrefix+w.name():
		return w, errors.NotValidf("row %q of another process or of none", r.Key)
	case !rpc.ValidAddress(w.Addr):
		return w, errors.NotValidf("row %q: address %.100q", r.Key, w.Addr)
	}
	return w, nil
}

// reportOddRow counts a presence row that is left out, and logs it unless others were
// logged just before.
func (s *Service) reportOddRow(err error) {
	s.incCounter("membership.rows_skipped")
	if suppressed, ok := s.oddRows.Allow(time.Now()); ok {
		s.cfg.Log.Error().Err(err).Int("suppressed", suppressed).Msg("presence row left out")
	}
}

// QuerySeeds asks the seeds for the entries while the store cannot be read. Their
// lists may lack entries that no one could reach, so the list of this entry does
// not count as known for the rule for starting work.
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

// Entries returns the present entries including this one, in order of ID.
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

// Peers returns the other entries for the rule for starting work.
func (s *Service) Peers() (peers []confstate.Peer, listed time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.peers(), s.roster.lastScan, s.roster.hasScanned
}

// Settled reports whether the other entries know this one and have for at least
// confstate.SettleTime.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.announced.settled(s.clock()) && s.roster.hasScanned && s.roster.allReplied()
}

// HighestOwnerEpoch returns the highest owner epoch that a peer has reported.
func (s *Service) HighestOwnerEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.highestOwnerEpoch
}

// PeerReport is a peer's latest state and its age.
type PeerReport struct {
	State      *rpc.PeerState
	Zone       string
	Age        time.Duration
	HasReplied bool // false until the peer has replied once
}

// Reports returns the latest state of each present peer, in order of ID.
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

// PeerDump is one peer in the state dump of a Service.
type PeerDump struct {
	Name         string `json:"name"`
	Addr         string `json:"rpc_address"`
	Zone         string `json:"zone,omitempty"`
	RowVersion   uint64 `json:"row_version"`
	HasReplied   bool   `json:"heard"`
	ReplyAgeMS   int64  `json:"heard_age_ms"`
	StoreFailing bool   `json:"store_failing"`
}

// State is the state dump of a Service.
type State struct {
	Self              Self       `json:"self"`
	ListKnown         bool       `json:"list_known"`
	Settled           bool       `json:"settled"`
	ScanAgeMS         int64      `json:"scan_age_ms"`
	HighestOwnerEpoch uint64     `json:"highest_owner_epoch"`
	Peers             []PeerDump `json:"peers"`
}

// DumpState returns the service's state for a state dump.
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
