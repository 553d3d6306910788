package groups

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName identifies one task of a group with Tasks tasks, whose indexes start
// at First. It includes the size of the group so that a partly started group can
// be told from a complete one.
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

// ParseTaskName is the inverse of TaskName.String. It reports false for an ID
// that String cannot return.
func ParseTaskName(id string) (TaskName, bool) {
	rest, index, okIndex := cutLast(id)
	rest, taskRange, okRange := cutLast(rest)
	job, attempt, okAttempt := cutLast(rest)
	first, tasks, okTasks := strings.Cut(taskRange, "+")
	if !okIndex || !okRange || !okAttempt || !okTasks || job == "" {
		return TaskName{}, false
	}
	attemptNumber, err := strconv.ParseUint(attempt, 10, 32)
	if err != nil {
		return TaskName{}, false
	}
	n := TaskName{Ref: Ref{JobID: job, Attempt: uint32(attemptNumber)}}
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

// cutLast splits s at its last slash.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// checkpointName returns the name shared by the checkpoints of all tasks of an
// attempt.
func checkpointName(r Ref) string {
	return fmt.Sprintf("checkpoints/%s/%d", r.JobID, r.Attempt)
}

// checkpointKey returns the object store key of one task's checkpoint, or "" if
// there is no checkpoint name.
func checkpointKey(name string, index int) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d", name, index)
}
