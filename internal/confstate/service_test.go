package confstate

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// fakeStore holds the rows that several entries share, and the clock.
type fakeStore struct {
	now  time.Duration
	rows map[string]ledger.Row
}

// fakeLedger is one entry's ledger over the shared rows.
type fakeLedger struct {
	ledger.Ledger
	store        *fakeStore
	down         bool
	loseAnswer   bool // the next commit takes effect and is not answered
	lastAnswer   time.Duration
	commits      int
	reads        int
	beforeCommit func() // runs once, before the next commit
}

func (l *fakeLedger) Outage() time.Duration {
	if !l.down {
		return 0
	}
	return l.store.now - l.lastAnswer
}

func (l *fakeLedger) Get(_ context.Context, _ ledger.Cause, keys ...string) ([]ledger.Row, error) {
	if l.down {
		return nil, ledger.ErrDown
	}
	l.reads++
	l.lastAnswer = l.store.now
	return l.store.get(keys), nil
}

func (s *fakeStore) get(keys []string) []ledger.Row {
	out := make([]ledger.Row, len(keys))
	for i, k := range keys {
		out[i] = s.rows[k]
		out[i].Key = k
	}
	return out
}

func (l *fakeLedger) Commit(_ context.Context, _ ledger.Cause, ws ...ledger.Write) ([]ledger.Row, error) {
	if l.beforeCommit != nil {
		fn := l.beforeCommit
		l.beforeCommit = nil
		fn()
	}
	if l.down {
		return nil, ledger.ErrDown
	}
	l.commits++
	l.lastAnswer = l.store.now
	var keys []string
	for _, w := range ws {
		keys = append(keys, w.Key)
	}
	rows := l.store.get(keys)
	for i, w := range ws {
		if rows[i].Version != w.Version {
			return rows, ledger.ErrConflict
		}
	}
	for i, w := range ws {
		rows[i] = ledger.Row{Key: w.Key, Version: w.Version + 1}
		l.store.rows[w.Key] = ledger.Row{Key: w.Key, Version: w.Version + 1, Data: w.Data}
	}
	if l.loseAnswer {
		l.loseAnswer = false
		return nil, ledger.ErrOutcomeUnknown
	}
	return rows, nil
}

// fakePeers is an entry's knowledge of its peers.
type fakePeers struct {
	peers     []Peer
	listed    time.Duration
	known     bool
	unsettled bool
}

func (p *fakePeers) Peers() ([]Peer, time.Duration, bool) { return p.peers, p.listed, p.known }
func (p *fakePeers) Settled() bool                        { return !p.unsettled }

type entry struct {
	*Service
	ledger *fakeLedger
	peers  *fakePeers
}

type scenario struct {
	store   *fakeStore
	entries map[string]*entry
}

func (s *scenario) entry(name string) *entry {
	if e, ok := s.entries[name]; ok {
		return e
	}
	e := &entry{ledger: &fakeLedger{store: s.store}, peers: &fakePeers{}}
	e.Service = New(e.ledger, e.peers, func() time.Duration { return s.store.now }, Config{
		Sleep: func(_ context.Context, d time.Duration) { s.store.now += d },
	})
	s.entries[name] = e
	return e
}

// simCtx is a context that ends at a time of the scenario's clock.
type simCtx struct {
	context.Context
	store *fakeStore
	end   time.Duration
}

func (c simCtx) Err() error {
	if c.store.now >= c.end {
		return context.DeadlineExceeded
	}
	return nil
}

// edit makes one change: "zone NAME in|out VERSION", "profile NAME VERSION" or
// "delete NAME VERSION". VERSION may be "any".
func (s *scenario) edit(e *entry, line string) string {
	f := strings.Fields(line)
	expect, err := strconv.ParseUint(f[len(f)-1], 10, 64)
	if err != nil {
		expect = AnyVersion
	}
	ctx := simCtx{context.Background(), s.store, s.store.now + 5*time.Second}
	var c *api.Config
	switch f[0] {
	case "zone":
		c, err = e.PutZone(ctx, f[1], api.ZoneState(f[2]), expect)
	case "profile":
		c, err = e.PutProfile(ctx, api.Profile{Name: f[1]}, expect)
	case "delete":
		c, err = e.DeleteProfile(ctx, f[1], expect)
	}
	return formatResult(c, err)
}

