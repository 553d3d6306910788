package route

import (
	"container/heap"
	"container/list"
	"time"
)

// flowKey names the requests that share one queue.
type flowKey struct{ account, profile string }

func (k flowKey) less(o flowKey) bool {
	if k.account != o.account {
		return k.account < o.account
	}
	return k.profile < o.profile
}

// flow is the queue of one profile at one service.
type flow struct {
	key    flowKey
	weight float64
	items  *list.List
	open   int     // requests that are queued or under way
	start  float64 // virtual start time of the first item
	finish float64 // virtual finish time of the last item charged
	index  int     // position in the heap, or -1
	times  serviceTimes
	used   time.Duration
}

// fairQueue is a start-time fair queue: each flow gets slot time in proportion
// to its weight while it has requests waiting.
type fairQueue struct {
	flows   map[flowKey]*flow
	active  []*flow
	virtual float64
	length  int
}

func newFairQueue() fairQueue { return fairQueue{flows: map[flowKey]*flow{}} }

// flow returns the flow of a request, which is created when it is new.
func (q *fairQueue) flow(r *Request, now time.Duration, maxFlows int) *flow {
	key := flowKey{r.Account, r.Profile}
	f := q.flows[key]
	if f == nil {
		if len(q.flows) >= maxFlows {
			q.dropOldest()
		}
		f = &flow{key: key, items: list.New(), index: -1}
		q.flows[key] = f
	}
	f.weight = float64(max(1, r.Weight))
	f.used = now
	return f
}

func (q *fairQueue) dropOldest() {
	var oldest *flow
	for _, f := range q.flows {
		if f.open > 0 {
			continue
		}
		if oldest == nil || f.used < oldest.used || f.used == oldest.used && f.key.less(oldest.key) {
			oldest = f
		}
	}
	if oldest != nil {
		delete(q.flows, oldest.key)
	}
}

func (q *fairQueue) push(r *request) {
	q.length++
	r.element = r.flow.items.PushBack(r)
	q.activate(r.flow)
}

// pushFront puts back a request that has left the queue before.
func (q *fairQueue) pushFront(r *request) {
	q.length++
	r.element = r.flow.items.PushFront(r)
	if q.activate(r.flow) {
		r.flow.start = q.virtual
		heap.Fix(q, r.flow.index)
	}
}

// activate reports whether the flow had no requests waiting before.
func (q *fairQueue) activate(f *flow) bool {
	if f.index >= 0 {
		return false
	}
	f.start = max(q.virtual, f.finish)
	heap.Push(q, f)
	return true
}

// first returns the request that is served next, or nil.
func (q *fairQueue) first() *request {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items.Front().Value.(*request)
}

// serve removes the first request and charges its cost to its flow, once for
// each request.
func (q *fairQueue) serve(cost time.Duration) {
	r := q.first()
	f := r.flow
	q.virtual = max(q.virtual, f.start)
	if !r.charged {
		r.charged = true
		f.finish = f.start + cost.Seconds()/f.weight
	}
	q.remove(r)
	if f.index >= 0 {
		f.start = max(f.start, f.finish)
		heap.Fix(q, f.index)
	}
}

func (q *fairQueue) remove(r *request) {
	if r.element == nil {
		return
	}
	r.flow.items.Remove(r.element)
	r.element = nil
	q.length--
	if r.flow.items.Len() == 0 {
		heap.Remove(q, r.flow.index)
	}
}

func (q *fairQueue) Len() int { return len(q.active) }

func (q *fairQueue) Less(i, j int) bool {
	a, b := q.active[i], q.active[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.key.less(b.key)
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
