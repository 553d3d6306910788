package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
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

// submitSuspects begins a term with two jobs on a fleet of one worker, each of a task under which workers have crashed, and returns them.
func (s *sim) submitSuspects(crashes ...int) []*simJob {
	var jobs []*simJob
	for i, n := range crashes {
		j := crashJob(graph.JobID(fmt.Sprint("suspect", i)), 1, 2, false)
		j.Steps[0].Estimate, j.units[0][0].work = 20*time.Second, 20*time.Second
		s.submit(j)
		s.rows[j.ID] = graph.Progress{Job: j.ID, State: graph.Running, Tasks: []graph.TaskProgress{{Crashes: n}}}
		jobs = append(jobs, j)
	}
	s.takeOver()
	s.runUntil(s.now + 2*time.Second)
	return jobs
}

// TestSuspectsDoNotKeepEachOtherWaiting guards against a unit under which a worker has crashed that waits beside an idle worker for as long as another such unit begins to run there.
func TestSuspectsDoNotKeepEachOtherWaiting(t *testing.T) {
	const mostIdle = 3 * time.Second
	s := crashSim(t, 1)
	jobs := s.submitSuspects(2, 1)
	if len(jobs[0].units[0][0].runs) != 1 || len(jobs[1].units[0][0].runs) != 0 {
		t.Fatal("the second job does not wait")
	}
	if idle := s.longestStill(jobs[1], 10*time.Second); idle > mostIdle {
		t.Errorf("nothing runs for %v; 2 of 8 accelerators are in use", idle)
	}
}

// TestCrashBesideSuspectIsInconclusive guards against failing an innocent job sooner as it was placed beside one that may crash workers.
func TestCrashBesideSuspectIsInconclusive(t *testing.T) {
	s := crashSim(t, 1)
	jobs := s.submitSuspects(2, 1)
	s.waitForTask(t, jobs[1], 0)
	s.runUntil(s.now + time.Second)
	s.crash(s.workers[0])
	s.runUntil(s.now + time.Second)
	for i, want := range []int{2, 1} {
		if n := s.core.jobs[jobs[i].ID].units[0].crashes.most(); n != want {
			t.Errorf("%d crashes are counted under job %d, want %d", n, i, want)
		}
	}
	if idle := s.longestStill(jobs[1], 6*time.Second); idle < 5*time.Second {
		t.Errorf("placed beside the other again after %v", idle)
	}
	for _, j := range jobs {
		s.mustEnd(t, j, graph.Completed, time.Minute)
	}
}
