package graphs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// The progress of a job is in one row as long as it fits. Beyond that, the row becomes
// the head of several parts, each with the tasks of a fixed range, in the order of the
// job's steps: a save writes the head and the parts that have changed, in one
// transaction. An earlier version of the program cannot read the head. It then skips the
// job and does not take it for one whose tasks are not placed.
const (
	partsPrefix = "graph/p/"
	// tasksPerPart is the number of tasks of a part. Half a transaction of the table
	// takes the parts of a job with graph.MaxTasks.
	tasksPerPart = 100
	maxParts     = (graph.MaxTasks + tasksPerPart - 1) / tasksPerPart
	// maxTaskBytes bounds the progress of a task, see graph.MaxWorkerIDBytes.
	maxTaskBytes = 350
	// maxDataBytes is the largest data of a row. With the ledger's envelope its base64
	// text is below 64 kB as well.
	maxDataBytes = 48_000
)

func partKey(id graph.JobID, number int) string {
	return fmt.Sprintf("%s%s/%03d", partsPrefix, id, number)
}

// splitPartKey returns the job and the number of a part.
func splitPartKey(key string) (id graph.JobID, number int, ok bool) {
	rest, ok := strings.CutPrefix(key, partsPrefix)
	if !ok {
		return "", 0, false
	}
	job, text, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	number, err := strconv.Atoi(text)
	return graph.JobID(job), number, err == nil
}

// progressHead is the row of a progress that is in parts.
type progressHead struct {
	Job        graph.JobID `json:"id"`
	State      graph.State `json:"state"`
	Tasks      partCount   `json:"tasks"`
	FinishedAt time.Time   `json:"end,omitzero"`

	PlacedAt  int64                  `json:"placed,omitempty"`
	LateFrom  uint64                 `json:"late,omitempty"`
	Stalls    []graph.UnitStalls     `json:"stalls,omitempty"`
	Suspected []graph.SuspectedCrash `json:"suspected,omitempty"`
	Pool      graph.QueuePool        `json:"pool,omitzero"`
}

type partCount struct {
	Parts int `json:"parts"`
}

// progressPart is the row of a part.
type progressPart struct {
	Tasks []graph.TaskProgress `json:"tasks"`
}

// storedProgress is a progress row as it is read: the whole progress, or a head without
// tasks and the number of its parts.
type storedProgress struct {
	graph.Progress
	parts int
}

