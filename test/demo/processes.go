package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// process is one started binary.
type process struct {
	name    string
	cmd     *exec.Cmd
	log     *os.File
	logPath string
	ready   string // URL that answers 200 once the process is ready
	exited  chan struct{}
	err     error
}

// fleet starts processes in a directory of its own and stops all of them.
type fleet struct {
	dir       string
	bin       string
	processes []*process
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "coltsfoot-demo-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	bin, err := filepath.Abs("bin")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &fleet{dir: dir, bin: bin}, nil
}

// ports returns n loopback addresses that were free at the same moment.
func ports(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// writeSettings writes a settings file and returns its path.
func (f *fleet) writeSettings(name, text string) (string, error) {
	path := filepath.Join(f.dir, name+".toml")
	return path, errors.Trace(os.WriteFile(path, []byte(text), 0o600))
}

// start runs a binary; its log goes to a file.
func (f *fleet) start(name, ready, binary string, args ...string) error {
	p := &process{name: name, ready: ready, logPath: filepath.Join(f.dir, name+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return errors.Trace(err)
	}
	p.log = log
	p.cmd = exec.Command(filepath.Join(f.bin, binary), args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return errors.Annotatef(err, "starting %s", name)
	}
	f.processes = append(f.processes, p)
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// waitReady returns when all processes are ready.
func (f *fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range f.processes {
		if err := p.waitReady(deadline); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) waitReady(deadline time.Time) error {
	if p.ready == "" {
		return nil
	}
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		select {
		case <-p.exited:
			return errors.Errorf("%s exited early: %v\n%s", p.name, p.err, p.tail())
		default:
		}
		resp, err := client.Get(p.ready)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s is not ready after %v\n%s", p.name, readyTimeout, p.tail())
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) > 15 {
		lines = lines[len(lines)-15:]
	}
	return strings.Join(lines, "\n")
}

// stop ends all processes gracefully, last started first. It returns the
// names of those that did not exit with status 0.
func (f *fleet) stop() []string {
	var bad []string
	for i := len(f.processes) - 1; i >= 0; i-- {
		p := f.processes[i]
		if err := p.stop(); err != nil {
			bad = append(bad, fmt.Sprintf("%s: %v\n%s", p.name, err, p.tail()))
		}
	}
	return bad
}

func (p *process) stop() error {
	defer func() { _ = p.log.Close() }()
	// The process may have exited already.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.err
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
		return errors.Timeoutf("graceful stop")
	}
}

// ctl runs coltsfootctl and returns what it printed.
func (f *fleet) ctl(ctx context.Context, entry string, args ...string) (string, error) {
	var out, errOut bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "coltsfootctl"), append([]string{"--entry", entry}, args...)...)
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), errors.Annotatef(err, "coltsfootctl %s: %s", strings.Join(args, " "), errOut.String())
	}
	return out.String(), nil
}
