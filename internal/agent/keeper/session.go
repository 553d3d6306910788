package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// beatInterval is the time between two reports without news. An owner that is
	// gone is noticed by the report that it does not answer.
	beatInterval = 600 * time.Millisecond
	// beatSpacing is the least time between two reports.
	beatSpacing = 20 * time.Millisecond
	// silenceLimit is how long the owner may take to answer a report before
	// the agent looks for it anew.
	silenceLimit = 1200 * time.Millisecond
	// answerWait is how long the owner may take before the agent asks the other
	// entries whether there is another one, and between two such questions. An
	// owner answers each report within milliseconds.
	answerWait = 300 * time.Millisecond
	// findRetry is the time between two looks for the owner.
	findRetry = 100 * time.Millisecond
)

// attendLoop keeps a connection with the owner.
func (k *Keeper) attendLoop(ctx context.Context) {
	last := "" // why the last connection ended; repetitions are not logged
	for ctx.Err() == nil {
		if !k.announced() {
			kernel.Sleep(ctx, findRetry)
			continue
		}
		client, address := k.finder.Find(ctx)
		if client == nil {
			kernel.Sleep(ctx, findRetry)
			continue
		}
		began := k.clock()
		err := k.attend(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		if lasted := k.clock() - began; lasted > findRetry || err.Error() != last {
			last = err.Error()
			k.log.Info().Err(err).Str("owner", address).Dur("lasted_ms", lasted).Msg("connection with the owner ended")
		}
		if !errors.Is(err, errSucceeded) {
			kernel.Sleep(ctx, findRetry)
		}
	}
}

func (k *Keeper) announced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker != nil
}

// link is one connection with an owner.
type link struct {
	keeper *Keeper
	owner  string // address
	stream grpc.BidiStreamingClient[rpc.WorkerReport, rpc.WorkerOrders]
	beat   uint64
	// heard is signalled for each message of the owner.
	heard chan struct{}
	ended chan error
}

// attend serves the owner until the connection ends, and returns why.
func (k *Keeper) attend(ctx context.Context, client rpc.FleetClient, owner string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attend(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	k.mu.Lock()
	k.absent = nil // the owner settles anew what an earlier connection was to tell
	k.lease.forgetBeats()
	k.mu.Unlock()
	l := &link{keeper: k, owner: owner, stream: stream, heard: make(chan struct{}, 1), ended: make(chan error, 1)}
	go l.receive(ctx)
	return l.send(ctx)
}

// send reports to the owner until it is silent or the connection ends. The
// first report only asks for the owner's epoch.
func (l *link) send(ctx context.Context) error {
	k := l.keeper
	if err := l.report(false); err != nil {
		return err
	}
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	beat := time.NewTimer(beatInterval)
	defer beat.Stop()
	answer := time.NewTimer(answerWait)
	defer answer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-l.ended:
			return err
		case <-silence.C:
			return errors.Timeoutf("answer of the owner")
		case <-l.heard:
			silence.Reset(silenceLimit + beatInterval)
			answer.Stop()
			continue
		case <-answer.C:
			if err := l.successor(ctx); err != nil {
				return err
			}
			answer.Reset(answerWait)
			continue
		case <-k.wakeSend:
		case <-beat.C:
		}
		if k.current() {
			if err := l.report(true); err != nil {
				return err
			}
			answer.Reset(answerWait)
		}
		beat.Reset(beatInterval)
		kernel.Sleep(ctx, beatSpacing)
	}
}

// errSucceeded says that another entry has become the owner.
const errSucceeded = errors.ConstError("another entry owns scheduling")

// successor returns an error if the other entries know another owner.
func (l *link) successor(ctx context.Context) error {
	address := l.keeper.finder.Successor(ctx, l.owner)
	if address == "" {
		return nil
	}
	return errors.Annotatef(errSucceeded, "%s instead of %s", address, l.owner)
}

// current reports whether the lists come from a call with the highest epoch.
func (k *Keeper) current() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.epoch > 0 && k.listed == k.epoch || k.gone()
}

// gone reports whether the worker has left. The caller holds the lock.
func (k *Keeper) gone() bool { return k.leftAt > 0 && k.clock()-k.leftAt >= goneDelay }

func (l *link) report(listed bool) error {
	r := l.keeper.report(l, listed)
	return errors.Annotate(l.stream.Send(r), "reporting to the owner")
}

// report returns the next report of a link.
func (k *Keeper) report(l *link, listed bool) *rpc.WorkerReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.beat++
	r := rpc.ReportOf(*k.worker)
	r.Beat, r.Listed = l.beat, listed
	now := k.clock()
	r.Answering, r.Gone = k.answering(), k.gone()
	if listed {
		r.Running = rpc.RunningTasksOf(k.runs.Running)
		r.Ended = rpc.EndedTasksOf(k.runs.Ended)
		r.Absent, k.absent = k.absent, nil
		k.lease.sent(l.beat, now)
	}
	return r
}

// receive carries out the owner's orders. They go on when the connection ends:
// the keeper's own context bounds them.
func (l *link) receive(ctx context.Context) {
	first := true
	for {
		o, err := l.stream.Recv()
		if err == nil {
			err = l.keeper.obey(l.keeper.loops.Context(), o)
		}
		if first {
			first = false
			wake(l.keeper.wakeSend) // the epoch is known now
		}
		if err != nil {
			l.ended <- err
			return
		}
		select {
		case l.heard <- struct{}{}:
		default:
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// obey takes the owner's orders, unless a higher epoch is known.
func (k *Keeper) obey(ctx context.Context, o *rpc.WorkerOrders) error {
	k.mu.Lock()
	if o.Epoch < k.epoch {
		defer k.mu.Unlock()
		k.log.Warn().Uint64("epoch", o.Epoch).Uint64("highest", k.epoch).Msg("orders of an earlier owner refused")
		return errStale
	}
	if o.Epoch > k.epoch {
		k.log.Info().Uint64("epoch", o.Epoch).Uint64("before", k.epoch).Msg("owner changed")
		k.epoch = o.Epoch
		go k.listAgain(ctx)
	}
	meant := k.worker != nil && o.Incarnation == k.worker.Incarnation()
	if meant {
		k.lease.granted(o.GrantedBeat, time.Duration(o.LeaseMs)*time.Millisecond)
		if o.Acknowledged > k.seen {
			k.seen = o.Acknowledged
			wake(k.wakeHold)
		}
	}
	k.mu.Unlock()
	if !meant {
		return nil
	}
	for _, s := range o.Stops {
		go k.stop(ctx, o.Epoch, s)
	}
	for _, s := range o.Starts {
		go k.start(ctx, s)
	}
	return nil
}

// listAgain lists the runs under a new epoch at once, beside the call that waits.
func (k *Keeper) listAgain(ctx context.Context) {
	for ctx.Err() == nil && !k.current() {
		if err := k.hold(ctx, 0); err == nil {
			return
		} else if errors.Is(err, external.ErrRunStaleEpoch) {
			return
		}
		kernel.Sleep(ctx, holdRetry)
	}
}
