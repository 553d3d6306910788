package membership

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// maxUnanswered is the number of consecutive failed calls after which a
// connection is replaced.
const maxUnanswered = 2

// Dialer implements Transport over gRPC. It replaces a connection that has stopped
// answering by a new one instead of waiting for a TCP timeout.
type Dialer struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*peerConn
}

type peerConn struct {
	conn       *grpc.ClientConn
	unanswered int
}

var _ Transport = (*Dialer)(nil)

// NewDialer returns a Dialer without connections.
func NewDialer(options ...grpc.DialOption) *Dialer {
	return &Dialer{options: options, conns: map[string]*peerConn{}}
}

// Exchange swaps states with the entry at addr.
func (d *Dialer) Exchange(ctx context.Context, addr string, s *rpc.PeerState) (*rpc.PeerState, error) {
	var reply *rpc.PeerState
	err := d.call(addr, func(conn *grpc.ClientConn) (err error) {
		reply, err = rpc.NewPeerClient(conn).Exchange(ctx, s)
		return err
	})
	return reply, errors.Annotatef(err, "exchange with entry at %q", addr)
}

// Entries returns the list of entries known at addr, such as the balancer's
// address.
func (d *Dialer) Entries(ctx context.Context, addr string) ([]*rpc.EntryAddress, error) {
	var reply *rpc.EntriesReply
	err := d.call(addr, func(conn *grpc.ClientConn) (err error) {
		reply, err = rpc.NewAnnounceClient(conn).Entries(ctx, &rpc.EntriesRequest{})
		return err
	})
	return reply.GetEntries(), errors.Annotatef(err, "list of entries at %q", addr)
}

// call uses the connection to addr and records the outcome.
func (d *Dialer) call(addr string, use func(*grpc.ClientConn) error) error {
	p, err := d.get(addr)
	if err != nil {
		return err
	}
	err = use(p.conn)
	d.recordOutcome(addr, p, err)
	return err
}

func (d *Dialer) get(addr string) (*peerConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.conns[addr]; ok {
		return p, nil
	}
	conn, err := rpc.Dial(addr, d.options...)
	if err != nil {
		return nil, err
	}
	p := &peerConn{conn: conn}
	d.conns[addr] = p
	return p, nil
}

// recordOutcome counts consecutive failures and closes the connection at
// maxUnanswered.
func (d *Dialer) recordOutcome(addr string, p *peerConn, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		p.unanswered = 0
		return
	}
	p.unanswered++
	if p.unanswered >= maxUnanswered && d.conns[addr] == p {
		delete(d.conns, addr)
		// The connection is discarded, so its error is ignored.
		_ = p.conn.Close()
	}
}

// RetainConnections closes the connections to all addresses that are not in addrs.
func (d *Dialer) RetainConnections(addrs map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, p := range d.conns {
		if !addrs[addr] {
			delete(d.conns, addr)
			_ = p.conn.Close()
		}
	}
}
