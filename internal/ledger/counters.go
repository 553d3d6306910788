package ledger

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Counter names, each under ledger.<cause>.
const (
	countReads      = "reads"
	countWrites     = "writes"
	countTxns       = "txns"
	countConflicts  = "conflicts"
	countLost       = "lost_answers"
	countUnknown    = "unknown"
	countRefused    = "refused"
	countOverBudget = "over_budget"
)

// meter holds the counters and budgets of each cause.
type meter struct {
	registry metrics.Registry
	budgets  map[Cause]Budget

	mu     sync.Mutex
	reads  map[Cause]*rate.Limiter
	writes map[Cause]*rate.Limiter
}

func newMeter(cfg Config) *meter {
	return &meter{
		registry: cfg.Metrics,
		budgets:  cfg.Budgets,
		reads:    map[Cause]*rate.Limiter{},
		writes:   map[Cause]*rate.Limiter{},
	}
}

func (m *meter) count(cause Cause, name string, n int) {
	metrics.GetOrRegisterCounter("ledger."+string(cause)+"."+name, m.registry).Inc(int64(n))
}

func (m *meter) readLimit(cause Cause) *rate.Limiter {
	return m.limit(m.reads, cause, func(b Budget) float64 { return b.Reads })
}

func (m *meter) writeLimit(cause Cause) *rate.Limiter {
	return m.limit(m.writes, cause, func(b Budget) float64 { return b.Writes })
}

func (m *meter) limit(all map[Cause]*rate.Limiter, cause Cause, perSecond func(Budget) float64) *rate.Limiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := all[cause]; ok {
		return l
	}
	l := rate.NewLimiter(rate.Inf, 1)
	if b, ok := m.budgets[cause]; ok {
		l = rate.NewLimiter(rate.Limit(perSecond(b)), max(b.Burst, 1))
	}
	all[cause] = l
	return l
}
