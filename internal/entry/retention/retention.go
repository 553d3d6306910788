// Package retention removes expired rows from the table, one page at a time. It
// runs in the entry that owns the cell.
package retention

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// pageInterval is the period in which one page of each rule is handled.
	pageInterval = 10 * time.Second
	pageTimeout  = 5 * time.Second
	rowsPerPage  = 200
)

// Rule tells which rows with a key prefix have expired.
type Rule struct {
	Name    string
	Prefix  string
	Expired func(data json.RawMessage, now time.Time) bool
	// BeforeDelete, if not nil, removes what belongs to an expired row, such as
	// its object, before the row is deleted. After an error the row stays until its
	// page comes up again.
	BeforeDelete func(ctx context.Context, key string, data json.RawMessage) error
}

// Ownership tells whether this entry owns the cell.
type Ownership interface {
	Owns() bool
}

// Service applies rules while this entry owns the cell.
type Service struct {
	ledger   ledger.Ledger
	owner    Ownership
	rules    []Rule
	cursors  []string
	registry metrics.Registry
	log      zerolog.Logger
	loops    kernel.Loops
}

// New returns a service for the given rules.
func New(l ledger.Ledger, owner Ownership, registry metrics.Registry, log zerolog.Logger, rules ...Rule) *Service {
	return &Service{ledger: l, owner: owner, rules: rules, cursors: make([]string, len(rules)), registry: registry, log: log}
}

// Start begins the periodic removal of expired rows.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(pageInterval, s.runRules)
	return nil
}

// Stop ends the service.
func (s *Service) Stop(context.Context) error {
	s.loops.End()
	return nil
}

func (s *Service) runRules(ctx context.Context) {
	if !s.owner.Owns() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	for i := range s.rules {
		if err := s.removeExpiredPage(ctx, i, time.Now()); err != nil {
			metrics.GetOrRegisterCounter("retention.failed", s.registry).Inc(1)
		}
	}
}

// removeExpiredPage removes the expired rows of a rule's next page and returns the first
// error. After the last page it starts again with the first.
func (s *Service) removeExpiredPage(ctx context.Context, ruleIndex int, now time.Time) error {
	rule := s.rules[ruleIndex]
	rows, err := s.ledger.Scan(ctx, ledger.CauseCleanup, rule.Prefix, s.cursors[ruleIndex], rowsPerPage)
	if err != nil {
		return errors.Annotatef(err, "scanning %q", rule.Prefix)
	}
	s.cursors[ruleIndex] = ""
	if len(rows) == rowsPerPage {
		s.cursors[ruleIndex] = rows[len(rows)-1].Key
	}
	var first error
	for _, row := range rows {
		if ctx.Err() != nil {
			break
		}
		if !rule.Expired(row.Data, now) {
			continue
		}
		if err := s.remove(ctx, rule, row); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (s *Service) remove(ctx context.Context, rule Rule, row ledger.Row) error {
	if rule.BeforeDelete != nil {
		if err := rule.BeforeDelete(ctx, row.Key, row.Data); err != nil {
			return errors.Annotatef(err, "removing what belongs to %q", row.Key)
		}
	}
	_, err := s.ledger.Commit(ctx, ledger.CauseCleanup, ledger.Write{Key: row.Key, Version: row.Version, Delete: true})
	if err != nil && !errors.Is(err, ledger.ErrConflict) {
		return errors.Annotatef(err, "removing %q", row.Key)
	}
	metrics.GetOrRegisterCounter("retention.removed."+rule.Name, s.registry).Inc(1)
	return nil
}
