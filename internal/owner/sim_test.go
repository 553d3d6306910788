package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/membership"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Times of the simulation.
const (
	simStep           = 100 * time.Millisecond
	seedQueryInterval = time.Second
	maxNetworkDelay   = 8 * time.Millisecond
)

// world runs several processes on one table in virtual time, in a single
// goroutine. While one process waits in a call, the others proceed.
type world struct {
	now       time.Duration
	rng       *rand.Rand
	rows      map[string]external.Row
	delayed   []external.Txn
	procs     []*process
	timing    Timing // of ownership
	callDepth int
	nextID    int

	storeDown    bool
	configTxns   int     // transactions on the configuration
	operatorRate float64 // share of steps in which an operator calls a process
	changes      []*configChange
	faultRate    float64 // share of calls with a fault
	pauseRate    float64 // share of calls in which the process is paused
	partitioned  map[[2]int]bool

	oracle   oracle
	eventLog []string // the last events, for the report of a violation
}

// maxEventLog is the number of events kept for a report.
const maxEventLog = 60

func (w *world) logEvent(format string, args ...any) {
	w.eventLog = append(w.eventLog, fmt.Sprintf("%8v ", w.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	w.eventLog = w.eventLog[max(0, len(w.eventLog)-maxEventLog):]
}

// report returns the state of the processes and the last events.
func (w *world) report() string {
	lines := append([]string(nil), w.eventLog...)
	for _, p := range w.procs {
		lines = append(lines, fmt.Sprintf("%s: cut %v, %+v, %+v, %+v", p.name, p.storeUnreachable, p.conf.DumpState(), p.owner.DumpState(), p.members.DumpState()))
	}
	return strings.Join(lines, "\n")
}

func newWorld(seed int64, n int, timing Timing) *world {
	w := &world{
		timing:      timing,
		rng:         rand.New(rand.NewSource(seed)),
		rows:        map[string]external.Row{},
		partitioned: map[[2]int]bool{},
	}
	w.oracle.init(w.logEvent)
	for i := range n {
		w.procs = append(w.procs, nil)
		w.start(i)
	}
	return w
}

// process is one simulated entry: ledger, configuration, membership and
// ownership.
type process struct {
	w           *world
	index       int
	name        string
	clockRate   float64 // speed of its clock relative to the world's
	clockOffset time.Duration
	ledger      *ledger.Client
	conf        *confstate.Service
	members     *membership.Service
	owner       *Service

	inCall           bool // a call is in progress
	frozen           bool
	storeUnreachable bool
	stopping         bool
	changing         bool                       // an operator's call is in progress
	lastUnaware      map[*process]time.Duration // when this process was last unaware of another
	loops            []loop
	version          uint64 // highest configuration version seen
}

// loop is periodic work of a process.
type loop struct {
	interval time.Duration
	next     time.Duration
	run      func(context.Context)
}

// start starts a new incarnation of process i, in place of the previous one.
func (w *world) start(i int) {
	w.nextID++
	p := &process{
		w:           w,
		index:       i,
		name:        fmt.Sprintf("e%d.%d", i, w.nextID),
		clockRate:   0.98 + 0.04*w.rng.Float64(),
		clockOffset: time.Duration(w.rng.Intn(1000)) * time.Second,
		lastUnaware: map[*process]time.Duration{},
	}
	if old := w.procs[i]; old != nil {
		p.storeUnreachable = old.storeUnreachable
	}
	tokens := 0
	p.ledger = ledger.New(simTable{p}, ledger.Config{
		Budgets: map[ledger.Cause]ledger.Budget{},
		Clock:   p.clock,
		Sleep:   func(_ context.Context, d time.Duration) { p.waitInCall(d) },
		Spawn:   func(fn func()) { fn() },
		Jitter:  w.rng.Float64,
		Token: func() string {
			tokens++
			return fmt.Sprintf("%s-%d", p.name, tokens)
		},
	})
	self := membership.Self{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("addr%d", i), Incarnation: p.name}
	p.members = membership.New(p.ledger, self, simTransport{p}, p.clock, membership.Config{
		Seeds: []string{"balancer"},
		Spawn: func(fn func()) { fn() },
	})
	p.conf = confstate.New(p.ledger, p.members, p.clock, confstate.Config{
		Sleep: func(_ context.Context, d time.Duration) { p.waitIdle(d) },
	})
	p.members.Bind(p.conf, func(s *rpc.PeerState) { s.OwnerEpoch = p.owner.Current().Epoch })
	p.owner = New(p.ledger, "cell", Self{ID: p.name, Incarnation: p.name}, p.clock, Config{Peers: p, Timing: w.timing})
	p.loops = []loop{
		{interval: simStep, run: p.tick},
		{interval: confstate.PollInterval, run: p.conf.Poll},
		{interval: membership.PresenceInterval, run: p.members.Announce},
		{interval: membership.ScanInterval, run: p.members.Scan},
		{interval: seedQueryInterval, run: p.members.QuerySeeds},
		{interval: membership.ExchangeInterval, run: p.members.ExchangeAll},
	}
	w.logEvent("%s starts", p.name)
	w.procs[i] = p
}

func (p *process) addr() string { return fmt.Sprintf("addr%d", p.index) }

func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.w.now)*p.clockRate)
}

