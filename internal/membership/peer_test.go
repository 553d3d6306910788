package membership

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// silentListener counts connections; the first ones, up to silent, are never
// answered.
type silentListener struct {
	net.Listener
	silent   int32
	accepted atomic.Int32
}

func (l *silentListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.accepted.Add(1) > l.silent {
			return conn, err
		}
		go discardInput(conn)
	}
}

// discardInput reads from a connection without ever answering.
func discardInput(conn net.Conn) {
	buf := make([]byte, 1024)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

type peerServer struct{ rpc.UnimplementedPeerServer }

func (peerServer) Exchange(_ context.Context, s *rpc.PeerState) (*rpc.PeerState, error) {
	return &rpc.PeerState{EntryId: "b", ConfigVersion: s.ConfigVersion}, nil
}

// TestSilentConnectionIsReplaced checks that a connection on which no reply arrives
// is replaced by a new one, without waiting for a TCP timeout.
func TestSilentConnectionIsReplaced(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &silentListener{Listener: inner, silent: 1}
	server := grpc.NewServer()
	rpc.RegisterPeerServer(server, peerServer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	d := NewDialer()
	defer d.RetainConnections(nil)
	misses := 0
	for end := time.Now().Add(20 * time.Second); ; misses++ {
		if time.Now().After(end) {
			t.Fatalf("no answer after %d misses", misses)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		reply, err := d.Exchange(ctx, inner.Addr().String(), &rpc.PeerState{ConfigVersion: 5})
		cancel()
		if err == nil && reply.ConfigVersion == 5 {
			break
		}
	}
	if misses < maxUnanswered || listener.accepted.Load() < 2 {
		t.Errorf("answer after %d misses on connection %d", misses, listener.accepted.Load())
	}
}
