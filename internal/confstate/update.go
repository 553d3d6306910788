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

// PutZone takes an availability zone out or brings it back.
func (s *Service) PutZone(ctx context.Context, name string, state api.ZoneState, expect uint64) (*api.Config, error) {
	if name == "" {
		return nil, errors.NotValidf("availability zone without name")
	}
	if state != api.ZoneIn && state != api.ZoneOut {
		return nil, errors.NotValidf("state %q of availability zone %q", state, name)
	}
	return s.update(ctx, putZone(name, state, expect))
}

// update makes an edit by compare-and-set. It is acknowledged only while the
// other entries count this one among theirs: an entry that starts work in an
// outage then asks this one, which knows of the change.
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
	// This process may have been paused since the first look.
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

// compareAndSet makes an edit. The rows as last seen serve first; what they
// refuse is judged again on rows that were just read. A transaction that loses
// to a change of another item is made again on the newer rows.
func (s *Service) compareAndSet(ctx context.Context, e edit) (*api.Config, error) {
	b, fresh := s.lastStored(), false
	for {
		if b == nil {
			var err error
			if b, err = s.readStored(ctx); err != nil {
				return nil, errors.Annotate(ErrStoreDown, err.Error())
			}
			fresh = true
		}
		next, err := applyEdit(b.config, s.Current().Version, e)
		if err != nil && !fresh {
			b = nil
			continue
		}
		if err != nil {
			return b.config, err
		}
		b, err = s.commit(ctx, b, next)
		if err != nil {
			return nil, err
		}
		if b == nil {
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

// commit writes a configuration over the base. After a conflict it returns the
// rows to try again on, otherwise nil and the outcome.
func (s *Service) commit(ctx context.Context, b *storedConfig, next *api.Config) (*storedConfig, error) {
	writes, err := b.writes(next)
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
	b, err := decodeStoredConfig(rows)
	if err != nil {
		return nil, err
	}
	s.applyStored(b, start, b.config.Version >= s.Current().Version)
	return b, nil
}

func (s *Service) forgetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = nil
}