// ctx returns a context that expires after d on the clock of the world.
func (p *process) ctx(d time.Duration) context.Context {
	return simCtx{context.Background(), p.w, p.w.now + d}
}

type simCtx struct {
	context.Context
	w   *world
	end time.Duration
}

func (c simCtx) Err() error {
	if c.w.now >= c.end {
		return context.DeadlineExceeded
	}
	return nil
}

func (p *process) StoreDownEverywhere() bool { return p.conf.StoreDownEverywhere() }

func (p *process) HighestOwnerEpoch() uint64 { return p.members.HighestOwnerEpoch() }

// simTable is the table as seen by one process.
type simTable struct{ p *process }

func (t simTable) Get(_ context.Context, keys ...string) (rows []external.Row, err error) {
	err = t.p.callStore(func() { rows = t.p.w.getRows(keys) }, nil)
	return rows, err
}

func (t simTable) Scan(_ context.Context, prefix, after string, limit int) (rows []external.Row, err error) {
	err = t.p.callStore(func() {
		var keys []string
		for k := range t.p.w.rows {
			if strings.HasPrefix(k, prefix) && k > after {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		rows = t.p.w.getRows(keys[:min(limit, len(keys))])
	}, nil)
	return rows, err
}

func (t simTable) Commit(_ context.Context, txn external.Txn) (res external.TxnResult, err error) {
	err = t.p.callStore(
		func() { res = t.p.w.applyTxn(txn) },
		func() { t.p.w.delayed = append(t.p.w.delayed, txn) },
	)
	return res, err
}

func (w *world) getRows(keys []string) []external.Row {
	out := make([]external.Row, len(keys))
	for i, k := range keys {
		out[i] = w.rows[k]
		out[i].Key = k
	}
	return out
}

func (w *world) applyTxn(txn external.Txn) external.TxnResult {
	if len(txn.Puts) > 0 && strings.HasPrefix(txn.Puts[0].Key, "config/") {
		w.configTxns++
	}
	keys := make([]string, len(txn.Conds))
	holds := true
	for i, c := range txn.Conds {
		keys[i] = c.Key
		holds = holds && w.rows[c.Key].Version == c.Version
	}
	if !holds {
		return external.TxnResult{Rows: w.getRows(keys)}
	}
	res := external.TxnResult{Committed: true}
	for _, r := range txn.Puts {
		r.Version = w.rows[r.Key].Version + 1
		w.rows[r.Key] = r
		res.Rows = append(res.Rows, external.Row{Key: r.Key, Version: r.Version})
		w.oracle.recordRow(w.now, r)
	}
	return res
}

// callStore simulates one store call and its reply. Both take time; the call may
// be lost, its write may be delayed, or the process may be paused.
func (p *process) callStore(apply, delayWrite func()) error {
	p.networkDelay()
	if p.w.storeDown || p.storeUnreachable {
		p.waitInCall(simStep)
		return external.ErrUnavailable
	}
	if p.w.rng.Float64() >= p.w.faultRate {
		apply()
		p.networkDelay()
		return nil
	}
	switch p.w.rng.Intn(3) {
	case 0:
		apply()
	case 1:
		if delayWrite != nil {
			delayWrite()
		}
	}
	p.networkDelay()
	p.waitInCall(simStep)
	return external.ErrUnavailable
}

func (p *process) networkDelay() {
	w := p.w
	if w.callDepth == 0 && w.rng.Float64() < w.pauseRate {
		p.frozen = w.rng.Intn(2) == 0
		w.logEvent("%s pauses, frozen %v", p.name, p.frozen)
		p.waitInCall(time.Duration(w.rng.Intn(9000)) * time.Millisecond)
		p.frozen = false
		w.logEvent("%s goes on", p.name)
		return
	}
	w.now += time.Duration(w.rng.Int63n(int64(maxNetworkDelay)))
}

// waitInCall advances time for a process that is in a call.
func (p *process) waitInCall(d time.Duration) {
	if p.w.callDepth > 0 {
		p.w.now += d
		p.w.oracle.checkInvariants(p.w)
		return
	}
	p.w.callDepth++
	defer func() { p.w.callDepth-- }()
	p.w.run(d)
}

// waitIdle advances time for a process that waits outside of a call.
func (p *process) waitIdle(d time.Duration) {
	busy := p.inCall
	p.changing = true
	p.inCall = false
	p.waitInCall(d)
	p.inCall = busy
}

// knows reports whether the process has the named one in its list of peers.
func (p *process) knows(name string) bool {
	peers, _, _ := p.members.Peers()
	for _, q := range peers {
		if strings.HasSuffix(q.ID, name) {
			return true
		}
	}
	return false
}

// discoveryGrace is the longest time for which a process may not know of another
// one after the two can reach each other again.
const discoveryGrace = 2 * time.Second

// unawareOf reports whether the process cannot know of q: until at most
// discoveryGrace ago it was disconnected from both the store and q, and q is not
// in its list of peers. The rule for starting work does not cover this case.
func (p *process) unawareOf(q *process) bool {
	partitioned := p.w.partitioned[[2]int{min(p.index, q.index), max(p.index, q.index)}]
	if p.knows(q.name) {
		return false
	}
	if p.storeUnreachable && partitioned {
		p.lastUnaware[q] = p.w.now
	}
	last, ok := p.lastUnaware[q]
	return ok && p.w.now-last <= discoveryGrace
}

// run advances time; each process that is not in a call runs its due loops.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += min(simStep, end-w.now)
		for i := range w.procs {
			w.runDue(w.procs[i])
		}
		w.applyDelayed()
		w.oracle.checkInvariants(w)
	}
}

