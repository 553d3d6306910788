package graphs

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/outlook"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// maxFollowers limits the streams of an outlook. A fleet has about a dozen entries,
	// and a former stream of an entry may take a while to end.
	maxFollowers = 64
	// followRetryInterval is the delay before the next attempt to follow the owner.
	followRetryInterval = 250 * time.Millisecond
	// followSilence is the time without an update after which a stream is given up. The
	// outlook is stale by then.
	followSilence = 2 * outlook.MaxAge
)

// outlookBoard holds the outlook that a term publishes.
type outlookBoard struct {
	mu          sync.Mutex
	publication outlook.Publication
}

func (b *outlookBoard) offer(o *outlook.Outlook, now time.Duration) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.publication.Offer(o, now)
}

func (b *outlookBoard) current(now time.Duration) (*outlook.Outlook, outlook.Ages) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.publication.Current(now)
}

// publishOutlook builds the outlook of the term until the term ends.
func (t *term) publishOutlook(ctx context.Context) {
	ticker := time.NewTicker(outlook.BuildInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.buildOutlook()
		}
	}
}

// buildOutlook builds an outlook and publishes it. The state of the core is copied under
// the lock; the computation does not delay scheduling. After a panic there is no new
// outlook, so that the published one becomes stale and refuses nothing.
func (t *term) buildOutlook() {
	defer func() {
		if v := recover(); v != nil {
			metrics.GetOrRegisterCounter("outlook.panics", t.registry).Inc(1)
			t.log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("building the outlook panicked")
		}
	}()
	start := t.clock()
	in, now := t.outlookInput()
	if in == nil {
		return
	}
	o := in.Build()
	metrics.GetOrRegisterTimer("outlook.build", t.registry).Update(t.clock() - start)
	if t.outlook.offer(o, now) {
		size := proto.Size(rpc.OutlookUpdateOf(outlook.Update{Outlook: *o}))
		metrics.GetOrRegisterHistogram("outlook.bytes", t.registry, newSample()).Update(int64(size))
		t.log.Debug().Uint64("sequence", o.Sequence).Int("starts", len(o.Starts)).Int("bytes", size).Msg("outlook changed")
	}
}

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

func newSample() metrics.Sample { return metrics.NewUniformSample(sampleSize) }

// outlookInput returns the input of an outlook with the time on clock to which it
// refers, nil if the core does not know enough yet.
func (t *term) outlookInput() (*outlook.Input, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, 0
	}
	now := t.clock()
	in, ok := t.core.OutlookInput(now - t.startedAt)
	if !ok {
		return nil, 0
	}
	return in, now
}

// errTooManyFollowers ends a stream beyond maxFollowers.
var errTooManyFollowers = status.Errorf(codes.ResourceExhausted, "%d entries follow the outlook already", maxFollowers)

// ServeOutlook streams the outlook of the current term to another entry until the term
// or the stream ends.
func (s *Scheduler) ServeOutlook(stream grpc.ServerStreamingServer[rpc.OutlookUpdate]) error {
	requestedAt := s.clock()
	t := s.currentTerm()
	if t == nil || !s.features.Has(feature.Admission) {
		return errNotOwner
	}
	if s.followers.Add(1) > maxFollowers {
		s.followers.Add(-1)
		return errTooManyFollowers
	}
	defer s.followers.Add(-1)
	f := &outlookSender{term: t, stream: stream, requestedAt: requestedAt}
	ticker := time.NewTicker(outlook.BuildInterval)
	defer ticker.Stop()
	for {
		if err := f.send(); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		case <-t.ctx.Done():
			return errNotOwner
		case <-ticker.C:
		}
	}
}

// outlookSender sends the outlook of a term to one follower.
type outlookSender struct {
	term        *term
	stream      grpc.ServerStreamingServer[rpc.OutlookUpdate]
	requestedAt time.Duration
	sequence    uint64 // of the last outlook sent
	sentAt      time.Duration
}

// send sends the outlook if it has changed, and otherwise confirms it each
// ConfirmInterval. It never waits for the term's lock.
func (f *outlookSender) send() error {
	if !f.term.ownsScheduling() {
		return errNotOwner
	}
	now := f.term.clock()
	o, ages := f.term.outlook.current(now)
	if o == nil {
		return nil
	}
	unchanged := o.Sequence == f.sequence
	if unchanged && now-f.sentAt < outlook.ConfirmInterval {
		return nil
	}
	u := outlook.Update{Outlook: *o, Unchanged: unchanged, SinceRequest: now - f.requestedAt, Ages: ages}
	f.sequence, f.sentAt = o.Sequence, now
	return f.stream.Send(rpc.OutlookUpdateOf(u))
}

