package graphs

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

const jobOfEnds = graph.JobID("00000000000000aa")

func endsOf(indexes ...int) plan.SaveEnds {
	a := plan.SaveEnds{Job: jobOfEnds, Number: 1}
	for _, i := range indexes {
		a.Ends = append(a.Ends, graph.RunEnd{Task: graph.TaskID{Job: jobOfEnds, Index: i}, Run: 5, Kind: graph.EndStopped, Checkpoint: "c"})
	}
	return a
}

// TestEndsAreReadBackAndRemovedWithProgress guards against ends that the next owner does not know, and against ones that outlive the progress which contains them.
func TestEndsAreReadBackAndRemovedWithProgress(t *testing.T) {
	ctx := context.Background()
	s, fence := newFencedStore(t)
	known := &rowVersion{}
	for _, a := range []plan.SaveEnds{endsOf(0), endsOf(0, 1)} {
		if _, err := s.SaveEnds(ctx, fence, a, known); err != nil {
			t.Fatal(err)
		}
		if j := loadOne(t, s); !reflect.DeepEqual(j.ends, a.Ends) {
			t.Fatalf("read back %+v", j.ends)
		}
	}
	if current, err := s.SaveEnds(ctx, fence-1, endsOf(0), known); !errors.Is(err, ledger.ErrConflict) || current != fence {
		t.Errorf("of an earlier term: %v, fence %d", err, current)
	}
	for _, stale := range []bool{true, false} { // the owner that wrote the ends, and a save that does not know of the last write
		j := loadOne(t, s)
		rows := &progressRows{version: j.rows.version, ends: &rowVersion{}}
		rows.ends.Store(j.endsVersion)
		if stale {
			if _, err := s.SaveEnds(ctx, fence, endsOf(0, 1, 2), known); err != nil {
				t.Fatal(err)
			}
		}
		_, err := s.SaveProgress(ctx, fence, progressOf(3), rows)
		if stale {
			if !errors.Is(err, ledger.ErrConflict) {
				t.Fatalf("removed ends that it did not know: %v", err)
			}
			_, err = s.SaveProgress(ctx, fence, progressOf(3), rows)
		}
		if j := loadOne(t, s); err != nil || j.endsVersion > 0 || rows.ends.Load() > 0 {
			t.Errorf("stale %v: %v, %+v left", stale, err, j.ends)
		}
		if _, err := s.SaveEnds(ctx, fence, endsOf(0), known); errors.Is(err, ledger.ErrConflict) {
			_, err = s.SaveEnds(ctx, fence, endsOf(0), known)
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestJobsAreRemovedWithTheirEnds guards against rows with ends that stay for good.
func TestJobsAreRemovedWithTheirEnds(t *testing.T) {
	ctx := context.Background()
	s, fence := newFencedStore(t)
	if _, err := s.SaveEnds(ctx, fence, endsOf(0), &rowVersion{}); err != nil {
		t.Fatal(err)
	}
	if err := s.RetentionRule().BeforeDelete(ctx, progressKey(jobOfEnds), json.RawMessage(doneProgress)); err != nil {
		t.Fatal(err)
	}
	if jobs, err := s.LoadJobs(ctx); err != nil || len(jobs) > 0 {
		t.Errorf("left %+v, %v", jobs, err)
	}
	term, write := repairTerm(t, ledger.Row{Key: jobKey(jobOfEnds), Data: json.RawMessage(`{"steps":7}`)}, ledger.Row{Key: endsKey(jobOfEnds), Data: encodeEnds(endsOf(0).Ends)})
	write(jobKey(jobOfEnds), "")
	if j, err := term.store.LoadJob(ctx, jobOfEnds); err != nil || j != nil || term.core.Unreadable(jobOfEnds) {
		t.Errorf("after the removal of its job: %+v, %v", j, err)
	}
}

// TestTermStoresEndsOfUnreadableJob guards against a term that does not write the ends of a job that it cannot read, or loads the job without them.
func TestTermStoresEndsOfUnreadableJob(t *testing.T) {
	term, write := repairTerm(t, rowsOf(string(jobOfEnds), soundJob, `{"state":7}`)...)
	fenceTerm(t, term)
	report := reportOf(1)
	report.Ended = []graph.RunEnd{{Number: 1, Task: graph.TaskID{Job: jobOfEnds}, Run: 5, Kind: graph.EndDone}}
	term.step(report)
	load := func() *storedJob {
		j, err := term.store.LoadJob(context.Background(), jobOfEnds)
		if err != nil {
			t.Fatal(err)
		}
		return j
	}
	waitFor(t, "the ends are stored", func() bool { return len(load().ends) == 1 })
	write(progressKey(jobOfEnds), runningProgress)
	term.withCore(term.runPass)
	waitFor(t, "the progress contains the end", func() bool {
		j := load()
		return j.err == nil && j.endsVersion == 0 && len(j.progress.Tasks) > 0 && j.progress.Tasks[0].Done
	})
}

const runningProgress = `{"id":"00000000000000aa","state":"running","tasks":[{"s":0,"i":0,"r":5,"w":"w","b":"i@1"}]}`

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// TestEndsFitTheirRow guards against ends of one job that the table rejects for their size.
func TestEndsFitTheirRow(t *testing.T) {
	for _, checkpoint := range []string{"", strings.Repeat("c", graph.MaxCheckpointBytes)} {
		core := plan.New(plan.Config{})
		core.Step(0, plan.JobUnreadable{Job: jobOfEnds})
		report := reportOf(1)
		for i := range graph.MaxTasks {
			task := graph.TaskID{Job: jobOfEnds, Step: 99, Index: i}
			report.Ended = append(report.Ended, graph.RunEnd{Number: uint64(i + 1), Task: task, Run: maxToken<<24 + uint64(i), Kind: graph.EndStopped, Checkpoint: checkpoint})
		}
		core.Step(0, report)
		actions := core.Step(0, plan.EndsSaved{Job: jobOfEnds, Number: 1})
		i := slices.IndexFunc(actions, func(a plan.Action) bool { _, ok := a.(plan.SaveEnds); return ok })
		if i < 0 {
			t.Fatalf("the other ends are not saved: %+v", actions)
		}
		ends := actions[i].(plan.SaveEnds).Ends
		t.Logf("%d ends, %d bytes", len(ends), len(encodeEnds(ends)))
		if n := len(encodeEnds(ends)); n > maxDataBytes || n < maxDataBytes/2 {
			t.Errorf("%d ends in %d bytes", len(ends), n)
		}
	}
}

// TestOddRowOfEndsIsNotOverwritten guards against ends that are lost, as the owner writes others over a row of ends that it cannot read, or removes such a row, or the repaired one, with a progress that lacks them.
func TestOddRowOfEndsIsNotOverwritten(t *testing.T) {
	for _, odd := range []string{`{"ends":7}`, `{"ends_of_a_later_version":[{"s":0,"i":0,"r":5,"k":"done"}]}`} {
		rows := append(rowsOf(string(jobOfEnds), soundJob, runningProgress), ledger.Row{Key: endsKey(jobOfEnds), Data: json.RawMessage(odd)})
		term, write := repairTerm(t, rows...)
		fenceTerm(t, term)
		report := reportOf(1)
		report.Ended = []graph.RunEnd{{Number: 1, Task: graph.TaskID{Job: jobOfEnds, Index: 1}, Run: 6, Kind: graph.EndStopped}}
		term.step(report)
		time.Sleep(100 * time.Millisecond)
		stored, err := term.store.table.Get(context.Background(), ledger.CauseJob, endsKey(jobOfEnds))
		if err != nil || string(stored[0].Data) != odd || !term.core.Unreadable(jobOfEnds) {
			t.Errorf("the row of ends is %s and was %s, %v", stored[0].Data, odd, err)
			continue
		}
		write(endsKey(jobOfEnds), `{"ends":[{"s":0,"i":0,"r":5,"k":"done"}]}`)
		term.withCore(term.runPass)
		waitFor(t, "the progress contains the end of the repaired row", func() bool {
			j, err := term.store.LoadJob(context.Background(), jobOfEnds)
			return err == nil && j.err == nil && j.endsVersion == 0 && len(j.progress.Tasks) > 0 && j.progress.Tasks[0].Done
		})
	}
}

// fenceTerm writes the fence row of a term.
func fenceTerm(t *testing.T, term *term) {
	t.Helper()
	fence, err := term.store.table.Commit(context.Background(), ledger.CauseOwner, ledger.Write{Key: fenceKey, Data: ledger.Encode(fenceRow{Epoch: 1, Token: 7})})
	if err != nil {
		t.Fatal(err)
	}
	term.fenceVersion = fence[0].Version
}
