package node

import (
	"context"
	"net"
	"sync"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"google.golang.org/grpc"
)

// ExchangeHandler handles the state of another entry and returns this entry's.
type ExchangeHandler interface {
	HandleExchange(*rpc.PeerState) *rpc.PeerState
}

// JobNoticeHandler handles notices of changed job rows. Notify returns false if
// this entry does not own the cell.
type JobNoticeHandler interface {
	Notify(id string) bool
}

// RPCServer serves agents and other entries over gRPC.
type RPCServer struct {
	rpc.UnimplementedAnnounceServer
	rpc.UnimplementedPeerServer

	address string
	members Members
	peers   ExchangeHandler
	notices JobNoticeHandler
	links   *links.Server

	server  *grpc.Server
	serving sync.WaitGroup
}

// NewRPCServer returns a server that listens once it is started.
func NewRPCServer(address string, members Members, peers ExchangeHandler, notices JobNoticeHandler, l *links.Server) *RPCServer {
	return &RPCServer{address: address, members: members, peers: peers, notices: notices, links: l}
}

// Start opens the listener and serves it in the background.
func (s *RPCServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "listening on %q", s.address)
	}
	s.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(rpc.MaxMessageBytes),
		grpc.MaxSendMsgSize(rpc.MaxMessageBytes))
	rpc.RegisterAnnounceServer(s.server, s)
	rpc.RegisterPeerServer(s.server, s)
	rpc.RegisterLinkServer(s.server, s.links)
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		// Serve returns an error only when the listener is closed.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Stop closes the links and the listener. It must be called after the services
// that use the links have stopped.
func (s *RPCServer) Stop(context.Context) error {
	s.links.Close()
	s.server.Stop()
	s.serving.Wait()
	return nil
}

// Entries lists the live entries for an agent that connected through the balancer.
func (s *RPCServer) Entries(context.Context, *rpc.EntriesRequest) (*rpc.EntriesReply, error) {
	return &rpc.EntriesReply{Entries: s.members.Entries()}, nil
}

// Exchange takes the state of another entry and returns this entry's.
func (s *RPCServer) Exchange(_ context.Context, state *rpc.PeerState) (*rpc.PeerState, error) {
	return s.peers.HandleExchange(state), nil
}

// Notify handles another entry's notice of a changed job row.
func (s *RPCServer) Notify(_ context.Context, n *rpc.JobNotice) (*rpc.JobNoticeReply, error) {
	return &rpc.JobNoticeReply{Accepted: s.notices.Notify(n.JobId)}, nil
}
