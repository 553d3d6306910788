package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// reportInterval is the time between two reports while nothing changes. A
	// dead owner is detected when it does not answer a report.
	reportInterval = 600 * time.Millisecond
	// minReportSpacing is the minimum time between two reports.
	minReportSpacing = 20 * time.Millisecond
	// ownerReplyTimeout is how long the owner may take to answer a report before
	// the agent closes the connection and locates the owner again.
	ownerReplyTimeout = 1200 * time.Millisecond
	// successorCheckDelay is how long the owner may take to answer a report
	// before the agent asks the other entries for a new owner, and the interval
	// of repeated checks. A healthy owner answers each report within
	// milliseconds.
	successorCheckDelay = 300 * time.Millisecond
	// findRetryInterval is the longest first delay between two attempts to connect to the
	// owner.
	findRetryInterval = 100 * time.Millisecond
	// maxFindRetryInterval is the longest delay between two attempts. Agents have to
	// follow a new owner within 600 ms.
	maxFindRetryInterval = 400 * time.Millisecond
)

// ownerLoop maintains a connection with the owner. Attempts back off until an owner has
// answered a report. The delays count from the start of an attempt, as entries that do not
// answer prolong it by up to locateTimeout and ownerReplyTimeout.
func (k *Keeper) ownerLoop(ctx context.Context) {
	retry := kernel.Backoff{Min: findRetryInterval, Max: maxFindRetryInterval, Jitter: rand.Float64}
	lastReason := "" // reason of the last disconnect; repetitions are not logged
	for ctx.Err() == nil {
		if !k.workerKnown() {
			kernel.Sleep(ctx, findRetryInterval)
			continue
		}
		began := k.clock()
		client, address := k.finder.Find(ctx)
		if client == nil {
			kernel.Sleep(ctx, retry.NextAfter(k.clock()-began))
			continue
		}
		connected := k.clock()
		answered, err := k.serveOwner(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		if answered {
			retry.Reset()
		}
		if lasted := k.clock() - connected; lasted > findRetryInterval || err.Error() != lastReason {
			lastReason = err.Error()
			k.log.Info().Err(err).Str("owner", address).Dur("lasted_ms", lasted).Msg("connection to owner ended")
		}
		if !errors.Is(err, errOwnerSuperseded) {
			kernel.Sleep(ctx, retry.NextAfter(k.clock()-began))
		}
	}
}

func (k *Keeper) workerKnown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker != nil
}

// ownerLink is one connection with an owner.
type ownerLink struct {
	keeper       *Keeper
	owner        string // address of the owner
	stream       grpc.BidiStreamingClient[rpc.WorkerReport, rpc.WorkerOrders]
	reportNumber uint64
	epochAsked   uint64 // a report without an answer asks for a higher epoch than this one; 0 if none does
	answers      answerMonitor
	// received is signalled for each message from the owner.
	received chan struct{}
	ended    chan error
}

// serveOwner reports to the owner and executes its orders until the connection
// ends. It returns whether the owner has answered a report, and the reason for the end.
func (k *Keeper) serveOwner(ctx context.Context, client rpc.FleetClient, owner string) (answered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attend(ctx)
	if err != nil {
		return false, errors.Trace(err)
	}
	k.mu.Lock()
	k.absent = nil // the owner orders again what an earlier connection left unreported
	k.lease.forgetReports()
	k.mu.Unlock()
	l := &ownerLink{keeper: k, owner: owner, stream: stream, received: make(chan struct{}, 1), ended: make(chan error, 1)}
	l.answers = answerMonitor{clock: k.clock, registry: k.registry, log: k.log}
	go l.receiveOrders(ctx)
	err = l.reportLoop(ctx)
	return l.answers.hasAnswered(), err
}

