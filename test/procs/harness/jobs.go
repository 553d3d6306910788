package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/juju/errors"
)

// partialStartLimit bounds the run time of an attempt of which some tasks have
// not started: the lease of a group and the time to detect that it has expired.
const partialStartLimit = 13 * time.Second

// Gang returns a job whose tasks run for the given time, all in one rack and
// each on the given number of accelerators.
func Gang(tasks, accelerators int, run time.Duration, idempotent bool) api.JobRequest {
	// A TaskPayload always marshals.
	payload, _ := json.Marshal(standin.TaskPayload{RunMS: run.Milliseconds()})
	return api.JobRequest{
		Profile: Profile,
		Gang: api.Shape{
			Tasks:     tasks,
			PerTask:   api.Resources{Accelerators: accelerators, MilliCPU: 1000, MemoryMB: 1000},
			Adjacency: api.AdjacentRack,
		},
		Payload:     payload,
		Idempotent:  idempotent,
		DeclaredRun: api.Duration(run),
	}
}

// Submit submits a job. It repeats calls that got no answer, through the
// clients in turn, and returns a refusal unchanged.
func (h *Harness) Submit(ctx context.Context, key string, job api.JobRequest, clients ...*client.Client) (api.JobRecord, error) {
	for calls := 0; ; calls++ {
		record, err := clients[calls%len(clients)].SubmitJob(ctx, job, key)
		if !errors.Is(err, client.ErrUnreachable) && !errors.Is(err, client.ErrNoResponse) || ctx.Err() != nil {
			return record, err
		}
		time.Sleep(retryPause)
	}
}

// AwaitJob waits until a job has ended and returns its record.
func (h *Harness) AwaitJob(id string, limit time.Duration) api.JobRecord {
	h.t.Helper()
	var record api.JobRecord
	var err error
	h.Eventually("end of job "+id, limit, func() bool {
		record, err = h.Client().Job(context.Background(), id, time.Second)
		return err == nil && record.State == api.JobFinal
	})
	return record
}

// CheckJobOutcome fails the test unless all entries return the same outcome, the
// outcome agrees with what the workers have run, and attempts neither overlap
// nor run without some of their tasks.
func (h *Harness) CheckJobOutcome(record api.JobRecord) {
	h.t.Helper()
	for _, e := range h.liveEntries() {
		again, err := h.ClientOf(e).Job(context.Background(), record.Job.ID, 0)
		if err != nil || again.Outcome != record.Outcome || again.Attempt != record.Attempt {
			h.t.Errorf("job %s ended %q, %s says %q: %v", record.Job.ID, record.Outcome, e.Name, again.Outcome, err)
		}
	}
	attempts := h.attempts(record.Job.ID)
	if record.Outcome != api.OutcomeDone {
		h.t.Logf("job %s ended %q (%s); workers ran: %v", record.Job.ID, record.Outcome, record.Detail, attempts)
	}
	for i, a := range attempts {
		h.checkAttempt(record, a)
		if i > 0 && a.first.Before(attempts[i-1].last) {
			h.t.Errorf("%s started at %v, the attempt before ended at %v", a, a.first, attempts[i-1].last)
		}
	}
	if !record.Job.Idempotent && len(attempts) > 1 {
		h.t.Errorf("job %s is not idempotent and had %d attempts: %v", record.Job.ID, len(attempts), attempts)
	}
	if record.Outcome == api.OutcomeDone && (len(attempts) == 0 || !attempts[len(attempts)-1].done()) {
		h.t.Errorf("job %s is answered done: %v", record.Job.ID, attempts)
	}
	if record.Outcome == api.OutcomeNotRun && len(attempts) > 0 {
		h.t.Errorf("job %s is answered not-run: %v", record.Job.ID, attempts)
	}
}

// attempt collects what the workers have run for one attempt of a job.
type attempt struct {
	ref    groups.Ref
	tasks  map[int]external.TaskState // by task index
	first  time.Time
	last   time.Time
	active bool
}

func (a *attempt) String() string {
	return fmt.Sprintf("attempt %d of %s (%v)", a.ref.Attempt, a.ref.JobID, a.tasks)
}

func (a *attempt) done() bool {
	for _, state := range a.tasks {
		if state != external.TaskDone {
			return false
		}
	}
	return true
}

