package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/juju/errors"
)

// fixedConfig is a ConfigSource whose configuration does not change.
type fixedConfig struct{ config *api.Config }

func (f fixedConfig) Current() *api.Config { return f.config }

func profileWithGuarantee(gangs int) api.Profile {
	return api.Profile{Name: "p", ClientAccount: "a", Guarantee: &api.Guarantee{
		Gangs: gangs,
		Shape: api.Shape{Tasks: 1, PerTask: api.Resources{Accelerators: 8}, Adjacency: api.AdjacentWorker},
	}}
}

func configWith(p api.Profile) *api.Config {
	return &api.Config{Version: 1, Profiles: map[string]api.Profile{p.Name: p}}
}

func serviceWithOneWorker(age time.Duration, current *api.Config) *Service {
	a := links.Agent{ID: "w", Zone: "z", Rack: "r", Capacity: api.Resources{Accelerators: 8}}
	return &Service{
		created: time.Now().Add(-age),
		config:  fixedConfig{current},
		workers: map[string]*worker{"w": {agent: a}},
	}
}

func TestCheckGuaranteesRefusesOnlyEditsThatDoNotFit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		age     time.Duration
		current api.Profile
		edited  api.Profile
		refused bool
		warning string
	}{
		{"grown beyond the fleet", time.Hour, profileWithGuarantee(1), profileWithGuarantee(2), true, ""},
		{"entry has just started", time.Second, profileWithGuarantee(1), profileWithGuarantee(2), false, "no room for 1 of"},
		{"guarantee not touched", time.Hour, profileWithGuarantee(2), profileWithGuarantee(2), false, "no room for 1 of"},
		{"fits with all zones in", time.Hour, profileWithGuarantee(2), profileWithGuarantee(1), false, "while zone"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serviceWithOneWorker(tc.age, configWith(tc.current))
			warning, err := s.CheckGuarantees(configWith(tc.edited), "p")
			if errors.Is(err, ErrNotFeasible) != tc.refused {
				t.Errorf("error %v, want a refusal: %t", err, tc.refused)
			}
			if !strings.Contains(warning, tc.warning) {
				t.Errorf("warning %q does not contain %q", warning, tc.warning)
			}
		})
	}
}
