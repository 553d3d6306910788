package keeper

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// sentStarts holds the starts that this process has sent to the worker's incarnation. A worker
// that is past the deadline of a start, or has seen a higher epoch, does not begin the run any
// more, whether or not a stop was answered. Of a start that another process of the agent has
// sent, or one for an earlier incarnation, the deadline is not known.
type sentStarts struct{ runs map[runRef]sentStart }

type sentStart struct {
	epoch    uint64
	deadline time.Duration // the latest of the run's start calls, on the worker's clock
	sentAt   time.Duration // on the agent's clock
	closed   bool          // no further call may be made
}

// sentStartRetention is how long a start is remembered after its last call. The owner orders a
// run without outcome to stop long before.
const sentStartRetention = 2 * lateCallBound

// begin records a start call that is about to be sent. It reports whether it may be sent.
func (s *sentStarts) begin(ref runRef, epoch uint64, deadline, now time.Duration) bool {
	before := s.runs[ref]
	if before.closed {
		return false
	}
	if s.runs == nil {
		s.runs = map[runRef]sentStart{}
	}
	for old, start := range s.runs {
		if now-start.sentAt > sentStartRetention {
			delete(s.runs, old)
		}
	}
	s.runs[ref] = sentStart{epoch: max(epoch, before.epoch), deadline: max(deadline, before.deadline), sentAt: now}
	return true
}

// closeIfOver reports whether no start of a run can take effect after a list that was made
// under an epoch. If so, none is sent any more.
func (s *sentStarts) closeIfOver(ref runRef, list external.RunList, epoch uint64) bool {
	start, sent := s.runs[ref]
	if !sent || list.Clock <= start.deadline && epoch <= start.epoch {
		return false
	}
	start.closed = true
	s.runs[ref] = start
	return true
}

// reset forgets all starts, as another incarnation does not take them for its own.
func (s *sentStarts) reset() { s.runs = nil }
