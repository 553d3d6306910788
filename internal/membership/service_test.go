package membership

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// fakeLedger holds the presence rows.
type fakeLedger struct {
	ledger.Ledger
	rows map[string]ledger.Row
	down bool
}

func (l *fakeLedger) Scan(context.Context, ledger.Cause, string, string, int) ([]ledger.Row, error) {
	if l.down {
		return nil, ledger.ErrDown
	}
	var out []ledger.Row
	for _, r := range l.rows {
		out = append(out, r)
	}
	return out, nil
}

func (l *fakeLedger) Commit(_ context.Context, _ ledger.Cause, ws ...ledger.Write) ([]ledger.Row, error) {
	if l.down {
		return nil, ledger.ErrDown
	}
	w := ws[0]
	if l.rows[w.Key].Version != w.Version {
		return []ledger.Row{l.rows[w.Key]}, ledger.ErrConflict
	}
	if w.Delete {
		delete(l.rows, w.Key)
		return []ledger.Row{{Key: w.Key}}, nil
	}
	l.rows[w.Key] = ledger.Row{Key: w.Key, Version: w.Version + 1, Data: w.Data}
	return []ledger.Row{{Key: w.Key, Version: w.Version + 1}}, nil
}

// fakeConfig records the configurations and confirmations that exchanges carry.
type fakeConfig struct {
	current *api.Config
	age     time.Duration
	known   bool
}

func (c *fakeConfig) Snapshot() (*api.Config, time.Duration, bool) { return c.current, c.age, c.known }
func (c *fakeConfig) StoreFailing() bool                           { return false }

func (c *fakeConfig) Offer(n *api.Config, age time.Duration) {
	if n.Version > c.current.Version {
		c.current = n
	}
	c.Confirm(n.Version, age)
}

func (c *fakeConfig) Confirm(version uint64, age time.Duration) {
	if version <= c.current.Version {
		c.age, c.known = age, true
	}
}

// network connects services in one process.
type network struct {
	now           time.Duration
	exchangeDelay time.Duration // duration of one exchange
	store         *fakeLedger
	services      map[string]*Service
	confs         map[string]*fakeConfig
}

func newNetwork() *network {
	return &network{
		store:    &fakeLedger{rows: map[string]ledger.Row{}},
		services: map[string]*Service{},
		confs:    map[string]*fakeConfig{},
	}
}

func (n *network) Exchange(_ context.Context, addr string, s *rpc.PeerState) (*rpc.PeerState, error) {
	peer, ok := n.services[addr]
	if !ok {
		return nil, errors.New("unreachable")
	}
	n.now += n.exchangeDelay
	return peer.HandleExchange(s), nil
}

func (n *network) Entries(_ context.Context, addr string) ([]*rpc.EntryAddress, error) {
	if peer, ok := n.services[addr]; ok {
		return peer.Entries(), nil
	}
	return nil, errors.New("unreachable")
}

func (n *network) RetainConnections(map[string]bool) {}

// start starts an incarnation of the entry at addr.
func (n *network) start(id, addr, incarnation string) *Service {
	self := Self{ID: id, Addr: addr, Incarnation: incarnation}
	s := New(n.store, self, n, func() time.Duration { return n.now }, Config{
		Seeds: []string{"addr-a"},
		Spawn: func(fn func()) { fn() },
	})
	n.confs[addr] = &fakeConfig{current: &api.Config{}}
	s.Bind(n.confs[addr])
	n.services[addr] = s
	return s
}

// run runs all services for the time d.
func (n *network) run(d time.Duration) {
	ctx := context.Background()
	for end := n.now + d; n.now < end; n.now += 500 * time.Millisecond {
		for _, addr := range []string{"addr-a", "addr-b", "addr-c"} {
			if s, ok := n.services[addr]; ok {
				s.Announce(ctx)
				s.Scan(ctx)
				s.QuerySeeds(ctx)
				s.ExchangeAll(ctx)
			}
		}
	}
}

func entryIDs(s *Service) string {
	var out []string
	for _, e := range s.Entries() {
		out = append(out, e.Id)
	}
	return strings.Join(out, " ")
}

func describePeers(s *Service) string {
	var out []string
	list, _, known := s.Peers()
	for _, p := range list {
		out = append(out, fmt.Sprintf("%s:%v", p.ID, p.HasReported))
	}
	return fmt.Sprintf("%v %v", known, out)
}

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, expected %q", what, got, want)
	}
}

func TestEntriesJoinAndLeave(t *testing.T) {
	n := newNetwork()
	a, b := n.start("a", "addr-a", "1"), n.start("b", "addr-b", "1")
	n.run(time.Second)
	expect(t, "entries", entryIDs(a), "a b")
	delete(n.services, "addr-b")
	n.run(PresenceLease / 2)
	expect(t, "entries within the lease", entryIDs(a), "a b")
	n.run(PresenceLease)
	expect(t, "entries after a kill", entryIDs(a), "a")
	n.services["addr-b"] = b
	n.run(time.Second)
	expect(t, "entries after a pause", entryIDs(a), "a b")
	b.Leave(context.Background())
	delete(n.services, "addr-b")
	expect(t, "entries after a planned stop", entryIDs(a), "a")
	n.run(time.Second)
	expect(t, "entries after the next scan", entryIDs(a), "a")
}

