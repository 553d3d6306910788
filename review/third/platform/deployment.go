package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	callersHost  = "jobs.example"
	accountKey   = "key-1"
	startTimeout = 15 * time.Second
	callWait     = 3 * time.Second
	// workerAccelerators and workerMilliCPU are the capacity of a worker.
	workerAccelerators = 8
	workerMilliCPU     = 64000
)

// worker is a minion with its agent.
type worker struct {
	*hosted.Worker
	name, rack, agentAddress, address string
	server                            *http.Server
	agent                             *exec.Cmd
}

// deployment is a small system: a store, entries, and workers with their agents. Each host
// has a loopback address of its own.
type deployment struct {
	root, dir string
	net       string // the first two bytes of all addresses
	hosts     int
	fleetPort int
	store     *hosted.Store
	storeAddr string
	fleet     *hosted.Fleet
	record    *record
	front     []string
	workers   map[string]*worker
	seeds     []string
	servers   []*http.Server
	processes []*exec.Cmd
	// wrap, if not nil, returns the handler of the calls to a worker.
	wrap func(*worker) http.Handler
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  []hosted.WorkerEvent
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) event(e hosted.WorkerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, e)
	r.line("%s: %s task %s run %d %s", e.Worker, e.Kind, e.Task, e.Run, e.End)
}

func (r *record) has(match func(hosted.WorkerEvent) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.runs, match)
}

// started reports whether a worker has started a task of a job.
func (r *record) started(job string) bool {
	return r.has(func(e hosted.WorkerEvent) bool { return e.Kind == hosted.EventStart && e.Job == job })
}

// startedOn is started for one worker.
func (r *record) startedOn(job, worker string) bool {
	return r.has(func(e hosted.WorkerEvent) bool {
		return e.Kind == hosted.EventStart && e.Job == job && e.Worker == worker
	})
}

// kept reports whether an order to start a task of a job has come that got no answer.
func (r *record) kept(job string) bool {
	return r.has(func(e hosted.WorkerEvent) bool {
		return e.Kind == hosted.EventKept && e.Call == "run-start" && e.Job == job
	})
}

func newDeployment(root, folder string) (*deployment, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, store: hosted.NewStore(), record: &record{file: file, start: time.Now()}, workers: map[string]*worker{}}
	d.net = fmt.Sprintf("127.%d", 90+os.Getpid()%100)
	d.fleet = hosted.NewFleet(d.record.event)
	d.storeAddr, err = d.serve(d.newIP(), d.store.Handler("all"))
	return d, err
}

func (d *deployment) newIP() string {
	d.hosts++
	return fmt.Sprintf("%s.%d.%d", d.net, os.Getpid()/100%250, d.hosts)
}

// freeAddress returns an address with a port that is free on the IP.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (d *deployment) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

// addEntries starts entries.
func (d *deployment) addEntries(n int) error {
	var ips []string
	for range n {
		ips = append(ips, d.newIP())
	}
	fleet, err := freeAddress(ips[0])
	if err != nil {
		return err
	}
	_, port, _ := strings.Cut(fleet, ":")
	if d.fleetPort, err = strconv.Atoi(port); err != nil {
		return err
	}
	d.seeds = ips
	for i, ip := range ips {
		callers, err := freeAddress(ip)
		if err != nil {
			return err
		}
		ready, err := freeAddress(ip)
		if err != nil {
			return err
		}
		d.front = append(d.front, callers)
		h := d.host(fmt.Sprintf("entry-%d", i), ip)
		h.Callers, h.Ready = callers, ready
		if err := d.launch("entry", h); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) host(name, ip string) hosted.Host {
	return hosted.Host{Name: name, Zone: "zone-a", IP: ip, FirstPort: d.fleetPort, Seeds: d.seeds, Store: d.storeAddr, Cores: 1}
}

// addWorker adds a worker of a service and starts its agent.
func (d *deployment) addWorker(name, service string) error {
	return d.addWorkerIn(name, service, "rack-1")
}

// addWorkerIn is addWorker for a worker in a rack, whose name is one of its labels.
func (d *deployment) addWorkerIn(name, service, rack string) error {
	ip := d.newIP()
	heartbeats, err := freeAddress(ip)
	if err != nil {
		return err
	}
	w := &worker{name: name, rack: rack, agentAddress: heartbeats}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	app := l.Addr().String()
	w.address = app
	capacity := hosted.TaskStep{MilliCPU: workerMilliCPU, Accelerators: workerAccelerators}
	w.Worker = d.fleet.AddWorker(name, "zone-a", rack, service, app, heartbeats, capacity)
	var handler http.Handler = w.Worker
	if d.wrap != nil {
		handler = d.wrap(w)
	}
	w.server = &http.Server{Handler: handler}
	d.servers = append(d.servers, w.server)
	go func() { _ = w.server.Serve(l) }() // ends with close
	d.workers[name] = w
	h := d.host("agent-of-"+name, ip)
	h.Heartbeats, h.Worker, h.Pool = heartbeats, app, service
	if err := d.launch("agent", h); err != nil {
		return err
	}
	w.agent = d.processes[len(d.processes)-1]
	return nil
}

// command returns the command of a role in the deploy file.
func (d *deployment) command(role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?s)\[roles\.` + role + `\]\s+run = "([^"]*)"`).FindSubmatch(data)
	if found == nil {
		return nil, fmt.Errorf("the deploy file has no role %q", role)
	}
	return strings.Fields(string(found[1])), nil
}

