package graphs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/outlook"
)

// Admission decides whether a new job is accepted.
type Admission interface {
	// Decide decides on a job whose account has the given guarantee in accelerators.
	Decide(job *graph.Job, guaranteed int) outlook.Decision
}

// SetAdmission makes the front ask for a decision before it stores a new job. It is
// called before the front serves.
func (f *Front) SetAdmission(a Admission) { f.admission = a }

// The results of the check of the table before a refusal.
const (
	refusalGiven  = "refused"       // the job is not stored
	refusalStored = "stored"        // a retry: the job is stored
	refusalNoRead = "table-silent"  // the table did not tell in time
	refusalOpen   = "write-unknown" // a write of the job may still take effect
)

const (
	// checkShare is the part of the caller's time that the check of the table may take.
	// The rest suffices to accept the job in the normal way.
	checkShare = 0.3
	// maxOpenWrites limits the jobs whose write has an unknown outcome, of which an entry
	// keeps the IDs. The oldest are forgotten first.
	maxOpenWrites = 1024
)

// openWrites counts the writes of jobs by this entry that may still take effect. A retry
// of a call whose outcome is unknown is not refused while its first write may still land.
type openWrites struct {
	mu    sync.Mutex
	count map[graph.JobID]int
	order []graph.JobID // of the first write; may hold jobs without open writes
}

// open records that a job is about to be written.
func (w *openWrites) open(id graph.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == nil {
		w.count = map[graph.JobID]int{}
	}
	w.count[id]++
	if w.count[id] > 1 {
		return
	}
	w.order = append(w.order, id)
	if len(w.order) > maxOpenWrites {
		delete(w.count, w.order[0])
		w.order = w.order[1:]
	}
}

// close records the outcome of a write. One that is unknown stays open. The table shows
// a stored job, whatever becomes of its other writes.
func (w *openWrites) close(id graph.JobID, outcome Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case outcome == Unknown:
	case outcome == OK || w.count[id] <= 1:
		delete(w.count, id)
	default:
		w.count[id]--
	}
}

func (w *openWrites) has(id graph.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count[id] > 0
}

// insertJob stores a job and returns the answer.
func (f *Front) insertJob(call Call, job *graph.Job) Answer {
	if f.admission == nil {
		return f.writeJob(call, job)
	}
	f.open.open(job.ID)
	a := f.writeJob(call, job)
	f.open.close(job.ID, a.Outcome)
	return a
}

// writeJob writes the row of a job and returns the answer.
func (f *Front) writeJob(call Call, job *graph.Job) Answer {
	cancelled := false
	a := f.write(verbSubmit, call, func(ctx context.Context) error {
		err := f.store.InsertJob(ctx, job)
		cancelled = errors.Is(err, errCancelledAhead)
		if cancelled {
			return nil
		}
		return err
	})
	if cancelled {
		return Answer{Outcome: Refused, RetryAfter: retryAfterUnsupported, Detail: errCancelledAhead.Error()}
	}
	return a
}

// refuse returns the answer for a job that is not to be stored: it is refused, or it is
// a retry of one that is stored already. ok is false if the job is to be stored in the
// normal way, also when the table does not tell whether it is stored.
func (f *Front) refuse(ctx context.Context, call Call, t *target, job *graph.Job) (a Answer, ok bool) {
	if f.admission == nil {
		return Answer{}, false
	}
	d := f.admission.Decide(job, t.guaranteed)
	metrics.GetOrRegisterCounter("admission."+string(d.Reason), f.registry).Inc(1)
	metrics.GetOrRegisterTimer("admission.bound", f.registry).Update(d.Bound)
	if !d.Refused() {
		return Answer{}, false
	}
	result := f.checkRefusal(ctx, call, job.ID)
	metrics.GetOrRegisterCounter("admission.check."+result, f.registry).Inc(1)
	f.logRefusal(job, t, d, result)
	switch result {
	case refusalStored:
		return Answer{Outcome: OK}, true
	case refusalGiven:
		return Answer{Outcome: Overloaded, RetryAfter: d.RetryAfter, Detail: refusalDetail(d)}, true
	default:
		return Answer{}, false
	}
}

// checkRefusal finds out whether a job may be refused, which is promised never to run.
func (f *Front) checkRefusal(ctx context.Context, call Call, id graph.JobID) string {
	if f.open.has(id) {
		return refusalOpen
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(checkShare*float64(call.wait())))
	defer cancel()
	stored, err := f.store.HasJob(ctx, id)
	switch {
	case err != nil:
		return refusalNoRead
	case stored:
		return refusalStored
	default:
		return refusalGiven
	}
}

// refusalDetail tells the caller why the job is refused.
func refusalDetail(d outlook.Decision) string {
	return fmt.Sprintf("%s: step %d can't start within %.1f s, and the job has no value if it starts after %.1f s",
		d.Reason, d.Step, d.Bound.Seconds(), d.LatestStart.Seconds())
}

// logRefusal logs the inputs of a refusal and the result of the check.
func (f *Front) logRefusal(job *graph.Job, t *target, d outlook.Decision, result string) {
	f.log.Info().Str("job", string(job.ID)).Str("queue", job.Queue).Str("account", job.Account).Int("priority", job.Priority).
		Str("reason", string(d.Reason)).Str("check", result).Int("step", d.Step).
		Dur("bound_ms", d.Bound).Dur("latest_start_ms", d.LatestStart).Dur("retry_after_ms", d.RetryAfter).
		Dur("outlook_age_ms", d.Ages.Confirmed).Dur("built_age_ms", d.Ages.Built).Uint64("token", d.Token).Uint64("sequence", d.Sequence).
		Int("guaranteed", t.guaranteed).Int("guarantee_used", d.GuaranteeUsed).Msg("admission")
}
