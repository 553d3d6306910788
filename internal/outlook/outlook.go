// Package outlook forecasts when work that is submitted now can start at the earliest,
// and decides from the forecast whether a job is refused because it would certainly
// end too late to have any value. It does no I/O, reads no clock and starts no
// goroutines.
package outlook

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Outlook is the owner's forecast at one point in time. It is immutable once it is
// published.
type Outlook struct {
	Token    uint64 // fencing token of the owner's term
	Sequence uint64 // within the term, from 1
	Starts   []Start
	// Guarantees holds the accounts with a guarantee.
	Guarantees []Guarantee
	RunTimes   []RunTime
	Pools      []Pool
}

// Start is a lower bound of the start of any task of a job that matches a kind and is
// submitted when the outlook is built, or later.
type Start struct {
	Kind
	Delay time.Duration // from the building of the outlook
}

// Kind is the set of tasks for which a bound holds: those that need at least the given
// resources and time, of a job with at least the given objective and with this
// priority or a lower one.
type Kind struct {
	Pool      string
	Priority  int // 0 is the highest
	Needs     graph.Resources
	RunTime   time.Duration // estimate of one task
	Objective time.Duration // by the estimates
}

// Guarantee is the use of an account's guarantee.
type Guarantee struct {
	Account    string
	Guaranteed int // accelerators
	Used       int // accelerators of active jobs within the guarantee
}

// RunTime is the longest run of a task of a queue that the owner has seen in its term.
type RunTime struct {
	Queue   string
	Longest time.Duration
}

// Pool is the size of the workers of a pool that may get work.
type Pool struct {
	Name         string
	Accelerators int
}

// Limits of an outlook. With a row of 60 bytes at most for the names in use, an
// outlook of these sizes stays below MaxBytes.
const (
	// MaxBytes is the limit of an encoded outlook, for links of 10 Mbit/s.
	MaxBytes      = 4096
	MaxStarts     = 40
	MaxGuarantees = 32
	MaxRunTimes   = 32
	MaxPools      = 8
)

// Validate returns a NotValid error if the outlook can't come from a working owner.
func (o *Outlook) Validate() error {
	switch {
	case o.Token == 0 || o.Sequence == 0:
		return errors.NotValidf("outlook with token %d and sequence %d", o.Token, o.Sequence)
	case len(o.Starts) > MaxStarts || len(o.Guarantees) > MaxGuarantees || len(o.RunTimes) > MaxRunTimes || len(o.Pools) > MaxPools:
		return errors.NotValidf("outlook with %d starts, %d guarantees, %d run times, %d pools", len(o.Starts), len(o.Guarantees), len(o.RunTimes), len(o.Pools))
	}
	for _, s := range o.Starts {
		if err := s.validate(); err != nil {
			return err
		}
	}
	for _, g := range o.Guarantees {
		if g.Account == "" || g.Guaranteed < 0 || g.Used < 0 {
			return errors.NotValidf("use of a guarantee %+v", g)
		}
	}
	for _, r := range o.RunTimes {
		if r.Queue == "" || r.Longest < 0 {
			return errors.NotValidf("run time %+v", r)
		}
	}
	for _, p := range o.Pools {
		if p.Accelerators < 0 {
			return errors.NotValidf("pool %+v", p)
		}
	}
	return nil
}

func (s *Start) validate() error {
	n := s.Needs
	if s.Priority < 0 || n.MilliCPU < 0 || n.MemoryMB < 0 || n.Accelerators < 0 || s.RunTime < 0 || s.Objective < 0 || s.Delay < 0 || s.Delay > horizon {
		return errors.NotValidf("start %+v", *s)
	}
	return nil
}

// matches reports whether the bound of the kind holds for a step of a job with the
// given objective by its estimates.
func (k *Kind) matches(job *graph.Job, step *graph.Step, objective time.Duration) bool {
	return k.Pool == job.Pool && k.Priority <= job.Priority && k.Needs.Fits(step.Needs) &&
		k.RunTime <= step.Estimate && k.Objective <= objective
}

// compare orders kinds.
func (k Kind) compare(o Kind) int {
	return cmp.Or(cmp.Compare(k.Pool, o.Pool), cmp.Compare(k.Priority, o.Priority),
		cmp.Compare(k.Needs.Accelerators, o.Needs.Accelerators), cmp.Compare(k.Needs.MilliCPU, o.Needs.MilliCPU),
		cmp.Compare(k.Needs.MemoryMB, o.Needs.MemoryMB), cmp.Compare(k.RunTime, o.RunTime), cmp.Compare(k.Objective, o.Objective))
}

// covers reports whether each task that matches o also matches k.
func (k *Kind) covers(o *Kind) bool {
	return k.Pool == o.Pool && k.Priority <= o.Priority && k.Needs.Fits(o.Needs) && k.RunTime <= o.RunTime && k.Objective <= o.Objective
}

// longestRun returns the longest run of a queue; ok is false if none is known.
func (o *Outlook) longestRun(queue string) (longest time.Duration, ok bool) {
	i := slices.IndexFunc(o.RunTimes, func(r RunTime) bool { return r.Queue == queue })
	if i < 0 {
		return 0, false
	}
	return o.RunTimes[i].Longest, true
}

// guarantee returns the use of an account's guarantee, zero if it has none.
func (o *Outlook) guarantee(account string) Guarantee {
	i := slices.IndexFunc(o.Guarantees, func(g Guarantee) bool { return g.Account == account })
	if i < 0 {
		return Guarantee{}
	}
	return o.Guarantees[i]
}

// accelerators returns the size of a pool, 0 if it is not known.
func (o *Outlook) accelerators(pool string) int {
	i := slices.IndexFunc(o.Pools, func(p Pool) bool { return p.Name == pool })
	if i < 0 {
		return 0
	}
	return o.Pools[i].Accelerators
}