func TestStaleRowsAreRemoved(t *testing.T) {
	n := newNetwork()
	n.start("a", "addr-a", "1")
	n.start("b", "addr-b", "1")
	n.run(time.Second)
	delete(n.services, "addr-b")
	n.run(PresenceRowTTL + PresenceLease)
	if len(n.store.rows) != 1 {
		t.Errorf("rows %v", n.store.rows)
	}
}

// TestListSurvivesOutage checks that a silent entry is not dropped while the store
// is down, nor right after the store is reachable again.
func TestListSurvivesOutage(t *testing.T) {
	n := newNetwork()
	a := n.start("a", "addr-a", "1")
	n.start("b", "addr-b", "1")
	n.run(time.Second)
	n.store.down = true
	delete(n.services, "addr-b")
	n.run(10 * PresenceLease)
	expect(t, "entries in the outage", entryIDs(a), "a b")
	n.store.down = false
	n.run(time.Second)
	expect(t, "entries right after", entryIDs(a), "a b")
	n.run(2 * PresenceLease)
	expect(t, "entries later", entryIDs(a), "a")
}

// TestRestartedEntryIsAnother checks that after a restart the rule for starting work
// still counts the previous incarnation, while agents see one entry.
func TestRestartedEntryIsAnother(t *testing.T) {
	n := newNetwork()
	a := n.start("a", "addr-a", "1")
	n.start("b", "addr-b", "1")
	n.run(time.Second)
	n.store.down = true
	n.start("b", "addr-b", "2")
	n.run(PresenceLease)
	expect(t, "entries", entryIDs(a), "a b")
	expect(t, "peers", describePeers(a), "true [b#1:true b#2:true]")
	list, _, _ := a.Peers()
	if age := n.now - list[0].LastReportAt; age <= confstate.MaxPeerReportAge {
		t.Errorf("b#1 last replied %v ago", age)
	}
}

// TestStartInOutage checks that an entry which has never read the store finds the
// others through the balancer, but does not count its list as known.
func TestStartInOutage(t *testing.T) {
	n := newNetwork()
	a := n.start("a", "addr-a", "1")
	n.run(time.Second)
	n.store.down = true
	n.confs["addr-a"].Offer(&api.Config{Version: 7}, 0)
	b := n.start("b", "addr-b", "1")
	n.run(2 * time.Second)
	expect(t, "entries of b", entryIDs(b), "a b")
	expect(t, "peers of b", describePeers(b), "false [a#1:true]")
	expect(t, "entries of a", entryIDs(a), "a b")
	if v := n.confs["addr-b"].current.Version; v != 7 {
		t.Errorf("b has version %d", v)
	}
	if b.Settled() {
		t.Error("b has settled without the store")
	}
}

func TestSettled(t *testing.T) {
	n := newNetwork()
	a := n.start("a", "addr-a", "1")
	n.start("b", "addr-b", "1")
	n.run(confstate.SettleTime / 2)
	if a.Settled() {
		t.Error("settled at once")
	}
	n.run(confstate.SettleTime)
	if !a.Settled() {
		t.Error("not settled")
	}
	n.now += PresenceLease // the process was paused
	if a.Settled() {
		t.Error("settled right after a pause")
	}
	n.run(confstate.SettleTime + time.Second)
	if !a.Settled() {
		t.Error("not settled again")
	}
	a.Leave(context.Background())
	if a.Settled() {
		t.Error("settled while it leaves")
	}
}

// TestRequestConfirmsNothing checks that an entry takes a configuration from a
// request but not its confirmation, because the request may be old.
func TestRequestConfirmsNothing(t *testing.T) {
	n := newNetwork()
	a, b := n.start("a", "addr-a", "1"), n.start("b", "addr-b", "1")
	n.confs["addr-a"].Offer(&api.Config{Version: 3}, 0)
	b.HandleExchange(a.localState(0))
	if c := n.confs["addr-b"]; c.current.Version != 3 || c.age < time.Hour {
		t.Errorf("version %d confirmed %v ago", c.current.Version, c.age)
	}
}

// TestAgeIncludesExchangeTime checks that the age of a confirmation includes the time that
// the exchange took.
func TestAgeIncludesExchangeTime(t *testing.T) {
	n := newNetwork()
	n.start("a", "addr-a", "1")
	n.start("b", "addr-b", "1")
	n.confs["addr-a"].Offer(&api.Config{Version: 3}, 0)
	n.exchangeDelay = 4 * time.Second
	n.run(time.Second)
	if c := n.confs["addr-b"]; c.current.Version != 3 || c.age < n.exchangeDelay {
		t.Errorf("version %d confirmed %v ago", c.current.Version, c.age)
	}
}
