package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"
)

// simTime is a clock that advances only when a test or a sleep advances it.
type simTime struct{ now time.Duration }

func (s *simTime) clock() time.Duration { return s.now }

func (s *simTime) sleep(_ context.Context, d time.Duration) { s.now += d }

// simCtx is a context that ends at a time of simTime.
type simCtx struct {
	context.Context
	time *simTime
	end  time.Duration
}

func (c simCtx) Err() error {
	if c.time.now >= c.end {
		return context.DeadlineExceeded
	}
	return nil
}

// scenario runs the operations of several clients one after the other, each in the
// test's goroutine.
type scenario struct {
	time    *simTime
	table   *fakeTable
	clients map[string]*Client
}

func (s *scenario) client(name string) *Client {
	if c, ok := s.clients[name]; ok {
		return c
	}
	n := 0
	c := New(s.table, Config{
		Budgets: map[Cause]Budget{},
		Clock:   s.time.clock,
		Sleep:   s.time.sleep,
		Spawn:   func(fn func()) { fn() },
		Jitter:  func() float64 { return 0.5 },
		Token: func() string {
			n++
			return fmt.Sprintf("%s-%d", name, n)
		},
	})
	s.clients[name] = c
	return c
}

// parseWrites parses writes in the form "key@version=data" or "key@version=delete".
func parseWrites(text string) []Write {
	var out []Write
	for _, f := range strings.Fields(text) {
		key, rest, _ := strings.Cut(f, "@")
		version, data, _ := strings.Cut(rest, "=")
		v, _ := strconv.ParseUint(version, 10, 64)
		w := Write{Key: key, Version: v, Data: json.RawMessage(data)}
		if data == "delete" {
			w.Data, w.Delete = nil, true
		}
		out = append(out, w)
	}
	return out
}

func formatOutcome(rows []Row, err error) string {
	var b strings.Builder
	switch {
	case err == nil:
		b.WriteString("committed")
	case errors.Is(err, ErrConflict):
		b.WriteString("conflict")
	case errors.Is(err, ErrOutcomeUnknown):
		b.WriteString("unknown")
	case errors.Is(err, ErrDown):
		b.WriteString("down")
	case errors.Is(err, ErrOverloaded):
		b.WriteString("overloaded")
	default:
		b.WriteString(err.Error())
	}
	b.WriteString(formatRows(rows))
	return b.String()
}

func formatRows(rows []Row) string {
	var b strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&b, " %s@%d", r.Key, r.Version)
		if len(r.Data) > 0 {
			fmt.Fprintf(&b, "=%s", r.Data)
		}
	}
	return b.String()
}

func formatResult(rows []Row, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d rows%s", len(rows), formatRows(rows))
}

func (s *scenario) commit(name, timeout, text string) string {
	limit := time.Minute
	if timeout != "" {
		limit, _ = time.ParseDuration(timeout)
	}
	ctx := simCtx{context.Background(), s.time, s.time.now + limit}
	return formatOutcome(s.client(name).Commit(ctx, CauseJob, parseWrites(text)...))
}

// commitGroup queues commits, one for each line, in one lane and then runs its
// sender.
func (s *scenario) commitGroup(name, text string) string {
	c := s.client(name)
	l := c.lanes[laneBulk]
	ctx := simCtx{context.Background(), s.time, s.time.now + time.Minute}
	var commits []*queuedCommit
	for _, line := range strings.Split(text, "\n") {
		qc := &queuedCommit{commitRequest: newCommitRequest(c.cfg.Token(), parseWrites(line)), ctx: ctx, cause: CauseJob, done: make(chan struct{})}
		c.loadHistories(qc.commitRequest)
		commits = append(commits, qc)
		l.queue = append(l.queue, qc)
	}
	before := s.table.commits
	l.activeSenders++
	l.runSender()
	var b strings.Builder
	for _, qc := range commits {
		fmt.Fprintln(&b, formatOutcome(qc.rows, qc.err))
	}
	fmt.Fprintf(&b, "%d transactions", s.table.commits-before)
	return b.String()
}

func (s *scenario) dumpTable() string {
	var keys []string
	for k := range s.table.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		r := s.table.rows[k]
		fmt.Fprintf(&b, "%s@%d %s\n", k, r.Version, r.Value)
	}
	return b.String()
}

func parseFaults(text string) []fault {
	names := map[string]fault{"ok": noFault, "down": faultDown, "lost": faultLost, "late": faultLate}
	var out []fault
	for _, f := range strings.Fields(text) {
		out = append(out, names[f])
	}
	return out
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(key string) string {
		var v string
		d.MaybeScanArgs(t, key, &v)
		return v
	}
	switch d.Cmd {
	case "faults":
		s.table.faults = parseFaults(d.Input)
	case "store":
		s.table.down = arg("down") == "true"
	case "commit":
		return s.commit(arg("client"), arg("patience"), d.Input)
	case "intrude":
		s.interleave(arg("on"), arg("client"), d.Input)
	case "group":
		return s.commitGroup(arg("client"), d.Input)
	case "get":
		return formatResult(s.client(arg("client")).Get(context.Background(), CauseJob, strings.Fields(d.Input)...))
	case "scan":
		return formatResult(s.client(arg("client")).Scan(context.Background(), CauseJob, arg("prefix"), "", 10))
	case "release":
		s.table.applyLate()
	case "sleep":
		wait, _ := time.ParseDuration(arg("for"))
		s.time.now += wait
	case "clean":
		s.client(arg("client")).removeTombstones(context.Background())
	case "table":
		return s.dumpTable()
	case "state":
		return fmt.Sprintf("down=%v time=%v", s.client(arg("client")).BreakerOpen(), s.time.now)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// interleave makes another client commit immediately before the next transaction or,
// if on is "read", the next read takes effect.
func (s *scenario) interleave(on, name, text string) {
	hook := &s.table.beforeCommit
	if on == "read" {
		hook = &s.table.beforeRead
	}
	*hook = func() {
		*hook = nil
		faults := s.table.faults
		s.table.faults = nil
		for _, line := range strings.Split(text, "\n") {
			s.commit(name, "", line)
		}
		s.table.faults = faults
	}
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{time: &simTime{}, table: newFakeTable(), clients: map[string]*Client{}}
		datadriven.RunTest(t, path, s.run)
	})
}
