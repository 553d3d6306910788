// Package standin implements in-memory stand-ins for the platform's services,
// for tests and the demo: table, object store, workers, minions and balancer.
// Faults can be injected over the control interface of each stand-in.
package standin

import (
	"encoding/json"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the HTTP server of a stand-in.
const (
	maxRequestBytes = 64 << 20
	stopTimeout     = 2 * time.Second
)

// Service is a stand-in that is served over HTTP.
type Service interface {
	routes(r *router.Router)
	faults() *Faults
}

// Server serves one stand-in.
type Server struct {
	listener net.Listener
	http     *fasthttp.Server
}

// Serve listens on address and serves s in the background.
func Serve(address string, s Service) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := &Server{
		listener: listener,
		http: &fasthttp.Server{
			Handler:            handler(s),
			MaxRequestBodySize: maxRequestBytes,
			Name:               "coltsfoot-standin",
			CloseOnShutdown:    true,
		},
	}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close stops the server. It waits at most stopTimeout for requests in progress.
func (s *Server) Close() error {
	done := make(chan error, 1)
	go func() { done <- s.http.Shutdown() }()
	select {
	case err := <-done:
		return errors.Trace(err)
	case <-time.After(stopTimeout):
		return nil
	}
}

// handler routes requests to the control interface or to the service. Faults
// apply to the routes of the service only.
func handler(s Service) fasthttp.RequestHandler {
	service := router.New()
	s.routes(service)
	f := s.faults()
	root := router.New()
	root.POST(PathFaults, postHandler(func(next FaultSettings) (FaultSettings, error) { return f.set(next), nil }))
	root.GET(PathFaults, getHandler(func() any { return f.get() }))
	if o, ok := s.(observer); ok {
		root.GET(PathObserve, getHandler(o.observe))
	}
	root.NotFound = f.wrap(service.Handler)
	root.HandleMethodNotAllowed = false
	return root.Handler
}

// observer is a service that reports its activity to tests.
type observer interface{ observe() any }

// postHandler adapts fn to an HTTP handler with JSON bodies.
func postHandler[In, Out any](fn func(In) (Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var in In
		if body := ctx.PostBody(); len(body) > 0 {
			if err := json.Unmarshal(body, &in); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
		}
		out, err := fn(in)
		switch {
		case errors.Is(err, errors.NotFound):
			ctx.Error(err.Error(), fasthttp.StatusNotFound)
		case err != nil:
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		default:
			writeJSON(ctx, out)
		}
	}
}

func getHandler(fn func() any) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fn()) }
}

func handleHealth(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") }

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
