package route

import (
	"container/heap"
	"time"
)

// timer calls run once, in the first Step at or after its time.
type timer struct {
	at    time.Duration
	seq   uint64
	index int // position in the heap, or -1
	run   func()
}

// timers is a heap ordered by time. Timers with equal times fire in the order in
// which they were set.
type timers struct {
	items []*timer
	seq   uint64
}

func newTimer(run func()) *timer { return &timer{index: -1, run: run} }

func (t *timers) set(x *timer, at time.Duration) {
	t.seq++
	x.at = at
	x.seq = t.seq
	if x.index < 0 {
		heap.Push(t, x)
		return
	}
	heap.Fix(t, x.index)
}

func (t *timers) stop(x *timer) {
	if x.index >= 0 {
		heap.Remove(t, x.index)
	}
}

// popDue removes and returns the first timer that is due, or nil.
func (t *timers) popDue(now time.Duration) *timer {
	if len(t.items) == 0 || t.items[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}

func (t *timers) Len() int { return len(t.items) }

func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (t *timers) Swap(i, j int) {
	t.items[i], t.items[j] = t.items[j], t.items[i]
	t.items[i].index = i
	t.items[j].index = j
}

func (t *timers) Push(x any) {
	item := x.(*timer)
	item.index = len(t.items)
	t.items = append(t.items, item)
}

func (t *timers) Pop() any {
	last := len(t.items) - 1
	item := t.items[last]
	t.items[last] = nil
	t.items = t.items[:last]
	item.index = -1
	return item
}