// Outlooks holds the owner's outlook at an entry: that of its own term while it owns
// scheduling, otherwise the one that it follows from the owner.
type Outlooks struct {
	scheduler *Scheduler
	owner     Ownership
	client    func(address string) (rpc.FleetClient, error)
	clock     func() time.Duration
	registry  metrics.Registry
	log       zerolog.Logger
	loops     kernel.Loops

	mu   sync.Mutex
	view outlook.View
	from string // address of the owner that the view comes from
}

// NewOutlooks returns the outlooks of an entry that does not follow the owner yet. It
// uses the connections of the peers.
func NewOutlooks(s *Scheduler, o Ownership, p *Peers, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *Outlooks {
	return &Outlooks{scheduler: s, owner: o, client: p.pool.Fleet, clock: clock, registry: registry, log: log}
}

// Start begins to follow the owner, if admission is on.
func (l *Outlooks) Start(context.Context) error {
	l.loops.Begin()
	if l.scheduler.features.Has(feature.Admission) {
		l.loops.Go(l.follow)
	}
	return nil
}

// Stop ends the stream.
func (l *Outlooks) Stop(context.Context) error {
	l.loops.End()
	return nil
}

// follow follows the owner, whichever it is.
func (l *Outlooks) follow(ctx context.Context) {
	failing := ""
	for ctx.Err() == nil {
		a := l.owner.Current()
		if a.Owner || a.OwnerAddr == "" {
			kernel.Sleep(ctx, followRetryInterval)
			continue
		}
		err := l.followOwner(ctx, a.OwnerAddr)
		if err == nil || ctx.Err() != nil {
			failing = ""
			continue
		}
		metrics.GetOrRegisterCounter("outlook.streams_lost", l.registry).Inc(1)
		if failing != a.OwnerAddr { // one line for each owner that fails
			failing = a.OwnerAddr
			l.log.Warn().Err(err).Str("owner", a.OwnerAddr).Msg("outlook of the owner lost; accepting without it")
		}
		kernel.Sleep(ctx, followRetryInterval)
	}
}

// followOwner follows the entry at an address for FollowLimit at most. It returns an
// error if the stream fails, is silent, or carries an update that is not valid.
func (l *Outlooks) followOwner(ctx context.Context, address string) error {
	client, err := l.client(address)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(followSilence, func() { cancel(errors.Errorf("no update for %v", followSilence)) })
	defer silence.Stop()
	requestedAt := l.clock()
	stream, err := client.FollowOutlook(ctx, &rpc.FollowOutlookRequest{})
	if err != nil {
		return errors.Trace(err)
	}
	for l.clock()-requestedAt < outlook.FollowLimit {
		m, err := stream.Recv()
		if err != nil && context.Cause(ctx) != nil {
			err = context.Cause(ctx)
		}
		if err != nil {
			return errors.Trace(err)
		}
		silence.Reset(followSilence)
		if l.owner.Current().OwnerAddr != address {
			return errors.Errorf("%s is not the owner any more", address)
		}
		if err := l.apply(m, address, requestedAt); err != nil {
			metrics.GetOrRegisterCounter("outlook.rejected", l.registry).Inc(1)
			return errors.Trace(err)
		}
	}
	return nil
}

// apply applies an update that has just arrived from an owner.
func (l *Outlooks) apply(m *rpc.OutlookUpdate, address string, requestedAt time.Duration) error {
	u, err := rpc.UpdateOf(m)
	if err != nil {
		return errors.Trace(err)
	}
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.view.Apply(u, now-requestedAt, now); err != nil {
		return errors.Trace(err)
	}
	l.from = address
	if u.Unchanged {
		metrics.GetOrRegisterCounter("outlook.confirmed", l.registry).Inc(1)
	} else {
		metrics.GetOrRegisterCounter("outlook.received", l.registry).Inc(1)
	}
	return nil
}

// current returns the outlook of the owner with its ages, nil if none is known. An
// outlook from an entry that is not the owner any more does not count, whatever its age.
func (l *Outlooks) current() (*outlook.Outlook, outlook.Ages) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.scheduler.currentTerm(); t != nil && t.ownsScheduling() {
		l.view.Raise(t.token)
		return t.outlook.current(l.clock())
	}
	if a := l.owner.Current(); a.Owner || a.OwnerAddr != l.from {
		return nil, outlook.Ages{}
	}
	return l.view.Current(l.clock())
}

// Decide decides whether a job that is submitted now is accepted.
func (l *Outlooks) Decide(job *graph.Job, guaranteed int) outlook.Decision {
	o, ages := l.current()
	if o != nil {
		metrics.GetOrRegisterTimer("admission.outlook_age", l.registry).Update(ages.Confirmed)
	}
	return outlook.Decide(outlook.Request{Job: job, Guaranteed: guaranteed}, o, ages)
}