func (d *deployment) launch(role string, h hosted.Host) error {
	env, err := h.WriteSettings(filepath.Join(d.dir, h.Name+".conf"))
	if err != nil {
		return err
	}
	command, err := d.command(role)
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir = d.root
	cmd.Env = []string{env, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	log, err := os.Create(filepath.Join(d.dir, h.Name+".log"))
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, cmd)
	d.record.printf("%s started: %s", h.Name, strings.Join(command, " "))
	return nil
}

// leave takes a drained worker away: it deregisters and ends.
func (d *deployment) leave(name string) error {
	w := d.workers[name]
	r, err := http.NewRequest(http.MethodDelete, "http://"+w.agentAddress+"/coltsfootlug/instances/"+w.Instance(), nil)
	if err != nil {
		return err
	}
	d.record.printf("%s: leaves", name)
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	w.CrashSilently()
	return w.server.Close()
}

// listenAgain lets a minion that has left take calls at its address again.
func (d *deployment) listenAgain(w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.server.Handler}
	d.servers = append(d.servers, w.server)
	go func() { _ = w.server.Serve(l) }() // ends with close
	return nil
}

// remove takes a machine away for good: its minion and its agent end at once.
func (d *deployment) remove(name string) {
	w := d.workers[name]
	d.record.printf("%s: the machine is removed", name)
	w.CrashSilently()
	_ = w.server.Close()
	_ = w.agent.Process.Signal(syscall.SIGKILL)
}

// route is a queue of the configuration.
type route struct{ name, prefix, service string }

// configure writes a version of the configuration as the operator does.
func (d *deployment) configure(version int, services []string, routes ...route) error {
	type object = map[string]any
	var rs, ss []object
	for _, r := range routes {
		rs = append(rs, object{"name": r.name, "host": callersHost, "path_prefix": r.prefix, "service": r.service, "priority": 1,
			"attempts": 3, "stretch": 3, "target_latency_ms": 1000})
	}
	for _, s := range services {
		ss = append(ss, object{"name": s, "enforces_capacity": true})
	}
	config := object{"version": version, "routes": rs, "services": ss,
		"tenants": []object{{"name": "tenant-1", "api_keys": []string{accountKey}, "guaranteed": object{"gpu": 8}}}}
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	body, err := json.Marshal(object{"precondition": []object{}, "remove": []object{},
		"writes": []object{{"table": "op", "part": "", "key": "config", "value": value}}})
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: callWait}).Post("http://"+d.storeAddr+"/coltsfootlug/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	d.record.printf("operator: configuration %s -> %d", value, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered the configuration with status %d", response.StatusCode)
	}
	return nil
}

func (d *deployment) caller(entry int) *hosted.Caller {
	return hosted.NewCaller(d.front[entry], callersHost)
}

func (d *deployment) submit(entry int, path string, steps []hosted.TaskStep) hosted.Reply {
	r := d.caller(entry).Submit(path, accountKey, steps, callWait)
	d.record.printf("client: POST %s %+v -> %d %s", path, steps, r.Status, r.State)
	return r
}

// submitRequiring submits a job of one task that requires a label.
func (d *deployment) submitRequiring(entry int, path, label string, run time.Duration) hosted.Reply {
	type object = map[string]any
	step := object{"count": 1, "cpu": 8000, "gpu": workerAccelerators, "estimate_ms": run.Milliseconds(), "requires": label}
	spec, err := json.Marshal([]object{step})
	if err != nil {
		panic(err) // all values are plain
	}
	body, err := json.Marshal(object{"spec": string(spec), "steps": []object{step}})
	if err != nil {
		panic(err) // all values are plain
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front[entry]+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is that of a listener
	}
	r.Host = callersHost
	r.Header.Set("Authorization", "Token "+accountKey)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(callWait.Milliseconds(), 10))
	out := hosted.Reply{}
	response, err := (&http.Client{Timeout: callWait}).Do(r)
	if err == nil {
		out.Status = response.StatusCode
		_ = response.Body.Close()
	}
	d.record.printf("client: POST %s %s -> %d", path, body, out.Status)
	return out
}

func (d *deployment) poll(entry int, path string) hosted.Reply {
	r := d.caller(entry).Poll(path, accountKey, callWait)
	d.record.printf("client: GET %s -> %d %s", path, r.Status, r.State)
	return r
}

// awaitService waits until each entry answers for a queue.
func (d *deployment) awaitService(prefix string) error {
	for i := range d.front {
		if !pollUntil(startTimeout, func() bool { return d.caller(i).Poll(prefix, accountKey, callWait).OK() }) {
			return fmt.Errorf("entry %d does not serve %s", i, prefix)
		}
	}
	d.record.printf("all entries serve %s", prefix)
	return nil
}

func pollUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// close ends all processes that were started and removes their files.
func (d *deployment) close() {
	for _, p := range d.processes {
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.fleet.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
	_ = d.record.file.Close()
}
