package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/juju/errors"
)

const (
	// pollInterval is the time between two reads of the jobs that callers wait
	// for. One read covers all of them.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 2 * time.Second
	maxWaiters   = 20000
)

// ErrTooManyWaiters means that the entry has reached its limit of waiting callers.
const ErrTooManyWaiters = errors.ConstError("too many callers wait for jobs")

// Waiters lets callers wait until jobs are final.
type Waiters struct {
	store *Store

	mu      sync.Mutex
	waiting map[string][]chan api.JobRecord
	count   int
	loops   kernel.Loops
}

func NewWaiters(s *Store) *Waiters {
	return &Waiters{store: s, waiting: map[string][]chan api.JobRecord{}}
}

// Start starts polling the store for the jobs that callers wait for.
func (w *Waiters) Start(context.Context) error {
	w.loops.Begin()
	w.loops.Every(pollInterval, w.poll)
	return nil
}

// Stop stops polling. Callers that still wait run into their own timeouts.
func (w *Waiters) Stop(context.Context) error {
	w.loops.End()
	return nil
}

func (w *Waiters) poll(ctx context.Context) {
	ids := w.waitedJobIDs()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	rows, _, err := w.store.GetSoundRows(ctx, ledger.CauseJob, ids...)
	if err != nil {
		return
	}
	for _, row := range rows {
		w.NotifyFinal(row.Record)
	}
}

func (w *Waiters) waitedJobIDs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]string, 0, len(w.waiting))
	for id := range w.waiting {
		out = append(out, id)
	}
	return out
}

// NotifyFinal passes a record to the callers that wait for its job. It ignores
// records that are not final.
func (w *Waiters) NotifyFinal(record api.JobRecord) {
	if record.State != api.JobFinal {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ch := range w.waiting[record.Job.ID] {
		ch <- record
		w.count--
	}
	delete(w.waiting, record.Job.ID)
}

// Wait returns the job's record once it is final, or the error of ctx once that
// has ended.
func (w *Waiters) Wait(ctx context.Context, id string) (api.JobRecord, error) {
	ch := make(chan api.JobRecord, 1)
	w.mu.Lock()
	if w.count >= maxWaiters {
		w.mu.Unlock()
		return api.JobRecord{}, errors.Trace(ErrTooManyWaiters)
	}
	w.waiting[id] = append(w.waiting[id], ch)
	w.count++
	w.mu.Unlock()
	select {
	case record := <-ch:
		return record, nil
	case <-ctx.Done():
		w.removeWaiter(id, ch)
		return api.JobRecord{}, ctx.Err()
	}
}

func (w *Waiters) removeWaiter(id string, ch chan api.JobRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.waiting[id]
	for i, c := range list {
		if c != ch {
			continue
		}
		w.waiting[id] = append(list[:i], list[i+1:]...)
		w.count--
		break
	}
	if len(w.waiting[id]) == 0 {
		delete(w.waiting, id)
	}
}
