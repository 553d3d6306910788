package exec

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// TestScenarios runs the scripts in testdata. Each command except new is one
// event at the time of its "at" argument, with ticks every 100 ms up to that
// time. The output is the list of actions.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{}
		datadriven.RunTest(t, path, s.run)
	})
}

type scenario struct {
	t    *testing.T
	d    *datadriven.TestData
	core *Core
	now  time.Duration
}

func (s *scenario) text(key, fallback string) string {
	s.d.MaybeScanArgs(s.t, key, &fallback)
	return fallback
}

func (s *scenario) number(key string, fallback int) int {
	s.d.MaybeScanArgs(s.t, key, &fallback)
	return fallback
}

func (s *scenario) flag(key string, fallback bool) bool {
	v, err := strconv.ParseBool(s.text(key, strconv.FormatBool(fallback)))
	if err != nil {
		s.d.Fatalf(s.t, "argument %q: %v", key, err)
	}
	return v
}

func (s *scenario) duration(key string, fallback time.Duration) time.Duration {
	v, err := time.ParseDuration(s.text(key, fallback.String()))
	if err != nil {
		s.d.Fatalf(s.t, "argument %q: %v", key, err)
	}
	return v
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	s.t, s.d = t, d
	if d.Cmd == "new" {
		s.now = 0
		s.core = New(Config{
			Incarnation: "i1", Slots: s.number("slots", 1), MaxQueued: s.number("queue", 0), ResultTTL: s.duration("keep", time.Minute),
			MaxRecords: s.number("max-results", 0), MaxTotalBodyBytes: int64(s.number("max-bytes", 0)),
		})
		return s.step(Permission{Allowed: true}) + s.step(LinkUp{"e1"}) + s.step(LinkUp{"e2"})
	}
	var out strings.Builder
	for at := s.duration("at", s.now); s.now < at; {
		s.now = min(at, s.now+100*time.Millisecond)
		out.WriteString(s.step(Tick{}))
	}
	if e := s.event(); e != nil {
		out.WriteString(s.step(e))
	}
	if d.HasArg("state") {
		fmt.Fprintf(&out, "in-use=%d idle=%t known=%d bytes=%d\n", s.core.InFlight(), s.core.Idle(), len(s.core.records), s.core.bodyBytes)
	}
	return out.String()
}

func (s *scenario) event() Event {
	entry := s.text("entry", "e1")
	ref := Ref{s.text("id", "r1"), uint32(s.number("attempt", 1))}
	incarnation := s.text("inc", "i1")
	switch s.d.Cmd {
	case "execute":
		return Execute{
			Entry: entry, Ref: ref, Incarnation: incarnation, Stamp: s.duration("stamp", s.now),
			Permit: s.duration("permit", 1200*time.Millisecond), Timeout: s.duration("timeout", time.Minute),
			Idempotent: s.flag("idempotent", false), Corrupt: s.flag("corrupt", false),
		}
	case "void":
		return Void{entry, ref, incarnation, s.duration("stamp", s.now)}
	case "ack":
		return Ack{entry, ref}
	case "called":
		return CallEnded{Ref: ref, Outcome: api.Outcome(s.text("outcome", "done")), Size: int64(s.number("size", 10))}
	case "link-up":
		return LinkUp{entry}
	case "link-down":
		return LinkDown{entry}
	case "permission":
		return Permission{s.flag("allowed", true)}
	case "leave":
		return Leave{}
	case "run":
		return Tick{}
	}
	s.d.Fatalf(s.t, "unknown command %q", s.d.Cmd)
	return nil
}

func (s *scenario) step(e Event) string {
	var out strings.Builder
	for _, action := range s.core.Step(s.now, e) {
		switch a := action.(type) {
		case CallEndpoint:
			fmt.Fprintf(&out, "%v call %s/%d timeout=%v\n", s.now, a.Ref.ID, a.Ref.Attempt, a.Timeout)
		case SendResult:
			fmt.Fprintf(&out, "%v send %s/%d %s to %s body=%t %s\n", s.now, a.Ref.ID, a.Ref.Attempt, a.Outcome, a.Entry, a.WithReply, a.Detail)
		case DropBodies:
			fmt.Fprintf(&out, "%v forget %s/%d\n", s.now, a.Ref.ID, a.Ref.Attempt)
		}
	}
	return out.String()
}
