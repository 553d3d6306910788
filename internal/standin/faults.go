package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// The paths of the control interface.
const (
	// PathFaults reads (GET) and replaces (POST) the FaultSettings.
	PathFaults = "/control/faults"
	// PathObserve tells what the stand-in has done.
	PathObserve = "/executions"
)

// FaultSettings says how a stand-in fails.
type FaultSettings struct {
	// Down drops each request's connection before it has any effect.
	Down bool `json:"down,omitempty"`
	// DelayMS passes before the effect, AnswerDelayMS between effect and answer.
	DelayMS       int64 `json:"delay_ms,omitempty"`
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// LoseNext answers are dropped after the effect, then a LoseShare (0 to 1)
	// of the rest.
	LoseNext  int     `json:"lose_next,omitempty"`
	LoseShare float64 `json:"lose_share,omitempty"`
	// FailTasks lets a worker fail each task it starts, with this message.
	FailTasks string `json:"fail_tasks,omitempty"`
	// WorkerFault marks these failures as the worker's own.
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

// losesNextAnswer tells whether the next answer is lost.
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

// dropConnection closes the connection after writing no more than the given bytes.
func dropConnection(ctx *fasthttp.RequestCtx, last []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write(last) })
}

func sleepMS(ms int64) {
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}
