package procmain

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/settings"
)

// TestLogsNeverBlock checks that log lines are dropped and counted, without
// blocking the process, while nobody reads the output.
func TestLogsNeverBlock(t *testing.T) {
	reader, writer := io.Pipe()
	var dropped atomic.Int64
	log := HostedLogger(writer, HostedFlags{LogLevel: "info"}, "entry", "e1", func(n int) { dropped.Add(int64(n)) })
	const lines = 5 * logBufferLines
	start := time.Now()
	for n := range lines {
		log.Info().Int("n", n).Msg("line")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("%d lines took %v while nobody reads", lines, took)
	}
	go func() {
		_, _ = io.Copy(io.Discard, reader) // ends with the test
	}()
	for deadline := time.Now().Add(5 * time.Second); dropped.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no dropped line was counted")
		}
	}
}

func TestLoadHosted(t *testing.T) {
	load := func(path string) (*settings.Hosted, error) {
		if path == "bad" {
			return nil, settings.Findings{{File: path, Line: 3, Key: "ip", Message: "missing"}}
		}
		return &settings.Hosted{Node: "n", MemoryMB: 100}, nil
	}
	var out bytes.Buffer
	if s, f, code := LoadHosted("x", []string{"-metrics-port", "7001"}, &out, "good", load); s == nil || f.MetricsPort != 7001 || code != ExitOK {
		t.Errorf("%+v %+v %d %s", s, f, code, out.String())
	}
	for _, args := range [][]string{{"extra"}, {"-metrics-port", "x"}, {"-log-level", "loud"}} {
		if s, _, code := LoadHosted("x", args, io.Discard, "good", load); s != nil || code != ExitUsage {
			t.Errorf("arguments %q: code %d", args, code)
		}
	}
	out.Reset()
	if s, _, code := LoadHosted("x", nil, &out, "bad", load); s != nil || code != ExitUsage || !strings.Contains(out.String(), "bad:3: ip: missing") {
		t.Errorf("bad settings: code %d, %q", code, out.String())
	}
}
