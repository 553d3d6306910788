package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Runner is an in-memory worker that runs all tasks under one lease. It
// implements external.Runner.
type Runner struct {
	// RunDuration returns the run time of a task. The default is 100 ms.
	RunDuration func(task graph.TaskID) time.Duration
	// ShouldFail reports whether a run ends as failed.
	ShouldFail func(task graph.TaskID, run uint64) bool
	// ShouldCrash reports whether a task crashes the worker crashDelay after its start. The
	// worker is back after crashDuration.
	ShouldCrash func(task graph.TaskID) bool
	// Checkpoint returns the checkpoint that the runs of a task list from their start on.
	Checkpoint func(task graph.TaskID) string
	// MaxListedEnds limits the ends in one list. 0 means no limit.
	MaxListedEnds int

	mu             sync.Mutex
	startCount     int64
	startTime      time.Time
	epoch          uint64
	leaseEnd       time.Time
	lastEndNumber  uint64
	runs           map[graph.TaskID]*activeRun
	unacknowledged []graph.RunEnd
	endedSpans     map[uint64]*RunSpan     // of unacknowledged, by number
	expiredAt      time.Time               // when the lease was last over
	highestStopped map[graph.TaskID]uint64 // highest run of each task that was stopped or has ended
	endAdded       chan struct{}
	startedTasks   []graph.TaskID
	spans          []*RunSpan // in order of their starts
	faults         RunnerFaults
	down           bool // crashed and not back yet
	lateAcks       atomic.Int32
	lateOrders     atomic.Int32
}

const (
	crashDelay    = 10 * time.Millisecond
	crashDuration = 1500 * time.Millisecond
)

// RunnerFaults selects the faults of a runner.
type RunnerFaults struct {
	// DropCalls drops calls: they have no effect and get no answer.
	DropCalls bool
	// ApplyDelay, if positive, is the time after which starts and stops take
	// effect. They get no answer.
	ApplyDelay time.Duration
	// HoldDelay, if positive, is the time after which the leases and acknowledgements of
	// Hold calls take effect. They get no answer.
	HoldDelay time.Duration
	// AckDelay is HoldDelay for the Hold calls that acknowledge ends.
	AckDelay time.Duration
	// Unhealthy refuses starts as an unhealthy worker does.
	Unhealthy bool
}

type activeRun struct {
	run        uint64
	timer      *time.Timer
	checkpoint string
	startedAt  time.Time
	duration   time.Duration
	span       *RunSpan
}

// RunSpan is the time for which a run was at work. End is the zero time while it is.
type RunSpan struct {
	Task       graph.TaskID
	Run        uint64
	Begin, End time.Time
	// DoneNoted is set once the end of a run that is done was acknowledged, unless the
	// lease had expired between the two.
	DoneNoted bool
}

// end ends a run without a trace in the runner's lists.
func (a *activeRun) end() {
	a.timer.Stop()
	a.span.End = time.Now()
}

var _ external.Runner = (*Runner)(nil)

// NewRunner returns a worker that has just started.
func NewRunner() *Runner {
	r := &Runner{}
	r.Restart()
	return r
}

// Restart simulates a restart of the worker: its runs, ends and lease are lost.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.end()
	}
	r.startCount++
	r.down = false
	r.startTime = time.Now()
	r.epoch, r.lastEndNumber = 0, 0
	r.leaseEnd = time.Time{}
	r.runs, r.unacknowledged, r.highestStopped = map[graph.TaskID]*activeRun{}, nil, map[graph.TaskID]uint64{}
	r.endedSpans, r.expiredAt = map[uint64]*RunSpan{}, time.Time{}
	r.endAdded = make(chan struct{})
}

// crash loses the worker's runs. It refuses all calls until it restarts.
func (r *Runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.end()
	}
	r.runs, r.unacknowledged = map[graph.TaskID]*activeRun{}, nil
	r.down = true
	close(r.endAdded)
	r.endAdded = make(chan struct{})
	time.AfterFunc(crashDuration, r.Restart)
}

// SetFaults sets the faults of later calls.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// StartCount returns the number of starts of the worker. Its run lists carry this
// number in place of a start time, so that a restart is visible.
func (r *Runner) StartCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startCount
}

// StartedTasks returns the tasks of all started runs, in order of their starts.
func (r *Runner) StartedTasks() []graph.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]graph.TaskID(nil), r.startedTasks...)
}

