package external

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// maxGuardedCalls is the maximum number of concurrent guarded calls of a client.
const maxGuardedCalls = 1024

type startByKey struct{}

// WithStartBy returns a context whose calls are sent before t or not at all. A
// call after t fails with an error that marks it as not sent. The clock is
// checked immediately before the first write, so that a process that was paused
// after its decision to call sends nothing when it resumes.
func WithStartBy(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, startByKey{}, t)
}

// StartBy returns the time set by WithStartBy.
func StartBy(ctx context.Context) (t time.Time, ok bool) {
	t, ok = ctx.Value(startByKey{}).(time.Time)
	return t, ok
}

// errPermitLapsed is the cause of a guarded call that was not sent because its
// start time limit had passed.
const errPermitLapsed = errors.ConstError("permission to start has lapsed before the call")

// guardedClient is an HTTP client with one connection whose writes are guarded.
// It serves one call at a time.
type guardedClient struct {
	http    *fasthttp.HostClient
	startBy time.Time
	sent    bool
}

// guardedConn rejects the first write of a call after the client's startBy.
type guardedConn struct {
	net.Conn
	client *guardedClient
}

func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.client.sent && time.Now().After(c.client.startBy) {
		return 0, &notSentError{errPermitLapsed}
	}
	c.client.sent = true
	return c.Conn.Write(b)
}

// guardedClientPool holds the guarded clients of one address. Idle clients are
// reused in last-in, first-out order.
type guardedClientPool struct {
	address    string
	streamBody bool // whether response bodies are streamed

	mu    sync.Mutex
	idle  []*guardedClient
	inUse int
}

func (g *guardedClientPool) acquire(startBy time.Time) (*guardedClient, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inUse >= maxGuardedCalls {
		return nil, &notSentError{fasthttp.ErrNoFreeConns}
	}
	g.inUse++
	if n := len(g.idle); n > 0 {
		guarded := g.idle[n-1]
		g.idle = g.idle[:n-1]
		guarded.startBy, guarded.sent = startBy, false
		return guarded, nil
	}
	guarded := &guardedClient{startBy: startBy}
	guarded.http = NewHostClient(g.address, 1)
	guarded.http.StreamResponseBody = g.streamBody
	guarded.http.DialTimeout = func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
		if err != nil {
			return nil, err
		}
		return &guardedConn{conn, guarded}, nil
	}
	return guarded, nil
}

func (g *guardedClientPool) release(guarded *guardedClient) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	g.idle = append(g.idle, guarded)
}
