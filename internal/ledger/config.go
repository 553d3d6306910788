package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

// Limits of a client that its Config leaves at zero.
const (
	defaultMaxGroupRows  = 128
	defaultMaxGroupBytes = 512 << 10
	defaultMaxQueue      = 4096
	defaultMaxQueueBytes = 8 << 20
	defaultMaxReads      = 64
	defaultOpTimeout     = time.Second
	defaultTombstoneTTL  = 5 * time.Minute
	ungroupedSenders     = 16
)

// Budget is the number of store operations per second that a cause may use.
// A transaction that carries writes of several causes counts once for each.
type Budget struct {
	Reads  float64
	Writes float64
	Burst  int
}

// DefaultBudgets returns the budgets that apply when a Config has none. Their
// sum stays below what the platform's table carries.
func DefaultBudgets() map[Cause]Budget {
	return map[Cause]Budget{
		CauseConfig:   {Reads: 20, Writes: 20, Burst: 40},
		CauseOwner:    {Reads: 20, Writes: 10, Burst: 20},
		CausePresence: {Reads: 5, Writes: 5, Burst: 10},
		CauseJob:      {Reads: 200, Writes: 100, Burst: 100},
		CauseClaim:    {Reads: 200, Writes: 50, Burst: 50},
		CauseRecovery: {Reads: 200, Writes: 20, Burst: 50},
		CauseCleanup:  {Reads: 1, Writes: 1, Burst: 2},
	}
}

// Config sets the limits of a client. Zero values take the defaults.
type Config struct {
	// DisableGroupCommit sends every commit in a transaction of its own.
	DisableGroupCommit bool
	MaxGroupRows       int
	MaxGroupBytes      int
	// MaxQueue and MaxQueueBytes bound the commits that wait in one lane.
	MaxQueue      int
	MaxQueueBytes int
	// MaxReads bounds the reads in progress.
	MaxReads  int
	OpTimeout time.Duration
	// TombstoneTTL is how long the row of a deleted key stays as a tombstone.
	TombstoneTTL time.Duration
	Budgets      map[Cause]Budget
	Metrics      metrics.Registry
	Log          zerolog.Logger

	// Clock is the process's monotonic clock.
	Clock func() time.Duration
	// Sleep waits for a duration or the end of ctx.
	Sleep func(ctx context.Context, d time.Duration)
	// Spawn runs a lane's sender, in a goroutine of its own by default.
	Spawn func(func())
	// Token returns a token that no other write has.
	Token func() string
	// Jitter returns a factor from the range [0,1).
	Jitter func() float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxGroupRows, defaultMaxGroupRows)
	setDefault(&c.MaxGroupBytes, defaultMaxGroupBytes)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	setDefault(&c.MaxQueueBytes, defaultMaxQueueBytes)
	setDefault(&c.MaxReads, defaultMaxReads)
	if c.OpTimeout == 0 {
		c.OpTimeout = defaultOpTimeout
	}
	if c.TombstoneTTL == 0 {
		c.TombstoneTTL = defaultTombstoneTTL
	}
	if c.Budgets == nil {
		c.Budgets = DefaultBudgets()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.setDefaultHooks()
	return c
}

func (c *Config) setDefaultHooks() {
	if c.Clock == nil {
		c.Clock = NewMonotonicClock()
	}
	if c.Sleep == nil {
		c.Sleep = kernel.Sleep
	}
	if c.Spawn == nil {
		c.Spawn = func(fn func()) { go fn() }
	}
	if c.Token == nil {
		c.Token = newToken
	}
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
}

func setDefault(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

// NewMonotonicClock returns a clock that counts from now on, never goes back and goes
// on while the host is suspended.
func NewMonotonicClock() func() time.Duration {
	start := timeSinceBoot()
	return func() time.Duration { return timeSinceBoot() - start }
}

// timeSinceBoot is the time since the host's boot, with the time that it was
// suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only for clocks that the system does not have.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// tokenBytes is the size of the random part of a token.
const tokenBytes = 12

func newToken() string {
	id := uuid.New()
	return encodeToken(id[:tokenBytes])
}
