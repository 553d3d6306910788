package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	workerCallTimeout = 2 * time.Second
	// lostAfter is the number of lists in a row in which a started task is
	// missing before it counts as lost.
	lostAfter = 2
	// renewals is the queue of lease renewals; no task has this id.
	renewals = "renewals"
)

// taskHost runs the groups core beside a worker.
type taskHost struct {
	agent  *Agent
	worker external.Worker

	mu      sync.Mutex
	core    *groups.Core
	started map[string]int  // task id to the number of lists in a row that lack it
	ended   map[string]bool // listed tasks whose end was taken in
	adopted bool            // the worker's tasks at the agent's start were taken in
	ops     opQueues
}

func newTaskHost(a *Agent, worker external.Worker) *taskHost {
	return &taskHost{
		agent:   a,
		worker:  worker,
		core:    groups.New(groups.Config{Capacity: a.cfg.Capacity}),
		started: map[string]int{},
		ended:   map[string]bool{},
	}
}

func (h *taskHost) step(events ...groups.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(events...)
}

func (h *taskHost) stepLocked(events ...groups.Event) {
	for _, ev := range events {
		for _, act := range h.core.Step(h.agent.clock(), ev) {
			h.apply(act)
		}
	}
}

// apply carries out one action. Calls of the worker are queued for each task,
// so that they keep their order and none blocks the core or another task.
func (h *taskHost) apply(act groups.Action) {
	switch act := act.(type) {
	case groups.StartTask:
		metrics.GetOrRegisterCounter("tasks.started", h.agent.registry).Inc(1)
		h.ops.push(act.Task.ID, func() { h.startTask(act) })
	case groups.StopTask:
		h.ops.push(act.ID, func() { h.endTask(act.ID, h.worker.Stop) })
	case groups.CheckpointTask:
		h.ops.push(act.ID, func() { h.endTask(act.ID, h.worker.Checkpoint) })
	case groups.RenewTasks:
		h.ops.push(renewals, func() { h.renew(act) })
	case groups.Report:
		report := reportMessage(act)
		h.agent.links.broadcast(&rpc.AgentMessage{Body: &rpc.AgentMessage_Group{Group: report}})
	}
}

// startTask checks once more that the start is still permitted, since the
// process may have been paused after the decision.
func (h *taskHost) startTask(act groups.StartTask) {
	task := act.Task
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	status, err := h.worker.Start(external.WithStartBy(ctx, h.agent.started.Add(act.StartBy)), task)
	if errors.Is(err, external.ErrNotSent) {
		h.step(groups.TaskLost{ID: task.ID, Detail: err.Error(), NotSent: true})
		return
	}
	if err != nil {
		h.step(groups.TaskLost{ID: task.ID, Detail: err.Error()})
		return
	}
	h.mu.Lock()
	h.started[task.ID] = 0
	h.mu.Unlock()
	h.step(groups.TaskUpdate{Status: status})
}

func (h *taskHost) endTask(id string, end func(context.Context, string) (external.TaskStatus, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	status, err := end(ctx, id)
	if err != nil {
		return // the next list, or the worker's own lease, settles it
	}
	h.step(groups.TaskUpdate{Status: status})
}

// renew extends the worker's own leases. They count from the worker's receipt,
// so that a call delayed by a pause of this process would outlive By.
func (h *taskHost) renew(act groups.RenewTasks) {
	now := h.agent.clock()
	lease := act.LeaseEnd - now - pauseLimit
	if lease <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	ctx = external.WithStartBy(ctx, h.agent.started.Add(now+pauseLimit))
	if err := h.worker.Renew(ctx, act.IDs, lease.Milliseconds()); err != nil {
		metrics.GetOrRegisterCounter("tasks.renew_failed", h.agent.registry).Inc(1)
	}
}

// probe lists the worker's tasks and takes in what has changed.
func (h *taskHost) probe(ctx context.Context) error {
	list, err := h.worker.List(ctx)
	if err != nil {
		return err
	}
	if h.adopt(list) {
		return nil
	}
	listed := map[string]bool{}
	for _, status := range list {
		listed[status.ID] = true
		if h.news(status) {
			h.step(groups.TaskUpdate{Status: status})
		}
	}
	h.forgetEnded(listed)
	for _, id := range h.missing(listed) {
		h.step(groups.TaskLost{ID: id, Detail: "worker does not list the task"})
	}
	return nil
}

// adopt takes in the tasks that the worker had when the agent started. It
// returns false once that has been done.
func (h *taskHost) adopt(list []external.TaskStatus) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.adopted {
		return false
	}
	for _, status := range list {
		if status.State == external.TaskRunning {
			h.started[status.ID] = 0
		}
	}
	h.stepLocked(groups.Adopt{Tasks: list})
	h.adopted = true
	return true
}

