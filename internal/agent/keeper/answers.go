package keeper

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// slowAnswer is the time to an answer at which an owner counts as slow. A healthy one
	// answers within milliseconds.
	slowAnswer = 500 * time.Millisecond
	// slowAnswerLogInterval is the least time between two log lines about slow answers.
	slowAnswerLogInterval = time.Second
)

// answerMonitor records how long an owner takes to answer the reports of one
// connection.
type answerMonitor struct {
	clock    func() time.Duration
	registry metrics.Registry
	log      zerolog.Logger

	mu         sync.Mutex
	unanswered []sentReport
	numbered   bool // the owner names the report that it answers
	answered   bool // a report has been answered
	loggedAt   time.Duration
}

// pending reports whether a report has not been answered yet.
func (m *answerMonitor) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unanswered) > 0
}

// hasAnswered reports whether a report has been answered.
func (m *answerMonitor) hasAnswered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

func (m *answerMonitor) recordReport(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unanswered = append(m.unanswered, sentReport{number: number, sentAt: m.clock()})
}

// recordAnswer records a message in which the owner names the last report that it has
// handled, or 0. Owners of earlier versions never name one: each of their messages
// counts as an answer.
func (m *answerMonitor) recordAnswer(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.numbered = m.numbered || number > 0
	if !m.numbered {
		m.unanswered, m.answered = nil, true
		return
	}
	now := m.clock()
	for len(m.unanswered) > 0 && m.unanswered[0].number <= number {
		took := now - m.unanswered[0].sentAt
		m.unanswered, m.answered = m.unanswered[1:], true
		metrics.GetOrRegisterTimer("keeper.answer", m.registry).Update(took)
		if took >= slowAnswer && now-m.loggedAt >= slowAnswerLogInterval {
			m.loggedAt = now
			m.log.Warn().Dur("took_ms", took).Uint64("report", number).Int("unanswered", len(m.unanswered)).Msg("owner is slow to answer reports")
		}
	}
}
