package harness

import (
	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// Workers returns all workers in order of their starts.
func (h *Harness) Workers() []*Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Worker(nil), h.workers...)
}

// Worker returns the worker with the given ID and fails the test if there is none.
func (h *Harness) Worker(id string) *Worker {
	h.t.Helper()
	for _, w := range h.Workers() {
		if w.ID == id {
			return w
		}
	}
	h.t.Fatalf("worker %q does not exist", id)
	return nil
}

// RunningTasks returns the number of running tasks of a job.
func (h *Harness) RunningTasks(jobID string) int {
	return h.countRunning(func(name groups.TaskName) bool { return name.Ref.JobID == jobID })
}

// AllRunningTasks returns the number of running tasks of all jobs.
func (h *Harness) AllRunningTasks() int {
	return h.countRunning(func(groups.TaskName) bool { return true })
}

func (h *Harness) countRunning(counts func(groups.TaskName) bool) int {
	n := 0
	for _, task := range h.Tasks() {
		name, ok := groups.ParseTaskName(task.ID)
		if ok && task.State == external.TaskRunning && counts(name) {
			n++
		}
	}
	return n
}
