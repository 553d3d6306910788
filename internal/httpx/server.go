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

// Limits of the HTTP servers.
const (
	readTimeout     = 60 * time.Second
	writeTimeout    = 60 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	lingerTimeout   = 2 * time.Second
	maxLingerBytes  = 64 << 20
	lingerChunkSize = 32 << 10
)

// NewRouter returns a router that answers unknown paths, wrong methods and
// panics with problem documents. onPanic, if not nil, is told of each panic.
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
	// Listen is the address to listen on; port 0 lets the system choose.
	Listen string
	// Handler serves the requests.
	Handler fasthttp.RequestHandler
	// MaxBodyBytes bounds a request's body; 0 stands for fasthttp's default.
	MaxBodyBytes int
	// LameDuck is how long Stop goes on accepting connections, while answers
	// ask clients to close theirs, before the listener is closed.
	LameDuck time.Duration
	// Registry, if not nil, counts answers by class of status ("http.2xx") and
	// requests that could not be read ("http.unreadable").
	Registry metrics.Registry
}

// Server is an HTTP server with the life of a kernel service.
type Server struct {
	options    ServerOptions
	server     *fasthttp.Server
	listener   net.Listener
	serving    context.Context // ends when Stop begins
	beginDrain context.CancelFunc
	serveLoop  sync.WaitGroup

	classes    [6]metrics.Counter // by the first digit of the status
	unreadable metrics.Counter
}

// discardLogger drops the library's line for each broken connection; the
// counter of unreadable requests stands for them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// NewServer returns a server that does not listen yet.
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
}

// Start listens and serves.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return errors.Annotatef(err, "listening on %q", s.options.Listen)
	}
	s.listener = listener
	s.serveLoop.Add(1)
	go func() {
		defer s.serveLoop.Done()
		// Serve returns an error only when the listener is closed.
		_ = s.server.Serve(lingerListener{listener})
	}()
	return nil
}

// Addr returns the address that the server listens on, after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Draining reports whether Stop has begun.
func (s *Server) Draining() bool { return s.serving.Err() != nil }

// Serving returns a context that ends when Stop begins, for handlers that wait
// for something which need not come.
func (s *Server) Serving() context.Context { return s.serving }

// Stop waits for the requests in progress. While LameDuck lasts new requests
// are still served.
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
	s.options.Handler(ctx)
	if class := ctx.Response.StatusCode() / 100; class < len(s.classes) {
		s.classes[class].Inc(1)
	}
}

// handleError answers requests that could not be read, and so have not run.
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
		// The library's text ends with the content of its buffer.
		text, _, _ := strings.Cut(err.Error(), ": buffer size=")
		WriteProblem(ctx, Problemf(fasthttp.StatusBadRequest, "request not valid: %s", text))
	}
}

// lingerListener wraps connections so that a client which is still sending
// reads the answer to a refused request. Closing a socket with unread data
// would reset the connection and discard the answer.
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

// Close discards what the client still sends, for a bounded time, when the
// last request was refused before its end.
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

// NewDebugServer returns a server of a process's own pages on a port; with port 0
// the system chooses one.
func NewDebugServer(ip string, port int, registry metrics.Registry, dump func() any) *Server {
	r := NewRouter(nil)
	MountDebugPages(r, DebugOptions{Registry: registry, Dump: dump})
	return NewServer(ServerOptions{Listen: net.JoinHostPort(ip, strconv.Itoa(port)), Handler: r.Handler})
}
