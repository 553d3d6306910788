package rpc

import (
	"context"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// brokenFleet panics in every call.
type brokenFleet struct{ UnimplementedFleetServer }

func (brokenFleet) Locate(context.Context, *LocateRequest) (*LocateReply, error) { panic("broken") }

func (brokenFleet) Attend(grpc.BidiStreamingServer[WorkerReport, WorkerOrders]) error {
	panic(io.ErrUnexpectedEOF)
}

// TestPanicsEndTheCallOnly checks that a handler's panic is reported and answered,
// and that the server goes on.
func TestPanicsEndTheCallOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reports := make(chan PanicReport, 10)
	server := grpc.NewServer(RecoverPanics(func(r PanicReport) { reports <- r })...)
	RegisterFleetServer(server, brokenFleet{})
	go func() { _ = server.Serve(listener) }() // returns an error only when the listener is closed
	defer server.Stop()
	var pool Pool
	client, err := pool.Fleet(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := client.Locate(context.Background(), &LocateRequest{}); status.Code(err) != codes.Internal {
			t.Fatalf("unary call: %v", err)
		}
		stream, err := client.Attend(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Fatalf("stream: %v", err)
		}
	}
	if len(reports) != 4 {
		t.Errorf("%d panics reported, want 4", len(reports))
	}
}
