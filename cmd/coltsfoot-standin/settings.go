package main

import (
	"fmt"
	"strings"

	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/juju/errors"
)

// addSettings adds the stand-ins that are configured in a settings file.
func addSettings(specs *standin.Specs, path string) error {
	s, err := settings.LoadStandin(path)
	if err != nil {
		return err
	}
	for _, item := range specsFromSettings(s) {
		if err := specs.Add(item.kind, item.value); err != nil {
			return errors.Annotatef(err, "%s in %s", item.kind, path)
		}
	}
	return nil
}

type spec struct {
	kind  string
	value string
}

func specsFromSettings(s *settings.Standin) []spec {
	var out []spec
	if s.Table.Listen != "" {
		out = append(out, spec{"table", string(s.Table.Listen)})
	}
	if s.Objects.Listen != "" {
		out = append(out, spec{"objects", string(s.Objects.Listen)})
	}
	for _, w := range s.Workers {
		value := fmt.Sprintf("%s,id=%s,accelerators=%d,milli_cpu=%d,memory_mb=%d", w.Listen, w.ID, w.Accelerators, w.MilliCPU, w.MemoryMB)
		out = append(out, spec{"worker", value})
	}
	for _, m := range s.Minions {
		out = append(out, spec{"minion", fmt.Sprintf("%s,id=%s,slots=%d", m.Listen, m.ID, m.Slots)})
	}
	for _, b := range s.Balancers {
		out = append(out, spec{"balancer", balancerValue(b)})
	}
	return out
}

func balancerValue(b settings.StandinBalancer) string {
	parts := []string{string(b.Listen)}
	if b.Control != "" {
		parts = append(parts, "control="+string(b.Control))
	}
	for _, target := range b.Targets {
		parts = append(parts, "target="+string(target))
	}
	return strings.Join(parts, ",")
}
