package graphs

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

func workerReport(worker string, number uint64) *rpc.WorkerReport {
	return &rpc.WorkerReport{Beat: number, Worker: worker, Instance: "i", Born: 1, Pool: "p", Listed: true, Answering: true}
}

// TestReplacedSessionStaysReplaced guards against old reports of an earlier connection that undo the newer ones.
func TestReplacedSessionStaysReplaced(t *testing.T) {
	term, old, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	current := newSession()
	if !term.handleReport(context.Background(), workerReport("w", 1), current, term.clock()) {
		t.Fatal("report of a new connection rejected")
	}
	if term.handleReport(context.Background(), workerReport("w", 2), old, term.clock()) {
		t.Error("report of the replaced connection accepted")
	}
	if term.sessions["w"] != current {
		t.Error("the replaced connection is the current one")
	}
	term.removeSession(current)
	if term.handleReport(context.Background(), workerReport("w", 2), current, term.clock()) {
		t.Error("report of a connection that has ended accepted")
	}
	if term.sessions["w"] != nil {
		t.Error("the connection that has ended is the current one")
	}
}

// agentStream is the connection of an agent that sends one report.
type agentStream struct {
	grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]
	ctx     context.Context
	reports chan *rpc.WorkerReport
	orders  chan *rpc.WorkerOrders
}

func newAgentStream(ctx context.Context) *agentStream {
	s := &agentStream{ctx: ctx, reports: make(chan *rpc.WorkerReport, 1), orders: make(chan *rpc.WorkerOrders, 4)}
	s.reports <- &rpc.WorkerReport{Beat: 1, Worker: "w", Instance: "i", Born: 1, Pool: "p"}
	return s
}

func (s *agentStream) Context() context.Context { return s.ctx }

