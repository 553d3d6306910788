package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	entryCommand = "target/coltsfoot-entry -metrics-port 7001 -features claim-headroom,learned-run-times,saved-learning,worker-speeds"
	agentCommand = "target/coltsfoot-agent -metrics-port 7001"

	entryCount  = 3
	minionCount = 11
	perRack     = 3

	service    = "tpo-assess"
	queueHost  = "jobs.example"
	tenant     = "tenant-1"
	tenantKey  = "key-of-tenant-1"
	entryCores = 0.4
	agentCores = 0.24

	startLimit = 20 * time.Second
	stopLimit  = 8 * time.Second
)

// The ports, the same on all hosts. The metrics port is in the commands.
const (
	portFleet   = 7000
	portMetrics = 7001
	portFront   = 8521
	portReady   = 8523
	portStore   = 8524
	portControl = 8526
	portApp     = 8529
)

// The queues of the configuration.
var queues = []hosted.Queue{
	{Name: "survey", Prefix: "/survey/", Priority: 1},
	{Name: "conflict", Prefix: "/conflict/", Priority: 0},
	{Name: "evidence", Prefix: "/evidence/", Priority: 2},
}

// process is a process of the system.
type process struct {
	name    string
	command string
	env     string
	log     *os.File
	cmd     *exec.Cmd
}

func (p *process) start() error {
	words := strings.Fields(p.command)
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{p.env, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// signal sends a signal to the process, which this program has started.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// stop ends the process by SIGTERM, after stopLimit by SIGKILL.
func (p *process) stop() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // the exit code is not judged here
		close(done)
	}()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopLimit):
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// deployment is a small deployment on loopback addresses: three entries, and an agent
// beside each of eleven minions.
type deployment struct {
	rec     *recorder
	dir     string
	net     int // second number of all addresses
	store   *hosted.Store
	entries []*process
	agents  []*process
	minions []*minion
	servers []*http.Server
}

// ip returns the address of a host: entries 1, agents 2, minions 3, the store 4.
func (d *deployment) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, kind, number)
}

func (d *deployment) at(kind, number, port int) string {
	return net.JoinHostPort(d.ip(kind, number), fmt.Sprint(port))
}

// newDeployment starts everything and waits until all entries are ready.
func newDeployment(rec *recorder, dir string, capacity resources, workOf func(task, spec string) taskWork) (*deployment, error) {
	d := &deployment{rec: rec, dir: dir, store: hosted.NewStore()}
	for d.net = 1 + rand.IntN(250); !d.addressesFree(); d.net = 1 + rand.IntN(250) {
	}
	if err := d.store.WriteConfig(hosted.Config{Version: 1, Host: queueHost, Pool: service, Queues: queues,
		Accounts: []hosted.Account{{Name: tenant, Keys: []string{tenantKey}, GuaranteedAccelerators: 16}}}); err != nil {
		return d, err
	}
	if err := d.serve(d.at(4, 1, portStore), d.store.Handler("all")); err != nil {
		return d, err
	}
	for i := 1; i <= minionCount; i++ {
		if err := d.addMinion(i, capacity, workOf); err != nil {
			return d, err
		}
	}
	for i := 1; i <= entryCount; i++ {
		if err := d.addEntry(i); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

func (d *deployment) addressesFree() bool {
	for kind, ports := range map[int][]int{1: {portFleet, portMetrics, portFront, portReady}, 2: {portFleet, portMetrics, portControl}, 3: {portApp}, 4: {portStore}} {
		for number := 1; number <= minionCount; number++ {
			for _, port := range ports {
				l, err := net.Listen("tcp", d.at(kind, number, port))
				if err != nil {
					return false
				}
				_ = l.Close() // it was only a check
			}
		}
	}
	return true
}

func (d *deployment) serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(listener) }() // returns when it is closed
	return nil
}

// storeFaults sets the faults that the store shows to all hosts.
func (d *deployment) storeFaults(f hosted.StoreFaults) { d.store.SetFaults("all", f) }

func zoneOf(number int) string { return "zone-" + string(rune('a'+(number-1)%3)) }

// seeds returns the addresses of the entries.
func (d *deployment) seeds() (out []string) {
	for i := 1; i <= entryCount; i++ {
		out = append(out, d.ip(1, i))
	}
	return out
}

func (d *deployment) addMinion(i int, capacity resources, workOf func(task, spec string) taskWork) error {
	m := &minion{rec: d.rec, name: fmt.Sprintf("m-%05x", 0xa3f1*i%0xfffff), zone: zoneOf(i), rack: fmt.Sprintf("r%d", 1+(i-1)/perRack), service: service,
		capacity: capacity, address: d.at(3, i, portApp), agent: d.at(2, i, portControl), workOf: workOf}
	if err := m.start(); err != nil {
		return err
	}
	d.minions = append(d.minions, m)
	host := hosted.Host{Name: fmt.Sprintf("side-%02d", i), Zone: zoneOf(i), IP: d.ip(2, i), FirstPort: portFleet, Seeds: d.seeds(),
		Store: d.at(4, 1, portStore), Heartbeats: m.agent, Worker: m.address, Pool: service, Cores: agentCores}
	p, err := d.startProcess(host, agentCommand)
	d.agents = append(d.agents, p)
	return err
}

func (d *deployment) addEntry(i int) error {
	host := hosted.Host{Name: fmt.Sprintf("edge-%02d", i), Zone: zoneOf(i), IP: d.ip(1, i), FirstPort: portFleet, Seeds: d.seeds(),
		Store: d.at(4, 1, portStore), Callers: d.at(1, i, portFront), Ready: d.at(1, i, portReady), Cores: entryCores}
	p, err := d.startProcess(host, entryCommand)
	d.entries = append(d.entries, p)
	return err
}

func (d *deployment) startProcess(h hosted.Host, command string) (*process, error) {
	env, err := h.WriteSettings(filepath.Join(d.dir, h.Name+".conf"))
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, h.Name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: h.Name, command: command, env: env, log: log}
	return p, p.start()
}

// awaitReady waits until each entry answers its probes with 200, and a moment longer for
// the agents to connect.
func (d *deployment) awaitReady() error {
	limit := time.Now().Add(startLimit)
	client := http.Client{Timeout: time.Second}
	for i := 1; i <= entryCount; i++ {
		for {
			response, err := client.Get("http://" + d.at(1, i, portReady) + "/coltsfootlug/ready")
			if err == nil {
				_ = response.Body.Close() // the body is not used
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return fmt.Errorf("entry %d is not ready after %v", i, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	d.rec.line("all entries are ready")
	return nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	stopped := make(chan struct{})
	all := append(append([]*process{}, d.entries...), d.agents...)
	for _, p := range all {
		go func() {
			if p != nil {
				p.stop()
			}
			stopped <- struct{}{}
		}()
	}
	for range all {
		<-stopped
	}
	for _, m := range d.minions {
		m.close()
	}
	for _, s := range d.servers {
		_ = s.Close() // ends the calls in progress too
	}
}

// runs returns all runs of all minions.
func (d *deployment) runs() (out []taskRun) {
	for _, m := range d.minions {
		out = append(out, m.runs()...)
	}
	return out
}
