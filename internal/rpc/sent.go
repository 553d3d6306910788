package rpc

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// SendState tells whether a call may have reached the other process.
type SendState struct{ sent atomic.Bool }

// Sent reports whether a connection has accepted the call's header. Before that
// nothing of the call was written: there was no connection, or the attempt to
// connect failed or hung. Afterwards the other process may have executed the call.
func (s *SendState) Sent() bool { return s.sent.Load() }

type sendStateKey struct{}

// TrackSend returns a context for one call on a connection of a Pool, and the state
// that the connection records in it.
func TrackSend(ctx context.Context) (context.Context, *SendState) {
	s := &SendState{}
	return context.WithValue(ctx, sendStateKey{}, s), s
}

// sendTracker is a stats handler that records which calls were sent.
type sendTracker struct{}

var _ stats.Handler = sendTracker{}

func (sendTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC records the header, not the payload: a connection that fails while the
// payload is written may have delivered it.
func (sendTracker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if s, ok := ctx.Value(sendStateKey{}).(*SendState); ok {
		s.sent.Store(true)
	}
}

func (sendTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sendTracker) HandleConn(context.Context, stats.ConnStats) {}
