package sched

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// phase is the position of a job in its life cycle.
type phase string

const (
	phaseQueued   phase = "queued"
	phaseBackoff  phase = "backoff"
	phaseClaiming phase = "claiming" // waiting until the preempted jobs have ended
	phaseHolding  phase = "holding"
	phaseSaving   phase = "saving" // the attempt's row is being written
	phaseRunning  phase = "running"
	phaseEnding   phase = "ending"    // stops are sent, not all are confirmed
	phaseRequeue  phase = "requeuing" // the queued row is being written
	phaseFinal    phase = "final"     // the final row is being written
)

type job struct {
	rec     api.JobRecord
	phase   phase
	class   *class
	account *account
	// attempt is the highest attempt number seen.
	attempt uint32
	groups  []*group
	// unlinkedGroups counts the live groups whose worker's link is down.
	unlinkedGroups int
	// adopting is true until all groups of an adopted attempt have reported.
	adopting bool
	// started is true once the current attempt may have been started.
	started bool
	// everStarted is true once any attempt may have been started.
	everStarted bool
	// abortedWhileSaving is true if the attempt was given up while its row was
	// being written.
	abortedWhileSaving bool
	// finalOutcome is the job's outcome once the attempt has ended. If it is
	// empty, the job runs again.
	finalOutcome api.Outcome
	finalDetail  string

	perTask            api.Resources // declared or learned
	endReason          Reason        // why the current attempt is being stopped
	nonPreemptible     bool
	reservation        *reservation // the guarantee that the attempt uses
	waitingReservation *reservation // the reservation made for this gang while it waits
	queuedAt           time.Duration
	startedAt          time.Duration
	lastReview         time.Duration
	mayPreempt         bool // a large preemptible gang that has waited may preempt once
	earlierRunTime     time.Duration
	holdFailures       int
	failures           int
	failedWorkers      []string
	avoidedWorkers     []string
	deadlineTimerSet   bool
	movePending        bool // waits to leave a zone that is out or a worker that is leaving
}

type groupState string

const (
	groupClaimed  groupState = "claimed"
	groupHolding  groupState = "holding"
	groupHeld     groupState = "held"
	groupStarting groupState = "starting"
	groupRunning  groupState = "running"
	groupUnknown  groupState = "unknown" // adopted, not reported yet
	groupDone     groupState = "done"
	groupEnded    groupState = "gone"
)

// group is the tasks of one attempt on one worker.
type group struct {
	job       *job
	account   *account
	attempt   uint32
	worker    *worker
	firstTask int
	tasks     int
	resources api.Resources
	state     groupState
	// stopping is set once a Stop is sent. detached is set once the job no longer
	// uses the attempt.
	stopping bool
	detached bool
	// neverStarted is set when the agent reports that it has started no task of
	// the group and never will.
	neverStarted   bool
	nonPreemptible bool
	nonRestartable bool
	reservedPart   *reservationPart

	leaseUntil      time.Duration
	progress        time.Duration
	checkpointed    time.Duration // progress at the last checkpoint
	oversizeReports int           // consecutive reports above the declared size
	result          json.RawMessage
}

func (g *group) live() bool { return g.state != groupDone && g.state != groupEnded }

// neverStarted reports whether the agents of all groups have reported that they
// started no task of the attempt.
func (j *job) neverStarted() bool {
	return len(j.groups) > 0 && !slices.ContainsFunc(j.groups, func(g *group) bool { return !g.neverStarted })
}

func (j *job) id() string { return j.rec.Job.ID }

func (j *job) gang() api.Shape {
	shape := j.rec.Job.Gang
	shape.PerTask = j.perTask
	return shape
}

func (j *job) totalResources() api.Resources { return j.perTask.Times(j.rec.Job.Gang.Tasks) }

func (j *job) allGroupsIn(state groupState) bool {
	for _, g := range j.groups {
		if g.state != state {
			return false
		}
	}
	return len(j.groups) > 0
}

func (j *job) hasLiveGroup() bool {
	return slices.ContainsFunc(j.groups, (*group).live)
}

// restartable reports whether the job may be stopped and run again.
func (j *job) restartable() bool { return j.rec.Job.Idempotent }

// preemptible reports whether the job runs on borrowed capacity.
func (j *job) preemptible() bool { return !j.nonPreemptible && j.reservation == nil && j.restartable() }

// lostWork returns the accelerator time that would be lost if the job were
// stopped now.
func (j *job) lostWork(now time.Duration) time.Duration {
	if !j.started {
		return 0
	}
	var sum time.Duration
	weight := time.Duration(max(1, j.perTask.Accelerators))
	for _, g := range j.groups {
		part := now - j.startedAt - g.checkpointed
		if j.rec.Job.Checkpointable {
			part = min(part, CheckpointGrace)
		}
		sum += max(part, 0) * weight * time.Duration(g.tasks)
	}
	return sum
}

// checkpointRange returns the key of a group in JobRecord.Checkpoints: its first
// task and its number of tasks.
func checkpointRange(first, tasks int) string {
	return strconv.Itoa(first) + "+" + strconv.Itoa(tasks)
}

func parseCheckpointRange(key string) (first, tasks int, ok bool) {
	a, b, found := strings.Cut(key, "+")
	first, errA := strconv.Atoi(a)
	tasks, errB := strconv.Atoi(b)
	return first, tasks, found && errA == nil && errB == nil
}

// setCheckpoint records the checkpoint of a range of tasks and drops those of the
// ranges inside it.
func (j *job) setCheckpoint(first, tasks int, key string) {
	next := map[string]string{}
	for k, v := range j.rec.Checkpoints {
		f, n, ok := parseCheckpointRange(k)
		inside := ok && f >= first && f+n <= first+tasks
		if !inside {
			next[k] = v
		}
	}
	next[checkpointRange(first, tasks)] = key
	j.rec.Checkpoints = next
}

// checkpointFor returns the checkpoint key of a range of tasks, or the keys of all
// ranges that overlap it, separated by spaces.
func (j *job) checkpointFor(first, tasks int) string {
	if own, ok := j.rec.Checkpoints[checkpointRange(first, tasks)]; ok {
		return own
	}
	var ranges []string
	for k := range j.rec.Checkpoints {
		f, n, ok := parseCheckpointRange(k)
		if ok && f < first+tasks && first < f+n {
			ranges = append(ranges, k)
		}
	}
	slices.Sort(ranges)
	keys := make([]string, 0, len(ranges))
	for _, k := range ranges {
		keys = append(keys, j.rec.Checkpoints[k])
	}
	return strings.Join(keys, " ")
}
