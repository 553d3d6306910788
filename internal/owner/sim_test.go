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
	simStep         = 100 * time.Millisecond
	lookupEvery     = time.Second
	maxShortLatency = 8 * time.Millisecond
)

// world runs several processes over one table in virtual time, in a single
// goroutine. While one process waits in a call, the others go on.
type world struct {
	now   time.Duration
	rng   *rand.Rand
	rows  map[string]external.Row
	late  []external.Txn
	procs []*process
	times Timing // of ownership
	depth int
	nextK int

	storeDown  bool
	configTxns int     // transactions that change the configuration
	operators  float64 // share of steps in which an operator calls a process
	changes    []*change
	faultRate  float64 // share of calls with a fault
	pauseRate  float64 // share of calls in which the process is paused
	apart      map[[2]int]bool

	oracle oracle
	trace  []string // the last events, for the report of a fault
}

// maxTrace is the number of events that a report shows.
const maxTrace = 60

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8v ", w.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	w.trace = w.trace[max(0, len(w.trace)-maxTrace):]
}

// report describes the processes and the last events.
func (w *world) report() string {
	lines := append([]string(nil), w.trace...)
	for _, p := range w.procs {
		lines = append(lines, fmt.Sprintf("%s: cut %v, %+v, %+v, %+v", p.name, p.cut, p.conf.DumpState(), p.owner.DumpState(), p.members.DumpState()))
	}
	return strings.Join(lines, "\n")
}

func newWorld(seed int64, n int, times Timing) *world {
	w := &world{
		times: times,
		rng:   rand.New(rand.NewSource(seed)),
		rows:  map[string]external.Row{},
		apart: map[[2]int]bool{},
	}
	w.oracle.init(w.note)
	for i := range n {
		w.procs = append(w.procs, nil)
		w.start(i)
	}
	return w
}

// process is one entry: ledger, configuration and ownership.
type process struct {
	w       *world
	index   int
	name    string
	rate    float64 // of its clock
	offset  time.Duration
	ledger  *ledger.Client
	conf    *confstate.Service
	members *membership.Service
	owner   *Service

	busy     bool // a call is in progress
	frozen   bool
	cut      bool // from the store
	stopping bool
	putting  bool                       // an operator's call is in progress
	blind    map[*process]time.Duration // last moment of being blind to another
	jobs     []job
	version  uint64 // highest configuration version seen
}

// job is periodic work of a process.
type job struct {
	every time.Duration
	next  time.Duration
	run   func(context.Context)
}

// start replaces a process by a new one with another incarnation.
func (w *world) start(i int) {
	w.nextK++
	p := &process{
		w:      w,
		index:  i,
		name:   fmt.Sprintf("e%d.%d", i, w.nextK),
		rate:   0.98 + 0.04*w.rng.Float64(),
		offset: time.Duration(w.rng.Intn(1000)) * time.Second,
		blind:  map[*process]time.Duration{},
	}
	if old := w.procs[i]; old != nil {
		p.cut = old.cut
	}
	tokens := 0
	p.ledger = ledger.New(simTable{p}, ledger.Config{
		Budgets: map[ledger.Cause]ledger.Budget{},
		Clock:   p.clock,
		Sleep:   func(_ context.Context, d time.Duration) { p.wait(d) },
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
		Sleep: func(_ context.Context, d time.Duration) { p.idle(d) },
	})
	p.members.Bind(p.conf, func(s *rpc.PeerState) { s.OwnerEpoch = p.owner.Current().Epoch })
	p.owner = New(p.ledger, "cell", Self{ID: p.name, Incarnation: p.name}, p.clock, Config{Peers: p, Timing: w.times})
	p.jobs = []job{
		{every: simStep, run: p.tick},
		{every: confstate.PollInterval, run: p.conf.Poll},
		{every: membership.PresenceInterval, run: p.members.Announce},
		{every: membership.ScanInterval, run: p.members.Scan},
		{every: lookupEvery, run: p.members.QuerySeeds},
		{every: membership.ExchangeInterval, run: p.members.ExchangeAll},
	}
	w.note("%s starts", p.name)
	w.procs[i] = p
}

func (p *process) addr() string { return fmt.Sprintf("addr%d", p.index) }

func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.w.now)*p.rate)
}

// ctx ends after a time on the world's clock.
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

// simTable is the table as one process reaches it.
type simTable struct{ p *process }

func (t simTable) Get(_ context.Context, keys ...string) (rows []external.Row, err error) {
	err = t.p.call(func() { rows = t.p.w.get(keys) }, nil)
	return rows, err
}

