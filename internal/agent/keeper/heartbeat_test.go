package keeper

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
)

// namedRunner is a worker that answers only calls for its own incarnation.
type namedRunner struct {
	mu       sync.Mutex
	instance string
	born     int64
	silent   bool
	holds    []external.HoldRuns
}

func (r *namedRunner) restart(instance string, born int64) plan.WorkerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instance, r.born = instance, born
	return plan.WorkerInfo{ID: "host", Instance: instance, StartUnixMillis: born, Pool: "pool", Zone: "zone", Rack: "r1", Labels: []string{"a", "r1"}, Capacity: graph.Resources{MilliCPU: 16000}}
}

func (r *namedRunner) Start(context.Context, string, external.StartRun) (time.Duration, error) {
	return 0, external.ErrUnavailable
}

func (r *namedRunner) Stop(context.Context, string, external.StopRun) (time.Duration, error) {
	return 0, external.ErrUnavailable
}

func (r *namedRunner) Hold(_ context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = append(r.holds, o)
	if r.silent {
		return external.RunList{}, external.ErrUnavailable
	}
	if instance != r.instance {
		return external.RunList{}, external.ErrRunWrongInstance
	}
	return external.RunList{StartUnixMillis: r.born}, nil
}

// heartbeatTest is a keeper with a worker that has listed its runs.
type heartbeatTest struct {
	*testing.T
	keeper *Keeper
	runner *namedRunner
	worker plan.WorkerInfo
	now    time.Duration
}

func newHeartbeatTest(t *testing.T) *heartbeatTest {
	h := &heartbeatTest{T: t, runner: &namedRunner{}, now: time.Minute}
	h.keeper = New(h.runner, nil, func() time.Duration { return h.now }, metrics.NewRegistry(), zerolog.Nop())
	h.worker = h.runner.restart("i-1", 1_700_000_000_000)
	h.beat(h.worker, 10, nil)
	h.list()
	return h
}

// list lets the worker list a run under an epoch.
func (h *heartbeatTest) list() {
	h.keeper.epoch = 3
	h.keeper.applyList(h.keeper.target(), external.RunList{Clock: time.Second, Running: []graph.RunState{{Task: graph.TaskID{Job: "j"}, Run: 7}}})
}

func (h *heartbeatTest) beat(info plan.WorkerInfo, number uint64, want error) {
	h.Helper()
	if err := h.keeper.HandleHeartbeat(info, number); !errors.Is(err, want) || (err != nil) != (want != nil) {
		h.Errorf("heartbeat %d of %s: %v, want %v", number, info.Incarnation(), err, want)
	}
}

func (h *heartbeatTest) wantWorker(want plan.WorkerInfo, when string) {
	h.Helper()
	if got := *h.keeper.worker; got.Incarnation() != want.Incarnation() || got.Capacity != want.Capacity || got.Draining != want.Draining {
		h.Errorf("%s: worker %+v, want %+v", when, got, want)
	}
}

// TestForeignHeartbeatChangesNothing guards against a heartbeat that replaces the worker although the worker denies it.
func TestForeignHeartbeatChangesNothing(t *testing.T) {
	h := newHeartbeatTest(t)
	farAhead := int64(math.MaxInt64)
	for name, change := range map[string]func(*plan.WorkerInfo){
		"another id":                    func(w *plan.WorkerInfo) { w.Instance = "i-9" },
		"another id, later start":       func(w *plan.WorkerInfo) { w.Instance, w.StartUnixMillis = "i-9", farAhead },
		"another id, no start":          func(w *plan.WorkerInfo) { w.Instance, w.StartUnixMillis = "i-9", 0 },
		"own id, later start":           func(w *plan.WorkerInfo) { w.StartUnixMillis = farAhead },
		"own id, earlier start":         func(w *plan.WorkerInfo) { w.StartUnixMillis-- },
		"own id, no start":              func(w *plan.WorkerInfo) { w.StartUnixMillis = 0 },
		"own incarnation, another host": func(w *plan.WorkerInfo) { w.ID = "other" },
		"own incarnation, another rack": func(w *plan.WorkerInfo) { w.Labels = []string{"a", "r2"} },
		"own incarnation, another zone": func(w *plan.WorkerInfo) { w.Zone = "other" },
		"own incarnation, another pool": func(w *plan.WorkerInfo) { w.Pool = "other" },
	} {
		foreign := h.worker
		foreign.Capacity, foreign.Draining = graph.Resources{}, true
		change(&foreign)
		h.beat(foreign, math.MaxUint64, external.ErrForeignWorker)
		h.wantWorker(h.worker, name)
	}
	if k := h.keeper; len(k.runs.Running) != 1 || k.listedEpoch != 3 || len(k.lost.recent(h.now)) > 0 {
		t.Errorf("running %v, listed under %d, lost %v", k.runs.Running, k.listedEpoch, k.lost.recent(h.now))
	}
	for _, o := range h.runner.holds {
		if o.Seen != 0 || o.Deadline != 0 || o.Wait != 0 {
			t.Errorf("the confirmation acknowledges, extends or waits: %+v", o)
		}
	}
	h.worker.Capacity.MilliCPU = 8000
	h.beat(h.worker, 11, nil)
	h.wantWorker(h.worker, "after the worker's next heartbeat")
}

