// Package api defines the types that callers, operators and the services of
// coltsfootlug share. It has no logic beyond that of single values.
package api

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON and TOML as a Go duration
// string, such as "1.5s".
type Duration time.Duration

// MarshalText encodes the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a Go duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NotValidf("duration %q (want a Go duration such as \"1.5s\")", text)
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Resources is an amount of each resource of a worker.
type Resources struct {
	Accelerators int `json:"accelerators" toml:"accelerators"`
	MilliCPU     int `json:"milli_cpu" toml:"milli_cpu"`
	MemoryMB     int `json:"memory_mb" toml:"memory_mb"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB}
}

// Sub returns the difference r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.MilliCPU * n, r.MemoryMB * n}
}

// Fits reports whether r is at most free for every resource.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB
}

// Adjacency is the topology level within which all tasks of a gang must be placed.
type Adjacency string

// The levels of adjacency, from the narrowest to the widest.
const (
	AdjacentWorker Adjacency = "worker"
	AdjacentRack   Adjacency = "rack"
	AdjacentZone   Adjacency = "zone"
)

// Shape describes a gang: the number of tasks, the resources of each, and how
// close together they must be placed.
type Shape struct {
	Tasks     int       `json:"tasks"`
	PerTask   Resources `json:"per_task"`
	Adjacency Adjacency `json:"adjacency"`
}

// Limits of a shape. The amounts are far above those of any worker, and low enough that
// sums over all tasks cannot overflow.
const (
	maxGangTasks = 1024
	maxAmount    = 1 << 40
)

// Validate checks a shape. name is that of the field in error messages.
func (s Shape) Validate(name string) error {
	if s.Tasks < 1 || s.Tasks > maxGangTasks {
		return errors.NotValidf("%s.tasks: %d (want 1 to %d)", name, s.Tasks, maxGangTasks)
	}
	r := s.PerTask
	if min(r.Accelerators, r.MilliCPU, r.MemoryMB) < 0 || max(r.Accelerators, r.MilliCPU, r.MemoryMB) > maxAmount || r == (Resources{}) {
		return errors.NotValidf("%s.per_task: %+v (want amounts of 0 to %d, one of them above 0)", name, r, maxAmount)
	}
	switch s.Adjacency {
	case AdjacentWorker, AdjacentRack, AdjacentZone:
		return nil
	}
	return errors.NotValidf("%s.adjacency: %q (want worker, rack or zone)", name, s.Adjacency)
}

// Guarantee is the capacity that a client account can always reclaim: Gangs
// gangs of the given shape running at the same time.
type Guarantee struct {
	Gangs int   `json:"gangs"`
	Shape Shape `json:"shape"`
}

// Profile is a named class of work with its scheduling parameters and the
// guarantee behind it.
type Profile struct {
	Name          string     `json:"name"`
	ClientAccount string     `json:"client_account"`
	Urgent        bool       `json:"urgent,omitempty"`
	Preemptible   bool       `json:"preemptible,omitempty"`
	Weight        int        `json:"weight,omitempty"`
	MaxQueue      int        `json:"max_queue,omitempty"`
	Timeout       Duration   `json:"timeout,omitempty"`
	Guarantee     *Guarantee `json:"guarantee,omitempty"`
	// QuotaAccelerators bounds the accelerators that the client account uses at
	// once; 0 means no bound.
	QuotaAccelerators int `json:"quota_accelerators,omitempty"`
	// Version is the configuration version that last changed this profile.
	Version uint64 `json:"version"`
}

// ZoneState says whether work may be started in an availability zone.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is the state that operators have set for one zone.
type AvailabilityZone struct {
	Name    string    `json:"name"`
	State   ZoneState `json:"state"`
	Version uint64    `json:"version"`
}

// Config is the complete configuration at one version. A zone that is not listed
// has the state ZoneIn.
type Config struct {
	Version  uint64                      `json:"version"`
	Profiles map[string]Profile          `json:"profiles"`
	Zones    map[string]AvailabilityZone `json:"zones"`
}

// ZoneOut reports whether operators have taken the named zone out of service.
func (c *Config) ZoneOut(name string) bool {
	return c.Zones[name].State == ZoneOut
}

// Zone returns the named zone; one that is not listed has the state ZoneIn.
func (c *Config) Zone(name string) AvailabilityZone {
	if c != nil {
		if z, ok := c.Zones[name]; ok {
			return z
		}
	}
	return AvailabilityZone{Name: name, State: ZoneIn}
}

// ProfileVersion returns the version of a profile, or 0 if it does not exist.
func (c *Config) ProfileVersion(name string) uint64 {
	if c == nil {
		return 0
	}
	return c.Profiles[name].Version
}

// Clone returns a copy that shares no maps with c.
func (c *Config) Clone() *Config {
	out := &Config{Version: c.Version, Profiles: map[string]Profile{}, Zones: map[string]AvailabilityZone{}}
	for k, v := range c.Profiles {
		out.Profiles[k] = v
	}
	for k, v := range c.Zones {
		out.Zones[k] = v
	}
	return out
}

// Outcome is the single final result of a request or job.
type Outcome string

// The outcomes. OutcomeNotRun is reported only if the work has not run and never
// will; OutcomeUnknown only if it cannot be known whether it ran.
const (
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeCancelled Outcome = "cancelled"
)

// JobRequest is the document that a caller submits.
type JobRequest struct {
	Profile        string          `json:"profile"`
	Gang           Shape           `json:"gang"`
	Payload        json.RawMessage `json:"payload,omitempty"`
	Idempotent     bool            `json:"idempotent"`
	Checkpointable bool            `json:"checkpointable"`
	DeclaredRun    Duration        `json:"declared_run"`
	Deadline       time.Time       `json:"deadline,omitzero"`
}

// Job is an accepted JobRequest.
type Job struct {
	ID             string          `json:"id"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Profile        string          `json:"profile"`
	Gang           Shape           `json:"gang"`
	Payload        json.RawMessage `json:"payload,omitempty"`
	Idempotent     bool            `json:"idempotent"`
	Checkpointable bool            `json:"checkpointable"`
	DeclaredRun    Duration        `json:"declared_run"`
	Deadline       time.Time       `json:"deadline,omitzero"`
	Submitted      time.Time       `json:"submitted"`
}

