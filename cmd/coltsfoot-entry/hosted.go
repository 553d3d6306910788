package main

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/graphs"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
	"github.com/coltsfootlug/coltsfootlug/internal/explain"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/coltsfootlug/coltsfootlug/platform"
)

const (
	// hostedTermDuration is the validity of an ownership renewal. The owner renews
	// every hostedRenewInterval, so that it keeps the ownership even if the store
	// is sixty times slower or one connection stops responding.
	hostedTermDuration  = 1700 * time.Millisecond
	hostedRenewInterval = 250 * time.Millisecond
	// hostedTakeoverDelay is the time for which the ownership row must be unchanged
	// before another entry takes it over: three renewal intervals. The previous
	// owner need not have stopped by then, because workers reject its fencing
	// token and the new owner waits for their leases to expire. Entries read the
	// row every hostedPollInterval.
	hostedTakeoverDelay = 750 * time.Millisecond
	hostedPollInterval  = 200 * time.Millisecond
	// hostedSlowerHostDelay lets each entry on a faster host read the row before
	// one on a slower host claims it. Entries start within 300 ms of each other;
	// hostedFirstClaimDelay separates hosts of a fifth and four fifths of a core
	// by twice that.
	hostedSlowerHostDelay = 250 * time.Millisecond
	hostedFirstClaimDelay = time.Second
	// hostedLameDuckDuration is the time for which a stopping entry still accepts
	// connections. The balancer probes every second and removes an entry after
	// two failed probes.
	hostedLameDuckDuration = 2500 * time.Millisecond
	// maxCallerBodyBytes is the maximum body size of a caller's request.
	maxCallerBodyBytes = 1 << 20
)

// shutdownFlag is a service whose Stop records that the process is stopping, so
// that the readiness probe fails.
type shutdownFlag struct{ stopping atomic.Bool }

func (l *shutdownFlag) Start(context.Context) error { return nil }

func (l *shutdownFlag) Stop(context.Context) error {
	l.stopping.Store(true)
	return nil
}

// The HTTP servers of a hosted entry, as distinct types for dependency injection.
type (
	callerServer struct{ *httpx.Server }
	probeServer  struct{ *httpx.Server }
	debugServer  struct{ *httpx.Server }
)

// hostedServices holds all services of a hosted entry.
type hostedServices struct {
	dig.In

	Ledger    *ledger.Client
	Policies  *policy.Watcher
	RPC       *graphs.Server
	Pages     *debugServer
	Probes    *probeServer
	Callers   *callerServer
	Owner     *owner.Service
	Scheduler *graphs.Scheduler
	Retention *retention.Service
	Handover  *graphs.Handover
	Outlooks  *graphs.Outlooks
	Leaving   *shutdownFlag
}

// runHosted runs an entry with the hosting platform's settings file at path and
// returns the exit code.
func runHosted(path string) int {
	return procmain.RunHosted("coltsfoot-entry", "entry", path, platform.LoadSettings, wireHosted)
}

func wireHosted(k *kernel.Kernel, h procmain.Hosted) error {
	if h.Settings.ClientsListen == "" {
		return errors.NotValidf("settings of an entry without an address for callers")
	}
	err := k.Provide(
		func() *settings.Hosted { return h.Settings },
		func() procmain.HostedFlags { return h.Flags },
		func() zerolog.Logger { return h.Log },
		func() metrics.Registry { return h.Registry },
		func() clock { return clock(ledger.NewMonotonicClock()) },
		func() *shutdownFlag { return &shutdownFlag{} },
		func(s *settings.Hosted) *platform.Store { return platform.NewStore(s.TableAddress) },
		hostedLedger, hostedPolicies, hostedOwner, hostedStore, hostedScheduler, hostedPeers, hostedHandover, hostedRPC,
		hostedRetention, hostedOutlooks, hostedFront, hostedCallers, hostedProbes, hostedExplainer, hostedPages,
	)
	if err != nil {
		return err
	}
	return k.Invoke(func(all hostedServices) error { return registerHosted(k, all) })
}

// registerHosted registers the services in start order. They stop in reverse
// order: the entry becomes not ready, gives up the ownership, answers the
// requests that still arrive, and then closes its connections.
func registerHosted(k *kernel.Kernel, all hostedServices) error {
	return k.RegisterAll(
		kernel.Registration{Name: "ledger", Service: all.Ledger},
		kernel.Registration{Name: "policies", Service: all.Policies},
		kernel.Registration{Name: "rpc", Service: all.RPC},
		kernel.Registration{Name: "pages", Service: all.Pages},
		kernel.Registration{Name: "probes", Service: all.Probes},
		kernel.Registration{Name: "callers", Service: all.Callers},
		kernel.Registration{Name: "owner", Service: all.Owner},
		kernel.Registration{Name: "scheduler", Service: all.Scheduler},
		kernel.Registration{Name: "retention", Service: all.Retention},
		kernel.Registration{Name: "handover", Service: all.Handover},
		kernel.Registration{Name: "outlooks", Service: all.Outlooks},
		kernel.Registration{Name: "leaving", Service: all.Leaving},
	)
}

func hostedLedger(store *platform.Store, s *settings.Hosted, c clock, registry metrics.Registry, log zerolog.Logger) *ledger.Client {
	return ledger.New(store, ledger.Config{
		Metrics:         registry,
		Log:             log,
		Clock:           c,
		OpTimeout:       settings.HostedTableTimeout,
		MaxGroupEntries: settings.HostedTableEntries,
		MaxRowBytes:     s.TableRowBytes,
		MaxCommitBytes:  settings.HostedTableCommitBytes,
	})
}

