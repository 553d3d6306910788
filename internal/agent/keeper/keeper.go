// Package keeper maintains the lease of one worker and executes the owner's
// orders on it. It is the worker's only caller: it lists the worker's runs under
// the owner's epoch, extends the lease when the owner grants it, and settles every
// order, so that the owner learns its outcome.
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
	// holdWait is how long a Hold call waits for a run to end; it is also the
	// interval at which the lease is extended.
	holdWait = reportInterval
	// holdReplyMargin is how long the reply may take beyond the requested wait.
	holdReplyMargin = 500 * time.Millisecond
	// holdRetryInterval is the delay before the next call after a failure or
	// while ended runs have not been acknowledged.
	holdRetryInterval = 100 * time.Millisecond
	// responsiveWindow is the maximum age of the last run list for the worker to
	// count as responsive.
	responsiveWindow = 2 * time.Second
	// exitDelay is the time that a worker which has announced its exit gets to end.
	exitDelay = 300 * time.Millisecond
)

// Keeper maintains the lease and executes the orders of one worker.
type Keeper struct {
	runner   external.Runner
	finder   *OwnerFinder
	clock    func() time.Duration
	registry metrics.Registry
	log      zerolog.Logger

	mu              sync.Mutex
	worker          *plan.WorkerInfo // nil before its first heartbeat
	unannounced     bool             // only a list has shown its incarnation: it may be of another kind
	accepted        map[runRef]bool  // runs that it has accepted and not listed yet
	lost            lostRuns
	startCalls      startLog
	unansweredAcks  unansweredAcks
	lateLease       lateLease
	startedAt       time.Duration
	sent            sentStarts
	unsettled       map[runRef]bool // runs of earlier incarnations that may start on this one
	mustList        bool            // the last list was not answered
	heartbeatNumber uint64          // number of its last heartbeat
	heartbeatAt     time.Duration   // when its last heartbeat was accepted
	leftAt          time.Duration   // when it announced its exit, 0 if it did not
	exitDeniedAt    time.Duration   // when it last answered after an announcement, 0 if it did not
	gone            bool            // it has ended after the announcement
	lease           lease
	leaseTerm       uint64 // counts the grants that followed a lease which was over
	epoch           uint64 // highest known epoch of an owner
	validFrom       uint64 // the least epoch whose orders and lists are valid
	epochAbove      uint64 // the owner is asked for a higher epoch than this one
	epochDenied     uint64 // the owner has named no higher epoch than this one when asked
	listedEpoch     uint64 // epoch under which runs was listed
	listedAt        time.Duration
	unresponsive    bool // logged as unresponsive
	runs            external.RunList
	acknowledged    uint64        // number of the last end acknowledged by the owner
	ackAnswered     uint64        // the last acknowledgement that the worker has answered
	ackOwedAt       time.Duration // when the owner acknowledged the first end since then
	ackUnansweredAt time.Duration // when the first one since then was sent, 0 if none was
	absent          []*rpc.AbsentTask
	orders          map[runRef]*order // orders in progress
	wakeHold        chan struct{}
	wakeSend        chan struct{}
	confirmSlot     chan struct{} // holds one token while a new incarnation is confirmed
	wakeSettle      chan struct{}
	loops           kernel.Loops
}

// runRef identifies a run of a task.
type runRef struct {
	task graph.TaskID
	run  uint64
}

