package exec

import "time"

// Config holds the settings of a Core. Zero values take the defaults.
type Config struct {
	// Incarnation identifies this start of the agent. Executions addressed to
	// another incarnation are not run.
	Incarnation string
	// Slots is the number of concurrent calls to the endpoint.
	Slots int
	// MaxQueued bounds the executions that wait for a slot. Further ones are
	// answered OutcomeNotRun.
	MaxQueued int
	// ResultTTL is how long an unacknowledged result and the record of a
	// non-idempotent attempt are kept after the end of the attempt.
	ResultTTL time.Duration
	// MaxRecords bounds the number of recorded attempts. When it is reached,
	// acknowledged, refused and idempotent attempts are forgotten early. If that
	// frees no room, new executions are answered OutcomeNotRun.
	MaxRecords int
	// MaxTotalBodyBytes bounds the total size of result bodies. When it is
	// exceeded, bodies of acknowledged results are dropped, oldest first. If that
	// frees no room, new executions are answered OutcomeNotRun. Calls that are
	// already running may exceed the bound.
	MaxTotalBodyBytes int64
}

// Defaults of Config.
const (
	DefaultResultTTL         = 10 * time.Minute
	DefaultMaxRecords        = 16384
	DefaultMaxTotalBodyBytes = 24 << 20
)

// MaxPermit bounds the time after its stamp at which an execution may start.
// Every recorded attempt is remembered at least that long after its stamp.
const MaxPermit = 3 * time.Second

const (
	// sweepInterval is the time between periodic searches for expired records.
	sweepInterval = time.Second
	// pressureInterval is the minimum time between searches for records that
	// can be dropped early because MaxRecords is reached.
	pressureInterval = 100 * time.Millisecond
	// linkGrace is how long after the end of an attempt a leaving agent waits
	// for the link of an entry that has not acknowledged the result.
	linkGrace = 5 * time.Second
	// resendInterval is the time after which an unacknowledged result is sent
	// again over an open link. It doubles with each resend up to
	// maxResendInterval.
	resendInterval    = 2 * time.Second
	maxResendInterval = time.Minute
	// maxWaiters bounds the number of entries that one result is sent to.
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
