package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// TestScripts runs scripts of command lines against a fake entry. Commands:
//
//	ctl                   each line of the input is one command line
//	file name=NAME        writes a file for use by command lines
//	faults                each line is the fault of one of the next calls
//	finish id=ID outcome=OUTCOME   makes a job final
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		entry := newFakeEntry()
		defer entry.server.Close()
		t.Chdir(t.TempDir())
		datadriven.RunTest(t, absolutePath(t, path), func(t *testing.T, d *datadriven.TestData) string {
			return runScript(t, entry, d)
		})
	})
}

// packageDir is the directory of the package. Tests change the working directory.
var packageDir, _ = os.Getwd()

func absolutePath(t *testing.T, path string) string {
	t.Helper()
	return filepath.Join(packageDir, path)
}

func runScript(t *testing.T, entry *fakeEntry, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "ctl":
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			out.WriteString(runCommandLine(entry, line))
		}
		return out.String()
	case "file":
		var name string
		d.ScanArgs(t, "name", &name)
		if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
	case "faults":
		entry.mu.Lock()
		defer entry.mu.Unlock()
		entry.faults = strings.Split(d.Input, "\n")
	case "finish":
		var id, outcome string
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "outcome", &outcome)
		entry.finishJob(id, api.Outcome(outcome))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

func runCommandLine(entry *fakeEntry, line string) string {
	var stdout, stderr bytes.Buffer
	address := strings.TrimPrefix(entry.server.URL, "http://")
	getenv := func(name string) string {
		if name == entryVariable {
			return address
		}
		return ""
	}
	code := Run(strings.Fields(line), getenv, strings.NewReader("{}"), &stdout, &stderr)
	text := stdout.String() + stderr.String()
	text = strings.ReplaceAll(text, address, "ENTRY")
	return fmt.Sprintf("%sexit %d\n", text, code)
}

// TestHelpHasExample checks that --help of every subcommand shows an example and exits with 0.
func TestHelpHasExample(t *testing.T) {
	entry := newFakeEntry()
	defer entry.server.Close()
	for _, c := range topLevelCommands(&env{}) {
		paths := []string{c.Name()}
		if g, ok := c.(*group); ok {
			paths = nil
			for _, sub := range g.commands {
				paths = append(paths, g.name+" "+sub.Name())
			}
		}
		for _, path := range paths {
			got := runCommandLine(entry, path+" --help")
			if !strings.Contains(got, "Example:\n  coltsfootctl ") || !strings.Contains(got, "\n  coltsfootctl "+path) || !strings.HasSuffix(got, "exit 0\n") {
				t.Errorf("%s --help: %s", path, got)
			}
		}
	}
}
