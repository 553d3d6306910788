package harness

import (
	"fmt"
	"strings"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// Service is the service of all minions in a harness.
const Service = "assessment"

// Entry is an entry process. Agents and other entries connect to it through
// Relay. It connects to the table through TableRelay.
type Entry struct {
	*Process
	Zone       string
	Relay      *standin.Relay
	TableRelay *standin.Relay
}

// CutTable disconnects only this entry from the table, or reconnects it.
func (e *Entry) CutTable(cut bool) {
	e.TableRelay.RefuseConnections(cut)
	if cut {
		e.TableRelay.Cut()
	}
}

// Minion is a stand-in minion with its agent process.
type Minion struct {
	*standin.Minion
	ID    string
	Zone  string
	Slots int
	Agent *Process
	url   string
}

// Worker is a stand-in worker with its agent process.
type Worker struct {
	*standin.Worker
	ID       string
	Zone     string
	Rack     string
	Capacity api.Resources
	Agent    *Process
	url      string
}

// StartEntry starts an entry on new addresses.
func (h *Harness) StartEntry(id, zone string) *Entry {
	h.t.Helper()
	e := &Entry{Zone: zone, Relay: h.Relay(), TableRelay: h.Relay(strings.TrimPrefix(h.tableURL, "http://"))}
	p, err := h.start(id, "coltsfoot-entry", 2, func(addresses []string) string {
		e.Relay.SetTargets(addresses[1])
		return fmt.Sprintf(`role = "entry"
id = %q
zone = %q
http_listen = %q
rpc_listen = %q
rpc_advertise = %q
balancer = %q

[table]
url = %q
timeout = "1s"

[objects]
url = %q
timeout = "1s"

[drain]
timeout = "20s"
`, id, zone, addresses[0], addresses[1], e.Relay.Address(), h.AgentBalancer.Address(), "http://"+e.TableRelay.Address(), h.objectsURL)
	})
	if err != nil {
		h.t.Fatal(err)
	}
	e.Process = p
	h.mu.Lock()
	h.entries = append(h.entries, e)
	h.mu.Unlock()
	return e
}

// StartMinion starts a stand-in minion and its agent.
func (h *Harness) StartMinion(id, zone string, slots int) *Minion {
	h.t.Helper()
	m := &Minion{Minion: standin.NewMinion(id, slots), ID: id, Zone: zone, Slots: slots}
	m.url = h.serve(m.Minion)
	h.StartMinionAgent(m)
	h.mu.Lock()
	h.minions = append(h.minions, m)
	h.mu.Unlock()
	return m
}

// StartMinionAgent starts a new agent process for the minion.
func (h *Harness) StartMinionAgent(m *Minion) {
	h.t.Helper()
	m.Agent = h.startAgent(m.ID, m.Zone, "minion", m.url,
		fmt.Sprintf("service = %q\nslots = %d\n", Service, m.Slots))
}

// StartWorker starts a stand-in worker and its agent.
func (h *Harness) StartWorker(id, zone, rack string, accelerators int) *Worker {
	h.t.Helper()
	capacity := api.Resources{Accelerators: accelerators, MilliCPU: 64_000, MemoryMB: 250_000}
	w := &Worker{Worker: standin.NewWorker(id, capacity, h.Objects), ID: id, Zone: zone, Rack: rack, Capacity: capacity}
	w.url = h.serve(w.Worker)
	h.StartWorkerAgent(w)
	h.mu.Lock()
	h.workers = append(h.workers, w)
	h.mu.Unlock()
	return w
}

// StartWorkerAgent starts a new agent process for the worker.
func (h *Harness) StartWorkerAgent(w *Worker) {
	h.t.Helper()
	w.Agent = h.startAgent(w.ID, w.Zone, "worker", w.url, fmt.Sprintf(
		"rack = %q\n\n[capacity]\naccelerators = %d\nmilli_cpu = %d\nmemory_mb = %d\n",
		w.Rack, w.Capacity.Accelerators, w.Capacity.MilliCPU, w.Capacity.MemoryMB))
}

func (h *Harness) startAgent(id, zone, kind, endpoint, rest string) *Process {
	h.t.Helper()
	p, err := h.start("agent-"+id, "coltsfoot-agent", 1, func(addresses []string) string {
		return fmt.Sprintf(`role = "agent"
id = %q
zone = %q
kind = %q
endpoint = %q
balancer = %q
http_listen = %q
%s
[drain]
timeout = "20s"
`, id, zone, kind, endpoint, h.AgentBalancer.Address(), addresses[0], rest)
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return p
}

// liveEntries returns the entries whose processes have not exited.
func (h *Harness) liveEntries() []*Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []*Entry
	for _, e := range h.entries {
		if !e.Exited() {
			live = append(live, e)
		}
	}
	return live
}

// Executions returns the number of executions of each tag over all minions.
func (h *Harness) Executions() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := map[string]int{}
	for _, m := range h.minions {
		for tag, n := range m.Stats().Tags {
			sum[tag] += n
		}
	}
	return sum
}

// Tasks returns the records of the tasks of all workers.
func (h *Harness) Tasks() []standin.Execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []standin.Execution
	for _, w := range h.workers {
		list = append(list, w.Executions()...)
	}
	return list
}

// URL returns the minion's own URL, which bypasses its agent.
func (m *Minion) URL() string { return m.url }
