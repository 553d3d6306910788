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

// TestRefusingWorkerDoesNotProlongTheWaitOnIdleFleet guards against a unit that never uses reserved room, as the wait begins anew with each refusal.
func TestRefusingWorkerDoesNotProlongTheWaitOnIdleFleet(t *testing.T) {
	const mostIdle = 3 * time.Second
	s := crashSim(t, 9)
	small := s.workers[8]
	s.observe = (&planMachine{sim: s}).DBG
	small.refuses, small.info.Capacity.Accelerators = true, 4
	s.runUntil(time.Second)
	long, wide, narrow := crashJob("long", 2, 8, false), crashJob("wide", 7, 8, true), crashJob("narrow", 1, 4, false)
	for i, j := range []*simJob{long, wide, narrow} {
		j.Steps[0].Estimate = time.Duration(20+10*i) * time.Second
		for _, u := range j.units[0] {
			u.work = j.Steps[0].Estimate
		}
		s.submit(j)
		s.runUntil(s.now + time.Second)
	}
	if idle := s.longestStill(narrow, 10*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v with 2 of 9 workers in use", idle)
	}
}

// TestLastAttemptDoesNotWaitForSoundWorkers guards against a unit that waits beside idle workers that have failed runs, for sound ones that are in use for long.
func TestLastAttemptDoesNotWaitForSoundWorkers(t *testing.T) {
	const mostIdle = 3 * time.Second
	s := crashSim(t, 4)
	for _, w := range s.workers[:2] {
		w.info.Labels = []string{"x"}
	}
	s.runUntil(time.Second)
	long, j := crashJob("long", 1, 8, false), crashJob("j", 1, 4, false)
	long.units[0][0].work, long.Steps[0].Estimate = 30*time.Second, 30*time.Second
	j.units[0][0].failuresLeft = j.MaxAttempts - 1
	for _, j := range []*simJob{long, j} {
		j.Steps[0].RequiredLabel = "x"
		s.submit(j)
	}
	if idle := s.longestStill(j, 10*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v with one of 4 workers in use", idle)
	}
}
