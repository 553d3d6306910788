package joblog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Standing is what a job that has not ended does at the end of the lines.
type Standing string

// The standings. One that comes first in Standings hides those behind it.
const (
	Unreadable  Standing = "unreadable"   // a row of it cannot be decoded, so the owner leaves it out
	NotAccepted Standing = "not-accepted" // no owner has told of it
	NoOwner     Standing = "no-owner"     // the last term ended
	RunsGoOn    Standing = "running"
	// Stopping is a unit of which a member ended or was ordered to stop, with ends that are
	// missing.
	Stopping Standing = "stopping"
	// Unsaved is a unit that was placed without a start being ordered: its placement is not
	// stored.
	Unsaved Standing = "unsaved"
	Paused  Standing = "paused" // after a rejected save
	Waits   Standing = "waiting"
)

// JobStanding is the standing of a job, with what the lines tell of its reason.
type JobStanding struct {
	Job      string   `json:"job"`
	Queue    string   `json:"queue"`
	Account  string   `json:"account"`
	Standing Standing `json:"standing"`
	// ForMS is the time since the last of its runs ended, or since it was submitted; 0 while
	// one goes on.
	ForMS int64 `json:"for_ms"`
	// Tasks is the number of its tasks as accepted, and the others are those in runs that go
	// on, are being stopped or are not stored, and those that are done.
	Tasks    int `json:"tasks"`
	Running  int `json:"running"`
	Stopping int `json:"stopping"`
	Unsaved  int `json:"unsaved"`
	Done     int `json:"done"`
	// Reason is the newest line that tells why it stands so, empty if there is none, from
	// ReasonAt.
	Reason   string    `json:"reason"`
	ReasonAt time.Time `json:"reason_at"`
	// LastLost is the cause by which its last run was lost.
	LastLost Cause `json:"last_lost,omitempty"`
	// Missing holds the members whose end is missing, at most MaxMissing.
	Missing []MissingEnd `json:"missing,omitempty"`
}

// MissingEnd is a member of a run that is being stopped or not stored.
type MissingEnd struct {
	Task        string    `json:"task"`
	Run         uint64    `json:"run"`
	Worker      string    `json:"worker"`
	Placed      time.Time `json:"placed"`
	Started     time.Time `json:"started"`
	StopOrdered time.Time `json:"stop_ordered"`
	// Cause is why the run is being stopped, empty if it is not.
	Cause Cause `json:"cause,omitempty"`
}

// MaxMissing limits the members of a job that are listed.
const MaxMissing = 50

// Standings returns the standing of each job that has not ended, those without runs first,
// the one that stands longest before others.
func (j *Journal) Standings() []JobStanding {
	j.settle()
	ownerless := j.ownerless()
	var out []JobStanding
	for _, o := range j.jobs {
		if o.ended.IsZero() && !o.began().IsZero() {
			out = append(out, j.standingOf(o, ownerless))
		}
	}
	slices.SortFunc(out, func(a, b JobStanding) int {
		return cmp.Or(compareBools(a.Standing == RunsGoOn, b.Standing == RunsGoOn), cmp.Compare(b.ForMS, a.ForMS), cmp.Compare(a.Job, b.Job))
	})
	return out
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// ownerless reports whether the last term that began has ended.
func (j *Journal) ownerless() bool {
	if len(j.terms) == 0 {
		return false
	}
	last := j.terms[slices.Max(slices.Collect(maps.Keys(j.terms)))]
	return !last.began.IsZero() && j.epochsOver[last.epoch]
}

func (j *Journal) standingOf(o *job, ownerless bool) JobStanding {
	s := JobStanding{Job: o.id, Queue: o.queue, Account: o.account, Tasks: o.tasks}
	idleSince, lastLost := o.began(), time.Time{}
	for _, runs := range o.byTask() {
		last := runs[len(runs)-1]
		s.countRun(o, last)
		for _, r := range runs {
			if r.run.end != endDone && r.run.ended.After(lastLost) {
				lastLost, s.LastLost = r.run.ended, r.unit.cause.cause
			}
			idleSince = latest(idleSince, r.run.ended)
		}
	}
	slices.SortFunc(s.Missing, func(a, b MissingEnd) int { return cmp.Or(cmp.Compare(a.Run, b.Run), compareTasks(a.Task, b.Task)) })
	s.Missing = s.Missing[:min(len(s.Missing), MaxMissing)]
	s.Standing = j.decide(o, s, ownerless)
	if s.Running == 0 {
		s.ForMS = j.last.Sub(idleSince).Milliseconds()
	}
	s.Reason, s.ReasonAt = o.reasonOf(s.Standing)
	return s
}

// countRun adds the last run of a task.
func (s *JobStanding) countRun(o *job, t taskRun) {
	r, u := t.run, t.unit
	switch {
	case u.done():
		s.Done++
		return
	case r.end != "":
		return
	case u.stops(o):
		s.Stopping++
	case r.started.IsZero():
		s.Unsaved++
	default:
		s.Running++
		return
	}
	m := MissingEnd{Task: r.task, Run: u.number, Worker: r.worker, Placed: r.placed, Started: r.started, StopOrdered: r.stopOrdered}
	if u.stops(o) {
		m.Cause = u.cause.cause
	}
	s.Missing = append(s.Missing, m)
}

// stops reports whether the lines tell that a run is being stopped.
func (u *unitRun) stops(o *job) bool {
	if !o.ended.IsZero() || u.first.cause != "" {
		return true
	}
	for _, r := range u.members {
		if !r.stopOrdered.IsZero() || r.end != "" && r.end != endDone {
			return true
		}
	}
	return false
}

func (j *Journal) decide(o *job, s JobStanding, ownerless bool) Standing {
	switch {
	case o.unreadable != "":
		return Unreadable
	case o.accepted.IsZero() && len(o.units) == 0:
		return NotAccepted
	case ownerless:
		return NoOwner
	case s.Running > 0:
		return RunsGoOn
	case s.Stopping > 0:
		return Stopping
	case s.Unsaved > 0:
		return Unsaved
	case slices.ContainsFunc(o.pauses, func(p span) bool { return p.to.After(j.last) }):
		return Paused
	default:
		return Waits
	}
}

// reasonOf returns the newest line that tells why a job stands so.
func (o *job) reasonOf(s Standing) (string, time.Time) {
	newest := func(waits []Wait) (string, time.Time) {
		if len(waits) == 0 {
			return "", time.Time{}
		}
		w := slices.MaxFunc(waits, func(a, b Wait) int { return a.At.Compare(b.At) })
		return w.Reason, w.At
	}
	switch s {
	case Unreadable:
		return o.unreadable, time.Time{}
	case Stopping, Unsaved:
		if text, at := newest(o.held); text != "" {
			return text, at
		}
		if s == Unsaved && !o.saveFailed.IsZero() {
			return "a save of its progress has failed and is retried", o.saveFailed
		}
		return "", time.Time{}
	case Paused:
		last := slices.MaxFunc(o.pauses, func(a, b span) int { return a.to.Compare(b.to) })
		return fmt.Sprintf("its progress was rejected; next placement after %v", last.to.Sub(last.from)), last.from
	case Waits:
		return newest(o.waits)
	default:
		return "", time.Time{}
	}
}
