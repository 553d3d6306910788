package confstate

import (
	"context"
	"sync"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// notifier calls subscribers from a single goroutine with configurations of
// increasing versions.
type notifier struct {
	mu          sync.Mutex
	subscribers []*subscriber
	signal      chan struct{}
}

type subscriber struct {
	fn          func(*api.Config)
	lastVersion uint64
}

func newNotifier() *notifier { return &notifier{signal: make(chan struct{}, 1)} }

func (n *notifier) add(fn func(*api.Config)) {
	n.mu.Lock()
	n.subscribers = append(n.subscribers, &subscriber{fn: fn})
	n.mu.Unlock()
	n.wake()
}

func (n *notifier) wake() {
	select {
	case n.signal <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context, current func() *api.Config) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.signal:
			n.deliver(current())
		}
	}
}

// deliver calls each subscriber that has not yet received this or a newer version.
func (n *notifier) deliver(c *api.Config) {
	n.mu.Lock()
	subscribers := append([]*subscriber(nil), n.subscribers...)
	n.mu.Unlock()
	for _, s := range subscribers {
		if s.lastVersion < c.Version {
			s.lastVersion = c.Version
			s.fn(c)
		}
	}
}
