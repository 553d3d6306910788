package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Config holds the settings of a Core. Zero values get the defaults below.
type Config struct {
	Capacity api.Resources
	// AdoptLease is how long tasks found at the agent's start may run before
	// the owner renews them. It is at least the longest lease of a group, so
	// that the worker's own leases have ended by then.
	AdoptLease time.Duration
	// WorkerTimeout bounds one call of the worker.
	WorkerTimeout time.Duration
	// StopRetry is the time between two StopTask actions for one task.
	StopRetry time.Duration
	// ReportInterval is the time between two reports on a running group.
	ReportInterval time.Duration
	// FinalTTL is how long a final report is kept after it was last asked for.
	FinalTTL time.Duration
	// MaxFinals bounds the final reports kept, MaxTombstones the refused refs.
	MaxFinals     int
	MaxTombstones int
}

// The defaults of a Config.
const (
	DefaultAdoptLease     = 10 * time.Second
	DefaultWorkerTimeout  = 2 * time.Second
	DefaultStopRetry      = time.Second
	DefaultReportInterval = time.Second
	DefaultFinalTTL       = 10 * time.Minute
	DefaultMaxFinals      = 512
	DefaultMaxTombstones  = 8192
)

// maxGroupTasks bounds the tasks of one group.
const maxGroupTasks = 1024

func (c Config) withDefaults() Config {
	setDuration(&c.AdoptLease, DefaultAdoptLease)
	setDuration(&c.WorkerTimeout, DefaultWorkerTimeout)
	setDuration(&c.StopRetry, DefaultStopRetry)
	setDuration(&c.ReportInterval, DefaultReportInterval)
	setDuration(&c.FinalTTL, DefaultFinalTTL)
	if c.MaxFinals <= 0 {
		c.MaxFinals = DefaultMaxFinals
	}
	if c.MaxTombstones <= 0 {
		c.MaxTombstones = DefaultMaxTombstones
	}
	return c
}

func setDuration(d *time.Duration, absent time.Duration) {
	if *d <= 0 {
		*d = absent
	}
}