func decodeProgress(data json.RawMessage) (storedProgress, error) {
	var row struct {
		graph.Progress
		Tasks json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(data, &row); err != nil {
		return storedProgress{}, errors.Trace(err)
	}
	out := storedProgress{Progress: row.Progress}
	if len(row.Tasks) == 0 {
		return out, nil
	}
	if !bytes.HasPrefix(row.Tasks, []byte("{")) {
		return out, errors.Trace(json.Unmarshal(row.Tasks, &out.Progress.Tasks))
	}
	var count partCount
	if err := json.Unmarshal(row.Tasks, &count); err != nil {
		return storedProgress{}, errors.Trace(err)
	}
	if count.Parts < 1 || count.Parts > maxParts {
		return storedProgress{}, errors.NotValidf("progress of %d parts", count.Parts)
	}
	out.parts = count.Parts
	return out, nil
}

// progressRows is what is known of the rows that hold the progress of a job. Only the
// save in progress uses it, and a job has at most one.
type progressRows struct {
	version uint64    // of the row or the head, 0 if it does not exist
	parts   []partRow // nil while the progress is in one row
	// ends is the version of the row of ends, which a save removes; nil for none.
	ends *rowVersion
}

type partRow struct {
	version uint64
	tasks   []graph.TaskProgress
	known   bool // tasks is what the row holds
}

// pendingRows is a save of progress as writes, the head first.
type pendingRows struct {
	writes []ledger.Write
	// parts holds the parts after the save, written the number of the part of each write
	// after the first.
	parts   []partRow
	written []int
	// endsVersion is that of the row of ends, of which the removal is the last write; 0
	// for none.
	endsVersion uint64
}

// prepare returns the writes of a save, with the removal of the ends that it contains.
func (r *progressRows) prepare(a plan.SaveProgress, maxBytes int) pendingRows {
	out := r.prepareProgress(a, maxBytes)
	if r.ends != nil {
		out.endsVersion = r.ends.Load()
	}
	if out.endsVersion > 0 {
		out.writes = append(out.writes, ledger.Write{Key: endsKey(a.Job), Version: out.endsVersion, Delete: true})
	}
	return out
}

// prepareProgress returns the writes of a progress. The head is always among them: its version
// orders the saves of a job, also those whose outcome is unknown.
func (r *progressRows) prepareProgress(a plan.SaveProgress, maxBytes int) pendingRows {
	if r.parts == nil {
		data := ledger.Encode(a.Progress)
		if len(data) <= maxBytes {
			return pendingRows{writes: []ledger.Write{{Key: progressKey(a.Job), Version: r.version, Data: data}}}
		}
	}
	if a.StateOnly {
		return r.prepareState(a.Progress)
	}
	groups := splitTasks(a.Steps, a.Progress.Tasks, len(r.parts))
	head := progressHead{Job: a.Progress.Job, State: a.Progress.State, Tasks: partCount{len(groups)}, FinishedAt: a.Progress.FinishedAt,
		PlacedAt: a.Progress.PlacedAt, LateFrom: a.Progress.LateFrom, Stalls: a.Progress.Stalls, Suspected: a.Progress.Suspected, Pool: a.Progress.Pool}
	out := pendingRows{
		writes: []ledger.Write{{Key: progressKey(a.Job), Version: r.version, Data: ledger.Encode(head)}},
		parts:  make([]partRow, len(groups)),
	}
	copy(out.parts, r.parts)
	for i, tasks := range groups {
		p := &out.parts[i]
		if p.known && slices.Equal(p.tasks, tasks) {
			continue
		}
		p.tasks = tasks
		out.writes = append(out.writes, ledger.Write{Key: partKey(a.Job, i), Version: p.version, Data: ledger.Encode(progressPart{tasks})})
		out.written = append(out.written, i)
	}
	return out
}

// prepareState returns the write of a final state beside parts that stay as they are. Their
// tasks may be out of date, but none of a final job starts again.
func (r *progressRows) prepareState(p graph.Progress) pendingRows {
	head := progressHead{Job: p.Job, State: p.State, Tasks: partCount{len(r.parts)}, FinishedAt: p.FinishedAt}
	return pendingRows{writes: []ledger.Write{{Key: progressKey(p.Job), Version: r.version, Data: ledger.Encode(head)}}, parts: r.parts}
}

// splitTasks distributes tasks among the parts of a job with the given steps; there are
// at least minParts.
func splitTasks(steps []graph.Step, tasks []graph.TaskProgress, minParts int) [][]graph.TaskProgress {
	firsts := make([]int, len(steps))
	total := 0
	for i := range steps {
		firsts[i] = total
		total += steps[i].Count
	}
	groups := make([][]graph.TaskProgress, max(minParts, (total+tasksPerPart-1)/tasksPerPart))
	for _, t := range tasks {
		part := (firsts[t.Step] + t.Index) / tasksPerPart
		groups[part] = append(groups[part], t)
	}
	return groups
}

// saved records that a save is stored, with the rows that the commit has returned.
func (r *progressRows) saved(p pendingRows, rows []ledger.Row) {
	r.version, r.parts = rows[0].Version, p.parts
	for i, number := range p.written {
		r.parts[number].version, r.parts[number].known = rows[i+1].Version, true
	}
	if p.endsVersion > 0 {
		r.ends.CompareAndSwap(p.endsVersion, 0)
	}
}

// conflicted records the current versions of the rows of a save that conflicted. What
// the parts hold is not known then.
func (r *progressRows) conflicted(p pendingRows, rows []ledger.Row) {
	r.version = rows[0].Version
	if p.parts != nil && r.parts == nil {
		r.parts = make([]partRow, len(p.parts))
	}
	for i, number := range p.written {
		r.parts[number].version = rows[i+1].Version
	}
	for i := range r.parts {
		r.parts[i].known = false
	}
	if p.endsVersion > 0 {
		r.ends.CompareAndSwap(p.endsVersion, rows[len(p.writes)-1].Version)
	}
}

// release frees the memory of a job that will hardly be saved again: it is final, and no
// task of it is left on a worker.
func (r *progressRows) release(p graph.Progress) {
	isActive := func(t graph.TaskProgress) bool { return t.Worker != "" }
	if !p.State.Final() || slices.ContainsFunc(p.Tasks, isActive) {
		return
	}
	for i := range r.parts {
		r.parts[i].tasks, r.parts[i].known = nil, false
	}
}

// assemble joins the parts of a job's progress. A job that is final may lack parts: they
// are removed before the head.
func (s *storedJob) assemble() {
	if s.job == nil || s.progress == nil || s.partCount == 0 || s.err != nil {
		return
	}
	s.rows.parts = make([]partRow, s.partCount)
	for i := range s.rows.parts {
		p, ok := s.parts[i]
		if !ok && !s.progress.State.Final() {
			s.err = errors.Annotatef(errPartMissing, "part %d of %d of the progress", i, s.partCount)
			return
		}
		s.rows.parts[i] = p
		s.progress.Tasks = append(s.progress.Tasks, p.tasks...)
	}
}

// errPartMissing is the error of a progress of which a part was not read.
const errPartMissing = errors.ConstError("row is missing")
