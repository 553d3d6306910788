package graphs

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// progressOf returns a save of a job with the given number of placed tasks.
func progressOf(tasks int) plan.SaveProgress {
	a := plan.SaveProgress{Job: "00000000000000aa", Steps: []graph.Step{{Count: 30}, {Count: graph.MaxTasks - 30}}}
	a.Progress = graph.Progress{Job: a.Job, State: graph.Running}
	for i := range tasks {
		t := graph.TaskProgress{Index: i, Run: 1<<24 + uint64(i), Worker: fmt.Sprintf("worker-%03d", i%50), Incarnation: "i-0000000a@1764900000000", Checkpoint: fmt.Sprintf("%016x", i)}
		if i >= 30 {
			t.Step, t.Index = 1, i-30
		}
		a.Progress.Tasks = append(a.Progress.Tasks, t)
	}
	return a
}

// loadOne returns the only job of a store.
func loadOne(t *testing.T, s *Store) *storedJob {
	t.Helper()
	jobs, err := s.LoadJobs(context.Background())
	if err != nil || len(jobs) != 1 || jobs[0].err != nil {
		t.Fatalf("%d jobs, %v, %+v", len(jobs), err, jobs)
	}
	return jobs[0]
}

// newFencedStore returns a store on an empty table with one job, and the version of the
// fence.
func newFencedStore(t *testing.T) (*Store, uint64) {
	t.Helper()
	s := NewStore(ledger.New(standin.NewFeedTable(), ledger.Config{Budgets: map[ledger.Cause]ledger.Budget{}}))
	_, fence, err := s.AdvanceFence(context.Background(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.InsertJob(context.Background(), &graph.Job{ID: "00000000000000aa", Steps: progressOf(0).Steps}); err != nil {
		t.Fatal(err)
	}
	return s, fence
}

// TestProgressOfAnySizeIsReadBack guards against tasks that are lost or doubled where a
// progress goes into parts, changes there, or is taken over.
func TestProgressOfAnySizeIsReadBack(t *testing.T) {
	s, fence := newFencedStore(t)
	rows := &progressRows{}
	for round, n := range []int{0, 1, 300, 1500, graph.MaxTasks, 1999, 900, 20} {
		a := progressOf(n)
		if n > 20 {
			a.Progress.Tasks[n/2].Done = true
			a.Progress.Stalls = []graph.UnitStalls{{Step: 1, Index: n / 2, Count: 3}}
			a.Progress.PlacedAt, a.Progress.LateFrom = 1_700_000_000_123, 1<<30
			a.Progress.Pool = graph.QueuePool{Name: "pool", Version: 7}
			a.Progress.Suspected = []graph.SuspectedCrash{{Worker: "w0", Incarnation: "i@1", Tasks: []graph.TaskRef{{Step: 1, Index: n / 2}}}}
		}
		if _, err := s.SaveProgress(context.Background(), fence, a, rows); err != nil {
			t.Fatalf("%d tasks: %v", n, err)
		}
		j := loadOne(t, s)
		if len(j.progress.Tasks) != n || n > 0 && !reflect.DeepEqual(*j.progress, a.Progress) {
			t.Fatalf("%d tasks: %d read back", n, len(j.progress.Tasks))
		}
		if round%2 == 1 {
			rows = &j.rows // of the next owner
		}
	}
}

// TestSmallProgressIsWrittenAsBefore guards against small jobs that an earlier version
// cannot read or that cost more, and against a progress of one that is not read.
func TestSmallProgressIsWrittenAsBefore(t *testing.T) {
	a := progressOf(300)
	p := (&progressRows{}).prepare(a, maxDataBytes)
	if len(p.writes) != 1 || string(p.writes[0].Data) != string(ledger.Encode(a.Progress)) {
		t.Errorf("%d writes", len(p.writes))
	}
	earlier := ledger.Encode(progressOf(600).Progress) // fits a row of the table, not one of ours
	if got, err := decodeProgress(earlier); err != nil || !reflect.DeepEqual(got.Progress, progressOf(600).Progress) {
		t.Errorf("progress of an earlier version: %v", err)
	}
}

// TestEarlierVersionSkipsParts guards against an owner of an earlier version that takes the
// tasks in parts for ones that were never placed.
func TestEarlierVersionSkipsParts(t *testing.T) {
	p := (&progressRows{}).prepare(progressOf(1000), maxDataBytes)
	var earlier graph.Progress
	if err := json.Unmarshal(p.writes[0].Data, &earlier); err == nil {
		t.Errorf("read as %+v", earlier)
	}
}

// TestSaveWritesChangedPartsOnly guards against the whole progress of a large job in each save.
func TestSaveWritesChangedPartsOnly(t *testing.T) {
	s, fence := newFencedStore(t)
	rows := &progressRows{}
	a := progressOf(graph.MaxTasks)
	if _, err := s.SaveProgress(context.Background(), fence, a, rows); err != nil {
		t.Fatal(err)
	}
	a = progressOf(graph.MaxTasks)
	a.Progress.Tasks[1234] = graph.TaskProgress{Step: 1, Index: 1204, Done: true}
	p := rows.prepare(a, maxDataBytes)
	bytes := 0
	for _, w := range p.writes {
		bytes += len(w.Data)
	}
	if len(p.writes) != 2 || p.writes[1].Key != partKey(a.Job, 12) || bytes > 16_000 {
		t.Errorf("%d rows with %d bytes: %s", len(p.writes), bytes, p.writes[len(p.writes)-1].Key)
	}
}

// TestConflictWritesAllPartsAgain guards against parts that are taken for known after a
// save whose outcome was not.
func TestConflictWritesAllPartsAgain(t *testing.T) {
	s, fence := newFencedStore(t)
	stale := &progressRows{}
	for i, n := range []int{1500, 1600} {
		if _, err := s.SaveProgress(context.Background(), fence, progressOf(n), &progressRows{version: stale.version, parts: stale.parts}); err != nil && i == 0 {
			t.Fatal(err)
		}
		if _, err := s.SaveProgress(context.Background(), fence, progressOf(700), stale); i == 0 && !errors.Is(err, ledger.ErrConflict) {
			t.Fatalf("save over unknown rows: %v", err)
		}
		if _, err := s.SaveProgress(context.Background(), fence, progressOf(1700+i), stale); err != nil {
			t.Fatal(err)
		}
		if j := loadOne(t, s); len(j.progress.Tasks) != 1700+i {
			t.Fatalf("%d tasks read back", len(j.progress.Tasks))
		}
	}
}

// TestMissingPartIsNoProgress guards against a job that runs again as a part of its progress is missing.
func TestMissingPartIsNoProgress(t *testing.T) {
	s, fence := newFencedStore(t)
	if _, err := s.SaveProgress(context.Background(), fence, progressOf(1500), &progressRows{}); err != nil {
		t.Fatal(err)
	}
	if err := s.deleteRows(context.Background(), partKey("00000000000000aa", 3)); err != nil {
		t.Fatal(err)
	}
	jobs, err := s.LoadJobs(context.Background())
	if err != nil || len(jobs) != 1 || !errors.Is(jobs[0].err, errPartMissing) {
		t.Errorf("%v, %+v", err, jobs[0])
	}
}

// TestRetentionRemovesParts guards against parts that stay in the table for ever.
func TestRetentionRemovesParts(t *testing.T) {
	s, fence := newFencedStore(t)
	a := progressOf(1500)
	a.Progress.State, a.Progress.FinishedAt = graph.Completed, time.Now().Add(-2*plan.FinalJobRetention)
	if _, err := s.SaveProgress(context.Background(), fence, a, &progressRows{}); err != nil {
		t.Fatal(err)
	}
	rows, err := s.table.Get(context.Background(), ledger.CauseJob, progressKey(a.Job))
	rule := s.RetentionRule()
	if err != nil || !rule.Expired(rows[0].Data, time.Now()) {
		t.Fatalf("not expired, %v", err)
	}
	if err := rule.BeforeDelete(context.Background(), progressKey(a.Job), rows[0].Data); err != nil {
		t.Fatal(err)
	}
	left, err := s.table.Scan(context.Background(), ledger.CauseJob, graphPrefix, "", 100)
	if err != nil || len(left) != 2 { // the fence and the progress row
		t.Errorf("%d rows left, %v", len(left), err)
	}
}

// TestLargestProgressFitsTheTable guards against limits of a job's tasks, names and
// checkpoints with which its progress does not fit the rows or a transaction.
func TestLargestProgressFitsTheTable(t *testing.T) {
	text := func(n int) string { return strings.Repeat("w", n) }
	for _, perStep := range []int{20, graph.MaxTasks} {
		a := plan.SaveProgress{Job: "00000000000000aa"}
		a.Progress = graph.Progress{Job: a.Job, State: graph.Cancelled, FinishedAt: time.Now(), PlacedAt: math.MaxInt64, LateFrom: math.MaxUint64,
			Pool: graph.QueuePool{Name: text(graph.MaxPoolBytes), Version: math.MaxUint64}}
		for range graph.MaxStalledUnits {
			a.Progress.Stalls = append(a.Progress.Stalls, graph.UnitStalls{Step: 99, Index: graph.MaxTasks - 1, Count: 99})
		}
		for range graph.MaxSuspectedCrashes {
			s := graph.SuspectedCrash{Worker: text(graph.MaxWorkerIDBytes), Incarnation: text(graph.MaxIncarnationBytes)}
			for range graph.MaxSuspectedTasks / graph.MaxSuspectedCrashes {
				s.Tasks = append(s.Tasks, graph.TaskRef{Step: 99, Index: graph.MaxTasks - 1})
			}
			a.Progress.Suspected = append(a.Progress.Suspected, s)
		}
		for s := range graph.MaxTasks / perStep {
			a.Steps = append(a.Steps, graph.Step{Count: perStep})
			for i := range perStep {
				a.Progress.Tasks = append(a.Progress.Tasks, graph.TaskProgress{Step: s, Index: i, Run: math.MaxUint64, Worker: text(graph.MaxWorkerIDBytes),
					Incarnation: text(graph.MaxIncarnationBytes), Failures: 9999, RunFailed: true, Crashes: 9999, RunCrashed: true, Done: true, Checkpoint: text(graph.MaxCheckpointBytes)})
			}
		}
		p := (&progressRows{}).prepare(a, maxDataBytes)
		largest, total := 0, 0
		for _, w := range p.writes {
			largest, total = max(largest, len(w.Data)), total+len(w.Data)+len(w.Key)
		}
		t.Logf("%d tasks a step: %d rows, largest %d bytes, %d bytes in all", perStep, len(p.writes), largest, total)
		if entries := 2*len(p.writes) + 1; entries > settings.HostedTableEntries || total > settings.HostedTableCommitBytes || largest > maxDataBytes || largest > tasksPerPart*maxTaskBytes {
			t.Errorf("%d tasks a step: %d entries, %d bytes, a row of %d bytes", perStep, entries, total, largest)
		}
	}
}

// TestJobsThatDoNotFitAreRefused guards against accepted jobs that a table with small rows
// cannot hold.
func TestJobsThatDoNotFitAreRefused(t *testing.T) {
	for rowBytes, maxTasks := range map[int]int{64 << 10: graph.MaxTasks, 16 << 10: 33} {
		s := NewStoreWithLimit(nil, rowBytes)
		for _, n := range []int{maxTasks, maxTasks + 1} {
			job := &graph.Job{Steps: []graph.Step{{Count: n, Needs: graph.Resources{MilliCPU: 1}}}}
			fits := s.CheckSize(job) == nil && job.Validate() == nil
			if fits != (n == maxTasks) {
				t.Errorf("rows of %d bytes, %d tasks: fits %v", rowBytes, n, fits)
			}
		}
	}
}

// TestStateOfLargeJobNeedsNoOwner guards against refusing to tell the state of a job whose progress is in parts while no owner answers.
func TestStateOfLargeJobNeedsNoOwner(t *testing.T) {
	s, fence := newFencedStore(t)
	a := progressOf(1500)
	if _, err := s.SaveProgress(context.Background(), fence, a, &progressRows{}); err != nil {
		t.Fatal(err)
	}
	if state, found, err := s.JobState(context.Background(), a.Job); state != graph.Running || !found || err != nil {
		t.Errorf("%q, found: %v, %v", state, found, err)
	}
}

// TestCancelBesideHeadOfProgressHolds guards against losing a cancellation that the feed brings together with the head of a progress in parts.
func TestCancelBesideHeadOfProgressHolds(t *testing.T) {
	s, _ := newFencedStore(t)
	term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	term.store = s
	id := graph.JobID("00000000000000aa")
	job := &graph.Job{ID: id, Pool: "p", Steps: progressOf(0).Steps}
	term.loadJobs([]*storedJob{{id: id, job: job}})
	term.loadJobs([]*storedJob{{id: id, job: job, cancelled: true, err: errPartMissing}})
	if status, _ := term.core.JobStatus(id); status.State != graph.Cancelled {
		t.Errorf("the job is %s after its cancellation", status.State)
	}
}

// TestFinalStateIsWrittenAlone guards against a save that is rejected again with the tasks it was rejected for, and a final state that is not read back.
func TestFinalStateIsWrittenAlone(t *testing.T) {
	for _, tasks := range []int{0, 20, 1500} {
		s, fence := newFencedStore(t)
		rows := &progressRows{}
		if _, err := s.SaveProgress(context.Background(), fence, progressOf(tasks), rows); err != nil {
			t.Fatal(err)
		}
		a := plan.SaveProgress{Job: "00000000000000aa", Steps: progressOf(0).Steps, StateOnly: true}
		a.Progress = graph.Progress{Job: a.Job, State: graph.Failed, FinishedAt: time.Unix(1764900000, 0)}
		for range 2 {
			if p := rows.prepare(a, maxDataBytes); len(p.writes) != 1 || len(p.writes[0].Data) > 120 {
				t.Errorf("%d tasks: %d writes, the first of %d bytes", tasks, len(p.writes), len(p.writes[0].Data))
			}
			if _, err := s.SaveProgress(context.Background(), fence, a, rows); err != nil {
				t.Fatal(err)
			}
		}
		if j := loadOne(t, s); j.state() != graph.Failed || !j.progress.FinishedAt.Equal(a.Progress.FinishedAt) {
			t.Errorf("%d tasks: read back as %+v", tasks, j.progress)
		}
	}
}
