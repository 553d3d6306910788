package delaycost

import (
	"math"
	"time"
)

// ExpectedLoss returns the expected part of Value that is lost if the waiting work starts
// at the given time and then takes path by the expected run times. The actual run times
// are the expected ones times a factor of a log-normal distribution with Sigma. The factor
// changes the path and the objective alike: a long job has much slack, and a job that
// looks late may have been underestimated. The loss therefore rises smoothly with the
// start.
func (j Job) ExpectedLoss(start, path time.Duration) float64 {
	if !j.hasObjective() {
		return 0
	}
	scaled := j.Objective - j.Allowance
	waited := start - j.SubmittedAt
	late := j.factorBelow(waited-j.Allowance, scaled-path)
	worthless := j.factorBelow(waited-WorthlessFactor*j.Allowance, WorthlessFactor*scaled-path)
	return j.Value() * (lateShare*late + (1-lateShare)*worthless)
}

// factorBelow returns the probability that the factor of the run times, multiplied by
// slack, is less than wait.
func (j Job) factorBelow(wait, slack time.Duration) float64 {
	switch {
	case j.Sigma <= 0:
		if slack < wait {
			return 1
		}
		return 0
	case slack > 0 && wait > 0:
		return j.cumulative(float64(wait) / float64(slack))
	case slack < 0 && wait < 0:
		return 1 - j.cumulative(float64(wait)/float64(slack))
	case wait > 0 || slack < 0:
		return 1
	default:
		return 0
	}
}

// cumulative returns the probability that the factor of the run times is below x.
func (j Job) cumulative(x float64) float64 {
	return 0.5 * math.Erfc(-math.Log(x)/(j.Sigma*math.Sqrt2))
}
