package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	relayDialTimeout = 500 * time.Millisecond
	// holdPollInterval is the interval at which held directions are looked at.
	holdPollInterval = 10 * time.Millisecond
)

// Relay is a TCP proxy that distributes connections over its targets in turn.
// It can close connections, delay, throttle or hold back their data, or stop
// forwarding without closing them.
type Relay struct {
	listener net.Listener

	mu         sync.Mutex
	targets    []string
	nextTarget int
	pairs      map[*connPair]struct{}
	delay      time.Duration
	refuse     bool
	held       Directions
	rate       int // bytes per second of each connection and direction; 0 for no limit

	bytes atomic.Int64
}

// connPair holds both sides of a forwarded connection.
type connPair struct {
	client, target net.Conn
	stalled        chan struct{}
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

// SetTargets replaces the targets of new connections. Open connections stay.
func (r *Relay) SetTargets(targets ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append([]string(nil), targets...)
}

// SetDelay sets the delay before each chunk of data is forwarded.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// RefuseConnections sets whether new connections are closed at once.
func (r *Relay) RefuseConnections(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

// Directions selects directions of a relay's data.
type Directions struct{ ToTarget, ToClient bool }

// Hold holds back the data of the given directions, of open and new connections,
// until the next call. Like a cut link under TCP, it delays data but loses none.
func (r *Relay) Hold(d Directions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = d
}

// SetRate limits each connection and direction to a number of bytes per second;
// 0 removes the limit.
func (r *Relay) SetRate(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
}

// Bytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Stall stops forwarding on all open connections without closing them and
// returns their number. New connections work.
func (r *Relay) Stall() int {
	pairs := r.openPairs()
	for _, p := range pairs {
		p.stallOnce.Do(func() { close(p.stalled) })
	}
	return len(pairs)
}

// Cut closes all open connections and returns their number. New connections work.
func (r *Relay) Cut() int {
	pairs := r.openPairs()
	for _, p := range pairs {
		p.close()
	}
	return len(pairs)
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) openPairs() []*connPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	pairs := make([]*connPair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

func (r *Relay) accept() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(clientConn)
	}
}

func (r *Relay) serve(clientConn net.Conn) {
	targetConn := r.dial()
	if targetConn == nil {
		_ = clientConn.Close()
		return
	}
	p := &connPair{client: clientConn, target: targetConn, stalled: make(chan struct{})}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(p, targetConn, clientConn, true) })
	directions.Go(func() { r.forward(p, clientConn, targetConn, false) })
	directions.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// dial connects to the next target that accepts. It returns nil if none does.
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

// forward copies data until the sender closes its side. On a stalled
// connection it keeps both sides open and discards the data.
func (r *Relay) forward(p *connPair, to, from net.Conn, toTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.stalled:
			// A close by the sender must not reach the other side.
			_, _ = io.Copy(io.Discard, from)
			p.waitClosed(to)
			return
		default:
		}
		if n > 0 {
			r.bytes.Add(int64(n))
			r.applyDelay(n)
			r.awaitRelease(p, toTarget)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				p.close()
				return
			}
		}
		if err != nil {
			r.awaitRelease(p, toTarget)
			closeWrite(to)
			return
		}
	}
}

// awaitRelease waits while the direction is held, until the pair is closed.
func (r *Relay) awaitRelease(p *connPair, toTarget bool) {
	for {
		r.mu.Lock()
		held := toTarget && r.held.ToTarget || !toTarget && r.held.ToClient
		r.mu.Unlock()
		if !held || p.client.SetWriteDeadline(time.Time{}) != nil || p.target.SetWriteDeadline(time.Time{}) != nil {
			return
		}
		time.Sleep(holdPollInterval)
	}
}

func (r *Relay) applyDelay(bytes int) {
	r.mu.Lock()
	delay := r.delay
	if r.rate > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(r.rate)
	}
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

// waitClosed polls until the connection is closed locally, by the goroutine of
// the other direction or by Cut.
func (p *connPair) waitClosed(c net.Conn) {
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
