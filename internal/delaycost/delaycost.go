// Package delaycost estimates what callers lose when work is delayed. Decisions about
// scarce room compare these estimates: the order of waiting jobs, reservations, the
// choice of victims and admission. It does no I/O and reads no clock.
package delaycost

import "time"

const (
	// topPriorityWeight is the weight of a core-second of priority 0, and
	// priorityDivisor the ratio of the weights of one priority and the next lower. Per
	// core-second, a short job of the highest priority is worth several times as much
	// to its caller as a long job of the second.
	topPriorityWeight = 9.0
	priorityDivisor   = 3.0
	// lateShare is the fraction of a job's value that is lost when it misses its
	// objective.
	lateShare = 0.75
	// WorthlessFactor times the objective is the latency beyond which completing a job
	// has no value.
	WorthlessFactor = 3
)

// Job is what the cost of a job's delay depends on. Times are on one clock, of the
// caller's choice.
type Job struct {
	Priority    int // 0 is the highest
	SubmittedAt time.Duration
	// Objective is the latency within which the job should complete. Allowance is the
	// part of it that does not depend on the job's run times.
	Objective, Allowance time.Duration
	// Sigma is the standard deviation of the logarithm of the ratio of the actual run
	// times to the expected ones.
	Sigma float64
	// CoreSeconds is the size of the whole job in core equivalents.
	CoreSeconds float64
}

// Value returns the value of completing the job in time, in core-seconds weighted by
// priority.
func (j Job) Value() float64 {
	weight := topPriorityWeight
	for range j.Priority {
		weight /= priorityDivisor
	}
	return weight * j.CoreSeconds
}

// DueAt returns the time by which the job should be completed.
func (j Job) DueAt() time.Duration { return j.SubmittedAt + j.Objective }

// WorthlessAt returns the time after which completing the job has no value.
func (j Job) WorthlessAt() time.Duration { return j.SubmittedAt + WorthlessFactor*j.Objective }

// Loss returns the part of Value that is lost if the job completes at the given time.
func (j Job) Loss(end time.Duration) float64 {
	switch {
	case end <= j.DueAt():
		return 0
	case end <= j.WorthlessAt():
		return lateShare * j.Value()
	default:
		return j.Value()
	}
}
