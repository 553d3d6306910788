// Package external defines the interfaces to services outside of coltsfootlug
// (table, object store, workers, minions) and thin HTTP clients for them.
package external

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

// ErrUnavailable means that the service gave no usable response. A write may or
// may not have taken effect.
const ErrUnavailable = errors.ConstError("platform service unavailable")

// ErrRefused means that the service rejected the call without executing it, now
// or later. It counts as an ErrUnavailable as well.
const ErrRefused = errors.ConstError("platform service refused the call")

// ErrInvalid means that the service rejected the call for its content and did nothing:
// the same call would be rejected again, whatever the state of the service.
const ErrInvalid = errors.ConstError("platform service rejects the content of the call")

// ErrNotFound means that the named object or task does not exist.
const ErrNotFound = errors.ConstError("not found")

// Row is one row of the table. Version grows by one with each write of the
// key and is 0 for a key that has never been written or has been deleted.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Cond is a precondition: Key must have Version at commit; 0 means that the key
// must be absent.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Txn is one transaction: all writes take effect, or none when a condition
// does not hold.
type Txn struct {
	Conds   []Cond   `json:"conds,omitempty"`
	Puts    []Row    `json:"puts,omitempty"` // Version is ignored
	Deletes []string `json:"deletes,omitempty"`
}

// TxnResult is the result of a transaction. After a commit, Rows holds the written
// rows with their new versions and without values. After a failed condition, it
// holds the current rows of all conditions, with values.
type TxnResult struct {
	Committed bool  `json:"committed"`
	Rows      []Row `json:"rows"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row for each key, in order; absent rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and keys above after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. On ErrUnavailable it may have taken effect,
	// unless the error is ErrRefused, ErrInvalid or ErrNotSent as well.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// GatedTable is a table that asks a gate before it sends a transaction, so that a
// transaction that waits for a connection is known not to have been sent. The gate is
// called at most once, directly before the first byte is written. If it returns false,
// nothing is written and the call fails with ErrNotSent.
type GatedTable interface {
	CommitGated(ctx context.Context, txn Txn, gate func() bool) (TxnResult, error)
}

// ErrHistoryGone means that the table has discarded the changes since the
// requested version.
const ErrHistoryGone = errors.ConstError("history is gone")

// ChangeFeed is a table that reports its changes. All its rows share one version
// counter.
type ChangeFeed interface {
	// Feed returns the rows with the prefix that were written after a version, in
	// order, and the version up to which the result is complete. It returns as
	// soon as there is a row, or after wait. It may return ErrHistoryGone.
	Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Newest returns the table's current version.
	Newest(ctx context.Context) (uint64, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// TaskState is a worker's view of one task.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
)

// Task is a task to run on a worker. ID is unique for each attempt; a worker that
// already knows the ID returns the task's state and starts nothing.
type Task struct {
	ID        string          `json:"id"`
	Resources api.Resources   `json:"resources"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the object store key to resume from. CheckpointTo is the key
	// for new checkpoints of this task.
	Checkpoint   string `json:"checkpoint,omitempty"`
	CheckpointTo string `json:"checkpoint_to,omitempty"`
	LeaseMS      int64  `json:"lease_ms"`
}

// TaskStatus is a worker's report on one task. Usage may be out of date.
type TaskStatus struct {
	ID         string    `json:"id"`
	State      TaskState `json:"state"`
	ProgressMS int64     `json:"progress_ms"`
	// Resources are the resources that the task was started with.
	Resources  api.Resources   `json:"resources"`
	Usage      api.Resources   `json:"usage"`
	Output     json.RawMessage `json:"output,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Detail     string          `json:"detail,omitempty"`
	// WorkerFault is set if the worker, not the task, caused the failure.
	WorkerFault bool `json:"worker_fault,omitempty"`
}

// Worker is the task interface of a host. A task stops by itself when its lease
// expires.
type Worker interface {
	Start(ctx context.Context, task Task) (TaskStatus, error)
	Renew(ctx context.Context, ids []string, leaseMS int64) error
	Checkpoint(ctx context.Context, id string) (TaskStatus, error)
	Throttle(ctx context.Context, id string, limit api.Resources) error
	Stop(ctx context.Context, id string) (TaskStatus, error)
	List(ctx context.Context) ([]TaskStatus, error)
}

// MinionRequest is one call of a service.
type MinionRequest struct {
	RequestID   string
	Attempt     uint32
	ContentType string
	Body        []byte
}

// MinionReply is a minion's complete response.
type MinionReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// ErrNotSent means that no byte of the call was written to a connection: it has not
// run and never will. Causes are a refused or hung connection attempt, no free
// connection, and a start time limit or send gate that did not permit the call.
const ErrNotSent = errors.ConstError("call was not sent")

// Minion is the interface of one service process. After an error other than
// ErrNotSent, the call may or may not have run.
type Minion interface {
	Call(ctx context.Context, req MinionRequest) (MinionReply, error)
	// Healthy returns nil when the minion can take calls.
	Healthy(ctx context.Context) error
}
