package joblog

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestWhereTimeWent plays log lines and prints where the time of the jobs went.
func TestWhereTimeWent(t *testing.T) {
	datadriven.RunTest(t, "testdata/time", func(t *testing.T, d *datadriven.TestData) string {
		journal := New()
		if err := journal.Read(strings.NewReader(d.Input)); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "%d lines, %d malformed\n", journal.Lines, journal.Skipped.Malformed)
		for _, j := range journal.Jobs(true) {
			fmt.Fprintf(&out, "%s queue %s account %s zone %s: %s, took %d, lost %d, %d runs, %d waits\n", j.Job, j.Queue, j.Account, j.Zone, j.Outcome, j.TookMS, j.LostMS, len(j.Runs), len(j.Waits))
			for _, p := range Phases {
				if j.PhaseMS[p] > 0 {
					fmt.Fprintf(&out, "  %s %d\n", p, j.PhaseMS[p])
				}
			}
		}
		return out.String()
	})
}

// TestPhasesAddUp guards against time that is counted twice or not at all, whatever the
// order in which the lines of several processes are read.
func TestPhasesAddUp(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	ends := []string{"done", "failed", "broken", "stopped", "lapsed", "gone", ""}
	for range 200 {
		begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		at := func() string {
			return begin.Add(time.Duration(r.Intn(20_000)) * time.Millisecond).Format(time.RFC3339Nano)
		}
		lines := []string{fmt.Sprintf(`{"time":%q,"message":"decision","token":1,"job":"a","what":"accepted"}`, begin.Format(time.RFC3339Nano)),
			fmt.Sprintf(`{"time":%q,"message":"decision","token":2,"job":"a","what":"job-completed"}`, begin.Add(20*time.Second).Format(time.RFC3339Nano)),
			fmt.Sprintf(`{"time":%q,"message":"scheduling term began","token":2}`, at())}
		for run := range r.Intn(6) {
			for _, what := range []string{"placed", "start ordered", "run-ended"} {
				lines = append(lines, fmt.Sprintf(`{"time":%q,"message":"decision","token":1,"job":"a","what":%q,"run":%d,"detail":%q}`, at(), what, run, ends[r.Intn(len(ends))]))
			}
		}
		r.Shuffle(len(lines), func(i, k int) { lines[i], lines[k] = lines[k], lines[i] })
		journal := New()
		if err := journal.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
			t.Fatal(err)
		}
		j := journal.Jobs(false)[0]
		sum := int64(0)
		for _, ms := range j.PhaseMS {
			sum += ms
		}
		if sum != 20_000 || j.TookMS != sum || j.LostMS != sum-j.PhaseMS[Running] {
			t.Fatalf("phases %v add up to %d ms, took %d, lost %d", j.PhaseMS, sum, j.TookMS, j.LostMS)
		}
	}
}

// TestLongLineIsSkipped guards against a line without end that ends the reading or
// grows the memory.
func TestLongLineIsSkipped(t *testing.T) {
	journal := New()
	text := strings.Repeat("x", 3*maxLineBytes) + "\n" + `{"time":"2026-01-01T00:00:00Z","message":"decision","job":"a","what":"accepted"}`
	if err := journal.Read(strings.NewReader(text)); err != nil || journal.Skipped.TooLong != 1 || journal.Skipped.Malformed != 0 || len(journal.Jobs(false)) != 1 {
		t.Errorf("error %v, %+v, %d jobs", err, journal.Skipped, len(journal.Jobs(false)))
	}
}

// TestGroups guards against jobs that are added up under another key, and against an
// order that doesn't show the worst first.
func TestGroups(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	jobs := []JobTime{
		{Job: "a", Queue: "q1", Account: "x", Zone: "z", Began: begin, LostMS: 5, PhaseMS: map[Phase]int64{Room: 5}},
		{Job: "b", Queue: "q2", Account: "x", Zone: "y", Began: begin.Add(11 * time.Second), LostMS: 9, PhaseMS: map[Phase]int64{Room: 9, Running: 1}},
		{Job: "c", Queue: "q1", Account: "x", Zone: "z", Began: begin.Add(12 * time.Second), LostMS: 3, PhaseMS: map[Phase]int64{Claim: 3}},
	}
	for by, want := range map[Grouping]string{
		ByQueue: "q2:1:9 q1:2:8", ByAccount: "x:3:17", ByZone: "y:1:9 z:2:8", ByWindow: "2026-01-01T00:00:10Z:2:12 2026-01-01T00:00:00Z:1:5",
	} {
		var got []string
		for _, g := range Group(jobs, by, 10*time.Second) {
			got = append(got, fmt.Sprintf("%s:%d:%d", g.Key, g.Jobs, g.LostMS))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("by %s: %v, want %s", by, got, want)
		}
	}
}
