package external

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Errors for orders that a runner rejects without executing them. ErrRunEnded and
// ErrRunInvalid are permanent: the same order will never be accepted.
const (
	ErrRunStaleEpoch      = errors.ConstError("a higher epoch has been seen")
	ErrRunEnded           = errors.ConstError("the run, or a later one, has ended or was stopped there")
	ErrRunDeadlinePassed  = errors.ConstError("the deadline has passed")
	ErrRunNoCapacity      = errors.ConstError("no room")
	ErrRunWorkerUnhealthy = errors.ConstError("worker is not healthy")
	ErrRunInvalid         = errors.ConstError("the worker does not take the order")
	ErrRunWrongInstance   = errors.ConstError("another incarnation answers")
)

// ErrForeignWorker means that a heartbeat is not that of the worker on this host.
const ErrForeignWorker = errors.ConstError("not the worker on this host")

// ErrRunNotListening is an ErrUnavailable: no process listens at the worker's address.
const ErrRunNotListening = errors.ConstError("nothing listens at the address")

// StartRun is the order to start a run. Deadline is on the worker's clock; it
// extends the lease of everything that the worker runs. An order that arrives
// after Deadline is rejected.
type StartRun struct {
	Task       graph.TaskID
	Run        uint64
	Spec       string
	Checkpoint string
	Deadline   time.Duration
	Epoch      uint64
}

// StopRun is the order to stop a run. A run that has not started yet will not
// start later.
type StopRun struct {
	Task  graph.TaskID
	Run   uint64
	Epoch uint64
}

// HoldRuns is the order to extend the lease to Deadline (0 leaves it unchanged).
// It acknowledges the ended runs up to number Seen, which the worker may then
// forget, and waits up to Wait for another run to end.
type HoldRuns struct {
	Epoch    uint64
	Seen     uint64
	Deadline time.Duration
	Wait     time.Duration
}

// RunList lists a worker's running runs and its ended runs that have not been
// acknowledged. To find out whether a worker has a run, use Presence.
type RunList struct {
	// Clock is the worker's clock at the time of the response.
	Clock time.Duration
	// StartUnixMillis is the worker's start time in milliseconds since 1970; 0
	// if the worker does not report it.
	StartUnixMillis int64
	// Running is always complete.
	Running []graph.RunState
	// Ended holds the ends with the lowest numbers, in order.
	Ended []graph.RunEnd
	// MoreEnds is set if the worker may hold ends behind Ended. They are listed once those
	// in Ended have been acknowledged.
	MoreEnds bool
}

// Presence returns what the list shows of a run. A run that is missing from a list with
// MoreEnds may have ended.
func (l *RunList) Presence(task graph.TaskID, run uint64) graph.Presence {
	for _, r := range l.Running {
		if r.Task == task && r.Run == run {
			return graph.PresenceListed
		}
	}
	for _, e := range l.Ended {
		if e.Task == task && e.Run == run {
			return graph.PresenceListed
		}
	}
	if l.MoreEnds {
		return graph.PresenceUnknown
	}
	return graph.PresenceAbsent
}

// Runner is a worker that runs tasks under one lease. It accepts only orders of
// the highest epoch it has seen. instance is the incarnation that the call is
// meant for; the worker cannot tell it from another one of the same name. After an
// ErrUnavailable that is not an ErrNotSent, the call may have taken effect or may still do
// so, also on the next incarnation of that name.
type Runner interface {
	Start(ctx context.Context, instance string, order StartRun) (clock time.Duration, err error)
	Stop(ctx context.Context, instance string, order StopRun) (clock time.Duration, err error)
	Hold(ctx context.Context, instance string, order HoldRuns) (RunList, error)
}
