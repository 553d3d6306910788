// Package jobs stores job rows in the platform's table and notifies callers that
// wait for jobs to become final.
//
// Each job has a row job/<id> with its record. Until it is final it also has a
// row active/<cell>/<id>, created and deleted in the same transactions, so that
// a new owner of the cell finds all of its jobs with one scan.
package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	jobPrefix    = "job/"
	activePrefix = "active/"
	scanPageSize = 1000
	getBatchSize = 200
)

// Errors of the store.
const (
	ErrJobNotFound = errors.ConstError("job does not exist")
	ErrKeyReused   = errors.ConstError("idempotency key belongs to a different job")
	ErrJobFinal    = errors.ConstError("job is final")
	// ErrStaleEpoch means that an owner with a higher epoch has written the row.
	ErrStaleEpoch = errors.ConstError("row was written by a later owner")
)

// Row is a job's row in the table. Epoch is the epoch of the owner that wrote
// the row last, or 0 if none has.
type Row struct {
	Cell   string        `json:"cell"`
	Epoch  uint64        `json:"epoch"`
	Digest string        `json:"digest"` // of the submitted job
	Record api.JobRecord `json:"record"`

	version uint64
}

// ActiveJob identifies the row that marks a job as not final. A new version of
// the row tells the owner to read the job again.
type ActiveJob struct {
	ID      string
	Version uint64
}

// Store reads and writes job rows.
type Store struct {
	ledger ledger.Ledger
	cell   string
}

func NewStore(l ledger.Ledger, cell string) *Store { return &Store{ledger: l, cell: cell} }

