package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Runner is a worker in memory that runs tasks under one lease, as
// external.Runner describes.
type Runner struct {
	// RunDuration tells how long a task takes; the default is 100 ms.
	RunDuration func(task graph.TaskID) time.Duration
	// ShouldFail tells whether a run ends as failed.
	ShouldFail func(task graph.TaskID, run uint64) bool

	mu      sync.Mutex
	incarnation    int64
	startTime   time.Time
	epoch   uint64
	leaseEnd   time.Time
	acknowledged    uint64
	lastEndNumber  uint64
	runs    map[graph.TaskID]*activeRun
	unacknowledged   []graph.RunEnd
	highestStopped map[graph.TaskID]uint64 // highest run that was stopped or has ended
	endAdded chan struct{}
	startedTasks  []graph.TaskID
	faults  RunnerFaults
}

// RunnerFaults are the ways in which a runner can misbehave.
type RunnerFaults struct {
	// DropCalls calls get no answer and have no effect.
	DropCalls bool
	// ApplyDelay lets starts and stops get no answer and take effect after that time.
	ApplyDelay time.Duration
	// Unhealthy answers starts as an unhealthy worker does.
	Unhealthy bool
}

type activeRun struct {
	run   uint64
	timer *time.Timer
	checkpoint string
	startedAt time.Time
	duration  time.Duration
}

var _ external.Runner = (*Runner)(nil)

// NewRunner returns a worker that has just started.
func NewRunner() *Runner {
	r := &Runner{}
	r.Restart()
	return r
}

// Restart ends the worker's life and begins another one.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.timer.Stop()
	}
	r.incarnation++
	r.startTime = time.Now()
	r.epoch, r.acknowledged, r.lastEndNumber = 0, 0, 0
	r.leaseEnd = time.Time{}
	r.runs, r.unacknowledged, r.highestStopped = map[graph.TaskID]*activeRun{}, nil, map[graph.TaskID]uint64{}
	r.endAdded = make(chan struct{})
}

// SetFaults sets the faults of the calls that follow.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Incarnation is the number of the worker's life.
func (r *Runner) Incarnation() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// StartedTasks returns the tasks that have begun, in order.
func (r *Runner) StartedTasks() []graph.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]graph.TaskID(nil), r.startedTasks...)
}

// Running returns the number of tasks that run.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enforceLease()
	return len(r.runs)
}

func (r *Runner) uptime() time.Duration { return time.Since(r.startTime) }

// applyWithFaults applies an order with the faults that are set.
func (r *Runner) applyWithFaults(ctx context.Context, instance string, apply func() error) (time.Duration, error) {
	r.mu.Lock()
	faults := r.faults
	r.mu.Unlock()
	switch {
	case faults.DropCalls:
		<-ctx.Done()
		return 0, external.ErrUnavailable
	case faults.ApplyDelay > 0:
		time.AfterFunc(faults.ApplyDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			_ = apply() // nobody hears the answer
		})
		<-ctx.Done()
		return 0, external.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uptime(), apply()
}

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

// enforceLease kills everything once the lease has run out.
func (r *Runner) enforceLease() {
	if r.leaseEnd.IsZero() || time.Now().Before(r.leaseEnd) {
		return
	}
	for task := range r.runs {
		r.endRun(task, graph.EndLeaseExpired)
	}
}

// Start orders a run.
func (r *Runner) Start(ctx context.Context, instance string, o external.StartRun) (time.Duration, error) {
	return r.applyWithFaults(ctx, instance, func() error {
		r.enforceLease()
		switch run := r.runs[o.Task]; {
		case r.staleEpoch(o.Epoch):
			return external.ErrRunEpoch
		case r.faults.Unhealthy:
			return external.ErrRunBusy
		case run != nil && run.run == o.Run:
			return nil
		case run != nil || r.highestStopped[o.Task] >= o.Run:
			return external.ErrRunOld
		case r.uptime() > o.Deadline:
			return external.ErrRunLate
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
	run := &activeRun{run: o.Run, startedAt: time.Now(), duration: work}
	r.startedTasks = append(r.startedTasks, o.Task)
	r.runs[o.Task] = run
	run.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.enforceLease()
		if r.runs[o.Task] != run {
			return
		}
		how := graph.EndDone
		if r.ShouldFail != nil && r.ShouldFail(o.Task, o.Run) {
			how = graph.EndFailed
		}
		r.endRun(o.Task, how)
	})
}

func (r *Runner) endRun(task graph.TaskID, how graph.EndKind) {
	run := r.runs[task]
	run.timer.Stop()
	delete(r.runs, task)
	r.highestStopped[task] = max(r.highestStopped[task], run.run)
	r.lastEndNumber++
	r.unacknowledged = append(r.unacknowledged, graph.RunEnd{Number: r.lastEndNumber, Task: task, Run: run.run, Kind: how, Checkpoint: run.checkpoint})
	close(r.endAdded)
	r.endAdded = make(chan struct{})
}

// Stop orders the end of a run.
func (r *Runner) Stop(ctx context.Context, instance string, o external.StopRun) (time.Duration, error) {
	return r.applyWithFaults(ctx, instance, func() error {
		r.enforceLease()
		if r.staleEpoch(o.Epoch) {
			return external.ErrRunEpoch
		}
		r.highestStopped[o.Task] = max(r.highestStopped[o.Task], o.Run)
		if run := r.runs[o.Task]; run != nil && run.run == o.Run {
			r.endRun(o.Task, graph.EndStopped)
		}
		return nil
	})
}

// Hold extends the lease, lists the runs and waits for an end.
func (r *Runner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.mu.Lock()
	silent := r.faults.DropCalls
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return external.RunList{}, external.ErrUnavailable
	}
	r.mu.Lock()
	r.enforceLease()
	if r.staleEpoch(o.Epoch) {
		r.mu.Unlock()
		return external.RunList{}, external.ErrRunEpoch
	}
	r.extendLease(o.Deadline)
	r.acknowledged = max(r.acknowledged, o.Seen)
	r.dropAcknowledged()
	if len(r.unacknowledged) == 0 && o.Wait > 0 {
		r.waitForEnd(ctx, o.Wait)
	}
	defer r.mu.Unlock()
	return r.runList(), nil
}

// waitForEnd waits for an end; the lock is held before and after.
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

func (r *Runner) dropAcknowledged() {
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].Number <= r.acknowledged {
		r.unacknowledged = r.unacknowledged[1:]
	}
}

func (r *Runner) runList() external.RunList {
	out := external.RunList{Clock: r.uptime(), Born: r.incarnation, Ended: append([]graph.RunEnd(nil), r.unacknowledged...)}
	for task, run := range r.runs {
		percent := int(100 * time.Since(run.startedAt) / run.duration)
		out.Running = append(out.Running, graph.RunState{Task: task, Run: run.run, Checkpoint: run.checkpoint, Percent: min(percent, 99)})
	}
	return out
}

// Instance is the name that the worker gives itself.
func (r *Runner) Instance() string { return fmt.Sprintf("runner-%p", r) }
