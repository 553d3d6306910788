package graphs

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// session is one connection of a worker's agent.
type session struct {
	id     string
	worker string // once it is the worker's session; the term's lock guards it
	// epoch is that of the worker's incarnation in the last report, first the first one that the
	// incarnation had; the term's lock guards them.
	epoch, first uint64

	mu            sync.Mutex
	pendingOrders []*rpc.WorkerOrders // in order; each for one worker incarnation
	ready         chan struct{}
	done          chan struct{}
	closed        bool
}

func newSession() *session {
	return &session{id: uuid.NewString(), ready: make(chan struct{}, 1), done: make(chan struct{})}
}

// maxStartsPerMessage keeps a message, in which each start carries its job's
// specification, below a megabyte.
const maxStartsPerMessage = 200

// addOrder applies change to the pending orders of a worker incarnation. The caller holds the
// term's lock.
func (s *session) addOrder(epoch uint64, incarnation string, change func(*rpc.WorkerOrders)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.pendingOrders)
	if n == 0 || !takesOrder(s.pendingOrders[n-1], epoch, incarnation) {
		s.pendingOrders = append(s.pendingOrders, &rpc.WorkerOrders{Epoch: epoch, FirstEpoch: s.first, Incarnation: incarnation})
		n++
	}
	change(s.pendingOrders[n-1])
}

// takesOrder reports whether an order for a worker incarnation may be added to a message.
func takesOrder(o *rpc.WorkerOrders, epoch uint64, incarnation string) bool {
	return o.Epoch == epoch && o.Incarnation == incarnation && len(o.Starts) < maxStartsPerMessage
}

// flush wakes the sender if orders are pending.
func (s *session) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingOrders) == 0 {
		return
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) takeOrders() []*rpc.WorkerOrders {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pendingOrders
	s.pendingOrders = nil
	return out
}

func (s *session) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
}

// errNotOwner tells an agent to locate the owner again.
var errNotOwner = status.Error(codes.FailedPrecondition, "this entry does not own scheduling")

// ServeAgent exchanges reports and orders with one agent until the connection or
// the term ends. While the owner loads its jobs the agent waits for the term: refused
// agents would connect anew, and the more often the longer the load takes.
func (s *Scheduler) ServeAgent(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	t := s.awaitTerm(stream.Context())
	if t == nil {
		return errNotOwner
	}
	sess := newSession()
	received := make(chan error, 1)
	go func() { received <- t.receiveReports(stream, sess) }()
	err := sess.sendLoop(stream, received)
	t.removeSession(sess)
	return err
}

func (s *session) sendLoop(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders], received <-chan error) error {
	for {
		select {
		case err := <-received:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.done:
			return errNotOwner
		case <-s.ready:
		}
		for _, o := range s.takeOrders() {
			if err := stream.Send(o); err != nil {
				return err
			}
		}
	}
}

func (t *term) receiveReports(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders], sess *session) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		if !t.handleReport(stream.Context(), r, sess, t.clock()) {
			return errNotOwner
		}
	}
}

// handleReport passes a report that was received at the given time to the core. It
// answers the report even if there are no orders, so that the agent learns its worker's
// epoch and that the owner handles its reports. It returns false if the term is over, the
// session has been replaced or ctx, that of its connection, has ended: an agent that has
// given up a late owner connects anew, and its earlier report would only delay the others.
func (t *term) handleReport(ctx context.Context, r *rpc.WorkerReport, sess *session, receivedAt time.Duration) bool {
	event := reportEvent(r, sess)
	arrivedAt := t.lag.arrive()
	select {
	case <-ctx.Done():
	case t.reportTurn <- struct{}{}:
		defer func() { <-t.reportTurn }()
	}
	if ctx.Err() != nil {
		t.lag.leave()
		return false
	}
	answered := false
	t.withCoreSince(arrivedAt, func() {
		if !t.ownsScheduling() || !t.setSession(r.Worker, sess) {
			return
		}
		answered = true
		sess.epoch = max(sess.epoch, t.epochs.above(event.Worker, r.EpochAbove))
		sess.first = t.epochs.first(event.Worker)
		sess.addOrder(sess.epoch, event.Worker.Incarnation(), func(o *rpc.WorkerOrders) { o.AnsweredBeat = r.Beat })
		if r.Listed {
			event.ListAge += t.clock() - receivedAt
			t.handle(event)
		} else {
			t.handle(plan.AgentConnected{Worker: event.Worker.ID, Late: event.Late})
		}
		sess.flush()
	})
	return answered
}

func reportEvent(r *rpc.WorkerReport, sess *session) plan.WorkerReport {
	return plan.WorkerReport{Worker: rpc.WorkerInfoOf(r), Session: sess.id,
		Running: rpc.RunStatesOf(r.Running), Ended: rpc.RunEndsOf(r.Ended), MoreEnds: r.MoreEnds, Absent: absentRuns(r.Absent), ListAge: time.Duration(r.ListAgeMs) * time.Millisecond,
		Number: r.Beat, WorkerResponsive: r.Answering, WorkerLeft: r.Gone,
		Accepted: rpc.RunRefsOf(r.Accepted), Lost: rpc.RunRefsOf(r.Lost), Late: rpc.LateCallsOf(r)}
}

// setSession makes sess the worker's current session and closes the previous one. It
// returns false if sess is closed: reports that a replaced session still holds are older
// than those of the session that replaced it. The caller holds the lock.
func (t *term) setSession(worker string, sess *session) bool {
	old := t.sessions[worker]
	if old == sess {
		return true
	}
	if sess.isClosed() {
		return false
	}
	if old != nil {
		old.close()
	}
	t.sessions[worker] = sess
	sess.worker = worker
	t.log.Info().Str("worker", worker).Str("session", sess.id).Msg("agent connected")
	return true
}

func (t *term) removeSession(sess *session) {
	sess.close()
	t.withCore(func() {
		if t.sessions[sess.worker] != sess {
			return
		}
		delete(t.sessions, sess.worker)
		t.log.Info().Str("worker", sess.worker).Str("session", sess.id).Msg("agent disconnected")
		t.handle(plan.SessionClosed{Worker: sess.worker, Session: sess.id})
	})
}

func absentRuns(in []*rpc.AbsentTask) []plan.RunAbsent {
	out := make([]plan.RunAbsent, len(in))
	for i, a := range in {
		task, run := rpc.TaskOf(a.Ref)
		out[i] = plan.RunAbsent{Task: task, Run: run, Reason: a.Reason}
	}
	return out
}
