package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// refusingEntry names itself as the owner but refuses agents while refuses is set. It
// ends the other connections after it has answered one report.
type refusingEntry struct {
	rpc.UnimplementedFleetServer
	address  string
	refuses  atomic.Bool
	located  atomic.Int32
	refused  atomic.Int32
	answered chan struct{}

	mu          sync.Mutex
	lastRefused time.Time
	longestGap  time.Duration // between two refused connections
}

func (e *refusingEntry) recordRefused() {
	e.refused.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.lastRefused.IsZero() {
		e.longestGap = max(e.longestGap, now.Sub(e.lastRefused))
	}
	e.lastRefused = now
}

func newRefusingEntry() *refusingEntry {
	e := &refusingEntry{answered: make(chan struct{}, 64)}
	e.refuses.Store(true)
	return e
}

func startRefusingEntry(t *testing.T) *refusingEntry {
	t.Helper()
	e := newRefusingEntry()
	e.address = serveFleet(t, e)
	return e
}

func (e *refusingEntry) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	e.located.Add(1)
	return &rpc.LocateReply{OwnerAddress: e.address, Epoch: 1}, nil
}

func (e *refusingEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	if e.refuses.Load() {
		e.recordRefused()
		return status.Error(codes.FailedPrecondition, "no term")
	}
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	err = stream.Send(&rpc.WorkerOrders{Epoch: 1, Incarnation: rpc.WorkerInfoOf(r).Incarnation(), AnsweredBeat: r.Beat})
	e.answered <- struct{}{}
	return err
}

// TestRefusedAgentBacksOff guards against agents that slow a new owner down by connecting again every 100 ms.
func TestRefusedAgentBacksOff(t *testing.T) {
	const (
		duration = 4 * time.Second
		maxCalls = 24 // half of the maximum delay at least, from the third retry on
	)
	e := startRefusingEntry(t)
	startKeeper(t, standin.NewRunner(), e.address)
	time.Sleep(duration)
	refused, located := e.refused.Load(), e.located.Load()
	t.Logf("%d connections and %d Locate calls within %v", refused, located, duration)
	if refused < 3 || refused > maxCalls || located > maxCalls {
		t.Errorf("%d connections and %d Locate calls within %v, want 3 to %d", refused, located, duration, maxCalls)
	}
}

// TestAgentFollowsOwnerSoonAfterRefusals guards against a backoff that makes a takeover longer than users are promised.
// Its time is simulated: it measures the delays of the agent and none of the machine.
func TestAgentFollowsOwnerSoonAfterRefusals(t *testing.T) {
	simulateTime(t, func(t *testing.T) {
		const (
			followTime = 600 * time.Millisecond // docs/design/platform.md
			resetTime  = 900 * time.Millisecond // for 5 connections
		)
		e, network := newRefusingEntry(), newMemoryNetwork(t)
		e.address = "owner"
		network.serve(e.address, e)
		startKeeperIn(network, e.address)
		time.Sleep(time.Minute)
		e.refuses.Store(false)
		e.mu.Lock()
		longest := e.longestGap
		e.mu.Unlock()
		if refused := e.refused.Load(); refused < 100 {
			t.Errorf("%d connections within a minute", refused)
		}
		if longest > followTime {
			t.Errorf("%v between two connections, want at most %v", longest, followTime)
		}
		await(t, e.answered, followTime)
		start := time.Now()
		for range 5 { // connections that have worked, so that the delays stay at the shortest
			await(t, e.answered, followTime)
		}
		if took := time.Since(start); took > resetTime {
			t.Errorf("5 connections after answers took %v, want at most %v", took, resetTime)
		}
	})
}

// TestRefusedAgentFollowsOwnerOverTCP guards against an agent that gives up after refusals. A busy machine keeps its bound.
func TestRefusedAgentFollowsOwnerOverTCP(t *testing.T) {
	const bound = 10 * time.Second
	e := startRefusingEntry(t)
	startKeeper(t, standin.NewRunner(), e.address)
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	if !kernel.PollUntil(ctx, 10*time.Millisecond, func() bool { return e.refused.Load() >= 3 }) {
		t.Fatalf("%d connections within %v", e.refused.Load(), bound)
	}
	e.refuses.Store(false)
	await(t, e.answered, bound)
}

// electingEntry names the owner before it, if any, until it owns scheduling itself.
type electingEntry struct {
	rpc.UnimplementedFleetServer
	address  string
	before   string
	owns     atomic.Bool
	attended chan struct{}
}

func (e *electingEntry) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	if !e.owns.Load() {
		return &rpc.LocateReply{OwnerAddress: e.before, Epoch: 1}, nil
	}
	return &rpc.LocateReply{OwnerAddress: e.address, Epoch: 2}, nil
}

func (e *electingEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	e.attended <- struct{}{}
	<-stream.Context().Done()
	return nil
}

// silentEntry accepts calls and answers none.
type silentEntry struct {
	rpc.UnimplementedFleetServer
}

func (silentEntry) Locate(ctx context.Context, _ *rpc.LocateRequest) (*rpc.LocateReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentEntry) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	<-stream.Context().Done()
	return stream.Context().Err()
}

// TestSilentEntryDelaysNoFollower guards against agents that add the time in which a lost entry does not answer to their delays.
func TestSilentEntryDelaysNoFollower(t *testing.T) {
	checkFollowTime(t, "")
}

// TestSilentOwnerDelaysNoFollower guards against the same where an entry still names the lost one as the owner.
func TestSilentOwnerDelaysNoFollower(t *testing.T) {
	checkFollowTime(t, "lost")
}

// checkFollowTime lets an entry take over at various moments, while another entry does not
// answer. It names the owner before it until then.
func checkFollowTime(t *testing.T, before string) {
	t.Helper()
	const (
		moments    = 200
		spacing    = 11 * time.Millisecond
		followTime = 600 * time.Millisecond // docs/design/platform.md
	)
	for i := range moments {
		simulateTime(t, func(t *testing.T) {
			e, network := &electingEntry{address: "next", before: before, attended: make(chan struct{}, 16)}, newMemoryNetwork(t)
			network.serve("lost", silentEntry{})
			network.serve(e.address, e)
			startKeeperIn(network, "lost", e.address)
			time.Sleep(3*time.Second + time.Duration(i)*spacing)
			e.owns.Store(true)
			await(t, e.attended, followTime)
		})
	}
}
