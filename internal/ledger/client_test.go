package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

func newWrite(key string, version uint64, data string) Write {
	return Write{Key: key, Version: version, Data: json.RawMessage(data)}
}

// waitFor polls a condition and fails the test if it does not hold in time.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timeout waiting until %s", what)
}

// TestConcurrentCallersShareTransactions guards against one transaction per commit:
// commits that queue up while a transaction is in flight must be grouped.
func TestConcurrentCallersShareTransactions(t *testing.T) {
	const callers = 300
	table := newFakeTable()
	c := New(table, Config{Budgets: map[Cause]Budget{}})
	table.mu.Lock() // holds the first transaction back
	var wg sync.WaitGroup
	commit := func(key string) {
		wg.Go(func() {
			rows, err := c.Commit(context.Background(), CauseJob, newWrite(key, 0, `1`))
			if err != nil || rows[0].Version != 1 {
				t.Errorf("rows %v, error %v", rows, err)
			}
		})
	}
	lane := c.lanes[laneBulk]
	commit("first")
	waitFor(t, "the first transaction is in flight", func() bool {
		lane.mu.Lock()
		defer lane.mu.Unlock()
		return lane.activeSenders > 0 && len(lane.queue) == 0
	})
	for i := range callers {
		commit(fmt.Sprintf("k%d", i))
	}
	waitFor(t, "all others wait", func() bool { return lane.len() == callers })
	table.mu.Unlock()
	wg.Wait()
	if want := 2 + callers/defaultMaxGroupRows; table.commits > want {
		t.Errorf("%d transactions for %d commits, expected at most %d", table.commits, callers, want)
	}
}

// TestGroupsKeepTheTablesLimit checks that commits which wait together are all
// written to a table that refuses transactions above a number of entries.
func TestGroupsKeepTheTablesLimit(t *testing.T) {
	const callers, entries = 90, 100
	table := newFakeTable()
	table.maxEntries = entries
	c := New(table, Config{Budgets: map[Cause]Budget{}, MaxGroupEntries: entries})
	fence, err := c.Commit(context.Background(), CauseOwner, newWrite("fence", 0, `1`))
	if err != nil {
		t.Fatal(err)
	}
	check := Write{Key: "fence", Version: fence[0].Version, Check: true}
	table.mu.Lock() // holds the first transaction back
	var wg sync.WaitGroup
	commit := func(i int) {
		if _, err := c.Commit(context.Background(), CauseJob, newWrite(fmt.Sprintf("k%d", i), 0, `1`), check); err != nil {
			t.Error(err)
		}
	}
	lane := c.lanes[laneBulk]
	waitForQueue := func(what string, length int) {
		waitFor(t, what, func() bool {
			lane.mu.Lock()
			defer lane.mu.Unlock()
			return lane.activeSenders > 0 && len(lane.queue) == length
		})
	}
	wg.Go(func() { commit(0) })
	waitForQueue("the first commit is sent", 0)
	for i := 1; i < callers; i++ {
		wg.Go(func() { commit(i) })
	}
	waitForQueue("the other commits wait", callers-1)
	table.mu.Unlock()
	wg.Wait()
	if want := 3 + 2*callers/(entries-1); table.commits > want {
		t.Errorf("%d transactions for %d commits, expected at most %d", table.commits, callers, want)
	}
}

// TestStalledStoreIsBounded guards against unbounded goroutines or queues while the
// store answers no call, and against callers that never return.
func TestStalledStoreIsBounded(t *testing.T) {
	const limit, callers = 50, 400
	table := newFakeTable()
	table.stalled = true
	registry := metrics.NewRegistry()
	c := New(table, Config{
		Budgets:       map[Cause]Budget{},
		MaxQueue:      limit,
		MaxQueueBytes: 1 << 20,
		MaxReads:      4,
		OpTimeout:     30 * time.Millisecond,
		Metrics:       registry,
	})
	base := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := c.Commit(ctx, CauseJob, newWrite(fmt.Sprintf("k%d", i), 0, `1`))
			mu.Lock()
			defer mu.Unlock()
			counts[errors.Cause(err).Error()]++
		}()
	}
	waitFor(t, "the breaker opens", c.BreakerOpen)
	lane := c.lanes[laneBulk]
	if n := lane.len(); n > limit {
		t.Errorf("%d commits wait, limit %d", n, limit)
	}
	if n := runtime.NumGoroutine(); n > base+callers+len(laneNames) {
		t.Errorf("%d goroutines for %d callers, %d before", n, callers, base)
	}
	if _, err := c.Commit(ctx, CauseJob, newWrite("late", 0, `1`)); err == nil {
		t.Error("commit succeeded while the store stalls")
	}
	cancel()
	wg.Wait()
	waitFor(t, "the senders end", c.idle)
	if counts[ErrOverloaded.Error()] == 0 || counts["<nil>"] != 0 {
		t.Errorf("outcomes %v", counts)
	}
	waitFor(t, "goroutines end", func() bool { return runtime.NumGoroutine() <= base })
}

