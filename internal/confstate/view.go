package confstate

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// view is this process's knowledge of the configuration. It does no I/O; times are
// on the process's monotonic clock.
type view struct {
	current *api.Config
	// confirmedAt is a time at which current was certainly not older than the
	// configuration in the store.
	confirmedAt time.Duration
	// everConfirmed is set once a configuration, read or relayed, was confirmed.
	everConfirmed bool
}

func newView() *view {
	return &view{current: (&api.Config{}).Clone()}
}

// apply replaces the current configuration if c has a higher version, and reports
// whether it did.
func (v *view) apply(c *api.Config) bool {
	if c.Version <= v.current.Version {
		return false
	}
	v.current = c
	return true
}

// confirm records that the store had the given version at a time. It does nothing
// if this process does not have that version yet.
func (v *view) confirm(version uint64, at time.Duration) {
	if version > v.current.Version {
		return
	}
	if !v.everConfirmed || at > v.confirmedAt {
		v.confirmedAt = at
	}
	v.everConfirmed = true
}

// isFresh reports whether the configuration was confirmed within MaxConfigAge.
func (v *view) isFresh(now time.Duration) bool {
	return v.everConfirmed && now-v.confirmedAt <= MaxConfigAge
}
