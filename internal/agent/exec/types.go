// Package exec is the agent's decision core for requests. It decides which
// executions may start on the endpoint's slots and how long results are kept.
//
// The package is pure: no I/O, no clock, no goroutines. Times are durations on
// the agent's monotonic clock, from which the stamps of executions are taken.
package exec

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Ref identifies one attempt of one request.
type Ref struct {
	ID      string
	Attempt uint32
}

// Event is an input of the core.
type Event interface{ event() }

// Execute asks for the execution of an attempt. A Ref that is known already is
// not executed again; its result is sent when the attempt has ended. Corrupt is
// set if the body does not match the announced length and digest.
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

// Void asks for the result of an attempt and prevents it from starting. An
// attempt that has not arrived or not started is answered OutcomeNotRun and never
// runs; one that may have run and been forgotten is answered OutcomeUnknown.
// Stamp is that of the attempt's Execute.
type Void struct {
	Entry       string
	Ref         Ref
	Incarnation string
	Stamp       time.Duration
}

// Ack acknowledges a result. The core may forget it then.
type Ack struct {
	Entry string
	Ref   Ref
}

// CallEnded reports the end of a call to the endpoint. The caller of the core
// keeps the body, of Size bytes, until DropBodies.
type CallEnded struct {
	Ref     Ref
	Outcome api.Outcome
	Detail  string
	Size    int64
}

// LinkUp reports that a link with an entry is open. Unacknowledged results for
// that entry are sent again.
type LinkUp struct{ Entry string }

// LinkDown reports that the link with an entry is lost. The queued executions of
// that entry are refused.
type LinkDown struct{ Entry string }

// Permission sets whether work may start from now on: an entry permits it, the
// zone is not out, and the endpoint is healthy.
type Permission struct{ Allowed bool }

// Leave makes the core refuse all executions not started yet, for a planned stop.
type Leave struct{}

// Tick advances the time.
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

// CallEndpoint calls the endpoint, which takes one slot until CallEnded.
type CallEndpoint struct {
	Ref     Ref
	Timeout time.Duration
}

// SendResult sends a result to an entry. WithReply is set if the endpoint's reply,
// kept by the caller of the core, belongs to the result.
type SendResult struct {
	Entry     string
	Ref       Ref
	Outcome   api.Outcome
	Detail    string
	WithReply bool
}

// DropBodies allows the caller of the core to drop the bodies of an attempt.
type DropBodies struct{ Ref Ref }

func (CallEndpoint) action() {}
func (SendResult) action()   {}
func (DropBodies) action()   {}
