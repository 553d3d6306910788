package sched

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Dump is the state of the core, for operators.
type Dump struct {
	Now                string            `json:"now"`
	ConfigVersion      uint64            `json:"config_version"`
	Epoch              uint64            `json:"epoch"`
	Owner              bool              `json:"owner"`
	Draining           bool              `json:"draining"`
	Queued             int               `json:"queued"`
	UnplacedGuarantees int               `json:"guarantees_without_place"`
	Workers            []WorkerDump      `json:"workers"`
	Jobs               []JobDump         `json:"jobs"`
	Reservations       []ReservationDump `json:"reservations"`
	Reasons            map[Reason]int    `json:"reasons"`
}

// WorkerDump is the state of one worker.
type WorkerDump struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	Rack        string        `json:"rack"`
	InService   bool          `json:"in_service"`
	Quarantined bool          `json:"quarantined,omitempty"`
	Probation   bool          `json:"probation,omitempty"`
	Capacity    api.Resources `json:"capacity"`
	Used        api.Resources `json:"used"`
	Reserved    api.Resources `json:"reserved"`
	Groups      int           `json:"groups"`
}

// JobDump is the state of one job.
type JobDump struct {
	ID      string          `json:"id"`
	Profile string          `json:"profile"`
	Phase   string          `json:"phase"`
	Attempt uint32          `json:"attempt"`
	Workers []api.Placement `json:"workers,omitempty"`
}

// ReservationDump is capacity reserved for a guarantee or for a waiting gang.
type ReservationDump struct {
	Profile string   `json:"profile,omitempty"`
	Job     string   `json:"job,omitempty"`
	Workers []string `json:"workers"`
	Used    bool     `json:"used"`
}

// Dump returns the state of the core.
func (c *Core) Dump() any {
	d := Dump{
		Now: c.now.String(), Epoch: c.ownerStatus.Epoch, Owner: c.ownerStatus.Owner,
		Draining: c.draining, Queued: c.queue.size, UnplacedGuarantees: c.unplacedCount, Reasons: map[Reason]int{},
	}
	if c.config != nil {
		d.ConfigVersion = c.config.Version
	}
	for _, w := range c.workerList {
		d.Workers = append(d.Workers, WorkerDump{
			Name: w.Name, Zone: w.Zone, Rack: w.Rack.Name, InService: w.InService(), Quarantined: w.Quarantined, Probation: w.Probation,
			Capacity: w.Capacity, Used: w.Used, Reserved: w.Reserved, Groups: len(w.groups),
		})
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		d.Jobs = append(d.Jobs, JobDump{id, j.rec.Job.Profile, string(j.phase), j.attempt, placements(j)})
	}
	for _, r := range c.guarantees {
		d.Reservations = append(d.Reservations, r.dump())
	}
	for _, r := range c.waitingReservations {
		d.Reservations = append(d.Reservations, r.dump())
	}
	for reason, n := range c.reasonCounts {
		d.Reasons[reason] = n
	}
	return d
}

func (r *reservation) dump() ReservationDump {
	d := ReservationDump{Profile: r.profile, Used: !r.unused()}
	if r.job != nil {
		d.Job = r.job.id()
	}
	for _, part := range r.parts {
		d.Workers = append(d.Workers, part.worker.Name)
	}
	return d
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
