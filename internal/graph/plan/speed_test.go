package plan

import "testing"

// TestSlowWorkersAreFound plays a load on a fleet of which every third worker is
// slower than the others, and checks what the core has learned.
func TestSlowWorkersAreFound(t *testing.T) {
	s := playLarge(t, 1, largeWorkers, 20, 1.8)
	found, wrong := 0, 0
	for _, w := range s.workers {
		if !s.core.workers[w.info.ID].slow(s.core.now) {
			continue
		}
		if w.speed < 1 {
			found++
		} else {
			wrong++
		}
	}
	if found < largeWorkers/3/2 || wrong > 0 {
		t.Errorf("found %d of %d slow workers, and %d that are not slow", found, largeWorkers/3, wrong)
	}
}

// TestFirstPriorityOnFastWorkers checks that a gang of the first priority goes to
// fast workers and one of another priority to slow ones.
func TestFirstPriorityOnFastWorkers(t *testing.T) {
	c := New(Config{})
	var candidates []candidate
	for i := range 6 {
		w := &worker{}
		if i%2 == 1 {
			c.observeSpeed(w, 1.3, 1)
		}
		candidates = append(candidates, candidate{worker: w})
	}
	for priority, wantSlow := range []bool{false, true} {
		u := &unit{job: newJob(loadJob(priority))}
		for _, s := range c.bySpeed(u, candidates)[0] {
			if s.slow(0) != wantSlow {
				t.Errorf("priority %d: slow workers first: %v", priority, s.slow(0))
			}
		}
	}
}
