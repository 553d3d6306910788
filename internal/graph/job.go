// Package graph holds the model of jobs that are graphs of steps: what callers
// ask for, and what lasts of it in the table.
package graph

import (
	"cmp"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// JobID is the caller's name of a job; a job has one for all entries.
type JobID string

// TaskID names one task of a job.
type TaskID struct {
	Job JobID
	// Occurrence counts the repetitions of a job from 0.
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Resources is what a task needs, or what a worker has.
type Resources struct {
	MilliCPU     int `json:"c,omitempty"`
	MemoryMB     int `json:"m,omitempty"`
	Accelerators int `json:"a,omitempty"`
}

// Fits reports whether r is available in o.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// acceleratorCores is the number of cores that one accelerator counts as when
// work of different shapes is compared.
const acceleratorCores = 8

// Cores returns the size in cores, with accelerators converted.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a number of equal tasks that run once all steps in After are done.
type Step struct {
	Count    int           `json:"n"`
	Needs    Resources     `json:"needs"`
	Estimate time.Duration `json:"est,omitempty"` // of one task; callers are often wrong
	After    []int         `json:"after,omitempty"`

	// Gang tasks make progress only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they run on more than one rack.
	SameRack bool `json:"rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty for any.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty for any.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int `json:"spread,omitempty"`
	// Checkpointable tells that a task can resume from a checkpoint.
	Checkpointable bool `json:"ckpt,omitempty"`
}

// Job is what a caller has submitted, with the terms of its queue at that time.
type Job struct {
	ID      JobID  `json:"-"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	// Pool is the service whose workers run the tasks.
	Pool  string `json:"pool"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`

	Priority    int `json:"prio"` // 0 comes first
	MaxAttempts int `json:"attempts"`
	// Stretch times the longest chain of work, plus Allowance, is the latency
	// objective.
	Stretch   float64       `json:"stretch"`
	Allowance time.Duration `json:"allow"`
	// SubmittedAt is the time of day at the entry that accepted the job.
	SubmittedAt time.Time `json:"at"`
}

// Limits of a job. maxTasks keeps the progress row within the table's row size.
const (
	maxSteps = 100
	maxTasks = 2000
	// MaxSpecBytes bounds the text that is handed to each task.
	MaxSpecBytes = 4000
)

// Validate reports what is wrong with a job as its caller has written it.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return errors.NotValidf("spec of %d bytes (at most %d)", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return errors.NotValidf("job with %d steps (1 to %d)", len(j.Steps), maxSteps)
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return errors.Annotatef(err, "step %d", i)
		}
		total += s.Count
	}
	if total > maxTasks {
		return errors.NotValidf("job with %d tasks (at most %d)", total, maxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	switch {
	case s.Count < 1 || s.Count > maxTasks:
		return errors.NotValidf("count %d", s.Count)
	case s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0:
		return errors.NotValidf("negative need %+v", s.Needs)
	case s.MaxPerWorker < 0 || s.Estimate < 0:
		return errors.NotValidf("negative bound or estimate")
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return errors.NotValidf("dependency on step %d", a)
		}
	}
	return nil
}

// TotalNeeds returns what all tasks of a step need together.
func (s *Step) TotalNeeds() Resources {
	n := s.Needs
	return Resources{n.MilliCPU * s.Count, n.MemoryMB * s.Count, n.Accelerators * s.Count}
}

// CriticalPath returns the longest chain of estimated work through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the latency within which the job should be completed.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.CriticalPath())) + j.Allowance
}
