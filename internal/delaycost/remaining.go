package delaycost

import (
	"math"
	"time"
)

// Remaining is the part of a job that is not done.
type Remaining struct {
	// Path is the time from a start of the waiting work until the job completes.
	Path time.Duration
	// CoreSeconds is the work that is left, in core equivalents. Work that is done or
	// invested in active runs is not part of it, so that a job with little work left
	// costs much to delay for the capacity that it takes.
	CoreSeconds float64
}

// minCoreSeconds is the least remaining work that a loss is related to. It keeps the
// loss per core-second of a job with nearly no work left finite.
const minCoreSeconds = 0.1

// hasObjective reports whether the job's value depends on when it completes.
func (j Job) hasObjective() bool { return j.Objective > 0 }

// Worthless reports whether completing at the given time has no value. A job without
// an objective never becomes worthless.
func (j Job) Worthless(end time.Duration) bool { return j.hasObjective() && end > j.WorthlessAt() }

// DelayLoss returns what is lost if the job completes at the later of two times. For a
// job without an objective that is its whole value, so that its priority decides.
func (j Job) DelayLoss(end, later time.Duration) float64 {
	if !j.hasObjective() {
		return j.Value()
	}
	return j.Loss(later) - j.Loss(end)
}

// WaitLoss returns the expected loss of a start after a further wait compared with a
// start now. The wait is taken as exponentially distributed with the given mean. A job
// thus loses little while it has slack, most shortly before its objective or the rest
// of its value is lost, and nothing once a start is too late for both.
func (j Job) WaitLoss(now, meanWait time.Duration, r Remaining) float64 {
	if !j.hasObjective() {
		return j.Value()
	}
	end := now + r.Path
	late, worthless := exceeds(meanWait, j.DueAt()-end), exceeds(meanWait, j.WorthlessAt()-end)
	return j.Value() * (lateShare*late + (1-lateShare)*worthless)
}

// exceeds returns the probability that an exponentially distributed wait exceeds the
// slack. It is 0 for a negative slack, as what the slack protects is lost already.
func exceeds(meanWait, slack time.Duration) float64 {
	switch {
	case slack < 0:
		return 0
	case meanWait <= 0:
		return 0
	default:
		return math.Exp(-float64(slack) / float64(meanWait))
	}
}

// WaitLossPerCoreSecond relates WaitLoss to the remaining work, which is the capacity
// that other jobs cannot use if this one starts.
func (j Job) WaitLossPerCoreSecond(now, meanWait time.Duration, r Remaining) float64 {
	return j.WaitLoss(now, meanWait, r) / max(minCoreSeconds, r.CoreSeconds)
}