// JobID returns the id of a new job. The same idempotency key of the same client
// account gives the same id on every entry; without a key the id is random.
func JobID(account, key string) string {
	if key == "" {
		return "j-" + uuid.NewString()
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "j-" + hex.EncodeToString(sum[:16])
}

func (s *Store) activeKey(id string) string { return activePrefix + s.cell + "/" + id }

// Create stores a new job and returns its record and true. If the id exists
// already, it returns the existing record and false, or ErrKeyReused if that job
// differs.
func (s *Store) Create(ctx context.Context, job api.Job) (api.JobRecord, bool, error) {
	row := Row{
		Cell:   s.cell,
		Digest: jobDigest(job),
		Record: api.JobRecord{Job: job, State: api.JobQueued},
	}
	rows, err := s.ledger.Commit(ctx, ledger.CauseJob,
		ledger.Write{Key: jobPrefix + job.ID, Data: ledger.Encode(row)},
		ledger.Write{Key: s.activeKey(job.ID), Data: ledger.Encode(struct{}{})})
	if err == nil {
		return row.Record, true, nil
	}
	if !errors.Is(err, ledger.ErrConflict) {
		return api.JobRecord{}, false, errors.Annotatef(err, "keeping job %q", job.ID)
	}
	existing, err := decodeRow(rows[0])
	if err != nil {
		return api.JobRecord{}, false, errors.Annotatef(err, "job %q", job.ID)
	}
	if existing.Digest != row.Digest {
		return api.JobRecord{}, false, errors.Annotatef(ErrKeyReused, "job %q", job.ID)
	}
	return existing.Record, false, nil
}

// jobDigest returns a digest of a job without its submission time, so that a
// repeated submission gives the same digest.
func jobDigest(job api.Job) string {
	job.Submitted = time.Time{}
	sum := sha256.Sum256(ledger.Encode(job))
	return hex.EncodeToString(sum[:8])
}

// GetRows returns the rows of the given jobs by id; jobs that do not exist are
// left out. It fails if one of them cannot be decoded.
func (s *Store) GetRows(ctx context.Context, cause ledger.Cause, ids ...string) (map[string]Row, error) {
	out, damaged, err := s.readRows(ctx, cause, ids)
	if err == nil && len(damaged) > 0 {
		err = damaged[0]
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// GetSoundRows is GetRows, but leaves out rows that cannot be decoded or hold no job that
// an entry accepts, and returns an error for each of them.
func (s *Store) GetSoundRows(ctx context.Context, cause ledger.Cause, ids ...string) (rows map[string]Row, odd []error, err error) {
	rows, odd, err = s.readRows(ctx, cause, ids)
	for id, row := range rows {
		if err := row.check(id); err != nil {
			delete(rows, id)
			odd = append(odd, errors.Annotatef(err, "job %q", id))
		}
	}
	return rows, odd, err
}

// check reports what an entry never stores. Rows that another program has written may
// hold anything.
func (r *Row) check(id string) error {
	job := r.Record.Job
	switch {
	case job.ID != id:
		return errors.NotValidf("row of job %q", job.ID)
	case r.Record.State != api.JobQueued && r.Record.State != api.JobRunning && r.Record.State != api.JobFinal:
		return errors.NotValidf("state %q", r.Record.State)
	case job.DeclaredRun < 0:
		return errors.NotValidf("declared run time %v", job.DeclaredRun.D())
	}
	return job.Gang.Validate("gang")
}

// readRows reads the rows of the given jobs. Rows that cannot be decoded are left out, with
// an error for each of them.
func (s *Store) readRows(ctx context.Context, cause ledger.Cause, ids []string) (out map[string]Row, damaged []error, err error) {
	out = map[string]Row{}
	for len(ids) > 0 {
		n := min(len(ids), getBatchSize)
		keys := make([]string, n)
		for i, id := range ids[:n] {
			keys[i] = jobPrefix + id
		}
		rows, err := s.ledger.Get(ctx, cause, keys...)
		if err != nil {
			return nil, nil, errors.Annotatef(err, "reading %d job rows", n)
		}
		for i, r := range rows {
			if r.Version == 0 {
				continue
			}
			row, err := decodeRow(r)
			if err != nil {
				damaged = append(damaged, errors.Annotatef(err, "job %q", ids[i]))
				continue
			}
			out[ids[i]] = row
		}
		ids = ids[n:]
	}
	return out, damaged, nil
}

// GetRecord returns the record of a job, or ErrJobNotFound.
func (s *Store) GetRecord(ctx context.Context, id string) (api.JobRecord, error) {
	rows, err := s.GetRows(ctx, ledger.CauseJob, id)
	if err != nil {
		return api.JobRecord{}, err
	}
	row, ok := rows[id]
	if !ok {
		return api.JobRecord{}, errors.Annotatef(ErrJobNotFound, "job %q", id)
	}
	return row.Record, nil
}

// ListRecords returns the records of up to limit rows with ids greater than after, in
// order of id. Rows that cannot be decoded are left out. next is the id after which the
// list goes on, empty at its end.
func (s *Store) ListRecords(ctx context.Context, after string, limit int) (records []api.JobRecord, next string, err error) {
	from := ""
	if after != "" {
		from = jobPrefix + after
	}
	rows, err := s.ledger.Scan(ctx, ledger.CauseJob, jobPrefix, from, limit)
	if err != nil {
		return nil, "", errors.Annotate(err, "listing jobs")
	}
	records = []api.JobRecord{}
	for _, r := range rows {
		if row, err := decodeRow(r); err == nil {
			records = append(records, row.Record)
		}
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key[len(jobPrefix):]
	}
	return records, next, nil
}

// ListActive returns all jobs of the cell that are not final.
func (s *Store) ListActive(ctx context.Context, cause ledger.Cause) ([]ActiveJob, error) {
	prefix := activePrefix + s.cell + "/"
	var out []ActiveJob
	after := ""
	for {
		rows, err := s.ledger.Scan(ctx, cause, prefix, after, scanPageSize)
		if err != nil {
			return nil, errors.Annotatef(err, "scanning active jobs of cell %q", s.cell)
		}
		for _, r := range rows {
			out = append(out, ActiveJob{ID: r.Key[len(prefix):], Version: r.Version})
		}
		if len(rows) < scanPageSize {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// RequestCancel records the request to cancel a job and returns the job's
// record. A final record is returned unchanged with ErrJobFinal.
func (s *Store) RequestCancel(ctx context.Context, id string) (api.JobRecord, error) {
	for {
		rows, err := s.GetRows(ctx, ledger.CauseJob, id)
		if err != nil {
			return api.JobRecord{}, err
		}
		row, ok := rows[id]
		if !ok {
			return api.JobRecord{}, errors.Annotatef(ErrJobNotFound, "job %q", id)
		}
		if row.Record.State == api.JobFinal {
			return row.Record, errors.Annotatef(ErrJobFinal, "job %q", id)
		}
		if row.Record.CancelAsked {
			return row.Record, nil
		}
		record, err := s.markCancel(ctx, id, row)
		if !errors.Is(err, ledger.ErrConflict) {
			return record, errors.Annotatef(err, "cancelling job %q", id)
		}
	}
}

func (s *Store) markCancel(ctx context.Context, id string, row Row) (api.JobRecord, error) {
	active, err := s.ledger.Get(ctx, ledger.CauseJob, s.activeKey(id))
	if err != nil {
		return api.JobRecord{}, err
	}
	row.Record.CancelAsked = true
	_, err = s.ledger.Commit(ctx, ledger.CauseJob,
		ledger.Write{Key: jobPrefix + id, Version: row.version, Data: ledger.Encode(row)},
		ledger.Write{Key: s.activeKey(id), Version: active[0].Version, Data: ledger.Encode(struct{}{})})
	return row.Record, err
}

// Save writes a record for the owner with the given epoch. A cancellation
// requested in the meantime is kept. ErrStaleEpoch and ErrJobFinal mean that
// another owner has taken over the job; nothing was written in that case.
func (s *Store) Save(ctx context.Context, epoch uint64, record api.JobRecord) (Row, error) {
	id := record.Job.ID
	for {
		rows, err := s.GetRows(ctx, ledger.CauseJob, id)
		if err != nil {
			return Row{}, err
		}
		row, err := rowToSave(rows, epoch, record)
		if err != nil {
			return row, err
		}
		if sameRecord(rows[id].Record, row.Record) && rows[id].Epoch == epoch {
			return row, nil // an earlier try took effect
		}
		err = s.writeRow(ctx, row)
		if !errors.Is(err, ledger.ErrConflict) {
			return row, errors.Annotatef(err, "saving job %q", id)
		}
	}
}

func rowToSave(rows map[string]Row, epoch uint64, record api.JobRecord) (Row, error) {
	id := record.Job.ID
	row, ok := rows[id]
	if !ok {
		return Row{}, errors.Annotatef(ErrJobNotFound, "job %q", id)
	}
	record.CancelAsked = record.CancelAsked || row.Record.CancelAsked
	switch {
	case row.Epoch > epoch:
		return row, errors.Annotatef(ErrStaleEpoch, "job %q: epoch %d, own %d", id, row.Epoch, epoch)
	case row.Record.State == api.JobFinal && !sameRecord(row.Record, record):
		return row, errors.Annotatef(ErrJobFinal, "job %q", id)
	}
	row.Record = record
	row.Epoch = epoch
	return row, nil
}

func sameRecord(a, b api.JobRecord) bool { return string(ledger.Encode(a)) == string(ledger.Encode(b)) }

func (s *Store) writeRow(ctx context.Context, row Row) error {
	id := row.Record.Job.ID
	writes := []ledger.Write{{Key: jobPrefix + id, Version: row.version, Data: ledger.Encode(row)}}
	if row.Record.State == api.JobFinal {
		active, err := s.ledger.Get(ctx, ledger.CauseJob, s.activeKey(id))
		if err != nil {
			return err
		}
		if active[0].Version > 0 {
			writes = append(writes, ledger.Write{Key: s.activeKey(id), Version: active[0].Version, Delete: true})
		}
	}
	_, err := s.ledger.Commit(ctx, ledger.CauseJob, writes...)
	return err
}

func decodeRow(r ledger.Row) (Row, error) {
	var row Row
	if r.Version == 0 {
		return row, errors.Trace(ErrJobNotFound)
	}
	if err := json.Unmarshal(r.Data, &row); err != nil {
		return row, errors.Annotatef(err, "row %q is damaged", r.Key)
	}
	row.version = r.Version
	return row, nil
}
