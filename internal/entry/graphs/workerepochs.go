package graphs

import (
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// workerEpochs gives each incarnation of a worker the epoch for its orders: the term's token
// and, as the worker starts again under its instance name, the numbers that follow. A worker
// refuses calls with a lower epoch than it has seen, so the call that starts the first run on
// an incarnation closes it to late calls for earlier ones of its name, whichever process of the
// agent sent them. Nor does the number on a host fall when another name follows there: its agent
// has followed the higher one. The term's lock guards it.
type workerEpochs struct {
	token      uint64
	floor      uint64                      // number of instance names that are not kept
	highest    uint64                      // number of the term
	byInstance map[string]incarnationEpoch // of the last incarnation of each instance name
	byHost     map[string]incarnationEpoch // of the last incarnation of each worker ID
}

type incarnationEpoch struct {
	incarnation string
	number      uint64 // within the term
	first       uint64 // the number that it had first
}

// maxKeptEpochs bounds the instance names that are kept, and the worker IDs. An incarnation
// whose epoch is not kept gets a higher one; its agent then lists its runs as for another owner.
const maxKeptEpochs = 1 << 16

func newWorkerEpochs(token uint64) workerEpochs {
	return workerEpochs{token: token, byInstance: map[string]incarnationEpoch{}, byHost: map[string]incarnationEpoch{}}
}

// of returns the epoch of a worker's incarnation. Incarnations of one name beyond the last
// number of the term share it.
func (e *workerEpochs) of(w plan.WorkerInfo) uint64 {
	known, ok := e.byInstance[w.Instance]
	host, hostKnown := e.byHost[w.ID]
	if !ok && len(e.byInstance) >= maxKeptEpochs || !hostKnown && len(e.byHost) >= maxKeptEpochs {
		e.forget()
		known, ok, host, hostKnown = incarnationEpoch{}, false, incarnationEpoch{}, false
	}
	number := max(e.floor, host.number)
	switch {
	case ok && known.incarnation == w.Incarnation():
		number = max(number, known.number)
	case hostKnown && host.incarnation == w.Incarnation():
		return e.token + number // another host reports the name meanwhile
	case ok:
		number = max(number, e.limit(known.number+1))
	}
	if w.ID == w.Instance && known.incarnation != w.Incarnation() {
		number = max(number, e.highest) // any host's agent may have had an earlier name
	}
	e.highest = max(e.highest, number)
	last := incarnationEpoch{w.Incarnation(), number, number}
	for _, earlier := range []incarnationEpoch{known, host} {
		if earlier.incarnation == last.incarnation && earlier.number == number {
			last.first = min(last.first, earlier.first)
		}
	}
	e.byInstance[w.Instance], e.byHost[w.ID] = last, last
	return e.token + number
}

// above returns the epoch of a worker's incarnation, which is raised if it is not above one
// that its agent names. The last number of the term is not raised.
func (e *workerEpochs) above(w plan.WorkerInfo, epoch uint64) uint64 {
	incarnation := w.Incarnation()
	known := e.byInstance[w.Instance].incarnation == incarnation || e.byHost[w.ID].incarnation == incarnation
	current := e.of(w)
	if !known || current > epoch {
		return current
	}
	host, instance := e.byHost[w.ID], e.byInstance[w.Instance]
	host.number = e.limit(host.number + 1)
	instance.number = max(instance.number, host.number) // the next incarnation of the name gets a higher one
	e.byHost[w.ID], e.byInstance[w.Instance] = host, instance
	e.highest = max(e.highest, host.number)
	return e.token + host.number
}

// first returns the first epoch of a worker's incarnation. Orders and lists under it stay valid
// as its epoch is raised.
func (e *workerEpochs) first(w plan.WorkerInfo) uint64 { return e.token + e.byHost[w.ID].first }

// forget drops all instance names and worker IDs. Each gets a higher number than it has had.
func (e *workerEpochs) forget() {
	e.floor = e.limit(e.highest + 1)
	clear(e.byInstance)
	clear(e.byHost)
}

func (e *workerEpochs) limit(number uint64) uint64 { return min(number, rpc.EpochsPerTerm-1) }
