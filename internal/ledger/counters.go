package ledger

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Names of the counters, each registered as ledger.<cause>.<name>.
const (
	counterReads       = "reads"
	counterWrites      = "writes"
	counterTxns        = "txns"
	counterConflicts   = "conflicts"
	counterLostAnswers = "lost_answers"
	counterUnknown     = "unknown"
	counterRefused     = "refused"
	counterRejected    = "rejected"
	counterOverBudget  = "over_budget"
)

// meter holds the counters and budgets of all causes.
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

func (m *meter) readLimiter(cause Cause) *rate.Limiter {
	return m.limiter(m.reads, cause, func(b Budget) float64 { return b.Reads })
}

func (m *meter) writeLimiter(cause Cause) *rate.Limiter {
	return m.limiter(m.writes, cause, func(b Budget) float64 { return b.Writes })
}

func (m *meter) limiter(limiters map[Cause]*rate.Limiter, cause Cause, perSecond func(Budget) float64) *rate.Limiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := limiters[cause]; ok {
		return l
	}
	l := rate.NewLimiter(rate.Inf, 1)
	if b, ok := m.budgets[cause]; ok {
		l = rate.NewLimiter(rate.Limit(perSecond(b)), max(b.Burst, 1))
	}
	limiters[cause] = l
	return l
}
