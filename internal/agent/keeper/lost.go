package keeper

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// lostRunsRetention is how long lost runs are reported. An owner that follows another, or
// waits for the table, has settled them by then.
const lostRunsRetention = 30 * time.Second

// lostRuns holds the runs that the worker had accepted or listed when it ended without
// notice.
type lostRuns struct {
	runs   []*rpc.TaskRef
	lastAt time.Duration
}

func (l *lostRuns) add(now time.Duration, running []graph.RunState, accepted map[runRef]bool) {
	l.runs = l.recent(now)
	for _, r := range running {
		l.runs = append(l.runs, rpc.TaskRefOf(r.Task, r.Run))
	}
	for a := range accepted {
		l.runs = append(l.runs, rpc.TaskRefOf(a.task, a.run))
	}
	if len(running)+len(accepted) > 0 {
		l.lastAt = now
	}
}

// recent returns the runs to report.
func (l *lostRuns) recent(now time.Duration) []*rpc.TaskRef {
	if now-l.lastAt > lostRunsRetention {
		return nil
	}
	return l.runs
}
