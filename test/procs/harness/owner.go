package harness

import (
	"context"
	"encoding/json"
	"strings"
	"time"
)

const ownerTimeout = 30 * time.Second

// Owner returns the entry that owns the cell, waiting until there is one.
func (h *Harness) Owner() *Entry {
	h.t.Helper()
	var owner *Entry
	h.Eventually("an entry owns the cell", ownerTimeout, func() bool {
		for _, e := range h.liveEntries() {
			if h.owns(e) {
				owner = e
			}
		}
		return owner != nil
	})
	return owner
}

// owns asks an entry's state dump whether its scheduler has a loaded term.
func (h *Harness) owns(e *Entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	data, err := h.ClientOf(e).DumpState(ctx)
	if err != nil {
		return false
	}
	var state struct {
		Scheduler struct{ Owner, Loaded bool } `json:"scheduler"`
	}
	return json.Unmarshal(data, &state) == nil && state.Scheduler.Owner && state.Scheduler.Loaded
}

// Running returns the processes that have not exited.
func (h *Harness) Running() []*Process { return h.running() }

// IsEntry reports whether the process is an entry and not an agent.
func (p *Process) IsEntry() bool { return !strings.HasPrefix(p.Name, "agent-") }