// Spans returns when runs were at work, in order of their starts.
func (r *Runner) Spans() []RunSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]RunSpan, len(r.spans))
	for i, s := range r.spans {
		out[i] = *s
	}
	return out
}

// LeaseLeft returns the time until the worker's lease ends, 0 if it has none.
func (r *Runner) LeaseLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Until(r.leaseEnd))
}

// Running returns the number of running tasks.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enforceLease()
	return len(r.runs)
}

func (r *Runner) uptime() time.Duration { return time.Since(r.startTime) }

// applyWithFaults applies an order under the current faults.
func (r *Runner) applyWithFaults(ctx context.Context, instance string, apply func() error) (time.Duration, error) {
	r.mu.Lock()
	faults, down := r.faults, r.down
	r.mu.Unlock()
	switch {
	case down:
		return 0, external.ErrUnavailable
	case faults.DropCalls:
		<-ctx.Done()
		return 0, external.ErrUnavailable
	case faults.ApplyDelay > 0:
		r.lateOrders.Add(1)
		time.AfterFunc(faults.ApplyDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			_ = apply() // the caller gets no answer
		})
		<-ctx.Done()
		return 0, external.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uptime(), apply()
}

// staleEpoch reports whether epoch is below the highest one seen; if not, it
// becomes the highest one seen.
func (r *Runner) staleEpoch(epoch uint64) bool {
	if epoch < r.epoch {
		return true
	}
	r.epoch = epoch
	return false
}

func (r *Runner) extendLease(deadline time.Duration) {
	if t := r.startTime.Add(deadline); deadline > 0 && t.After(r.leaseEnd) {
		r.leaseEnd = t
	}
}

// enforceLease ends all runs if the lease has expired.
func (r *Runner) enforceLease() {
	if r.leaseEnd.IsZero() || time.Now().Before(r.leaseEnd) {
		return
	}
	r.expiredAt = r.leaseEnd
	for task := range r.runs {
		r.endRun(task, graph.EndLeaseExpired)
	}
}

// Start starts a run of a task.
func (r *Runner) Start(ctx context.Context, instance string, o external.StartRun) (time.Duration, error) {
	return r.applyWithFaults(ctx, instance, func() error {
		r.enforceLease()
		switch run := r.runs[o.Task]; {
		case r.staleEpoch(o.Epoch):
			return external.ErrRunStaleEpoch
		case r.faults.Unhealthy:
			return external.ErrRunWorkerUnhealthy
		case run != nil && run.run == o.Run:
			return nil
		case run != nil || r.highestStopped[o.Task] >= o.Run:
			return external.ErrRunEnded
		case r.uptime() > o.Deadline:
			return external.ErrRunDeadlinePassed
		}
		r.extendLease(o.Deadline)
		r.startRun(o)
		return nil
	})
}

func (r *Runner) startRun(o external.StartRun) {
	work := 100 * time.Millisecond
	if r.RunDuration != nil {
		work = r.RunDuration(o.Task)
	}
	now := time.Now()
	run := &activeRun{run: o.Run, startedAt: now, duration: work, span: &RunSpan{Task: o.Task, Run: o.Run, Begin: now}}
	r.startedTasks = append(r.startedTasks, o.Task)
	r.spans = append(r.spans, run.span)
	r.runs[o.Task] = run
	if r.Checkpoint != nil {
		run.checkpoint = r.Checkpoint(o.Task)
	}
	if r.ShouldCrash != nil && r.ShouldCrash(o.Task) {
		time.AfterFunc(crashDelay, r.crash)
	}
	run.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.enforceLease()
		if r.runs[o.Task] != run {
			return
		}
		kind := graph.EndDone
		if r.ShouldFail != nil && r.ShouldFail(o.Task, o.Run) {
			kind = graph.EndFailed
		}
		r.endRun(o.Task, kind)
	})
}

func (r *Runner) endRun(task graph.TaskID, kind graph.EndKind) {
	run := r.runs[task]
	run.end()
	delete(r.runs, task)
	r.highestStopped[task] = max(r.highestStopped[task], run.run)
	r.lastEndNumber++
	r.endedSpans[r.lastEndNumber] = run.span
	r.unacknowledged = append(r.unacknowledged, graph.RunEnd{Number: r.lastEndNumber, Task: task, Run: run.run, Kind: kind, Checkpoint: run.checkpoint})
	close(r.endAdded)
	r.endAdded = make(chan struct{})
}

