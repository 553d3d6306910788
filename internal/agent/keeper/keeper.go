// Package keeper keeps one worker's leases and carries out the owner's orders
// on it. It is the worker's only caller: it lists what runs there under the
// owner's epoch, extends the lease by the owner's grants, and settles every
// order so that the owner learns its outcome.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// holdWait is how long a call waits for an end; it is also the time between
	// two extensions of the lease.
	holdWait = time.Second
	// holdSlack is how long an answer may take beyond that.
	holdSlack = 500 * time.Millisecond
	// holdRetry is the time between two calls after a failure, or while ends
	// wait for their acknowledgement.
	holdRetry = 100 * time.Millisecond
	// answerLimit is the age of the last answer up to which a worker counts as
	// answering.
	answerLimit = 2 * time.Second
	// goneDelay is the time after a worker's farewell by which it has ended.
	goneDelay = 300 * time.Millisecond
)

// Keeper keeps one worker.
type Keeper struct {
	runner   external.Runner
	finder   *Finder
	clock    func() time.Duration
	registry metrics.Registry
	log      zerolog.Logger

	mu       sync.Mutex
	worker   *plan.WorkerInfo // nil before its first heartbeat
	number   uint64           // of its last heartbeat
	leftAt   time.Duration    // of its farewell, 0 if there was none
	lease    lease
	epoch    uint64
	listed   uint64 // epoch of the lists below
	listedAt time.Duration
	silent   bool // the worker was found not to answer
	runs     external.RunList
	seen     uint64 // ends up to it are acknowledged
	absent   []*rpc.AbsentTask
	orders   map[runRef]*order // those that are being carried out
	wakeHold chan struct{}
	wakeSend chan struct{}
	loops    kernel.Loops
}

// runRef names a run.
type runRef struct {
	task graph.TaskID
	run  uint64
}

// New returns a keeper that is not running yet.
func New(r external.Runner, f *Finder, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Keeper {
	k := &Keeper{
		runner:   r,
		finder:   f,
		clock:    clock,
		registry: registry,
		log:      log,
		orders:   map[runRef]*order{},
		wakeHold: make(chan struct{}, 1),
		wakeSend: make(chan struct{}, 1),
	}
	k.lease.restart(clock())
	return k
}

// Start begins to keep the worker.
func (k *Keeper) Start(context.Context) error {
	k.loops.Begin()
	k.loops.Go(k.holdLoop)
	k.loops.Go(k.attendLoop)
	return nil
}

// Stop ends the loops. What runs on the worker goes on until its lease ends.
func (k *Keeper) Stop(context.Context) error {
	k.loops.End()
	return nil
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Heartbeat takes what the worker says of itself. One that is older than the
// last is left.
func (k *Keeper) Heartbeat(info plan.WorkerInfo, number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.worker; old != nil && (info.StartUnixMillis < old.StartUnixMillis || info.Incarnation() == old.Incarnation() && number < k.number) {
		return
	}
	changed := k.worker == nil || k.worker.Incarnation() != info.Incarnation()
	if changed {
		k.log.Info().Str("worker", info.ID).Str("instance", info.Incarnation()).Str("rack", info.Rack).Msg("worker announced")
		k.restart()
	}
	if !changed && info.Draining && !k.worker.Draining {
		k.log.Info().Str("worker", info.ID).Dur("remaining_ms", info.DrainRemaining).Msg("worker drains")
		wake(k.wakeSend)
	}
	k.worker, k.number = &info, number
	if changed {
		wake(k.wakeHold)
		wake(k.wakeSend)
	}
}

// restart forgets what belongs to an earlier incarnation of the worker.
func (k *Keeper) restart() {
	k.lease.restart(k.clock())
	k.runs = external.RunList{}
	k.listed, k.seen, k.leftAt = 0, 0, 0
	k.absent = nil
	k.orders = map[runRef]*order{}
}

// Left takes the worker's farewell.
func (k *Keeper) Left(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Instance != id {
		return
	}
	k.log.Info().Str("worker", k.worker.ID).Str("instance", id).Msg("worker left")
	k.leftAt = k.clock()
	time.AfterFunc(goneDelay, func() { wake(k.wakeSend) })
}

// holdLoop extends the lease and waits for ends.
func (k *Keeper) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.holdable() {
			k.await(ctx, holdWait)
			continue
		}
		if err := k.hold(ctx, k.holdWait()); err != nil {
			k.await(ctx, holdRetry)
			continue
		}
		if k.unacknowledged() {
			k.await(ctx, holdRetry)
		}
	}
}

