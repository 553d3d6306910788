package httpx

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Limits of the HTTP servers. The linger limits bound how much a server reads
// and discards after it has refused a request (see lingerConn).
const (
	readTimeout     = 60 * time.Second
	writeTimeout    = 60 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	lingerTimeout   = 2 * time.Second
	maxLingerBytes  = 64 << 20
	lingerChunkSize = 32 << 10
)

// NewRouter returns a router that responds to unknown paths, wrong methods and
// panics with problem documents. onPanic, if not nil, is called for each panic.
func NewRouter(onPanic func(path string, value any)) *router.Router {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = true
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		WriteProblem(ctx, Problemf(fasthttp.StatusNotFound, "path %q does not exist", ctx.Path()))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		WriteProblem(ctx, Problemf(fasthttp.StatusMethodNotAllowed,
			"method %s is not allowed for path %q", ctx.Method(), ctx.Path()))
	}
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, value any) {
		if onPanic != nil {
			onPanic(string(ctx.Path()), value)
		}
		ctx.Response.Reset()
		WriteProblem(ctx, Problemf(fasthttp.StatusInternalServerError, "internal error"))
	}
	return r
}

// ServerOptions configures a Server.
type ServerOptions struct {
	// Listen is the address to listen on; with port 0 the operating system
	// chooses the port.
	Listen string
	// Handler serves the requests.
	Handler fasthttp.RequestHandler
	// MaxBodyBytes bounds the request body; 0 selects fasthttp's default.
	MaxBodyBytes int
	// LameDuck is how long Stop keeps accepting connections before it closes the
	// listener. Responses in that time ask clients to close their connections.
	LameDuck time.Duration
	// Registry, if not nil, counts responses by status class ("http.2xx"), requests
	// that could not be read ("http.unreadable"), panics ("http.panics") and failures to
	// accept a connection ("http.accept_failures").
	Registry metrics.Registry
	// OnAcceptFailure, if not nil, is called for failures to accept a connection, at most
	// once in acceptReportInterval.
	OnAcceptFailure func(error)
	// OnPanic, if not nil, is called for each panic of Handler.
	OnPanic func(path string, value any)
}

// Server is an HTTP server that is a kernel service.
type Server struct {
	options    ServerOptions
	server     *fasthttp.Server
	listener   net.Listener
	serving    context.Context // cancelled when Stop begins
	beginDrain context.CancelFunc
	serveLoop  sync.WaitGroup

	classes        [6]metrics.Counter // by the first digit of the status
	unreadable     metrics.Counter
	panics         metrics.Counter
	acceptFailures metrics.Counter
}

// discardLogger discards the library's log line for each broken connection; the
// counter http.unreadable counts them instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// NewServer returns a server that listens once it is started.
func NewServer(options ServerOptions) *Server {
	s := &Server{options: options}
	s.serving, s.beginDrain = context.WithCancel(context.Background())
	s.registerCounters(options.Registry)
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		Logger:                discardLogger{},
		MaxRequestBodySize:    options.MaxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
	return s
}

func (s *Server) registerCounters(registry metrics.Registry) {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	for class := range s.classes {
		s.classes[class] = metrics.NilCounter{}
		if class >= 2 {
			s.classes[class] = metrics.GetOrRegisterCounter(fmt.Sprintf("http.%dxx", class), registry)
		}
	}
	s.unreadable = metrics.GetOrRegisterCounter("http.unreadable", registry)
	s.panics = metrics.GetOrRegisterCounter("http.panics", registry)
	s.acceptFailures = metrics.GetOrRegisterCounter("http.accept_failures", registry)
}

// Start opens the listener and serves requests in the background.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return errors.Annotatef(err, "listening on %q", s.options.Listen)
	}
	s.serveOn(listener)
	return nil
}

