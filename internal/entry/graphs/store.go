// Package graphs is the part of an entry that serves jobs which are graphs of
// steps. It accepts jobs, answers queries about them and, while the entry owns
// scheduling, connects their decision core with the agents of the workers.
package graphs

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Row keys. A job has up to three rows: the request, written once by the entry
// that accepts it; its cancellation, written once by any entry; and its progress,
// written only by the owner. A large progress has further rows, see partsPrefix, and one
// that cannot be written has a row with ends beside it, see endsSuffix.
const (
	// graphPrefix is the prefix of all rows of this package.
	graphPrefix    = "graph/"
	jobsPrefix     = "graph/j/"
	jobSuffix      = "/job"
	cancelSuffix   = "/cancel"
	progressSuffix = "/progress"
	partKind       = "/part" // not a suffix of a key
	// fenceKey is the row that each new owner writes before it reads the jobs.
	// Each write of progress requires this row to be unchanged, so that no write
	// of an earlier owner can take effect afterwards.
	fenceKey = "graph/fence"
	// learnedKey is the row of what the owner has learned. It is overwritten, so it
	// needs no retention.
	learnedKey = "graph/learned"
)

// Limits of fencing tokens. Each term has a range of rpc.EpochsPerTerm, of which its own is
// the first.
const (
	// maxToken is the highest token that leads a run number. Run numbers stay below 2^53,
	// up to which every program reads JSON numbers exactly.
	maxToken = 1 << 28
	// tokenRecoveryStep is how far a recovered token is above those that are known. It
	// covers the terms since then that have placed nothing.
	tokenRecoveryStep = rpc.EpochsPerTerm << 10
)

// tokenRecoveryStart is the time from which seconds are counted for a recovered token.
// Terms begin less often than once in rpc.EpochsPerTerm seconds, so that their tokens stay
// below that count.
var tokenRecoveryStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scanPageRows is the page size of scans.
const scanPageRows = 500

// Table is the durable storage of jobs.
type Table interface {
	ledger.Ledger
	Feed(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]ledger.Row, uint64, error)
	Newest(ctx context.Context) (uint64, error)
	// Silence returns for how long calls have waited without any being answered.
	Silence() time.Duration
	// ReadTime returns the duration of the last answered read, 0 before the first.
	ReadTime() time.Duration
}

// Store reads and writes the rows of jobs.
type Store struct {
	table        Table
	maxDataBytes int           // of a row
	lastToken    atomic.Uint64 // the highest of this process's last term
}

// NewStore returns a store on a table.
func NewStore(t Table) *Store { return &Store{table: t, maxDataBytes: maxDataBytes} }

// NewStoreWithLimit returns a store on a table that takes values of up to rowBytes.
func NewStoreWithLimit(t Table, rowBytes int) *Store {
	// What counts as the size of a value, its bytes or its base64 text, does not matter
	// with three quarters of the limit.
	return &Store{table: t, maxDataBytes: min(maxDataBytes, rowBytes*3/4-ledger.MaxEnvelopeBytes)}
}

// CheckSize returns a NotValid error for a job whose rows could exceed the table's limit.
func (s *Store) CheckSize(job *graph.Job) error {
	if n := len(ledger.Encode(job)); n > s.maxDataBytes {
		return errors.NotValidf("job of %d bytes with its steps (at most %d)", n, s.maxDataBytes)
	}
	tasks := 0
	for i := range job.Steps {
		tasks += job.Steps[i].Count
	}
	if n := min(tasks, tasksPerPart) * maxTaskBytes; n > s.maxDataBytes {
		return errors.NotValidf("job of %d tasks, whose progress takes rows of up to %d bytes (at most %d)", tasks, n, s.maxDataBytes)
	}
	return nil
}

func jobKey(id graph.JobID) string      { return jobsPrefix + string(id) + jobSuffix }
func cancelKey(id graph.JobID) string   { return jobsPrefix + string(id) + cancelSuffix }
func progressKey(id graph.JobID) string { return jobsPrefix + string(id) + progressSuffix }

// errCancelledAhead means that a job was cancelled before it was stored. It is not stored.
const errCancelledAhead = errors.ConstError("the job was cancelled before it was accepted")

