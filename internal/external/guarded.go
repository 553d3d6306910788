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

// errLapsed says that a guarded call came too late.
const errLapsed = errors.ConstError("permission to start has lapsed before the call")

// guardedLane is one connection whose writes are guarded. It serves one call
// at a time.
type guardedLane struct {
	http    *fasthttp.HostClient
	startBy time.Time
	sent    bool
}

// guardedConn refuses the first write of a call after the lane's time.
type guardedConn struct {
	net.Conn
	lane *guardedLane
}

func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.lane.sent && time.Now().After(c.lane.startBy) {
		return 0, &notSentError{errLapsed}
	}
	c.lane.sent = true
	return c.Conn.Write(b)
}

// guardedLanes keeps the idle lanes of a client; the one used last is used next.
type guardedLanes struct {
	address string
	stream  bool // of response bodies

	mu    sync.Mutex
	idle  []*guardedLane
	inUse int
}

func (g *guardedLanes) acquire(startBy time.Time) (*guardedLane, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inUse >= maxGuardedCalls {
		return nil, &notSentError{fasthttp.ErrNoFreeConns}
	}
	g.inUse++
	if n := len(g.idle); n > 0 {
		lane := g.idle[n-1]
		g.idle = g.idle[:n-1]
		lane.startBy, lane.sent = startBy, false
		return lane, nil
	}
	lane := &guardedLane{startBy: startBy}
	lane.http = NewHostClient(g.address, 1)
	lane.http.StreamResponseBody = g.stream
	lane.http.Dial = func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{conn, lane}, nil
	}
	return lane, nil
}

func (g *guardedLanes) release(lane *guardedLane) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	g.idle = append(g.idle, lane)
}
