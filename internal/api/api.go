// Package api holds the types that callers, operators and the services of
// coltsfootlug share. It has no logic beyond checks of single values.
package api

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that reads and writes Go duration strings in
// JSON and TOML, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NotValidf("duration %q (want a Go duration such as \"1.5s\")", text)
	}
	*d = Duration(v)
	return nil
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Resources is an amount of a worker's capacity.
type Resources struct {
	Accelerators int `json:"accelerators" toml:"accelerators"`
	MilliCPU     int `json:"milli_cpu" toml:"milli_cpu"`
	MemoryMB     int `json:"memory_mb" toml:"memory_mb"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.MilliCPU * n, r.MemoryMB * n}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB
}

// Adjacency is the smallest part of the fleet that must hold a whole gang.
type Adjacency string

// The levels of adjacency, from the narrowest to the widest.
const (
	AdjacentWorker Adjacency = "worker"
	AdjacentRack   Adjacency = "rack"
	AdjacentZone   Adjacency = "zone"
)

// Shape is a gang's form: how many tasks of which size, and how near to each
// other they have to run.
type Shape struct {
	Tasks     int       `json:"tasks"`
	PerTask   Resources `json:"per_task"`
	Adjacency Adjacency `json:"adjacency"`
}

// Guarantee is the capacity that a client account can always reclaim: Gangs
// gangs of the given shape at the same time.
type Guarantee struct {
	Gangs int   `json:"gangs"`
	Shape Shape `json:"shape"`
}

// Profile names a kind of work and the guarantee behind it.
type Profile struct {
	Name          string     `json:"name"`
	ClientAccount string     `json:"client_account"`
	Urgent        bool       `json:"urgent,omitempty"`
	Preemptible   bool       `json:"preemptible,omitempty"`
	Weight        int        `json:"weight,omitempty"`
	MaxQueue      int        `json:"max_queue,omitempty"`
	Timeout       Duration   `json:"timeout,omitempty"`
	Guarantee     *Guarantee `json:"guarantee,omitempty"`
	// QuotaAccelerators bounds what the client account runs at once; 0 is no bound.
	QuotaAccelerators int `json:"quota_accelerators,omitempty"`
	// Version is the configuration version that last changed this profile.
	Version uint64 `json:"version"`
}

// ZoneState tells whether an availability zone may start work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is an operator's decision on one zone.
type AvailabilityZone struct {
	Name    string    `json:"name"`
	State   ZoneState `json:"state"`
	Version uint64    `json:"version"`
}

// Config is the whole configuration at one version. A zone that is not listed
// is in.
type Config struct {
	Version  uint64                      `json:"version"`
	Profiles map[string]Profile          `json:"profiles"`
	Zones    map[string]AvailabilityZone `json:"zones"`
}

// ZoneOut reports whether operators have taken the named zone out.
func (c *Config) ZoneOut(name string) bool {
	return c.Zones[name].State == ZoneOut
}

// Zone returns the named zone's state; a zone that is not listed is in.
func (c *Config) Zone(name string) AvailabilityZone {
	if c != nil {
		if z, ok := c.Zones[name]; ok {
			return z
		}
	}
	return AvailabilityZone{Name: name, State: ZoneIn}
}

// ProfileVersion returns the version of a profile, 0 when it does not exist.
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

// Outcome is the one final answer of a request or job.
type Outcome string

// The outcomes. OutcomeNotRun is said only when the work has not run and
// never will; OutcomeUnknown only when that cannot be known.
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

// JobState is the lasting state of a job.
type JobState string

// The states of a job. A job in JobFinal has an Outcome and never changes.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobFinal   JobState = "final"
)

// Placement is the part of a gang on one worker. The tasks are numbered from
// FirstTask on.
type Placement struct {
	Worker    string `json:"worker"`
	Zone      string `json:"zone"`
	FirstTask int    `json:"first_task"`
	Tasks     int    `json:"tasks"`
}

// JobRecord is a job's row in the platform's table.
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

// Problem is an error document as in RFC 9457.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	RetryAfter int    `json:"retry_after,omitempty"` // seconds
	Version    uint64 `json:"version,omitempty"`     // current version after a lost race
}

// ProcessConfig is one line of the configuration status.
type ProcessConfig struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// ConfigStatus tells which process has which configuration in force.
type ConfigStatus struct {
	Version   uint64          `json:"version"`
	InForce   bool            `json:"in_force"`
	Processes []ProcessConfig `json:"processes"`
}
