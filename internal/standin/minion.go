package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// MinionCall is a request body that controls the behaviour of a minion. Any
// other body is only echoed.
type MinionCall struct {
	// Tag is counted in MinionStats.Tags.
	Tag     string `json:"tag"`
	SleepMS int64  `json:"sleep_ms"`
	// Fail, if not empty, is returned as the message of a response with status 500.
	Fail string `json:"fail"`
	// Size is the number of padding bytes in the answer.
	Size int `json:"size"`
	// Cut closes the connection after half of the answer's body.
	Cut bool `json:"cut"`
}

// MinionAnswer is the body of a minion's answer.
type MinionAnswer struct {
	Minion    string `json:"minion"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	// Echo is the body of the call and Digest its xxhash64 in hexadecimal.
	Echo    []byte `json:"echo"`
	Digest  string `json:"digest"`
	Padding string `json:"padding,omitempty"`
}

// MinionStats counts the calls of a minion.
type MinionStats struct {
	Minion string `json:"minion"`
	// Executions counts the started calls by request ID.
	Executions map[string]int `json:"executions"`
	// Tags counts the started calls by tag.
	Tags     map[string]int `json:"tags"`
	InUse    int            `json:"in_use"`
	MaxInUse int            `json:"max_in_use"`
	// Waited counts the calls that arrived while all slots were in use.
	Waited int `json:"waited"`
}

// Minion executes calls on a bounded number of slots; further calls wait for a slot.
type Minion struct {
	Faults

	id    string
	slots chan struct{}

	mu    sync.Mutex
	stats MinionStats
}

// NewMinion returns a minion with the given number of slots.
func NewMinion(id string, slots int) *Minion {
	return &Minion{
		id:    id,
		slots: make(chan struct{}, slots),
		stats: MinionStats{Minion: id, Executions: map[string]int{}, Tags: map[string]int{}},
	}
}

// Stats returns a copy of the counts.
func (m *Minion) Stats() MinionStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	stats.Executions = maps.Clone(m.stats.Executions)
	stats.Tags = maps.Clone(m.stats.Tags)
	return stats
}

func (m *Minion) call(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(external.HeaderRequestID))
	var control MinionCall
	// A body that is not a MinionCall leaves control empty.
	_ = json.Unmarshal(ctx.PostBody(), &control)
	m.acquireSlot(id, control.Tag)
	defer m.releaseSlot()
	sleepMS(control.SleepMS)
	if control.Fail != "" {
		ctx.Error(control.Fail, fasthttp.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(m.buildAnswer(ctx, id, control.Size))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if control.Cut {
		dropConnection(ctx, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2]))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (m *Minion) buildAnswer(ctx *fasthttp.RequestCtx, id string, size int) MinionAnswer {
	return MinionAnswer{
		Minion:    m.id,
		RequestID: id,
		Attempt:   string(ctx.Request.Header.Peek(external.HeaderAttempt)),
		Echo:      ctx.PostBody(),
		Digest:    fmt.Sprintf("%016x", xxhash.Sum64(ctx.PostBody())),
		Padding:   strings.Repeat("x", max(size, 0)),
	}
}

// acquireSlot waits for a free slot and counts the execution.
func (m *Minion) acquireSlot(id, tag string) {
	select {
	case m.slots <- struct{}{}:
	default:
		m.mu.Lock()
		m.stats.Waited++
		m.mu.Unlock()
		m.slots <- struct{}{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Executions[id]++
	if tag != "" {
		m.stats.Tags[tag]++
	}
	m.stats.InUse++
	m.stats.MaxInUse = max(m.stats.MaxInUse, m.stats.InUse)
}

func (m *Minion) releaseSlot() {
	m.mu.Lock()
	m.stats.InUse--
	m.mu.Unlock()
	<-m.slots
}

func (m *Minion) faults() *Faults { return &m.Faults }

func (m *Minion) observe() any { return m.Stats() }

func (m *Minion) routes(r *router.Router) {
	r.GET(external.PathHealth, handleHealth)
	r.POST(external.PathMinionCall, m.call)
}
