package procmain

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// fakeService stops when work is closed or its stop context has ended.
type fakeService struct {
	work      chan struct{}
	failStart bool
	// blockStart makes Start wait until its context is cancelled and then succeed.
	blockStart bool
}

func (s *fakeService) Start(ctx context.Context) error {
	if s.failStart {
		return errors.New("port in use")
	}
	if s.blockStart {
		<-ctx.Done()
	}
	return nil
}

func (s *fakeService) Stop(ctx context.Context) error {
	select {
	case <-s.work:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *fakeService) DumpState() any { return "state of the service" }

func newProcess(t *testing.T, s *fakeService, drain time.Duration) Process {
	t.Helper()
	k := kernel.New()
	if err := k.Register("service", s); err != nil {
		t.Fatal(err)
	}
	return Process{Kernel: k, Log: zerolog.Nop(), DrainTimeout: drain}
}

func TestStopWaitsForWorkAndExitsClean(t *testing.T) {
	s := &fakeService{work: make(chan struct{})}
	signals := make(chan os.Signal)
	code := make(chan int, 1)
	var dump bytes.Buffer
	p := newProcess(t, s, time.Hour)
	p.Dump = &dump
	go func() { code <- p.run(signals) }()
	signals <- syscall.SIGUSR1
	signals <- syscall.SIGTERM
	signals <- syscall.SIGUSR1 // unbuffered, so received only while the stop waits
	close(s.work)
	if got := <-code; got != ExitOK {
		t.Errorf("exit code %d", got)
	}
	if n := strings.Count(dump.String(), `"service": "state of the service"`); n != 2 {
		t.Errorf("%d dumps: %s", n, dump.String())
	}
}

func TestExitCodes(t *testing.T) {
	t.Run("start fails", func(t *testing.T) {
		if got := newProcess(t, &fakeService{failStart: true}, time.Hour).run(nil); got != ExitFailed {
			t.Errorf("exit code %d", got)
		}
	})
	t.Run("drain timeout", func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		if got := newProcess(t, &fakeService{}, time.Millisecond).run(signals); got != ExitDrainIncomplete {
			t.Errorf("exit code %d", got)
		}
	})
	t.Run("second signal", func(t *testing.T) {
		signals := make(chan os.Signal, 2)
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		if got := newProcess(t, &fakeService{}, time.Hour).run(signals); got != ExitDrainIncomplete {
			t.Errorf("exit code %d", got)
		}
	})
	t.Run("signal during the start", func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		s := &fakeService{work: make(chan struct{}), blockStart: true}
		close(s.work)
		if got := newProcess(t, s, time.Hour).run(signals); got != ExitOK {
			t.Errorf("exit code %d", got)
		}
	})
	t.Run("service fails", func(t *testing.T) {
		failed := make(chan error, 1)
		failed <- errors.New("lost")
		s := &fakeService{work: make(chan struct{})}
		close(s.work)
		p := newProcess(t, s, time.Hour)
		p.Failed = failed
		if got := p.run(nil); got != ExitFailed {
			t.Errorf("exit code %d", got)
		}
	})
}

func TestLoad(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(bad, []byte("role = \"entry\"\nzon = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args   []string
		code   int
		stderr string
	}{
		{[]string{"-help"}, ExitOK, "Usage: coltsfoot-entry -settings FILE"},
		{nil, ExitUsage, "Usage: coltsfoot-entry -settings FILE"},
		{[]string{"-port", "80"}, ExitUsage, "flag provided but not defined: -port"},
		{[]string{"-settings", bad, "more"}, ExitUsage, "Usage:"},
		{[]string{"-settings", bad}, ExitUsage, bad + ":2: zon: is not a known key\n"},
		{[]string{"-settings", bad}, ExitUsage, bad + ":1: table: is required\n"},
		{[]string{"-settings", bad + "x"}, ExitUsage, "no such file"},
	}
	for _, c := range cases {
		var stderr bytes.Buffer
		s, code := Load("coltsfoot-entry", c.args, &stderr, settings.LoadEntry)
		if s != nil || code != c.code || !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%v: settings %v, code %d, stderr %q", c.args, s, code, stderr.String())
		}
	}
}

func TestLoggerLevel(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, "warn", settings.RoleEntry, "e1")
	log.Info().Msg("hidden")
	log.Warn().Msg("shown")
	if !strings.Contains(out.String(), `"role":"entry","id":"e1"`) || strings.Contains(out.String(), "hidden") {
		t.Errorf("log %q", out.String())
	}
}
