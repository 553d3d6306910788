package graphs

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// ownerQueryTimeout bounds one query to the owner.
	ownerQueryTimeout = 400 * time.Millisecond
	// keepaliveTime and keepaliveTimeout detect dead connections.
	keepaliveTime    = 2 * time.Second
	keepaliveTimeout = time.Second
)

// Server serves agents and the other entries over gRPC.
type Server struct {
	rpc.UnimplementedFleetServer

	address   string
	scheduler *Scheduler
	owner     Ownership
	front     *Front
	handover  *Handover
	log       zerolog.Logger
	server    *grpc.Server
	serving   sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(address string, s *Scheduler, o Ownership, f *Front, h *Handover, log zerolog.Logger) *Server {
	return &Server{address: address, scheduler: s, owner: o, front: f, handover: h, log: log}
}

func (s *Server) reportPanic(r rpc.PanicReport) {
	s.log.Error().Str("method", r.Method).Interface("panic", r.Value).Bytes("stack", r.Stack).Msg("handler panicked")
}

// Start listens and serves.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "listening on %q", s.address)
	}
	options := append(rpc.RecoverPanics(s.reportPanic),
		grpc.MaxRecvMsgSize(rpc.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	s.server = grpc.NewServer(options...)
	rpc.RegisterFleetServer(s.server, s)
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		// Serve returns an error only when the listener is closed.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Stop ends all connections.
func (s *Server) Stop(context.Context) error {
	s.server.Stop()
	s.serving.Wait()
	return nil
}

// Locate returns the address and epoch of the entry that owns scheduling.
func (s *Server) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	a := s.owner.Current()
	return &rpc.LocateReply{OwnerAddress: a.OwnerAddr, Epoch: a.Epoch}, nil
}

// Attend serves the agent of one worker.
func (s *Server) Attend(stream grpc.BidiStreamingServer[rpc.WorkerReport, rpc.WorkerOrders]) error {
	return s.scheduler.ServeAgent(stream)
}

// JobStatus returns the state of a job, if this entry knows it as the owner.
func (s *Server) JobStatus(ctx context.Context, r *rpc.JobStatusRequest) (*rpc.JobStatusReply, error) {
	state, known := s.scheduler.JobState(ctx, graph.JobID(r.Job))
	if !known && ctx.Err() != nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return &rpc.JobStatusReply{Known: known, State: string(state)}, nil
}

// PendingJobs returns the number of a queue's pending jobs. It fails on entries
// that don't own scheduling.
func (s *Server) PendingJobs(ctx context.Context, r *rpc.PendingJobsRequest) (*rpc.PendingJobsReply, error) {
	n, known := s.scheduler.PendingJobs(ctx, r.Queue)
	if !known && ctx.Err() != nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if !known {
		return nil, errNotOwner
	}
	return &rpc.PendingJobsReply{Pending: int64(n)}, nil
}

// FollowOutlook streams the outlook of the owner's term to another entry.
func (s *Server) FollowOutlook(_ *rpc.FollowOutlookRequest, stream grpc.ServerStreamingServer[rpc.OutlookUpdate]) error {
	return s.scheduler.ServeOutlook(stream)
}

// Relay serves a caller request forwarded by another entry.
func (s *Server) Relay(_ context.Context, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	return serveRelayed(s.front, r)
}

// HandOver tells an owner that has lost the table whether this entry can take
// over.
func (s *Server) HandOver(ctx context.Context, r *rpc.HandOverRequest) (*rpc.HandOverReply, error) {
	return s.handover.handleHandOver(ctx, r), nil
}

// OwnerClient queries the owner, in this process or over gRPC in another entry.
type OwnerClient struct {
	scheduler *Scheduler
	owner     Ownership
	pool      rpc.Pool
}

var _ OwnerQuerier = (*OwnerClient)(nil)

// NewOwnerClient returns a client without connections.
func NewOwnerClient(s *Scheduler, o Ownership) *OwnerClient {
	return &OwnerClient{scheduler: s, owner: o}
}

// remoteOwner returns a client of the owner in another process, or nil.
func (r *OwnerClient) remoteOwner() rpc.FleetClient {
	a := r.owner.Current()
	if a.Owner || a.OwnerAddr == "" {
		return nil
	}
	client, err := r.pool.Fleet(a.OwnerAddr)
	if err != nil {
		return nil // treated like an unknown owner
	}
	return client
}

// JobState returns a job's state as the owner knows it.
func (r *OwnerClient) JobState(ctx context.Context, id graph.JobID) (graph.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	if state, known := r.scheduler.JobState(ctx, id); known {
		return state, true
	}
	client := r.remoteOwner()
	if client == nil {
		return "", false
	}
	reply, err := client.JobStatus(ctx, &rpc.JobStatusRequest{Job: string(id)})
	if err != nil || !reply.Known {
		return "", false
	}
	return graph.State(reply.State), true
}

// PendingJobs returns the number of a queue's pending jobs.
func (r *OwnerClient) PendingJobs(ctx context.Context, queue string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	if n, known := r.scheduler.PendingJobs(ctx, queue); known {
		return n, true
	}
	client := r.remoteOwner()
	if client == nil {
		return 0, false
	}
	reply, err := client.PendingJobs(ctx, &rpc.PendingJobsRequest{Queue: queue})
	if err != nil {
		return 0, false
	}
	return int(reply.Pending), true
}
