// Package policy holds what operators decide: queues, client accounts, pools
// of workers and the availability zones that are out, as one snapshot with a
// version, and the watcher that keeps it current.
package policy

import (
	"strings"
	"time"
)

// Queue is a queue of jobs that callers address by host and path.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Pool is the service whose workers run the queue's tasks.
	Pool        string
	Priority    int // 0 comes first and may preempt others
	MaxAttempts int // failed runs of a task after which its job has failed
	Stretch     float64
	Allowance   time.Duration
	// Public queues need no key.
	Public bool
	// Advised queues may only use the workers that an adviser names.
	Advised bool
}

// ClientAccount owns keys and a guarantee.
type ClientAccount struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators that the account's jobs of
	// priority 0 can always reclaim.
	GuaranteedAccelerators int
}

// Pool is a service whose workers run tasks.
type Pool struct {
	Name string
	// EnforcesCapacity tells that workers refuse what does not fit.
	EnforcesCapacity bool
	// Standby pools have no workers that are on.
	Standby bool
}

// Snapshot is the configuration at one version. It is not changed once it is
// published.
type Snapshot struct {
	Version  uint64
	Queues   []Queue
	Accounts []ClientAccount
	Pools    []Pool
	// ZonesOut are the availability zones in which nothing may start.
	ZonesOut map[string]bool

	accountOfKey map[string]*ClientAccount
}

// index prepares look-ups.
func (s *Snapshot) index() {
	s.accountOfKey = map[string]*ClientAccount{}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			s.accountOfKey[key] = &s.Accounts[i]
		}
	}
}

// MatchQueue returns the queue with the longest prefix of the path, and the rest of
// the path.
func (s *Snapshot) MatchQueue(host, path string) (q *Queue, rest string) {
	for i := range s.Queues {
		c := &s.Queues[i]
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (q == nil || len(c.PathPrefix) > len(q.PathPrefix)) {
			q, rest = c, path[len(c.PathPrefix):]
		}
	}
	return q, rest
}

// AccountByKey returns the account that has a key, nil if none has.
func (s *Snapshot) AccountByKey(key string) *ClientAccount { return s.accountOfKey[key] }

// GuaranteedAccelerators returns the accelerators that an account is guaranteed.
func (s *Snapshot) GuaranteedAccelerators(account string) int {
	for i := range s.Accounts {
		if s.Accounts[i].Name == account {
			return s.Accounts[i].GuaranteedAccelerators
		}
	}
	return 0
}
