package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
	"github.com/coltsfootlug/coltsfootlug/test/process"
)

const (
	callersHost = "jobs.example"
	pool        = "pool"
	otherPool   = "other-pool"
	zones       = 3
	// entryShare is the number of hosts for each entry; the others are workers.
	entryShare = 3
	minEntries = 2
	// minWorkers is the number of workers that the largest gang needs.
	minWorkers = 3
	maxHosts   = 200
	// workerAccelerators and workerMilliCPU are the capacity of a worker.
	workerAccelerators = 8
	workerMilliCPU     = 16000
	guaranteed         = 8
	startTimeout       = 15 * time.Second
	pollInterval       = 50 * time.Millisecond
)

// The third number of an address: the host itself, the relays in front of it, and
// the platform's side. The fourth is the number of the host.
const (
	sideHost = iota + 1
	sideRelay
	sidePlatform
)

// The ports, the same on all addresses.
const (
	portFleet = iota
	portCallers
	portReady
	portStore
	portHeartbeats
	portWorker
	portCount
)

// node is an entry or an agent with the relays on its connections.
type node struct {
	name   string
	number int
	binary string
	args   []string
	env    string
	relays map[string]*standin.Relay
	worker *hosted.Worker // nil for an entry

	mu      sync.Mutex
	running *process.Process
}

// rig is a deployment.
type rig struct {
	dir      string
	bin      string
	features string
	ports    []int
	layout   layout
	store    *hosted.Store
	fleet    *hosted.Fleet
	recorder *Recorder
	entries  []*node
	agents   []*node
	operator operator
	servers  []*http.Server
	longTask time.Duration // work of the longest task, where it is longer than FinishBound allows

	mu       sync.Mutex
	affected map[string]bool // by the faults in force
}

// layout is the number of hosts, of which a part are entries, and of the workers that serve otherPool.
type layout struct{ hosts, otherWorkers int }

