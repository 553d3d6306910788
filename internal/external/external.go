// Package external holds the interfaces to the services outside of coltsfootlug (table,
// object store, workers, minions) and thin HTTP clients for them.
package external

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

// ErrUnavailable says that the service gave no answer. A write may or may not
// have taken effect.
const ErrUnavailable = errors.ConstError("platform service unavailable")

// ErrRefused says that the service refused the call at once: nothing was done,
// and nothing of the call will be done later. It is an ErrUnavailable as well.
const ErrRefused = errors.ConstError("platform service refused the call")

// ErrNotFound says that the named object or task does not exist.
const ErrNotFound = errors.ConstError("not found")

// Row is one row of the table. Version grows by one with each write of the
// key and is 0 for a key that has never been written or has been deleted.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Cond requires that Key has Version at commit; 0 requires its absence.
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

// TxnResult tells whether the transaction committed. Rows holds, after a
// commit, the written rows with their new versions, without values; after a
// failed condition, the current rows of all conditions, with values.
type TxnResult struct {
	Committed bool  `json:"committed"`
	Rows      []Row `json:"rows"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row for each key, in order; absent ones have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and keys above after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. On ErrUnavailable it may have taken effect.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ErrHistoryGone says that the table no longer tells what has changed since a version.
const ErrHistoryGone = errors.ConstError("history is gone")

// ChangeFeed is a table that tells what has changed. All its rows share one
// counter of versions.
type ChangeFeed interface {
	// Feed returns the rows with the prefix that were written after a version,
	// in order, as soon as there is one or after wait, and the version up to
	// which that is all. It may end with ErrHistoryGone.
	Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Newest returns the version that the table has reached.
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

// Task is what a worker runs. ID is unique for each attempt; a worker that
// knows the ID already returns its state and starts nothing.
type Task struct {
	ID        string          `json:"id"`
	Resources api.Resources   `json:"resources"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the object store key to resume from, CheckpointTo the one
	// under which a checkpoint of this task is saved.
	Checkpoint   string `json:"checkpoint,omitempty"`
	CheckpointTo string `json:"checkpoint_to,omitempty"`
	LeaseMS      int64  `json:"lease_ms"`
}

// TaskStatus is a worker's report on one task. Usage lags behind.
type TaskStatus struct {
	ID         string    `json:"id"`
	State      TaskState `json:"state"`
	ProgressMS int64     `json:"progress_ms"`
	// Resources is what the task was started with.
	Resources  api.Resources   `json:"resources"`
	Usage      api.Resources   `json:"usage"`
	Output     json.RawMessage `json:"output,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Detail     string          `json:"detail,omitempty"`
	// WorkerFault is set when the failure is the worker's and not the task's.
	WorkerFault bool `json:"worker_fault,omitempty"`
}

// Worker is a machine's interface for tasks. A task stops by itself when its
// lease lapses.
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

// MinionReply is a minion's complete answer.
type MinionReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// ErrNotSent says that the minion was not reached, so the call has not run.
const ErrNotSent = errors.ConstError("minion not reached")

// Minion is the interface of one service process. An error other than
// ErrNotSent leaves open whether the call ran.
type Minion interface {
	Call(ctx context.Context, req MinionRequest) (MinionReply, error)
	// Healthy returns nil when the minion can take calls.
	Healthy(ctx context.Context) error
}
