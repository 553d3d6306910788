package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const relayDialTimeout = 500 * time.Millisecond

// Relay forwards TCP connections to its targets in turn. It can cut its
// connections, delay them, or stop forwarding without closing them.
type Relay struct {
	listener net.Listener

	mu      sync.Mutex
	targets []string
	nextTarget    int
	pairs   map[*connPair]struct{}
	delay   time.Duration
	refuse  bool

	bytes atomic.Int64
}

// connPair is one forwarded connection.
type connPair struct {
	client, target net.Conn
	stalled    chan struct{}
	stallOnce      sync.Once
}

// NewRelay listens on address and forwards to targets.
func NewRelay(address string, targets ...string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Relay{listener: listener, targets: targets, pairs: map[*connPair]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Targets returns the current targets.
func (r *Relay) Targets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.targets...)
}

// SetTargets replaces the targets; open connections stay.
func (r *Relay) SetTargets(targets ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append([]string(nil), targets...)
}

// SetDelay delays what is forwarded from now on.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// RefuseConnections closes new connections at once, or lets them through again.
func (r *Relay) RefuseConnections(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

// Bytes returns the number of bytes forwarded so far, both ways together.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Stall stops forwarding on all open connections without closing them. New
// connections work.
func (r *Relay) Stall() int {
	links := r.openPairs()
	for _, l := range links {
		l.stallOnce.Do(func() { close(l.stalled) })
	}
	return len(links)
}

// Cut closes all open connections. New connections work.
func (r *Relay) Cut() int {
	links := r.openPairs()
	for _, l := range links {
		l.close()
	}
	return len(links)
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) openPairs() []*connPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	links := make([]*connPair, 0, len(r.pairs))
	for l := range r.pairs {
		links = append(links, l)
	}
	return links
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(near)
	}
}

func (r *Relay) serve(near net.Conn) {
	far := r.dial()
	if far == nil {
		_ = near.Close()
		return
	}
	l := &connPair{client: near, target: far, stalled: make(chan struct{})}
	r.mu.Lock()
	r.pairs[l] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(l, far, near) })
	both.Go(func() { r.forward(l, near, far) })
	both.Wait()
	l.close()
	r.mu.Lock()
	delete(r.pairs, l)
	r.mu.Unlock()
}

// dial connects to the next target that accepts.
func (r *Relay) dial() net.Conn {
	r.mu.Lock()
	targets, first, refuse := r.targets, r.nextTarget, r.refuse
	r.nextTarget++
	r.mu.Unlock()
	if refuse {
		return nil
	}
	for i := range targets {
		conn, err := net.DialTimeout("tcp", targets[(first+i)%len(targets)], relayDialTimeout)
		if err == nil {
			return conn
		}
	}
	return nil
}

// forward copies from one side to the other until the sender ends. On a
// silent link it keeps both sides open and copies nothing.
func (r *Relay) forward(l *connPair, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.stalled:
			// The other end must not see the sender's end either.
			_, _ = io.Copy(io.Discard, from)
			l.waitClosed(to)
			return
		default:
		}
		if n > 0 {
			r.bytes.Add(int64(n))
			r.applyDelay()
			if _, werr := to.Write(buffer[:n]); werr != nil {
				l.close()
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

func (r *Relay) applyDelay() {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (l *connPair) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// waitClosed polls until the connection is closed on this side, which the
// goroutine of the other direction or Cut does.
func (l *connPair) waitClosed(c net.Conn) {
	for {
		if err := c.SetDeadline(time.Time{}); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
