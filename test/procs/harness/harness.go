// Package harness starts entries and agents as real processes on loopback,
// with the platform's stand-ins in the test's own process, so that a test can
// set faults and read what was executed. It is for tests only.
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
	// startAttempts is how often a process is started on other ports after it
	// found its ports taken.
	startAttempts = 3
	callTimeout   = 5 * time.Second
)

// Harness is one running system.
type Harness struct {
	t   testing.TB
	dir string
	bin string
	ip  string

	Table   *standin.Table
	Objects *standin.Objects
	// CallerBalancer and AgentBalancer stand in front of the entries.
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

// New starts the platform's stand-ins and the balancers. All that the harness
// starts ends with the test.
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

// UseBinaries makes the processes that start from now on run the binaries of
// another folder; an empty name keeps those in use.
func (h *Harness) UseBinaries(dir string) {
	if dir != "" {
		h.bin = dir
	}
}

var harnesses atomic.Int32

// loopback returns an address of the loopback network that no other harness of
// this process uses, nor most likely one of another process: a port that a
// killed process has left free must not become part of another system, to which
// those that are left would then connect.
func loopback() string {
	const networks, hosts = 200, 250
	pid := os.Getpid()
	n := int(harnesses.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%networks, pid/networks%hosts, 1+n%hosts)
}

// buildBinaries builds the binaries once for each test process; the build is
// a no-op when they are up to date.
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

// onStop registers what ends after all processes.
func (h *Harness) onStop(fn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closers = append(h.closers, fn)
}

// start runs a binary with settings made for n free addresses, of which the
// first is that of its pages. Another process may take an address between its
// choice and its use; then others are tried.
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

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// startGrace is how long a process has to find its ports taken.
const startGrace = 100 * time.Millisecond

// updateBalancers keeps the balancers' targets to the entries that are ready, for
// callers, and to those that run, for agents.
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

// balanceInterval is the time between two readiness checks of the balancer.
const balanceInterval = 100 * time.Millisecond

// Client returns a caller that comes through the balancer.
func (h *Harness) Client() *client.Client {
	return client.New(h.CallerBalancer.Address(), callTimeout)
}

// ClientOf returns a caller of one entry.
func (h *Harness) ClientOf(e *Entry) *client.Client { return client.New(e.HTTP, callTimeout) }

// WaitReady waits until all processes that run are ready.
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

// Eventually polls a condition and fails the test when it does not hold
// within the limit.
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

// stop ends what still runs and shows the logs of a failed test.
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
