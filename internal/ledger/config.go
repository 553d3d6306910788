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

// Defaults for the fields of Config that are zero.
const (
	defaultMaxGroupRows  = 128
	defaultMaxGroupBytes = 512 << 10
	defaultMaxQueue      = 4096
	defaultMaxQueueBytes = 8 << 20
	defaultMaxReads      = 64
	defaultOpTimeout     = time.Second
	defaultTombstoneTTL  = 5 * time.Minute

	// ungroupedSenders is the number of senders per lane without group commit.
	ungroupedSenders = 16
)

// Budget is the number of store operations per second that a cause may use. A
// transaction with writes of several causes counts once for each of them.
type Budget struct {
	Reads  float64
	Writes float64
	Burst  int
}

// DefaultBudgets returns the budgets used if Config.Budgets is nil. Their sum
// stays below the capacity of the platform's table.
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

// Config configures a client. Zero values take the defaults.
type Config struct {
	// DisableGroupCommit sends every commit in its own transaction.
	DisableGroupCommit bool
	// MaxGroupRows and MaxGroupBytes bound one transaction. A single commit that
	// exceeds them is sent alone.
	MaxGroupRows  int
	MaxGroupBytes int
	// MaxGroupEntries is the number of conditions, writes and deletes that the
	// table accepts in one transaction; 0 if unlimited. A single commit that needs
	// more fails with ErrRejected.
	MaxGroupEntries int
	// MaxRowBytes is the largest value of a row that the table accepts, with the
	// ledger's envelope, and MaxCommitBytes the largest sum of the keys and data of one
	// commit; 0 if unlimited. Larger commits fail with ErrRejected and are not sent.
	MaxRowBytes    int
	MaxCommitBytes int
	// MaxQueue and MaxQueueBytes bound the commits queued in one lane.
	MaxQueue      int
	MaxQueueBytes int
	// MaxReads bounds the concurrent reads.
	MaxReads int
	// OpTimeout bounds one call to the store. A transaction may take longer if
	// the store is slow.
	OpTimeout time.Duration
	// TombstoneTTL is how long a deleted row is kept as a tombstone.
	TombstoneTTL time.Duration
	Budgets      map[Cause]Budget
	Metrics      metrics.Registry
	Log          zerolog.Logger

	// Clock is the process's monotonic clock.
	Clock func() time.Duration
	// Sleep waits for d or until ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
	// Spawn runs the sender of a lane, by default in a new goroutine.
	Spawn func(func())
	// Token returns a token that is unique among all writes.
	Token func() string
	// Jitter returns a random factor in [0,1).
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

// NewMonotonicClock returns a clock that starts at 0, never goes back, and
// continues to advance while the host is suspended.
func NewMonotonicClock() func() time.Duration {
	start := timeSinceBoot()
	return func() time.Duration { return timeSinceBoot() - start }
}

// timeSinceBoot returns the time since the host's boot, including the time
// during which the host was suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the system does not provide this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 12

func newToken() string {
	id := uuid.New()
	return encodeToken(id[:tokenBytes])
}
