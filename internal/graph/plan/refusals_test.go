package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestGangLeavesWorkersThatIgnoreItsStarts guards against a gang that is placed by turns on the few workers that answer no start, while the others are idle.
func TestGangLeavesWorkersThatIgnoreItsStarts(t *testing.T) {
	for silent := range 9 {
		s := crashSim(t, 24)
		for _, w := range s.workers[:silent] {
			w.ignoresStarts = true
		}
		s.runUntil(time.Second)
		j := crashJob("gang", 4, 8, true)
		s.submit(j)
		s.mustEnd(t, j, graph.Completed, 30*time.Second)
	}
}
