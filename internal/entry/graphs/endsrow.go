package graphs

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// endsSuffix ends the key of the row with the ends of a job's runs that its progress lacks, as
// that could not be read or was rejected. Earlier versions of the program ignore it.
const endsSuffix = "/ends"

func endsKey(id graph.JobID) string { return jobsPrefix + string(id) + endsSuffix }

// endsRow is the data of that row.
type endsRow struct {
	Ends []storedEnd `json:"ends"`
}

// storedEnd is the end of a run.
type storedEnd struct {
	Step       int           `json:"s"`
	Index      int           `json:"i"`
	Run        uint64        `json:"r"`
	Kind       graph.EndKind `json:"k"`
	Checkpoint string        `json:"c,omitempty"`
}

func encodeEnds(ends []graph.RunEnd) json.RawMessage {
	row := endsRow{Ends: make([]storedEnd, len(ends))}
	for i, e := range ends {
		row.Ends[i] = storedEnd{Step: e.Task.Step, Index: e.Task.Index, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint}
	}
	return ledger.Encode(row)
}

func decodeEnds(id graph.JobID, data json.RawMessage) ([]graph.RunEnd, error) {
	var row endsRow
	if err := json.Unmarshal(data, &row); err != nil {
		return nil, errors.Trace(err)
	}
	if len(row.Ends) == 0 { // no owner writes such a row
		return nil, errors.NotValidf("row without ends")
	}
	out := make([]graph.RunEnd, len(row.Ends))
	for i, e := range row.Ends {
		out[i] = graph.RunEnd{Task: graph.TaskID{Job: id, Step: e.Step, Index: e.Index}, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint}
	}
	return out, nil
}

// rowVersion is the version of a row that two saves may write, 0 if it does not exist.
type rowVersion struct {
	atomic.Uint64
	// odd is set for good if the row could not be decoded when it was read first. No ends are
	// written over it, so that it can be repaired. It is set before the first save.
	odd bool
}

// errOddEnds means that the row of ends could not be decoded.
const errOddEnds = errors.ConstError("the stored ends cannot be read, and are kept for a repair")

// SaveEnds writes the ends of a job that its progress lacks if the fence row is unchanged, and
// updates the version of their row. On ErrConflict it returns the current version of the fence
// row.
func (s *Store) SaveEnds(ctx context.Context, fenceVersion uint64, a plan.SaveEnds, known *rowVersion) (currentFenceVersion uint64, err error) {
	rows, err := s.table.Commit(ctx, ledger.CauseJob,
		ledger.Write{Key: endsKey(a.Job), Version: known.Load(), Data: encodeEnds(a.Ends)},
		ledger.Write{Key: fenceKey, Version: fenceVersion, Check: true})
	if len(rows) == 2 {
		known.Store(rows[0].Version)
		currentFenceVersion = rows[1].Version
	}
	return currentFenceVersion, errors.Annotatef(err, "saving the ends of job %q", a.Job)
}

// removeEnds removes the row of ends of a job of which nothing else is stored. The job may be
// nil.
func (s *Store) removeEnds(ctx context.Context, j *storedJob) error {
	if j == nil || j.endsVersion == 0 {
		return nil
	}
	return s.deleteRows(ctx, endsKey(j.id))
}

// endsVersionOf returns what is known of the row with the ends of a job. The caller holds the
// lock.
func (t *term) endsVersionOf(id graph.JobID) *rowVersion {
	if t.endsVersions[id] == nil {
		t.endsVersions[id] = &rowVersion{}
	}
	return t.endsVersions[id]
}

// saveEnds writes the ends of a job that its progress lacks, retrying as saveProgress does.
func (t *term) saveEnds(a plan.SaveEnds, known *rowVersion) {
	var err error = errOddEnds
	if !known.odd {
		err = t.retrySave(string(a.Job), func() (uint64, error) {
			return t.store.SaveEnds(t.ctx, t.fenceVersion, a, known)
		})
	}
	switch {
	case err == nil:
		t.step(plan.EndsSaved{Job: a.Job, Number: a.Number})
	case errors.Is(err, errOddEnds), errors.Is(err, ledger.ErrRejected):
		t.log.Error().Err(err).Str("job", string(a.Job)).Int("ends", len(a.Ends)).Msg("ends of a job cannot be stored")
		t.step(plan.EndsSaved{Job: a.Job, Number: a.Number, Rejected: true})
	}
}

// retrySave calls save, which writes rows of a job and returns the current version of the fence
// row on ErrConflict, until it succeeds, the table rejects the content or the term ends.
func (t *term) retrySave(job string, save func() (fenceVersion uint64, err error)) error {
	for attempt := 0; t.ctx.Err() == nil; attempt++ {
		fenceVersion, err := save()
		switch {
		case err == nil || errors.Is(err, ledger.ErrRejected):
			return err
		case errors.Is(err, ledger.ErrConflict) && fenceVersion != t.fenceVersion:
			t.cancel(errors.Annotatef(err, "another owner has begun its term"))
			return err
		case errors.Is(err, ledger.ErrConflict): // the rows are known now
		default:
			metrics.GetOrRegisterCounter("plan.save_retries", t.registry).Inc(1)
			if attempt == 0 && t.ctx.Err() == nil {
				t.log.Warn().Err(err).Str("job", job).Msg("failed to save job progress; retrying")
			}
			kernel.Sleep(t.ctx, saveRetryInterval)
		}
	}
	return context.Cause(t.ctx)
}