// InsertJob makes a job durable. It succeeds without a write if a job with the same
// ID exists already. It returns errCancelledAhead if the ID was cancelled before, and
// fails if the ID has a row that holds no job.
func (s *Store) InsertJob(ctx context.Context, job *graph.Job) error {
	rows, err := s.table.Commit(ctx, ledger.CauseJob,
		ledger.Write{Key: jobKey(job.ID), Data: ledger.Encode(job)},
		ledger.Write{Key: cancelKey(job.ID), Check: true})
	if errors.Is(err, ledger.ErrConflict) {
		err = checkJobRows(rows[:1])
		if rows[0].Version == 0 {
			err = errCancelledAhead
		}
	}
	return errors.Annotatef(err, "accepting job %q", job.ID)
}

// checkJobRows returns the error of the first row that cannot be decoded.
func checkJobRows(rows []ledger.Row) error {
	for _, stored := range decodeJobs(rows) {
		if stored.err != nil {
			return stored.err
		}
	}
	return nil
}

// HasJob reports whether a job is stored.
func (s *Store) HasJob(ctx context.Context, id graph.JobID) (bool, error) {
	rows, err := s.table.Get(ctx, ledger.CauseJob, jobKey(id))
	if err == nil {
		err = checkJobRows(rows)
	}
	if err != nil {
		return false, errors.Annotatef(err, "looking for job %q", id)
	}
	return rows[0].Version > 0, nil
}

// CancelJob makes the cancellation of a job durable; found is false if the job does
// not exist.
func (s *Store) CancelJob(ctx context.Context, id graph.JobID) (found bool, err error) {
	found, err = s.HasJob(ctx, id)
	if err != nil || !found {
		return false, errors.Annotatef(err, "cancelling job %q", id)
	}
	_, err = s.table.Commit(ctx, ledger.CauseJob, ledger.Write{Key: cancelKey(id), Data: json.RawMessage("{}")})
	if errors.Is(err, ledger.ErrConflict) {
		err = nil
	}
	return true, errors.Annotatef(err, "cancelling job %q", id)
}

// cancelRow is the row of a cancellation.
type cancelRow struct {
	// Ahead is when a job was cancelled that was not stored, the zero time for others.
	Ahead time.Time `json:"cancelled_ahead_at,omitzero"`
}

// CancelAhead makes the cancellation of a job durable that is not stored, so that a
// submission which is still under way is not stored either. If the job has been stored
// meanwhile, it writes nothing and returns true.
func (s *Store) CancelAhead(ctx context.Context, id graph.JobID, now time.Time) (stored bool, err error) {
	rows, err := s.table.Commit(ctx, ledger.CauseJob,
		ledger.Write{Key: cancelKey(id), Data: ledger.Encode(cancelRow{Ahead: now})},
		ledger.Write{Key: jobKey(id), Check: true})
	if errors.Is(err, ledger.ErrConflict) {
		return rows[1].Version > 0, nil
	}
	return false, errors.Annotatef(err, "cancelling job %q ahead", id)
}

// JobState reads a job's state from its rows; found is false if the job does not
// exist.
func (s *Store) JobState(ctx context.Context, id graph.JobID) (state graph.State, found bool, err error) {
	rows, err := s.table.Scan(ctx, ledger.CauseJob, jobsPrefix+string(id)+"/", "", scanPageRows)
	if err != nil {
		return "", false, errors.Annotatef(err, "state of job %q", id)
	}
	loaded := decodeJobs(rows)
	if len(loaded) == 0 || loaded[0].err == nil && loaded[0].job == nil {
		return "", false, nil
	}
	// The rows read have no parts of the progress, and the state needs none.
	if err := loaded[0].err; err != nil && !errors.Is(err, errPartMissing) {
		return "", false, errors.Annotatef(err, "state of job %q", id)
	}
	return loaded[0].state(), true, nil
}

// storedJob is a job decoded from its rows.
type storedJob struct {
	id        graph.JobID
	job       *graph.Job // nil if the job's request row was not among the rows
	cancelled bool
	progress  *graph.Progress // without the tasks in parts until assemble
	partCount int             // of the progress; 0 if it is in one row
	parts     map[int]partRow // by number
	rows      progressRows
	ends      []graph.RunEnd // that the progress lacks
	err       error          // of the first row that could not be decoded

	endsVersion uint64 // of the row of ends, 0 if it does not exist
	oddEnds     bool   // that row could not be decoded
}

func (s *storedJob) state() graph.State {
	switch {
	case s.progress != nil && s.progress.State.Final():
		return s.progress.State
	case s.cancelled:
		return graph.Cancelled
	case s.progress != nil:
		return s.progress.State
	default:
		return graph.Queued
	}
}

