package exec

import "time"

// Config holds the settings of a Core. Zero values take the defaults.
type Config struct {
	// Incarnation names this start of the agent; executions for another are not run.
	Incarnation string
	// Slots is the number of calls that the endpoint takes at once.
	Slots int
	// MaxQueued bounds the executions that wait for a slot; further ones are
	// answered OutcomeNotRun.
	MaxQueued int
	// ResultTTL is how long a result waits for its acknowledgement, and how long a
	// non-idempotent attempt is remembered after its end.
	ResultTTL time.Duration
	// MaxRecords bounds the remembered attempts. When it is reached, attempts
	// that are acknowledged, refused or idempotent are forgotten early; when
	// that does not help, new executions are answered OutcomeNotRun.
	MaxRecords int
	// MaxTotalBodyBytes bounds the bodies of results. When it is reached, bodies of
	// acknowledged results are dropped first; when that does not help, new
	// executions are answered OutcomeNotRun. Calls that run already may exceed it.
	MaxTotalBodyBytes int64
}

// Defaults of Config.
const (
	DefaultResultTTL         = 10 * time.Minute
	DefaultMaxRecords        = 16384
	DefaultMaxTotalBodyBytes = 24 << 20
)

// MaxPermit bounds the permission to start that an execution may carry. Every
// attempt is remembered at least until MaxPermit after its stamp.
const MaxPermit = 3 * time.Second

const (
	// sweepInterval is the time between two searches for expired attempts.
	sweepInterval = time.Second
	// pressureInterval is the least time between two searches for attempts
	// that can be forgotten early.
	pressureInterval = 100 * time.Millisecond
	// linkGrace is how long a leaving agent waits for the link of an entry
	// that has a result to receive.
	linkGrace = 5 * time.Second
	// resendInterval is the time after which a result without an
	// acknowledgement is sent again over an open link; it doubles each time up
	// to maxResendInterval.
	resendInterval    = 2 * time.Second
	maxResendInterval = time.Minute
	// maxWaiters bounds the entries that one result is sent to.
	maxWaiters = 16
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	if c.ResultTTL <= 0 {
		c.ResultTTL = DefaultResultTTL
	}
	c.ResultTTL = max(c.ResultTTL, MaxPermit)
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxTotalBodyBytes <= 0 {
		c.MaxTotalBodyBytes = DefaultMaxTotalBodyBytes
	}
	return c
}
