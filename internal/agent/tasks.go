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
	// missedListsUntilLost is the number of consecutive task lists of the worker
	// from which a started task must be missing to count as lost.
	missedListsUntilLost = 2
	// renewalQueueKey is the key of the queue for lease renewals. No task has
	// this ID.
	renewalQueueKey = "renewals"
)

// taskHost runs the groups core for a worker and carries out its actions.
type taskHost struct {
	agent  *Agent
	worker external.Worker

	mu          sync.Mutex
	core        *groups.Core
	missedLists map[string]int  // by ID of a started task: consecutive lists that lack it
	seenEnded   map[string]bool // IDs of listed tasks whose end was passed to the core
	adopted     bool            // whether the tasks found at the agent's start were adopted
	renewals    pendingRenewals // a call of renewNext is queued while it is not empty
	ops         opQueues
}

func newTaskHost(a *Agent, worker external.Worker) *taskHost {
	return &taskHost{
		agent:       a,
		worker:      worker,
		core:        groups.New(groups.Config{Capacity: a.cfg.Capacity}),
		missedLists: map[string]int{},
		seenEnded:   map[string]bool{},
	}
}

func (h *taskHost) step(events ...groups.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(events...)
}

func (h *taskHost) stepLocked(events ...groups.Event) {
	for _, ev := range events {
		for _, act := range h.core.Step(h.agent.now(), ev) {
			h.apply(act)
		}
	}
}

// apply carries out one action. Calls to the worker are queued by task, so that
// calls for one task keep their order and no call blocks the core or another task.
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
		queued := !h.renewals.empty()
		h.renewals.add(act)
		if !queued {
			h.ops.push(renewalQueueKey, h.renewNext)
		}
	case groups.Report:
		report := reportMessage(act)
		h.agent.links.broadcast(&rpc.AgentMessage{Body: &rpc.AgentMessage_Group{Group: report}})
	}
}

// startTask starts a task on the worker. StartBy is checked again right before
// the call, since the process may have been paused after the decision.
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
	h.missedLists[task.ID] = 0
	h.mu.Unlock()
	h.step(groups.TaskUpdate{Status: status})
}

// endTask stops or checkpoints a task on the worker.
func (h *taskHost) endTask(id string, stopOrCheckpoint func(context.Context, string) (external.TaskStatus, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	status, err := stopOrCheckpoint(ctx, id)
	if err != nil {
		return // the next task list or the end of the worker's own lease resolves it
	}
	h.step(groups.TaskUpdate{Status: status})
}

// renewNext sends one of the pending renewals, and queues the next call.
func (h *taskHost) renewNext() {
	h.mu.Lock()
	ids, leaseEnd := h.renewals.take()
	if !h.renewals.empty() {
		h.ops.push(renewalQueueKey, h.renewNext)
	}
	h.mu.Unlock()
	h.renew(ids, leaseEnd)
}

// renew renews the worker's own leases. They run from the receipt at the worker,
// so that a renewal sent after a pause of this process would last beyond
// leaseEnd. The lease is therefore shortened by pauseLimit, and the call is not
// made later than pauseLimit from now.
func (h *taskHost) renew(ids []string, leaseEnd time.Duration) {
	now := h.agent.now()
	lease := leaseEnd - now - pauseLimit
	if lease <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	ctx = external.WithStartBy(ctx, h.agent.started.Add(now+pauseLimit))
	if err := h.worker.Renew(ctx, ids, lease.Milliseconds()); err != nil {
		metrics.GetOrRegisterCounter("tasks.renew_failed", h.agent.registry).Inc(1)
	}
}

// probe lists the worker's tasks and passes changes to the core.
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
		if h.needsUpdate(status) {
			h.step(groups.TaskUpdate{Status: status})
		}
	}
	h.forgetEnded(listed)
	for _, id := range h.collectLost(listed) {
		h.step(groups.TaskLost{ID: id, Detail: "worker does not list the task"})
	}
	return nil
}

// adopt passes the tasks found on the worker at the agent's start to the core. It
// returns false if that has been done before.
func (h *taskHost) adopt(list []external.TaskStatus) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.adopted {
		return false
	}
	for _, status := range list {
		if status.State == external.TaskRunning {
			h.missedLists[status.ID] = 0
		}
	}
	h.stepLocked(groups.Adopt{Tasks: list})
	h.adopted = true
	return true
}

