package external

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// maxGuardedCalls bounds the guarded calls of one client in progress.
const maxGuardedCalls = 1024

type startByKey struct{}

// WithStartBy returns a context whose calls send their first byte before t or
// not at all; a call that comes too late fails as one that was not sent. The
// time is looked at directly before the write, so that a process which was
// paused after its decision has no effect when it wakes.
func WithStartBy(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, startByKey{}, t)
}

// StartBy returns the time that WithStartBy has set.
func StartBy(ctx context.Context) (t time.Time, ok bool) {
	t, ok = ctx.Value(startByKey{}).(time.Time)
	return t, ok
}

// errPermitLapsed says that a guarded call came too late.
const errPermitLapsed = errors.ConstError("permission to start has lapsed before the call")

// guardedClient is one connection whose writes are guarded. It serves one call
// at a time.
type guardedClient struct {
	http    *fasthttp.HostClient
	startBy time.Time
	sent    bool
}

// guardedConn refuses the first write of a call after the lane's time.
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

// guardedClientPool keeps the idle lanes of a client; the one used last is used next.
type guardedClientPool struct {
	address string
	stream  bool // of response bodies

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
	guarded.http.StreamResponseBody = g.stream
	guarded.http.Dial = func(address string) (net.Conn, error) {
		conn, err := dial(address)
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