// startRig starts a deployment.
func startRig(dir, bin, features string, l layout, recorder *Recorder) (*rig, error) {
	entries := max(minEntries, l.hosts/entryShare)
	workers := l.hosts - entries
	if workers < minWorkers || l.hosts > maxHosts {
		return nil, errors.NotValidf("%d hosts (%d to %d)", l.hosts, minEntries+minWorkers, maxHosts)
	}
	g := &rig{dir: dir, bin: bin, features: features, layout: l, store: hosted.NewStore(), recorder: recorder, affected: map[string]bool{}}
	if err := g.reservePorts(); err != nil {
		return nil, err
	}
	g.fleet = hosted.NewFleet(recorder.AddWorkerEvent)
	g.store.OnFence = func(host string) { recorder.Add(Event{Kind: KindFence, Entry: host}) }
	g.store.Translate = map[string]string{}
	for i := range entries {
		// Hosts learn the owner's address from its row, so that they reach it by
		// its relay.
		g.store.Translate[g.address(sideHost, i, portFleet)] = g.address(sideRelay, i, portFleet)
		recorder.record.Entries = append(recorder.record.Entries, entryName(i))
	}
	g.operator.begin(g.store, recorder)
	for i := range entries {
		if err := g.addEntry(i, entries); err != nil {
			return g, err
		}
	}
	for i := range workers {
		if err := g.addWorker(entries+i, entries); err != nil {
			return g, err
		}
	}
	return g, g.awaitService()
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// reservePorts takes ports that no other test process uses, on any address.
func (g *rig) reservePorts() error {
	addresses, err := process.FreeAddresses("127.0.0.1", portCount)
	for _, a := range addresses {
		_, port, splitErr := net.SplitHostPort(a)
		if splitErr != nil {
			return errors.Trace(splitErr)
		}
		n, convErr := strconv.Atoi(port)
		if convErr != nil {
			return errors.Trace(convErr)
		}
		g.ports = append(g.ports, n)
	}
	return errors.Trace(err)
}

func ip(side, host int) string { return fmt.Sprintf("127.77.%d.%d", side, host+1) }

func (g *rig) address(side, host, port int) string {
	return net.JoinHostPort(ip(side, host), strconv.Itoa(g.ports[port]))
}

// serve serves a handler on the platform's side of a host.
func (g *rig) serve(host, port int, handler http.Handler) error {
	listener, err := net.Listen("tcp", g.address(sidePlatform, host, port))
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: handler}
	g.servers = append(g.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return nil
}

// addRelay adds the relay in front of a port of the given side of a node.
func (g *rig) addRelay(n *node, link string, side, port int) error {
	relay, err := standin.NewRelay(g.address(sideRelay, n.number, port), g.address(side, n.number, port))
	if err == nil {
		n.relays[link] = relay
	}
	return errors.Trace(err)
}

func (g *rig) host(n *node, entries int) hosted.Host {
	h := hosted.Host{Name: n.name, Zone: zoneName(n.number), IP: ip(sideHost, n.number), FirstPort: g.ports[portFleet], Pool: g.serviceOf(n.number),
		Store: g.address(sideRelay, n.number, portStore), Cores: 1}
	for i := range entries {
		side := sideRelay
		if i == n.number {
			side = sideHost // an entry leaves out its own address
		}
		h.Seeds = append(h.Seeds, ip(side, i))
	}
	return h
}

// serviceOf returns the service of a worker: otherPool for the last ones.
func (g *rig) serviceOf(number int) string {
	if number >= g.layout.hosts-g.layout.otherWorkers {
		return otherPool
	}
	return pool
}

func zoneName(host int) string { return fmt.Sprintf("zone-%d", host%zones) }

func (g *rig) newNode(name, binary string, number int) (*node, error) {
	n := &node{name: name, number: number, binary: filepath.Join(g.bin, binary), relays: map[string]*standin.Relay{}}
	if err := g.serve(number, portStore, g.store.Handler(name)); err != nil {
		return nil, err
	}
	return n, g.addRelay(n, "store", sidePlatform, portStore)
}

func (g *rig) addEntry(number, entries int) error {
	n, err := g.newNode(entryName(number), "coltsfoot-entry", number)
	if err != nil {
		return err
	}
	g.entries = append(g.entries, n)
	n.args = []string{"-features", g.features}
	if err := g.addRelay(n, "fleet", sideHost, portFleet); err != nil {
		return err
	}
	if err := g.addRelay(n, "callers", sideHost, portCallers); err != nil {
		return err
	}
	h := g.host(n, entries)
	h.Callers, h.Ready = g.address(sideHost, number, portCallers), g.address(sideHost, number, portReady)
	return g.launch(n, h)
}

func (g *rig) addWorker(number, entries int) error {
	name := fmt.Sprintf("worker-%d", number)
	n, err := g.newNode(name, "coltsfoot-agent", number)
	if err != nil {
		return err
	}
	g.agents = append(g.agents, n)
	g.recorder.record.Services[name] = g.serviceOf(number)
	capacity := hosted.TaskStep{MilliCPU: workerMilliCPU, Accelerators: workerAccelerators}
	n.worker = g.fleet.AddWorker(name, zoneName(number), "rack-"+zoneName(number), g.serviceOf(number), g.address(sideRelay, number, portWorker), g.address(sideRelay, number, portHeartbeats), capacity)
	if err := g.serve(number, portWorker, n.worker); err != nil {
		return err
	}
	if err := g.addRelay(n, "heartbeats", sideHost, portHeartbeats); err != nil {
		return err
	}
	if err := g.addRelay(n, "worker", sidePlatform, portWorker); err != nil {
		return err
	}
	h := g.host(n, entries)
	h.Heartbeats, h.Worker = g.address(sideHost, number, portHeartbeats), g.address(sideRelay, number, portWorker)
	return g.launch(n, h)
}

func (g *rig) launch(n *node, h hosted.Host) (err error) {
	n.env, err = h.WriteSettings(filepath.Join(g.dir, n.name+".conf"))
	if err != nil {
		return err
	}
	return g.start(n)
}

// start starts the node's process unless it runs.
func (g *rig) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running != nil && !n.running.Exited() {
		return nil
	}
	p, err := process.StartWithEnvironment(g.dir, n.name, "", []string{n.env, "GOMAXPROCS=1"}, n.binary, n.args...)
	n.running = p
	return err
}

// process returns the node's last process.
func (n *node) process() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

func (g *rig) caller(entry int) *hosted.Caller {
	return hosted.NewCaller(g.address(sideRelay, entry, portCallers), callersHost)
}

// awaitService waits until each entry serves callers.
func (g *rig) awaitService() error {
	for i := range g.entries {
		caller := g.caller(i)
		served := func() bool { return caller.Poll(queues[0].Prefix, g.operator.key(accountOther), time.Second).OK() }
		if !pollUntil(startTimeout, served) {
			return errors.Timeoutf("service of %s: %s", g.entries[i].name, g.entries[i].process().Tail())
		}
	}
	return nil
}

func pollUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// close ends all processes and stand-ins that the rig has started.
func (g *rig) close() {
	for _, n := range append(append([]*node(nil), g.entries...), g.agents...) {
		if p := n.process(); p != nil {
			p.Kill()
		}
		for _, r := range n.relays {
			r.Close()
		}
	}
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.fleet.Close()
}

// makeFolder returns a new folder for the files of a run.
func makeFolder(seed int64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	return dir, errors.Trace(err)
}
