package plan

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

func drawResources(t *rapid.T, most int) graph.Resources {
	amount := rapid.IntRange(0, most)
	return graph.Resources{MilliCPU: amount.Draw(t, "cpu"), MemoryMB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")}
}

// TestTaskRoomAgreesWithPacking checks the counted room against packTasks while
// resources are added and removed.
func TestTaskRoomAgreesWithPacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := &graph.Step{Count: rapid.IntRange(1, 12).Draw(t, "count"), Needs: drawResources(t, 4), MaxPerWorker: rapid.IntRange(0, 3).Draw(t, "per worker")}
		var candidates []candidate
		perWorker := map[*worker]int{}
		for range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := &worker{info: WorkerInfo{Capacity: graph.Resources{MilliCPU: 8, MemoryMB: 8, Accelerators: 8}}}
			candidates = append(candidates, candidate{w, drawResources(t, 8)})
			perWorker[w] = rapid.IntRange(0, 3).Draw(t, "tasks there")
		}
		room := newTaskRoom(step, candidates, perWorker)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			i := rapid.IntRange(0, len(candidates)-1).Draw(t, "candidate")
			change := drawResources(t, 3)
			if rapid.Bool().Draw(t, "add") {
				room.add(i, change)
			} else {
				room.remove(i, change)
			}
			tasks := rapid.IntRange(1, step.Count).Draw(t, "tasks")
			packed := packTasks(candidates, step, tasks, perWorker) != nil
			if room.holds(tasks) != packed {
				t.Fatalf("room for %d tasks: counted %v, packed %v", tasks, room.holds(tasks), packed)
			}
		}
	})
}
