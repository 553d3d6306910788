package headroom

import "time"

const (
	// FewStops is the number of stops from which a unit is a victim only where nothing
	// else makes room in time.
	FewStops = 2
	// runOverhead is the cost, in weighted core-seconds, of the orders, the saves and
	// the further start of each run that is stopped. At 10, jobs of priority 0 got
	// 0.02 less of their value in the bureau's load.
	runOverhead = 1.0
)

// Victim is what the cost of stopping a unit depends on.
type Victim struct {
	// Loss is the loss of delay and work in weighted core-seconds.
	Loss  float64
	Cores float64 // held by the unit
	Runs  int
	// Stops is the number of times that the unit was stopped for others before.
	Stops int
}

// Cost returns the cost of stopping a unit: its loss and the time for which its cores
// do nothing while it stops, both growing with the square of the number of stops.
func (v Victim) Cost(stopTime time.Duration) float64 {
	n := float64(1 + v.Stops)
	return n * n * (v.Loss + v.Cores*stopTime.Seconds() + runOverhead*float64(v.Runs))
}
