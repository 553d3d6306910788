// Package retention removes rows that have outlived their use, a page at a
// time, from the entry that owns the cell.
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
	// pageInterval is the time between two pages of each rule.
	pageInterval = 10 * time.Second
	pageTimeout  = 5 * time.Second
	pageRows     = 200
)

// Rule tells which rows under a prefix have expired.
type Rule struct {
	Name    string
	Prefix  string
	Expired func(data json.RawMessage, now time.Time) bool
	// BeforeDelete, if not nil, removes what belongs to the row; on an error the row
	// stays for the next round.
	BeforeDelete func(ctx context.Context, data json.RawMessage) error
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

// Start begins to look for expired rows.
func (s *Service) Start(context.Context) error {
	s.loops.Begin()
	s.loops.Every(pageInterval, s.round)
	return nil
}

// Stop ends the service.
func (s *Service) Stop(context.Context) error {
	s.loops.End()
	return nil
}

func (s *Service) round(ctx context.Context) {
	if !s.owner.Owns() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	for i := range s.rules {
		if err := s.page(ctx, i, time.Now()); err != nil {
			metrics.GetOrRegisterCounter("retention.failed", s.registry).Inc(1)
		}
	}
}

// page looks at the next page of a rule's rows and starts over after the last.
func (s *Service) page(ctx context.Context, i int, now time.Time) error {
	rule := s.rules[i]
	rows, err := s.ledger.Scan(ctx, ledger.CauseCleanup, rule.Prefix, s.cursors[i], pageRows)
	if err != nil {
		return errors.Annotatef(err, "scanning %q", rule.Prefix)
	}
	s.cursors[i] = ""
	if len(rows) == pageRows {
		s.cursors[i] = rows[len(rows)-1].Key
	}
	for _, row := range rows {
		if !rule.Expired(row.Data, now) {
			continue
		}
		if err := s.remove(ctx, rule, row); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) remove(ctx context.Context, rule Rule, row ledger.Row) error {
	if rule.BeforeDelete != nil {
		if err := rule.BeforeDelete(ctx, row.Data); err != nil {
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