// decodeJobs groups rows by job, in the order of each job's first row.
func decodeJobs(rows []ledger.Row) []*storedJob {
	var out []*storedJob
	byID := map[graph.JobID]*storedJob{}
	for _, r := range rows {
		id, kind, ok := splitKey(r.Key)
		part := 0
		if !ok {
			id, part, ok = splitPartKey(r.Key)
			kind = partKind
		}
		if !ok || r.Version == 0 {
			continue
		}
		s := byID[id]
		if s == nil {
			s = &storedJob{id: id}
			byID[id] = s
			out = append(out, s)
		}
		if err := s.decodeRow(id, kind, part, r); err != nil && s.err == nil {
			s.err = err
		}
	}
	for _, s := range out {
		s.assemble()
	}
	return out
}

func (s *storedJob) decodeRow(id graph.JobID, kind string, part int, r ledger.Row) error {
	if kind == endsSuffix {
		s.endsVersion, s.oddEnds = r.Version, true
	}
	if r.Unreadable {
		return errors.NotValidf("row %q", r.Key)
	}
	switch kind {
	case endsSuffix:
		ends, err := decodeEnds(id, r.Data)
		if err != nil {
			return errors.Annotatef(err, "row %q", r.Key)
		}
		s.ends, s.oddEnds = ends, false
	case jobSuffix:
		s.job = &graph.Job{}
		if err := json.Unmarshal(r.Data, s.job); err != nil {
			return errors.Annotatef(err, "row %q", r.Key)
		}
		if !validJobID(id) {
			return errors.NotValidf("row %q: job ID", r.Key)
		}
		if err := s.job.ValidateStored(); err != nil {
			return errors.Annotatef(err, "row %q", r.Key)
		}
		s.job.ID = id
	case cancelSuffix:
		s.cancelled = true
	case progressSuffix:
		p, err := decodeProgress(r.Data)
		if err != nil {
			return errors.Annotatef(err, "row %q", r.Key)
		}
		if !p.State.Known() {
			return errors.NotValidf("row %q: state %q", r.Key, p.State)
		}
		s.progress, s.partCount, s.rows.version = &p.Progress, p.parts, r.Version
	case partKind:
		var p progressPart
		if err := json.Unmarshal(r.Data, &p); err != nil {
			return errors.Annotatef(err, "row %q", r.Key)
		}
		if s.parts == nil {
			s.parts = map[int]partRow{}
		}
		s.parts[part] = partRow{version: r.Version, tasks: p.Tasks, known: true}
	}
	return nil
}

func splitKey(key string) (id graph.JobID, kind string, ok bool) {
	rest, ok := strings.CutPrefix(key, jobsPrefix)
	if !ok {
		return "", "", false
	}
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", "", false
	}
	return graph.JobID(rest[:i]), rest[i:], true
}

// LoadJobs returns all jobs, ordered by ID, also those with rows that could not be
// decoded.
func (s *Store) LoadJobs(ctx context.Context) ([]*storedJob, error) {
	rows, err := s.scanAll(ctx, jobsPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "loading jobs")
	}
	jobs := decodeJobs(rows)
	if !slices.ContainsFunc(jobs, func(j *storedJob) bool { return j.partCount > 0 }) {
		return jobs, nil
	}
	parts, err := s.scanAll(ctx, partsPrefix)
	return decodeJobs(append(rows, parts...)), errors.Annotate(err, "loading jobs")
}

// LoadJob returns a job, also one with rows that cannot be decoded, or nil if it has none.
func (s *Store) LoadJob(ctx context.Context, id graph.JobID) (*storedJob, error) {
	var rows []ledger.Row
	for _, prefix := range []string{jobsPrefix, partsPrefix} {
		page, err := s.table.Scan(ctx, ledger.CauseRecovery, prefix+string(id)+"/", "", scanPageRows)
		if err != nil {
			return nil, errors.Annotatef(err, "loading job %q", id)
		}
		rows = append(rows, page...)
	}
	if jobs := decodeJobs(rows); len(jobs) > 0 {
		return jobs[0], nil
	}
	return nil, nil
}

// LoadJobsAndLearned returns all jobs like LoadJobs, and the row of what an earlier owner
// has learned. It comes with the pages of the jobs, without a call of its own.
func (s *Store) LoadJobsAndLearned(ctx context.Context) ([]*storedJob, ledger.Row, error) {
	rows, err := s.scanAll(ctx, graphPrefix)
	if err != nil {
		return nil, ledger.Row{}, errors.Annotate(err, "loading jobs and the learned state")
	}
	row := ledger.Row{Key: learnedKey}
	if i := slices.IndexFunc(rows, func(r ledger.Row) bool { return r.Key == learnedKey }); i >= 0 {
		row = rows[i]
	}
	return decodeJobs(rows), row, nil
}

