// Package harness runs entries and agents as real processes on loopback. The
// stand-ins of the platform run in the test process, so that a test can inject
// faults and read what was executed. It is for tests only.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/process"
	"github.com/juju/errors"
)

const (
	// startAttempts is the number of attempts to start a process, each on other
	// ports, if it exits because a port is in use.
	startAttempts = 3
	callTimeout   = 5 * time.Second
)

// Harness is a running system of entries, agents and stand-ins.
type Harness struct {
	t   testing.TB
	dir string
	bin string
	ip  string

	Table   *standin.Table
	Objects *standin.Objects
	// CallerBalancer and AgentBalancer forward callers and agents to the entries.
	CallerBalancer *standin.Relay
	AgentBalancer  *standin.Relay

	tableURL   string
	objectsURL string

	loadCount atomic.Int32
	mu        sync.Mutex
	processes []*Process
	entries   []*Entry
	minions   []*Minion
	workers   []*Worker
	closers   []func()
	stopped   chan struct{}
}

// New starts the stand-ins and the balancers. Everything that the harness
// starts is stopped at the end of the test.
func New(t testing.TB) *Harness {
	t.Helper()
	bin, err := buildBinaries()
	if err != nil {
		t.Fatal(err)
	}
	h := &Harness{
		t:       t,
		dir:     t.TempDir(),
		bin:     bin,
		ip:      loopback(),
		Table:   standin.NewTable(),
		Objects: standin.NewObjects(),
		stopped: make(chan struct{}),
	}
	h.tableURL = h.serve(h.Table)
	h.objectsURL = h.serve(h.Objects)
	h.CallerBalancer = h.Relay()
	h.AgentBalancer = h.Relay()
	go h.updateBalancers()
	t.Cleanup(h.stop)
	return h
}

// UseBinaries sets the folder of the binaries for processes started later. An
// empty name changes nothing.
func (h *Harness) UseBinaries(dir string) {
	if dir != "" {
		h.bin = dir
	}
}

var harnesses atomic.Int32

// loopback returns a loopback address that no other harness of this process
// uses, and most likely none of another process. Otherwise another system could
// reuse the port of a killed process, and the remaining processes would connect
// to that system.
func loopback() string {
	const networks, hosts = 200, 250
	pid := os.Getpid()
	n := int(harnesses.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%networks, pid/networks%hosts, 1+n%hosts)
}

// buildBinaries builds the binaries once per test process. The build is a no-op
// if they are up to date.
var buildBinaries = sync.OnceValues(func() (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	bin := filepath.Join(root, "bin")
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Annotatef(err, "go build: %s", out)
	}
	return bin, nil
})

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Trace(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.NotFoundf("go.mod above the working directory")
		}
		dir = parent
	}
}

// Relay starts a TCP relay to the targets.
func (h *Harness) Relay(targets ...string) *standin.Relay {
	h.t.Helper()
	relay, err := standin.NewRelay(h.ip+":0", targets...)
	if err != nil {
		h.t.Fatal(err)
	}
	h.onStop(relay.Close)
	return relay
}

// serve starts a stand-in and returns its URL.
func (h *Harness) serve(s standin.Service) string {
	h.t.Helper()
	server, err := standin.Serve(h.ip+":0", s)
	if err != nil {
		h.t.Fatal(err)
	}
	h.onStop(func() { _ = server.Close() })
	return server.URL()
}

// onStop registers a function to call after all processes have been killed.
func (h *Harness) onStop(fn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closers = append(h.closers, fn)
}

// start runs a binary with settings for n free addresses, the first of which
// serves its HTTP pages. Another process may take an address before the binary
// listens on it; start then retries with other addresses.
func (h *Harness) start(name, binary string, n int, settings func(addresses []string) string) (*Process, error) {
	for attempt := 1; ; attempt++ {
		addresses, err := process.FreeAddresses(h.ip, n)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(h.dir, name+".toml")
		if err := os.WriteFile(path, []byte(settings(addresses)), 0o600); err != nil {
			return nil, errors.Trace(err)
		}
		p, err := process.Start(h.dir, name, addresses[0], filepath.Join(h.bin, binary), "-settings", path)
		if err != nil {
			return nil, err
		}
		h.mu.Lock()
		h.processes = append(h.processes, p)
		h.mu.Unlock()
		if !p.ExitsWithin(startGrace) || attempt == startAttempts {
			return p, nil
		}
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// startGrace is the time within which a process exits if a port is in use.
const startGrace = 100 * time.Millisecond

// updateBalancers periodically sets the targets of CallerBalancer to the ready
// entries and those of AgentBalancer to the running entries.
func (h *Harness) updateBalancers() {
	for {
		var ready, running []string
		for _, e := range h.liveEntries() {
			running = append(running, e.Relay.Address())
			if e.Ready() {
				ready = append(ready, e.HTTP)
			}
		}
		h.AgentBalancer.SetTargets(running...)
		h.CallerBalancer.SetTargets(ready...)
		select {
		case <-h.stopped:
			return
		case <-time.After(balanceInterval):
		}
	}
}

// balanceInterval is the time between two updates of the balancers.
const balanceInterval = 100 * time.Millisecond

// Client returns a client that connects through CallerBalancer.
func (h *Harness) Client() *client.Client {
	return client.New(h.CallerBalancer.Address(), callTimeout)
}

// ClientOf returns a client of one entry.
func (h *Harness) ClientOf(e *Entry) *client.Client { return client.New(e.HTTP, callTimeout) }

// WaitReady waits until all running processes are ready.
func (h *Harness) WaitReady() {
	h.t.Helper()
	for _, p := range h.running() {
		if err := p.WaitReady(); err != nil {
			h.t.Fatal(err)
		}
	}
}

// running returns the processes that have not exited.
func (h *Harness) running() []*Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*Process
	for _, p := range h.processes {
		if !p.Exited() {
			list = append(list, p)
		}
	}
	return list
}

// Eventually polls a condition and returns the time until it holds. It fails
// the test if that takes longer than the limit.
func (h *Harness) Eventually(what string, limit time.Duration, condition func() bool) time.Duration {
	h.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if condition() {
			return time.Since(began)
		}
		time.Sleep(pollInterval)
	}
	h.t.Fatalf("not within %v: %s", limit, what)
	return 0
}

// stop kills all processes, stops the stand-ins and, if the test has failed,
// prints the end of each log.
func (h *Harness) stop() {
	close(h.stopped)
	h.mu.Lock()
	processes, closers := h.processes, h.closers
	h.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	for _, fn := range closers {
		fn()
	}
	if !h.t.Failed() {
		return
	}
	for _, p := range processes {
		fmt.Fprintf(os.Stderr, "--- log of %s (exit: %v)\n%s\n", p.Name, p.ExitError(), p.Tail())
	}
}
