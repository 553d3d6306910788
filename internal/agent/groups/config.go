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
	// WorkerCallTimeout bounds one call of the worker.
	WorkerCallTimeout time.Duration
	// StopRetryInterval is the time between two StopTask actions for one task.
	StopRetryInterval time.Duration
	// ReportInterval is the time between two reports on a running group.
	ReportInterval time.Duration
	// FinalReportTTL is how long a final report is kept after it was last asked for.
	FinalReportTTL time.Duration
	// MaxFinalReports bounds the final reports kept, MaxTombstones the refused refs.
	MaxFinalReports int
	MaxTombstones   int
}

// The defaults of a Config.
const (
	DefaultAdoptLease        = 10 * time.Second
	DefaultWorkerCallTimeout = 2 * time.Second
	DefaultStopRetryInterval = time.Second
	DefaultReportInterval    = time.Second
	DefaultFinalReportTTL    = 10 * time.Minute
	DefaultMaxFinalReports   = 512
	DefaultMaxTombstones     = 8192
)

// maxGroupTasks bounds the tasks of one group.
const maxGroupTasks = 1024

func (c Config) withDefaults() Config {
	setDuration(&c.AdoptLease, DefaultAdoptLease)
	setDuration(&c.WorkerCallTimeout, DefaultWorkerCallTimeout)
	setDuration(&c.StopRetryInterval, DefaultStopRetryInterval)
	setDuration(&c.ReportInterval, DefaultReportInterval)
	setDuration(&c.FinalReportTTL, DefaultFinalReportTTL)
	if c.MaxFinalReports <= 0 {
		c.MaxFinalReports = DefaultMaxFinalReports
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
