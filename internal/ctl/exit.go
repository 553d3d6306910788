package ctl

import (
	"fmt"
	"net/http"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/juju/errors"
)

// The exit codes of coltsfootctl.
const (
	ExitOK              = 0
	ExitFailed          = 1
	ExitUsage           = 2
	ExitNotRun          = 3
	ExitVersionConflict = 4
	ExitUnreachable     = 5
	ExitOutcomeUnknown  = 6
	ExitWaitTimeout     = 7
	ExitWouldWait       = 8 // explain
	ExitWouldNotRun     = 9 // explain
)

const exitCodeHelp = `Exit codes:
  0  done
  1  failed, cancelled, or refused for good (such as an unknown name)
  2  wrong usage, or findings in a settings file
  3  not run and not changed; the same command may succeed later
  4  lost a race: the item has another version; read it and try again
  5  the entry was not reached; nothing was sent
  6  unknown: sent, but there was no complete answer, or it may have run
  7  not yet: the awaited state was not reached in time
  8  explain: the job would wait (0: it would start now, or runs)
  9  explain: the job would be refused, or can never run
`

// errWaitTimeout is the cause if an awaited state was not reached in time.
const errWaitTimeout = errors.ConstError("not yet")

// exitError ends a command that has printed its result with an exit code of its own.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// outcomeError reports work that ended with an outcome other than done.
type outcomeError struct {
	subject string
	outcome api.Outcome
	detail  string
}

func (e *outcomeError) Error() string {
	text := fmt.Sprintf("%s: %s", e.subject, e.outcome)
	if e.detail != "" {
		text += ": " + e.detail
	}
	return text
}

// checkOutcome returns nil for OutcomeDone and an outcomeError otherwise.
func checkOutcome(subject string, outcome api.Outcome, detail string) error {
	if outcome == api.OutcomeDone {
		return nil
	}
	return &outcomeError{subject, outcome, detail}
}

// reportError prints the error and returns its exit code.
func (e *env) reportError(err error) int {
	var problem *client.ProblemError
	var findings settings.Findings
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &findings):
		fmt.Fprintln(e.stderr, findings)
	case errors.As(err, &problem):
		e.reportProblem(err, problem)
	default:
		fmt.Fprintf(e.stderr, "%s: %v\n", programName, err)
	}
	return exitCode(err)
}

func (e *env) reportProblem(err error, problem *client.ProblemError) {
	if e.json {
		// If stdout fails, the text on stderr below is all that can be reported.
		_ = e.printJSON(problem.Problem)
	}
	fmt.Fprintf(e.stderr, "%s: %v", programName, err)
	if problem.Outcome != "" {
		fmt.Fprintf(e.stderr, " (outcome %s)", problem.Outcome)
	}
	if problem.Problem.Version > 0 {
		fmt.Fprintf(e.stderr, " (current version %d)", problem.Problem.Version)
	}
	if problem.Problem.RetryAfter > 0 {
		fmt.Fprintf(e.stderr, " (try again in %d s)", problem.Problem.RetryAfter)
	}
	fmt.Fprintln(e.stderr)
}

func exitCode(err error) int {
	var problem *client.ProblemError
	var outcome *outcomeError
	var findings settings.Findings
	switch {
	case errors.As(err, &problem):
		return problemExitCode(problem)
	case errors.As(err, &outcome):
		return outcomeExitCode(outcome.outcome)
	case errors.As(err, &findings), errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, client.ErrNoResponse):
		return ExitOutcomeUnknown
	case errors.Is(err, errWaitTimeout):
		return ExitWaitTimeout
	}
	return ExitFailed
}

func outcomeExitCode(outcome api.Outcome) int {
	switch outcome {
	case api.OutcomeDone:
		return ExitOK
	case api.OutcomeNotRun:
		return ExitNotRun
	case api.OutcomeUnknown:
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// problemExitCode maps a problem to an exit code by the outcome, if the entry reports
// one, and otherwise by the status. Without an outcome, a retryable problem is ExitNotRun
// only for reads: a mutating call may have taken effect.
func problemExitCode(e *client.ProblemError) int {
	status := e.Problem.Status
	retryable := e.Problem.RetryAfter > 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
	switch {
	case status == http.StatusPreconditionFailed:
		return ExitVersionConflict
	case e.Outcome == api.OutcomeNotRun && retryable:
		return ExitNotRun
	case e.Outcome == api.OutcomeNotRun:
		return ExitFailed
	case e.Outcome != "":
		return outcomeExitCode(e.Outcome)
	case retryable && e.Mutating:
		return ExitOutcomeUnknown
	case retryable:
		return ExitNotRun
	}
	return ExitFailed
}
