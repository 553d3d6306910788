package rpc

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// PanicReport describes a panic of a handler.
type PanicReport struct {
	Method string
	Value  any
	Stack  []byte
}

// RecoverPanics returns options with which a server answers a call whose handler
// panics with codes.Internal, instead of ending the process. report is called for
// each panic.
func RecoverPanics(report func(PanicReport)) []grpc.ServerOption {
	end := func(method string, err *error) {
		if v := recover(); v != nil {
			report(PanicReport{method, v, debug.Stack()})
			*err = status.Errorf(codes.Internal, "handler of %s failed", method)
		}
	}
	unary := func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
		defer end(info.FullMethod, &err)
		return handler(ctx, request)
	}
	stream := func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
		defer end(info.FullMethod, &err)
		return handler(srv, s)
	}
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(unary), grpc.ChainStreamInterceptor(stream)}
}
