package headroom

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Snapshot is the learned state, to be saved for the next owner.
type Snapshot struct {
	Accounts []AccountSnapshot `json:"accounts,omitempty"`
	// LearnedMillis is the time in ms over which the state was learned.
	LearnedMillis int64 `json:"learned"`
}

// AccountSnapshot is the learned demand of an account: decayed sums over its jobs.
type AccountSnapshot struct {
	Name                string  `json:"name"`
	Jobs                float64 `json:"jobs"`
	Accelerators        float64 `json:"acc"`
	AcceleratorsSquared float64 `json:"acc2"`
	Workers             float64 `json:"workers,omitempty"`
	WorkersSquared      float64 `json:"workers2,omitempty"`
}

// Snapshot returns the state as of a time.
func (l *Learner) Snapshot(now time.Duration) Snapshot {
	if !l.began {
		return Snapshot{}
	}
	l.forget(now)
	out := Snapshot{LearnedMillis: (now - l.beganAt).Milliseconds()}
	for _, a := range l.accounts {
		out.Accounts = append(out.Accounts, AccountSnapshot{Name: a.name, Jobs: a.jobs, Accelerators: a.accelerators.Sum,
			AcceleratorsSquared: a.accelerators.Squares, Workers: a.workers.Sum, WorkersSquared: a.workers.Squares})
	}
	return out
}

// Restore replaces the state by a snapshot that was taken age ago. It returns a
// NotValid error, and leaves the state as it is, if the snapshot is malformed.
func (l *Learner) Restore(now, age time.Duration, s Snapshot) error {
	if len(s.Accounts) > MaxAccounts || s.LearnedMillis < 0 || s.LearnedMillis > maxLearned.Milliseconds() || age < 0 {
		return errors.NotValidf("headroom snapshot of %d accounts, %d ms, age %v", len(s.Accounts), s.LearnedMillis, age)
	}
	var restored Learner
	for _, a := range s.Accounts {
		if !a.valid() {
			return errors.NotValidf("headroom of account %q: %+v", a.Name, a)
		}
		restored.accounts = append(restored.accounts, account{name: a.Name, updatedAt: now - age, jobs: a.Jobs,
			accelerators: moments{a.Accelerators, a.AcceleratorsSquared}, workers: moments{a.Workers, a.WorkersSquared}})
	}
	slices.SortFunc(restored.accounts, func(a, b account) int { return strings.Compare(a.name, b.name) })
	for i := 1; i < len(restored.accounts); i++ {
		if restored.accounts[i].name == restored.accounts[i-1].name {
			return errors.NotValidf("headroom snapshot with account %q twice", restored.accounts[i].name)
		}
	}
	restored.began = len(restored.accounts) > 0
	restored.beganAt = now - age - time.Duration(s.LearnedMillis)*time.Millisecond
	restored.forget(now)
	*l = restored
	return nil
}

const (
	// maxSum is beyond the demand of any fleet: a million accelerators a second for the
	// Memory, squared. It keeps sums finite.
	maxSum = 1e15
	// maxLearned is beyond the length of any term. It keeps times from overflowing.
	maxLearned = 10 * 365 * 24 * time.Hour
)

func (a AccountSnapshot) valid() bool {
	for _, x := range []float64{a.Jobs, a.Accelerators, a.AcceleratorsSquared, a.Workers, a.WorkersSquared} {
		if !(x >= 0 && x <= maxSum) {
			return false
		}
	}
	return a.Name != ""
}
