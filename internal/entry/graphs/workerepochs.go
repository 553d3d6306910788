package graphs

import (
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// workerEpochs gives each incarnation of a worker the epoch for its orders: the term's token
// and, as the worker starts again under its instance name, the numbers that follow. A worker
// refuses calls with a lower epoch than it has seen, so the call that starts the first run on
// an incarnation closes it to late calls for earlier ones of its name, whichever process of the
// agent sent them. The term's lock guards it.
type workerEpochs struct {
	token      uint64
	floor      uint64                      // number of instance names that are not kept
	byInstance map[string]incarnationEpoch // of the last incarnation of each instance name
}

type incarnationEpoch struct {
	incarnation string
	number      uint64 // within the term
}

// maxKeptEpochs bounds the instance names that are kept. An incarnation whose epoch is not
// kept gets a higher one; its agent then lists its runs as for another owner.
const maxKeptEpochs = 1 << 16

func newWorkerEpochs(token uint64) workerEpochs {
	return workerEpochs{token: token, byInstance: map[string]incarnationEpoch{}}
}

// of returns the epoch of a worker's incarnation. Incarnations of one name beyond the last
// number of the term share it.
func (e *workerEpochs) of(w plan.WorkerInfo) uint64 {
	known, ok := e.byInstance[w.Instance]
	switch {
	case ok && known.incarnation == w.Incarnation():
		return e.token + known.number
	case !ok && len(e.byInstance) >= maxKeptEpochs:
		e.forget()
	}
	number := e.floor
	if ok {
		number = e.limit(known.number + 1)
	}
	e.byInstance[w.Instance] = incarnationEpoch{w.Incarnation(), number}
	return e.token + number
}

// forget drops all instance names. Each gets a higher number than it has had.
func (e *workerEpochs) forget() {
	for _, known := range e.byInstance {
		e.floor = max(e.floor, e.limit(known.number+1))
	}
	clear(e.byInstance)
}

func (e *workerEpochs) limit(number uint64) uint64 { return min(number, rpc.EpochsPerTerm-1) }
