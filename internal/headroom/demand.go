// Package headroom decides how much capacity to keep open for jobs of priority 0, on
// which workers, and which running units lose least when they are stopped for a job
// within a guarantee. It does no I/O and reads no clock;
// times are durations on a clock of the caller's choice.
package headroom

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// Memory is the time constant with which arrivals are forgotten. A burst of the
	// known loads lasts 6 to 10 s.
	Memory = 20 * time.Second
	// minWindow is the least time over which arrivals are averaged, so that the first
	// job of a term does not count as a high rate.
	minWindow = 5 * time.Second
	// forgottenJobs is the decayed number of jobs below which an account is forgotten,
	// a minute after a single job.
	forgottenJobs = 0.05
	// MaxAccounts bounds the learned state. Accounts beyond it displace the one with
	// the least demand.
	MaxAccounts = 256
)

// Size is the demand of one job: the largest that one of its steps needs at once.
type Size struct {
	Accelerators int
	// Workers is the number of whole workers, for tasks that leave no room for another
	// one on a worker.
	Workers int
}

// moments are the decayed sums of a quantity over the jobs of an account.
type moments struct{ Sum, Squares float64 }

func (m *moments) add(x int) {
	m.Sum += float64(x)
	m.Squares += float64(x) * float64(x)
}

func (m *moments) decay(factor float64) {
	m.Sum *= factor
	m.Squares *= factor
}

// account is the learned demand of one account as of updatedAt.
type account struct {
	name                  string
	updatedAt             time.Duration
	jobs                  float64 // decayed number
	accelerators, workers moments
}

func (a *account) decayTo(now time.Duration) {
	if now <= a.updatedAt {
		return
	}
	factor := math.Exp(-(now - a.updatedAt).Seconds() / Memory.Seconds())
	a.updatedAt = now
	a.jobs *= factor
	a.accelerators.decay(factor)
	a.workers.decay(factor)
}

// Learner learns the rate and the size of jobs by account. An observation costs a
// search among the accounts; the zero value has learned nothing.
type Learner struct {
	accounts []account // by name
	began    bool
	beganAt  time.Duration // time of the first observation
}

// Observe records the arrival of a job.
func (l *Learner) Observe(now time.Duration, name string, s Size) {
	if !l.began {
		l.began, l.beganAt = true, now
	}
	i, found := slices.BinarySearchFunc(l.accounts, name, func(a account, name string) int { return strings.Compare(a.name, name) })
	if !found {
		if len(l.accounts) >= MaxAccounts {
			l.displace(now)
			i, _ = slices.BinarySearchFunc(l.accounts, name, func(a account, name string) int { return strings.Compare(a.name, name) })
		}
		l.accounts = slices.Insert(l.accounts, i, account{name: name, updatedAt: now})
	}
	a := &l.accounts[i]
	a.decayTo(now)
	a.jobs++
	a.accelerators.add(s.Accelerators)
	a.workers.add(s.Workers)
}

// displace removes the account with the least demand.
func (l *Learner) displace(now time.Duration) {
	least := 0
	for i := range l.accounts {
		l.accounts[i].decayTo(now)
		if cmp.Compare(l.accounts[i].accelerators.Sum, l.accounts[least].accelerators.Sum) < 0 {
			least = i
		}
	}
	l.accounts = slices.Delete(l.accounts, least, least+1)
}

// forget removes the accounts that had no job for long.
func (l *Learner) forget(now time.Duration) {
	for i := range l.accounts {
		l.accounts[i].decayTo(now)
	}
	l.accounts = slices.DeleteFunc(l.accounts, func(a account) bool { return a.jobs < forgottenJobs })
}

// window returns the time over which the decayed sums average.
func (l *Learner) window(now time.Duration) float64 {
	weight := 1 - math.Exp(-(now-l.beganAt).Seconds()/Memory.Seconds())
	return max(minWindow.Seconds(), Memory.Seconds()*weight)
}
