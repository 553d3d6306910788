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
	// Work tells how long a task takes; the default is 100 ms.
	Work func(task graph.TaskID) time.Duration
	// Fails tells whether a run ends as failed.
	Fails func(task graph.TaskID, run uint64) bool

	mu      sync.Mutex
	born    int64
	start   time.Time
	epoch   uint64
	lease   time.Time
	seen    uint64
	number  uint64
	runs    map[graph.TaskID]*running
	ended   []graph.RunEnd
	highest map[graph.TaskID]uint64 // highest run that was stopped or has ended
	changed chan struct{}
	starts  []graph.TaskID
	faults  RunnerFaults
}

// RunnerFaults are the ways in which a runner can misbehave.
type RunnerFaults struct {
	// Silent calls get no answer and have no effect.
	Silent bool
	// LateBy lets starts and stops get no answer and take effect after that time.
	LateBy time.Duration
	// Refuse answers starts as an unhealthy worker does.
	Refuse bool
}

type running struct {
	run   uint64
	timer *time.Timer
	saved string
	began time.Time
	work  time.Duration
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
	r.born++
	r.start = time.Now()
	r.epoch, r.seen, r.number = 0, 0, 0
	r.lease = time.Time{}
	r.runs, r.ended, r.highest = map[graph.TaskID]*running{}, nil, map[graph.TaskID]uint64{}
	r.changed = make(chan struct{})
}

// SetFaults sets the faults of the calls that follow.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Born is the number of the worker's life.
func (r *Runner) Born() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// Starts returns the tasks that have begun, in order.
func (r *Runner) Starts() []graph.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]graph.TaskID(nil), r.starts...)
}

// Running returns the number of tasks that run.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse()
	return len(r.runs)
}

func (r *Runner) clock() time.Duration { return time.Since(r.start) }

// call applies an order with the faults that are set.
func (r *Runner) call(ctx context.Context, instance string, apply func() error) (time.Duration, error) {
	r.mu.Lock()
	faults := r.faults
	r.mu.Unlock()
	switch {
	case faults.Silent:
		<-ctx.Done()
		return 0, external.ErrUnavailable
	case faults.LateBy > 0:
		time.AfterFunc(faults.LateBy, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			_ = apply() // nobody hears the answer
		})
		<-ctx.Done()
		return 0, external.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock(), apply()
}

func (r *Runner) fenced(epoch uint64) bool {
	if epoch < r.epoch {
		return true
	}
	r.epoch = epoch
	return false
}

func (r *Runner) extend(deadline time.Duration) {
	if t := r.start.Add(deadline); deadline > 0 && t.After(r.lease) {
		r.lease = t
	}
}

// lapse kills everything once the lease has run out.
func (r *Runner) lapse() {
	if r.lease.IsZero() || time.Now().Before(r.lease) {
		return
	}
	for task := range r.runs {
		r.end(task, graph.EndLeaseExpired)
	}
}

// Start orders a run.
func (r *Runner) Start(ctx context.Context, instance string, o external.StartRun) (time.Duration, error) {
	return r.call(ctx, instance, func() error {
		r.lapse()
		switch run := r.runs[o.Task]; {
		case r.fenced(o.Epoch):
			return external.ErrRunStaleEpoch
		case r.faults.Refuse:
			return external.ErrRunWorkerUnhealthy
		case run != nil && run.run == o.Run:
			return nil
		case run != nil || r.highest[o.Task] >= o.Run:
			return external.ErrRunEnded
		case r.clock() > o.Deadline:
			return external.ErrRunDeadlinePassed
		}
		r.extend(o.Deadline)
		r.begin(o)
		return nil
	})
}

func (r *Runner) begin(o external.StartRun) {
	work := 100 * time.Millisecond
	if r.Work != nil {
		work = r.Work(o.Task)
	}
	run := &running{run: o.Run, began: time.Now(), work: work}
	r.starts = append(r.starts, o.Task)
	r.runs[o.Task] = run
	run.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lapse()
		if r.runs[o.Task] != run {
			return
		}
		how := graph.EndDone
		if r.Fails != nil && r.Fails(o.Task, o.Run) {
			how = graph.EndFailed
		}
		r.end(o.Task, how)
	})
}

func (r *Runner) end(task graph.TaskID, how graph.EndKind) {
	run := r.runs[task]
	run.timer.Stop()
	delete(r.runs, task)
	r.highest[task] = max(r.highest[task], run.run)
	r.number++
	r.ended = append(r.ended, graph.RunEnd{Number: r.number, Task: task, Run: run.run, Kind: how, Checkpoint: run.saved})
	close(r.changed)
	r.changed = make(chan struct{})
}

// Stop orders the end of a run.
func (r *Runner) Stop(ctx context.Context, instance string, o external.StopRun) (time.Duration, error) {
	return r.call(ctx, instance, func() error {
		r.lapse()
		if r.fenced(o.Epoch) {
			return external.ErrRunStaleEpoch
		}
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if run := r.runs[o.Task]; run != nil && run.run == o.Run {
			r.end(o.Task, graph.EndStopped)
		}
		return nil
	})
}

// Hold extends the lease, lists the runs and waits for an end.
func (r *Runner) Hold(ctx context.Context, instance string, o external.HoldRuns) (external.RunList, error) {
	r.mu.Lock()
	silent := r.faults.Silent
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return external.RunList{}, external.ErrUnavailable
	}
	r.mu.Lock()
	r.lapse()
	if r.fenced(o.Epoch) {
		r.mu.Unlock()
		return external.RunList{}, external.ErrRunStaleEpoch
	}
	r.extend(o.Deadline)
	r.seen = max(r.seen, o.Seen)
	r.forget()
	if len(r.ended) == 0 && o.Wait > 0 {
		r.await(ctx, o.Wait)
	}
	defer r.mu.Unlock()
	return r.list(), nil
}

// await waits for an end; the lock is held before and after.
func (r *Runner) await(ctx context.Context, wait time.Duration) {
	changed := r.changed
	r.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	r.mu.Lock()
}

func (r *Runner) forget() {
	for len(r.ended) > 0 && r.ended[0].Number <= r.seen {
		r.ended = r.ended[1:]
	}
}

func (r *Runner) list() external.RunList {
	out := external.RunList{Clock: r.clock(), StartUnixMillis: r.born, Ended: append([]graph.RunEnd(nil), r.ended...)}
	for task, run := range r.runs {
		percent := int(100 * time.Since(run.began) / run.work)
		out.Running = append(out.Running, graph.RunState{Task: task, Run: run.run, Checkpoint: run.saved, Percent: min(percent, 99)})
	}
	return out
}

// Instance is the name that the worker gives itself.
func (r *Runner) Instance() string { return fmt.Sprintf("runner-%p", r) }