// readyToLink reports whether the worker's tasks have been adopted. Before that
// the core would report groups absent whose tasks are running.
func (h *taskHost) readyToLink() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.adopted
}

// needsUpdate reports whether a listed task's status is to be passed to the core.
// Tasks that had ended in an earlier list are skipped.
func (h *taskHost) needsUpdate(status external.TaskStatus) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seenEnded[status.ID] {
		return false
	}
	if status.State != external.TaskRunning {
		h.seenEnded[status.ID] = true
	}
	return true
}

// forgetEnded drops the ended tasks that the worker no longer lists.
func (h *taskHost) forgetEnded(listed map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.seenEnded {
		if !listed[id] {
			delete(h.seenEnded, id)
		}
	}
}

// collectLost counts the lists that lack a started task and returns the IDs of the
// tasks that now count as lost.
func (h *taskHost) collectLost(listed map[string]bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost []string
	for id := range h.missedLists {
		if listed[id] {
			h.missedLists[id] = 0
			continue
		}
		h.missedLists[id]++
		if h.missedLists[id] >= missedListsUntilLost {
			delete(h.missedLists, id)
			lost = append(lost, id)
		}
	}
	return lost
}

func (h *taskHost) handleMessage(_ string, m *rpc.EntryMessage) {
	switch body := m.Body.(type) {
	case *rpc.EntryMessage_Hold:
		hold := body.Hold
		h.step(groups.Permission{Allowed: h.agent.mayStart()}, groups.Hold{
			Epoch:   hold.Epoch,
			Ref:     groups.Ref{JobID: hold.JobId, Attempt: hold.Attempt},
			Tasks:   int(hold.Tasks),
			PerTask: rpc.ToResources(hold.PerTask),
			Stamp:   millis(hold.StampMs),
			Permit:  millis(hold.PermitMs),
			Lease:   millis(hold.LeaseMs),
		})
	case *rpc.EntryMessage_Start:
		start := body.Start
		h.step(groups.Permission{Allowed: h.agent.mayStart()}, groups.Start{
			Epoch:      start.Epoch,
			Ref:        groups.Ref{JobID: start.JobId, Attempt: start.Attempt},
			Stamp:      millis(start.StampMs),
			Permit:     millis(start.PermitMs),
			Lease:      millis(start.LeaseMs),
			FirstTask:  int(start.FirstTask),
			Payload:    json.RawMessage(start.Payload),
			Checkpoint: start.Checkpoint,
		})
	case *rpc.EntryMessage_Stop:
		stop := body.Stop
		h.step(groups.Stop{
			Epoch:  stop.Epoch,
			Ref:    groups.Ref{JobID: stop.JobId, Attempt: stop.Attempt},
			Grace:  millis(stop.GraceMs),
			Reason: stop.Reason,
		})
	case *rpc.EntryMessage_Renew:
		h.step(renewEvent(body.Renew))
	}
}

func renewEvent(msg *rpc.Renew) groups.Renew {
	ev := groups.Renew{Epoch: msg.Epoch, Stamp: millis(msg.StampMs), Lease: millis(msg.LeaseMs)}
	for _, g := range msg.Groups {
		ev.Refs = append(ev.Refs, groups.Ref{JobID: g.JobId, Attempt: g.Attempt})
	}
	return ev
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (h *taskHost) reports() []*rpc.GroupReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return helloReports(h.core.Reports())
}

func (h *taskHost) tick(allowed bool) {
	h.step(groups.Permission{Allowed: allowed}, groups.Tick{})
}

func (h *taskHost) storeDown(stamp time.Duration) {
	h.step(groups.StoreDown{Stamp: stamp, Lease: sched.GroupLease})
}

func (h *taskHost) observeEpoch(epoch uint64) { h.step(groups.EpochObserved{Epoch: epoch}) }
func (h *taskHost) linkUp(string)             {}
func (h *taskHost) linkDown(string)           {}
func (h *taskHost) leave()                    { h.step(groups.Leave{}) }
func (h *taskHost) slotsInUse() int           { return 0 }

// readyToStop reports whether no group is held or ending and no call to the worker
// is pending.
func (h *taskHost) readyToStop() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.AllRunning() && h.ops.idle()
}

func (h *taskHost) dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Dump()
}
