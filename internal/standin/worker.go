package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/fasthttp/router"
	"github.com/juju/errors"
)

const (
	// usageReportDelay is the run time after which a task's usage is reported.
	usageReportDelay = 400 * time.Millisecond
	// injectedFailureDelay is the run time of tasks that FaultSettings.FailTasks fails.
	injectedFailureDelay = 20 * time.Millisecond
	// checkpointPrefix is the key prefix for checkpoints of tasks without CheckpointTo.
	checkpointPrefix = "checkpoints/"
	// throttleDivisor divides the speed of a throttled task.
	throttleDivisor = 2
)

// TaskPayload is the payload format that Worker understands.
type TaskPayload struct {
	RunMS int64 `json:"run_ms"`
	// Result is the task's output. The default is the task's ID.
	Result json.RawMessage `json:"result,omitempty"`
	// Fail, if not empty, makes the task fail at its end with this message.
	Fail string `json:"fail,omitempty"`
	// Grow is the usage above the task's declared resources.
	Grow api.Resources `json:"grow"`
}

// Execution records the run of one task on one worker.
type Execution struct {
	ID      string             `json:"id"`
	Worker  string             `json:"worker"`
	State   external.TaskState `json:"state"`
	Started time.Time          `json:"started"`
	Ended   time.Time          `json:"ended,omitzero"`
	LeaseBy time.Time          `json:"lease_by"`
}

// Worker simulates tasks with timers.
type Worker struct {
	Faults

	id       string
	capacity api.Resources
	objects  external.Objects

	mu    sync.Mutex
	tasks map[string]*task
}

type task struct {
	external.TaskStatus
	payload      TaskPayload
	checkpointTo string
	limit        *api.Resources
	started      time.Time
	ended        time.Time
	leaseBy      time.Time
	progressAt   time.Time // ProgressMS includes the time up to here
	endTimer     *time.Timer
	leaseTimer   *time.Timer
}

var _ external.Worker = (*Worker)(nil)

// NewWorker returns a worker that stores checkpoints in objects.
func NewWorker(id string, capacity api.Resources, objects external.Objects) *Worker {
	return &Worker{id: id, capacity: capacity, objects: objects, tasks: map[string]*task{}}
}

// Start starts a task. If the ID is already known, it returns the status of
// that task.
func (w *Worker) Start(ctx context.Context, t external.Task) (external.TaskStatus, error) {
	if status, known := w.statusByID(t.ID); known {
		return status, nil
	}
	var payload TaskPayload
	if len(t.Payload) > 0 {
		if err := json.Unmarshal(t.Payload, &payload); err != nil {
			return w.failedStatus(t.ID, err.Error()), nil
		}
	}
	progress, err := w.loadProgress(ctx, t.Checkpoint)
	if err != nil {
		return external.TaskStatus{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.tasks[t.ID]; known != nil {
		return w.statusOf(known), nil
	}
	if !t.Resources.Fits(w.freeCapacity()) {
		return external.TaskStatus{ID: t.ID, State: external.TaskFailed, WorkerFault: true, Detail: "no capacity"}, nil
	}
	return w.statusOf(w.startTask(t, payload, progress)), nil
}

// Renew extends the leases of the given tasks, except those that have ended.
func (w *Worker) Renew(_ context.Context, ids []string, leaseMS int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if t := w.tasks[id]; t != nil && t.State == external.TaskRunning {
			w.renewLease(t, leaseMS)
		}
	}
	return nil
}

// Checkpoint saves the progress of a running task and ends the task.
func (w *Worker) Checkpoint(ctx context.Context, id string) (external.TaskStatus, error) {
	status, known := w.statusByID(id)
	if !known {
		return status, errors.NotFoundf("task %q", id)
	}
	if status.State != external.TaskRunning {
		return status, nil
	}
	key := w.checkpointKey(id)
	saved, err := json.Marshal(status.ProgressMS)
	if err != nil {
		return status, errors.Trace(err)
	}
	if err := w.objects.Put(ctx, key, saved); err != nil {
		return status, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	if t.State == external.TaskRunning {
		w.endTask(t, external.TaskCheckpointed, "")
		t.Checkpoint = key
		t.ProgressMS = status.ProgressMS
	}
	return w.statusOf(t), nil
}

// Throttle limits the usage of a running task and slows it down.
func (w *Worker) Throttle(_ context.Context, id string, limit api.Resources) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	if t == nil {
		return errors.NotFoundf("task %q", id)
	}
	if t.State == external.TaskRunning {
		w.updateProgress(t)
		t.limit = &limit
		w.scheduleEnd(t)
	}
	return nil
}

// Stop ends a task if it runs and returns its status.
func (w *Worker) Stop(_ context.Context, id string) (external.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	if t == nil {
		return external.TaskStatus{}, errors.NotFoundf("task %q", id)
	}
	if t.State == external.TaskRunning {
		w.endTask(t, external.TaskStopped, "stopped")
	}
	return w.statusOf(t), nil
}

// endedRetention is the time for which List includes a task after its end.
const endedRetention = time.Minute

// List returns the running and recently ended tasks, sorted by ID.
func (w *Worker) List(context.Context) ([]external.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []external.TaskStatus{}
	for _, t := range w.sortedTasks() {
		if t.ended.IsZero() || time.Since(t.ended) < endedRetention {
			list = append(list, w.statusOf(t))
		}
	}
	return list, nil
}

// Executions returns a record of each started task, sorted by ID.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []Execution{}
	for _, t := range w.sortedTasks() {
		list = append(list, Execution{t.ID, w.id, t.State, t.started, t.ended, t.leaseBy})
	}
	return list
}

