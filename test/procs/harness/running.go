package harness

import "strings"

// Running returns the processes that have not exited.
func (h *Harness) Running() []*Process { return h.running() }

// IsEntry reports whether the process is an entry and not an agent.
func (p *Process) IsEntry() bool { return !strings.HasPrefix(p.Name, "agent-") }
