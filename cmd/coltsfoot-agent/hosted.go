package main

import (
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/keeper"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/platform"
)

// runHosted runs the agent of the worker on this host, with the hosting
// platform's settings file at path, and returns the exit code.
func runHosted(path string) int {
	return procmain.RunHosted("coltsfoot-agent", "agent", path, platform.LoadSettings, wireHosted)
}

func wireHosted(k *kernel.Kernel, h procmain.Hosted) error {
	s := h.Settings
	if s.WorkerListen == "" {
		return errors.NotValidf("settings of an agent without a worker")
	}
	if s.OrdersInHeartbeatReplies {
		return errors.NotSupportedf("workers that take orders in the replies to their heartbeats")
	}
	err := k.Provide(
		func() *settings.Hosted { return s },
		func() zerolog.Logger { return h.Log },
		func() metrics.Registry { return h.Registry },
		ledger.NewMonotonicClock,
		hostedFinder,
		func(f *keeper.OwnerFinder, s *settings.Hosted, clock func() time.Duration) *keeper.Keeper {
			return keeper.New(platform.NewRunner(s.WorkerAddress), f, clock, h.Registry, h.Log)
		},
	)
	if err != nil {
		return err
	}
	identity := platform.NewHostIdentity(s, func() (*settings.Hosted, error) { return platform.LoadSettings(platform.SettingsPath()) })
	return k.Invoke(func(keeperService *keeper.Keeper) error {
		heartbeats := httpx.NewServer(httpx.ServerOptions{
			Listen:          s.WorkerListen,
			Handler:         platform.HeartbeatHandler(identity, keeperService, h.Registry, h.Log),
			Registry:        h.Registry,
			OnPanic:         procmain.LogPanic(h.Log),
			OnAcceptFailure: procmain.LogAcceptFailure(h.Log),
		})
		pages := httpx.NewDebugServer(s.IP, h.Flags.MetricsPort, h.Registry, func() any { return k.DumpState() })
		return k.RegisterAll(
			kernel.Registration{Name: "pages", Service: pages},
			kernel.Registration{Name: "heartbeats", Service: heartbeats},
			kernel.Registration{Name: "keeper", Service: keeperService},
		)
	})
}

func hostedFinder(s *settings.Hosted, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *keeper.OwnerFinder {
	rows := ledger.New(platform.NewStore(s.TableAddress), ledger.Config{Metrics: registry, Log: log, Clock: clock, OpTimeout: settings.HostedTableTimeout})
	return keeper.NewOwnerFinder(rows, settings.HostedCell, s.SeedAddresses(), clock, log)
}
