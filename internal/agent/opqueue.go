package agent

import "sync"

// opQueues runs functions in goroutines: functions with the same key in order,
// functions with different keys concurrently. The goroutine of a key ends when
// its queue is empty.
type opQueues struct {
	mu      sync.Mutex
	pending map[string][]func()
}

func (q *opQueues) push(key string, fn func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = map[string][]func(){}
	}
	_, running := q.pending[key]
	q.pending[key] = append(q.pending[key], fn)
	if !running {
		go q.drain(key)
	}
}

func (q *opQueues) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) == 0
}

func (q *opQueues) drain(key string) {
	for {
		q.mu.Lock()
		if len(q.pending[key]) == 0 {
			delete(q.pending, key)
			q.mu.Unlock()
			return
		}
		fn := q.pending[key][0]
		q.pending[key] = q.pending[key][1:]
		q.mu.Unlock()
		fn()
	}
}
