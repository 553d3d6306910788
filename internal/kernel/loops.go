package kernel

import (
	"context"
	"sync"
	"time"
)

// Loops manages the background goroutines of a service. Begin must be called
// before goroutines are started; the zero value is ready for it.
type Loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Begin creates the context that goroutines run under until End.
func (l *Loops) Begin() {
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

// Context returns the context of the goroutines, which End cancels.
func (l *Loops) Context() context.Context { return l.ctx }

// Go runs fn in a goroutine. fn must return when its context is cancelled.
func (l *Loops) Go(fn func(ctx context.Context)) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		fn(l.ctx)
	}()
}

// Every runs fn in a goroutine, once immediately and then at each interval,
// until End.
func (l *Loops) Every(interval time.Duration, fn func(ctx context.Context)) {
	l.Go(func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for ctx.Err() == nil {
			fn(ctx)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	})
}

// End cancels the context and waits for all goroutines to return. It does
// nothing if Begin has not been called.
func (l *Loops) End() {
	if l.cancel == nil {
		return
	}
	l.cancel()
	l.group.Wait()
}

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// PollUntil checks condition immediately and then at each interval until it
// returns true or ctx is done. It reports whether the condition became true.
func PollUntil(ctx context.Context, interval time.Duration, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		Sleep(ctx, interval)
	}
	return true
}