func (s *agentStream) Recv() (*rpc.WorkerReport, error) {
	select {
	case r := <-s.reports:
		return r, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *agentStream) Send(o *rpc.WorkerOrders) error {
	s.orders <- o
	return nil
}

// TestAgentIsServedOnceTermBegins guards against agents that connect again and again while the owner loads its jobs.
func TestAgentIsServedOnceTermBegins(t *testing.T) {
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	s := newTestScheduler(term.owner.(*fakeOwnership))
	ctx, cancel := context.WithCancel(context.Background())
	stream := newAgentStream(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.ServeAgent(stream) }()
	select {
	case err := <-ended:
		t.Fatalf("agent refused while the term has not begun: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	s.setTerm(term)
	select {
	case o := <-stream.orders:
		if o.AnsweredBeat != 1 {
			t.Errorf("report not answered: %v", o)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer after the term has begun")
	}
	cancel()
	<-ended
}

// TestWaitForTermIsBounded guards against connections that stay at an entry which does not begin a term.
func TestWaitForTermIsBounded(t *testing.T) {
	o := &fakeOwnership{now: time.Second, ends: time.Hour}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	serve := func(ctx context.Context) { ended <- newTestScheduler(o).ServeAgent(newAgentStream(ctx)) }
	await := func(what string, bound time.Duration) {
		t.Helper()
		select {
		case err := <-ended:
			if err == nil {
				t.Errorf("%s: served without a term", what)
			}
		case <-time.After(bound):
			t.Fatalf("%s: still waiting after %v", what, bound)
		}
	}
	go serve(ctx)
	await("no term", 1200*time.Millisecond) // after which the agent closes the connection
	gone, leave := context.WithCancel(context.Background())
	leave()
	go serve(gone)
	await("agent gone", 500*time.Millisecond)
	o.ends = 0
	go serve(ctx)
	await("not the owner", 500*time.Millisecond)
}

// TestOwnerLearnsThatListMayLackEnds guards against a report that loses the mark of a cut list.
func TestOwnerLearnsThatListMayLackEnds(t *testing.T) {
	r := workerReport("w", 1)
	for _, cut := range []bool{false, true} {
		r.MoreEnds = cut
		if reportEvent(r, newSession()).MoreEnds != cut {
			t.Errorf("cut list: %v, the owner takes it for the opposite", cut)
		}
	}
}

// TestEachIncarnationGetsAHigherEpoch guards against late calls that the next incarnation of a worker takes for its owner's, and against agents whose calls a worker refuses.
func TestEachIncarnationGetsAHigherEpoch(t *testing.T) {
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	var last uint64
	for i, step := range []struct {
		host   string
		born   int64
		rises  bool
		listed bool
	}{
		{"w", 5, true, false}, {"w", 5, false, true}, {"w", 9, true, true}, {"w", 9, false, false},
		{"renamed", 9, false, true},
		{"w", 3, true, true}, // its clock was set back
		{"w", 9, true, true},
	} {
		sess := newSession() // as the agent may have been replaced
		r := workerReport(step.host, uint64(i+1))
		r.Born, r.Listed = step.born, step.listed
		if !term.handleReport(context.Background(), r, sess, term.clock()) {
			t.Fatalf("report %d refused", i)
		}
		orders := sess.takeOrders()
		epoch := orders[0].Epoch
		if epoch < last || (epoch > last) != step.rises || epoch < term.token || epoch >= term.token+rpc.EpochsPerTerm {
			t.Errorf("report %d: epoch %#x after %#x, rises %v", i, epoch, last, step.rises)
		}
		for _, o := range orders {
			if o.Epoch != epoch {
				t.Errorf("report %d: orders under %#x and %#x", i, epoch, o.Epoch)
			}
		}
		last = epoch
	}
}

// TestEpochsStayWithinTheirTerm guards against an epoch that belongs to the next term, and one not above what a worker has seen.
func TestEpochsStayWithinTheirTerm(t *testing.T) {
	e := newWorkerEpochs(7)
	of := func(name string, born int64) uint64 {
		return e.of(plan.WorkerInfo{Instance: name, StartUnixMillis: born})
	}
	last := uint64(0)
	for born := range int64(5) {
		epoch := of("first", born)
		if epoch <= last || of("first", born) != epoch {
			t.Fatalf("incarnation %d: epoch %d after %d", born, epoch, last)
		}
		last = epoch
	}
	for i := range maxKeptEpochs + 100 {
		of(fmt.Sprint(i), 1)
	}
	if n := len(e.byInstance); n > maxKeptEpochs {
		t.Errorf("%d epochs kept", n)
	}
	if epoch := of("first", 4); epoch <= last {
		t.Errorf("epoch %d of a worker that was forgotten, after %d", epoch, last)
	}
	for born := range int64(2 * rpc.EpochsPerTerm) {
		if epoch := of("w", born); epoch < 7 || epoch >= 7+rpc.EpochsPerTerm {
			t.Fatalf("epoch %d of incarnation %d in the term of token 7", epoch, born)
		}
	}
}

// TestManyStartsFitTheirMessages guards against orders that wait for a slow connection and
// grow beyond what an agent receives, which would break the connection each time.
func TestManyStartsFitTheirMessages(t *testing.T) {
	const starts = 3 * graph.MaxTasks
	s := newSession()
	for i := range starts {
		s.addOrder(7, "i", func(o *rpc.WorkerOrders) {
			o.Starts = append(o.Starts, rpc.StartTaskOf(plan.StartRun{Task: graph.TaskID{Job: "00000000000000aa", Index: i}, Run: 7<<24 + uint64(i),
				Spec: strings.Repeat("s", graph.MaxSpecBytes), Checkpoint: strings.Repeat("c", graph.MaxCheckpointBytes)}))
		})
	}
	next := int64(0)
	for _, o := range s.takeOrders() {
		if n := proto.Size(o); n > rpc.MaxMessageBytes/8 || o.Epoch != 7 || o.Incarnation != "i" {
			t.Errorf("message of %d bytes for incarnation %q under token %d", n, o.Incarnation, o.Epoch)
		}
		for _, start := range o.Starts {
			if int64(start.Ref.Index) != next {
				t.Fatalf("start %d in place of %d", start.Ref.Index, next)
			}
			next++
		}
	}
	if next != starts {
		t.Errorf("%d starts", next)
	}
}