// serveOn serves the connections of a listener in the background.
func (s *Server) serveOn(listener net.Listener) {
	s.listener = listener
	s.serveLoop.Add(1)
	go func() {
		defer s.serveLoop.Done()
		// Serve returns an error only after the listener is closed.
		_ = s.server.Serve(lingerListener{&retryListener{Listener: listener, failures: s.acceptFailures, onFailure: s.options.OnAcceptFailure}})
	}()
}

// Addr returns the address that the server listens on. It is valid after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Draining reports whether Stop has begun.
func (s *Server) Draining() bool { return s.serving.Err() != nil }

// Serving returns a context that is cancelled when Stop begins. Handlers use it
// to end waits for events that may never happen.
func (s *Server) Serving() context.Context { return s.serving }

// Stop shuts the server down and waits for requests in progress. New requests
// are still served during LameDuck.
func (s *Server) Stop(ctx context.Context) error {
	s.beginDrain()
	timer := time.NewTimer(s.options.LameDuck)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		return errors.Annotate(err, "requests still in progress")
	}
	s.serveLoop.Wait()
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.Draining() {
		ctx.SetConnectionClose()
	}
	s.serve(ctx)
	if class := ctx.Response.StatusCode() / 100; class < len(s.classes) {
		s.classes[class].Inc(1)
	}
}

// serve runs the handler. A panic ends the request only, with an internal error.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	defer func() {
		if v := recover(); v != nil {
			s.panics.Inc(1)
			if s.options.OnPanic != nil {
				s.options.OnPanic(string(ctx.Path()), v)
			}
			ctx.Response.Reset()
			WriteProblem(ctx, Problemf(fasthttp.StatusInternalServerError, "internal error"))
		}
	}()
	s.options.Handler(ctx)
}

// handleError responds to requests that could not be read and so were not run.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.unreadable.Inc(1)
	ctx.Response.Header.Set(HeaderOutcome, string(api.OutcomeNotRun))
	if conn, ok := ctx.Conn().(*lingerConn); ok {
		conn.linger.Store(true)
	}
	var tooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		WriteProblem(ctx, Problemf(fasthttp.StatusRequestEntityTooLarge, "body exceeds the limit"))
	case errors.As(err, &tooLarge):
		WriteProblem(ctx, Problemf(fasthttp.StatusRequestHeaderFieldsTooLarge, "header exceeds %d bytes", maxHeaderBytes))
	case errors.As(err, &netErr) && netErr.Timeout():
		WriteProblem(ctx, Problemf(fasthttp.StatusRequestTimeout, "request was not complete within %v", readTimeout))
	default:
		// The library's text ends with the content of its buffer; leave that out.
		text, _, _ := strings.Cut(err.Error(), ": buffer size=")
		WriteProblem(ctx, Problemf(fasthttp.StatusBadRequest, "request not valid: %s", text))
	}
}

// lingerListener wraps connections in lingerConn.
//
// A client that is still sending must be able to read the response to a refused
// request. Closing a socket with unread data would reset the connection and
// discard the response.
type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

type lingerConn struct {
	net.Conn
	linger atomic.Bool
}

// Close first reads and discards what the client still sends if the last request
// was refused before it was complete. Time and amount are bounded.
func (c *lingerConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() {
		discardUnread(tcp)
	}
	return c.Conn.Close()
}

func discardUnread(conn *net.TCPConn) {
	if conn.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buffer := make([]byte, lingerChunkSize)
	for total := 0; total < maxLingerBytes; {
		n, err := conn.Read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}

// Page is a further debug page, which answers POST requests.
type Page struct {
	Path    string
	Handler fasthttp.RequestHandler
}

// NewDebugServer returns a server that serves only the debug pages of a process.
// With port 0 the operating system chooses the port.
func NewDebugServer(ip string, port int, registry metrics.Registry, dump func() any, pages ...Page) *Server {
	r := NewRouter(nil)
	MountDebugPages(r, DebugOptions{Registry: registry, Dump: dump})
	for _, p := range pages {
		r.POST(p.Path, p.Handler)
	}
	return NewServer(ServerOptions{Listen: net.JoinHostPort(ip, strconv.Itoa(port)), Handler: r.Handler})
}