func formatResult(c *api.Config, err error) string {
	for _, expected := range []error{ErrVersionConflict, ErrStoreDown, ledger.ErrOutcomeUnknown} {
		if errors.Is(err, expected) {
			return fmt.Sprintf("%v\n%s", err, formatConfig(c))
		}
	}
	if err != nil {
		return err.Error()
	}
	return formatConfig(c)
}

func formatConfig(c *api.Config) string {
	if c == nil {
		return "no configuration"
	}
	var items []string
	for _, z := range c.Zones {
		items = append(items, fmt.Sprintf("%s=%s@%d", z.Name, z.State, z.Version))
	}
	for _, p := range c.Profiles {
		items = append(items, fmt.Sprintf("%s@%d", p.Name, p.Version))
	}
	sort.Strings(items)
	return fmt.Sprintf("version %d: %s", c.Version, strings.Join(items, " "))
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	var name, length string
	d.MaybeScanArgs(t, "entry", &name)
	d.MaybeScanArgs(t, "for", &length)
	wait, _ := time.ParseDuration(length)
	e := s.entry(name)
	switch d.Cmd {
	case "edit":
		return s.edit(e, d.Input)
	case "intrude":
		var by string
		d.ScanArgs(t, "by", &by)
		line := d.Input
		e.ledger.beforeCommit = func() { s.edit(s.entry(by), line) }
	case "ledger":
		e.ledger.down, e.ledger.loseAnswer = d.HasArg("down"), d.HasArg("unknown")
	case "poll":
		e.Poll(context.Background())
		return formatConfig(e.Current())
	case "sleep":
		s.store.now += wait
	case "offer":
		e.Offer(s.entry("other").Current(), wait)
		return formatConfig(e.Current())
	case "peers":
		s.setPeers(e, d.Input)
		e.peers.listed -= wait
	case "settled":
		e.peers.unsettled = d.HasArg("no")
	case "permit":
		return fmt.Sprintf("permit=%v down-everywhere=%v", e.Permit(), e.StoreDownEverywhere())
	case "operations":
		return fmt.Sprintf("%d commits, %d reads", e.ledger.commits, e.ledger.reads)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// setPeers parses lines "NAME AGE failing|working" or "NAME never".
func (s *scenario) setPeers(e *entry, text string) {
	e.peers.peers, e.peers.known, e.peers.listed = nil, true, s.store.now
	for _, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		if len(f) < 3 {
			if len(f) == 2 {
				e.peers.peers = append(e.peers.peers, Peer{ID: f[0]})
			}
			continue
		}
		age, _ := time.ParseDuration(f[1])
		e.peers.peers = append(e.peers.peers, Peer{ID: f[0], HasReported: true, LastReportAt: s.store.now - age, StoreFailing: f[2] == "failing"})
	}
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{store: &fakeStore{rows: map[string]ledger.Row{}}, entries: map[string]*entry{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestSubscribersSeeRisingVersions checks that a subscriber gets the current
// configuration first and then only newer ones, even if an older one is offered.
func TestSubscribersSeeRisingVersions(t *testing.T) {
	s := &scenario{store: &fakeStore{rows: map[string]ledger.Row{}}, entries: map[string]*entry{}}
	e := s.entry("a")
	s.edit(e, "profile p 0")
	got := make(chan uint64, 10)
	e.Subscribe(func(c *api.Config) { got <- c.Version })
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	if v := <-got; v != 1 {
		t.Errorf("first version %d", v)
	}
	e.Offer(&api.Config{Version: 5}, 0)
	e.Offer(&api.Config{Version: 4}, 0)
	e.Offer(&api.Config{Version: 6}, 0)
	last := uint64(1)
	for last < 6 {
		v := <-got
		if v <= last {
			t.Fatalf("version %d after %d", v, last)
		}
		last = v
	}
}
