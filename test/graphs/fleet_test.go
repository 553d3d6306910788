// Package graphs_test runs entries and agents in one process, over gRPC on
// loopback, against the stand-ins of the table and of the workers.
package graphs_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/keeper"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/process"
)

const (
	cell = "all"
	// eventually bounds what has to happen without faults.
	eventually = 10 * time.Second
	queueHost  = "jobs.example"
	queuePath  = "/q/"
	callerKey  = "key-1"
)

// path is one process's way to the table, with faults of its own.
type path struct {
	*standin.Table
	refuse atomic.Bool  // every call is refused, nothing is done
	silent atomic.Bool  // no call is answered, nothing is done
	delay  atomic.Int64 // ns that each call waits first
}

func (p *path) pass(ctx context.Context) error {
	switch {
	case p.refuse.Load():
		return external.ErrRefused
	case p.silent.Load():
		<-ctx.Done()
		return external.ErrUnavailable
	}
	kernel.Sleep(ctx, time.Duration(p.delay.Load()))
	if ctx.Err() != nil {
		return external.ErrUnavailable
	}
	return nil
}

func (p *path) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	if err := p.pass(ctx); err != nil {
		return nil, err
	}
	return p.Table.Get(ctx, keys...)
}

func (p *path) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	if err := p.pass(ctx); err != nil {
		return nil, err
	}
	return p.Table.Scan(ctx, prefix, after, limit)
}

func (p *path) Commit(ctx context.Context, txn external.Txn) (external.TxnResult, error) {
	if err := p.pass(ctx); err != nil {
		return external.TxnResult{}, err
	}
	return p.Table.Commit(ctx, txn)
}

func (p *path) Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]external.Row, uint64, error) {
	if err := p.pass(ctx); err != nil {
		return nil, 0, err
	}
	return p.Table.Feed(ctx, prefix, after, wait)
}

// operator is the source of the configuration; it fails with a path.
type operator struct {
	path *path

	mu       sync.Mutex
	current  *policy.Snapshot
	revision uint64
}

func (o *operator) Read(ctx context.Context) (*policy.Snapshot, uint64, error) {
	if err := o.path.pass(ctx); err != nil {
		return nil, 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	copied := *o.current
	return &copied, o.revision, nil
}

func (o *operator) WaitForChange(ctx context.Context, after uint64, wait time.Duration) (bool, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); kernel.Sleep(ctx, 10*time.Millisecond) {
		if err := o.path.pass(ctx); err != nil {
			return false, err
		}
		o.mu.Lock()
		changed := o.revision > after
		o.mu.Unlock()
		if changed {
			return true, nil
		}
	}
	return false, nil
}

func (o *operator) set(s *policy.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = s
	o.revision++
}

// entry is one entry with its services.
type entry struct {
	address  string
	path     *path
	operator *operator
	ledger   *ledger.Client
	owner    *owner.Service
	front    *graphs.Front
	schedule *graphs.Scheduler
	services []kernel.Service
	stopped  bool
}

// agent is a worker with its agent.
type agent struct {
	id     string
	zone   string
	runner *standin.Runner
	keeper *keeper.Keeper
	stop   context.CancelFunc
	drains atomic.Bool
}

// fleet is a small deployment.
type fleet struct {
	t       *testing.T
	table   *standin.Table
	entries []*entry
	agents  []*agent
	next    int
	times   owner.Timing
	log     zerolog.Logger
}

// usualTerm is how long a renewal of the ownership lasts.
const usualTerm = 900 * time.Millisecond

func snapshot(version uint64) *policy.Snapshot {
	return &policy.Snapshot{
		Version:  version,
		Queues:   []policy.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePath, Pool: "pool", MaxAttempts: 3, Stretch: 2, Allowance: time.Second}},
		Accounts: []policy.ClientAccount{{Name: "a", Keys: []string{callerKey}, GuaranteedAccelerators: 8}},
		ZonesOut: map[string]bool{},
	}
}

// newFleet starts a deployment and waits until it serves.
func newFleet(t *testing.T, entries, workers int) *fleet {
	t.Helper()
	return newFleetWithTerm(t, entries, workers, usualTerm)
}

func newFleetWithTerm(t *testing.T, entries, workers int, term time.Duration) *fleet {
	t.Helper()
	return newFleetWithTimes(t, entries, workers, owner.Timing{Lease: term})
}

func newFleetWithTimes(t *testing.T, entries, workers int, times owner.Timing) *fleet {
	t.Helper()
	times.RenewInterval, times.ClockMargin, times.PollInterval, times.PermitTTL = 150*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond, time.Millisecond
	f := &fleet{t: t, times: times, table: standin.NewFeedTable(), log: zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()}
	addresses, err := process.FreeAddresses("127.0.0.1", entries)
	if err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(fmt.Sprintf("e%d", i), addresses[i], addresses))
	}
	for i := range workers {
		f.agents = append(f.agents, f.startAgent(i, addresses))
	}
	t.Cleanup(f.close)
	f.await("linked workers", func() bool {
		a := f.entries[0].front.Lookup(f.call(""))
		return a.Outcome == graphs.OK && f.linked() == workers
	})
	return f
}

// linked returns the number of workers that the owner may use.
func (f *fleet) linked() int {
	e := f.ownerEntry()
	if e == nil {
		return 0
	}
	dump, ok := e.schedule.DumpState().(plan.Dump)
	if !ok {
		return 0 // the term has not begun
	}
	n := 0
	for _, w := range dump.Workers {
		if w.Linked {
			n++
		}
	}
	return n
}

