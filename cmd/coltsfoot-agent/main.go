// Command coltsfoot-agent runs beside one endpoint, a minion or a worker. It
// announces the endpoint, manages its slots and leases and starts its work.
package main

import (
	"os"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/platform"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// endpointTimeout applies to calls to the endpoint that set no other timeout.
const endpointTimeout = 10 * time.Minute

func main() { os.Exit(run()) }

func run() int {
	if path := platform.SettingsPath(); path != "" {
		return runHosted(path)
	}
	s, code := procmain.Load("coltsfoot-agent", os.Args[1:], os.Stderr, settings.LoadAgent)
	if s == nil {
		return code
	}
	log := procmain.NewLogger(os.Stderr, s.Log.Level, s.Role, string(s.ID))
	k := kernel.New()
	if err := wire(k, s, log); err != nil {
		log.Error().Err(err).Msg("wiring failed")
		return procmain.ExitFailed
	}
	return procmain.Process{Kernel: k, Log: log, Zone: string(s.Zone), DrainTimeout: s.Drain.Timeout.D()}.Run()
}

// wire builds the services and registers them in start order.
func wire(k *kernel.Kernel, s *settings.Agent, log zerolog.Logger) error {
	err := k.Provide(
		func() *settings.Agent { return s },
		func() zerolog.Logger { return log },
		metrics.NewRegistry,
		newAgent,
		newPages,
	)
	if err != nil {
		return err
	}
	return k.Invoke(func(pages *httpx.Server, a *agent.Agent) error {
		if err := k.Register("http", pages); err != nil {
			return err
		}
		return k.Register("agent", a)
	})
}

func newAgent(s *settings.Agent, registry metrics.Registry, log zerolog.Logger) *agent.Agent {
	cfg := agent.Config{
		ID:       string(s.ID),
		Zone:     string(s.Zone),
		Rack:     string(s.Rack),
		Kind:     agent.Kind(s.Kind),
		Service:  string(s.Service),
		Slots:    s.Slots,
		Capacity: s.Capacity,
		Balancer: string(s.Balancer),
	}
	if cfg.Kind == agent.KindMinion {
		return agent.New(cfg, external.NewMinionClient(string(s.Endpoint), endpointTimeout), nil, registry, log)
	}
	return agent.New(cfg, nil, external.NewWorkerClient(string(s.Endpoint), endpointTimeout), registry, log)
}

func newPages(k *kernel.Kernel, s *settings.Agent, a *agent.Agent, registry metrics.Registry) *httpx.Server {
	r := httpx.NewRouter(nil)
	httpx.MountDebugPages(r, httpx.DebugOptions{
		Ready:    a.Ready,
		Registry: registry,
		Dump:     func() any { return k.DumpState() },
	})
	return httpx.NewServer(httpx.ServerOptions{Listen: string(s.HTTPListen), Handler: r.Handler, Registry: registry})
}
