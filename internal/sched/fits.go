package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// fleetDiscoveryTime is how long after the start of a term workers may still
// announce themselves before a job is reported as never fitting.
const fleetDiscoveryTime = 15 * time.Second

// NeverFits reports whether no known worker, rack or zone could ever hold the job's
// gang, even if all were in service and empty, and why.
func (c *Core) NeverFits(in api.Job) (string, bool) {
	j := &job{rec: api.JobRecord{Job: in}, perTask: in.Gang.PerTask}
	return c.neverFits(j)
}

func (c *Core) neverFits(j *job) (string, bool) {
	if c.config == nil || c.now < fleetDiscoveryTime || len(c.workerList) == 0 {
		return "", false
	}
	name := j.rec.Job.Profile
	gang := j.gang()
	if p, ok := c.config.Profiles[name]; ok && p.QuotaAccelerators > 0 && j.totalResources().Accelerators > p.QuotaAccelerators {
		return fmt.Sprintf("the gang needs %d accelerators, the quota of profile %q is %d",
			j.totalResources().Accelerators, name, p.QuotaAccelerators), true
	}
	if placement.Find(c.fleet, placement.Request{Gang: gang, View: fleet.FullCapacity}) != nil {
		return c.blockedByGuarantees(j)
	}
	singleTask := api.Shape{Tasks: 1, PerTask: gang.PerTask, Adjacency: api.AdjacentWorker}
	if placement.Find(c.fleet, placement.Request{Gang: singleTask, View: fleet.FullCapacity}) == nil {
		return fmt.Sprintf("no worker has %d accelerators, %d mCPU and %d MB for one task",
			gang.PerTask.Accelerators, gang.PerTask.MilliCPU, gang.PerTask.MemoryMB), true
	}
	return fmt.Sprintf("no single %s has room for %d tasks of %d accelerators, %d mCPU and %d MB",
		gang.Adjacency, gang.Tasks, gang.PerTask.Accelerators, gang.PerTask.MilliCPU, gang.PerTask.MemoryMB), true
}

// guaranteedFleet caches an otherwise empty fleet with all guarantees placed, for
// one version of the configuration and one number of workers.
type guaranteedFleet struct {
	version uint64
	workers int
	fleet   *fleet.Fleet
}

// blockedByGuarantees reports whether a non-preemptible gang does not fit beside
// the guarantees, even on an otherwise empty fleet.
func (c *Core) blockedByGuarantees(j *job) (string, bool) {
	if c.mayBorrow(j) || !c.isLarge(j) || c.fitsGuarantee(j) {
		return "", false
	}
	workers := c.knownWorkers()
	if cached := c.guaranteedFleet; cached.fleet == nil || cached.version != c.config.Version || cached.workers != len(workers) {
		c.guaranteedFleet = guaranteedFleet{c.config.Version, len(workers), feasibility.FleetWithGuarantees(c.config, workers)}
	}
	if placement.Find(c.guaranteedFleet.fleet, placement.Request{Gang: j.gang(), View: fleet.Preemptible}) != nil {
		return "", false
	}
	return fmt.Sprintf("no %s has room for %d tasks of %d accelerators beside the guaranteed capacity, and profile %q is not preemptible",
		j.gang().Adjacency, j.rec.Job.Gang.Tasks, j.perTask.Accelerators, j.rec.Job.Profile), true
}

func (c *Core) fitsGuarantee(j *job) bool {
	g := c.config.Profiles[j.rec.Job.Profile].Guarantee
	return g != nil && j.rec.Job.Gang.Tasks <= g.Shape.Tasks && j.perTask.Fits(g.Shape.PerTask)
}

// CheckFeasibility checks the guarantees of a configuration against the workers that
// have announced themselves, including those that are currently disconnected.
func (c *Core) CheckFeasibility(config *api.Config) []feasibility.Finding {
	return feasibility.Check(config, c.knownWorkers())
}

func (c *Core) knownWorkers() []feasibility.Worker {
	workers := make([]feasibility.Worker, 0, len(c.workerList))
	for _, w := range c.workerList {
		if w.Capacity == (api.Resources{}) {
			continue
		}
		workers = append(workers, feasibility.Worker{Name: w.Name, Zone: w.Zone, Rack: w.Rack.Label, Capacity: w.Capacity})
	}
	return workers
}