// await waits for a time or until something has changed.
func (k *Keeper) await(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.wakeHold:
	case <-time.After(d):
	}
}

func (k *Keeper) holdable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker != nil && k.epoch > 0
}

func (k *Keeper) unacknowledged() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.runs.Ended)
	return n > 0 && k.runs.Ended[n-1].Number > k.seen
}

func (k *Keeper) holdWait() time.Duration {
	if k.unacknowledged() {
		return 0
	}
	return holdWait
}

// target is what a call needs to know of the worker at one moment.
type target struct {
	instance    string
	born        int64
	incarnation string
	epoch       uint64
	deadline    time.Duration
	seen        uint64
}

// target returns what to call the worker with, and notes that the deadline is
// on its way.
func (k *Keeper) target() target {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := target{epoch: k.epoch, seen: k.seen}
	if k.worker != nil {
		t.instance, t.incarnation, t.born = k.worker.Instance, k.worker.Incarnation(), k.worker.StartUnixMillis
	}
	// While the worker does not answer, a call may still reach it later: its
	// lease is not extended before it answers again.
	if k.answering() || k.lease.orderedAt >= k.lease.grantedAt {
		t.deadline = k.lease.order()
	}
	return t
}

func (k *Keeper) answering() bool {
	return k.listed > 0 && k.clock()-k.listedAt <= answerLimit
}

// hold makes one call and takes its lists.
func (k *Keeper) hold(ctx context.Context, wait time.Duration) error {
	t := k.target()
	ctx, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	list, err := k.runner.Hold(ctx, t.instance, external.HoldRuns{Epoch: t.epoch, Seen: t.seen, Deadline: t.deadline, Wait: wait})
	if err != nil {
		metrics.GetOrRegisterCounter("keeper.hold_failures", k.registry).Inc(1)
		k.holdFailed(err)
		return err
	}
	k.take(t, list)
	return nil
}

func (k *Keeper) holdFailed(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.answering() || k.silent {
		return
	}
	k.silent = true
	k.log.Warn().Err(err).Dur("answered_ago_ms", k.clock()-k.listedAt).Msg("worker does not answer")
}

// take takes over lists that were asked for with t. Lists can overtake each
// other: one with an earlier clock is left.
func (k *Keeper) take(t target, list external.RunList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != t.incarnation {
		return
	}
	if list.StartUnixMillis != 0 && list.StartUnixMillis != t.born {
		k.log.Info().Str("worker", t.instance).Int64("born", list.StartUnixMillis).Msg("worker has been restarted")
		k.restart()
		info := *k.worker
		info.StartUnixMillis = list.StartUnixMillis
		k.worker, k.number = &info, 0
	}
	now := k.clock()
	k.lease.observe(now, list.Clock)
	if list.Clock < k.runs.Clock || t.epoch < k.listed {
		return
	}
	news := k.listed != t.epoch || differs(k.runs, list)
	k.runs, k.listed, k.listedAt = list, t.epoch, now
	if k.silent {
		k.silent = false
		k.log.Info().Msg("worker answers again")
	}
	if news {
		wake(k.wakeSend)
	}
}

// differs reports whether other runs are listed, whatever their progress.
func differs(a, b external.RunList) bool {
	if len(a.Running) != len(b.Running) || len(a.Ended) != len(b.Ended) {
		return true
	}
	for i := range a.Running {
		if a.Running[i].Task != b.Running[i].Task || a.Running[i].Run != b.Running[i].Run {
			return true
		}
	}
	for i := range a.Ended {
		if a.Ended[i].Number != b.Ended[i].Number {
			return true
		}
	}
	return false
}

// DumpState returns the state for the dump on request.
func (k *Keeper) DumpState() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return map[string]any{
		"worker": k.worker, "epoch": k.epoch, "listed_epoch": k.listed, "running": len(k.runs.Running),
		"ended": len(k.runs.Ended), "acknowledged": k.seen, "orders": len(k.orders),
		"lease_age_ms": k.lease.age(k.clock()).Milliseconds(), "answering": k.answering(),
	}
}

var errStale = errors.New("a higher epoch is known")
