package harness

import (
	"strings"

	"github.com/coltsfootlug/coltsfootlug/test/process"
)

// Process is one started binary.
type Process = process.Process

// Running returns the processes that have not exited.
func (h *Harness) Running() []*Process { return h.running() }

// IsEntry reports whether a process is an entry (otherwise it is an agent).
func IsEntry(p *Process) bool { return !strings.HasPrefix(p.Name, "agent-") }
