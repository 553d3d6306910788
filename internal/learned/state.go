// Package learned defines what an owner of scheduling has learned, and the row that
// carries it to the next owner. It does no I/O and reads no clock.
package learned

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// Part names one part of the state. Each is restored independently of the others.
type Part string

// The parts.
const (
	PartRunTimes Part = "run-times"
	PartSpeeds   Part = "speeds"
	PartDemand   Part = "demand"
	PartWaits    Part = "waits"
)

// State is what an owner has learned. A part that is nil is missing.
type State struct {
	RunTimes *runtimes.Snapshot
	Speeds   *workerhealth.Snapshot
	Demand   *headroom.Snapshot
	Waits    []Wait
}

// Wait is the time that stopped units of a priority wait until they run again.
type Wait struct {
	Priority int   `json:"p"`
	Millis   int64 `json:"ms"`
}

const (
	// maxWaits limits the number of priorities; deployments use three.
	maxWaits = 32
	// maxWait is beyond any useful wait: callers' jobs are worthless much earlier.
	maxWait = time.Hour
)

// Duration returns the wait as a duration.
func (w Wait) Duration() time.Duration { return time.Duration(w.Millis) * time.Millisecond }

// ValidateWaits returns a NotValid error if no owner can have learned the waits.
func ValidateWaits(waits []Wait) error {
	if len(waits) > maxWaits {
		return errors.NotValidf("%d waits (at most %d)", len(waits), maxWaits)
	}
	seen := map[int]bool{}
	for _, w := range waits {
		if seen[w.Priority] || w.Millis < 0 || w.Millis > maxWait.Milliseconds() {
			return errors.NotValidf("wait of %d ms for priority %d", w.Millis, w.Priority)
		}
		seen[w.Priority] = true
	}
	return nil
}

// Empty reports whether nothing has been learned.
func (s State) Empty() bool {
	return (s.RunTimes == nil || len(s.RunTimes.Queues) == 0) && (s.Demand == nil || len(s.Demand.Accounts) == 0) &&
		(s.Speeds == nil || len(s.Speeds.Workers)+len(s.Speeds.Queues) == 0) && len(s.Waits) == 0
}

// Finding is a part that was not restored, and why.
type Finding struct {
	Part Part
	Err  error
}

const (
	// slownessChange is the change of the logarithm of a worker's slowness that matters;
	// workers that differ by less are treated alike.
	slownessChange = 0.05
	// precisionGain is the factor by which the precision of a worker's speed has to rise
	// to matter.
	precisionGain = 1.5
	// waitChange is the relative change of a wait that matters.
	waitChange = 0.2
)

// Changed reports whether a state differs from an earlier one in a way that matters to
// the next owner: a new observation of a queue or an account, a worker that is new or
// whose speed has changed, or a wait that has changed. Decay alone does not count, as
// the reader applies it by the age of the row.
func (s State) Changed(from State) bool {
	return runTimesChanged(s.RunTimes, from.RunTimes) || demandChanged(s.Demand, from.Demand) ||
		speedsChanged(s.Speeds, from.Speeds) || waitsChanged(s.Waits, from.Waits)
}

func runTimesChanged(next, from *runtimes.Snapshot) bool {
	if next == nil {
		return false
	}
	known := map[string]int{}
	if from != nil {
		for _, q := range from.Queues {
			known[q.Name] = q.Runs
		}
	}
	for _, q := range next.Queues {
		if runs, ok := known[q.Name]; !ok || runs != q.Runs {
			return true
		}
	}
	return false
}

// demandChanged compares the decayed numbers of jobs: only a new job raises one.
func demandChanged(next, from *headroom.Snapshot) bool {
	if next == nil {
		return false
	}
	known := map[string]float64{}
	if from != nil {
		for _, a := range from.Accounts {
			known[a.Name] = a.Jobs
		}
	}
	for _, a := range next.Accounts {
		if a.Jobs > known[a.Name] {
			return true
		}
	}
	return false
}

func speedsChanged(next, from *workerhealth.Snapshot) bool {
	if next == nil {
		return false
	}
	known := map[string]workerhealth.WorkerState{}
	if from != nil {
		for _, w := range from.Workers {
			known[w.Worker] = w
		}
	}
	for _, w := range next.Workers {
		k, ok := known[w.Worker]
		if !ok || k.Incarnation != w.Incarnation || math.Abs(w.LogSlowness-k.LogSlowness) > slownessChange || w.Precision > precisionGain*k.Precision {
			return true
		}
	}
	return false
}

func waitsChanged(next, from []Wait) bool {
	known := map[int]int64{}
	for _, w := range from {
		known[w.Priority] = w.Millis
	}
	for _, w := range next {
		k, ok := known[w.Priority]
		if !ok || math.Abs(float64(w.Millis-k)) > waitChange*float64(k) {
			return true
		}
	}
	return false
}