// JobState is the persisted state of a job.
type JobState string

// The states of a job. A job in JobFinal has an Outcome and never changes.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobFinal   JobState = "final"
)

// Placement is the part of a gang on one worker: tasks FirstTask to
// FirstTask+Tasks-1.
type Placement struct {
	Worker    string `json:"worker"`
	Zone      string `json:"zone"`
	FirstTask int    `json:"first_task"`
	Tasks     int    `json:"tasks"`
}

// JobRecord is the row of a job in the platform's table.
type JobRecord struct {
	Job         Job               `json:"job"`
	State       JobState          `json:"state"`
	Attempt     uint32            `json:"attempt"`
	Placements  []Placement       `json:"placements,omitempty"`
	Checkpoints map[string]string `json:"checkpoints,omitempty"`
	CancelAsked bool              `json:"cancel_asked,omitempty"`
	Outcome     Outcome           `json:"outcome,omitempty"`
	Detail      string            `json:"detail,omitempty"`
	Results     []TaskResult      `json:"results,omitempty"`
	Finished    time.Time         `json:"finished,omitzero"`
}

// TaskResult is the output of the tasks that ran on one worker.
type TaskResult struct {
	FirstTask int             `json:"first_task"`
	Tasks     int             `json:"tasks"`
	Output    json.RawMessage `json:"output,omitempty"`
}

// Problem is a problem document as defined by RFC 9457.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	RetryAfter int    `json:"retry_after,omitempty"` // seconds
	Version    uint64 `json:"version,omitempty"`     // current version, after a version conflict
}

// ProcessConfig is the configuration version in force in one process and its age.
type ProcessConfig struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// ConfigStatus lists the configuration version in force in each process.
type ConfigStatus struct {
	Version   uint64          `json:"version"`
	InForce   bool            `json:"in_force"`
	Processes []ProcessConfig `json:"processes"`
}
