package confstate

import (
	"context"
	"sync"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// feed calls subscribers from one goroutine with ever newer configurations.
type feed struct {
	mu     sync.Mutex
	subs   []*subscriber
	signal chan struct{}
}

type subscriber struct {
	fn   func(*api.Config)
	last uint64
}

func newFeed() *feed { return &feed{signal: make(chan struct{}, 1)} }

func (f *feed) add(fn func(*api.Config)) {
	f.mu.Lock()
	f.subs = append(f.subs, &subscriber{fn: fn})
	f.mu.Unlock()
	f.wake()
}

func (f *feed) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

func (f *feed) run(ctx context.Context, current func() *api.Config) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.signal:
			f.deliver(current())
		}
	}
}

// deliver calls each subscriber that has not had this version yet.
func (f *feed) deliver(c *api.Config) {
	f.mu.Lock()
	subs := append([]*subscriber(nil), f.subs...)
	f.mu.Unlock()
	for _, s := range subs {
		if s.last < c.Version {
			s.last = c.Version
			s.fn(c)
		}
	}
}
