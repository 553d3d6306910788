package confstate

import (
	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// edit changes one item of a configuration. It gets a copy that already has the new
// Version, and returns ErrVersionConflict if the item's version is not the expected
// one.
type edit func(c *api.Config) error

// applyEdit returns the configuration that results from an edit of base. Its version
// is higher than that of base and higher than floor.
func applyEdit(base *api.Config, floor uint64, e edit) (*api.Config, error) {
	next := base.Clone()
	next.Version = max(base.Version, floor) + 1
	if err := e(next); err != nil {
		return nil, err
	}
	return next, nil
}

func putProfile(p api.Profile, expect uint64) edit {
	return func(c *api.Config) error {
		if err := checkVersion("profile", p.Name, c.Profiles[p.Name].Version, expect); err != nil {
			return err
		}
		p.Version = c.Version
		c.Profiles[p.Name] = p
		return nil
	}
}

func deleteProfile(name string, expect uint64) edit {
	return func(c *api.Config) error {
		old, ok := c.Profiles[name]
		if err := checkVersion("profile", name, old.Version, expect); err != nil {
			return err
		}
		if !ok {
			return errors.NotFoundf("profile %q", name)
		}
		delete(c.Profiles, name)
		return nil
	}
}

func putZone(name string, state api.ZoneState, expect uint64) edit {
	return func(c *api.Config) error {
		if err := checkVersion("availability zone", name, c.Zones[name].Version, expect); err != nil {
			return err
		}
		c.Zones[name] = api.AvailabilityZone{Name: name, State: state, Version: c.Version}
		return nil
	}
}

func checkVersion(kind, name string, have, expect uint64) error {
	if expect == AnyVersion || have == expect {
		return nil
	}
	return errors.Annotatef(ErrVersionConflict, "%s %q is at version %d, expected %d", kind, name, have, expect)
}
