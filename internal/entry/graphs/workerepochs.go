package graphs

import (
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// workerEpochs gives each incarnation of a worker the epoch for its orders: the term's token,
// and a number that rises with each incarnation that the term has seen. A worker refuses calls
// with a lower epoch than it has seen, so the call that starts the first run on an incarnation
// closes it to late calls for earlier ones of its name, whichever process of the agent sent
// them. The term's lock guards it.
type workerEpochs struct {
	token      uint64
	drawn      uint64
	byInstance map[string]incarnationEpoch // of the last incarnation of each instance name
}

type incarnationEpoch struct {
	incarnation string
	epoch       uint64
}

// maxKeptEpochs bounds the instance names that are kept. An incarnation whose epoch is not
// kept gets a higher one; its agent then lists its runs as for another owner.
const maxKeptEpochs = 1 << 16

func newWorkerEpochs(token uint64) workerEpochs {
	return workerEpochs{token: token, byInstance: map[string]incarnationEpoch{}}
}

// of returns the epoch of a worker's incarnation.
func (e *workerEpochs) of(w plan.WorkerInfo) uint64 {
	known, ok := e.byInstance[w.Instance]
	if ok && known.incarnation == w.Incarnation() {
		return known.epoch
	}
	if !ok && len(e.byInstance) >= maxKeptEpochs {
		clear(e.byInstance)
	}
	e.drawn = min(e.drawn+1, rpc.EpochsPerTerm-1)
	next := incarnationEpoch{w.Incarnation(), e.token*rpc.EpochsPerTerm + e.drawn}
	e.byInstance[w.Instance] = next
	return next.epoch
}