// scanAll returns all rows with a prefix.
func (s *Store) scanAll(ctx context.Context, prefix string) ([]ledger.Row, error) {
	var rows []ledger.Row
	after := ""
	for {
		page, err := s.table.Scan(ctx, ledger.CauseRecovery, prefix, after, scanPageRows)
		if err != nil {
			return nil, errors.Trace(err)
		}
		rows = append(rows, page...)
		if len(page) < scanPageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// RetentionRule returns the rule that removes jobs some time after they have
// become final. The progress row is removed last, because it tells that the job is final.
// Cancellations of jobs that were never stored are removed after the same time.
func (s *Store) RetentionRule() retention.Rule {
	return retention.Rule{
		Name:   "graphs",
		Prefix: jobsPrefix,
		Expired: func(data json.RawMessage, now time.Time) bool {
			at := finalSince(data)
			return !at.IsZero() && now.Sub(at) > plan.FinalJobRetention
		},
		BeforeDelete: func(ctx context.Context, key string, data json.RawMessage) error {
			id, kind, ok := splitKey(key)
			if !ok || kind != progressSuffix {
				return nil
			}
			p, err := decodeProgress(data)
			if err != nil {
				return errors.Trace(err)
			}
			if p.parts > 0 {
				if err := s.deleteParts(ctx, id); err != nil {
					return err
				}
			}
			return s.deleteRows(ctx, jobKey(id), cancelKey(id), endsKey(id))
		},
	}
}

// finalSince returns since when the job of a row has been final by that row, or the zero
// time.
func finalSince(data json.RawMessage) time.Time {
	if p, err := decodeProgress(data); err == nil && p.State.Final() {
		return p.FinishedAt
	}
	var c cancelRow
	if json.Unmarshal(data, &c) != nil {
		return time.Time{}
	}
	return c.Ahead
}

// deleteRows deletes the given rows, skipping those that do not exist.
func (s *Store) deleteRows(ctx context.Context, keys ...string) error {
	for _, key := range keys {
		rows, err := s.table.Get(ctx, ledger.CauseCleanup, key)
		if err != nil {
			return errors.Annotatef(err, "removing %q", key)
		}
		if rows[0].Version == 0 {
			continue
		}
		if _, err := s.table.Commit(ctx, ledger.CauseCleanup, ledger.Write{Key: key, Version: rows[0].Version, Delete: true}); err != nil {
			return errors.Annotatef(err, "removing %q", key)
		}
	}
	return nil
}

// deleteParts deletes the parts of a job's progress.
func (s *Store) deleteParts(ctx context.Context, id graph.JobID) error {
	rows, err := s.table.Scan(ctx, ledger.CauseCleanup, partsPrefix+string(id)+"/", "", scanPageRows)
	if err != nil {
		return errors.Annotatef(err, "removing the progress of job %q", id)
	}
	if len(rows) == 0 {
		return nil
	}
	var deletes []ledger.Write
	for _, r := range rows {
		deletes = append(deletes, ledger.Write{Key: r.Key, Version: r.Version, Delete: true})
	}
	_, err = s.table.Commit(ctx, ledger.CauseCleanup, deletes...)
	return errors.Annotatef(err, "removing the progress of job %q", id)
}

// fenceRow is the row that an owner writes at the start of each term. Token is the
// highest epoch that the term may name to workers; the next term's token follows, also that of an
// owner of an earlier version, which names its token alone. It rises with each term: an owner
// that has lost its ownership briefly and regained it without another owner in between begins
// a new term under the same epoch.
type fenceRow struct {
	Epoch uint64 `json:"epoch"`
	Token uint64 `json:"token"`
}

// AdvanceFence prevents the writes of all earlier terms from taking effect. It
// returns the term's fencing token and the version of the fence row.
func (s *Store) AdvanceFence(ctx context.Context, epoch uint64) (token, version uint64, err error) {
	rows, err := s.table.Get(ctx, ledger.CauseOwner, fenceKey)
	if err != nil {
		return 0, 0, errors.Annotate(err, "reading the fence")
	}
	current, err := decodeFence(rows[0])
	if errors.Is(err, errors.NotValid) {
		current, err = s.recoverFence(ctx, time.Now())
	}
	if err != nil {
		return 0, 0, errors.Annotate(err, "reading the fence")
	}
	if current.Epoch > epoch {
		return 0, 0, errors.Annotatef(ledger.ErrConflict, "epoch %d has been fenced off by %d", epoch, current.Epoch)
	}
	token = current.Token + 1
	next := fenceRow{Epoch: epoch, Token: current.Token + rpc.EpochsPerTerm}
	written, err := s.table.Commit(ctx, ledger.CauseOwner, ledger.Write{Key: fenceKey, Version: rows[0].Version, Data: ledger.Encode(next)})
	if err != nil {
		return 0, 0, errors.Annotate(err, "writing the fence")
	}
	s.lastToken.Store(next.Token)
	return token, written[0].Version, nil
}

// decodeFence decodes the fence row. It returns a NotValid error for one that no owner
// has written.
func decodeFence(r ledger.Row) (fenceRow, error) {
	var f fenceRow
	if r.Version == 0 {
		return f, nil
	}
	if err := json.Unmarshal(r.Data, &f); err != nil {
		return f, errors.NotValidf("row %q: %v", r.Key, err)
	}
	if f.Token == 0 || f.Token > maxToken || f.Epoch > owner.MaxEpoch {
		return f, errors.NotValidf("row %q: token %d, epoch %d", r.Key, f.Token, f.Epoch)
	}
	return f, nil
}

// recoverFence returns a fence row above all tokens that have been used, in place of one
// that another program has overwritten. Tokens are known from this process's terms and
// from the runs of unfinished jobs. The clock covers those of other entries whose jobs
// have ended.
func (s *Store) recoverFence(ctx context.Context, now time.Time) (fenceRow, error) {
	jobs, err := s.LoadJobs(ctx)
	if err != nil {
		return fenceRow{}, errors.Annotate(err, "recovering the fence")
	}
	token := s.lastToken.Load()
	for _, j := range jobs {
		if j.progress == nil || j.err != nil {
			continue
		}
		for _, t := range j.progress.Tasks {
			if used := plan.TokenOfRun(t.Run); used <= maxToken/2 {
				token = max(token, used)
			}
		}
	}
	seconds := min(max(0, now.Sub(tokenRecoveryStart)/time.Second), maxToken/2)
	return fenceRow{Token: max(token+tokenRecoveryStep, uint64(seconds))}, nil
}

// FenceEpoch returns the epoch of the owner that has begun the last term, 0 before the
// first.
func FenceEpoch(ctx context.Context, table ledger.Ledger) (uint64, error) {
	rows, err := table.Get(ctx, ledger.CauseOwner, fenceKey)
	if err != nil {
		return 0, errors.Annotate(err, "reading the fence")
	}
	f, err := decodeFence(rows[0])
	return f.Epoch, err
}

// SaveProgress writes a job's progress if the fence row is unchanged, and updates what
// is known of its rows. On ErrConflict it returns the current version of the fence row.
func (s *Store) SaveProgress(ctx context.Context, fenceVersion uint64, a plan.SaveProgress, known *progressRows) (currentFenceVersion uint64, err error) {
	pending := known.prepare(a, s.maxDataBytes)
	fence := ledger.Write{Key: fenceKey, Version: fenceVersion, Check: true}
	rows, err := s.table.Commit(ctx, ledger.CauseJob, append(pending.writes, fence)...)
	switch {
	case err == nil:
		known.saved(pending, rows)
	case len(rows) > 0: // a conflict
		known.conflicted(pending, rows)
	}
	if n := len(rows); n > 0 {
		currentFenceVersion = rows[n-1].Version
	}
	return currentFenceVersion, errors.Annotatef(err, "saving job %q", a.Job)
}

// SaveLearned writes what the owner has learned if the fence row is unchanged. On
// ErrConflict it returns the current versions of the fence and the row.
func (s *Store) SaveLearned(ctx context.Context, fenceVersion, rowVersion uint64, data json.RawMessage) (currentFenceVersion, currentRowVersion uint64, err error) {
	rows, err := s.table.Commit(ctx, ledger.CauseRecovery,
		ledger.Write{Key: learnedKey, Version: rowVersion, Data: data},
		ledger.Write{Key: fenceKey, Version: fenceVersion, Check: true})
	if len(rows) == 2 {
		currentRowVersion, currentFenceVersion = rows[0].Version, rows[1].Version
	}
	return currentFenceVersion, currentRowVersion, errors.Annotate(err, "saving the learned state")
}

// tableAnswers reports whether the table answers as far as the calls have shown.
func (s *Store) tableAnswers() bool { return !s.table.BreakerOpen() && s.table.Outage() == 0 }
