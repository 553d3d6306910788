// Package policy holds the operators' configuration as a versioned snapshot of
// queues, client accounts, worker pools and unavailable zones, and the watcher that
// keeps it current.
package policy

import (
	"strings"
	"time"
)

// Queue is a job queue that callers address by host and path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Pool is the service whose workers run the queue's tasks.
	Pool        string
	Priority    int // 0 is the highest and may preempt others
	MaxAttempts int // number of failed runs of a task that fails its job
	Stretch     float64
	Allowance   time.Duration
	// Public queues can be used without a key.
	Public bool
	// Advised queues may only use workers that an adviser selects.
	Advised bool
}

// ClientAccount owns keys and a guarantee.
type ClientAccount struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators that the account's jobs
	// of priority 0 can always reclaim.
	GuaranteedAccelerators int
}

// Pool is a service whose workers run tasks.
type Pool struct {
	Name string
	// EnforcesCapacity reports that workers refuse tasks that do not fit.
	EnforcesCapacity bool
	// Standby pools have no workers switched on.
	Standby bool
}

// Snapshot is one version of the configuration. It is immutable once published.
type Snapshot struct {
	Version  uint64
	Queues   []Queue
	Accounts []ClientAccount
	Pools    []Pool
	// ZonesOut holds the availability zones in which nothing may start.
	ZonesOut map[string]bool
	// Skipped tells of the entries that were left out because they cannot be decoded or
	// are out of range.
	Skipped []string

	accountOfKey map[string]*ClientAccount
}

// buildIndex builds the lookup table of AccountByKey.
func (s *Snapshot) buildIndex() {
	s.accountOfKey = map[string]*ClientAccount{}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			s.accountOfKey[key] = &s.Accounts[i]
		}
	}
}

// MatchQueue returns the queue of the host with the longest matching path prefix,
// and the rest of the path. The queue is nil if none matches.
func (s *Snapshot) MatchQueue(host, path string) (q *Queue, rest string) {
	for i := range s.Queues {
		c := &s.Queues[i]
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (q == nil || len(c.PathPrefix) > len(q.PathPrefix)) {
			q, rest = c, path[len(c.PathPrefix):]
		}
	}
	return q, rest
}

// QueueByName returns the queue of that name. It returns nil if there is none, or if several share the
// name, so that it tells nothing of their jobs.
func (s *Snapshot) QueueByName(name string) *Queue {
	var found *Queue
	for i := range s.Queues {
		if s.Queues[i].Name != name {
			continue
		}
		if found != nil {
			return nil
		}
		found = &s.Queues[i]
	}
	return found
}

// AccountByKey returns the account that owns a key, or nil.
func (s *Snapshot) AccountByKey(key string) *ClientAccount { return s.accountOfKey[key] }

// GuaranteedAccelerators returns the number of accelerators guaranteed to an
// account, 0 if the account is unknown.
func (s *Snapshot) GuaranteedAccelerators(account string) int {
	for i := range s.Accounts {
		if s.Accounts[i].Name == account {
			return s.Accounts[i].GuaranteedAccelerators
		}
	}
	return 0
}
