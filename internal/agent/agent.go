// Package agent implements the process that runs beside each endpoint. It
// announces the endpoint to the entries, manages its slots, leases and results,
// and refuses work that must not run. The decisions are in the cores exec
// (requests) and groups (gang members); this package does their I/O.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Kind is the kind of the agent's endpoint.
type Kind string

// The kinds of endpoints.
const (
	KindMinion Kind = "minion"
	KindWorker Kind = "worker"
)

const (
	tickInterval = 50 * time.Millisecond
	// The load of a minion changes quickly. There are thousands of agents of
	// workers, which therefore send heartbeats less often.
	minionHeartbeatInterval = 300 * time.Millisecond
	workerHeartbeatInterval = 500 * time.Millisecond
	healthInterval          = 500 * time.Millisecond
	healthTimeout           = time.Second
	pollInterval            = 20 * time.Millisecond
	// leaveNoticeDelay is the time for the entries to receive the heartbeat that
	// announces a planned stop, before the agent starts to wait for its work.
	leaveNoticeDelay = 500 * time.Millisecond
	// entriesGrace is how long an agent whose endpoint has become healthy waits for
	// all entries to know it before it counts as ready.
	entriesGrace = 5 * time.Second
)

// Config describes one agent and its endpoint.
type Config struct {
	ID       string
	Zone     string
	Rack     string
	Kind     Kind
	Service  string        // minions only
	Slots    int           // minions only
	Capacity api.Resources // workers only
	Balancer string        // address of the load balancer in front of the entries
}

// Agent is the agent's service: it links with all entries and serves one
// endpoint.
type Agent struct {
	cfg         Config
	incarnation string
	started     time.Time
	log         zerolog.Logger
	registry    metrics.Registry

	links    *linkSet
	requests *requestHost // nil for a worker
	tasks    *taskHost    // nil for a minion

	mu         sync.Mutex
	permission startPermission
	healthy    bool
	healthyAt  time.Duration // time at which the endpoint became healthy
	leaving    bool

	loops kernel.Loops
}

// New returns an agent. It uses minion for KindMinion and worker for KindWorker.
func New(cfg Config, minion external.Minion, worker external.Worker, registry metrics.Registry, log zerolog.Logger) *Agent {
	a := &Agent{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		log:         log,
		registry:    registry,
	}
	a.links = newLinkSet(a)
	if cfg.Kind == KindMinion {
		a.requests = newRequestHost(a, minion)
	} else {
		a.tasks = newTaskHost(a, worker)
	}
	return a
}

func (a *Agent) heartbeatInterval() time.Duration {
	if a.cfg.Kind == KindMinion {
		return minionHeartbeatInterval
	}
	return workerHeartbeatInterval
}

// now returns the time of the agent's monotonic clock.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// Start starts to announce the endpoint. It does not wait for an entry.
func (a *Agent) Start(context.Context) error {
	a.loops.Begin()
	a.loops.Go(a.links.run)
	a.loops.Every(tickInterval, func(context.Context) { a.tick() })
	a.loops.Every(healthInterval, a.probe)
	return nil
}

// Stop announces the planned stop to the entries, waits for work in progress and
// closes the links. It returns an error if ctx ends first. A minion's requests
// finish and their results are acknowledged. A worker's running gang members
// continue under their leases, and the next process of this agent adopts them.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.log.Info().Msg("planned stop started, refusing new work")
	a.host().leave()
	a.links.heartbeatNow()
	kernel.Sleep(ctx, leaveNoticeDelay)
	finished := kernel.PollUntil(ctx, pollInterval, a.host().readyToStop)
	a.loops.End()
	if !finished {
		return errors.Timeoutf("work in progress on %q did not finish: stop", a.cfg.ID)
	}
	return nil
}

// Ready returns nil if the endpoint is healthy, an entry is linked, and all entries
// know the health or entriesGrace is over.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	unanswered := a.links.unanswered(a.healthyAt)
	switch {
	case a.leaving:
		return errors.New("leaving")
	case !a.healthy:
		return errors.Errorf("endpoint of %q does not answer", a.cfg.ID)
	case a.links.openCount() == 0:
		return errors.New("no entry is linked")
	case unanswered != "" && a.now()-a.healthyAt < entriesGrace:
		return errors.Errorf("the entry at %q has not answered yet", unanswered)
	}
	return nil
}