func (w *Worker) sortedTasks() []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (w *Worker) statusByID(id string) (external.TaskStatus, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		return w.statusOf(t), true
	}
	return external.TaskStatus{ID: id}, false
}

func (w *Worker) checkpointKey(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks[id].checkpointTo
}

func (w *Worker) failedStatus(id, detail string) external.TaskStatus {
	return external.TaskStatus{ID: id, State: external.TaskFailed, Detail: detail}
}

func (w *Worker) loadProgress(ctx context.Context, checkpoint string) (int64, error) {
	if checkpoint == "" {
		return 0, nil
	}
	saved, err := w.objects.Get(ctx, checkpoint)
	if err != nil {
		return 0, errors.Annotatef(err, "checkpoint %q", checkpoint)
	}
	var progress int64
	err = json.Unmarshal(saved, &progress)
	return progress, errors.Annotatef(err, "checkpoint %q", checkpoint)
}

func (w *Worker) freeCapacity() api.Resources {
	free := w.capacity
	for _, t := range w.tasks {
		if t.State == external.TaskRunning {
			free = free.Sub(t.Resources)
		}
	}
	return free
}

func (w *Worker) startTask(started external.Task, payload TaskPayload, progress int64) *task {
	now := time.Now()
	t := &task{
		TaskStatus:   external.TaskStatus{ID: started.ID, State: external.TaskRunning, ProgressMS: progress, Resources: started.Resources},
		payload:      payload,
		checkpointTo: cmp.Or(started.CheckpointTo, checkpointPrefix+started.ID),
		started:      now,
		progressAt:   now,
	}
	w.tasks[t.ID] = t
	w.renewLease(t, started.LeaseMS)
	w.scheduleEnd(t)
	return t
}

// renewLease sets the task's lease to end leaseMS from now and restarts its timer.
func (w *Worker) renewLease(t *task, leaseMS int64) {
	lease := time.Duration(leaseMS) * time.Millisecond
	t.leaseBy = time.Now().Add(lease)
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
	t.leaseTimer = time.AfterFunc(lease, func() { w.stopIfLeaseExpired(t) })
}

func (w *Worker) stopIfLeaseExpired(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.State == external.TaskRunning && !time.Now().Before(t.leaseBy) {
		w.endTask(t, external.TaskStopped, "lease lapsed")
	}
}