// TestRestartUnderOneNameStaysOnItsHost guards against a heartbeat of another program that announces a restart first, and with it another host.
func TestRestartUnderOneNameStaysOnItsHost(t *testing.T) {
	for name, change := range map[string]func(*plan.WorkerInfo){
		"host": func(w *plan.WorkerInfo) { w.ID = "other" },
		"rack": func(w *plan.WorkerInfo) { w.Labels = []string{"a", "r2"} },
	} {
		h := newHeartbeatTest(t)
		before := h.worker
		h.worker = h.runner.restart("i-1", 1_700_000_009_000)
		foreign := h.worker
		change(&foreign)
		h.beat(foreign, 1<<40, external.ErrForeignWorker)
		h.wantWorker(before, "another "+name)
		h.beat(h.worker, 1, nil)
		h.wantWorker(h.worker, "the worker's own heartbeat after another "+name)
		next := h.runner.restart("i-1", 1_700_000_019_000)
		change(&next)
		h.now += heartbeatSilence + time.Second
		h.beat(next, 1, nil)
		h.wantWorker(next, "another "+name+" after a silence")
	}
}

// TestTrueIncarnationReplacesWorker guards against shutting out the worker after a restart, a release or a step of the clock.
func TestTrueIncarnationReplacesWorker(t *testing.T) {
	h := newHeartbeatTest(t)
	for _, next := range []struct {
		name, instance string
		born           int64
	}{
		{"a restart under the same id", "i-1", 1_700_000_009_000},
		{"a crash and another id", "i-2", 1_700_000_019_000},
		{"a start while the clock was behind", "i-3", 1_600_000_000_000},
		{"the same id while the clock was behind", "i-3", 1_500_000_000_000},
		{"a start without a time", "i-4", 0},
	} {
		h.worker = h.runner.restart(next.instance, next.born)
		h.beat(h.worker, 1, nil)
		h.wantWorker(h.worker, next.name)
		h.list()
	}
	late := h.worker
	late.Instance, late.StartUnixMillis = "i-2", 1_700_000_019_000
	h.beat(late, 99, external.ErrForeignWorker)
	h.wantWorker(h.worker, "after a late heartbeat of an earlier incarnation")
}

// TestUnconfirmedIncarnationYieldsToTheTrueOne guards against a first heartbeat of another writer that shuts out the worker for good.
func TestUnconfirmedIncarnationYieldsToTheTrueOne(t *testing.T) {
	h := newHeartbeatTest(t)
	h.keeper = New(h.runner, nil, h.keeper.clock, metrics.NewRegistry(), zerolog.Nop())
	h.runner.silent = true
	foreign := h.worker
	foreign.Instance, foreign.StartUnixMillis = "i-9", math.MaxInt64
	h.beat(foreign, 1, nil)
	h.beat(h.worker, 1, nil)
	h.wantWorker(h.worker, "after the worker's first heartbeat")
	h.runner.silent = false
	h.beat(foreign, 2, external.ErrForeignWorker)
	h.list()
	h.runner.silent = true
	h.beat(foreign, 3, external.ErrUnavailable)
	h.wantWorker(h.worker, "after a heartbeat that the worker did not confirm")
}

// TestNumberFarAheadShutsOutBriefly guards against a heartbeat number of another writer above all numbers of the worker.
func TestNumberFarAheadShutsOutBriefly(t *testing.T) {
	h := newHeartbeatTest(t)
	h.beat(h.worker, math.MaxUint64, nil)
	drained, before := h.worker, h.worker
	drained.Draining, drained.DrainRemaining = true, time.Second
	drained.Capacity.MilliCPU = 8000
	h.beat(drained, 11, nil)
	before.Draining = true
	h.wantWorker(before, "a drain is never late")
	h.now += 5 * time.Second
	h.beat(drained, 12, nil)
	h.wantWorker(drained, "after the silence")
	for range 2 {
		h.beat(h.worker, 11, nil)
		h.wantWorker(drained, "after a late heartbeat from before the drain")
		h.now += 5 * time.Second
	}
}

// TestNextIncarnationOfAnotherKindGetsNoWorkOfTheEarlierOne guards against starts on a worker that has restarted under its name as another kind (ROUTE).
func TestNextIncarnationOfAnotherKindGetsNoWorkOfTheEarlierOne(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		h := newHeartbeatTest(t)
		k := h.keeper
		next := h.runner.restart("i-1", 1_700_000_009_000)
		next.Labels, next.Capacity = []string{"b", "r1"}, graph.Resources{MilliCPU: 8000}
		refusal := func() string {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.refusalOf(graph.Resources{})
		}
		if listedFirst {
			k.applyList(k.target(), external.RunList{Clock: time.Second, StartUnixMillis: next.StartUnixMillis})
			if k.worker.Incarnation() != next.Incarnation() || refusal() == "" {
				t.Errorf("listed, not announced: %+v, refusal %q", k.worker, refusal())
			}
		}
		foreign := next
		foreign.Labels = []string{"b", "r2"}
		h.beat(foreign, 7, external.ErrForeignWorker)
		h.beat(next, 1, nil)
		if h.wantWorker(next, "announced"); !slices.Equal(k.worker.Labels, next.Labels) || refusal() != "" {
			t.Errorf("listed first %v: labels %q, refusal %q", listedFirst, k.worker.Labels, refusal())
		}
		changed := next
		changed.Labels = []string{"a", "r1"}
		h.beat(changed, 2, external.ErrForeignWorker)
	}
}
