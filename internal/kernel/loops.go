package kernel

import (
	"context"
	"sync"
	"time"
)

// Loops are the background goroutines of a service. The zero value is ready
// for Begin.
type Loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Begin prepares for goroutines that live until End.
func (l *Loops) Begin() {
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

// Context ends when End is called.
func (l *Loops) Context() context.Context { return l.ctx }

// Go runs fn in a goroutine; fn returns when its context ends.
func (l *Loops) Go(fn func(ctx context.Context)) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		fn(l.ctx)
	}()
}

// Every runs fn now and at each interval in a goroutine.
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

// End ends the context and waits for all goroutines. Without Begin it does nothing.
func (l *Loops) End() {
	if l.cancel == nil {
		return
	}
	l.cancel()
	l.group.Wait()
}

// Sleep waits for a duration or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// PollUntil polls a condition until it holds or ctx ends, and returns whether it holds.
func PollUntil(ctx context.Context, interval time.Duration, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		Sleep(ctx, interval)
	}
	return true
}
