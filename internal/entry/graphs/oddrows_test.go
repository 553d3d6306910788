package graphs

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const soundJob = `{"queue":"q","account":"a","pool":"p","spec":"s","steps":[{"n":2,"needs":{"c":500}}],"prio":1,"attempts":3,"stretch":2,"allow":1000000000,"at":"2026-02-07T15:23:55Z"}`

// oddJobs are values of job rows that no entry writes. Each replaces one part of soundJob.
func oddJobs() map[string]string {
	replaced := map[string][2]string{
		"a billion tasks":         {`"n":2`, `"n":1000000000`},
		"greatest count":          {`"n":2`, `"n":9223372036854775807`},
		"negative count":          {`"n":2`, `"n":-1`},
		"no tasks":                {`"n":2`, `"n":0`},
		"text for a count":        {`"n":2`, `"n":"2"`},
		"infinite count":          {`"n":2`, `"n":1e400`},
		"no steps":                {`[{"n":2,"needs":{"c":500}}]`, `[]`},
		"thousands of steps":      {`{"n":2,"needs":{"c":500}}`, strings.Repeat(`{"n":1,"needs":{}},`, 5000) + `{"n":1,"needs":{}}`},
		"dependency on itself":    {`"n":2`, `"after":[0],"n":2`},
		"dependency out of range": {`"n":2`, `"after":[7],"n":2`},
		"negative dependency":     {`"n":2`, `"after":[-1],"n":2`},
		"negative need":           {`"c":500`, `"c":-500`},
		"greatest need":           {`"c":500`, `"c":9223372036854775807`},
		"negative estimate":       {`"n":2`, `"est":-1,"n":2`},
		"greatest estimate":       {`"n":2`, `"est":9223372036854775807,"n":2`},
		"negative spread":         {`"n":2`, `"spread":-1,"n":2`},
		"negative priority":       {`"prio":1`, `"prio":-9223372036854775808`},
		"greatest priority":       {`"prio":1`, `"prio":9223372036854775807`},
		"negative attempts":       {`"attempts":3`, `"attempts":-3`},
		"infinite stretch":        {`"stretch":2`, `"stretch":1e308`},
		"negative stretch":        {`"stretch":2`, `"stretch":-1e308`},
		"negative allowance":      {`"allow":1000000000`, `"allow":-9223372036854775808`},
		"greatest allowance":      {`"allow":1000000000`, `"allow":9223372036854775807`},
		"year out of range":       {`2026-02`, `99999-02`},
		"deep nesting":            {`500`, strings.Repeat(`[`, 1<<20)},
		"a spec of a megabyte":    {`"spec":"s"`, `"spec":"` + strings.Repeat("s", 1<<20) + `"`},
	}
	out := map[string]string{"null": "null", "empty object": "{}", "number": "7", "cut": soundJob[:len(soundJob)/2]}
	for name, r := range replaced {
		out[name] = strings.Replace(soundJob, r[0], r[1], 1)
	}
	return out
}

var oddProgress = []string{
	`null`, `{}`, `7`, `{"state":"unknown"}`, `{"state":7}`,
	`{"state":"running","tasks":[{"s":-1,"i":0,"r":1,"w":"w"},{"s":9,"i":0,"r":1,"w":"w"},{"s":0,"i":-1,"r":1,"w":"w"},{"s":0,"i":1000000000,"r":1,"w":"w"}]}`,
	`{"state":"running","tasks":[{"s":0,"i":0,"r":18446744073709551615,"w":"w","b":"i@1","f":-5,"k":-5}]}`,
	`{"state":"running","tasks":[{"s":0,"i":0,"r":1,"w":"w"},{"s":0,"i":0,"r":1,"w":"w"},{"s":0,"i":0,"r":2,"w":"v"}]}`,
	`{"state":"running","tasks":[null]}`,
	`{"state":"running","tasks":{"parts":-1}}`,
	`{"state":"completed","tasks":{"parts":1000000000}}`,
	`{"state":"completed","tasks":{"parts":9223372036854775807}}`,
	`{"state":"completed","tasks":[{"s":0,"i":0,"r":1,"w":"w"}],"end":"2026-02-07T15:23:55Z"}`,
}

func rowsOf(id, job, progress string) []ledger.Row {
	rows := []ledger.Row{{Key: jobKey(graph.JobID(id)), Version: 1, Data: json.RawMessage(job)}}
	if progress != "" {
		rows = append(rows, ledger.Row{Key: progressKey(graph.JobID(id)), Version: 2, Data: json.RawMessage(progress)})
	}
	return rows
}

