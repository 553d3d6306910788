package node

import (
	"context"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
)

const (
	noticeTimeout   = time.Second
	noticeQueueSize = 4096
)

// Notifier notifies the owner of the cell of changed job rows. A lost notice only
// delays the job, since the owner scans the active jobs periodically.
type Notifier struct {
	owner    *owner.Service
	local    JobNoticeHandler
	registry metrics.Registry

	queue chan string
	loops kernel.Loops

	address string
	conn    *grpc.ClientConn
}

// NewNotifier returns a notifier. local handles the notices while this entry owns
// the cell.
func NewNotifier(o *owner.Service, local JobNoticeHandler, registry metrics.Registry) *Notifier {
	return &Notifier{owner: o, local: local, registry: registry, queue: make(chan string, noticeQueueSize)}
}

// Start starts sending queued notices.
func (n *Notifier) Start(context.Context) error {
	n.loops.Begin()
	n.loops.Go(n.sendLoop)
	return nil
}

// Stop stops sending and closes the connection to the owner.
func (n *Notifier) Stop(context.Context) error {
	n.loops.End()
	n.disconnect()
	return nil
}

// JobChanged passes a notice to the local handler or queues it for the owner. It
// never blocks: if the queue is full, the notice is dropped.
func (n *Notifier) JobChanged(id string) {
	if n.local.Notify(id) {
		return
	}
	select {
	case n.queue <- id:
	default:
		metrics.GetOrRegisterCounter("notices.dropped", n.registry).Inc(1)
	}
}

func (n *Notifier) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-n.queue:
			n.send(ctx, id)
		}
	}
}

func (n *Notifier) send(ctx context.Context, id string) {
	address := n.owner.Current().OwnerAddr
	if address == "" || !n.connect(address) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, err := rpc.NewPeerClient(n.conn).Notify(ctx, &rpc.JobNotice{JobId: id})
	if err != nil {
		metrics.GetOrRegisterCounter("notices.failed", n.registry).Inc(1)
		n.disconnect()
	}
}

func (n *Notifier) connect(address string) bool {
	if n.conn != nil && n.address == address {
		return true
	}
	n.disconnect()
	conn, err := rpc.Dial(address)
	if err != nil {
		return false
	}
	n.conn, n.address = conn, address
	return true
}

func (n *Notifier) disconnect() {
	if n.conn != nil {
		_ = n.conn.Close()
		n.conn = nil
	}
}
