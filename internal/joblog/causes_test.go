package joblog

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestCauses plays log lines and prints what runs were lost by, or what holds the jobs.
func TestCauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/causes", func(t *testing.T, d *datadriven.TestData) string {
		journal := New()
		if err := journal.Read(strings.NewReader(d.Input)); err != nil {
			t.Fatal(err)
		}
		if d.Cmd == "state" {
			return printStandings(journal)
		}
		return printSpent(journal)
	})
}

func printSpent(journal *Journal) string {
	var out strings.Builder
	jobs := journal.Jobs(false)
	if s := journal.Skipped; s != (Skipped{}) {
		fmt.Fprintf(&out, "left out: %d malformed, %d repeated, %d late, %d unplaced\n", s.Malformed, s.Repeated, s.LateEnds, s.Unplaced)
	}
	for _, j := range jobs {
		fmt.Fprintf(&out, "%s: %d starts, %d from a checkpoint\n", j.Job, j.Starts, j.Resumed)
		for _, s := range j.StatesInUse() {
			u := j.States[s]
			fmt.Fprintf(&out, "  %s: %d runs, %d direct, %d task ms, %d core ms\n", s, u.Runs, u.Direct, u.TaskMS, u.CoreMS)
		}
	}
	return out.String()
}

func printStandings(journal *Journal) string {
	var out strings.Builder
	for _, s := range journal.Standings() {
		fmt.Fprintf(&out, "%s: %s for %d ms: %s\n", s.Job, s.Standing, s.ForMS, s.Reason)
		for _, m := range s.Missing {
			fmt.Fprintf(&out, "  %s run %d on %s, stopped by %q\n", m.Task, m.Run, m.Worker, m.Cause)
		}
	}
	return out.String()
}

// readAll reads lines with low bounds and asks for all reports.
func readAll(text []byte) *Journal {
	journal := New()
	journal.limits = limits{jobs: 5, runs: 20}
	if err := journal.Read(bytes.NewReader(text)); err != nil {
		panic(err)
	}
	journal.Jobs(true)
	journal.Standings()
	return journal
}

// TestDamagedFiles guards against a crash, a report that counts time below zero, or memory
// without bound on files that are cut, shuffled, repeated or changed.
func TestDamagedFiles(t *testing.T) {
	whole, err := os.ReadFile("testdata/causes")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(whole, []byte("\n"))
	const maxTasksDrawn = 99 // a changed byte may raise the tasks of a job to that
	rapid.Check(t, func(t *rapid.T) {
		var text []byte
		for range rapid.IntRange(0, 80).Draw(t, "lines") {
			line := bytes.Clone(rapid.SampledFrom(lines).Draw(t, "line"))
			switch rapid.IntRange(0, 5).Draw(t, "damage") {
			case 0:
				line = line[:rapid.IntRange(0, len(line)).Draw(t, "cut")]
			case 1:
				if len(line) > 0 {
					line[rapid.IntRange(0, len(line)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
				}
			case 2:
				line = bytes.ReplaceAll(line, []byte(`"job":"a"`), fmt.Appendf(nil, `"job":"a%d"`, rapid.IntRange(0, 9).Draw(t, "job")))
			}
			text = append(text, line...)
		}
		journal := readAll(text)
		if len(journal.jobs) > 5 || journal.runs > 20 {
			t.Fatalf("%d jobs, %d runs are kept", len(journal.jobs), journal.runs)
		}
		for _, j := range journal.Jobs(false) {
			for s, u := range j.States {
				if u.TaskMS < 0 || u.CoreMS < 0 || u.TaskMS > 80*maxTasksDrawn*86_400_000 {
					t.Fatalf("%s of %s: %+v", s, j.Job, u)
				}
			}
		}
	})
}

// TestAnyOrder guards against causes and times that depend on the order of the lines.
func TestAnyOrder(t *testing.T) {
	whole, err := os.ReadFile("testdata/causes")
	if err != nil {
		t.Fatal(err)
	}
	day, _, _ := strings.Cut(string(whole), "----")
	journal := New()
	if err := journal.Read(strings.NewReader(day)); err != nil {
		t.Fatal(err)
	}
	want := printSpent(journal)
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.Permutation(strings.Split(day, "\n")).Draw(t, "lines")
		journal := New()
		if err := journal.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
			t.Fatal(err)
		}
		if got := printSpent(journal); got != want {
			t.Fatalf("got %s\nwant %s", got, want)
		}
	})
}

func FuzzRead(f *testing.F) {
	whole, err := os.ReadFile("testdata/causes")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte(`{"time":"9999-12-31T23:59:59Z","message":"decision","job":"a","what":"placed","run":1,"tasks":-1,"accelerators":-5}`))
	f.Fuzz(func(_ *testing.T, text []byte) { readAll(text) })
}

// TestDamagedDate guards against a line with a damaged date that stretches the time of all
// jobs, and against a gap in the lines that counts as one.
func TestDamagedDate(t *testing.T) {
	text := ""
	for _, at := range []string{"7026-01-01T00:00:00Z", "2026-01-01T00:00:00Z", "2026-01-01T20:00:00Z", "2026-01-02T00:00:00Z", "2026-01-02T00:00:09Z", "2026-01-01T00:59:00Z"} {
		text += fmt.Sprintf(`{"time":%q,"message":"decision","job":%q,"what":"accepted"}`+"\n", at, at)
	}
	journal := New()
	if err := journal.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if jobs := journal.Jobs(false); len(jobs) != 4 || jobs[0].TookMS != 24*3600*1000+9000 || journal.Skipped.Misdated != 2 {
		t.Errorf("%d jobs, %+v, %+v", len(jobs), jobs[0], journal.Skipped)
	}
}

// TestEndAt guards against lines after the end that are counted.
func TestEndAt(t *testing.T) {
	journal := New()
	journal.EndAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	text := `{"time":"2026-01-01T00:00:00Z","message":"decision","job":"a","what":"accepted"}` + "\n" +
		`{"time":"2026-01-01T00:00:01Z","message":"decision","job":"b","what":"accepted"}`
	if err := journal.Read(strings.NewReader(text)); err != nil || journal.Skipped.Later != 1 || len(journal.Jobs(false)) != 1 {
		t.Errorf("error %v, %+v", err, journal.Skipped)
	}
}
