package delaycost

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestExpectedLossIsTheMeanLoss guards against an expected loss that is not the mean of
// the losses with drawn run times.
func TestExpectedLossIsTheMeanLoss(t *testing.T) {
	const draws, tolerance = 20_000, 0.02
	r := rand.New(rand.NewSource(1))
	for _, sigma := range []float64{0.2, 0.9} {
		for _, stretch := range []float64{1.5, 3} {
			for _, wait := range []time.Duration{0, 300 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second} {
				const path, allowance = 2 * time.Second, 250 * time.Millisecond
				scaled := time.Duration(stretch * float64(path))
				j := Job{SubmittedAt: time.Second, Objective: scaled + allowance, Allowance: allowance, Sigma: sigma, CoreSeconds: 1}
				mean := 0.0
				for range draws {
					factor := math.Exp(r.NormFloat64() * sigma)
					actual := j
					actual.Objective = time.Duration(factor*float64(scaled)) + allowance
					mean += actual.Loss(j.SubmittedAt+wait+time.Duration(factor*float64(path))) / draws
				}
				if got := j.ExpectedLoss(j.SubmittedAt+wait, path); math.Abs(got-mean) > tolerance*j.Value() {
					t.Errorf("sigma %v, stretch %v, wait %v: %.3f, mean of draws %.3f", sigma, stretch, wait, got, mean)
				}
			}
		}
	}
}

// TestExpectedLossRises guards against a job that seems to gain nothing by an earlier
// start because its estimated objective has passed or is far away.
func TestExpectedLossRises(t *testing.T) {
	j := Job{Objective: 3250 * time.Millisecond, Allowance: 250 * time.Millisecond, Sigma: 0.9, CoreSeconds: 1}
	before := j.ExpectedLoss(250*time.Millisecond, 2*time.Second)
	for start := 750 * time.Millisecond; start < 15*time.Second; start += 500 * time.Millisecond {
		loss := j.ExpectedLoss(start, 2*time.Second)
		if loss <= before {
			t.Fatalf("loss %v at a start at %v, %v half a second before", loss, start, before)
		}
		before = loss
	}
}

// TestExpectedLossWithKnownRunTimes guards against another loss than that of the end
// where run times are exact, and against a loss without an objective.
func TestExpectedLossWithKnownRunTimes(t *testing.T) {
	j := Job{SubmittedAt: time.Second, Objective: 4 * time.Second, Allowance: time.Second, CoreSeconds: 1}
	for start := time.Duration(0); start < 20*time.Second; start += 100 * time.Millisecond {
		for _, path := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
			if got, want := j.ExpectedLoss(start, path), j.Loss(start+path); got != want {
				t.Fatalf("start %v, path %v: %v, want %v", start, path, got, want)
			}
		}
	}
	if loss := (Job{CoreSeconds: 1}).ExpectedLoss(time.Hour, time.Second); loss != 0 {
		t.Errorf("loss %v without an objective", loss)
	}
}
