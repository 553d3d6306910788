package http_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// TestPagesOfEachProcess checks that an entry and both kinds of agents serve all
// HTTP pages and write their state dump on SIGUSR1.
func TestPagesOfEachProcess(t *testing.T) {
	h := harness.New(t)
	entry := h.StartEntry("e1", "z1")
	minion := h.StartMinion("m1", "z1", 2)
	worker := h.StartWorker("w1", "z1", "r1", 8)
	h.WaitReady()
	for _, p := range []*harness.Process{entry.Process, minion.Agent, worker.Agent} {
		for _, path := range []string{httpx.PathHealth, httpx.PathReady, httpx.PathMetrics, httpx.PathState} {
			checkPage(t, p, path)
		}
		p.Signal(syscall.SIGUSR1)
		h.Eventually(p.Name+" writes its state dump", callTimeout, func() bool {
			return strings.Contains("\n"+p.Tail()+"\n", "\n}\n")
		})
		if p.Exited() {
			t.Errorf("%s exited on SIGUSR1", p.Name)
		}
	}
}

func checkPage(t *testing.T, p *harness.Process, path string) {
	t.Helper()
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + p.HTTP + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var document map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&document); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%s%s: status %d, %v", p.Name, path, resp.StatusCode, err)
	}
	if len(document) == 0 {
		t.Errorf("%s%s is empty", p.Name, path)
	}
}

// TestBadSettingsEndEachProcess checks that each binary, started with several
// invalid settings, reports all of them at once and exits with ExitUsage.
func TestBadSettingsEndEachProcess(t *testing.T) {
	harness.New(t) // builds the binaries
	for role, binary := range map[string]string{"entry": "coltsfoot-entry", "agent": "coltsfoot-agent", "standin": "coltsfoot-standin"} {
		path := filepath.Join(t.TempDir(), "bad.toml")
		text := "role = \"" + role + "\"\nunknown = 1\n[table]\nlisten = 7\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out := runToEnd(t, binary, "-settings", path)
		if code != procmain.ExitUsage || !strings.Contains(out, path+":2: unknown: is not a known key\n") || strings.Count(out, "\n") < 2 {
			t.Errorf("%s: exit code %d\n%s", binary, code, out)
		}
	}
}

func runToEnd(t *testing.T, binary string, args ...string) (code int, out string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join("..", "..", "bin", binary), args...)
	text, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(text)
}
