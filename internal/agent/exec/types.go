// Package exec is the agent's decision core for requests: which execution may
// start on the endpoint's slots, and which results are kept. It is pure: no
// I/O, no clock, no goroutines. Times are durations on the agent's monotonic
// clock, the one that the stamps of executions are read from.
package exec

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Ref names one attempt of one request.
type Ref struct {
	ID      string
	Attempt uint32
}

// Event is an input of the core.
type Event interface{ event() }

// Execute asks for an execution. A Ref that is known already is not executed
// again: its result is sent once it is there. Corrupt is set when the body
// does not have the announced length and digest.
type Execute struct {
	Entry       string
	Ref         Ref
	Incarnation string
	Stamp       time.Duration
	Permit      time.Duration
	Timeout     time.Duration
	Idempotent  bool
	Corrupt     bool
}

// Void asks for the result of an attempt; one that has not been seen or has
// not started yet is answered OutcomeNotRun and never runs. Stamp is that of
// the attempt's Execute. An attempt that may have run and been forgotten is
// answered OutcomeUnknown.
type Void struct {
	Entry       string
	Ref         Ref
	Incarnation string
	Stamp       time.Duration
}

// Ack lets a result be forgotten.
type Ack struct {
	Entry string
	Ref   Ref
}

// CallEnded ends a call of the endpoint. The body, of Size bytes, stays with the
// shell until Forget.
type CallEnded struct {
	Ref     Ref
	Outcome api.Outcome
	Detail  string
	Size    int64
}

// LinkUp says that a link with an entry is open; unacknowledged results for
// that entry are sent again.
type LinkUp struct{ Entry string }

// LinkDown says that the link with an entry is lost.
type LinkDown struct{ Entry string }

// Permission tells whether work may start now: some entry permits it, the
// zone is not out, and the endpoint is healthy.
type Permission struct{ Allowed bool }

// Leave stops the start of new executions for good, for a planned stop.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Execute) event()    {}
func (Void) event()       {}
func (Ack) event()        {}
func (CallEnded) event()  {}
func (LinkUp) event()     {}
func (LinkDown) event()   {}
func (Permission) event() {}
func (Leave) event()      {}
func (Tick) event()       {}

// Action is an output of the core.
type Action interface{ action() }

// CallEndpoint starts the call of the endpoint, on one slot.
type CallEndpoint struct {
	Ref     Ref
	Timeout time.Duration
}

// SendResult sends a result to an entry. With FromEndpoint the shell adds the body.
type SendResult struct {
	Entry     string
	Ref       Ref
	Outcome   api.Outcome
	Detail    string
	WithReply bool
}

// DropBodies lets the shell drop the bodies of an attempt.
type DropBodies struct{ Ref Ref }

func (CallEndpoint) action() {}
func (SendResult) action()   {}
func (DropBodies) action()   {}
