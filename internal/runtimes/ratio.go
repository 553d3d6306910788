package runtimes

import "time"

// Ratio is a moving mean of actual to declared run time. It has no model of the
// declarations' errors: the newest run has a fixed weight.
type Ratio struct {
	Mean float64 `json:"run_ratio"`
	Runs int     `json:"runs"`
}

const (
	// ratioRate is the weight of the newest run in a Ratio.
	ratioRate = 0.2
	// maxRatio limits the ratio of one run.
	maxRatio = 20.0
)

// NewRatio returns a ratio of 1, without runs.
func NewRatio() *Ratio { return &Ratio{Mean: 1} }

// Observe adds a run. One without a declared run time is ignored.
func (r *Ratio) Observe(actual, declared time.Duration) {
	if declared <= 0 {
		return
	}
	r.Mean += ratioRate * (min(actual.Seconds()/declared.Seconds(), maxRatio) - r.Mean)
	r.Runs++
}

// Apply returns the expected run time for a declared one.
func (r *Ratio) Apply(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * r.Mean)
}