// applyDelayed applies a random delayed transaction, in one of 10 steps on
// average.
func (w *world) applyDelayed() {
	if len(w.delayed) > 0 && w.rng.Intn(10) == 0 {
		i := w.rng.Intn(len(w.delayed))
		txn := w.delayed[i]
		w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
		w.applyTxn(txn)
	}
}

// runDue runs the loops of a process that are due.
func (w *world) runDue(p *process) {
	if p.inCall {
		return
	}
	p.inCall = true
	defer func() { p.inCall = false }()
	for i := range p.loops {
		j := &p.loops[i]
		if w.now >= j.next {
			j.next = w.now + j.interval
			j.run(p.ctx(time.Second))
		}
	}
	if w.rng.Float64() < w.operatorRate && !p.changing && p.members.Settled() {
		p.changeProfile([]string{"a", "b"}[w.rng.Intn(2)], confstate.AnyVersion)
	}
}

// tick does what one round of the service's goroutine does.
func (p *process) tick(context.Context) {
	p.owner.observePeerEpoch()
	for _, a := range p.owner.step(Tick{}) {
		ctx := p.ctx(rowOpTimeout)
		if wr, ok := a.(Write); ok {
			p.owner.step(p.owner.writeRow(ctx, wr))
			continue
		}
		p.owner.step(p.owner.readRow(ctx))
	}
	if p.stopping && p.owner.core.Released() && p.w.procs[p.index] == p {
		p.members.Leave(p.ctx(time.Second))
		p.w.start(p.index)
	}
}

// simTransport carries exchanges between the processes.
type simTransport struct{ p *process }

func (t simTransport) Exchange(_ context.Context, addr string, s *rpc.PeerState) (*rpc.PeerState, error) {
	w := t.p.w
	for _, q := range w.procs {
		if q.addr() == addr && !w.unreachable(t.p, q) {
			w.now += time.Duration(w.rng.Int63n(int64(maxNetworkDelay)))
			reply := q.members.HandleExchange(s)
			t.p.networkDelay()
			return reply, nil
		}
	}
	return nil, external.ErrUnavailable
}

func (t simTransport) Entries(context.Context, string) ([]*rpc.EntryAddress, error) {
	q := t.p.w.procs[t.p.w.rng.Intn(len(t.p.w.procs))]
	if t.p.w.unreachable(t.p, q) {
		return nil, external.ErrUnavailable
	}
	return q.members.Entries(), nil
}

func (t simTransport) RetainConnections(map[string]bool) {}

func (w *world) unreachable(p, q *process) bool {
	pair := [2]int{min(p.index, q.index), max(p.index, q.index)}
	return q.frozen || w.partitioned[pair] || w.rng.Float64() < w.faultRate
}

// configChange is one operator's call to change the configuration.
type configChange struct {
	process *process
	marker  string
	profile string
	expect  uint64
	sent    time.Duration
	done    time.Duration
	result  *api.Config
	err     error
}

// changeProfile changes a profile through the process as an operator does, and
// checks the outcome.
func (p *process) changeProfile(profile string, expect uint64) *configChange {
	p.w.nextID++
	busy := p.inCall
	p.changing = true
	c := &configChange{process: p, marker: fmt.Sprintf("m%d", p.w.nextID), profile: profile, expect: expect, sent: p.w.now}
	p.inCall = true
	defer func() { p.inCall, p.changing = busy, false }()
	c.result, c.err = p.conf.PutProfile(p.ctx(20*time.Second), api.Profile{Name: profile, ClientAccount: c.marker}, expect)
	c.done = p.w.now
	p.w.logEvent("%s: %s to %s over %d: %v", p.name, c.marker, profile, expect, c.err)
	p.w.changes = append(p.w.changes, c)
	p.w.oracle.checkOutcome(p.w, c)
	return c
}

// decodeRowData decodes the data in a row's envelope.
func decodeRowData(r external.Row, into any) {
	var e struct {
		Data json.RawMessage `json:"data"`
	}
	if err := json.Unmarshal(r.Value, &e); err != nil {
		panic(err)
	}
	if err := json.Unmarshal(e.Data, into); err != nil {
		panic(err)
	}
}
