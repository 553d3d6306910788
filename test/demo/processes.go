package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/coltsfootlug/coltsfootlug/test/process"
	"github.com/juju/errors"
)

const loopback = "127.0.0.1"

// fleet starts processes in a directory of its own and stops all of them.
type fleet struct {
	dir       string
	bin       string
	processes []*process.Process
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

// start writes a settings file and starts a binary with it. The process serves its
// health, metrics and state pages at httpAddress.
func (f *fleet) start(name, httpAddress, binary, settings string) error {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Trace(err)
	}
	return f.run(name, httpAddress, binary, "-settings", path)
}

// run starts a binary. With an empty httpAddress the process counts as ready at once.
func (f *fleet) run(name, httpAddress, binary string, args ...string) error {
	p, err := process.Start(f.dir, name, httpAddress, filepath.Join(f.bin, binary), args...)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// waitReady waits until all processes are ready.
func (f *fleet) waitReady() error {
	for _, p := range f.processes {
		if p.HTTP == "" {
			continue
		}
		if err := p.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops all processes gracefully, the last started first. For each process that
// did not exit with status 0 it returns the error and the end of the log.
func (f *fleet) stop() []string {
	var failed []string
	for i := len(f.processes) - 1; i >= 0; i-- {
		p := f.processes[i]
		if err := p.Terminate(); err != nil {
			failed = append(failed, fmt.Sprintf("%v\n%s", err, p.Tail()))
		}
	}
	return failed
}

// ctl runs coltsfootctl against an entry and returns its standard output.
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
