package main

import (
	"net"
	"os"
	"strconv"
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

const (
	// hostedCell is the cell of a hosted deployment: one owner for all.
	hostedCell = "all"
	// storeTimeout bounds one read of the table.
	storeTimeout = 600 * time.Millisecond
)

// runHosted runs the agent of the worker on this host.
func runHosted(path string) int {
	s, flags, code := procmain.LoadHosted("coltsfoot-agent", os.Args[1:], os.Stderr, path, platform.LoadSettings)
	if s == nil {
		return code
	}
	registry := metrics.NewRegistry()
	log := procmain.HostedLogger(os.Stdout, flags, "agent", s.Node, func(n int) {
		metrics.GetOrRegisterCounter("log.dropped", registry).Inc(int64(n))
	})
	k := kernel.New()
	if err := wireHosted(k, s, flags, registry, log); err != nil {
		log.Error().Err(err).Msg("wiring failed")
		return procmain.ExitFailed
	}
	reload := func() error {
		_, err := platform.LoadSettings(path)
		return err
	}
	return procmain.Process{Kernel: k, Log: log, DrainTimeout: procmain.DrainTime(s), Reload: reload}.Run()
}

func wireHosted(k *kernel.Kernel, s *settings.Hosted, flags procmain.HostedFlags, registry metrics.Registry, log zerolog.Logger) error {
	if s.WorkerListen == "" {
		return errors.NotValidf("settings of an agent without a worker")
	}
	if s.OrdersInReplies {
		return errors.NotSupportedf("workers that take orders in the replies to their heartbeats")
	}
	err := k.Provide(
		func() *settings.Hosted { return s },
		func() zerolog.Logger { return log },
		func() metrics.Registry { return registry },
		ledger.Monotonic,
		hostedFinder,
		func(f *keeper.Finder, s *settings.Hosted, clock func() time.Duration) *keeper.Keeper {
			return keeper.New(platform.NewRunner(s.WorkerAddress), f, clock, registry, log)
		},
	)
	if err != nil {
		return err
	}
	return k.Invoke(func(kept *keeper.Keeper) error {
		heartbeats := httpx.NewServer(httpx.ServerOptions{Listen: s.WorkerListen, Handler: platform.HeartbeatHandler(kept)})
		pages := httpx.NewPages(s.IP, flags.MetricsPort, registry, func() any { return k.DumpState() })
		for _, r := range []struct {
			name    string
			service kernel.Service
		}{{"pages", pages}, {"heartbeats", heartbeats}, {"keeper", kept}} {
			if err := k.Register(r.name, r.service); err != nil {
				return err
			}
		}
		return nil
	})
}

func hostedFinder(s *settings.Hosted, clock func() time.Duration, registry metrics.Registry, log zerolog.Logger) *keeper.Finder {
	rows := ledger.New(platform.NewStore(s.TableAddress), ledger.Config{Metrics: registry, Log: log, Clock: clock, OpTimeout: storeTimeout})
	var entries []string
	for _, host := range s.SeedHosts {
		entries = append(entries, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
	}
	return keeper.NewFinder(rows, hostedCell, entries, clock, log)
}
