// Package soak runs entries and agents as processes in the hosted wiring against
// stand-ins of the platform, with faults and load that a seed fixes, and checks
// what callers and workers have seen.
package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/platform/standin"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Those of workers are the kinds of standin.WorkerEvent.
const (
	KindSubmit     Kind = "submit"
	KindPoll       Kind = "poll"
	KindCancel     Kind = "cancel"
	KindFinal      Kind = "final"  // the answer of an entry about a job at the end of the run
	KindServed     Kind = "served" // the first request that an entry served after the last fault
	KindFaultBegin Kind = "fault-begin"
	KindFaultEnd   Kind = "fault-end"
	KindHealed     Kind = "healed" // the last fault has ended
	KindKeyAdded   Kind = "key-added"
	KindKeyRemoved Kind = "key-removed"
	KindZoneOut    Kind = "zone-out"
	KindZoneIn     Kind = "zone-in"
	KindMove       Kind = "move" // a queue names another service, or is removed
	KindDrain      Kind = "drain"
	KindRestart    Kind = "worker-restart"
	KindStep       Kind = "step"  // of drawn rounds, named by Fault
	KindFence      Kind = "fence" // the owner of a new term wrote the fence row
	KindStart           = Kind(standin.EventStart)
	KindEnd             = Kind(standin.EventEnd)
	KindNoted           = Kind(standin.EventAcknowledged)
	KindGangBegun       = Kind(standin.EventGangBegun)
	KindLateLease       = Kind(standin.EventLateLease)
)

// Event is one observation of a caller, a worker, the operator or the store. Times
// count from the start of the record on one monotonic clock.
type Event struct {
	At     time.Duration `json:"at"`
	Sent   time.Duration `json:"sent,omitempty"` // of a caller's request, At is the time of its answer; of a call that a worker executed late
	Kind   Kind          `json:"kind"`
	Job    string        `json:"job,omitempty"`
	Task   string        `json:"task,omitempty"`
	Step   int           `json:"step,omitempty"`
	Run    uint64        `json:"run,omitempty"`
	Token  uint64        `json:"token,omitempty"`
	Worker string        `json:"worker,omitempty"`
	Zone   string        `json:"zone,omitempty"`
	End    string        `json:"end,omitempty"`
	Entry  string        `json:"entry,omitempty"`
	Key    string        `json:"key,omitempty"`
	Status int           `json:"status,omitempty"`
	State  string        `json:"state,omitempty"`
	Fault  string        `json:"fault,omitempty"`
	// Queue and Service are those of a move. Service is removedQueue for a queue that is removed.
	Queue   string `json:"queue,omitempty"`
	Service string `json:"service,omitempty"`
	Call    string `json:"call,omitempty"` // that a worker kept
	// Planned marks a fault that the operators plan, such as a zone taken out. It
	// delays no orders.
	Planned bool `json:"planned,omitempty"`
}

func (e Event) reply() standin.Reply { return standin.Reply{Status: e.Status, State: e.State} }

// Job is a job that callers submitted.
type Job struct {
	ID       string             `json:"id"`
	Account  string             `json:"account"`
	Priority int                `json:"priority"`
	Steps    []standin.TaskStep `json:"steps"`
}

// accelerators returns the number of accelerators of the job's largest step.
func (j Job) accelerators() int {
	largest := 0
	for _, s := range j.Steps {
		largest = max(largest, s.Count*s.Accelerators)
	}
	return largest
}

// Record is what was seen in a run.
type Record struct {
	Begun      time.Time         `json:"begun"` // on the clock of the logs
	Entries    []string          `json:"entries"`
	Guarantees map[string]int    `json:"guarantees"` // accelerators by account
	Services   map[string]string `json:"services"`   // by worker
	Jobs       map[string]Job    `json:"jobs"`
	Events     []Event           `json:"events"`
	// GivenUpAfter is the number of crashes under a task after which its job may be failed; 0 if none may.
	GivenUpAfter int `json:"given_up_after,omitempty"`
}

// Recorder collects a record.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	record Record
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), record: Record{Begun: time.Now(), Jobs: map[string]Job{}, Guarantees: map[string]int{}, Services: map[string]string{}}}
}

// Now returns the time on the record's clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add adds an event that happens now.
func (r *Recorder) Add(e Event) {
	e.At = r.Now()
	r.add(e)
}

func (r *Recorder) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Events = append(r.record.Events, e)
}

// AddWorkerEvent adds an event of a worker.
func (r *Recorder) AddWorkerEvent(e standin.WorkerEvent) {
	out := Event{At: e.At.Sub(r.start), Kind: Kind(e.Kind), Job: e.Job, Task: e.Task, Step: e.Step, Run: e.Run, Token: e.Token, Worker: e.Worker, Zone: e.Zone, End: e.End, Call: e.Call}
	if !e.Called.IsZero() {
		out.Sent = e.Called.Sub(r.start)
	}
	r.add(out)
}

// AddJob adds a job before its first submission.
func (r *Recorder) AddJob(j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Jobs[j.ID] = j
}

const (
	// stallProbe is the interval at which the recorder looks at the clock; a
	// machine that runs this process stallLimit late is recorded as a fault.
	stallProbe = 20 * time.Millisecond
	stallLimit = 250 * time.Millisecond
)

// WatchStalls records, until stop is closed, when the machine was too busy to run
// this process and so probably the others as well.
func (r *Recorder) WatchStalls(stop <-chan struct{}) {
	ticker := time.NewTicker(stallProbe)
	defer ticker.Stop()
	for last := r.Now(); ; last = r.Now() {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if now := r.Now(); now-last > stallLimit {
			fault := fmt.Sprintf("%v machine busy", last)
			r.add(Event{At: last, Kind: KindFaultBegin, Fault: fault})
			r.add(Event{At: now, Kind: KindFaultEnd, Fault: fault})
		}
	}
}

// Record returns the record so far, in order of time. Where an end and a start
// have one time the end comes first.
func (r *Recorder) Record() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.record
	out.Events = slices.Clone(out.Events)
	out.sort()
	return &out
}

func (r *Record) sort() {
	slices.SortStableFunc(r.Events, func(a, b Event) int {
		if a.At != b.At {
			return int(a.At - b.At)
		}
		return startOrder(a) - startOrder(b)
	})
}

func startOrder(e Event) int {
	if e.Kind == KindStart {
		return 1
	}
	return 0
}

// Write writes the record to a file as JSON.
func (r *Record) Write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	encoder := json.NewEncoder(file)
	err = encoder.Encode(Record{Begun: r.Begun, Entries: r.Entries, Guarantees: r.Guarantees, Services: r.Services, Jobs: r.Jobs, GivenUpAfter: r.GivenUpAfter})
	for i := 0; err == nil && i < len(r.Events); i++ {
		err = encoder.Encode(r.Events[i])
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}
