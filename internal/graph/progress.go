package graph

import "time"

// State is the state of a job as its caller sees it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is what lasts of a job's progress: its row is written by the owner
// before a start is ordered and before an end is acknowledged to the worker.
type Progress struct {
	Job   JobID          `json:"id"`
	State State          `json:"state"`
	Tasks []TaskProgress `json:"tasks,omitempty"` // those that have been placed
	// FinishedAt is the time of day at the owner when the state became final.
	FinishedAt time.Time `json:"end,omitzero"`
}

// TaskProgress is the progress of one task, or of all tasks of a gang when it
// describes Index 0 (Failures, Failed, Done and Checkpoint are the gang's then).
type TaskProgress struct {
	Step  int `json:"s"`
	Index int `json:"i"`
	// Run, Worker and Incarnation tell where the task may run; Worker is empty
	// when it runs nowhere for certain.
	Run         uint64 `json:"r,omitempty"`
	Worker      string `json:"w,omitempty"`
	Incarnation string `json:"b,omitempty"`
	Failures    int    `json:"f,omitempty"`
	// RunFailed says that a member of the gang's present run has failed: the run
	// counts among Failures once its other members have ended.
	RunFailed  bool   `json:"x,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}
