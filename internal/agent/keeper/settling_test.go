package keeper

import (
	"bytes"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

// TestSlowOrderIsReportedOnce guards against a stop without outcome that leaves no line, and
// against a line for each try.
func TestSlowOrderIsReportedOnce(t *testing.T) {
	var out bytes.Buffer
	now := time.Duration(0)
	k := New(standin.NewRunner(), nil, func() time.Duration { return now }, metrics.NewRegistry(), zerolog.New(&out))
	s := settling{ref: runRef{graph.TaskID{Job: "j"}, 7}, since: now}
	for _, step := range []struct {
		at    time.Duration
		lines int
	}{{slowSettling - 1, 0}, {slowSettling, 1}, {2 * slowSettling, 1}} {
		now = step.at
		k.reportSlow(&s, errListCut)
		if n := bytes.Count(out.Bytes(), []byte("order of a run is not settled")); n != step.lines {
			t.Errorf("after %v: %d lines, want %d", step.at, n, step.lines)
		}
	}
}