// linkable reports whether the worker's tasks are known. Without them the core
// would answer absent for a group whose tasks run.
func (h *taskHost) linkable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.adopted
}

// news reports whether a listed task's state is to be taken in: one that had
// ended in an earlier list tells nothing new.
func (h *taskHost) news(status external.TaskStatus) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended[status.ID] {
		return false
	}
	if status.State != external.TaskRunning {
		h.ended[status.ID] = true
	}
	return true
}

// forgetEnded drops the ended tasks that the worker lists no more.
func (h *taskHost) forgetEnded(listed map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.ended {
		if !listed[id] {
			delete(h.ended, id)
		}
	}
}

func (h *taskHost) missing(listed map[string]bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id := range h.started {
		if listed[id] {
			h.started[id] = 0
			continue
		}
		h.started[id]++
		if h.started[id] >= lostAfter {
			delete(h.started, id)
			out = append(out, id)
		}
	}
	return out
}

func (h *taskHost) handle(_ string, m *rpc.EntryMessage) {
	switch body := m.Body.(type) {
	case *rpc.EntryMessage_Hold:
		x := body.Hold
		h.step(groups.Permission{Allowed: h.agent.allowed()}, groups.Hold{
			Epoch:   x.Epoch,
			Ref:     groups.Ref{JobID: x.JobId, Attempt: x.Attempt},
			Tasks:   int(x.Tasks),
			PerTask: rpc.ToResources(x.PerTask),
			Stamp:   ms(x.StampMs),
			Permit:  ms(x.PermitMs),
			Lease:   ms(x.LeaseMs),
		})
	case *rpc.EntryMessage_Start:
		x := body.Start
		h.step(groups.Permission{Allowed: h.agent.allowed()}, groups.Start{
			Epoch:      x.Epoch,
			Ref:        groups.Ref{JobID: x.JobId, Attempt: x.Attempt},
			Stamp:      ms(x.StampMs),
			Permit:     ms(x.PermitMs),
			Lease:      ms(x.LeaseMs),
			FirstTask:  int(x.FirstTask),
			Payload:    json.RawMessage(x.Payload),
			Checkpoint: x.Checkpoint,
		})
	case *rpc.EntryMessage_Stop:
		x := body.Stop
		h.step(groups.Stop{
			Epoch:  x.Epoch,
			Ref:    groups.Ref{JobID: x.JobId, Attempt: x.Attempt},
			Grace:  ms(x.GraceMs),
			Reason: x.Reason,
		})
	case *rpc.EntryMessage_Renew:
		h.step(renewEvent(body.Renew))
	}
}

func renewEvent(x *rpc.Renew) groups.Renew {
	ev := groups.Renew{Epoch: x.Epoch, Stamp: ms(x.StampMs), Lease: ms(x.LeaseMs)}
	for _, g := range x.Groups {
		ev.Refs = append(ev.Refs, groups.Ref{JobID: g.JobId, Attempt: g.Attempt})
	}
	return ev
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (h *taskHost) reports() []*rpc.GroupReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return helloReports(h.core.Reports())
}

func (h *taskHost) tick(allowed bool) {
	h.step(groups.Permission{Allowed: allowed}, groups.Tick{})
}

func (h *taskHost) caretaker(stamp time.Duration) {
	h.step(groups.StoreDown{Stamp: stamp, Lease: sched.GroupLease})
}

func (h *taskHost) ownerSeen(epoch uint64) { h.step(groups.EpochObserved{Epoch: epoch}) }
func (h *taskHost) linkUp(string)          {}
func (h *taskHost) linkDown(string)        {}
func (h *taskHost) leave()                 { h.step(groups.Leave{}) }
func (h *taskHost) slotsInUse() int        { return 0 }

// settled reports whether no group is between two states and no call of the
// worker waits.
func (h *taskHost) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.AllRunning() && h.ops.idle()
}

func (h *taskHost) dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Dump()
}
