// Package route is the decision core of request routing. It is deterministic: it
// does no I/O, reads no clock and starts no goroutines. The caller passes events
// and the time to Step and carries out the returned actions in order. Times are
// durations since the start of the entry.
package route

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Request describes one call. Its body stays with the caller of Step.
type Request struct {
	ID         string // unique among the calls of all entries
	Service    string
	Profile    string
	Account    string
	Weight     int // the profile's weight in fair queueing; at least 1
	MaxQueue   int // bound of the profile's queue; 0 means Config.MaxQueue
	Key        string
	Idempotent bool
	Deadline   time.Duration // absolute
}

// Submit submits a new request. The Key of a non-idempotent request is claimed in
// the table before its first execution.
type Submit struct{ Request Request }

// CallerGone says that the caller of a request has disconnected. The request still
// ends with one Answer, at once if it is queued and none of its attempts may have
// run.
type CallerGone struct{ ID string }

// AgentUp says that the link with an agent is open. A new incarnation of the agent
// replaces the earlier one, whose executions are lost.
type AgentUp struct {
	Agent       string
	Incarnation string
	Service     string
	Zone        string
	Slots       int
}

// AgentDown says that the link with an agent is lost. Its executions go on, and
// their results may arrive after the next AgentUp of the same incarnation.
type AgentDown struct{ Agent string }

// AgentStatus is an agent's heartbeat. ClockMS is the agent's own clock in
// milliseconds.
type AgentStatus struct {
	Agent   string
	ClockMS int64
	InUse   int // slots in use by all entries
	Leaving bool
	Healthy bool
}

// Result is an agent's result of one attempt. OutcomeNotRun guarantees that the
// attempt has not run and never will.
type Result struct {
	Agent   string
	ID      string
	Attempt uint32
	Outcome api.Outcome
	Detail  string
}

// ClaimReply answers a Claim. Won means that this entry may execute the attempt.
// Otherwise Holder names the execution that the key belongs to, and Final is its
// recorded outcome, if any. Failed means that the table did not answer.
type ClaimReply struct {
	ID     string
	Won    bool
	Failed bool
	Final  api.Outcome
	Holder ClaimHolder
}

// ClaimHolder identifies the execution that a key belongs to. StampMS is that of
// its Execute.
type ClaimHolder struct {
	Agent       string
	Incarnation string
	RequestID   string
	Attempt     uint32
	StampMS     int64
}

// Permit tells whether the entry's configuration is fresh enough to start work,
// and which zones are out. It lapses after PermitMaxAge, so the caller of Step
// repeats it.
type Permit struct {
	Fresh    bool
	ZonesOut map[string]bool
}

// Peers tells how many entries share the agents, this one included.
type Peers struct{ Entries int }

// Tick runs the periodic checks; the caller of Step sends one every TickInterval.
type Tick struct{}

// Drain makes the core refuse new requests, for a planned stop.
type Drain struct{}

func (Submit) event()      {}
func (CallerGone) event()  {}
func (AgentUp) event()     {}
func (AgentDown) event()   {}
func (AgentStatus) event() {}
func (Result) event()      {}
func (ClaimReply) event()  {}
func (Permit) event()      {}
func (Peers) event()       {}
func (Tick) event()        {}
func (Drain) event()       {}

// TickInterval is the period of Ticks.
const TickInterval = 20 * time.Millisecond

// PermitMaxAge is the lifetime of a Permit on the entry's clock.
const PermitMaxAge = 500 * time.Millisecond

// PermitTTL is the lifetime of the permission to start an execution, counted on
// the agent's clock from the stamp that the Execute carries.
const PermitTTL = 1200 * time.Millisecond

// Action is an output of the core.
type Action interface{ action() }

// Execute sends one attempt to an agent.
type Execute struct {
	Agent       string
	Incarnation string
	ID          string // of the request
	Attempt     uint32
	StampMS     int64
	PermitTTL   time.Duration
	Timeout     time.Duration
	Idempotent  bool
}

// Void asks an agent for the result of an attempt and cancels it if it has not
// started: an agent that has not seen the attempt answers OutcomeNotRun and never
// runs it. The attempt may be of another entry's request. StampMS is that of the
// attempt's Execute, from which the agent tells whether it may have forgotten the
// attempt.
type Void struct {
	Agent       string
	Incarnation string
	ID          string
	Attempt     uint32
	StampMS     int64
}

// Ack acknowledges a result, which the agent may then forget.
type Ack struct {
	Agent   string
	ID      string
	Attempt uint32
}

// Claim claims the key in the table for the attempt of Holder. Replaces is the
// earlier holder that this claim may replace because its execution is certain not
// to have run, or nil.
type Claim struct {
	ID       string
	Key      string
	Holder   ClaimHolder
	Replaces *ClaimHolder
}

// Answer ends a request. If FromResult is set, the answer's body is that of the
// agent's result for ResultID and ResultAttempt, which the caller of Step holds.
type Answer struct {
	ID            string
	Outcome       api.Outcome
	Reason        Reason
	Detail        string
	RetryAfter    time.Duration
	FromResult    bool
	ResultID      string
	ResultAttempt uint32
}

// Record stores the final outcome of a claimed key, provided that the row still
// names Holder. It comes before the request's Answer. A request that is refused
// after its claim leaves its row as it is: the next request with the key probes
// the holder's agent, learns that the attempt has not run, and replaces the
// holder.
type Record struct {
	ID      string
	Key     string
	Holder  ClaimHolder
	Outcome api.Outcome
}

func (Execute) action() {}
func (Void) action()    {}
func (Ack) action()     {}
func (Claim) action()   {}
func (Answer) action()  {}
func (Record) action()  {}

// Reason says why a request was answered as it was: by a result, or by the entry
// itself.
type Reason string

// Reasons of answers.
const (
	ReasonResult              Reason = "result"
	ReasonNoEndpoint          Reason = "no-endpoint"
	ReasonQueueFull           Reason = "queue-full"
	ReasonDeadlineCannotBeMet Reason = "deadline-cannot-be-met"
	ReasonDeadlinePassed      Reason = "deadline-passed"
	ReasonStoreUnavailable    Reason = "store-unavailable"
	ReasonRetryBudgetSpent    Reason = "retry-budget-spent"
	ReasonDraining            Reason = "draining"
	ReasonAgentLost           Reason = "agent-lost"
	ReasonKeyInProgress       Reason = "key-in-progress"
	ReasonConfigNotFresh      Reason = "configuration-not-fresh"
)