func hostedPolicies(store *platform.Store, s *settings.Hosted, c clock, registry metrics.Registry, log zerolog.Logger) *policy.Watcher {
	return policy.NewWatcher(platform.NewPolicySource(store), policy.Limits{RevocationTime: s.RevocationTime, ApplyTime: s.ApplyTime}, c, registry, log)
}

func hostedOwner(l *ledger.Client, s *settings.Hosted, c clock, registry metrics.Registry, log zerolog.Logger) *owner.Service {
	times := owner.Timing{
		Lease:           hostedTermDuration,
		RenewInterval:   hostedRenewInterval,
		ClockMargin:     200 * time.Millisecond,
		PollInterval:    hostedPollInterval,
		TakeoverDelay:   hostedTakeoverDelay,
		SlowerHostDelay: hostedSlowerHostDelay,
		FirstClaimDelay: hostedFirstClaimDelay,
		PermitTTL:       time.Millisecond, // the new owner waits for each worker's lease instead
	}
	self := owner.Self{ID: s.Node, ExclusiveID: true, Addr: s.EntryAddress(s.IP), Speed: s.Cores}
	epochFloor := func(ctx context.Context) (uint64, error) { return graphs.FenceEpoch(ctx, l) }
	return owner.New(l, settings.HostedCell, self, c, owner.Config{Timing: times, EpochFloor: epochFloor, Metrics: registry, Log: log})
}

func hostedPeers(s *settings.Hosted, o *owner.Service, log zerolog.Logger) *graphs.Peers {
	return graphs.NewPeers(s.EntryAddress(s.IP), s.SeedAddresses(), o, log)
}

func hostedHandover(o *owner.Service, l *ledger.Client, p *policy.Watcher, peers *graphs.Peers, log zerolog.Logger) *graphs.Handover {
	return graphs.NewHandover(o, l, p, peers, log)
}

func hostedStore(l *ledger.Client, s *settings.Hosted) *graphs.Store {
	return graphs.NewStoreWithLimit(l, s.TableRowBytes)
}

func hostedScheduler(o *owner.Service, s *graphs.Store, p *policy.Watcher, hosted *settings.Hosted, flags procmain.HostedFlags, c clock, registry metrics.Registry, log zerolog.Logger) *graphs.Scheduler {
	limits := graphs.Limits{MaxLease: hosted.MaxLease, StopTime: hosted.StopTime}
	return graphs.NewScheduler(o, s, p, limits, flags.Features, c, time.Now, registry, log)
}

func hostedRetention(l *ledger.Client, store *graphs.Store, sch *graphs.Scheduler, registry metrics.Registry, log zerolog.Logger) *retention.Service {
	return retention.New(l, sch, registry, log, store.RetentionRule())
}

func hostedRPC(s *settings.Hosted, sch *graphs.Scheduler, o *owner.Service, f *graphs.Front, h *graphs.Handover, log zerolog.Logger) *graphs.Server {
	return graphs.NewServer(s.EntryAddress(s.IP), sch, o, f, h, log)
}

func hostedOutlooks(sch *graphs.Scheduler, o *owner.Service, peers *graphs.Peers, c clock, registry metrics.Registry, log zerolog.Logger) *graphs.Outlooks {
	return graphs.NewOutlooks(sch, o, peers, c, registry, log)
}

func hostedFront(p *policy.Watcher, store *graphs.Store, sch *graphs.Scheduler, o *owner.Service, peers *graphs.Peers, l *graphs.Outlooks, flags procmain.HostedFlags, registry metrics.Registry, log zerolog.Logger) *graphs.Front {
	f := graphs.NewFront(p, store, graphs.NewOwnerClient(sch, o), peers, time.Now, registry, log)
	if flags.Features.Has(feature.Admission) {
		f.SetAdmission(l)
	}
	return f
}

func hostedCallers(s *settings.Hosted, f *graphs.Front, registry metrics.Registry, log zerolog.Logger) *callerServer {
	return &callerServer{httpx.NewServer(httpx.ServerOptions{
		Listen:          s.ClientsListen,
		Handler:         platform.CallerHandler(f),
		MaxBodyBytes:    maxCallerBodyBytes,
		LameDuck:        hostedLameDuckDuration,
		Registry:        registry,
		OnPanic:         procmain.LogPanic(log),
		OnAcceptFailure: procmain.LogAcceptFailure(log),
	})}
}

func hostedProbes(s *settings.Hosted, f *graphs.Front, l *shutdownFlag) *probeServer {
	ready := func() error {
		if l.stopping.Load() {
			return errors.New("stopping")
		}
		return f.Ready()
	}
	return &probeServer{httpx.NewServer(httpx.ServerOptions{Listen: s.ReadyListen, Handler: platform.ReadyHandler(ready)})}
}

func hostedExplainer(sch *graphs.Scheduler, o *owner.Service, p *policy.Watcher, l *graphs.Outlooks, flags procmain.HostedFlags) *graphs.Explainer {
	return graphs.NewExplainer(sch, o, p, l, strconv.Itoa(flags.MetricsPort))
}

func hostedPages(k *kernel.Kernel, s *settings.Hosted, flags procmain.HostedFlags, e *graphs.Explainer, registry metrics.Registry) *debugServer {
	return &debugServer{httpx.NewDebugServer(s.IP, flags.MetricsPort, registry, func() any { return k.DumpState() },
		httpx.Page{Path: explain.Path, Handler: e.ServePage})}
}
