package graph

import (
	"time"
	"unicode/utf8"
)

// Limits of texts in the progress of a task, in bytes of their JSON encoding without
// quotes. They keep the progress of a job with MaxTasks within one transaction of the
// table. No task is placed on a worker with longer names, and a longer checkpoint is not
// kept.
const (
	MaxWorkerIDBytes    = 64
	MaxIncarnationBytes = 80
	MaxCheckpointBytes  = 96
)

// escapedBytes is the largest size of one escaped character in JSON.
const escapedBytes = 6

// FitsJSON reports whether the JSON encoding of a text has at most maxBytes without the
// quotes. It may count up to six times the true size for characters other than letters,
// digits and common punctuation.
func FitsJSON(text string, maxBytes int) bool {
	if len(text) > maxBytes {
		return false
	}
	n := len(text)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += escapedBytes - 1
		}
	}
	return n <= maxBytes
}

// State is the state of a job as shown to its caller.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Known reports whether the state is one of the states above.
func (s State) Known() bool { return s == Queued || s == Running || s.Final() }

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the persisted progress of a job. The owner writes the row before it
// orders a start and before it acknowledges an end to the worker.
type Progress struct {
	Job   JobID          `json:"id"`
	State State          `json:"state"`
	Tasks []TaskProgress `json:"tasks,omitempty"` // only tasks that have been placed
	// FinishedAt is the owner's wall-clock time at which the state became final.
	FinishedAt time.Time `json:"end,omitzero"`
	// PlacedAt is the owner's wall-clock time in milliseconds since 1970 at which it last placed
	// a task. Earlier versions leave it and LateFrom out.
	PlacedAt int64 `json:"placed,omitempty"`
	// LateFrom is the lowest number of a run that may begin, or go on, by a late call to its
	// worker; 0 if there is none.
	LateFrom uint64 `json:"late,omitempty"`
	// Stalls holds the units whose runs were stopped because they made no progress, at most
	// MaxStalledUnits of them. Earlier versions leave it out.
	Stalls []UnitStalls `json:"stalls,omitempty"`
	// Suspected holds the crashes among TaskProgress.Crashes and RunCrashed that are taken
	// back if their worker answers again. Earlier versions leave it out.
	Suspected []SuspectedCrash `json:"suspected,omitempty"`
	// Pool is set if a later configuration than that of the submission has moved the job. Earlier
	// versions leave it out.
	Pool QueuePool `json:"pool,omitzero"`
}

// QueuePool is the service that a version of the configuration names for the queue of a job. It is
// stored so that the job keeps it when the queue is removed.
type QueuePool struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// MaxPoolBytes limits the name of QueuePool in bytes of its JSON encoding without quotes. A longer
// one is not stored.
const MaxPoolBytes = 200

// MaxStalledUnits bounds Progress.Stalls. The units with the most stops are kept.
const MaxStalledUnits = 40

// MaxSuspectedCrashes bounds Progress.Suspected, MaxSuspectedTasks the tasks in it. Further
// crashes of that kind are not counted.
const (
	MaxSuspectedCrashes = 8
	MaxSuspectedTasks   = 64
)

// SuspectedCrash is the end of the lease of a worker that its agent could not reach: it has
// crashed, or was only cut off. Tasks had begun there.
type SuspectedCrash struct {
	Worker      string    `json:"w"`
	Incarnation string    `json:"b"`
	Tasks       []TaskRef `json:"t"`
}

// TaskRef names a task of a job.
type TaskRef struct {
	Step  int `json:"s"`
	Index int `json:"i"`
}

// UnitStalls is the number of stops of a unit, a gang or a single task, named by its first
// task.
type UnitStalls struct {
	Step  int `json:"s"`
	Index int `json:"i"`
	Count int `json:"n"`
}

// TaskProgress is the progress of one task. For a gang, the entry with Index 0
// carries Failures, RunFailed, Done and Checkpoint of the whole gang.
type TaskProgress struct {
	Step  int `json:"s"`
	Index int `json:"i"`
	// Run, Worker and Incarnation identify the run that may be active. Worker is
	// empty if the task is known not to run anywhere.
	Run         uint64 `json:"r,omitempty"`
	Worker      string `json:"w,omitempty"`
	Incarnation string `json:"b,omitempty"`
	Failures    int    `json:"f,omitempty"`
	// RunFailed reports that a member of the current gang run has failed. The run
	// is counted in Failures once its other members have ended.
	RunFailed bool `json:"x,omitempty"`
	// Crashes is the number of runs under which a worker crashed soon after the start.
	Crashes int `json:"k,omitempty"`
	// RunCrashed reports that a worker has crashed under the task in the current gang
	// run. The run is counted in Crashes once the other members have ended.
	RunCrashed bool   `json:"y,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}
