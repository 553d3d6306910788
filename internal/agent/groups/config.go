package groups

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Config holds the settings of a Core. Zero values take the defaults below.
type Config struct {
	Capacity api.Resources
	// AdoptLease is the lease of a group adopted at the agent's start, until
	// the owner renews it. It is at least the longest group lease, so that the
	// worker's own leases have expired when it ends.
	AdoptLease time.Duration
	// WorkerCallTimeout bounds one call to the worker.
	WorkerCallTimeout time.Duration
	// StopRetryInterval is the time between StopTask actions for the same task.
	StopRetryInterval time.Duration
	// ReportInterval is the time between periodic reports on a running group.
	ReportInterval time.Duration
	// FinalReportTTL is how long a final report is kept after it was last requested.
	FinalReportTTL time.Duration
	// MaxFinalReports bounds the number of final reports kept, MaxTombstones
	// that of tombstones: refs kept without a report that must never start.
	MaxFinalReports int
	MaxTombstones   int
}

// Defaults of Config.
const (
	DefaultAdoptLease        = 10 * time.Second
	DefaultWorkerCallTimeout = 2 * time.Second
	DefaultStopRetryInterval = time.Second
	DefaultReportInterval    = time.Second
	DefaultFinalReportTTL    = 10 * time.Minute
	DefaultMaxFinalReports   = 512
	DefaultMaxTombstones     = 8192
)

// maxGroupTasks bounds the number of tasks in one group.
const maxGroupTasks = 1024

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.AdoptLease, DefaultAdoptLease)
	setDefaultDuration(&c.WorkerCallTimeout, DefaultWorkerCallTimeout)
	setDefaultDuration(&c.StopRetryInterval, DefaultStopRetryInterval)
	setDefaultDuration(&c.ReportInterval, DefaultReportInterval)
	setDefaultDuration(&c.FinalReportTTL, DefaultFinalReportTTL)
	if c.MaxFinalReports <= 0 {
		c.MaxFinalReports = DefaultMaxFinalReports
	}
	if c.MaxTombstones <= 0 {
		c.MaxTombstones = DefaultMaxTombstones
	}
	return c
}

func setDefaultDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}
