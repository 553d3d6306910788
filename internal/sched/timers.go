package sched

import (
	"container/heap"
	"time"
)

type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// timerQueue runs functions when they are due; ties run in order of creation.
type timerQueue struct {
	items []timer
	seq   uint64
}

func (q *timerQueue) Len() int { return len(q.items) }
func (q *timerQueue) Less(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
func (q *timerQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *timerQueue) Push(x any)    { q.items = append(q.items, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := len(q.items) - 1
	t := q.items[last]
	q.items[last] = timer{}
	q.items = q.items[:last]
	return t
}

func (q *timerQueue) add(at time.Duration, run func()) {
	q.seq++
	heap.Push(q, timer{at, q.seq, run})
}

func (q *timerQueue) runDue(now time.Duration) {
	for len(q.items) > 0 && q.items[0].at <= now {
		heap.Pop(q).(timer).run()
	}
}
