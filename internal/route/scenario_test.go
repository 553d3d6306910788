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
// time of its "at" argument; before it, ticks and the heartbeats of the live
// agents are sent up to that time. "run" does only the latter. The output is the
// list of actions.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{core: New(Config{})}
		datadriven.RunTest(t, path, s.run)
	})
}

type scenario struct {
	t          *testing.T
	d          *datadriven.TestData
	core       *Core
	now        time.Duration
	heartbeats map[string]AgentStatus
	lastPermit Permit

	serial int // last suffix of the ids of repeated commands
}

func (s *scenario) stringArg(key, defaultValue string) string {
	s.d.MaybeScanArgs(s.t, key, &defaultValue)
	return defaultValue
}

func (s *scenario) intArg(key string, defaultValue int) int {
	s.d.MaybeScanArgs(s.t, key, &defaultValue)
	return defaultValue
}

func (s *scenario) boolArg(key string, defaultValue bool) bool {
	v, err := strconv.ParseBool(s.stringArg(key, strconv.FormatBool(defaultValue)))
	s.checkArg(key, err)
	return v
}

func (s *scenario) durationArg(key string, defaultValue time.Duration) time.Duration {
	v, err := time.ParseDuration(s.stringArg(key, defaultValue.String()))
	s.checkArg(key, err)
	return v
}

func (s *scenario) checkArg(key string, err error) {
	if err != nil {
		s.d.Fatalf(s.t, "argument %q: %v", key, err)
	}
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	s.t, s.d = t, d
	at := s.durationArg("at", s.now)
	switch d.Cmd {
	case "new":
		*s = scenario{t: t, d: d, heartbeats: map[string]AgentStatus{}, core: New(Config{
			Entries:     s.intArg("entries", 1),
			RetryBurst:  float64(s.intArg("retries", 0)),
			MaxAttempts: s.intArg("max-attempts", 0),
			MaxOpen:     s.intArg("max-open", 0),
			MaxFlows:    s.intArg("max-flows", 0),
			MaxAgents:   s.intArg("max-agents", 0),
		})}
		s.lastPermit = Permit{Fresh: true}
		return s.step(s.lastPermit)
	case "agents":
		return s.describeAgents()
	case "dump":
		out, err := json.MarshalIndent(s.core.Dump(), "", " ")
		s.checkArg("dump", err)
		return string(out)
	}
	out := s.advance(at)
	for range s.intArg("times", 1) {
		if e := s.event(); e != nil {
			out += s.step(e)
		}
	}
	return out
}

// advance moves the time forward in ticks, with heartbeats of the live agents.
func (s *scenario) advance(until time.Duration) string {
	var out strings.Builder
	for s.now < until {
		s.now = min(until, s.now+TickInterval)
		if s.now%(200*time.Millisecond) == 0 {
			for _, name := range slices.Sorted(maps.Keys(s.heartbeats)) {
				status := s.heartbeats[name]
				status.ClockMS = s.now.Milliseconds()
				out.WriteString(s.step(status))
			}
		}
		out.WriteString(s.step(s.lastPermit))
		out.WriteString(s.step(Tick{}))
	}
	return out.String()
}

func (s *scenario) event() Event {
	agent := s.stringArg("agent", "a1")
	id := s.stringArg("id", "r1")
	if s.d.HasArg("times") {
		s.serial++
		id = fmt.Sprint(id, ".", s.serial)
	}
	switch s.d.Cmd {
	case "permit":
		s.lastPermit = Permit{Fresh: s.boolArg("fresh", true), ZonesOut: map[string]bool{s.stringArg("out", ""): true}}
		return s.lastPermit
	case "up":
		s.heartbeats[agent] = AgentStatus{Agent: agent, Healthy: true}
		return AgentUp{agent, s.stringArg("inc", "i1"), "svc", s.stringArg("zone", "z1"), s.intArg("slots", 2)}
	case "down":
		delete(s.heartbeats, agent)
		return AgentDown{agent}
	case "silent":
		delete(s.heartbeats, agent)
		return nil
	case "run":
		return nil
	case "status":
		status := AgentStatus{agent, s.now.Milliseconds(), s.intArg("in-use", 0), s.boolArg("leaving", false), s.boolArg("healthy", true)}
		s.heartbeats[agent] = status
		return status
	case "submit":
		return Submit{Request{
			ID: id, Service: "svc", Profile: s.stringArg("profile", "p1"), Account: s.stringArg("account", "acc"),
			Weight: s.intArg("weight", 1), MaxQueue: s.intArg("max-queue", 0), Key: s.stringArg("key", ""),
			Idempotent: s.boolArg("idempotent", false), Deadline: s.now + s.durationArg("timeout", 10*time.Second),
		}}
	case "result":
		return Result{agent, id, uint32(s.intArg("attempt", 1)), api.Outcome(s.stringArg("outcome", "done")), ""}
	case "claim":
		claimHolder := ClaimHolder{}
		if holder := s.stringArg("holder", ""); holder != "" {
			claimHolder = ClaimHolder{holder, s.stringArg("inc", "i1"), s.stringArg("run", "other"), uint32(s.intArg("attempt", 1)), int64(s.intArg("stamp", 1))}
		}
		return ClaimReply{id, s.boolArg("won", false), s.boolArg("failed", false), api.Outcome(s.stringArg("final", "")), claimHolder}
	case "gone":
		return CallerGone{id}
	case "peers":
		return Peers{s.intArg("entries", 2)}
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

func (s *scenario) describeAgents() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.core.agents)) {
		a := s.core.agents[name]
		fmt.Fprintf(&out, "%s usable=%t limit=%d open=%d others=%d\n", name, s.core.usable(a), s.core.attemptLimit(a), a.slotsHeld, a.othersInUse)
	}
	return out.String()
}
