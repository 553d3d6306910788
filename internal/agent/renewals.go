package agent

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
)

// pendingRenewals holds the renewals that the worker has not been sent yet. Only
// the newest of each task is kept, so that a slow worker is not sent outdated
// ones. Tasks with different lease ends are not renewed together, since a task
// must not outlive the lease of its group.
type pendingRenewals struct {
	// ids holds the tasks in the order in which they became pending. A newer
	// renewal does not change it, so that each task gets its turn.
	ids       []string
	leaseEnds map[string]time.Duration // by ID
}

func (p *pendingRenewals) empty() bool { return len(p.ids) == 0 }

func (p *pendingRenewals) add(act groups.RenewTasks) {
	if p.leaseEnds == nil {
		p.leaseEnds = map[string]time.Duration{}
	}
	for _, id := range act.IDs {
		if _, pending := p.leaseEnds[id]; !pending {
			p.ids = append(p.ids, id)
		}
		p.leaseEnds[id] = act.LeaseEnd
	}
}

// take removes and returns the task that has been pending longest, with all
// others whose lease has the same end, or nothing.
func (p *pendingRenewals) take() (ids []string, leaseEnd time.Duration) {
	if p.empty() {
		return nil, 0
	}
	leaseEnd = p.leaseEnds[p.ids[0]]
	var rest []string
	for _, id := range p.ids {
		if p.leaseEnds[id] != leaseEnd {
			rest = append(rest, id)
			continue
		}
		ids = append(ids, id)
		delete(p.leaseEnds, id)
	}
	p.ids = rest
	return ids, leaseEnd
}
