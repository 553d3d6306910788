// Package feature names the optional decisions of the scheduler that a deployment
// turns on. All are off by default.
package feature

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Feature is the name of an optional decision, as on the command line.
type Feature string

// The features.
const (
	// CostOrder orders waiting jobs, reservations and victims by the cost of delay.
	CostOrder Feature = "cost-order"
	// ClaimHeadroom keeps room open for jobs of priority 0.
	ClaimHeadroom Feature = "claim-headroom"
	// LearnedRunTimes corrects callers' estimates by the run times of earlier jobs.
	LearnedRunTimes Feature = "learned-run-times"
	// WorkerSpeeds places work by the learned speed and health of workers.
	WorkerSpeeds Feature = "worker-speeds"
	// Admission refuses jobs that would certainly end too late to have any value.
	Admission Feature = "admission"
	// SavedLearning keeps what an owner has learned in the table for the next one.
	SavedLearning Feature = "saved-learning"
)

// All lists the features in alphabetical order.
var All = []Feature{Admission, ClaimHeadroom, CostOrder, LearnedRunTimes, SavedLearning, WorkerSpeeds}

// Set is a set of features. The zero value is empty.
type Set struct{ enabled []Feature }

// NewSet returns a set of the given features.
func NewSet(features ...Feature) Set { return Set{enabled: features} }

// Parse returns the set in a comma-separated list of names. The list may be empty. The
// error names all unknown features.
func Parse(list string) (Set, error) {
	var set Set
	var unknown []string
	for _, name := range strings.Split(list, ",") {
		f := Feature(strings.TrimSpace(name))
		switch {
		case f == "":
		case slices.Contains(All, f):
			set.enabled = append(set.enabled, f)
		default:
			unknown = append(unknown, string(f))
		}
	}
	if len(unknown) > 0 {
		return Set{}, errors.NotValidf("features %q", unknown)
	}
	return set, nil
}

// Has reports whether a feature is in the set.
func (s Set) Has(f Feature) bool { return slices.Contains(s.enabled, f) }

func (s Set) String() string {
	names := make([]string, len(s.enabled))
	for i, f := range s.enabled {
		names[i] = string(f)
	}
	return strings.Join(names, ",")
}
