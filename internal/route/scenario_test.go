package route

import (
	"fmt"
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
	core *Core
	now  time.Duration
	beat map[string]AgentStatus
	last Permit
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	a := args{t, d}
	at := a.duration("at", s.now)
	switch d.Cmd {
	case "new":
		*s = scenario{core: New(Config{
			Entries:     a.number("entries", 1),
			RetryBurst:  float64(a.number("retries", 0)),
			MaxAttempts: a.number("max-attempts", 0),
		}), beat: map[string]AgentStatus{}}
		return ""
	case "run":
		return s.pass(at)
	case "agents":
		return s.agents()
	}
	out := s.pass(at)
	if e := s.event(a); e != nil {
		out += s.step(e)
	}
	return out
}

// pass lets time go by in ticks, with heartbeats of the live agents.
func (s *scenario) pass(until time.Duration) string {
	var out strings.Builder
	for s.now < until {
		s.now = min(until, s.now+TickInterval)
		if s.now%(200*time.Millisecond) == 0 {
			for _, name := range sortedKeys(s.beat) {
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

func (s *scenario) event(a args) Event {
	agent := a.text("agent", "a1")
	id := a.text("id", "r1")
	switch a.d.Cmd {
	case "permit":
		s.last = Permit{Fresh: a.flag("fresh", true), ZonesOut: map[string]bool{a.text("out", ""): true}}
		return s.last
	case "up":
		s.beat[agent] = AgentStatus{Agent: agent, Healthy: true}
		return AgentUp{agent, a.text("inc", "i1"), "svc", a.text("zone", "z1"), a.number("slots", 2)}
	case "down":
		delete(s.beat, agent)
		return AgentDown{agent}
	case "silent":
		delete(s.beat, agent)
		return nil
	case "status":
		st := AgentStatus{agent, s.now.Milliseconds(), a.number("in-use", 0), a.flag("leaving", false), a.flag("healthy", true)}
		s.beat[agent] = st
		return st
	case "submit":
		return Submit{Request{
			ID: id, Service: "svc", Profile: a.text("profile", "p1"), Account: a.text("account", "acc"),
			Weight: a.number("weight", 1), MaxQueue: a.number("max-queue", 0), Key: a.text("key", ""),
			Idempotent: a.flag("idempotent", false), Deadline: s.now + a.duration("timeout", 10*time.Second),
		}}
	case "result":
		return Result{agent, id, uint32(a.number("attempt", 1)), api.Outcome(a.text("outcome", "done")), ""}
	case "claim":
		h := ClaimHolder{}
		if holder := a.text("holder", ""); holder != "" {
			h = ClaimHolder{holder, a.text("inc", "i1"), a.text("run", "other"), uint32(a.number("attempt", 1)), int64(a.number("stamp", 1))}
		}
		return ClaimReply{id, a.flag("won", false), a.flag("failed", false), api.Outcome(a.text("final", "")), h}
	case "gone":
		return Gone{id}
	case "drain":
		return Drain{}
	}
	a.t.Fatalf("unknown command %q", a.d.Cmd)
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
		if a.From != nil {
			from = fmt.Sprintf("%s/%d", a.From.RequestID, a.From.Attempt)
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
	for _, name := range sortedKeys(s.core.agents) {
		a := s.core.agents[name]
		fmt.Fprintf(&out, "%s usable=%t limit=%d open=%d others=%d\n", name, s.core.usable(a), s.core.limit(a), len(a.open), a.others)
	}
	return out.String()
}
