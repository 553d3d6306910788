package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// TestRunOfJobLoadedLateEnds guards against a run that is taken to go on for good, as its job was loaded after the worker had been lost, or had restarted.
func TestRunOfJobLoadedLateEnds(t *testing.T) {
	for name, before := range map[string]func(h *harness){
		"worker was lost": func(h *harness) {
			for end := h.now + 2*simLeaseBound; h.now < end; h.now += time.Second {
				h.step(Tick{})
			}
			h.report("w1", nil)
		},
		"worker has restarted": func(h *harness) {
			w := h.core.workers["w0"].info
			w.StartUnixMillis = 2
			h.step(WorkerReport{Worker: w, Session: "s", Number: 2, WorkerResponsive: true})
		},
	} {
		h := newHarness(t)
		h.report("w0", nil)
		before(h)
		j := crashJob("late", 1, 8, false).Job
		j.MaxAttempts = 3
		h.step(JobSubmitted{Job: j, Progress: &graph.Progress{Job: j.ID, State: graph.Running,
			Tasks: []graph.TaskProgress{{Run: 1<<24 + 1, Worker: "w0", Incarnation: "i-w0@1"}}}})
		w := h.core.workers["w0"].info
		var absent []RunAbsent
		for end := h.now + 2*simLeaseBound; h.now < end && h.unitOf("late").run == 1<<24+1; h.now += time.Second {
			if name == "worker has restarted" {
				for _, a := range h.step(WorkerReport{Worker: w, Session: "s", Number: 3, WorkerResponsive: true, Absent: absent}) {
					if stop, ok := a.(StopRun); ok {
						absent = []RunAbsent{{stop.Task, stop.Run, "stopped"}}
					}
				}
			} else {
				h.report("w1", nil)
			}
			h.step(Tick{})
		}
		if h.unitOf("late").run == 1<<24+1 {
			t.Errorf("%s: the run has not ended after %v", name, 2*simLeaseBound)
		}
	}
}
