// Package route is the decision core of request routing. It is pure: it does
// no I/O, reads no clock and starts no goroutines. The caller passes events
// and the time to Step and carries out the returned actions in order. Times
// are durations since the start of the entry.
package route

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Request describes one accepted call. The body stays with the caller of the core.
type Request struct {
	ID         string // unique among the calls of all entries
	Service    string
	Profile    string
	Account    string
	Weight     int // share of the slots, from the profile; at least 1
	MaxQueue   int // bound of this profile's queue
	Key        string
	Idempotent bool
	Deadline   time.Duration // absolute
}

// Submit brings a new request. A non-idempotent request with a Key is claimed
// in the table before its first execution.
type Submit struct{ Request Request }

// CallerGone says that the caller of a request has gone away. The request still ends
// with one Answer: at once when nothing of it is under way.
type CallerGone struct{ ID string }

// AgentUp says that a link with an agent is open. Another incarnation of the
// same agent replaces the earlier one, whose executions are then lost.
type AgentUp struct {
	Agent       string
	Incarnation string
	Service     string
	Zone        string
	Slots       int
}

// AgentDown says that the link with an agent is lost. Executions there go on;
// their results may arrive after the next AgentUp of the same incarnation.
type AgentDown struct{ Agent string }

// AgentStatus is an agent's heartbeat. ClockMS is the agent's own clock.
type AgentStatus struct {
	Agent   string
	ClockMS int64
	InUse   int // slots in use by all entries
	Leaving bool
	Healthy bool
}

// Result is an agent's answer for one attempt. With OutcomeNotRun the agent
// promises that this attempt has not run and never will.
type Result struct {
	Agent   string
	ID      string
	Attempt uint32
	Outcome api.Outcome
	Detail  string
}

// ClaimReply answers a Claim. Won means that this entry may execute the
// attempt; otherwise Holder tells where the key's execution is, or Final its
// answer. Failed means that the store gave no answer.
type ClaimReply struct {
	ID     string
	Won    bool
	Failed bool
	Final  api.Outcome
	Holder ClaimHolder
}

// ClaimHolder names the execution that a key belongs to. StampMS is that of
// its Execute.
type ClaimHolder struct {
	Agent       string
	Incarnation string
	RequestID   string
	Attempt     uint32
	StampMS     int64
}

// Permit tells whether the entry's configuration is fresh enough to start
// work, and which zones are out. It lapses after PermitMaxAge, so the shell
// repeats it.
type Permit struct {
	Fresh    bool
	ZonesOut map[string]bool
}

// Peers tells how many entries share the agents, this one included.
type Peers struct{ Entries int }

// Tick lets time pass; the shell sends one every TickInterval.
type Tick struct{}

// Drain stops the acceptance of new requests, for a planned stop.
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

// TickInterval is the time between two Ticks.
const TickInterval = 20 * time.Millisecond

// PermitMaxAge is how long a Permit holds, on the entry's clock.
const PermitMaxAge = 500 * time.Millisecond

// PermitTTL is how long an agent may start an execution after the clock stamp
// that the execution carries.
const PermitTTL = 1200 * time.Millisecond

// Action is an output of the core.
type Action interface{ action() }

// Execute sends one attempt to an agent.
type Execute struct {
	Agent       string
	Incarnation string
	ID          string // id of the execution, which may belong to another entry's request
	Attempt     uint32
	StampMS     int64
	PermitTTL   time.Duration
	Timeout     time.Duration
	Idempotent  bool
}

// Void asks an agent for the result of an attempt; an agent that has not seen
// the attempt answers OutcomeNotRun and never runs it. StampMS is that of the
// attempt's Execute; it tells the agent whether it may have forgotten the attempt.
type Void struct {
	Agent       string
	Incarnation string
	ID          string
	Attempt     uint32
	StampMS     int64
}

// Ack lets an agent forget a result.
type Ack struct {
	Agent   string
	ID      string
	Attempt uint32
}

// Claim asks the table for the key, for an attempt at the given agent. From is
// the holder that this claim replaces after a certain not-run, or nil.
type Claim struct {
	ID       string
	Key      string
	Holder   ClaimHolder
	Replaces *ClaimHolder
}

// Answer ends a request. With FromResult the complete body is that of the
// agent's result (ResultID, ResultAttempt), which the shell keeps.
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

// Record stores the final outcome of a claimed key. It applies only while the
// row still names Holder. It comes before the request's Answer. A request that
// is refused after its claim leaves the row: the next caller with the key asks
// the holder's agent, learns that the attempt has not run, and replaces it.
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

// Reason says why a request was answered by the entry itself.
type Reason string

// The reasons of answers.
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
