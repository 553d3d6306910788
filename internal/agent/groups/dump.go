package groups

import "github.com/coltsfootlug/coltsfootlug/internal/api"

// DumpState is the part of a Core's state shown in the state dump.
type DumpState struct {
	Epoch        uint64        `json:"epoch"`
	Allowed      bool          `json:"allowed"`
	Leaving      bool          `json:"leaving"`
	Capacity     api.Resources `json:"capacity"`
	Free         api.Resources `json:"free"`
	Groups       []DumpGroup   `json:"groups"`
	FinalReports int           `json:"finals"`
	Tombstones   int           `json:"tombstones"`
	Counters     Counters      `json:"counters"`
}

// DumpGroup is one group that holds capacity.
type DumpGroup struct {
	JobID       string   `json:"job_id"`
	Attempt     uint32   `json:"attempt"`
	Phase       string   `json:"phase"`
	Tasks       int      `json:"tasks"`
	Running     []string `json:"running,omitempty"`
	LeaseLeftMS int64    `json:"lease_left_ms"`
	Cause       string   `json:"cause,omitempty"`
	Detail      string   `json:"detail,omitempty"`
}

// Dump returns a DumpState.
func (c *Core) Dump() any {
	state := DumpState{
		Epoch:        c.epoch,
		Allowed:      c.allowed,
		Leaving:      c.leaving,
		Capacity:     c.cfg.Capacity,
		Free:         c.freeCapacity(),
		Groups:       []DumpGroup{},
		FinalReports: len(c.ended.finalReports),
		Tombstones:   len(c.ended.tombstones),
		Counters:     c.counters,
	}
	for _, g := range c.sortedGroups() {
		state.Groups = append(state.Groups, DumpGroup{
			JobID:       g.ref.JobID,
			Attempt:     g.ref.Attempt,
			Phase:       string(g.phase),
			Tasks:       len(g.taskResources),
			Running:     g.runningTaskIDs(),
			LeaseLeftMS: (g.leaseEnd - c.now).Milliseconds(),
			Cause:       string(g.cause),
			Detail:      g.detail,
		})
	}
	return state
}
