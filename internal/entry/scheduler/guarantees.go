package scheduler

import (
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/juju/errors"
)

// workerDiscoveryTime bounds the time after an entry's start in which some
// workers may not have linked yet.
const workerDiscoveryTime = 15 * time.Second

// ErrNotFeasible means that the guaranteed shapes do not fit on the linked workers.
const ErrNotFeasible = errors.ConstError("guarantees do not fit")

// CheckGuarantees checks whether the guarantees of an edited configuration fit
// on the linked workers. The error names the guaranteed shapes that do not
// fit; a warning says that they fit only while all zones are in service.
//
// Two kinds of edits get the problems as a warning instead of an error: those
// that do not change the guarantee of the named profile, so that profiles stay
// editable while workers are missing, and those checked within
// workerDiscoveryTime of the entry's start.
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
