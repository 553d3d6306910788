package scheduler

import (
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/juju/errors"
)

// workerDiscoveryTime is how long after its start an entry may not know all workers yet.
const workerDiscoveryTime = 15 * time.Second

// ErrNotFeasible says that guaranteed shapes do not fit on the workers.
const ErrNotFeasible = errors.ConstError("guarantees do not fit")

// CheckGuarantees judges a configuration with an edited profile against the
// workers that are linked. An error names the guaranteed shapes that do not
// fit; a warning tells that they fit only while all zones are in. An edit that
// leaves the profile's guarantee as it was is never refused, so that profiles
// stay editable while workers are missing, nor is one refused by an entry that
// has just started and may not know all workers.
func (s *Service) CheckGuarantees(edited *api.Config, name string) (warning string, err error) {
	workers := s.linkedWorkers()
	if len(workers) == 0 {
		return "guarantees were not checked: no worker is linked", nil
	}
	var problems, warnings []string
	for _, f := range feasibility.Check(edited, workers) {
		if f.Severity == feasibility.Error {
			problems = append(problems, f.Detail)
			continue
		}
		warnings = append(warnings, f.Detail)
	}
	changed := !sameGuarantee(s.config.Current().Profiles[name].Guarantee, edited.Profiles[name].Guarantee)
	discoveryDone := time.Since(s.created) >= workerDiscoveryTime
	if len(problems) > 0 && changed && discoveryDone {
		return "", errors.Annotate(ErrNotFeasible, strings.Join(problems, "; "))
	}
	return strings.Join(append(problems, warnings...), "; "), nil
}

func sameGuarantee(a, b *api.Guarantee) bool {
	if a == nil || b == nil {
		return b == nil
	}
	return *a == *b
}

func (s *Service) linkedWorkers() []feasibility.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []feasibility.Worker
	for _, id := range sortedKeys(s.workers) {
		a := s.workers[id].agent
		out = append(out, feasibility.Worker{Name: a.ID, Zone: a.Zone, Rack: a.Rack, Capacity: a.Capacity})
	}
	return out
}
