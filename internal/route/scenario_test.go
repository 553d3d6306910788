package route

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// TestScenarios runs the scripts in testdata. Each command is one event at the
// time of its "at" argument; "run" sends ticks, and heartbeats of the named
// agents, up to that time. The output is the list of actions.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{core: New(Config{})}
		datadriven.RunTest(t, path, s.run)
	})
}

type scenario struct {
	t    *testing.T
	d    *datadriven.TestData
	core *Core
	now  time.Duration
	beat map[string]AgentStatus
	last Permit

	serial int // makes ids for commands that are repeated
}

func (s *scenario) text(key, missing string) string {
	s.d.MaybeScanArgs(s.t, key, &missing)
	return missing
}

func (s *scenario) number(key string, missing int) int {
	s.d.MaybeScanArgs(s.t, key, &missing)
	return missing
}

func (s *scenario) flag(key string, missing bool) bool {
	v, err := strconv.ParseBool(s.text(key, strconv.FormatBool(missing)))
	s.check(key, err)
	return v
}

func (s *scenario) duration(key string, missing time.Duration) time.Duration {
	v, err := time.ParseDuration(s.text(key, missing.String()))
	s.check(key, err)
	return v
}

func (s *scenario) check(key string, err error) {
	if err != nil {
		s.d.Fatalf(s.t, "argument %q: %v", key, err)
	}
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	s.t, s.d = t, d
	at := s.duration("at", s.now)
	switch d.Cmd {
	case "new":
		*s = scenario{t: t, d: d, beat: map[string]AgentStatus{}, core: New(Config{
			Entries:     s.number("entries", 1),
			RetryBurst:  float64(s.number("retries", 0)),
			MaxAttempts: s.number("max-attempts", 0),
			MaxOpen:     s.number("max-open", 0),
			MaxFlows:    s.number("max-flows", 0),
			MaxAgents:   s.number("max-agents", 0),
		})}
		s.last = Permit{Fresh: true}
		return s.step(s.last)
	case "agents":
		return s.agents()
	case "dump":
		out, err := json.MarshalIndent(s.core.Dump(), "", " ")
		s.check("dump", err)
		return string(out)
	}
	out := s.pass(at)
	for range s.number("times", 1) {
		if e := s.event(); e != nil {
			out += s.step(e)
		}
	}
	return out
}

// pass lets time go by in ticks, with heartbeats of the live agents.
func (s *scenario) pass(until time.Duration) string {
	var out strings.Builder
	for s.now < until {
		s.now = min(until, s.now+TickInterval)
		if s.now%(200*time.Millisecond) == 0 {
			for _, name := range slices.Sorted(maps.Keys(s.beat)) {
				st := s.beat[name]
				st.ClockMS = s.now.Milliseconds()
				out.WriteString(s.step(st))
			}
		}
		out.WriteString(s.step(s.last))
		out.WriteString(s.step(Tick{}))
	}
	return out.String()
}

func (s *scenario) event() Event {
	agent := s.text("agent", "a1")
	id := s.text("id", "r1")
	if s.d.HasArg("times") {
		s.serial++
		id = fmt.Sprint(id, ".", s.serial)
	}
	switch s.d.Cmd {
	case "permit":
		s.last = Permit{Fresh: s.flag("fresh", true), ZonesOut: map[string]bool{s.text("out", ""): true}}
		return s.last
	case "up":
		s.beat[agent] = AgentStatus{Agent: agent, Healthy: true}
		return AgentUp{agent, s.text("inc", "i1"), "svc", s.text("zone", "z1"), s.number("slots", 2)}
	case "down":
		delete(s.beat, agent)
		return AgentDown{agent}
	case "silent":
		delete(s.beat, agent)
		return nil
	case "run":
		return nil
	case "status":
		st := AgentStatus{agent, s.now.Milliseconds(), s.number("in-use", 0), s.flag("leaving", false), s.flag("healthy", true)}
		s.beat[agent] = st
		return st
	case "submit":
		return Submit{Request{
			ID: id, Service: "svc", Profile: s.text("profile", "p1"), Account: s.text("account", "acc"),
			Weight: s.number("weight", 1), MaxQueue: s.number("max-queue", 0), Key: s.text("key", ""),
			Idempotent: s.flag("idempotent", false), Deadline: s.now + s.duration("timeout", 10*time.Second),
		}}
	case "result":
		return Result{agent, id, uint32(s.number("attempt", 1)), api.Outcome(s.text("outcome", "done")), ""}
	case "claim":
		h := ClaimHolder{}
		if holder := s.text("holder", ""); holder != "" {
			h = ClaimHolder{holder, s.text("inc", "i1"), s.text("run", "other"), uint32(s.number("attempt", 1)), int64(s.number("stamp", 1))}
		}
		return ClaimReply{id, s.flag("won", false), s.flag("failed", false), api.Outcome(s.text("final", "")), h}
	case "gone":
		return CallerGone{id}
	case "peers":
		return Peers{s.number("entries", 2)}
	case "drain":
		return Drain{}
	}
	s.d.Fatalf(s.t, "unknown command %q", s.d.Cmd)
	return nil
}

func (s *scenario) step(e Event) string {
	var out strings.Builder
	for _, action := range s.core.Step(s.now, e) {
		fmt.Fprintf(&out, "%v %s\n", s.now, describe(action))
	}
	return out.String()
}

func describe(action Action) string {
	switch a := action.(type) {
	case Execute:
		return fmt.Sprintf("execute %s/%d at %s stamp=%d timeout=%v", a.ID, a.Attempt, a.Agent, a.StampMS, a.Timeout)
	case Void:
		return fmt.Sprintf("void %s/%d at %s stamp=%d", a.ID, a.Attempt, a.Agent, a.StampMS)
	case Ack:
		return fmt.Sprintf("ack %s/%d to %s", a.ID, a.Attempt, a.Agent)
	case Claim:
		from := "none"
		if a.Replaces != nil {
			from = fmt.Sprintf("%s/%d", a.Replaces.RequestID, a.Replaces.Attempt)
		}
		return fmt.Sprintf("claim %q for %s/%d at %s from %s", a.Key, a.Holder.RequestID, a.Holder.Attempt, a.Holder.Agent, from)
	case Answer:
		body := ""
		if a.FromResult {
			body = fmt.Sprintf(" body of %s/%d", a.ResultID, a.ResultAttempt)
		}
		return fmt.Sprintf("answer %s %s (%s) retry-after=%v%s", a.ID, a.Outcome, a.Reason, a.RetryAfter.Round(time.Millisecond), body)
	case Record:
		return fmt.Sprintf("record %q %s/%d %s", a.Key, a.Holder.RequestID, a.Holder.Attempt, a.Outcome)
	}
	return fmt.Sprintf("%T", action)
}

func (s *scenario) agents() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.core.agents)) {
		a := s.core.agents[name]
		fmt.Fprintf(&out, "%s usable=%t limit=%d open=%d others=%d\n", name, s.core.usable(a), s.core.limit(a), a.held, a.others)
	}
	return out.String()
}
