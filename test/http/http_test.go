// Package http_test sends invalid and unusual HTTP calls to a real entry process.
// It checks that each call gets a clear answer and that the process keeps serving.
package http_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

const (
	callTimeout = 20 * time.Second
)

// TestScripts runs scripts of raw HTTP calls against one entry with one
// minion. Commands:
//
//	call [fill=N] [cookie=N]  the input is a request line, header lines, and
//	                          after a line "--" the body; fill appends N bytes
//	                          to the body, cookie adds a header of N bytes
//	raw                       the input is sent with CRLF line ends, and "--"
//	                          stands for an empty line
//	table down|up             makes the table unavailable or available
//
// With the argument "later", a call must be refused temporarily: any answer with
// status 503 or 504 is printed as "refused for now".
func TestScripts(t *testing.T) {
	h := harness.New(t)
	entry := h.StartEntry("e1", "z1")
	h.StartMinion("m1", "z1", 2)
	h.WaitReady()
	h.SetProfile(api.Profile{Name: "survey", ClientAccount: "county"})
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := runCommand(t, h, entry, d)
			checkEntryServes(t, entry, d)
			return out
		})
	})
}

func runCommand(t *testing.T, h *harness.Harness, entry *harness.Entry, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "call":
		return sendCall(t, entry, d)
	case "raw":
		return sendRaw(t, entry, d.Input)
	case "table":
		h.Table.Faults.Set(standin.FaultSettings{Down: d.HasArg("down")})
		return ""
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

// sendCall sends the request of a call command and describes its answer.
func sendCall(t *testing.T, entry *harness.Entry, d *datadriven.TestData) string {
	t.Helper()
	head, body, _ := strings.Cut(d.Input, "\n--\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	if d.HasArg("fill") {
		var n int
		d.ScanArgs(t, "fill", &n)
		body += strings.Repeat("x", n)
	}
	req, err := http.NewRequest(method, "http://"+entry.HTTP+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	if d.HasArg("cookie") {
		var n int
		d.ScanArgs(t, "cookie", &n)
		req.Header.Set("Cookie", strings.Repeat("x", n))
	}
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("no answer: %v\n", err)
	}
	answer := describeResponse(t, resp)
	if !d.HasArg("later") {
		return answer
	}
	if code := resp.StatusCode; code != http.StatusServiceUnavailable && code != http.StatusGatewayTimeout {
		return answer
	}
	return "refused for now\n"
}

// sendRaw sends bytes that an HTTP client would refuse to send and describes the
// answer.
func sendRaw(t *testing.T, entry *harness.Entry, input string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", entry.HTTP, callTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(strings.ReplaceAll(input, "\n", "\r\n"), "--", "")
	if _, err := conn.Write([]byte(text + "\r\n")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Sprintf("no answer: %v\n", err)
	}
	return describeResponse(t, resp)
}

// describeResponse formats the parts of an answer that do not vary between runs.
// It fails the test if a problem document is inconsistent with the answer.
func describeResponse(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("answer cut short: %v\n", err)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d %s\n", resp.StatusCode, resp.Header.Get("Content-Type"))
	for _, name := range []string{httpx.HeaderOutcome, "Retry-After", "Allow", "ETag"} {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	if resp.Header.Get("Content-Type") != httpx.ContentTypeProblem {
		return b.String()
	}
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Status != resp.StatusCode || problem.Title == "" || problem.Type == "" {
		t.Errorf("status %d with problem document %q (%v)", resp.StatusCode, body, err)
	}
	fmt.Fprintf(&b, "%s\n", problem.Detail)
	return b.String()
}

// checkEntryServes fails the test if the entry has exited or is not healthy.
func checkEntryServes(t *testing.T, entry *harness.Entry, d *datadriven.TestData) {
	t.Helper()
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + entry.HTTP + httpx.PathHealth)
	if err != nil {
		t.Fatalf("%s: entry no longer serves: %v", d.Pos, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || entry.Exited() {
		t.Fatalf("%s: status %d of %s, exited %v", d.Pos, resp.StatusCode, httpx.PathHealth, entry.Exited())
	}
}