// New returns a keeper that is not running yet.
func New(r external.Runner, f *OwnerFinder, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Keeper {
	k := &Keeper{
		runner:      r,
		finder:      f,
		clock:       clock,
		registry:    registry,
		log:         log,
		accepted:    map[runRef]bool{},
		orders:      map[runRef]*order{},
		wakeHold:    make(chan struct{}, 1),
		wakeSend:    make(chan struct{}, 1),
		wakeSettle:  make(chan struct{}, 1),
		confirmSlot: make(chan struct{}, 1),
	}
	k.startedAt = clock()
	k.lease.reset(k.startedAt)
	return k
}

// Start begins to extend the lease and to follow the owner.
func (k *Keeper) Start(context.Context) error {
	k.loops.Begin()
	k.loops.Go(k.holdLoop)
	k.loops.Go(k.ownerLoop)
	k.loops.Go(k.settleLoop)
	return nil
}

// Stop ends the loops. Runs on the worker continue until its lease expires.
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

// resetWorkerState discards the state of an earlier incarnation of the worker.
func (k *Keeper) resetWorkerState() {
	if k.worker != nil && !k.worker.Draining && k.leftAt == 0 {
		k.lost.add(k.clock(), k.runs.Running, k.accepted)
	}
	k.accepted = map[runRef]bool{}
	k.lease.reset(k.clock())
	k.runs = external.RunList{}
	k.listedEpoch, k.acknowledged, k.ackAnswered, k.leftAt, k.exitDeniedAt, k.gone = 0, 0, 0, 0, 0, false
	k.ackUnansweredAt = 0
	k.absent = nil
	k.orders = map[runRef]*order{}
	k.sent.reset()
}

// holdLoop extends the lease and waits for runs to end.
func (k *Keeper) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.canHold() {
			k.waitForWake(ctx, holdWait)
			continue
		}
		if err := k.hold(ctx, k.nextHoldWait()); err != nil {
			k.waitForWake(ctx, holdRetryInterval)
			continue
		}
		if k.hasUnacknowledgedEnds() || k.hasPendingAck() {
			k.waitForWake(ctx, holdRetryInterval)
		}
	}
}

// waitForWake waits for d or until wakeHold is signalled.
func (k *Keeper) waitForWake(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.wakeHold:
	case <-time.After(d):
	}
}

func (k *Keeper) canHold() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker != nil && k.epoch > 0
}

func (k *Keeper) hasUnacknowledgedEnds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.runs.Ended)
	return n > 0 && k.runs.Ended[n-1].Number > k.acknowledged
}

// nextHoldWait returns how long the next Hold call waits for an end: not at all while the
// worker holds ends already.
func (k *Keeper) nextHoldWait() time.Duration {
	if k.hasUnacknowledgedEnds() || k.moreEnds() || k.listRequired() {
		return 0
	}
	return holdWait
}

func (k *Keeper) moreEnds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs.MoreEnds
}

// callTarget is a snapshot of the parameters of a call to the worker.
type callTarget struct {
	instance        string
	startUnixMillis int64
	incarnation     string
	epoch           uint64
	deadline        time.Duration
	acknowledged    uint64
	begunAt         time.Duration
	leaseTerm       uint64 // of a start: the term of its order
	// listOnly is set for a list without lease and acknowledgements.
	listOnly bool
}

// target returns the parameters for a call and records that its deadline may reach
// the worker.
func (k *Keeper) target() callTarget {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.newTarget()
	if t.listOnly = k.mustList; !t.listOnly {
		t.acknowledged, t.deadline = k.pendingAck(), k.nextDeadline()
	}
	return t
}

// listTarget returns the parameters for a list without lease and acknowledgements.
func (k *Keeper) listTarget() callTarget {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.newTarget()
	t.listOnly = true
	return t
}

// newTarget returns the parameters that all calls have. The caller holds the lock.
func (k *Keeper) newTarget() callTarget {
	t := callTarget{epoch: k.epoch, begunAt: k.clock()}
	if k.worker != nil {
		t.instance, t.incarnation, t.startUnixMillis = k.worker.Instance, k.worker.Incarnation(), k.worker.StartUnixMillis
	}
	return t
}

// nextDeadline returns the deadline for a call and records that it may reach the worker; 0 if
// the lease must not be extended now. The caller holds the lock.
func (k *Keeper) nextDeadline() time.Duration {
	if !k.mayExtendLease() {
		return 0
	}
	return k.lease.takeDeadline()
}

// mayExtendLease reports whether a call may carry the deadline of the last grant. While the
// worker is unresponsive, an earlier call may still reach it later. Its lease is therefore not
// extended until it answers again. The caller holds the lock.
func (k *Keeper) mayExtendLease() bool {
	return k.workerResponsive() || k.lease.usedReportAt >= k.lease.grantReportAt
}

// extendsLease is mayExtendLease for a caller that does not hold the lock.
func (k *Keeper) extendsLease() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mayExtendLease()
}

func (k *Keeper) workerResponsive() bool {
	return k.listedEpoch > 0 && k.clock()-k.listedAt <= responsiveWindow
}