// host is the part of an agent that is specific to the kind of endpoint.
type host interface {
	// readyToLink reports whether links to entries may be opened. Once true, it
	// stays true.
	readyToLink() bool
	tick(allowed bool)
	linkUp(entry string)
	linkDown(entry string)
	handleMessage(entry string, m *rpc.EntryMessage)
	// storeDown extends leases from stamp while every entry reports the store as
	// down.
	storeDown(stamp time.Duration)
	observeEpoch(epoch uint64)
	reports() []*rpc.GroupReport
	// leave refuses new work from then on, for a planned stop.
	leave()
	// readyToStop reports whether the process can end without interrupting work.
	readyToStop() bool
	slotsInUse() int
	// probe checks the health of the endpoint.
	probe(ctx context.Context) error
	dump() any
}

func (a *Agent) host() host {
	if a.requests != nil {
		return a.requests
	}
	return a.tasks
}

func (a *Agent) tick() { a.host().tick(a.mayStart()) }

// mayStart reports whether work may start now.
func (a *Agent) mayStart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.healthy && a.permission.mayStart(a.now())
}

// probe runs one health check and announces a change of the result at once.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	err := a.host().probe(ctx)
	a.mu.Lock()
	changed := a.healthy != (err == nil)
	a.healthy = err == nil
	if changed {
		a.healthyAt = a.now()
	}
	a.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		a.log.Warn().Err(err).Msg("endpoint unhealthy")
	} else {
		a.log.Info().Msg("endpoint healthy")
	}
	a.links.heartbeatNow()
}

// handleHeartbeat applies a heartbeat received from an entry.
func (a *Agent) handleHeartbeat(heartbeat *rpc.EntryHeartbeat) {
	a.mu.Lock()
	oldVersion := a.permission.version
	a.permission.update(heartbeat)
	newVersion, zoneOut := a.permission.version, a.permission.zoneOut
	a.mu.Unlock()
	if newVersion != oldVersion {
		a.log.Info().Uint64("version", newVersion).Bool("zone_out", zoneOut).Msg("configuration applied")
	}
	a.host().observeEpoch(heartbeat.OwnerEpoch)
	if heartbeat.StoreDownEverywhere {
		a.host().storeDown(time.Duration(heartbeat.EchoClockMs) * time.Millisecond)
	}
	a.host().tick(a.mayStart())
	a.links.addEntries(heartbeat.Entries)
}

func (a *Agent) hello() *rpc.Hello {
	c := a.cfg.Capacity
	kind := rpc.EndpointKind_ENDPOINT_KIND_MINION
	if a.cfg.Kind == KindWorker {
		kind = rpc.EndpointKind_ENDPOINT_KIND_WORKER
	}
	return &rpc.Hello{
		AgentId:     a.cfg.ID,
		Incarnation: a.incarnation,
		Kind:        kind,
		Service:     a.cfg.Service,
		Zone:        a.cfg.Zone,
		Rack:        a.cfg.Rack,
		Slots:       int32(a.cfg.Slots),
		Capacity:    rpc.FromResources(c),
		Groups:      a.host().reports(),
	}
}

func (a *Agent) heartbeat() *rpc.AgentHeartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &rpc.AgentHeartbeat{
		ClockMs:         a.now().Milliseconds(),
		SlotsInUse:      int32(a.host().slotsInUse()),
		Leaving:         a.leaving,
		ConfigVersion:   a.permission.version,
		EndpointHealthy: a.healthy,
	}
}

// DumpState returns the agent's state.
func (a *Agent) DumpState() any {
	a.mu.Lock()
	permission, healthy, leaving := a.permission, a.healthy, a.leaving
	a.mu.Unlock()
	return struct {
		ID            string
		Incarnation   string
		ClockMS       int64
		ConfigVersion uint64
		ZoneOut       bool
		Allowed       bool
		Healthy       bool
		Leaving       bool
		Links         any
		Endpoint      any
	}{a.cfg.ID, a.incarnation, a.now().Milliseconds(), permission.version, permission.zoneOut, a.mayStart(), healthy, leaving, a.links.dump(), a.host().dump()}
}
