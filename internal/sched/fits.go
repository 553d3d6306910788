package sched

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// fleetSettle is how long after the start of a term workers may still announce
// themselves before a job is said never to fit.
const fleetSettle = 15 * time.Second

// NeverFits reports why no worker, rack or zone that is known could ever hold
// the job's gang, even when all are in service and empty.
func (c *Core) NeverFits(in api.Job) (string, bool) {
	j := &job{rec: api.JobRecord{Job: in}, perTask: in.Gang.PerTask}
	return c.neverFits(j)
}

func (c *Core) neverFits(j *job) (string, bool) {
	if c.config == nil || c.now < fleetSettle || len(c.ordered) == 0 {
		return "", false
	}
	name := j.rec.Job.Profile
	gang := j.gang()
	if p, ok := c.config.Profiles[name]; ok && p.QuotaAccelerators > 0 && j.total().Accelerators > p.QuotaAccelerators {
		return fmt.Sprintf("the gang needs %d accelerators, the quota of profile %q is %d",
			j.total().Accelerators, name, p.QuotaAccelerators), true
	}
	if placement.Find(c.fleet, placement.Request{Gang: gang, View: fleet.Whole}) != nil {
		return "", false
	}
	one := api.Shape{Tasks: 1, PerTask: gang.PerTask, Adjacency: api.AdjacentWorker}
	if placement.Find(c.fleet, placement.Request{Gang: one, View: fleet.Whole}) == nil {
		return fmt.Sprintf("no worker has %d accelerators, %d mCPU and %d MB for one task",
			gang.PerTask.Accelerators, gang.PerTask.MilliCPU, gang.PerTask.MemoryMB), true
	}
	return fmt.Sprintf("no single %s has room for %d tasks of %d accelerators, %d mCPU and %d MB",
		gang.Adjacency, gang.Tasks, gang.PerTask.Accelerators, gang.PerTask.MilliCPU, gang.PerTask.MemoryMB), true
}

// Feasible checks the guarantees of a configuration against the workers that
// have announced themselves; those that are gone for now count as well.
func (c *Core) Feasible(config *api.Config) []feasibility.Finding {
	workers := make([]feasibility.Worker, 0, len(c.ordered))
	for _, w := range c.ordered {
		if w.Capacity == (api.Resources{}) {
			continue
		}
		workers = append(workers, feasibility.Worker{Name: w.Name, Zone: w.Zone, Rack: w.Rack.Label, Capacity: w.Capacity})
	}
	return feasibility.Check(config, workers)
}
