package groups

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName names one task of a group of Tasks tasks that are numbered from
// First on. It carries the group's size so that a group of which some tasks
// were never started can be told from a whole one.
type TaskName struct {
	Ref   Ref
	First int
	Tasks int
	Index int
}

// String returns the task's ID on the worker.
func (n TaskName) String() string {
	return fmt.Sprintf("%s/%d/%d+%d/%d", n.Ref.JobID, n.Ref.Attempt, n.First, n.Tasks, n.Index)
}

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(id string) (TaskName, bool) {
	rest, index, ok1 := cutLast(id)
	rest, size, ok2 := cutLast(rest)
	job, attempt, ok3 := cutLast(rest)
	first, tasks, ok4 := strings.Cut(size, "+")
	if !ok1 || !ok2 || !ok3 || !ok4 || job == "" {
		return TaskName{}, false
	}
	number, err := strconv.ParseUint(attempt, 10, 32)
	if err != nil {
		return TaskName{}, false
	}
	n := TaskName{Ref: Ref{JobID: job, Attempt: uint32(number)}}
	for _, field := range []struct {
		text  string
		value *int
	}{{first, &n.First}, {tasks, &n.Tasks}, {index, &n.Index}} {
		if *field.value, err = strconv.Atoi(field.text); err != nil {
			return TaskName{}, false
		}
	}
	return n, n.valid() && n.String() == id
}

func (n TaskName) valid() bool {
	return n.First >= 0 && n.Tasks > 0 && n.Tasks <= maxGroupTasks &&
		n.Index >= n.First && n.Index < n.First+n.Tasks
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// checkpointName names the checkpoints of all tasks of an attempt.
func checkpointName(r Ref) string {
	return fmt.Sprintf("checkpoints/%s/%d", r.JobID, r.Attempt)
}

// checkpointKey is the object store key of one task's checkpoint.
func checkpointKey(name string, index int) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d", name, index)
}
