package joblog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// Cause is why a run was lost.
type Cause string

// The causes, in the order in which they are shown.
const (
	CauseCrashed    Cause = "worker-crashed" // the worker's process ended, or started again
	CauseLease      Cause = "lease-over"
	CauseLeft       Cause = "worker-left"
	CauseTaskFailed Cause = "task-failed"
	CauseMember     Cause = "member-ended" // another member ended, and no line tells why
	// Starts that failed: the worker has no room, has seen a higher epoch, the run or a
	// later one, got the order too late, or is not healthy; nothing listened there, another
	// incarnation answered, the agent knew that the worker drains or has too little
	// capacity, the order was refused otherwise, or its outcome was not known.
	CauseStartRoom        Cause = "start-no-room"
	CauseStartFence       Cause = "start-fenced"
	CauseStartOld         Cause = "start-old"
	CauseStartLate        Cause = "start-late"
	CauseStartUnhealthy   Cause = "start-unhealthy"
	CauseStartUnreachable Cause = "start-unreachable"
	CauseStartOther       Cause = "start-other-incarnation"
	CauseStartDraining    Cause = "start-draining"
	CauseStartCapacity    Cause = "start-capacity"
	CauseStartRefused     Cause = "start-refused"
	CauseStartUnknown     Cause = "start-unknown-outcome"
	// Runs that were placed and not started, as the owner could not any more.
	CauseNotStarted Cause = "not-started"
	// Runs that were stopped.
	CausePreempted  Cause = "preempted"
	CauseReclaimed  Cause = "reclaimed"
	CauseRecalled   Cause = "recalled"
	CauseLagging    Cause = "lagging"
	CauseDraining   Cause = "worker-draining"
	CauseNoProgress Cause = "no-progress"
	CauseNoOutcome  Cause = "order-without-outcome"
	CauseUnlisted   Cause = "unlisted" // the worker did not list it
	CauseJobEnded   Cause = "job-ended"
	// CauseOwner is the loss of a run that an earlier term placed, where no other cause is
	// known.
	CauseOwner Cause = "owner-changed"
	// CauseNotStored is a placement that was not stored before its owner's term ended. No
	// start was ordered, and the next owner did not know of it.
	CauseNotStored Cause = "not-stored"
	// CauseEndMissing is a run without an end whose task was placed again.
	CauseEndMissing  Cause = "end-missing"
	CauseUnexplained Cause = "unexplained"
)

// Causes lists all causes.
var Causes = []Cause{CauseCrashed, CauseLease, CauseLeft, CauseTaskFailed, CauseMember,
	CauseStartRoom, CauseStartFence, CauseStartOld, CauseStartLate, CauseStartUnhealthy, CauseStartUnreachable, CauseStartOther,
	CauseStartDraining, CauseStartCapacity, CauseStartRefused, CauseStartUnknown, CauseNotStarted,
	CausePreempted, CauseReclaimed, CauseRecalled, CauseLagging, CauseDraining, CauseNoProgress, CauseNoOutcome, CauseUnlisted,
	CauseJobEnded, CauseOwner, CauseNotStored, CauseEndMissing, CauseUnexplained}

// The ends of runs that tell of a cause, and what precedes other texts in their place.
const (
	endDone    = "done"
	endFailed  = "failed"
	endLapsed  = "lapsed"
	endGone    = "gone"
	endAbsent  = "absent"
	endBroken  = "broken"
	endAlone   = "alone"
	lateEnd    = "late "
	refusedEnd = "refused: "
)

// decisionCauses are the decisions on a run that lead to its end.
var decisionCauses = map[string]Cause{
	"preempted": CausePreempted, "reclaimed-for-guarantee": CauseReclaimed, "recalled-for-reservation": CauseRecalled,
	"run-lagging": CauseLagging, "worker-draining": CauseDraining, "no-progress": CauseNoProgress,
	"worker-crashed": CauseCrashed, "order-without-outcome": CauseNoOutcome,
}

// stopCauses are the reasons of stops that no decision of their own tells of.
var stopCauses = map[string]Cause{
	"unlisted": CauseUnlisted, "unlisted-start": CauseUnlisted, "from-earlier-run": CauseOwner,
	"unsettled-start": CauseCrashed, "job-ended": CauseJobEnded,
}

// refusals are the causes of failed starts, by a part of what the agent or the owner says.
// The first that matches counts.
var refusals = []struct {
	text  string
	cause Cause
}{
	{external.ErrRunNoCapacity.Error(), CauseStartRoom},
	{external.ErrRunStaleEpoch.Error(), CauseStartFence},
	{external.ErrRunEnded.Error(), CauseStartOld},
	{external.ErrRunDeadlinePassed.Error(), CauseStartLate},
	{external.ErrRunWorkerUnhealthy.Error(), CauseStartUnhealthy},
	{external.ErrRunWrongInstance.Error(), CauseStartOther},
	{external.ErrRunInvalid.Error(), CauseStartRefused},
	{external.ErrRunNotListening.Error(), CauseStartUnreachable},
	{"connection refused", CauseStartUnreachable},
	{"worker drains", CauseStartDraining},
	{"capacity has shrunk", CauseStartCapacity},
}

// causeOfRefusal returns the cause that a refusal names, or none if it answers a stop.
func causeOfRefusal(text string) (cause Cause, detail string) {
	if text == "stopped" {
		return "", ""
	}
	for _, r := range refusals {
		if strings.Contains(text, r.text) {
			return r.cause, text
		}
	}
	return CauseStartUnknown, text
}

