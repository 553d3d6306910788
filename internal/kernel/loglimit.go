package kernel

import (
	"sync"
	"time"
)

// LogLimiter bounds how often log lines of one kind are written.
type LogLimiter struct {
	interval time.Duration

	mu         sync.Mutex
	logged     bool
	loggedAt   time.Time
	suppressed int
}

// NewLogLimiter returns a limiter that allows one line for each interval.
func NewLogLimiter(interval time.Duration) *LogLimiter { return &LogLimiter{interval: interval} }

// Allow reports whether a line may be written now, and how many have not been since the
// last one.
func (l *LogLimiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged && now.Sub(l.loggedAt) < l.interval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	l.logged, l.loggedAt = true, now
	return suppressed, true
}
