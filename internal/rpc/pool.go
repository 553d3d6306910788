package rpc

import (
	"sync"

	"github.com/juju/errors"
	"google.golang.org/grpc"
)

// Pool caches one connection per address, with quick reconnects. The zero value
// is an empty pool.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Fleet returns a client for the process at an address. It connects only at the
// first call.
func (p *Pool) Fleet(address string) (FleetClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return NewFleetClient(conn), nil
}

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := Dial(address, append(QuickReconnect(), grpc.WithStatsHandler(sendTracker{}))...)
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", address)
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[address] = c
	return c, nil
}
