package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// delayStart makes the start of a task take d, once it is ordered.
func (s *sim) delayStart(t *testing.T, task graph.TaskID, d time.Duration) {
	t.Helper()
	for end := s.now + time.Second; s.now < end; s.runUntil(s.now + simStep) {
		for i := range s.orders {
			if a, ok := s.orders[i].action.(StartRun); ok && a.Task == task {
				s.orders[i].deliverAt += d
				return
			}
		}
	}
	t.Fatalf("no start of %v", task)
}

// TestLateStartIsNoLag guards against a run that is stopped for lagging, and workers that count as slow, as a start took seconds.
func TestLateStartIsNoLag(t *testing.T) {
	const late = 2500 * time.Millisecond
	for _, gang := range []bool{false, true} {
		s := newSim(8, graph.Resources{MilliCPU: 64000, Accelerators: 8}, loadPolicy(), t.Errorf, feature.WorkerSpeeds)
		for i, w := range s.workers {
			w.nextReportAt += time.Duration(i%4) * simReportInterval / 4
		}
		s.runUntil(time.Second)
		j := crashJob("late", 4, 8, gang)
		j.Steps[0].Estimate = badWorkerTime
		for _, u := range j.units[0] {
			u.work = badWorkerTime
		}
		s.submit(j)
		s.delayStart(t, graph.TaskID{Job: j.ID, Index: 3}, late)
		s.mustEnd(t, j, graph.Completed, time.Minute)
		if took := j.finishedAt - j.submitted; took > badWorkerTime+late+time.Second {
			t.Errorf("gang %v: done after %v", gang, took)
		}
		for _, u := range s.core.jobs[j.ID].units {
			if u.moves > 0 {
				t.Errorf("gang %v: %v was moved %d times", gang, u.taskID(0), u.moves)
			}
		}
		for _, w := range s.core.sortedWorkers {
			if s.core.countsAsSlow(w) {
				t.Errorf("gang %v: %s counts as slow: %.2f", gang, w.info.ID, s.core.slowness(w))
			}
		}
	}
}
