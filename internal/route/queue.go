package route

import (
	"container/heap"
	"container/list"
	"time"
)

// flowKey identifies the requests that share one queue.
type flowKey struct{ account, profile string }

func (k flowKey) sortsBefore(other flowKey) bool {
	if k.account != other.account {
		return k.account < other.account
	}
	return k.profile < other.profile
}

// flow is the queue of one account's profile at one service.
type flow struct {
	key           flowKey
	weight        float64
	items         *list.List
	openRequests  int     // requests that are queued or in progress
	virtualStart  float64 // virtual start time of the first item
	virtualFinish float64 // virtual finish time of the last charged item
	index         int     // position in the heap, or -1
	times         serviceTimes
	lastUsed      time.Duration
}

// fairQueue implements start-time fair queueing: flows with queued requests get
// slot time in proportion to their weights. It is a heap of these flows by
// virtual start time.
type fairQueue struct {
	flows       map[flowKey]*flow
	active      []*flow
	virtualTime float64
	length      int
}

func newFairQueue() fairQueue { return fairQueue{flows: map[flowKey]*flow{}} }

// flowFor returns the flow of a request and creates it if needed.
func (q *fairQueue) flowFor(r *Request, now time.Duration, maxFlows int) *flow {
	key := flowKey{r.Account, r.Profile}
	f := q.flows[key]
	if f == nil {
		if len(q.flows) >= maxFlows {
			q.evictOldestIdle()
		}
		f = &flow{key: key, items: list.New(), index: -1}
		q.flows[key] = f
	}
	f.weight = float64(max(1, r.Weight))
	f.lastUsed = now
	return f
}

// evictOldestIdle removes the least recently used flow without open requests, if
// there is one.
func (q *fairQueue) evictOldestIdle() {
	var oldest *flow
	for _, f := range q.flows {
		if f.openRequests > 0 {
			continue
		}
		if oldest == nil || f.lastUsed < oldest.lastUsed || f.lastUsed == oldest.lastUsed && f.key.sortsBefore(oldest.key) {
			oldest = f
		}
	}
	if oldest != nil {
		delete(q.flows, oldest.key)
	}
}

func (q *fairQueue) push(r *request) {
	q.length++
	r.queueElement = r.flow.items.PushBack(r)
	q.activate(r.flow)
}

// pushFront puts a request that was dequeued before back at the head of its flow.
func (q *fairQueue) pushFront(r *request) {
	q.length++
	r.queueElement = r.flow.items.PushFront(r)
	if q.activate(r.flow) {
		r.flow.virtualStart = q.virtualTime
		heap.Fix(q, r.flow.index)
	}
}

// activate adds the flow to the heap, and reports whether it was not there, that
// is, whether it had no queued requests.
func (q *fairQueue) activate(f *flow) bool {
	if f.index >= 0 {
		return false
	}
	f.virtualStart = max(q.virtualTime, f.virtualFinish)
	heap.Push(q, f)
	return true
}

// peek returns the request that is dequeued next, or nil.
func (q *fairQueue) peek() *request {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items.Front().Value.(*request)
}

// dequeue removes the request that peek returns and charges its cost to its flow.
// A request that is queued again after a failed attempt is charged only once.
func (q *fairQueue) dequeue(cost time.Duration) {
	r := q.peek()
	f := r.flow
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	if !r.charged {
		r.charged = true
		f.virtualFinish = f.virtualStart + cost.Seconds()/f.weight
	}
	q.remove(r)
	if f.index >= 0 {
		f.virtualStart = max(f.virtualStart, f.virtualFinish)
		heap.Fix(q, f.index)
	}
}

func (q *fairQueue) remove(r *request) {
	if r.queueElement == nil {
		return
	}
	r.flow.items.Remove(r.queueElement)
	r.queueElement = nil
	q.length--
	if r.flow.items.Len() == 0 {
		heap.Remove(q, r.flow.index)
	}
}

func (q *fairQueue) Len() int { return len(q.active) }

func (q *fairQueue) Less(i, j int) bool {
	a, b := q.active[i], q.active[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.key.sortsBefore(b.key)
}

func (q *fairQueue) Swap(i, j int) {
	q.active[i], q.active[j] = q.active[j], q.active[i]
	q.active[i].index = i
	q.active[j].index = j
}

func (q *fairQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(q.active)
	q.active = append(q.active, f)
}

func (q *fairQueue) Pop() any {
	last := len(q.active) - 1
	f := q.active[last]
	q.active[last] = nil
	q.active = q.active[:last]
	f.index = -1
	return f
}