// checkAttempt checks one attempt of a job that has ended.
func (h *Harness) checkAttempt(record api.JobRecord, a *attempt) {
	h.t.Helper()
	if a.active {
		h.t.Errorf("%s still runs", a)
	}
	if len(a.tasks) == record.Job.Gang.Tasks {
		return
	}
	ran := a.last.Sub(a.first)
	h.t.Logf("%s: %d of %d tasks started, for %v", a, len(a.tasks), record.Job.Gang.Tasks, ran)
	if ran > partialStartLimit || record.Outcome == api.OutcomeDone && a.ref.Attempt == record.Attempt {
		h.t.Errorf("%s ran partially for %v", a, ran)
	}
}

// attempts returns the attempts of a job that the workers have run, in order.
func (h *Harness) attempts(jobID string) []*attempt {
	h.t.Helper()
	byNumber := map[uint32]*attempt{}
	var list []*attempt
	for _, task := range h.Tasks() {
		name, ok := groups.ParseTaskName(task.ID)
		if !ok || name.Ref.JobID != jobID {
			continue
		}
		a := byNumber[name.Ref.Attempt]
		if a == nil {
			a = &attempt{ref: name.Ref, tasks: map[int]external.TaskState{}, first: task.Started}
			byNumber[name.Ref.Attempt] = a
			list = append(list, a)
		}
		a.add(h, name, task)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ref.Attempt < list[j].ref.Attempt })
	return list
}

func (a *attempt) add(h *Harness, name groups.TaskName, task standin.Execution) {
	h.t.Helper()
	if _, twice := a.tasks[name.Index]; twice {
		h.t.Errorf("task %s was started on two workers", task.ID)
	}
	a.tasks[name.Index] = task.State
	a.active = a.active || task.State == external.TaskRunning
	if task.Started.Before(a.first) {
		a.first = task.Started
	}
	if task.Ended.After(a.last) {
		a.last = task.Ended
	}
}

// Owner waits until an entry owns the cell and returns it.
func (h *Harness) Owner() *Entry {
	h.t.Helper()
	return h.NewOwner(nil)
}

func (h *Harness) isOwner(e *Entry) bool {
	dump, err := h.ClientOf(e).DumpState(context.Background())
	if err != nil {
		return false
	}
	var state struct {
		Owner struct {
			Authority struct{ Owner bool } `json:"authority"`
		} `json:"owner"`
	}
	return json.Unmarshal(dump, &state) == nil && state.Owner.Authority.Owner
}

// OtherEntry returns a running entry other than the given one.
func (h *Harness) OtherEntry(than *Entry) *Entry {
	h.t.Helper()
	for _, e := range h.liveEntries() {
		if e != than {
			return e
		}
	}
	h.t.Fatalf("no entry runs beside %s", than.Name)
	return nil
}

// NewOwner waits until an entry other than former owns the cell and returns it.
// The former owner may be frozen.
func (h *Harness) NewOwner(former *Entry) *Entry {
	h.t.Helper()
	var owner *Entry
	h.Eventually("another owner", 30*time.Second, func() bool {
		for _, e := range h.liveEntries() {
			if e != former && h.isOwner(e) {
				owner = e
			}
		}
		return owner != nil
	})
	return owner
}

// CountAgentGroups returns the number of groups in a phase, over the agents of
// all workers.
func (h *Harness) CountAgentGroups(phase string) int {
	h.mu.Lock()
	workers := append([]*Worker(nil), h.workers...)
	h.mu.Unlock()
	n := 0
	for _, w := range workers {
		dump, err := client.New(w.Agent.HTTP, callTimeout).DumpState(context.Background())
		if err != nil {
			continue
		}
		var state struct {
			Agent struct{ Endpoint groups.DumpState } `json:"agent"`
		}
		if json.Unmarshal(dump, &state) != nil {
			continue
		}
		for _, g := range state.Agent.Endpoint.Groups {
			if g.Phase == phase {
				n++
			}
		}
	}
	return n
}

// WorkerOf returns the worker of an execution.
func (h *Harness) WorkerOf(task standin.Execution) *Worker {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		if w.ID == task.Worker {
			return w
		}
	}
	h.t.Fatalf("worker %q of task %s does not exist", task.Worker, task.ID)
	return nil
}
