// Package graph defines the data model of multi-step jobs: the job
// specification that callers submit and the progress that is kept in the table.
package graph

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"
)

// JobID is the identifier that the caller gives a job. It is the same at every
// entry.
type JobID string

// TaskID identifies one task of a job.
type TaskID struct {
	Job JobID
	// Occurrence is the 0-based repetition of the job.
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Resources is an amount of compute resources: the demand of a task or the
// capacity of a worker.
type Resources struct {
	MilliCPU     int `json:"c,omitempty"`
	MemoryMB     int `json:"m,omitempty"`
	Accelerators int `json:"a,omitempty"`
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; amounts may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// acceleratorCores is the number of CPU cores that one accelerator counts as
// when demands with different resource mixes are compared.
const acceleratorCores = 8

// Cores returns the size in CPU-core equivalents; see acceleratorCores.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks that may start once all steps in After are
// done.
type Step struct {
	Count    int           `json:"n"`
	Needs    Resources     `json:"needs"`
	Estimate time.Duration `json:"est,omitempty"` // run time of one task, from the caller and often wrong
	After    []int         `json:"after,omitempty"`

	// Gang marks tasks that make progress only while all of them run and that end
	// together.
	Gang bool `json:"gang,omitempty"`
	// SameRack marks tasks that run slower when spread over several racks.
	SameRack bool `json:"rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means no
	// requirement.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack closest to the tasks' data, where they run fastest; empty
	// means no preference.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// Checkpointable reports that a task can resume from a checkpoint.
	Checkpointable bool `json:"ckpt,omitempty"`
}

// Job is a job specification as submitted, together with the settings of its
// queue at submission.
type Job struct {
	ID      JobID  `json:"-"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	// Pool is the service that the queue named at submission. The workers of the one that it names
	// now run the tasks; see QueuePool.
	Pool string `json:"pool"`
	// ConfigVersion is the version of the configuration from which the settings are. Earlier versions
	// of the program leave it out.
	ConfigVersion uint64 `json:"config,omitempty"`
	Spec          string `json:"spec"`
	Steps         []Step `json:"steps"`

	Priority    int `json:"prio"` // 0 is the highest
	MaxAttempts int `json:"attempts"`
	// The latency objective is Stretch times the critical path, plus Allowance.
	Stretch   float64       `json:"stretch"`
	Allowance time.Duration `json:"allow"`
	// SubmittedAt is the wall-clock time at the entry that accepted the job.
	SubmittedAt time.Time `json:"at"`
}

// Limits of a job.
const (
	maxSteps = 100
	// MaxTasks bounds the rows of a job's progress, which one transaction of the table
	// has to take.
	MaxTasks = 2000
	// MaxSpecBytes limits the specification text that is passed to each task.
	MaxSpecBytes = 4000
	// MaxDuration limits estimates and allowances, so that sums over all steps cannot
	// overflow.
	MaxDuration = 365 * 24 * time.Hour
	// maxNeed limits each resource that a task needs, so that sums over all tasks cannot
	// overflow.
	maxNeed = 1 << 40
	// MaxPriority, MaxAttempts and MaxStretch limit the settings of a queue.
	MaxPriority = math.MaxInt32
	MaxAttempts = math.MaxInt32
	MaxStretch  = 1e9
	// maxObjective limits the stretched part of an objective.
	maxObjective = 100 * MaxDuration
)

// Validate checks the parts of a job that the caller specifies. It returns a
// NotValid error for the first violation.
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
	if total > MaxTasks {
		return errors.NotValidf("job with %d tasks (at most %d)", total, MaxTasks)
	}
	return nil
}

// ValidateStored checks a job as it is stored: what Validate checks and the settings of
// its queue. Rows that another program has written may hold anything.
func (j *Job) ValidateStored() error {
	if err := j.ValidateSettings(); err != nil {
		return err
	}
	return j.Validate()
}

// ValidateSettings checks the settings that a job has from its queue.
func (j *Job) ValidateSettings() error {
	switch {
	case j.Priority < 0 || j.Priority > MaxPriority:
		return errors.NotValidf("priority %d", j.Priority)
	case j.MaxAttempts < 0 || j.MaxAttempts > MaxAttempts:
		return errors.NotValidf("limit of %d attempts", j.MaxAttempts)
	case !(j.Stretch >= 0 && j.Stretch <= MaxStretch):
		return errors.NotValidf("stretch %g", j.Stretch)
	case j.Allowance < 0 || j.Allowance > MaxDuration:
		return errors.NotValidf("allowance %v", j.Allowance)
	}
	return nil
}

func (s *Step) validate(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return errors.NotValidf("count %d", s.Count)
	case s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0:
		return errors.NotValidf("negative need %+v", s.Needs)
	case max(s.Needs.MilliCPU, s.Needs.MemoryMB, s.Needs.Accelerators) > maxNeed:
		return errors.NotValidf("need %+v", s.Needs)
	case s.MaxPerWorker < 0 || s.Estimate < 0:
		return errors.NotValidf("negative bound or estimate")
	case s.Estimate > MaxDuration:
		return errors.NotValidf("estimate %v", s.Estimate)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return errors.NotValidf("dependency on step %d", a)
		}
	}
	return nil
}

// TotalNeeds returns the resources that all tasks of the step need together.
func (s *Step) TotalNeeds() Resources { return s.Needs.Times(s.Count) }

// CriticalPath returns the length of the longest chain of dependent steps by
// their estimates.
func (j *Job) CriticalPath() time.Duration {
	estimates := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		estimates[i] = j.Steps[i].Estimate
	}
	return j.LongestChain(estimates)
}

// LongestChain returns the length of the longest chain of dependent steps if the
// steps take the given times.
func (j *Job) LongestChain(runTimes []time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + runTimes[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// ObjectiveFor returns the latency objective: the time from submission within which
// the job should complete, if its steps take the given times.
func (j *Job) ObjectiveFor(runTimes []time.Duration) time.Duration {
	stretched := j.Stretch * float64(j.LongestChain(runTimes))
	return time.Duration(min(stretched, float64(maxObjective))) + j.Allowance
}