func (f *fleet) startEntry(id, address string, all []string) *entry {
	clock := ledger.NewMonotonicClock()
	registry := metrics.NewRegistry()
	log := f.log.With().Str("id", id).Logger()
	e := &entry{address: address, path: &path{Table: f.table}}
	e.operator = &operator{path: e.path, current: snapshot(1)}
	e.ledger = ledger.New(e.path, ledger.Config{Log: log, Clock: clock, OpTimeout: 300 * time.Millisecond})
	watcher := policy.NewWatcher(e.operator, policy.Limits{}, clock, registry, log)
	e.owner = owner.New(e.ledger, cell, owner.Self{ID: id, Addr: address}, clock, owner.Config{Timing: f.times, Log: log})
	store := graphs.NewStore(e.ledger)
	scheduler := graphs.NewScheduler(e.owner, store, watcher, graphs.Limits{}, clock, time.Now, registry, log)
	e.schedule = scheduler
	peers := graphs.NewPeers(address, all, e.owner, log)
	e.front = graphs.NewFront(watcher, store, graphs.NewOwnerClient(scheduler, e.owner), peers, time.Now, registry, log)
	handover := graphs.NewHandover(e.owner, e.ledger, watcher, peers, log)
	server := graphs.NewServer(address, scheduler, e.owner, e.front, handover)
	e.services = []kernel.Service{e.ledger, watcher, server, e.owner, scheduler, handover}
	for _, s := range e.services {
		if err := s.Start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
	return e
}

func (f *fleet) startAgent(i int, entries []string) *agent {
	clock := ledger.NewMonotonicClock()
	id := fmt.Sprintf("w%d", i)
	log := f.log.With().Str("id", id).Logger()
	rows := ledger.New(&path{Table: f.table}, ledger.Config{Log: log, Clock: clock})
	finder := keeper.NewOwnerFinder(rows, cell, entries, clock, log)
	a := &agent{id: id, zone: fmt.Sprintf("z%d", i%2), runner: standin.NewRunner()}
	a.keeper = keeper.New(a.runner, finder, clock, metrics.NewRegistry(), log)
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	if err := a.keeper.Start(ctx); err != nil {
		f.t.Fatal(err)
	}
	go a.announce(ctx)
	return a
}

// announce sends the worker's heartbeats to its agent.
func (a *agent) announce(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		a.keeper.HandleHeartbeat(plan.WorkerInfo{
			ID: a.id, Instance: a.runner.Instance(), StartUnixMillis: a.runner.Born(), Pool: "pool", Zone: a.zone, Rack: "r-" + a.zone,
			Capacity: graph.Resources{MilliCPU: 16000, MemoryMB: 64000, Accelerators: 8},
			Draining: a.drains.Load(), DrainRemaining: 3 * time.Second,
		}, n)
		kernel.Sleep(ctx, 100*time.Millisecond)
	}
}

// stopEntry ends an entry; a killed one does not give its ownership up.
func (f *fleet) stopEntry(e *entry, kill bool) {
	if e.stopped {
		return
	}
	e.stopped = true
	if kill {
		e.path.silent.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for i := len(e.services) - 1; i >= 0; i-- {
		// A killed entry cannot release its row; that is the point.
		_ = e.services[i].Stop(ctx)
	}
}

func (f *fleet) close() {
	for _, a := range f.agents {
		a.stop()
		if err := a.keeper.Stop(context.Background()); err != nil {
			f.t.Error(err)
		}
	}
	for _, e := range f.entries {
		f.stopEntry(e, false)
	}
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	f.awaitWithin(eventually, what, condition)
}

func (f *fleet) awaitWithin(bound time.Duration, what string, condition func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if !kernel.PollUntil(ctx, 10*time.Millisecond, condition) {
		f.t.Fatalf("no %s within %v", what, bound)
	}
}

func (f *fleet) call(id graph.JobID) graphs.Call {
	return graphs.Call{Host: queueHost, Path: queuePath + string(id), Key: callerKey, Wait: 2 * time.Second}
}

func (f *fleet) newID() graph.JobID {
	f.next++
	return graph.JobID(fmt.Sprintf("%016x", f.next))
}

func aJob(tasks int) func() (*graph.Job, error) {
	return func() (*graph.Job, error) {
		return &graph.Job{Spec: "spec", Steps: []graph.Step{{Count: tasks, Needs: graph.Resources{MilliCPU: 1000, Accelerators: 1}, Estimate: 100 * time.Millisecond}}}, nil
	}
}

// submit hands a job in at an entry and expects it to be accepted.
func (f *fleet) submit(e *entry, tasks int) graph.JobID {
	f.t.Helper()
	id := f.newID()
	if a := e.front.Submit(f.call(id), aJob(tasks)); a.Outcome != graphs.OK {
		f.t.Fatalf("submit: %+v", a)
	}
	return id
}

func (f *fleet) state(e *entry, id graph.JobID) graph.State { return e.front.Lookup(f.call(id)).State }

func (f *fleet) awaitState(e *entry, id graph.JobID, want graph.State) {
	f.t.Helper()
	f.await(fmt.Sprintf("job %s that is %s", id, want), func() bool { return f.state(e, id) == want })
}

// ownerEntry returns the entry that owns scheduling, nil if there is none.
func (f *fleet) ownerEntry() *entry {
	for _, e := range f.entries {
		if !e.stopped && e.owner.Current().Owner {
			return e
		}
	}
	return nil
}

// starts counts how often each task of a job has begun.
func (f *fleet) starts(id graph.JobID) map[graph.TaskID]int {
	out := map[graph.TaskID]int{}
	for _, a := range f.agents {
		for _, t := range a.runner.Starts() {
			if t.Job == id {
				out[t]++
			}
		}
	}
	return out
}

func (f *fleet) setWork(d time.Duration) {
	for _, a := range f.agents {
		a.runner.Work = func(graph.TaskID) time.Duration { return d }
	}
}
