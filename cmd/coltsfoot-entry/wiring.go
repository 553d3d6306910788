package main

import (
	"context"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/httpapi"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/node"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/requests"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/retention"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/scheduler"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/membership"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
)

// lameDuckDuration is the time for which a stopping entry still accepts
// connections, so that the balancer sees that it is not ready before it exits.
const lameDuckDuration = 500 * time.Millisecond

// clock is the process's monotonic clock.
type clock func() time.Duration

// services holds all services of an entry.
type services struct {
	dig.In

	Ledger     *ledger.Client
	Membership *membership.Service
	Config     *confstate.Service
	Owner      *owner.Service
	Waiters    *jobs.Waiters
	Links      *links.Server
	RPC        *node.RPCServer
	Scheduler  *scheduler.Service
	Requests   *requests.Service
	Notifier   *node.Notifier
	Retention  *retention.Service
	HTTP       *httpx.Server
}

// wire builds the services and registers them in start order. They stop in
// reverse order: the entry first stops accepting calls, then finishes the work in
// progress, then closes the links to agents and the persistent state.
func wire(k *kernel.Kernel, s *settings.Entry, log zerolog.Logger) error {
	if s.Limits.MaxBodyBytes > rpc.MaxBodyBytes {
		return errors.NotValidf("limits.max_body_bytes %d (at most %d)", s.Limits.MaxBodyBytes, rpc.MaxBodyBytes)
	}
	err := k.Provide(
		func() *settings.Entry { return s },
		func() zerolog.Logger { return log },
		func() clock { return clock(ledger.NewMonotonicClock()) },
		metrics.NewRegistry,
		newTable, newObjects, newLedger, newMembership, newConfig, newOwner,
		newBeat, newLinks, newStore, jobs.NewWaiters, newScheduler, newRequests,
		newRPC, newNotifier, newOwnership, newRetention, newStatus, newReadiness, newAPI, newHTTP,
	)
	if err != nil {
		return err
	}
	if err := k.Invoke(bindPeerState); err != nil {
		return err
	}
	return k.Invoke(func(all services) error { return register(k, all) })
}

func register(k *kernel.Kernel, all services) error {
	return k.RegisterAll(
		kernel.Registration{Name: "ledger", Service: all.Ledger},
		kernel.Registration{Name: "config", Service: all.Config},
		kernel.Registration{Name: "membership", Service: all.Membership},
		kernel.Registration{Name: "owner", Service: all.Owner},
		kernel.Registration{Name: "waiters", Service: all.Waiters},
		kernel.Registration{Name: "links", Service: all.Links},
		kernel.Registration{Name: "rpc", Service: all.RPC},
		kernel.Registration{Name: "scheduler", Service: all.Scheduler},
		kernel.Registration{Name: "requests", Service: all.Requests},
		kernel.Registration{Name: "notifier", Service: all.Notifier},
		kernel.Registration{Name: "retention", Service: all.Retention},
		kernel.Registration{Name: "http", Service: all.HTTP},
	)
}

func newTable(s *settings.Entry) external.Table {
	return external.NewTableClient(string(s.Table.URL), s.Table.Timeout.D())
}

func newObjects(s *settings.Entry) external.Objects {
	return external.NewObjectsClient(string(s.Objects.URL), s.Objects.Timeout.D())
}

func newLedger(table external.Table, c clock, registry metrics.Registry, log zerolog.Logger) (*ledger.Client, ledger.Ledger) {
	client := ledger.New(table, ledger.Config{Metrics: registry, Log: log, Clock: c})
	return client, client
}

func newMembership(l ledger.Ledger, s *settings.Entry, c clock, registry metrics.Registry, log zerolog.Logger) *membership.Service {
	self := membership.Self{ID: string(s.ID), Addr: advertisedAddr(s), Zone: string(s.Zone)}
	cfg := membership.Config{Metrics: registry, Log: log}
	if s.Balancer != "" {
		cfg.Seeds = []string{string(s.Balancer)}
	}
	return membership.New(l, self, membership.NewDialer(), c, cfg)
}

func advertisedAddr(s *settings.Entry) string {
	if s.RPCAdvertise != "" {
		return string(s.RPCAdvertise)
	}
	return string(s.RPCListen)
}

func newConfig(l ledger.Ledger, m *membership.Service, c clock, registry metrics.Registry, log zerolog.Logger) (*confstate.Service, confstate.Store) {
	config := confstate.New(l, m, c, confstate.Config{Metrics: registry, Log: log})
	return config, config
}

func newOwner(l ledger.Ledger, s *settings.Entry, m *membership.Service, config *confstate.Service, c clock, registry metrics.Registry, log zerolog.Logger) *owner.Service {
	self := owner.Self{ID: string(s.ID), Addr: advertisedAddr(s)}
	o := owner.New(l, string(s.Cell), self, c, owner.Config{
		Timing:  ownerTiming(),
		Peers:   ownerPeers{config, m},
		Metrics: registry,
		Log:     log,
	})
	return o
}

