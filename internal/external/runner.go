package external

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Refusals of a runner: it has done nothing, and for ErrRunEnded and
// ErrRunInvalid it never will.
const (
	ErrRunStaleEpoch      = errors.ConstError("a higher epoch has been seen")
	ErrRunEnded           = errors.ConstError("the run, or a later one, has ended or was stopped there")
	ErrRunDeadlinePassed  = errors.ConstError("the deadline has passed")
	ErrRunNoCapacity      = errors.ConstError("no room")
	ErrRunWorkerUnhealthy = errors.ConstError("worker is not healthy")
	ErrRunInvalid         = errors.ConstError("the worker does not take the order")
	ErrRunWrongInstance   = errors.ConstError("another incarnation answers")
)

// StartRun orders a run. Deadline is on the worker's clock; it extends the
// lease of all that the worker runs, and a start that comes later is refused.
type StartRun struct {
	Task       graph.TaskID
	Run        uint64
	Spec       string
	Checkpoint string
	Deadline   time.Duration
	Epoch      uint64
}

// StopRun orders the end of a run; one that has not begun never will.
type StopRun struct {
	Task  graph.TaskID
	Run   uint64
	Epoch uint64
}

// HoldRuns extends the lease to Deadline (0 leaves it), lets the worker forget
// its ends up to Seen, and waits up to Wait for a further end.
type HoldRuns struct {
	Epoch    uint64
	Seen     uint64
	Deadline time.Duration
	Wait     time.Duration
}

// RunList is what a worker runs and which ends it has not been allowed to forget.
type RunList struct {
	// Clock is the worker's clock when it answered.
	Clock time.Duration
	// StartUnixMillis is when the worker started, in milliseconds since 1970; 0 if it does
	// not say.
	StartUnixMillis int64
	Running         []graph.RunState
	Ended           []graph.RunEnd
}

// Runner is a worker that runs tasks under one lease, and obeys only the
// highest epoch that it has seen. Instance names the incarnation that a call is
// meant for. An error other than the refusals leaves open whether the call has
// taken, or will take, effect.
type Runner interface {
	Start(ctx context.Context, instance string, order StartRun) (clock time.Duration, err error)
	Stop(ctx context.Context, instance string, order StopRun) (clock time.Duration, err error)
	Hold(ctx context.Context, instance string, order HoldRuns) (RunList, error)
}