// TestOddJobRowStopsNoOtherJob guards against a job row of another writer that ends each term which reads it, or takes all memory.
func TestOddJobRowStopsNoOtherJob(t *testing.T) {
	odd := map[string][]ledger.Row{}
	for name, job := range oddJobs() {
		odd[name] = rowsOf("00000000000000ff", job, "")
	}
	for i, progress := range oddProgress {
		odd[fmt.Sprintf("progress %d", i)] = rowsOf("00000000000000ff", soundJob, progress)
	}
	for _, id := range []string{"", "../../x", "a.b.c", "00000000000000fg", strings.Repeat("f", 1000)} {
		odd[fmt.Sprintf("id %.20q", id)] = rowsOf(id, soundJob, "")
	}
	const sound = "5c0e7a21d94b36f8"
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for name, rows := range odd {
		term, _, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
		term.loadJobs(decodeJobs(append(rows, rowsOf(sound, soundJob, "")...)))
		term.step(reportOf(1))
		term.runArrangedPass()
		if term.closed {
			t.Errorf("%s: the term has ended", name)
		}
		if status, known := term.core.JobStatus(sound); !known || status.State != graph.Queued {
			t.Errorf("%s: the sound job is not known", name)
		}
	}
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > 256<<20 {
		t.Errorf("%d MB allocated", used>>20)
	}
}

// TestRelayedOddJobIsRefused guards against a body from another entry that stores what no caller may submit.
func TestRelayedOddJobIsRefused(t *testing.T) {
	for name, job := range oddJobs() {
		if _, err := decodeRelayedJob(&rpc.RelayRequest{Job: []byte(job)}); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := decodeRelayedJob(&rpc.RelayRequest{Job: []byte(soundJob)}); err != nil {
		t.Error(err)
	}
}

// TestSkippedJobsAreLoggedWithinBound guards against a log line for each of many odd rows.
func TestSkippedJobsAreLoggedWithinBound(t *testing.T) {
	var rows []ledger.Row
	for i := range 500 {
		rows = append(rows, rowsOf(fmt.Sprintf("%016x", i), `{"steps":7}`, "")...)
	}
	s := newTestScheduler(&fakeOwnership{now: time.Second, ends: time.Hour})
	lines := 0
	s.log = zerolog.New(countingWriter{&lines})
	term, _, _ := newTermOf(s)
	lines = 0
	term.loadJobs(decodeJobs(rows))
	if n := metrics.GetOrRegisterCounter("plan.unreadable_jobs", term.registry).Count(); n != 500 || lines < 1 || lines > 10 {
		t.Errorf("%d jobs counted, %d lines", n, lines)
	}
}

type countingWriter struct{ lines *int }

func (w countingWriter) Write(p []byte) (int, error) {
	*w.lines++
	return len(p), nil
}

// rowTable returns one row to every read and conflict.
type rowTable struct {
	Table
	row ledger.Row
}

func (r rowTable) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	return []ledger.Row{r.row}, nil
}

func (r rowTable) Commit(context.Context, ledger.Cause, ...ledger.Write) ([]ledger.Row, error) {
	return []ledger.Row{r.row}, ledger.ErrConflict
}

// TestJobOverOddRowIsNotAccepted guards against accepting a job whose row another writer holds, as it would never run.
func TestJobOverOddRowIsNotAccepted(t *testing.T) {
	id := graph.JobID("5c0e7a21d94b36f8")
	odd := []ledger.Row{{Key: jobKey(id), Version: 3, Unreadable: true}}
	for _, job := range oddJobs() {
		odd = append(odd, ledger.Row{Key: jobKey(id), Version: 3, Data: json.RawMessage(job)})
	}
	ctx := context.Background()
	for _, row := range odd {
		s := NewStore(rowTable{row: row})
		if err := s.InsertJob(ctx, &graph.Job{ID: id}); err == nil {
			t.Errorf("accepted over %.60s", row.Data)
		}
		if _, err := s.CancelJob(ctx, id); err == nil {
			t.Errorf("cancelled over %.60s", row.Data)
		}
	}
	sound := NewStore(rowTable{row: ledger.Row{Key: jobKey(id), Version: 3, Data: json.RawMessage(soundJob)}})
	if err := sound.InsertJob(ctx, &graph.Job{ID: id}); err != nil {
		t.Errorf("the same job again: %v", err)
	}
}

// deletionTable records the rows that are read for their deletion.
type deletionTable struct {
	Table
	keys []string
}

func (d *deletionTable) Get(_ context.Context, _ ledger.Cause, keys ...string) ([]ledger.Row, error) {
	d.keys = append(d.keys, keys...)
	return []ledger.Row{{Key: keys[0]}}, nil
}

// TestOddProgressRowRemovesNoOtherJob guards against an expired row of another writer that names the job of another key.
func TestOddProgressRowRemovesNoOtherJob(t *testing.T) {
	table := &deletionTable{}
	rule := NewStore(table).RetentionRule()
	data := json.RawMessage(`{"id":"5c0e7a21d94b36f8","state":"completed","end":"2020-02-07T15:23:55Z"}`)
	if !rule.Expired(data, time.Now()) {
		t.Fatal("not expired")
	}
	for _, key := range []string{progressKey("00000000000000ff"), jobKey("00000000000000ff"), "graph/j/x"} {
		if err := rule.BeforeDelete(context.Background(), key, data); err != nil {
			t.Error(err)
		}
	}
	if want := []string{jobKey("00000000000000ff"), cancelKey("00000000000000ff"), endsKey("00000000000000ff")}; !slices.Equal(table.keys, want) {
		t.Errorf("removes %v, want %v", table.keys, want)
	}
}