// bindPeerState connects membership to the state that this entry sends to its
// peers.
func bindPeerState(m *membership.Service, config *confstate.Service, o *owner.Service, srv *links.Server) {
	m.Bind(config, func(state *rpc.PeerState) {
		a := o.Current()
		state.OwnerEpoch = a.Epoch
		state.OwnerId = a.OwnerID
		state.Agents = int32(len(srv.Agents()))
	})
}

// ownerTiming returns the timing of the ownership lease. After the owner is killed, a
// takeover takes Lease, ClockMargin and PermitTTL in sequence; the sum must be
// within the time in which urgent work has to start.
func ownerTiming() owner.Timing {
	return owner.Timing{
		Lease:         1500 * time.Millisecond,
		RenewInterval: 400 * time.Millisecond,
		ClockMargin:   200 * time.Millisecond,
		PollInterval:  200 * time.Millisecond,
		PermitTTL:     route.PermitTTL,
	}
}

// ownerPeers combines the information about other entries that ownership needs.
type ownerPeers struct {
	config     *confstate.Service
	membership *membership.Service
}

func (p ownerPeers) StoreDownEverywhere() bool { return p.config.StoreDownEverywhere() }
func (p ownerPeers) HighestOwnerEpoch() uint64 { return p.membership.HighestOwnerEpoch() }

func newBeat(s *settings.Entry, config confstate.Store, m *membership.Service, o *owner.Service) *node.HeartbeatFiller {
	return &node.HeartbeatFiller{EntryID: string(s.ID), Config: config, Members: m, Owner: o}
}

func newLinks(beat *node.HeartbeatFiller, config confstate.Store, registry metrics.Registry, log zerolog.Logger) *links.Server {
	server := links.New(beat, registry, log)
	config.Subscribe(func(*api.Config) { server.SendHeartbeats() })
	return server
}

func newStore(l ledger.Ledger, s *settings.Entry) *jobs.Store {
	return jobs.NewStore(l, string(s.Cell))
}

func newOwnership(o *owner.Service, c clock) node.Ownership {
	return node.Ownership{Owner: o, Clock: c}
}

func newRetention(l ledger.Ledger, o node.Ownership, objects external.Objects, registry metrics.Registry, log zerolog.Logger) *retention.Service {
	return retention.New(l, o, registry, log, requests.Retention(objects), jobs.Retention())
}

func newScheduler(o node.Ownership, config confstate.Store, store *jobs.Store, w *jobs.Waiters, srv *links.Server, registry metrics.Registry, log zerolog.Logger) *scheduler.Service {
	return scheduler.New(o, config, store, w, srv, registry, log)
}

func newRequests(s *settings.Entry, srv *links.Server, config confstate.Store, m *membership.Service, l ledger.Ledger, objects external.Objects, registry metrics.Registry, log zerolog.Logger) *requests.Service {
	cfg := requests.Config{EntryID: string(s.ID), MaxRequests: s.Limits.MaxRequests, MaxQueue: s.Limits.MaxQueue}
	return requests.New(cfg, srv, config, m, l, objects, registry, log)
}

func newRPC(s *settings.Entry, m *membership.Service, sch *scheduler.Service, srv *links.Server) *node.RPCServer {
	return node.NewRPCServer(string(s.RPCListen), m, m, sch, srv)
}

func newNotifier(o *owner.Service, sch *scheduler.Service, registry metrics.Registry) *node.Notifier {
	return node.NewNotifier(o, sch, registry)
}

func newStatus(s *settings.Entry, config *confstate.Service, m *membership.Service, srv *links.Server) *node.Status {
	return &node.Status{EntryID: string(s.ID), Zone: string(s.Zone), Config: config, Members: m, Links: srv}
}

func newReadiness(status *node.Status, c clock) *node.Readiness {
	return &node.Readiness{Status: status, Clock: c}
}

func newAPI(config confstate.Store, r *requests.Service, store *jobs.Store, w *jobs.Waiters, sch *scheduler.Service, n *node.Notifier, status *node.Status, registry metrics.Registry) *httpapi.API {
	return &httpapi.API{
		Config:    config,
		Requests:  r,
		Jobs:      store,
		Waiters:   w,
		Scheduler: sch,
		Notifier:  n,
		Status:    status,
		Registry:  registry,
	}
}

func newHTTP(k *kernel.Kernel, s *settings.Entry, a *httpapi.API, ready *node.Readiness, registry metrics.Registry, log zerolog.Logger) *httpx.Server {
	logPanic := procmain.LogPanic(log)
	r := httpx.NewRouter(func(path string, value any) {
		metrics.GetOrRegisterCounter("http.panics", registry).Inc(1)
		logPanic(path, value)
	})
	a.Mount(r)
	var server *httpx.Server
	a.Serving = func() context.Context { return server.Serving() }
	httpx.MountDebugPages(r, httpx.DebugOptions{
		Ready: func() error {
			if server.Draining() {
				return errors.New("stopping")
			}
			return ready.Check()
		},
		Registry: registry,
		Dump:     func() any { return k.DumpState() },
	})
	server = httpx.NewServer(httpx.ServerOptions{
		Listen:       string(s.HTTPListen),
		Handler:      r.Handler,
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		LameDuck:     lameDuckDuration,
		Registry:     registry,
	})
	return server
}
