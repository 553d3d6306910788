package confstate

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// view is what this process knows of the configuration. It is pure; times are
// on the process's monotonic clock.
type view struct {
	current *api.Config
	// confirmedAt is the time at which current was certainly not older than the
	// store's configuration.
	confirmedAt time.Duration
	// everConfirmed is set once any configuration was read or relayed.
	everConfirmed bool
}

func newView() *view {
	return &view{current: (&api.Config{}).Clone()}
}

// apply takes over a configuration with a higher version.
func (v *view) apply(c *api.Config) bool {
	if c.Version <= v.current.Version {
		return false
	}
	v.current = c
	return true
}

// confirm says that the store's version was the given one at a time. It tells
// nothing when this process does not have that version yet.
func (v *view) confirm(version uint64, at time.Duration) {
	if version > v.current.Version {
		return
	}
	if !v.everConfirmed || at > v.confirmedAt {
		v.confirmedAt = at
	}
	v.everConfirmed = true
}

// isFresh reports whether the configuration was confirmed within FreshLimit.
func (v *view) isFresh(now time.Duration) bool {
	return v.everConfirmed && now-v.confirmedAt <= MaxConfigAge
}