// TestReadsAreBounded checks that reads above MaxReads are rejected immediately.
func TestReadsAreBounded(t *testing.T) {
	table := newFakeTable()
	table.stalled = true
	c := New(table, Config{Budgets: map[Cause]Budget{}, MaxReads: 2, OpTimeout: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := c.Get(ctx, CauseJob, "a"); err == nil {
				t.Error("read succeeded while the store stalls")
			}
		}()
	}
	waitFor(t, "reads are in progress", func() bool { return len(c.readSlots) == 2 })
	if _, err := c.Get(ctx, CauseJob, "a"); !errors.Is(err, ErrOverloaded) {
		t.Errorf("error %v", err)
	}
	cancel()
	wg.Wait()
}

// TestBudgetRefusesReads checks that a cause that has used up its read budget is
// rejected while other causes can still read.
func TestBudgetRefusesReads(t *testing.T) {
	sim := &simTime{}
	c := New(newFakeTable(), Config{
		Budgets: map[Cause]Budget{CauseJob: {Reads: 0.001, Writes: 1, Burst: 2}},
		Clock:   sim.clock,
		Sleep:   sim.sleep,
	})
	for range 2 {
		if _, err := c.Get(context.Background(), CauseJob, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Get(context.Background(), CauseJob, "a"); !errors.Is(err, ErrOverloaded) {
		t.Errorf("error %v", err)
	}
	if _, err := c.Get(context.Background(), CauseOwner, "a"); err != nil {
		t.Errorf("another cause: %v", err)
	}
}

// TestStopEndsCommits checks that Stop returns after a commit and that commits are
// rejected afterwards.
func TestStopEndsCommits(t *testing.T) {
	table := newFakeTable()
	c := New(table, Config{})
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Commit(context.Background(), CauseJob, newWrite("a", 0, `1`)); err != nil {
		t.Fatal(err)
	}
	if err := c.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Commit(context.Background(), CauseJob, newWrite("a", 1, `1`)); !errors.Is(err, ErrDown) {
		t.Errorf("error %v", err)
	}
}

// slowTable answers after fixed times. A call whose context ends earlier has no
// effect.
type slowTable struct {
	*fakeTable
	readTime, commitTime time.Duration
}

func (s *slowTable) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	if kernel.Sleep(ctx, s.readTime); ctx.Err() != nil {
		return nil, external.ErrUnavailable
	}
	return s.fakeTable.Get(ctx, keys...)
}

func (s *slowTable) Commit(ctx context.Context, txn external.Txn) (external.TxnResult, error) {
	if kernel.Sleep(ctx, s.commitTime); ctx.Err() != nil {
		return external.TxnResult{}, external.ErrUnavailable
	}
	return s.fakeTable.Commit(ctx, txn)
}

// TestSlowTransactionsAreWaitedFor guards against giving up transactions that take
// longer than OpTimeout in a store whose reads are slow as well.
func TestSlowTransactionsAreWaitedFor(t *testing.T) {
	const timeout = 200 * time.Millisecond
	table := &slowTable{newFakeTable(), timeout / 2, timeout * 3 / 2}
	c := New(table, Config{Budgets: map[Cause]Budget{}, OpTimeout: timeout})
	ctx, cancel := context.WithTimeout(context.Background(), 10*timeout)
	defer cancel()
	for i := range 3 {
		if _, err := c.Commit(ctx, CauseJob, newWrite(fmt.Sprint("k", i), 0, `1`)); err != nil {
			t.Fatalf("commit %d: %v", i, err)
		}
	}
}
