package plan

import (
	"testing"
	"time"
)

// longestStill returns the longest time in which nothing of a job ran while time passed.
func (s *sim) longestStill(j *simJob, d time.Duration) time.Duration {
	longest, since := time.Duration(0), s.now
	for end := s.now + d; s.now < end && j.final == ""; s.runUntil(s.now + simStep) {
		for _, u := range j.units[0] {
			if len(u.runs) > 0 {
				since = s.now
			}
		}
		longest = max(longest, s.now-since)
	}
	return longest
}

// TestRefusingWorkerKeepsNoUnitFromAnother guards against a unit that asks a worker that refuses it again and again, as it has failed on the only other one.
func TestRefusingWorkerKeepsNoUnitFromAnother(t *testing.T) {
	const mostIdle = 3 * time.Second
	s := crashSim(t, 4)
	for _, w := range s.workers[:2] {
		w.info.Labels = []string{"x"}
	}
	s.runUntil(time.Second)
	j := crashJob("j", 1, 8, false)
	j.Steps[0].RequiredLabel, j.units[0][0].failuresLeft = "x", 1
	s.submit(j)
	s.workers[1].refuses = true
	if idle := s.longestStill(j, 10*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v on an idle fleet", idle)
	}
}