// hold makes one Hold call and applies the returned list.
func (k *Keeper) hold(ctx context.Context, wait time.Duration) error {
	return k.holdAs(ctx, k.target(), wait)
}

func (k *Keeper) holdAs(ctx context.Context, t callTarget, wait time.Duration) error {
	if t.acknowledged > 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+holdReplyMargin)
	defer cancel()
	ack, err := k.beginHold(t)
	if err != nil {
		return err
	}
	list, err := k.runner.Hold(ctx, t.instance, external.HoldRuns{Epoch: t.epoch, Seen: t.acknowledged, Deadline: t.deadline, Wait: wait})
	k.endHold(ack, err)
	if err != nil {
		metrics.GetOrRegisterCounter("keeper.hold_failures", k.registry).Inc(1)
		k.recordHoldFailure(t, err)
		return err
	}
	k.recordAckAnswer(t, list)
	k.applyList(t, list)
	return nil
}

func (k *Keeper) recordHoldFailure(t callTarget, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mustList = k.mustList || errors.Is(err, external.ErrUnavailable)
	k.recordFailureAfterExit(t, err)
	if k.workerResponsive() || k.unresponsive {
		return
	}
	k.unresponsive = true
	k.log.Warn().Err(err).Dur("answered_ago_ms", k.clock()-k.listedAt).Msg("worker is unresponsive")
}

// applyList records a list that was requested with t. Replies can arrive out of
// order: a list with an earlier worker clock than the last one is ignored.
func (k *Keeper) applyList(t callTarget, list external.RunList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.worker == nil || k.worker.Incarnation() != t.incarnation {
		return
	}
	if list.StartUnixMillis != 0 && list.StartUnixMillis != t.startUnixMillis {
		k.log.Info().Str("worker", t.instance).Int64("born", list.StartUnixMillis).Msg("worker restarted")
		info := *k.worker
		info.StartUnixMillis = list.StartUnixMillis
		k.changeWorker(info)
		k.unannounced, k.heartbeatNumber = true, 0
		// A start may have reached this incarnation since the list was made, which the list
		// would show as absent.
		return
	}
	if t.listOnly {
		k.mustList = false
	}
	k.recordAnswerAfterExit(t)
	now := k.clock()
	k.lateLease.recordAnswer(now, t.epoch)
	k.lease.observeClock(now, list.Clock)
	earlierEpoch := t.epoch < k.listedEpoch
	if list.Clock < k.runs.Clock || earlierEpoch && (t.epoch < k.validFrom || list.Clock == k.runs.Clock) {
		return
	}
	changed := k.listedEpoch < t.epoch || runsDiffer(k.runs, list)
	k.runs, k.listedEpoch, k.listedAt = list, max(k.listedEpoch, t.epoch), now
	for _, r := range list.Running {
		k.recordListed(runRef{r.Task, r.Run})
	}
	for _, e := range list.Ended {
		k.recordListed(runRef{e.Task, e.Run})
	}
	if k.unresponsive {
		k.unresponsive = false
		k.log.Info().Msg("worker is responsive again")
	}
	if changed || len(list.Running) > 0 {
		wake(k.wakeSend) // with the progress while it is recent
	}
}

// recordListed records that a list shows a run. The caller holds the lock.
func (k *Keeper) recordListed(ref runRef) {
	delete(k.accepted, ref)
	k.startCalls.listed(ref)
}

// runsDiffer reports whether the lists contain different runs or ends. Progress is
// not compared.
func runsDiffer(a, b external.RunList) bool {
	if len(a.Running) != len(b.Running) || len(a.Ended) != len(b.Ended) || a.MoreEnds != b.MoreEnds {
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

// DumpState returns the keeper's state for the state dump.
func (k *Keeper) DumpState() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return map[string]any{
		"worker": k.worker, "epoch": k.epoch, "listed_epoch": k.listedEpoch, "running": len(k.runs.Running),
		"ended": len(k.runs.Ended), "more_ends": k.runs.MoreEnds, "acknowledged": k.acknowledged, "orders": len(k.orders),
		"lease_age_ms": k.lease.age(k.clock()).Milliseconds(), "answering": k.workerResponsive(),
	}
}

var errStaleEpoch = errors.New("a higher epoch is known")