func (t simTable) Scan(_ context.Context, prefix, after string, limit int) (rows []external.Row, err error) {
	err = t.p.call(func() {
		var keys []string
		for k := range t.p.w.rows {
			if strings.HasPrefix(k, prefix) && k > after {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		rows = t.p.w.get(keys[:min(limit, len(keys))])
	}, nil)
	return rows, err
}

func (t simTable) Commit(_ context.Context, txn external.Txn) (res external.TxnResult, err error) {
	err = t.p.call(
		func() { res = t.p.w.apply(txn) },
		func() { t.p.w.late = append(t.p.w.late, txn) },
	)
	return res, err
}

func (w *world) get(keys []string) []external.Row {
	out := make([]external.Row, len(keys))
	for i, k := range keys {
		out[i] = w.rows[k]
		out[i].Key = k
	}
	return out
}

func (w *world) apply(txn external.Txn) external.TxnResult {
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
		return external.TxnResult{Rows: w.get(keys)}
	}
	res := external.TxnResult{Committed: true}
	for _, r := range txn.Puts {
		r.Version = w.rows[r.Key].Version + 1
		w.rows[r.Key] = r
		res.Rows = append(res.Rows, external.Row{Key: r.Key, Version: r.Version})
		w.oracle.wrote(w.now, r)
	}
	return res
}

// call carries one call to the store and back. The way takes time, in which a
// call may be lost, its write may be delayed, or the process may be paused.
func (p *process) call(apply, delay func()) error {
	p.way()
	if p.w.storeDown || p.cut {
		p.wait(simStep)
		return external.ErrUnavailable
	}
	if p.w.rng.Float64() >= p.w.faultRate {
		apply()
		p.way()
		return nil
	}
	switch p.w.rng.Intn(3) {
	case 0:
		apply()
	case 1:
		if delay != nil {
			delay()
		}
	}
	p.way()
	p.wait(simStep)
	return external.ErrUnavailable
}

func (p *process) way() {
	w := p.w
	if w.depth == 0 && w.rng.Float64() < w.pauseRate {
		p.frozen = w.rng.Intn(2) == 0
		w.note("%s pauses, frozen %v", p.name, p.frozen)
		p.wait(time.Duration(w.rng.Intn(9000)) * time.Millisecond)
		p.frozen = false
		w.note("%s goes on", p.name)
		return
	}
	w.now += time.Duration(w.rng.Int63n(int64(maxShortLatency)))
}

// wait lets time pass for a process that is in a call.
func (p *process) wait(d time.Duration) {
	if p.w.depth > 0 {
		p.w.now += d
		p.w.oracle.look(p.w)
		return
	}
	p.w.depth++
	defer func() { p.w.depth-- }()
	p.w.run(d)
}

// idle lets time pass for a process that waits outside of a call.
func (p *process) idle(d time.Duration) {
	busy := p.busy
	p.putting = true
	p.busy = false
	p.wait(d)
	p.busy = busy
}

// lists reports whether a process counts another one among its peers.
func (p *process) lists(name string) bool {
	peers, _, _ := p.members.Peers()
	for _, q := range peers {
		if strings.HasSuffix(q.ID, name) {
			return true
		}
	}
	return false
}

// blindGrace is how long a process may take to learn of another one after the
// two can reach each other again.
const blindGrace = 2 * time.Second

// blindTo reports whether a process can neither know nor learn of another one:
// it is, or was until lately, cut off from the store and from the other, and has
// not met it before. The rule on starts does not cover this case.
func (p *process) blindTo(q *process) bool {
	apart := p.w.apart[[2]int{min(p.index, q.index), max(p.index, q.index)}]
	if p.lists(q.name) {
		return false
	}
	if p.cut && apart {
		p.blind[q] = p.w.now
	}
	last, ok := p.blind[q]
	return ok && p.w.now-last <= blindGrace
}

// run lets time pass; each process that is not in a call does its periodic work.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += min(simStep, end-w.now)
		for i := range w.procs {
			w.work(w.procs[i])
		}
		w.arrive()
		w.oracle.look(w)
	}
}

// arrive applies a late transaction now and then.
func (w *world) arrive() {
	if len(w.late) > 0 && w.rng.Intn(10) == 0 {
		i := w.rng.Intn(len(w.late))
		txn := w.late[i]
		w.late = append(w.late[:i:i], w.late[i+1:]...)
		w.apply(txn)
	}
}

// work does what is due in a process.
func (w *world) work(p *process) {
	if p.busy {
		return
	}
	p.busy = true
	defer func() { p.busy = false }()
	for i := range p.jobs {
		j := &p.jobs[i]
		if w.now >= j.next {
			j.next = w.now + j.every
			j.run(p.ctx(time.Second))
		}
	}
	if w.rng.Float64() < w.operators && !p.putting && p.members.Settled() {
		p.put([]string{"a", "b"}[w.rng.Intn(2)], confstate.AnyVersion)
	}
}

// tick is what the service's goroutine does in one round.
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
			w.now += time.Duration(w.rng.Int63n(int64(maxShortLatency)))
			reply := q.members.HandleExchange(s)
			t.p.way()
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
	return q.frozen || w.apart[pair] || w.rng.Float64() < w.faultRate
}

// change is one operator's call.
type change struct {
	process *process
	marker  string
	profile string
	expect  uint64
	sent    time.Duration
	done    time.Duration
	result  *api.Config
	err     error
}

// put lets an operator change a profile through a process and checks the answer.
func (p *process) put(profile string, expect uint64) *change {
	p.w.nextK++
	busy := p.busy
	p.putting = true
	c := &change{process: p, marker: fmt.Sprintf("m%d", p.w.nextK), profile: profile, expect: expect, sent: p.w.now}
	p.busy = true
	defer func() { p.busy, p.putting = busy, false }()
	c.result, c.err = p.conf.PutProfile(p.ctx(20*time.Second), api.Profile{Name: profile, ClientAccount: c.marker}, expect)
	c.done = p.w.now
	p.w.note("%s: %s to %s over %d: %v", p.name, c.marker, profile, expect, c.err)
	p.w.changes = append(p.w.changes, c)
	p.w.oracle.ended(p.w, c)
	return c
}

// rowData opens a row's envelope.
func rowData(r external.Row, into any) {
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