// reportLoop reports to the owner until the connection ends or the owner does not
// answer. The first report carries no run list; it only requests the owner's epoch.
//
// At most one report is unanswered. A late owner would otherwise get more reports than
// it handles, all of them older than the next.
func (l *ownerLink) reportLoop(ctx context.Context) error {
	k := l.keeper
	if err := l.sendReport(false); err != nil {
		return err
	}
	replyTimer := time.NewTimer(ownerReplyTimeout)
	defer replyTimer.Stop()
	reportTimer := time.NewTimer(reportInterval)
	defer reportTimer.Stop()
	successorTimer := time.NewTimer(successorCheckDelay)
	defer successorTimer.Stop()
	due := false // a report is to be sent
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-l.ended:
			return err
		case <-replyTimer.C:
			return errors.Timeoutf("answer of the owner")
		case <-l.received:
			replyTimer.Reset(ownerReplyTimeout + reportInterval)
			if !l.answers.pending() {
				successorTimer.Stop()
			}
		case <-successorTimer.C:
			if err := l.checkSuccessor(ctx); err != nil {
				return err
			}
			successorTimer.Reset(successorCheckDelay)
		case <-k.wakeSend:
			due = true
		case <-reportTimer.C:
			due = true
			reportTimer.Reset(reportInterval)
		}
		if !due || l.answers.pending() || !k.listIsCurrent() {
			continue
		}
		due = false
		if err := l.sendReport(true); err != nil {
			return err
		}
		successorTimer.Reset(successorCheckDelay)
		reportTimer.Reset(reportInterval)
		kernel.Sleep(ctx, minReportSpacing)
	}
}

// errOwnerSuperseded means that another entry has become the owner.
const errOwnerSuperseded = errors.ConstError("another entry owns scheduling")

// checkSuccessor returns an error if the other entries know a newer owner.
func (l *ownerLink) checkSuccessor(ctx context.Context) error {
	address := l.keeper.finder.Successor(ctx, l.owner)
	if address == "" {
		return nil
	}
	return errors.Annotatef(errOwnerSuperseded, "%s instead of %s", address, l.owner)
}

// listIsCurrent reports whether the run list was obtained under a valid epoch, with no
// start for an earlier incarnation left to take effect, or the worker has ended.
func (k *Keeper) listIsCurrent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.epoch > 0 && k.listedEpoch > 0 && k.listedEpoch >= k.validFrom && len(k.unsettled) == 0 || k.workerGone()
}

func (l *ownerLink) sendReport(listed bool) error {
	r := l.keeper.nextReport(l, listed)
	return errors.Annotate(l.stream.Send(r), "reporting to the owner")
}

// nextReport returns the next report for a connection.
func (k *Keeper) nextReport(l *ownerLink, listed bool) *rpc.WorkerReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.reportNumber++
	r := rpc.ReportOf(*k.worker)
	r.Beat, r.Listed = l.reportNumber, listed
	l.answers.recordReport(l.reportNumber)
	now := k.clock()
	r.Answering, r.Gone = k.workerResponsive(), k.workerGone()
	r.AgentAgeMs = (now - k.startedAt).Milliseconds()
	r.EpochAbove = k.askEpoch(l)
	r.LateLease, r.LateLeaseAgeMs = k.lateLease.possible, k.lateLease.age(now).Milliseconds()
	if now-k.startedAt < lateCallBound {
		for _, ref := range k.startCalls.called(now) {
			r.Called = append(r.Called, rpc.TaskRefOf(ref.task, ref.run))
		}
	}
	for _, ref := range k.startCalls.runs(now) {
		age, _ := k.startCalls.age(ref, now)
		r.Unanswered = append(r.Unanswered, &rpc.UnansweredStart{Ref: rpc.TaskRefOf(ref.task, ref.run), AgeMs: age.Milliseconds()})
	}
	if listed {
		r.Running = rpc.RunningTasksOf(k.runs.Running)
		r.ListAgeMs = (now - k.listedAt).Milliseconds()
		r.Ended, r.MoreEnds = rpc.EndedTasksOf(k.runs.Ended), k.runs.MoreEnds
		r.Absent, k.absent = k.absent, nil
		for a := range k.accepted {
			r.Accepted = append(r.Accepted, rpc.TaskRefOf(a.task, a.run))
		}
		r.Lost = k.lost.recent(now)
		k.lease.recordReport(l.reportNumber, now)
	}
	return r
}

