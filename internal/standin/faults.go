package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of the control interface.
const (
	// PathFaults serves (GET) and replaces (POST) the FaultSettings.
	PathFaults = "/control/faults"
	// PathObserve serves the activity of the stand-in, such as its executions.
	PathObserve = "/executions"
)

// FaultSettings selects the faults of a stand-in.
type FaultSettings struct {
	// Down closes the connection of each request before the request has any effect.
	Down bool `json:"down,omitempty"`
	// DelayMS delays the effect of each request, AnswerDelayMS the answer after
	// the effect.
	DelayMS       int64 `json:"delay_ms,omitempty"`
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// LoseNext is the number of answers that are dropped after the effect of the
	// request. LoseShare (0 to 1) is the share of the later ones to drop.
	LoseNext  int     `json:"lose_next,omitempty"`
	LoseShare float64 `json:"lose_share,omitempty"`
	// FailTasks, if not empty, makes a worker fail each task with this message.
	FailTasks string `json:"fail_tasks,omitempty"`
	// WorkerFault reports these failures as faults of the worker.
	WorkerFault bool `json:"worker_fault,omitempty"`
}

// Faults holds the fault settings of one stand-in.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
}

// Set replaces the settings.
func (f *Faults) Set(next FaultSettings) { f.set(next) }

func (f *Faults) set(next FaultSettings) FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = next
	return next
}

func (f *Faults) get() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// losesNextAnswer reports whether to drop the next answer. It counts LoseNext down.
func (f *Faults) losesNextAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseNext > 0 {
		f.settings.LoseNext--
		return true
	}
	return f.settings.LoseShare > 0 && rand.Float64() < f.settings.LoseShare
}

func (f *Faults) wrap(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		sleepMS(f.get().DelayMS)
		if f.get().Down {
			dropConnection(ctx, nil)
			return
		}
		next(ctx)
		sleepMS(f.get().AnswerDelayMS)
		if f.losesNextAnswer() {
			dropConnection(ctx, nil)
		}
	}
}

// dropConnection writes only the given bytes and closes the connection.
func dropConnection(ctx *fasthttp.RequestCtx, last []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write(last) })
}

func sleepMS(ms int64) {
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}