// scheduleEnd sets the timer for the completion of the task.
func (w *Worker) scheduleEnd(t *task) {
	remaining := time.Duration(t.payload.RunMS-t.ProgressMS) * time.Millisecond
	if t.limit != nil {
		remaining *= throttleDivisor
	}
	if w.get().FailTasks != "" {
		remaining = injectedFailureDelay
	}
	if t.endTimer != nil {
		t.endTimer.Stop()
	}
	t.endTimer = time.AfterFunc(max(remaining, 0), func() { w.completeTask(t) })
}

func (w *Worker) completeTask(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.State != external.TaskRunning {
		return
	}
	faults := w.get()
	switch {
	case faults.FailTasks != "":
		t.WorkerFault = faults.WorkerFault
		w.endTask(t, external.TaskFailed, faults.FailTasks)
	case t.payload.Fail != "":
		w.endTask(t, external.TaskFailed, t.payload.Fail)
	default:
		t.Output = t.payload.Result
		if t.Output == nil {
			t.Output, _ = json.Marshal(t.ID)
		}
		w.endTask(t, external.TaskDone, "")
	}
}

func (w *Worker) endTask(t *task, state external.TaskState, detail string) {
	w.updateProgress(t)
	t.State = state
	t.Detail = detail
	t.ended = time.Now()
	t.endTimer.Stop()
	t.leaseTimer.Stop()
}

// updateProgress adds the progress made since the last update.
func (w *Worker) updateProgress(t *task) {
	now := time.Now()
	gained := now.Sub(t.progressAt)
	if t.limit != nil {
		gained /= throttleDivisor
	}
	t.ProgressMS = min(t.ProgressMS+gained.Milliseconds(), t.payload.RunMS)
	t.progressAt = now
}

func (w *Worker) statusOf(t *task) external.TaskStatus {
	if t.State == external.TaskRunning {
		w.updateProgress(t)
	}
	status := t.TaskStatus
	if time.Since(t.started) >= usageReportDelay {
		status.Usage = t.usage()
	}
	return status
}

func (t *task) usage() api.Resources {
	used := t.Resources.Add(t.payload.Grow)
	if t.limit == nil {
		return used
	}
	return api.Resources{
		Accelerators: min(used.Accelerators, t.limit.Accelerators),
		MilliCPU:     min(used.MilliCPU, t.limit.MilliCPU),
		MemoryMB:     min(used.MemoryMB, t.limit.MemoryMB),
	}
}

func (w *Worker) faults() *Faults { return &w.Faults }

func (w *Worker) observe() any { return w.Executions() }

func (w *Worker) routes(r *router.Router) {
	ctx := context.Background()
	r.GET(external.PathHealth, handleHealth)
	r.POST(external.PathWorkerStart, postHandler(func(in external.Task) (external.TaskStatus, error) {
		return w.Start(ctx, in)
	}))
	r.POST(external.PathWorkerRenew, postHandler(func(in external.RenewRequest) (struct{}, error) {
		return struct{}{}, w.Renew(ctx, in.IDs, in.LeaseMS)
	}))
	r.POST(external.PathWorkerCheckpoint, postHandler(func(in external.TaskRequest) (external.TaskStatus, error) {
		return w.Checkpoint(ctx, in.ID)
	}))
	r.POST(external.PathWorkerThrottle, postHandler(func(in external.TaskRequest) (struct{}, error) {
		return struct{}{}, w.Throttle(ctx, in.ID, in.Limit)
	}))
	r.POST(external.PathWorkerStop, postHandler(func(in external.TaskRequest) (external.TaskStatus, error) {
		return w.Stop(ctx, in.ID)
	}))
	r.POST(external.PathWorkerList, postHandler(func(struct{}) (external.ListReply, error) {
		list, err := w.List(ctx)
		return external.ListReply{Tasks: list}, err
	}))
}
