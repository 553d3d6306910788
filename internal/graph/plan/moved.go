package plan

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// A job runs on the workers of the service that its queue names now: those of the service at its
// submission may be gone by the time its tasks can start. Its other settings stay as accepted, as
// callers rely on them from then on. See docs/design/queue-settings.md.

// changePolicy puts a configuration in force.
func (c *Core) changePolicy(next *policy.Snapshot) {
	c.policy = next
	c.needsScheduling = true
	c.headroom.fitsOutside = nil
	for _, j := range c.activeJobs {
		c.followQueue(j)
	}
}

// followQueue moves a job to the service that its queue names. Runs that were ordered before go on.
// The job stays where it is if the queue is not in the configuration or names no service, or if the
// configuration is older than the one that the job has followed or was accepted by.
func (c *Core) followQueue(j *job) {
	if c.policy == nil || c.policy.Version < j.poolVersion {
		return
	}
	q := c.policy.QueueByName(j.Queue)
	if q == nil || q.Pool == "" || q.Pool == j.Pool {
		return
	}
	c.emit(Notice{Reason: ReasonJobMoved, Job: j.ID, Detail: fmt.Sprintf("to service %s, was %s; queue %s, configuration %d", q.Pool, j.Pool, q.Name, c.policy.Version)})
	j.Pool, j.poolVersion = q.Pool, c.policy.Version
	for _, u := range j.units {
		c.dropClaim(u)
	}
	j.endIdleWait() // the former service tells nothing of the places on this one
	c.requestSave(j, nil)
}

// storedPool returns what the progress holds of the job's service: nothing while it is that of the
// submission.
func (j *job) storedPool() graph.QueuePool {
	if j.poolVersion == j.ConfigVersion || !graph.FitsJSON(j.Pool, graph.MaxPoolBytes) {
		return graph.QueuePool{}
	}
	return graph.QueuePool{Name: j.Pool, Version: j.poolVersion}
}

// restorePool sets the service that an earlier owner has stored.
func (j *job) restorePool(p graph.QueuePool) {
	if p.Name != "" && p.Version >= j.poolVersion {
		j.Pool, j.poolVersion = p.Name, p.Version
	}
}
