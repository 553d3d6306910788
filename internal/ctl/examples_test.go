package ctl

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestExamplesLoad checks all example settings, and sets all example profiles.
func TestExamplesLoad(t *testing.T) {
	entry := newFakeEntry()
	defer entry.server.Close()
	for _, site := range []string{"maraval", "institute"} {
		for command, pattern := range map[string]string{"settings check": "*.toml", "profiles set": "profiles/*.json"} {
			files, err := filepath.Glob(filepath.Join("..", "..", "examples", site, pattern))
			if err != nil || len(files) != 4 {
				t.Errorf("%s: files %v, error %v", site, files, err)
				continue
			}
			if got := runLine(entry, command+" "+strings.Join(files, " ")); !strings.HasSuffix(got, "exit 0\n") {
				t.Errorf("%s", got)
			}
		}
	}
	if len(entry.profiles) != 8 {
		t.Errorf("%d profiles set, want 8", len(entry.profiles))
	}
}