// causeOfStop returns the cause that a stop names, or none if it follows from an end.
func causeOfStop(l line) (cause Cause, detail string) {
	what, claimant, found := strings.Cut(l.Reason, " for ")
	if cause = decisionCauses[what]; cause != "" && found {
		return cause, claimantPrefix + claimant
	}
	if cause == "" {
		cause = stopCauses[what]
	}
	if cause == CauseUnlisted && l.Token > termOf(l.Run) && termOf(l.Run) > 0 {
		cause = CauseOwner
	}
	return cause, l.Reason
}

// claimantPrefix precedes the job for which a run was stopped.
const claimantPrefix = "for "

// claimant returns the job for which a unit was stopped, empty if it was not for one.
func (e event) claimant() string {
	id, _ := strings.CutPrefix(e.detail, claimantPrefix)
	if !unitWide[e.cause] || id == e.detail {
		return ""
	}
	return id
}

// runsPerTerm is the distance of the run numbers of two terms.
const runsPerTerm = 1 << 24

// termOf returns the token of the term that gave a run its number, 0 if the number does
// not tell.
func termOf(number uint64) uint64 { return number / runsPerTerm }

// event is something that may have ended a unit's run.
type event struct {
	at           time.Time
	cause        Cause
	task, worker string // on which it came, empty for the whole unit
	detail       string
	follows      bool // from an earlier event if there is one at the same time
}

// describe returns the worker on which an event came and its detail.
func (e event) describe() string {
	switch {
	case e.worker == "":
		return e.detail
	case e.detail == "":
		return "on " + e.worker
	default:
		return "on " + e.worker + ": " + e.detail
	}
}

// before orders events by time. Of those at one time, decisions come before what follows
// from them, and others in the order of Causes, whatever the order of the lines.
func (e event) before(o event) bool {
	if !e.at.Equal(o.at) {
		return e.at.Before(o.at)
	}
	if e.follows != o.follows {
		return !e.follows
	}
	return cmp.Or(cmp.Compare(slices.Index(Causes, e.cause), slices.Index(Causes, o.cause)), compareTasks(e.task, o.task)) < 0
}

// hits reports whether an event came on a member itself and not on another one.
func (e event) hits(r *run) bool {
	switch {
	case unitWide[e.cause] || e.task == "":
		return true
	case r.end == endFailed || r.end == endLapsed || r.end == endGone:
		return true
	case e.worker != "" && e.cause == CauseCrashed:
		return e.worker == r.worker
	default:
		return e.task == r.task
	}
}

// unitWide are the causes that end all members at once.
var unitWide = map[Cause]bool{CausePreempted: true, CauseReclaimed: true, CauseRecalled: true, CauseJobEnded: true, CauseOwner: true}

// settle finds the cause of each lost run, the ends that are missing, and the ends whose
// placement is missing.
func (j *Journal) settle() {
	if !j.unsettled {
		return
	}
	j.unsettled = false
	for _, l := range j.dates.rest() {
		j.addLine(l)
	}
	j.Skipped.Unplaced, j.Skipped.Misdated = 0, j.dates.leftOut()
	j.begins = j.termBegins()
	for _, o := range j.jobs {
		for _, u := range o.units {
			u.cause = j.firstCause(o, u)
			for _, r := range u.members {
				if from := r.begins(); !from.IsZero() {
					setFirst(&o.firstRun, from)
				}
				if r.end != "" && r.placed.IsZero() && r.started.IsZero() {
					j.Skipped.Unplaced++
				}
			}
		}
	}
}

// firstCause returns the first event that may have ended a unit's run.
func (j *Journal) firstCause(o *job, u *unitRun) event {
	first := u.first
	take := func(e event) {
		if e.cause != "" && (first.cause == "" || e.before(first)) {
			first = e
		}
	}
	for _, r := range u.sorted() {
		take(j.causeOfEnd(r))
		if o.endsAllRuns() && !r.ended.IsZero() && !r.ended.Before(o.ended) {
			take(event{at: o.ended, cause: CauseJobEnded, detail: o.outcome, follows: true})
		}
	}
	if first.cause == "" {
		return u.fallback()
	}
	return first
}

// endsAllRuns reports whether the end of the job has stopped its runs.
func (o *job) endsAllRuns() bool { return !o.ended.IsZero() && o.outcome != "completed" }

// causeOfEnd returns the event that the end of a run is by itself, without a cause if it
// follows from another one.
func (j *Journal) causeOfEnd(r *run) event {
	e := event{at: r.ended, task: r.task, worker: r.worker, detail: r.reason, follows: true}
	switch r.end {
	case endFailed:
		e.cause, e.follows = CauseTaskFailed, false
	case endLapsed:
		e.cause = CauseLease
	case endGone:
		e.cause = j.causeOfLoss(r)
	case endAbsent:
		if r.reason != "" {
			e.cause = CauseNotStarted
		}
	}
	return e
}

// lossMargin is the time between the lines of a worker's loss and of the ends of its runs.
const lossMargin = 200 * time.Millisecond

// causeOfLoss returns why a worker was lost with a run.
func (j *Journal) causeOfLoss(r *run) Cause {
	switch r.reason {
	case "worker-restarted":
		return CauseCrashed
	case "lease-over":
		return CauseLease
	case "worker-left":
		return CauseLeft
	}
	for _, l := range j.workers[r.worker] {
		if d := r.ended.Sub(l.at); d >= -lossMargin && d <= lossMargin {
			return l.cause
		}
	}
	return CauseLeft
}

// fallback returns what is likely where no line names a cause.
func (u *unitRun) fallback() event {
	for _, r := range u.sorted() {
		placedBy := max(r.token, termOf(u.number))
		if r.endToken > placedBy && placedBy > 0 {
			return event{at: r.ended, cause: CauseOwner}
		}
	}
	for _, r := range u.sorted() {
		if r.end == endBroken || r.end == endAlone {
			return event{at: r.ended, cause: CauseMember}
		}
	}
	return event{cause: CauseUnexplained}
}
