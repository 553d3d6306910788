package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
)

// slowWorker runs one task. Its first two lists fail.
type slowWorker struct {
	external.Worker
	task  string
	lists atomic.Int32
}

func (w *slowWorker) List(context.Context) ([]external.TaskStatus, error) {
	if w.lists.Add(1) <= 2 {
		return nil, external.ErrUnavailable
	}
	return []external.TaskStatus{{ID: w.task, State: external.TaskRunning}}, nil
}

func (w *slowWorker) Stop(context.Context, string) (external.TaskStatus, error) {
	return external.TaskStatus{}, external.ErrUnavailable
}

// helloServer announces itself as the only entry and records the hellos.
type helloServer struct {
	rpc.UnimplementedAnnounceServer
	rpc.UnimplementedLinkServer
	address string
	hellos  chan *rpc.Hello
}

func (s *helloServer) Entries(context.Context, *rpc.EntriesRequest) (*rpc.EntriesReply, error) {
	return &rpc.EntriesReply{Entries: []*rpc.EntryAddress{{Id: "e", RpcAddress: s.address}}}, nil
}

func (s *helloServer) Open(stream rpc.Link_OpenServer) error {
	m, err := stream.Recv()
	if err == nil {
		s.hellos <- m.GetHello()
	}
	return err
}

func newHelloServer(t *testing.T) *helloServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &helloServer{address: listener.Addr().String(), hellos: make(chan *rpc.Hello, 1000)}
	server := grpc.NewServer()
	rpc.RegisterAnnounceServer(server, s)
	rpc.RegisterLinkServer(server, s)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return s
}

// Guards against an agent that restarts while a gang runs on its worker and sends
// a hello without the gang's group, because the worker has not listed its tasks yet.
func TestFirstHelloReportsTheRunningTasks(t *testing.T) {
	s := newHelloServer(t)
	name := groups.TaskName{Ref: groups.Ref{JobID: "j", Attempt: 1}, Tasks: 1}
	a := New(Config{ID: "a", Kind: KindWorker, Balancer: s.address}, nil, &slowWorker{task: name.String()}, metrics.NewRegistry(), zerolog.Nop())
	if err := a.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer a.loops.End()
	select {
	case hello := <-s.hellos:
		if len(hello.Groups) != 1 || hello.Groups[0].JobId != "j" {
			t.Fatalf("first hello holds the groups %v, want that of the running task", hello.Groups)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no hello within 20s")
	}
}
