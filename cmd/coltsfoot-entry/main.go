// Command coltsfoot-entry serves callers and operators, routes requests to
// minions and, while it owns the cell, schedules gangs on workers.
package main

import (
	"os"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/platform"
	"github.com/google/uuid"
)

func main() { os.Exit(run()) }

func run() int {
	if path := platform.SettingsPath(); path != "" {
		return runHosted(path)
	}
	s, code := procmain.Load("coltsfoot-entry", os.Args[1:], os.Stderr, settings.LoadEntry)
	if s == nil {
		return code
	}
	if s.ID == "" {
		s.ID = settings.Name("entry-" + uuid.NewString()[:8])
	}
	log := procmain.NewLogger(os.Stderr, s.Log.Level, s.Role, string(s.ID))
	k := kernel.New()
	if err := wire(k, s, log); err != nil {
		log.Error().Err(err).Msg("wiring failed")
		return procmain.ExitFailed
	}
	return procmain.Process{Kernel: k, Log: log, Zone: string(s.Zone), DrainTimeout: s.Drain.Timeout.D()}.Run()
}