// receiveOrders executes the owner's orders. Their execution continues when the
// connection ends: it is bounded by the context of the keeper's loops.
func (l *ownerLink) receiveOrders(ctx context.Context) {
	first := true
	for {
		o, err := l.stream.Recv()
		if err == nil && ctx.Err() == nil { // the owner repeats the orders of a connection that has ended
			l.answers.recordAnswer(o.AnsweredBeat)
			err = l.keeper.applyOrders(l.keeper.loops.Context(), o)
			if err == nil {
				l.keeper.recordEpochAnswer(l)
			}
		}
		if first {
			first = false
			wake(l.keeper.wakeSend) // the owner's epoch is known now
		}
		if err != nil {
			l.ended <- err
			return
		}
		select {
		case l.received <- struct{}{}:
		default:
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// applyOrders executes the owner's orders, unless a higher epoch is known.
func (k *Keeper) applyOrders(ctx context.Context, o *rpc.WorkerOrders) error {
	k.mu.Lock()
	if o.Epoch < k.epoch {
		defer k.mu.Unlock()
		k.log.Warn().Uint64("epoch", o.Epoch).Uint64("highest", k.epoch).Msg("rejected orders of an earlier owner")
		return errStaleEpoch
	}
	first := o.FirstEpoch
	if first == 0 {
		first = o.Epoch
	}
	k.validFrom = max(k.validFrom, first)
	if o.Epoch > k.epoch {
		if rpc.TermOfEpoch(o.Epoch) != rpc.TermOfEpoch(k.epoch) {
			k.log.Info().Uint64("epoch", o.Epoch).Uint64("before", k.epoch).Msg("owner changed")
		}
		k.epoch = o.Epoch
		go k.relistRuns(ctx)
	}
	forThisIncarnation := k.worker != nil && o.Incarnation == k.worker.Incarnation()
	if forThisIncarnation {
		k.lateLease.recordEpoch(first)
		k.renewLease(o.GrantedBeat, time.Duration(o.LeaseMs)*time.Millisecond)
		if o.Acknowledged > k.acknowledged {
			if k.acknowledged <= k.ackAnswered {
				k.ackOwedAt = k.clock()
			}
			k.acknowledged = o.Acknowledged
			wake(k.wakeHold)
		}
	}
	leaseTerm := k.leaseTerm
	k.mu.Unlock()
	if !forThisIncarnation {
		return nil
	}
	for _, s := range o.Stops {
		go k.executeStop(ctx, o.Epoch, s)
	}
	for _, s := range o.Starts {
		go k.executeStart(ctx, o.Incarnation, o.Epoch, leaseTerm, s)
	}
	return nil
}

// renewLease applies a grant. One that follows a lease which was over begins another term:
// the owner may have given up the runs of the earlier orders. The caller holds the lock.
func (k *Keeper) renewLease(report uint64, length time.Duration) {
	over, before := k.lease.over(k.clock()), k.lease.grantReportAt
	k.lease.applyGrant(report, length)
	if over && k.lease.grantReportAt > before {
		k.leaseTerm++
	}
}

// relistRuns lists the runs under a new epoch immediately, concurrently with the
// Hold call that waits for ends.
func (k *Keeper) relistRuns(ctx context.Context) {
	for ctx.Err() == nil && !k.listIsCurrent() {
		if err := k.hold(ctx, 0); err == nil {
			return
		} else if errors.Is(err, external.ErrRunStaleEpoch) {
			return
		}
		kernel.Sleep(ctx, holdRetryInterval)
	}
}
