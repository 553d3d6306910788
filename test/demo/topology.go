package main

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/test/process"
)

// zones are the availability zones. Each has one minion and workersPerZone workers.
var zones = []string{"z1", "z2", "z3"}

const (
	minionSlots        = 4
	workersPerZone     = 2
	workerAccelerators = 8
)

// topology is the running system with the addresses of its parts.
type topology struct {
	fleet       *fleet
	balancerURL string   // the balancer in front of the entries' HTTP interface
	entries     []string // the entries' own HTTP addresses
	minions     []string
}

// endpoint is a minion or a worker together with its agent.
type endpoint struct {
	kind     string
	id       string
	zone     string
	address  string
	httpAddr string // of the agent's pages
}

// startTopology starts the stand-ins, two entries and an agent for each endpoint, and
// waits until they are ready.
func startTopology(f *fleet) (*topology, error) {
	endpoints, err := planEndpoints()
	if err != nil {
		return nil, err
	}
	addresses, err := process.FreeAddresses(loopback, 8)
	if err != nil {
		return nil, err
	}
	table, objects, rpcBalancer, httpBalancer := addresses[0], addresses[1], addresses[2], addresses[3]
	entryHTTP, entryRPC := addresses[4:6], addresses[6:8]
	args := []string{
		"-table", table, "-objects", objects,
		"-balancer", fmt.Sprintf("%s,target=%s,target=%s", rpcBalancer, entryRPC[0], entryRPC[1]),
		"-balancer", fmt.Sprintf("%s,target=%s,target=%s", httpBalancer, entryHTTP[0], entryHTTP[1]),
	}
	t := &topology{fleet: f, balancerURL: "http://" + httpBalancer}
	for _, e := range endpoints {
		args = append(args, "-"+e.kind, e.standinFlag())
		if e.kind == "minion" {
			t.minions = append(t.minions, e.address)
		}
	}
	if err := f.run("standin", "", "coltsfoot-standin", args...); err != nil {
		return nil, err
	}
	for i := range entryHTTP {
		t.entries = append(t.entries, "http://"+entryHTTP[i])
		if err := startEntry(f, i, entryHTTP[i], entryRPC[i], rpcBalancer, table, objects); err != nil {
			return nil, err
		}
	}
	for _, e := range endpoints {
		if err := startAgent(f, e, rpcBalancer); err != nil {
			return nil, err
		}
	}
	return t, f.waitReady()
}

// planEndpoints returns the endpoints of all zones with free addresses.
func planEndpoints() ([]endpoint, error) {
	var out []endpoint
	for _, zone := range zones {
		out = append(out, endpoint{kind: "minion", id: "minion-" + zone, zone: zone})
		for i := range workersPerZone {
			out = append(out, endpoint{kind: "worker", id: fmt.Sprintf("worker-%s-%d", zone, i+1), zone: zone})
		}
	}
	addresses, err := process.FreeAddresses(loopback, 2*len(out))
	if err != nil {
		return nil, err
	}
	for i := range out {
		out[i].address = addresses[2*i]
		out[i].httpAddr = addresses[2*i+1]
	}
	return out, nil
}

// standinFlag returns the value of the stand-in's flag for the endpoint.
func (e endpoint) standinFlag() string {
	if e.kind == "minion" {
		return fmt.Sprintf("%s,id=%s,slots=%d", e.address, e.id, minionSlots)
	}
	return fmt.Sprintf("%s,id=%s,accelerators=%d", e.address, e.id, workerAccelerators)
}

func startEntry(f *fleet, i int, httpAddr, rpcAddr, balancer, table, objects string) error {
	name := fmt.Sprintf("entry-%d", i+1)
	return f.start(name, httpAddr, "coltsfoot-entry", fmt.Sprintf(`role = "entry"
id = %q
zone = %q
http_listen = %q
rpc_listen = %q
balancer = %q

[table]
url = "http://%s"

[objects]
url = "http://%s"
`, name, zones[i], httpAddr, rpcAddr, balancer, table, objects))
}

func startAgent(f *fleet, e endpoint, balancer string) error {
	name := "agent-" + e.id
	text := fmt.Sprintf(`role = "agent"
id = %q
zone = %q
rack = "rack-%s"
kind = %q
endpoint = "http://%s"
balancer = %q
http_listen = %q
`, e.id, e.zone, e.zone, e.kind, e.address, balancer, e.httpAddr)
	if e.kind == "minion" {
		text += fmt.Sprintf("service = \"assessment\"\nslots = %d\n", minionSlots)
	} else {
		text += fmt.Sprintf("\n[capacity]\naccelerators = %d\nmilli_cpu = 64000\nmemory_mb = 250000\n", workerAccelerators)
	}
	return f.start(name, e.httpAddr, "coltsfoot-agent", text)
}