// Stop ends a run and prevents its later start.
func (r *Runner) Stop(ctx context.Context, instance string, o external.StopRun) (time.Duration, error) {
	return r.applyWithFaults(ctx, instance, func() error {
		r.enforceLease()
		if r.staleEpoch(o.Epoch) {
			return external.ErrRunStaleEpoch
		}
		r.highestStopped[o.Task] = max(r.highestStopped[o.Task], o.Run)
		if run := r.runs[o.Task]; run != nil && run.run == o.Run {
			r.endRun(o.Task, graph.EndStopped)
		}
		return nil
	})
}

// Hold extends the lease and returns the runs. If there are no unacknowledged
// ends, it first waits for one, for at most o.Wait.
func (r *Runner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.mu.Lock()
	silent, down, late := r.faults.DropCalls, r.down, r.faults.HoldDelay
	if o.Seen > 0 {
		late = max(late, r.faults.AckDelay)
	}
	r.mu.Unlock()
	if down {
		return external.RunList{}, external.ErrUnavailable
	}
	if late > 0 {
		r.countLateAck(o)
		time.AfterFunc(late, func() {
			_, _ = r.holdNow(context.Background(), external.HoldRuns{Epoch: o.Epoch, Seen: o.Seen, Deadline: o.Deadline})
		})
	}
	if silent || late > 0 {
		<-ctx.Done()
		return external.RunList{}, external.ErrUnavailable
	}
	return r.holdNow(ctx, o)
}

func (r *Runner) countLateAck(o external.HoldRuns) {
	if o.Seen > 0 {
		r.lateAcks.Add(1)
	}
}

// LateAcks returns the number of Hold calls whose acknowledgements take effect late.
func (r *Runner) LateAcks() int { return int(r.lateAcks.Load()) }

// LateOrders returns the number of starts and stops that take effect late.
func (r *Runner) LateOrders() int { return int(r.lateOrders.Load()) }

// Unacknowledged returns the number of ends that wait for an acknowledgement.
func (r *Runner) Unacknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unacknowledged)
}

func (r *Runner) holdNow(ctx context.Context, o external.HoldRuns) (external.RunList, error) {
	r.mu.Lock()
	r.enforceLease()
	if r.staleEpoch(o.Epoch) {
		r.mu.Unlock()
		return external.RunList{}, external.ErrRunStaleEpoch
	}
	r.extendLease(o.Deadline)
	r.dropAcknowledged(o.Seen)
	if len(r.unacknowledged) == 0 && o.Wait > 0 {
		r.waitForEnd(ctx, o.Wait)
	}
	defer r.mu.Unlock()
	if r.down {
		return external.RunList{}, external.ErrUnavailable
	}
	return r.runList(), nil
}

// waitForEnd waits until a run ends. The caller holds the lock, which is
// released during the wait.
func (r *Runner) waitForEnd(ctx context.Context, wait time.Duration) {
	changed := r.endAdded
	r.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	r.mu.Lock()
}

// dropAcknowledged forgets the ends up to a number. Ends that follow are kept whatever their
// numbers.
func (r *Runner) dropAcknowledged(number uint64) {
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].Number <= number {
		end := r.unacknowledged[0]
		if span := r.endedSpans[end.Number]; end.Kind == graph.EndDone && r.expiredAt.Before(span.End) {
			span.DoneNoted = true
		}
		delete(r.endedSpans, end.Number)
		r.unacknowledged = r.unacknowledged[1:]
	}
}

func (r *Runner) runList() external.RunList {
	ends := r.unacknowledged
	if r.MaxListedEnds > 0 {
		ends = ends[:min(r.MaxListedEnds, len(ends))]
	}
	out := external.RunList{Clock: r.uptime(), StartUnixMillis: r.startCount, Ended: slices.Clone(ends), MoreEnds: len(ends) < len(r.unacknowledged)}
	for task, run := range r.runs {
		percent := int(100 * time.Since(run.startedAt) / run.duration)
		out.Running = append(out.Running, graph.RunState{Task: task, Run: run.run, Checkpoint: run.checkpoint, Percent: min(percent, 99)})
	}
	return out
}

// Instance returns a name that is unique to this runner.
func (r *Runner) Instance() string { return fmt.Sprintf("runner-%p", r) }
