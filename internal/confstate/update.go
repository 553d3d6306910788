package confstate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// PutProfile creates or replaces a profile.
func (s *Service) PutProfile(ctx context.Context, p api.Profile, expect uint64) (*api.Config, error) {
	if p.Name == "" {
		return nil, errors.NotValidf("profile without name")
	}
	return s.update(ctx, putProfile(p, expect))
}

// DeleteProfile removes a profile.
func (s *Service) DeleteProfile(ctx context.Context, name string, expect uint64) (*api.Config, error) {
	return s.update(ctx, deleteProfile(name, expect))
}

// PutZone takes an availability zone out of service or puts it back in.
func (s *Service) PutZone(ctx context.Context, name string, state api.ZoneState, expect uint64) (*api.Config, error) {
	if name == "" {
		return nil, errors.NotValidf("availability zone without name")
	}
	if state != api.ZoneIn && state != api.ZoneOut {
		return nil, errors.NotValidf("state %q of availability zone %q", state, name)
	}
	return s.update(ctx, putZone(name, state, expect))
}

// update applies an edit by compare-and-set. It is acknowledged only while this entry
// is in the other entries' lists: an entry that permits starts in an outage then
// needs the report of this entry, which knows of the change.
func (s *Service) update(ctx context.Context, e edit) (*api.Config, error) {
	select {
	case s.editSlot <- struct{}{}:
		defer func() { <-s.editSlot }()
	case <-ctx.Done():
		return nil, errors.Annotate(ErrStoreDown, ctx.Err().Error())
	}
	if err := s.awaitSettled(ctx); err != nil {
		return nil, errors.Annotate(ErrStoreDown, err.Error())
	}
	c, err := s.compareAndSet(ctx, e)
	if err != nil {
		return c, err
	}
	// Check again: this process may have been paused since the first check.
	if err := s.awaitSettled(ctx); err != nil {
		return nil, errors.Annotatef(ledger.ErrOutcomeUnknown, "version %d is written, but may not be in force: %v", c.Version, err)
	}
	return c, nil
}

func (s *Service) awaitSettled(ctx context.Context) error {
	for !s.peers.Settled() {
		if err := ctx.Err(); err != nil {
			return errors.Annotate(err, "the other entries do not know this one yet")
		}
		s.cfg.Sleep(ctx, settlePollInterval)
	}
	return nil
}

// compareAndSet applies an edit. It starts from the rows last seen; an edit that they
// reject is checked again on freshly read rows. If the transaction conflicts, the
// edit is applied again to the newer rows.
func (s *Service) compareAndSet(ctx context.Context, e edit) (*api.Config, error) {
	stored, fresh := s.lastStored(), false
	for {
		if stored == nil {
			var err error
			if stored, err = s.readStored(ctx); err != nil {
				return nil, errors.Annotate(ErrStoreDown, err.Error())
			}
			fresh = true
		}
		next, err := applyEdit(stored.config, s.Current().Version, e)
		if err != nil && !fresh {
			stored = nil
			continue
		}
		if err != nil {
			return stored.config, err
		}
		stored, err = s.commit(ctx, stored, next)
		if err != nil {
			return nil, err
		}
		if stored == nil {
			return next, nil
		}
		fresh = true
	}
}

func (s *Service) lastStored() *storedConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}

// commit writes a configuration over the stored one. After a conflict it returns the
// rows for the next attempt, otherwise nil and the result.
func (s *Service) commit(ctx context.Context, stored *storedConfig, next *api.Config) (*storedConfig, error) {
	writes, err := stored.writes(next)
	if err != nil {
		return nil, err
	}
	start := s.clock()
	rows, err := s.ledger.Commit(ctx, ledger.CauseConfig, writes...)
	switch {
	case err == nil:
		s.applyStored(&storedConfig{next, rows[0].Version, rows[1].Version}, start, true)
		s.count("config.changes")
		return nil, nil
	case errors.Is(err, ledger.ErrConflict):
		return s.handleConflict(rows, start)
	case errors.Is(err, ledger.ErrDown), errors.Is(err, ledger.ErrOverloaded):
		return nil, errors.Annotate(ErrStoreDown, err.Error())
	default:
		s.forgetStored()
		return nil, errors.Trace(err)
	}
}

func (s *Service) handleConflict(rows []ledger.Row, start time.Duration) (*storedConfig, error) {
	s.count("config.conflicts")
	stored, err := decodeStoredConfig(rows)
	if err != nil {
		s.reportUnreadable(err)
		return replaceUnreadable(rows, s.Current())
	}
	s.applyStored(stored, start, stored.config.Version >= s.Current().Version)
	return stored, nil
}

func (s *Service) forgetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = nil
}
